package serving

import "cmp"

// CounterKey identifies a counter cell, which counts one tenant's requests of one class. The zero
// CounterKey identifies the overflow cell, which counts all requests without a cell of their own.
type CounterKey struct {
	Tenant string
	Class  string `json:"Stage"`
}

// Compare orders keys by tenant, then by class.
func (k CounterKey) Compare(other CounterKey) int {
	return cmp.Or(cmp.Compare(k.Tenant, other.Tenant), cmp.Compare(k.Class, other.Class))
}

// RequestCounts holds the number of received requests and the number for each outcome.
type RequestCounts struct {
	Received  uint64 `json:"Asked"`
	Finished  uint64
	Rejected  uint64
	Abandoned uint64
}

// Add returns the sum of both counts.
func (c RequestCounts) Add(other RequestCounts) RequestCounts {
	return RequestCounts{
		Received:  c.Received + other.Received,
		Finished:  c.Finished + other.Finished,
		Rejected:  c.Rejected + other.Rejected,
		Abandoned: c.Abandoned + other.Abandoned,
	}
}

// Sub returns the difference of both counts. The receiver must cover other (see Covers); otherwise
// the result wraps around.
func (c RequestCounts) Sub(other RequestCounts) RequestCounts {
	return RequestCounts{
		Received:  c.Received - other.Received,
		Finished:  c.Finished - other.Finished,
		Rejected:  c.Rejected - other.Rejected,
		Abandoned: c.Abandoned - other.Abandoned,
	}
}

// Covers reports whether each count is at least as large as in other.
func (c RequestCounts) Covers(other RequestCounts) bool {
	return c.Received >= other.Received &&
		c.Finished >= other.Finished &&
		c.Rejected >= other.Rejected &&
		c.Abandoned >= other.Abandoned
}

// CounterCell holds the counts of one key.
type CounterCell struct {
	CounterKey
	RequestCounts
}
