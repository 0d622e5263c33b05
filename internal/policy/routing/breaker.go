package routing

// workerState is the state of the circuit breaker of a worker.
type workerState uint8

// The states of a worker.
const (
	healthy      workerState = iota
	ejected                  // it lost attempts and receives no requests for a while
	probing                  // it receives one request at a time, to see whether it has recovered
	disconnected             // there is no connection to it
	workerStateCount
)

// String returns the name of the state.
func (s workerState) String() string {
	return [...]string{"healthy", "ejected", "probing", "disconnected", "unknown"}[min(s, workerStateCount)]
}

// workerEvent is what can change a worker's state.
type workerEvent uint8

const (
	responded               workerEvent = iota // it answered an attempt, whatever the answer
	failureThresholdReached                    // it lost several attempts in a row
	attemptLost                                // it lost one attempt
	ejectionExpired
	connectionClosed
	connectionOpened
)

// transitions are all changes of state. An event that is not listed for a state does not change it.
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
	// maxConsecutiveLosses attempts lost in a row eject a worker: one or two happen to any.
	maxConsecutiveLosses = 3
	// idempotentProbeSeconds is for how long only idempotent requests probe a worker. If none
	// arrives in that time any request may.
	idempotentProbeSeconds = 1.0
	// minEjectionSeconds is how long the first ejection lasts. Each that follows without an answer
	// lasts twice as long, up to maxEjectionSeconds. The maximum holds for a Retry-After too.
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

// newCircuitBreaker returns the breaker of a worker that is not connected.
func newCircuitBreaker() circuitBreaker {
	return circuitBreaker{state: disconnected, nextEjectionSeconds: minEjectionSeconds}
}

// handle changes the state by the table of transitions.
func (b *circuitBreaker) handle(event workerEvent) {
	for _, transition := range transitions {
		if transition.state == b.state && transition.event == event {
			b.state = transition.next
			return
		}
	}
}

// connect records that there is a connection.
func (b *circuitBreaker) connect() {
	b.handle(connectionOpened)
	b.probeInFlight = false
	b.unavailableUntil = 0
}

// disconnect records that there is no connection.
func (b *circuitBreaker) disconnect() { b.handle(connectionClosed) }

// expireEjection starts to probe an ejected worker once its time is over.
func (b *circuitBreaker) expireEjection(now float64) {
	if b.state == ejected && now >= b.unavailableUntil {
		b.handle(ejectionExpired)
		b.probingSince = now
	}
}

// available reports whether at least idempotent requests may go to the worker now.
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

// acceptsOnlyIdempotent reports whether only idempotent requests may probe the worker still.
func (b *circuitBreaker) acceptsOnlyIdempotent(now float64) bool {
	return b.state == probing && now < b.probingSince+idempotentProbeSeconds
}

// startAttempt records that a request goes to the worker.
func (b *circuitBreaker) startAttempt() {
	if b.state == probing {
		b.probeInFlight = true
	}
}

// applyRetryAfter keeps requests away for as long as the worker asked, up to the longest ejection.
func (b *circuitBreaker) applyRetryAfter(now, retryAfter float64) {
	b.unavailableUntil = max(b.unavailableUntil, now+min(retryAfter, maxEjectionSeconds))
}

// finishAttempt records how an attempt ended.
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

// eject keeps requests away for nextEjectionSeconds, and doubles that for the next time.
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
