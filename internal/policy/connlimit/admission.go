package connlimit

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"net/netip"
)

const (
	// trustedLimitFactor is how many times an untrusted address's limits hold for a trusted one:
	// there may be many machines behind one gateway.
	trustedLimitFactor = 4
	// reserveLentParts is in how many parts the reserve is split: all but one are lent to untrusted
	// addresses while they are free, and the last one a trusted address finds free at any moment.
	reserveLentParts = 8
	// rejectionHalfLife is the half-life, in seconds, of the count of an address's rejections. Each
	// doubles the time to retry after, up to the longest.
	rejectionHalfLife = 5
	// maxDoublings bounds the exponent of the time to retry after.
	maxDoublings = 16
)

// HandleArrival takes on a new connection from an address at a slot that is free. With Admitted the
// connection is in. With NoFreeSlot another has to go for it: call Admit once one of its
// EvictionCandidatesFor is gone, or else Reject. Any other connection is held, and its requests are
// to be rejected with the time to retry after, in seconds; but with HoldingAreaFull it is to be
// closed at once.
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

// holdingAreaFull reports whether no untrusted connection may be held any more. The area may have
// twice its size for a moment, until the oldest are closed.
func (l *Limiter) holdingAreaFull() bool {
	return l.Count(StateHeld)+l.Count(StateRejected) >= 2*l.clientPolicy.rules.HoldingSlots
}

// hold puts a new connection of an address in the holding area.
func (l *Limiter) hold(slot, id int32, now float64) {
	policy := l.clientPolicy
	l.connections[slot] = connection{lastHeard: now, address: id + 1}
	client := &policy.addresses.entries[id]
	client.held++
	policy.prefixes.entries[client.prefix].held++
	policy.addresses.requeue(id)
	policy.prefixes.requeue(client.prefix)
	l.enter(slot, StateHeld, now)
}

// exceededLimit returns which limit one more connection of an address exceeds, Admitted where none is.
// It takes the arrival off the rates.
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

// drawJitter returns the next number from 0 to 1 of a sequence that the seed gives.
func (p *clientPolicy) drawJitter() float64 {
	p.jitterDraws++
	var input [12]byte
	binary.LittleEndian.PutUint64(input[:], uint64(p.rules.Seed))
	binary.LittleEndian.PutUint32(input[8:], p.jitterDraws)
	return float64(crc32.ChecksumIEEE(input[:])) / math.MaxUint32
}

// RetryAfter returns the time after which an admitted connection may retry a request, in seconds, while
// it may not have one open.
func (l *Limiter) RetryAfter(slot int32, now float64) float64 { return l.Reject(slot, NoFreeSlot, now) }

// MayOpenRequest reports whether a connection may open a request. Untrusted addresses that have slots of
// the reserve may not keep them by open requests, as those can't be taken back at once.
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
