package connlimit

import "iter"

const (
	// shortageStep is how many connections fewer than now there may be when descriptors run short:
	// what it takes to hand one to the loop, and one.
	shortageStep = 4
	// minSlotsDivisor keeps a quarter of the slots whatever runs short: fewer would be no service.
	minSlotsDivisor = 4
	// slotRestoreInterval is how often, in seconds, one slot is restored after that: the shortage may
	// be over.
	slotRestoreInterval = 1
)

// slots is how many connections may be admitted, fewer than the rules say after a shortage.
type slots struct {
	limit      int
	restoredAt float64 // when the limit last changed, s
}

// HandleDescriptorShortage takes on that descriptors ran short although the limiter kept to its slots: there are
// fewer than the rules say. It goes by fewer slots from now on, and ExcessConnections lists what has to go.
func (l *Limiter) HandleDescriptorShortage(now float64) {
	policy := l.clientPolicy
	wanted := min(policy.slots.limit, policy.admitted-shortageStep)
	policy.slots.limit = max(1, policy.rules.MaxConnections/minSlotsDivisor, wanted)
	policy.slots.restoredAt = now
}

// ExcessConnections returns connections to close until ExcessCount is 0 or less: of untrusted addresses first, of
// those that hold most first.
func (l *Limiter) ExcessConnections(now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		if l.yieldHolders(holders{trusted: false, atLeast: 1}, now, yield) {
			l.yieldHolders(holders{trusted: true, atLeast: 1}, now, yield)
		}
	}
}

// ExcessCount returns how many connections are admitted beyond the slots.
func (l *Limiter) ExcessCount() int { return l.clientPolicy.admitted - l.clientPolicy.slots.limit }

// restoreSlot gives back one slot that was taken in a shortage, once its time has come.
func (p *clientPolicy) restoreSlot(now float64) {
	if p.slots.limit < p.rules.MaxConnections && now >= p.slots.restoredAt+slotRestoreInterval {
		p.slots.limit++
		p.slots.restoredAt = now
	}
}

// reservedSlots returns how many slots untrusted addresses can't keep from trusted ones: as large a
// part of those that there are as the rules say.
func (p *clientPolicy) reservedSlots() int {
	return p.rules.ReservedSlots * p.slots.limit / p.rules.MaxConnections
}
