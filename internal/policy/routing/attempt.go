package routing

import "swiftcourse/internal/policy/workercapacity"

const (
	// maxAttempts bounds the attempts of a request. A third attempt would mostly end like the second.
	maxAttempts = 2
	// retryRatio is the number of tokens that a first attempt adds to the retry budget, and
	// maxRetryTokens its capacity. So in an outage there are fewer than 1.1 attempts per request.
	retryRatio     = 0.08
	maxRetryTokens = 10.0
)

// retryBudget is a token bucket that first attempts fill and retries drain.
type retryBudget struct{ tokens float64 }

// addFirstAttempt adds the tokens for one first attempt.
func (b *retryBudget) addFirstAttempt() { b.tokens = min(maxRetryTokens, b.tokens+retryRatio) }

// take takes the token for one retry and reports whether there was one.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// StartAttempt records the start of an attempt at a worker. The first attempt of a request has
// number 1.
func (r *Router) StartAttempt(name string, number int) {
	w := r.byName[name]
	if w == nil {
		return
	}
	w.inFlight++
	w.breaker.startAttempt()
	if number == 1 {
		r.retries.addFirstAttempt()
	}
}

// FinishAttempt records the outcome of an attempt and its latency in seconds. retryAfter is the time,
// in seconds, for which the worker asked to receive no more requests; 0 if it did not ask.
func (r *Router) FinishAttempt(now float64, name string, outcome Outcome, latency, retryAfter float64) {
	w := r.byName[name]
	if w == nil {
		return
	}
	w.inFlight = max(0, w.inFlight-1)
	r.decayPenalty(w, now)
	switch outcome {
	case Finished:
		r.averageLatency += overallLatencySmoothing * (latency - r.averageLatency)
		w.recordLatency(latency)
		w.updateCounts(func(counts *workercapacity.AttemptCounts) { counts.Finished++ })
	case Rejected:
		w.penalty.value += rejectionPenalty
		w.updateCounts(func(counts *workercapacity.AttemptCounts) { counts.Rejected++ })
		w.breaker.applyRetryAfter(now, retryAfter)
	case ConnectionLost, TimedOut:
		w.updateCounts(func(counts *workercapacity.AttemptCounts) { counts.Lost++ })
	}
	w.breaker.finishAttempt(now, outcome)
}

// RetryCandidate describes a request whose last attempt ended, for AllowRetry to decide whether it may
// be retried.
type RetryCandidate struct {
	LastOutcome           Outcome
	Attempts              int // number of attempts so far
	IsIdempotent          bool
	RemainingSeconds      float64 // seconds until the request's deadline
	TypicalLatencySeconds float64 // seconds that an attempt at such a request usually takes
}

// isEligible reports whether another attempt is safe and can be expected to finish in time.
func (r *RetryCandidate) isEligible() bool {
	switch r.LastOutcome {
	case Finished, Failed, TimedOut, Cancelled:
		return false
	}
	if r.Attempts >= maxAttempts || r.RemainingSeconds <= r.TypicalLatencySeconds {
		return false
	}
	return r.IsIdempotent || r.LastOutcome.KnownNotExecuted()
}

// AllowRetry reports whether a request may be retried and, if so, takes a token from the retry budget.
// A request is not retried if it may have been executed and is not idempotent, or if the remaining
// time is too short.
func (r *Router) AllowRetry(candidate RetryCandidate) bool {
	return candidate.isEligible() && r.retries.take()
}
