package timewindow

import "slices"

// ExpiringNames is a list of names, each of which runs out at its time.
type ExpiringNames []expiring

type expiring struct {
	name  string
	until float64
}

// Add puts a name in.
func (l *ExpiringNames) Add(name string, until float64) { *l = append(*l, expiring{name, until}) }

// Expire takes out what has run out by now.
func (l *ExpiringNames) Expire(now float64) {
	*l = slices.DeleteFunc(*l, func(e expiring) bool { return e.until <= now })
}

// Remove takes a name out and tells whether it was there.
func (l *ExpiringNames) Remove(name string) bool {
	n := len(*l)
	*l = slices.DeleteFunc(*l, func(e expiring) bool { return e.name == name })
	return len(*l) < n
}

// TokenBucket grows at Rate a second up to Most and is used up one by one.
type TokenBucket struct{ Rate, Capacity, tokens, updatedAt float64 }

// NewTokenBucket returns a full allowance.
func NewTokenBucket(rate, most float64) TokenBucket {
	return TokenBucket{Rate: rate, Capacity: most, tokens: most}
}

// SetRate has it grow at another rate, up to another most, from now on; what is there stays as far as that goes.
func (a *TokenBucket) SetRate(now, rate, most float64) {
	if a.updatedAt > 0 {
		a.tokens = min(a.Capacity, a.tokens+(now-a.updatedAt)*a.Rate)
	}
	a.Rate, a.Capacity, a.updatedAt = rate, most, now
	a.tokens = min(a.tokens, most)
}

// Refund puts one back that was not used.
func (a *TokenBucket) Refund() { a.tokens = min(a.Capacity, a.tokens+1) }

// Take uses one up and tells whether there was one.
func (a *TokenBucket) Take(now float64) bool {
	if a.updatedAt > 0 {
		a.tokens = min(a.Capacity, a.tokens+(now-a.updatedAt)*a.Rate)
	}
	a.updatedAt = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
