package connlimit

import "iter"

const (
	// shortageStep is by how many connections a descriptor shortage reduces the limit: the
	// descriptors that it takes to hand a connection to the event loop, and one more.
	shortageStep = 4
	// minSlotsDivisor is the divisor of the slots that gives the least limit in a shortage.
	minSlotsDivisor = 4
	// slotRestoreInterval is how often, in seconds, one slot is restored after a shortage, as it may be over.
	slotRestoreInterval = 1
)

// slots is the current limit on admitted connections, which a descriptor shortage lowers below that
// of the rules.
type slots struct {
	limit      int
	restoredAt float64 // when the limit last changed, s
}

// HandleDescriptorShortage lowers the limit on admitted connections after the server ran out of
// descriptors within it. ExcessConnections then lists the connections to close.
func (l *Limiter) HandleDescriptorShortage(now float64) {
	policy := l.clientPolicy
	wanted := min(policy.slots.limit, policy.admitted-shortageStep)
	policy.slots.limit = max(1, policy.rules.MaxConnections/minSlotsDivisor, wanted)
	policy.slots.restoredAt = now
}

// ExcessConnections returns connections to close, in order, until ExcessCount is 0 or less: those
// of untrusted addresses first, and among them those of the addresses with most connections.
func (l *Limiter) ExcessConnections(now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		if l.yieldHolders(holders{trusted: false, atLeast: 1}, now, yield) {
			l.yieldHolders(holders{trusted: true, atLeast: 1}, now, yield)
		}
	}
}

// ExcessCount returns by how much the admitted connections exceed the limit; it is negative while
// slots are free.
func (l *Limiter) ExcessCount() int { return l.clientPolicy.admitted - l.clientPolicy.slots.limit }

// restoreSlot raises a limit that a shortage lowered by one slot, if slotRestoreInterval has passed.
func (p *clientPolicy) restoreSlot(now float64) {
	if p.slots.limit < p.rules.MaxConnections && now >= p.slots.restoredAt+slotRestoreInterval {
		p.slots.limit++
		p.slots.restoredAt = now
	}
}

// reservedSlots returns how many slots untrusted addresses can't keep from trusted ones: the same
// fraction of the current limit as in the rules.
func (p *clientPolicy) reservedSlots() int {
	return p.rules.ReservedSlots * p.slots.limit / p.rules.MaxConnections
}
