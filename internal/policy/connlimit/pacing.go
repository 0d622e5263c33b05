package connlimit

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// arrivalBurst is for how many seconds arrivals are saved up: half of all balancers return within
	// a second.
	arrivalBurst = 2
	// initialArrivalCost is what an arrival is taken to cost, in seconds of the core, until arrivals
	// in a row have shown it: twice what was seen on one machine (40 to 60 us).
	initialArrivalCost = 100e-6
	// minArrivalCost is the least that an arrival is taken to cost, in seconds.
	minArrivalCost = 1e-6
	// arrivalsPerSample is how many arrivals show what one costs: fewer would share what else the core
	// did meanwhile.
	arrivalsPerSample = 50
	// costBuckets and costBucketWidth, in seconds, are how long the least cost counts.
	costBuckets     = 10
	costBucketWidth = 1.0
)

// arrivalTokens is the token bucket of an address's or a prefix's new connections. Its rate is
// given with each call, as rules and trust change.
type arrivalTokens struct {
	tokens    float64
	updatedAt float64 // when tokens was right, s; before the first arrival -Inf
}

// take takes the token of one arrival and reports whether there was one. A rate of 0 a second is no
// limit.
func (b *arrivalTokens) take(now, rate float64) bool {
	if rate == 0 {
		return true
	}
	capacity := max(1, arrivalBurst*rate)
	b.tokens = min(capacity, b.tokens+max(0, min(now-b.updatedAt, arrivalBurst))*rate)
	if math.IsInf(b.updatedAt, -1) {
		b.tokens = capacity
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// arrivalCost learns what a new connection costs.
type arrivalCost struct {
	costs   timewindow.Minimum // CPU seconds per arrival
	count   int                // arrivals since the last sample
	cpuTime float64            // of the server at the last sample, s
}

// ObserveCPUTime tells the limiter how many CPU seconds the server has used so far. What an arrival costs is
// the least that was used for each of some in a row, with all that was done beside: in a storm of
// arrivals hardly anything else is.
func (l *Limiter) ObserveCPUTime(cpuTime, now float64) {
	arrivals := &l.clientPolicy.arrivals
	switch {
	case arrivals.count >= arrivalsPerSample:
		cost := (cpuTime - arrivals.cpuTime) / float64(arrivals.count)
		arrivals.costs.Observe(now, max(minArrivalCost, cost))
		arrivals.count = 0
		arrivals.cpuTime = cpuTime
	case arrivals.count == 0:
		arrivals.cpuTime = cpuTime
	}
}

// AcceptRate returns how many connections a second may be accepted: what the CPU share of the rules is
// enough for, at the cost of an arrival.
func (l *Limiter) AcceptRate(now float64) float64 {
	cost := initialArrivalCost
	if least := l.clientPolicy.arrivals.costs.Value(now); least > 0 {
		cost = min(cost, least)
	}
	return l.clientPolicy.rules.CPUShare / cost
}
