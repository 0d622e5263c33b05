package circuitbreaker

import (
	"math"

	"swiftcourse/internal/timewindow"
)

// Breaker is one server's circuit breaker for one service.
type Breaker struct {
	server, zone string
	calls        *timewindow.Buckets[Tally] // own calls
	fastestMean  timewindow.Minimum         // of the seconds that successful calls took
	reports      map[string]*receivedReport // by server
	sequence     uint64                     // of the last own report

	state         State
	since         float64 // when the state began
	usualInFlight float64 // calls, mean of some seconds in which the breaker was closed
	rampLimit     float64 // calls that may be in flight while it is half open
	rampedAt      float64
	lastCallSlot  int64 // the last probe slot in which a call was in flight
}

const (
	// throttledFraction of the usual calls in flight pass while the breaker is throttled.
	throttledFraction = 0.25
	// halfOpenFraction of them pass at first when an open breaker becomes half open. It grows by rampFactor in each
	// rampSeconds in which calls succeed: all of them pass again after two seconds and a half.
	halfOpenFraction = 0.05
	rampFactor       = 2.0
	rampSeconds      = 0.5
	// usualWeight of a new value goes into the mean of calls in flight: a mean of some tens of values.
	usualWeight = 0.1
)

// New returns a closed breaker that knows nothing. zone is "" where zones aren't used.
func New(server, zone string, now float64) *Breaker {
	b := &Breaker{
		server:      server,
		zone:        zone,
		fastestMean: timewindow.NewMinimum(baselineBuckets, baselineBucketSeconds, now),
		reports:     map[string]*receivedReport{},
		since:       now,
	}
	b.forgetCalls(now)
	return b
}

// forgetCalls drops what is known of calls, which tells of a time that is over.
func (b *Breaker) forgetCalls(now float64) {
	b.calls = timewindow.New[Tally](windowBuckets, windowSeconds/windowBuckets, now)
	clear(b.reports)
}

// RecordCalls takes what became of this server's calls since the last time, and how many are in flight.
func (b *Breaker) RecordCalls(now float64, ended Tally, inFlight float64) {
	b.calls.Current(now).add(ended)
	if ended.Succeeded > 0 {
		b.fastestMean.Observe(now, ended.SuccessSeconds/float64(ended.Succeeded))
	}
	if inFlight > 0 || ended.calls() > 0 {
		b.lastCallSlot = probeSlot(now)
	}
	if b.state == Closed {
		b.usualInFlight += usualWeight * (inFlight - b.usualInFlight)
	}
}

// Decide moves the breaker to its next state. It returns how many calls may be in flight, +Inf for as many
// as without the breaker, and whether the state changed. zoneServers lists the servers of this one's zone,
// itself among them or not; it is called only where some of them are drawn to send probes.
func (b *Breaker) Decide(now float64, zoneServers func() []string) (maxInFlight float64, changed bool) {
	input := b.evidence(now)
	if b.rampUp(now, input) {
		input = recovered
	}
	if next := b.state.next(input); next != b.state {
		b.enter(now, next)
		changed = true
	}
	return b.maxInFlight(now, zoneServers), changed
}

// rampUp lets more calls pass where the breaker is half open and calls succeed. It returns whether as many
// pass as usual.
func (b *Breaker) rampUp(now float64, input evidence) bool {
	succeeding := input == healthy || input == slow
	if b.state != HalfOpen || !succeeding || now < b.rampedAt+rampSeconds {
		return false
	}
	b.rampedAt = now
	b.rampLimit *= rampFactor
	return b.rampLimit >= b.usualInFlight
}

// enter moves the breaker to another state.
func (b *Breaker) enter(now float64, next State) {
	if next == HalfOpen {
		b.rampedAt = now
		b.rampLimit = halfOpenFraction * b.usualInFlight
		if b.state == Throttled {
			b.rampLimit = throttledFraction * b.usualInFlight
		}
		b.forgetCalls(now)
	}
	b.state = next
	b.since = now
}

// maxInFlight is how many calls may be in flight in the present state.
func (b *Breaker) maxInFlight(now float64, zoneServers func() []string) float64 {
	switch b.state {
	case Throttled:
		return b.roundLimit(now, throttledFraction*b.usualInFlight, zoneServers)
	case Open:
		return b.roundLimit(now, 0, zoneServers)
	case HalfOpen:
		return b.roundLimit(now, b.rampLimit, zoneServers)
	}
	return math.Inf(1)
}

// State returns the state, and when it began in seconds.
func (b *Breaker) State() (state State, since float64) { return b.state, b.since }
