package circuitbreaker

import (
	"math"

	"swiftcourse/internal/timewindow"
)

// Breaker is one server's circuit breaker for one service.
type Breaker struct {
	server, zone string
	calls        *timewindow.Buckets[Tally] // own calls, over windowSeconds
	fastestMean  timewindow.Minimum         // the least mean duration of successful calls, s
	reports      map[string]*receivedReport // by server
	sequence     uint64                     // of the last own report

	state         State
	stateSince    float64 // when the state began, s
	usualInFlight float64 // moving average of the calls in flight while the breaker was closed
	rampLimit     float64 // calls that may be in flight while it is half open
	rampedAt      float64 // when rampLimit last grew or was set, s
	lastCallSlot  int64   // the last probe slot in which a call was in flight
}

const (
	// throttledFraction is the part of the usual calls in flight that pass while the breaker is throttled.
	throttledFraction = 0.25
	// halfOpenFraction is the part that passes when an open breaker becomes half open. It grows by rampFactor
	// in each rampSeconds in which calls succeed, to all of them after two and a half seconds.
	halfOpenFraction = 0.05
	rampFactor       = 2.0
	rampSeconds      = 0.5
	// usualWeight is the weight of a new value in the moving average of calls in flight.
	usualWeight = 0.1
)

// New returns a closed breaker without any calls or reports. zone is "" if zones are not used.
func New(server, zone string, now float64) *Breaker {
	b := &Breaker{
		server:      server,
		zone:        zone,
		fastestMean: timewindow.NewMinimum(baselineBuckets, baselineBucketSeconds, now),
		reports:     map[string]*receivedReport{},
		stateSince:  now,
	}
	b.forgetCalls(now)
	return b
}

// forgetCalls drops all calls and reports, as they are from before a change of state.
func (b *Breaker) forgetCalls(now float64) {
	b.calls = timewindow.NewBuckets[Tally](windowBuckets, windowSeconds/windowBuckets, now)
	clear(b.reports)
}

// RecordCalls records the results of this server's calls since the last call of RecordCalls, and how many are
// in flight.
func (b *Breaker) RecordCalls(now float64, ended Tally, inFlight float64) {
	b.calls.Current(now).add(ended)
	if ended.Succeeded > 0 {
		b.fastestMean.Observe(now, ended.SuccessSeconds/float64(ended.Succeeded))
	}
	if inFlight > 0 || ended.calls() > 0 {
		b.lastCallSlot = slotNumber(now)
	}
	if b.state == Closed {
		b.usualInFlight += usualWeight * (inFlight - b.usualInFlight)
	}
}

// Decide moves the breaker to its next state. It returns how many calls may be in flight, +Inf for
// no limit, and whether the state changed. zoneServers returns the servers of this one's zone, with
// or without itself; it is called only if some of them are to be chosen to send probes.
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

// rampUp raises the limit of a half-open breaker while calls succeed. It reports whether the limit
// has reached the usual calls in flight.
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
	b.stateSince = now
}

// maxInFlight returns how many calls may be in flight in the current state.
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
func (b *Breaker) State() (state State, since float64) { return b.state, b.stateSince }
