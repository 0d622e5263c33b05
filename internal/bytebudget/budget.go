// Package bytebudget limits the memory that clients together make a server hold.
//
// A Budget does no I/O and has no lock; one goroutine uses it, the event loop.
package bytebudget

import "math"

// Budget is an account of bytes that clients hold, with a limit on their sum.
//
// Half of the limit is shared by all clients as they come. The other half is reserved: of it, each
// client may use only an equal share, so that clients which hold much leave room for those which
// hold little.
type Budget struct {
	limit int
	used  int
}

// New returns a budget without any bytes in use. A limit of 0 or less means no limit.
func New(limit int) *Budget {
	if limit <= 0 {
		limit = math.MaxInt
	}
	return &Budget{limit: limit}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int { return b.used }

// Limit returns the maximum number of bytes in use.
func (b *Budget) Limit() int { return b.limit }

// Reserve adds n bytes for a client that holds held bytes, and is one of the given number of
// clients. It returns false, and changes nothing, if the limit does not allow that.
func (b *Budget) Reserve(n, held, clients int) bool {
	total := b.used + n
	if total > b.limit {
		return false
	}
	if total > b.limit/2 && held+n > b.share(clients) {
		return false
	}
	b.used = total
	return true
}

// share returns the part of the reserved half that each client may use.
func (b *Budget) share(clients int) int { return b.limit / 2 / max(1, clients) }

// Release returns n bytes that were reserved before.
func (b *Budget) Release(n int) { b.used -= n }
