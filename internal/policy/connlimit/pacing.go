package connlimit

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// arrivalBurst is the capacity of the token bucket, in seconds of its rate: after a failure
	// half of all balancers reconnect within a second.
	arrivalBurst = 2
	// initialArrivalCost is the cost of an arrival, in CPU seconds, that is assumed before one was
	// measured, and the most that is assumed later: twice what one machine took (40 to 60 us).
	initialArrivalCost = 100e-6
	// minArrivalCost is the least cost of an arrival that is assumed, in CPU seconds.
	minArrivalCost = 1e-6
	// arrivalsPerSample is how many arrivals make a sample of their cost: in a smaller one, other
	// work of the core would weigh more.
	arrivalsPerSample = 50
	// costBuckets times costBucketWidth, in seconds, is the window of the least cost.
	costBuckets     = 10
	costBucketWidth = 1.0
)

// arrivalTokens is the token bucket of an address's or a prefix's new connections. Each call passes
// the rate, as that changes with rules and trust.
type arrivalTokens struct {
	tokens    float64
	updatedAt float64 // when tokens was right, s; before the first arrival -Inf
}

// take takes a token for an arrival, and reports whether there was one. A rate of 0 is no limit.
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

// arrivalCost measures the CPU time of a new connection.
type arrivalCost struct {
	costs   timewindow.Minimum // CPU seconds per arrival
	count   int                // arrivals since the last sample
	cpuTime float64            // of the server at the last sample, s
}

// ObserveCPUTime records how many CPU seconds the server has used so far. The cost of an arrival is
// the least CPU time per arrival of the recent samples. It includes other work, of which there is
// little in a storm of arrivals.
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

// AcceptRate returns how many connections a second may be accepted within the CPU share of the rules.
func (l *Limiter) AcceptRate(now float64) float64 {
	cost := initialArrivalCost
	if least := l.clientPolicy.arrivals.costs.Value(now); least > 0 {
		cost = min(cost, least)
	}
	return l.clientPolicy.rules.CPUShare / cost
}
