package circuitbreaker

import (
	"math"

	"swiftcourse/internal/timewindow"
)

// Breaker is one server's circuit breaker for one service.
type Breaker struct {
	server, zone      string
	calls             *timewindow.Buckets[Tally] // results of own calls in the last windowSeconds
	lowestMeanSeconds timewindow.Minimum         // lowest recent mean duration of successful calls, s
	reports           map[string]*receivedReport // latest report by server
	sequence          uint64                     // number of the last own report

	state           State
	stateSince      float64 // when state was entered, s
	averageInFlight float64 // moving average of calls in flight while the breaker is closed
	rampLimit       float64 // limit on calls in flight while the breaker is half open
	lastRampAt      float64 // when rampLimit was last set or raised, s
	lastCallSlot    int64   // the last probe slot in which a call was in flight
}

const (
	// throttledFraction is the limit while the breaker is throttled, as a fraction of
	// averageInFlight.
	throttledFraction = 0.25
	// halfOpenFraction is the initial limit when an open breaker becomes half open, as a fraction
	// of averageInFlight. While calls succeed, the limit is multiplied by rampFactor every
	// rampSeconds, so it reaches averageInFlight after 2.5 s.
	halfOpenFraction = 0.05
	rampFactor       = 2.0
	rampSeconds      = 0.5
	// inFlightAverageWeight is the weight of a new value in the moving average averageInFlight.
	inFlightAverageWeight = 0.1
)

// New returns a closed breaker without calls or reports. zone is "" if zones are not used.
func New(server, zone string, now float64) *Breaker {
	b := &Breaker{
		server:            server,
		zone:              zone,
		lowestMeanSeconds: timewindow.NewMinimum(baselineBuckets, baselineBucketSeconds, now),
		reports:           map[string]*receivedReport{},
		stateSince:        now,
	}
	b.resetEvidence(now)
	return b
}

// resetEvidence removes all recorded calls and reports, so that those from before a change of state
// don't count after it.
func (b *Breaker) resetEvidence(now float64) {
	b.calls = timewindow.NewBuckets[Tally](windowBuckets, windowSeconds/windowBuckets, now)
	clear(b.reports)
}

// RecordCalls records the results of this server's calls that ended since the last RecordCalls, and
// the number of calls in flight now.
func (b *Breaker) RecordCalls(now float64, ended Tally, inFlight float64) {
	b.calls.Current(now).add(ended)
	if ended.Succeeded > 0 {
		b.lowestMeanSeconds.Observe(now, ended.SuccessSeconds/float64(ended.Succeeded))
	}
	if inFlight > 0 || ended.calls() > 0 {
		b.lastCallSlot = slotNumber(now)
	}
	if b.state == Closed {
		b.averageInFlight += inFlightAverageWeight * (inFlight - b.averageInFlight)
	}
}

// Decide moves the breaker to its next state. It returns the limit on calls in flight, +Inf for
// none, and whether the state changed. zoneServers returns the servers of this server's zone, with
// or without this server. It is called only to choose the servers that send probes.
func (b *Breaker) Decide(now float64, zoneServers func() []string) (maxInFlight float64, changed bool) {
	input := b.combinedEvidence(now)
	if b.rampUp(now, input) {
		input = recovered
	}
	if next := b.state.next(input); next != b.state {
		b.enter(now, next)
		changed = true
	}
	return b.maxInFlight(now, zoneServers), changed
}

// rampUp raises the limit of a half-open breaker every rampSeconds while calls succeed. It reports
// whether the limit has just reached averageInFlight.
func (b *Breaker) rampUp(now float64, input evidence) bool {
	succeeding := input == healthy || input == slow
	if b.state != HalfOpen || !succeeding || now < b.lastRampAt+rampSeconds {
		return false
	}
	b.lastRampAt = now
	b.rampLimit *= rampFactor
	return b.rampLimit >= b.averageInFlight
}

// enter moves the breaker to another state. When the breaker becomes half open, enter sets the
// initial limit and removes the evidence from before, which is about the failing service.
func (b *Breaker) enter(now float64, next State) {
	if next == HalfOpen {
		b.lastRampAt = now
		b.rampLimit = halfOpenFraction * b.averageInFlight
		if b.state == Throttled {
			b.rampLimit = throttledFraction * b.averageInFlight
		}
		b.resetEvidence(now)
	}
	b.state = next
	b.stateSince = now
}

// maxInFlight returns the limit on calls in flight in the current state, +Inf for none.
func (b *Breaker) maxInFlight(now float64, zoneServers func() []string) float64 {
	switch b.state {
	case Throttled:
		return b.roundLimit(now, throttledFraction*b.averageInFlight, zoneServers)
	case Open:
		return b.roundLimit(now, 0, zoneServers)
	case HalfOpen:
		return b.roundLimit(now, b.rampLimit, zoneServers)
	}
	return math.Inf(1)
}

// State returns the state and the time, in seconds, at which the breaker entered it.
func (b *Breaker) State() (state State, since float64) { return b.state, b.stateSince }
