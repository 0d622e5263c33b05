package routing

import "swiftcourse/internal/policy/workercapacity"

const (
	// maxAttempts bounds the attempts of a request: a third would mostly end as the second did.
	maxAttempts = 2
	// retryRatio is how much a first attempt adds to the budget of retries, and maxRetryTokens what
	// may be saved up. So in an outage there are under 1.1 attempts per request.
	retryRatio     = 0.08
	maxRetryTokens = 10.0
)

// retryBudget is a token bucket that first attempts fill and retries empty.
type retryBudget struct{ tokens float64 }

// addFirstAttempt adds what one first attempt earns.
func (b *retryBudget) addFirstAttempt() { b.tokens = min(maxRetryTokens, b.tokens+retryRatio) }

// take takes the token of one retry, and returns false if there is none.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// StartAttempt records that a request goes to a worker. The first attempt of a request has number 1.
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

// FinishAttempt records how an attempt ended and how many seconds it took. The retryAfter is for
// how many seconds the worker asked for no more requests, 0 if it did not.
func (r *Router) FinishAttempt(now float64, name string, outcome Outcome, latency, retryAfter float64) {
	w := r.byName[name]
	if w == nil {
		return
	}
	w.inFlight = max(0, w.inFlight-1)
	r.decayPenalty(w, now)
	switch outcome {
	case Finished:
		r.latency += overallLatencySmoothing * (latency - r.latency)
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

// RetryCandidate is a request whose last attempt ended, and that AllowRetry decides about.
type RetryCandidate struct {
	LastOutcome    Outcome
	Attempts       int // so far
	IsIdempotent   bool
	Remaining      float64 // seconds to the request's deadline
	TypicalLatency float64 // of such requests
}

// isEligible reports whether another attempt is safe and has a chance to finish in time.
func (r *RetryCandidate) isEligible() bool {
	switch r.LastOutcome {
	case Finished, Failed, TimedOut, Cancelled:
		return false
	}
	if r.Attempts >= maxAttempts || r.Remaining <= r.TypicalLatency {
		return false
	}
	return r.IsIdempotent || r.LastOutcome.KnownNotExecuted()
}

// AllowRetry reports whether a request may have another attempt, and takes it from the budget of
// retries if so. A request is not retried if it may have been executed and is not idempotent, or if
// the remaining time is too short.
func (r *Router) AllowRetry(candidate RetryCandidate) bool {
	return candidate.isEligible() && r.retries.take()
}
