package routing

// slowStartMargin is the fraction that a worker in slow start receives of the requests that its
// stated speed allows. Forwarders draw independently of one another, so the number that all of them
// send to one worker in a time is about Poisson distributed around its mean, however many forwarders
// there are. With a mean of 0.8 of the N requests that are allowed, it exceeds N + 2 sqrt(N) + 2 in
// at most 16 of 10,000 such times for N from 1 to 100; with a mean of N in up to 180. See
// docs/design.md.
const slowStartMargin = 0.8

// slowStart is how a worker's weight rises after it is connected: from a fraction of its speed, and
// linearly to all of it.
type slowStart struct {
	initialSpeed float64 // from 0 to 1
	seconds      float64 // 0 if there is no slow start
}

// SetSlowStart sets the fraction of its speed at which a worker starts, and the seconds until it
// reaches all of it. A worker starts when a connection to it comes up after there was none.
func (r *Router) SetSlowStart(initialSpeed, seconds float64) {
	if seconds > 0 {
		r.slowStart = slowStart{
			initialSpeed: max(0, min(1, initialSpeed)),
			seconds:      seconds,
		}
	}
}

// factor returns the fraction of its weight that a worker has at a time after it connected; 1 after
// the slow start.
func (s *slowStart) factor(sinceConnected float64) float64 {
	if sinceConnected >= s.seconds {
		return 1
	}
	return slowStartMargin * (s.initialSpeed + (1-s.initialSpeed)*max(0, sinceConnected)/s.seconds)
}

// slowStartFactor returns the fraction of its weight that a worker has now.
func (r *Router) slowStartFactor(w *worker, now float64) float64 {
	return r.slowStart.factor(now - w.connectedAt)
}
