package routing

// workerState is the state of a worker's circuit breaker.
type workerState uint8

// The states of a worker.
const (
	healthy      workerState = iota
	ejected                  // it lost several attempts and receives no requests until the ejection expires
	probing                  // it receives one request at a time, to find out whether it has recovered
	disconnected             // there is no connection to it
	workerStateCount
)

// String returns the name of the state.
func (s workerState) String() string {
	return [...]string{"healthy", "ejected", "probing", "disconnected", "unknown"}[min(s, workerStateCount)]
}

// workerEvent is an event that may change a worker's state.
type workerEvent uint8

const (
	responded               workerEvent = iota // it answered an attempt, with any answer
	failureThresholdReached                    // it lost maxConsecutiveLosses attempts in a row
	attemptLost                                // it lost one attempt
	ejectionExpired
	connectionClosed
	connectionOpened
)

// transitions is the state table. An event that is not listed for a state does not change it.
var transitions = [...]struct {
	state workerState
	event workerEvent
	next  workerState
}{
	{healthy, failureThresholdReached, ejected},
	{healthy, connectionClosed, disconnected},
	{ejected, ejectionExpired, probing},
	{ejected, connectionClosed, disconnected},
	{probing, responded, healthy},
	{probing, attemptLost, ejected},
	{probing, connectionClosed, disconnected},
	{disconnected, connectionOpened, healthy},
}

const (
	// maxConsecutiveLosses is the number of attempts lost in a row that ejects a worker. Healthy
	// workers occasionally lose one or two.
	maxConsecutiveLosses = 3
	// idempotentProbeSeconds is how long a worker is probed only with idempotent requests. If none
	// arrives in that time, any request may probe it.
	idempotentProbeSeconds = 1.0
	// minEjectionSeconds is the duration of the first ejection. The duration doubles with each further
	// ejection until the worker answers, up to maxEjectionSeconds, which also bounds a worker's
	// Retry-After.
	minEjectionSeconds = 0.25
	maxEjectionSeconds = 4.0
)

// circuitBreaker decides whether a worker may receive requests.
type circuitBreaker struct {
	state               workerState
	probeInFlight       bool
	probingSince        float64
	consecutiveLosses   int
	nextEjectionSeconds float64
	unavailableUntil    float64 // end of the ejection or of the worker's Retry-After
}

// newCircuitBreaker returns the circuit breaker of a worker that is not connected.
func newCircuitBreaker() circuitBreaker {
	return circuitBreaker{state: disconnected, nextEjectionSeconds: minEjectionSeconds}
}

// handle applies an event to the state.
func (b *circuitBreaker) handle(event workerEvent) {
	for _, transition := range transitions {
		if transition.state == b.state && transition.event == event {
			b.state = transition.next
			return
		}
	}
}

// connect records that the worker is connected.
func (b *circuitBreaker) connect() {
	b.handle(connectionOpened)
	b.probeInFlight = false
	b.unavailableUntil = 0
}

// disconnect records that the worker is not connected.
func (b *circuitBreaker) disconnect() { b.handle(connectionClosed) }

// expireEjection starts to probe an ejected worker when its ejection has expired.
func (b *circuitBreaker) expireEjection(now float64) {
	if b.state == ejected && now >= b.unavailableUntil {
		b.handle(ejectionExpired)
		b.probingSince = now
	}
}

// available reports whether the worker may receive idempotent requests now. For other requests see
// acceptsOnlyIdempotent.
func (b *circuitBreaker) available(now float64) bool {
	switch b.state {
	case ejected, disconnected:
		return false
	case probing:
		if b.probeInFlight {
			return false
		}
	}
	return now >= b.unavailableUntil
}

// acceptsOnlyIdempotent reports whether the worker is still probed only with idempotent requests.
func (b *circuitBreaker) acceptsOnlyIdempotent(now float64) bool {
	return b.state == probing && now < b.probingSince+idempotentProbeSeconds
}

// startAttempt records the start of an attempt at the worker.
func (b *circuitBreaker) startAttempt() {
	if b.state == probing {
		b.probeInFlight = true
	}
}

// applyRetryAfter makes the worker unavailable for retryAfter seconds, at most maxEjectionSeconds.
func (b *circuitBreaker) applyRetryAfter(now, retryAfter float64) {
	b.unavailableUntil = max(b.unavailableUntil, now+min(retryAfter, maxEjectionSeconds))
}

// finishAttempt records the outcome of an attempt.
func (b *circuitBreaker) finishAttempt(now float64, outcome Outcome) {
	switch outcome {
	case Finished, Rejected, Failed:
		b.consecutiveLosses = 0
		b.nextEjectionSeconds = minEjectionSeconds
		b.probeInFlight = false
		b.handle(responded)
	case ConnectionLost, TimedOut:
		b.consecutiveLosses++
		thresholdReached := b.state == healthy && b.consecutiveLosses >= maxConsecutiveLosses
		if b.state == probing || thresholdReached {
			b.eject(now)
		}
	case NotSent, Cancelled:
		b.probeInFlight = false
	}
}

// eject ejects the worker for nextEjectionSeconds, and doubles the duration of the next ejection.
func (b *circuitBreaker) eject(now float64) {
	b.unavailableUntil = now + b.nextEjectionSeconds
	b.nextEjectionSeconds = min(maxEjectionSeconds, 2*b.nextEjectionSeconds)
	b.probeInFlight = false
	if b.state == probing {
		b.handle(attemptLost)
		return
	}
	b.handle(failureThresholdReached)
}
