package connlimit

import "iter"

const (
	// shortageStep is the number of connections by which a file descriptor shortage lowers the limit:
	// one more than the descriptors needed to hand a connection to the event loop.
	shortageStep = 4
	// minSlotsDivisor determines the lowest limit in a shortage: Rules.MaxConnections divided by it.
	minSlotsDivisor = 4
	// slotRestoreIntervalSeconds is the interval at which one slot is restored after a shortage, as the
	// shortage may have ended.
	slotRestoreIntervalSeconds = 1
)

// slotLimit is the current limit on admitted connections. A file descriptor shortage lowers it below
// Rules.MaxConnections.
type slotLimit struct {
	limit     int
	changedAt float64 // when the limit last changed, s
}

// HandleDescriptorShortage lowers the limit on admitted connections after the server ran out of file
// descriptors although it was within the limit. The caller then closes connections from
// ExcessConnections.
func (l *Limiter) HandleDescriptorShortage(now float64) {
	policy := l.clientPolicy
	wanted := min(policy.slots.limit, policy.admitted-shortageStep)
	policy.slots.limit = max(1, policy.rules.MaxConnections/minSlotsDivisor, wanted)
	policy.slots.changedAt = now
}

// ExcessConnections returns the connections to close, in order, until ExcessCount is 0 or less:
// first those of untrusted addresses, then those of trusted ones, and of each kind those of the
// addresses with the most connections first.
func (l *Limiter) ExcessConnections(now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		if l.yieldFromAddresses(addressFilter{trusted: false, minConnections: 1}, now, yield) {
			l.yieldFromAddresses(addressFilter{trusted: true, minConnections: 1}, now, yield)
		}
	}
}

// ExcessCount returns the number of admitted connections over the limit. It is negative while slots
// are free.
func (l *Limiter) ExcessCount() int { return l.clientPolicy.admitted - l.clientPolicy.slots.limit }

// restoreSlot raises the limit by one slot if a shortage lowered it and slotRestoreIntervalSeconds
// have passed since its last change.
func (p *clientPolicy) restoreSlot(now float64) {
	if p.slots.limit < p.rules.MaxConnections && now >= p.slots.changedAt+slotRestoreIntervalSeconds {
		p.slots.limit++
		p.slots.changedAt = now
	}
}

// reservedSlots returns the number of slots reserved for trusted addresses: the same fraction of the
// current limit as Rules.ReservedSlots is of Rules.MaxConnections.
func (p *clientPolicy) reservedSlots() int {
	return p.rules.ReservedSlots * p.slots.limit / p.rules.MaxConnections
}
