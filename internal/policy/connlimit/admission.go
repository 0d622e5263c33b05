package connlimit

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"net/netip"
)

const (
	// trustedLimitFactor is by how much the limits of a trusted address exceed those of an
	// untrusted one: many machines may share one gateway.
	trustedLimitFactor = 4
	// reserveLentParts is the number of equal parts of the reserved slots. Untrusted addresses may
	// use all but one of the parts while they are free, so that trusted ones always find free slots
	// in the last.
	reserveLentParts = 8
	// rejectionHalfLife is the half-life, in seconds, of the count of an address's rejections. Each
	// doubles the time to retry after, up to the longest.
	rejectionHalfLife = 5
	// maxDoublings bounds the exponent of the time to retry after.
	maxDoublings = 16
)

// HandleArrival adds a new connection from an address at a free slot, and returns whether it was
// admitted. With NoFreeSlot, the caller closes one of its EvictionCandidatesFor and calls Admit or,
// if there is none, Reject. With HoldingAreaFull, it closes the connection at once. With any other
// reason the connection is held, and its requests are to be rejected with retryAfter, in seconds.
func (l *Limiter) HandleArrival(slot int32, addr netip.Addr, now float64) (reason RejectReason, retryAfter float64) {
	policy := l.clientPolicy
	if policy == nil {
		l.HandleOpen(slot, now)
		return Admitted, 0
	}
	policy.arrivals.count++
	policy.restoreSlot(now)
	l.grow(slot)
	id := policy.addressID(addr)
	if id >= 0 {
		policy.expireTrust(id, now)
	}
	if id < 0 || !policy.addresses.entries[id].trusted && l.holdingAreaFull() {
		policy.rejections[HoldingAreaFull]++
		l.connections[slot] = connection{lastHeard: now}
		l.enter(slot, StateClosing, now)
		return HoldingAreaFull, 0
	}
	l.hold(slot, id, now)
	client := &policy.addresses.entries[id]
	if reason = policy.exceededLimit(client, now); reason != Admitted {
		return reason, l.Reject(slot, reason, now)
	}
	if !policy.hasFreeSlot(client) {
		return NoFreeSlot, 0
	}
	l.Admit(slot, now)
	return Admitted, 0
}

// holdingAreaFull reports whether no more untrusted connections may be held. The area may exceed
// its size up to twice for a moment, until the oldest connections are closed.
func (l *Limiter) holdingAreaFull() bool {
	return l.Count(StateHeld)+l.Count(StateRejected) >= 2*l.clientPolicy.rules.HoldingSlots
}

// hold puts a new connection of an address in the holding area.
func (l *Limiter) hold(slot, id int32, now float64) {
	policy := l.clientPolicy
	l.connections[slot] = connection{lastHeard: now, addressNumber: id + 1}
	client := &policy.addresses.entries[id]
	client.held++
	policy.prefixes.entries[client.prefix].held++
	policy.addresses.requeue(id)
	policy.prefixes.requeue(client.prefix)
	l.enter(slot, StateHeld, now)
}

// exceededLimit returns which limit a new connection of an address exceeds, Admitted if none. It
// takes the tokens of the arrival.
func (p *clientPolicy) exceededLimit(client *addressEntry, now float64) RejectReason {
	if client.trustedByRule {
		return Admitted
	}
	prefix := &p.prefixes.entries[client.prefix]
	factor := 1.0
	if client.trusted {
		factor = trustedLimitFactor
	}
	maxConnections := float64(p.rules.MaxPerAddress) * factor
	switch {
	case !client.arrivals.take(now, p.rules.RatePerAddress*factor):
		return RateLimited
	case !client.trusted && !prefix.arrivals.take(now, p.rules.RatePerPrefix):
		return RateLimited
	case p.rules.MaxPerAddress > 0 && float64(client.admitted) >= maxConnections:
		return OverCap
	case !client.trusted && p.rules.MaxPerPrefix > 0 && int(prefix.untrusted) >= p.rules.MaxPerPrefix:
		return OverCap
	}
	return Admitted
}

// hasFreeSlot reports whether one more connection of an address can be admitted without an eviction.
func (p *clientPolicy) hasFreeSlot(client *addressEntry) bool {
	if client.trusted {
		return p.admitted < p.slots.limit
	}
	keptFree := (p.reservedSlots() + reserveLentParts - 1) / reserveLentParts
	return p.admitted < p.slots.limit-keptFree
}

// Admit admits a held connection.
func (l *Limiter) Admit(slot int32, now float64) {
	policy := l.clientPolicy
	conn := &l.connections[slot]
	client, prefix := policy.entriesOf(conn)
	prefix.held--
	prefix.admitted++
	client.held--
	client.admitted++
	policy.admitted++
	if !client.trusted {
		prefix.untrusted++
	}
	conn.admitted = true
	l.enter(slot, StateNew, now)
}

// Reject rejects a held connection, and returns the time after which to retry, in seconds: longer
// with each rejection of its address, and with jitter, so that those rejected together do not
// return together.
func (l *Limiter) Reject(slot int32, reason RejectReason, now float64) (retryAfter float64) {
	policy := l.clientPolicy
	policy.rejections[reason]++
	client, _ := policy.entriesOf(&l.connections[slot])
	client.rejections.set(client.rejections.at(now, rejectionHalfLife)+1, now)
	doublings := min(client.rejections.value-1, maxDoublings)
	base := min(policy.rules.MaxRetryAfter/2, policy.rules.MinRetryAfter*math.Exp2(doublings))
	return base * (1 + policy.drawJitter())
}

// drawJitter returns the next number, from 0 to 1, of the sequence that the seed determines.
func (p *clientPolicy) drawJitter() float64 {
	p.jitterDraws++
	var input [12]byte
	binary.LittleEndian.PutUint64(input[:], uint64(p.rules.Seed))
	binary.LittleEndian.PutUint32(input[8:], p.jitterDraws)
	return float64(crc32.ChecksumIEEE(input[:])) / math.MaxUint32
}

// RejectRequest counts a rejected request of an admitted connection for which MayOpenRequest is
// false, as Reject does, and returns the time after which to retry, in seconds.
func (l *Limiter) RejectRequest(slot int32, now float64) float64 {
	return l.Reject(slot, NoFreeSlot, now)
}

// MayOpenRequest reports whether a connection may open a request. Untrusted addresses may not have
// open requests on reserved slots, as a connection with an open request can't be evicted.
func (l *Limiter) MayOpenRequest(slot int32) bool {
	policy := l.clientPolicy
	conn := &l.connections[slot]
	if policy == nil || conn.state == StateActive {
		return true
	}
	if !conn.admitted {
		return false
	}
	client, _ := policy.entriesOf(conn)
	return client.trusted || policy.activeUntrusted < policy.slots.limit-policy.reservedSlots()
}
