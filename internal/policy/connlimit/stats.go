package connlimit

// Stats is what a limiter with rules holds.
type Stats struct {
	Admitted          int // connections that are admitted
	MaxConnections    int // connections that may be
	ActiveUntrusted   int // admitted connections of untrusted addresses with an open request
	KnownAddresses    int // addresses, with and without a connection
	RememberedTrusted int // trusted addresses without a connection
}

// Stats returns what a limiter with rules holds.
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

// RejectedCount returns how many connections were rejected for a reason.
func (l *Limiter) RejectedCount(reason RejectReason) int {
	if l.clientPolicy == nil {
		return 0
	}
	return l.clientPolicy.rejections[reason]
}
