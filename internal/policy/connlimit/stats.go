package connlimit

// Tally is what a limiter with rules holds.
type Tally struct {
	In            int // connections that are admitted
	Most          int // connections that may be
	BusyStrangers int // admitted connections of untrusted addresses with an open request
	Addresses     int // addresses, with and without a connection
	Known         int // trusted addresses without a connection
}

// Known returns what a limiter with rules holds.
func (l *Door) Known() Tally {
	policy := l.clientPolicy
	table := policy.addresses
	return Tally{
		In:            policy.admitted,
		Most:          policy.slots.limit,
		BusyStrangers: policy.activeUntrusted,
		Addresses:     len(table.entries) - int(table.queues[queueFree].count),
		Known:         int(table.queues[queueTrusted].count),
	}
}

// Turned returns how many connections were rejected for a reason.
func (l *Door) Turned(reason Cause) int {
	if l.clientPolicy == nil {
		return 0
	}
	return l.clientPolicy.rejections[reason]
}
