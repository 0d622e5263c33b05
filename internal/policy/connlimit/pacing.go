package connlimit

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// arrivalBurstSeconds is the capacity of the token bucket, as the time in which the rate fills
	// it. It allows a burst because after a failure half of all balancers reconnect within a second.
	arrivalBurstSeconds = 2
	// initialArrivalCPUSeconds is the CPU time of an arrival that is assumed before the first sample,
	// and its upper bound later: twice a cost of 40 to 60 us.
	initialArrivalCPUSeconds = 100e-6
	// minArrivalCPUSeconds is the lower bound of the CPU time of an arrival.
	minArrivalCPUSeconds = 1e-6
	// arrivalsPerSample is the minimum number of arrivals in a sample of their CPU time. In a smaller
	// sample, other work on the core would distort the result more.
	arrivalsPerSample = 50
	// The minimum cost is taken over a window of costBuckets buckets of costBucketSeconds each.
	costBuckets       = 10
	costBucketSeconds = 1.0
)

// arrivalTokens is the token bucket that limits the rate of new connections of an address or a
// prefix. The rate is passed with each call, because it changes with the rules and with trust.
type arrivalTokens struct {
	tokens    float64
	updatedAt float64 // the time for which tokens is valid, s; -Inf before the first arrival
}

// take takes a token for an arrival and reports whether there was one. A rate of 0 means no limit.
func (b *arrivalTokens) take(now, rate float64) bool {
	if rate == 0 {
		return true
	}
	capacity := max(1, arrivalBurstSeconds*rate)
	b.tokens = min(capacity, b.tokens+max(0, min(now-b.updatedAt, arrivalBurstSeconds))*rate)
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

// arrivalCost measures the CPU time that an arriving connection costs.
type arrivalCost struct {
	costs   timewindow.Minimum // CPU seconds per arrival
	count   int                // arrivals since the last sample
	cpuTime float64            // CPU time used by the server at the last sample, s
}

// ObserveCPUTime records the CPU time, in seconds, that the server has used since it started. The cost
// of an arrival is estimated as the minimum CPU time per arrival over the recent samples. It includes
// other work of the server, but little of that is done while many connections arrive.
func (l *Limiter) ObserveCPUTime(cpuTime, now float64) {
	arrivals := &l.clientPolicy.arrivals
	switch {
	case arrivals.count >= arrivalsPerSample:
		cost := (cpuTime - arrivals.cpuTime) / float64(arrivals.count)
		arrivals.costs.Observe(now, max(minArrivalCPUSeconds, cost))
		arrivals.count = 0
		arrivals.cpuTime = cpuTime
	case arrivals.count == 0:
		arrivals.cpuTime = cpuTime
	}
}

// AcceptRate returns how many connections per second the server can accept within Rules.CPUShare.
func (l *Limiter) AcceptRate(now float64) float64 {
	cost := initialArrivalCPUSeconds
	if least := l.clientPolicy.arrivals.costs.Value(now); least > 0 {
		cost = min(cost, least)
	}
	return l.clientPolicy.rules.CPUShare / cost
}
