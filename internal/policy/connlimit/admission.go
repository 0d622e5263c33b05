package connlimit

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"net/netip"
)

const (
	// trustedLimitFactor is the ratio of a trusted address's limits to those of an untrusted one.
	// Trusted limits are higher because many machines may share the address of one gateway.
	trustedLimitFactor = 4
	// reservedSlotParts is the number of equal parts that the reserved slots are divided into.
	// Untrusted addresses may use free slots of all parts but one, so that trusted addresses always
	// find free slots in the remaining part.
	reservedSlotParts = 8
	// rejectionHalfLifeSeconds is the half-life of an address's rejection count. Each rejection
	// doubles the retry-after time, up to Rules.MaxRetryAfterSeconds.
	rejectionHalfLifeSeconds = 5
	// maxDoublings bounds the number of doublings of the retry-after time.
	maxDoublings = 16
)

// HandleArrival adds a new connection from an address at a free slot and returns Admitted or the
// reason why it was not admitted. The caller then acts on the reason:
//
//   - NoFreeSlot: close one of EvictionCandidatesFor and call Admit, or call Reject if there is no
//     candidate.
//   - HoldingAreaFull: close the connection immediately.
//   - Any other reason: the connection is held; reject its requests with retryAfter, in seconds.
func (l *Limiter) HandleArrival(slot int32, addr netip.Addr, now float64) (reason RejectReason, retryAfter float64) {
	policy := l.clientPolicy
	if policy == nil {
		l.HandleOpen(slot, now)
		return Admitted, 0
	}
	policy.arrivals.count++
	policy.restoreSlot(now)
	l.grow(slot)
	id := policy.findOrAddAddress(addr)
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

// holdingAreaFull reports whether no more connections of untrusted addresses may be held. The
// holding area may temporarily have up to twice Rules.HoldingSlots connections, until the oldest are
// closed.
func (l *Limiter) holdingAreaFull() bool {
	return l.Count(StateHeld)+l.Count(StateRejected) >= 2*l.clientPolicy.rules.HoldingSlots
}

// hold puts a new connection of an address in the holding area.
func (l *Limiter) hold(slot, id int32, now float64) {
	policy := l.clientPolicy
	l.connections[slot] = connection{lastHeard: now, addressNumber: id + 1}
	client := &policy.addresses.entries[id]
	client.held++
	policy.prefixes.entries[client.prefixIndex].held++
	policy.addresses.requeue(id)
	policy.prefixes.requeue(client.prefixIndex)
	l.enter(slot, StateHeld, now)
}

// exceededLimit returns the reason to reject a new connection of an address because of a limit, or
// Admitted if it exceeds none. It takes the connection's tokens from the rate limits' buckets.
func (p *clientPolicy) exceededLimit(client *addressEntry, now float64) RejectReason {
	if client.trustedByRule {
		return Admitted
	}
	prefix := &p.prefixes.entries[client.prefixIndex]
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
		return OverConnectionLimit
	case !client.trusted && p.rules.MaxPerPrefix > 0 && int(prefix.untrusted) >= p.rules.MaxPerPrefix:
		return OverConnectionLimit
	}
	return Admitted
}

// hasFreeSlot reports whether another connection of an address can be admitted without an eviction.
func (p *clientPolicy) hasFreeSlot(client *addressEntry) bool {
	if client.trusted {
		return p.admitted < p.slots.limit
	}
	unavailable := (p.reservedSlots() + reservedSlotParts - 1) / reservedSlotParts
	return p.admitted < p.slots.limit-unavailable
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

// Reject counts a rejection of a held connection and returns the retry-after time in seconds. The
// time doubles with each recent rejection of the address. Jitter spreads the retries of clients that
// were rejected together.
func (l *Limiter) Reject(slot int32, reason RejectReason, now float64) (retryAfter float64) {
	policy := l.clientPolicy
	policy.rejections[reason]++
	client, _ := policy.entriesOf(&l.connections[slot])
	client.rejections.set(client.rejections.valueAt(now, rejectionHalfLifeSeconds)+1, now)
	doublings := min(client.rejections.value-1, maxDoublings)
	base := min(policy.rules.MaxRetryAfterSeconds/2, policy.rules.MinRetryAfterSeconds*math.Exp2(doublings))
	return base * (1 + policy.drawJitter())
}

// drawJitter returns the next pseudorandom number, from 0 to 1, of the sequence determined by
// Rules.Seed.
func (p *clientPolicy) drawJitter() float64 {
	p.jitterDraws++
	var input [12]byte
	binary.LittleEndian.PutUint64(input[:], uint64(p.rules.Seed))
	binary.LittleEndian.PutUint32(input[8:], p.jitterDraws)
	return float64(crc32.ChecksumIEEE(input[:])) / math.MaxUint32
}

// RejectRequest counts the rejection of a request on an admitted connection for which MayOpenRequest
// returned false. Like Reject, it returns the retry-after time in seconds.
func (l *Limiter) RejectRequest(slot int32, now float64) float64 {
	return l.Reject(slot, NoFreeSlot, now)
}

// MayOpenRequest reports whether a connection may open a request. Untrusted addresses may not have
// open requests on reserved slots, because a connection with an open request can't be evicted.
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
