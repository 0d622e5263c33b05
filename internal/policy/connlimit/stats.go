package connlimit

// Stats are the counts of a limiter with rules.
type Stats struct {
	Admitted          int // admitted connections
	MaxConnections    int // current limit on admitted connections
	ActiveUntrusted   int // admitted connections of untrusted addresses with an open request
	KnownAddresses    int // addresses in the table, with or without a connection
	RememberedTrusted int // trusted addresses without a connection
}

// Stats returns the counts of a limiter with rules.
func (l *Limiter) Stats() Stats {
	policy := l.clientPolicy
	table := policy.addresses
	return Stats{
		Admitted:          policy.admitted,
		MaxConnections:    policy.slots.limit,
		ActiveUntrusted:   policy.activeUntrusted,
		KnownAddresses:    len(table.entries) - int(table.queues[queueFree].count),
		RememberedTrusted: int(table.queues[queueTrusted].count),
	}
}

// RejectedCount returns the number of rejections for a reason, 0 for a limiter without rules.
func (l *Limiter) RejectedCount(reason RejectReason) int {
	if l.clientPolicy == nil {
		return 0
	}
	return l.clientPolicy.rejections[reason]
}
