package timewindow

// TokenBucket limits the rate of events: it gains Rate tokens per second, up to Capacity, and each
// event takes one token.
type TokenBucket struct {
	Rate      float64 // tokens per second
	Capacity  float64 // tokens
	tokens    float64
	updatedAt float64 // time of the latest refill; 0 before the first
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(rate, capacity float64) TokenBucket {
	return TokenBucket{Rate: rate, Capacity: capacity, tokens: capacity}
}

// SetRate changes the rate and the capacity from now on. The bucket keeps its tokens, up to the new
// capacity.
func (b *TokenBucket) SetRate(now, rate, capacity float64) {
	b.refill(now)
	b.Rate = rate
	b.Capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Refund puts back a token that was taken and not used.
func (b *TokenBucket) Refund() { b.tokens = min(b.Capacity, b.tokens+1) }

// Take takes a token, and reports false if there is none.
func (b *TokenBucket) Take(now float64) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens gained since the previous refill.
func (b *TokenBucket) refill(now float64) {
	if b.updatedAt > 0 {
		b.tokens = min(b.Capacity, b.tokens+(now-b.updatedAt)*b.Rate)
	}
	b.updatedAt = now
}
