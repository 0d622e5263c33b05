package routing

// slowStartMargin is the mean number of requests that a worker in slow start receives, as a fraction
// of the number N that its configured speed allows. Forwarders draw independently, so the number of
// requests that all of them together send to the worker in a given time is approximately Poisson
// distributed, for any number of forwarders. For N from 1 to 100, that number exceeds
// N + 2 sqrt(N) + 2 in at most 16 of 10,000 cases if its mean is 0.8 N, and in up to 180 of 10,000 if
// its mean is N. See docs/design.md.
const slowStartMargin = 0.8

// slowStart configures how a worker's weight rises after the worker is connected: linearly, from
// initialSpeed to the full weight.
type slowStart struct {
	initialSpeed    float64 // fraction of the full weight, from 0 to 1
	durationSeconds float64 // 0 for no slow start
}

// SetSlowStart sets the fraction of its full weight with which a worker starts, and the time in
// seconds until it reaches the full weight. Slow start begins when a disconnected worker is connected.
// A duration of 0 or less changes nothing.
func (r *Router) SetSlowStart(initialSpeed, seconds float64) {
	if seconds > 0 {
		r.slowStart = slowStart{
			initialSpeed:    max(0, min(1, initialSpeed)),
			durationSeconds: seconds,
		}
	}
}

// factor returns the fraction of its full weight that a worker has the given number of seconds after
// it was connected, including slowStartMargin; 1 after the slow start.
func (s *slowStart) factor(sinceConnected float64) float64 {
	if sinceConnected >= s.durationSeconds {
		return 1
	}
	return slowStartMargin * (s.initialSpeed + (1-s.initialSpeed)*max(0, sinceConnected)/s.durationSeconds)
}

// slowStartFactor returns the fraction of its full weight that a worker has now.
func (r *Router) slowStartFactor(w *worker, now float64) float64 {
	return r.slowStart.factor(now - w.connectedAt)
}
