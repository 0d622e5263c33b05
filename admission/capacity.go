package admission

import "swiftcourse/internal/timewindow"

const (
	// usableConcurrency is the fraction of the survivable concurrency that is used.
	usableConcurrency = 0.8
	// slowStartEpsilon is added to the age of a server and is the least duration of its warm-up, in
	// seconds: their quotient is always defined.
	slowStartEpsilon = 1e-9
	// keyLinger is how much longer than its time in the table a key's memory counts, in seconds.
	keyLinger = 0.01

	// experimentPeriod is for how many seconds an arm is tried.
	experimentPeriod = 1
	// experimentWeight is the weight of the latest period in an arm's moving average of about
	// three.
	experimentWeight = 0.3
	// explorationRate is the probability that the arm that seems worse is tried, as load changes.
	explorationRate = 0.15
	// armStep is how many more runnable requests a core the second arm has than the first.
	armStep = 0.5

	// stallRuns is the time without progress after which work counts as stalled, in mean runs of
	// the slowest class.
	stallRuns = 4
	// minSlowestMean is the least such mean, in seconds, for when little is known or runs are so
	// short that a pause of the cores would look like a stall.
	minSlowestMean = 0.25
	// maxUntimely is the time without a timely response, in seconds, after which backlogged work
	// counts as stalled.
	maxUntimely = 0.5
	// arrivalsExpire is the time without an arrival, in seconds, after which the unread delay is
	// forgotten.
	arrivalsExpire = 0.5
	// unreadTickDecay is the fraction of the unread delay that is left after a tick.
	unreadTickDecay = 0.98
)

// concurrencyLimiter bounds the requests that run at once.
type concurrencyLimiter struct {
	cores     float64
	perCore   float64 // running requests a core that a warm server survives
	slowStart slowStart
	runLimit  float64 // requests that may be on the cores now
	// experiment finds how many runnable requests a core serve best.
	experiment armExperiment
	gauges     Gauges // the latest; Runnable is negative once it was used
}

// slowStart is the warm-up of a server that starts cold.
type slowStart struct {
	SlowStartSettings
	startedAt float64
}

// armExperiment is a bandit with two arms: one runnable request a core, or half as many again.
type armExperiment struct {
	means     [2]float64 // value that each arm earned in a period
	arm       int
	periodEnd float64
	reward    float64 // value earned in the period at hand
	hadQueue  bool    // requests were queued in the period at hand
}

func newConcurrencyLimiter(settings *Settings, cores float64) concurrencyLimiter {
	return concurrencyLimiter{
		cores:     cores,
		perCore:   max(1, settings.Concurrency.PerCore),
		slowStart: slowStart{SlowStartSettings: settings.SlowStart},
		runLimit:  cores,
		gauges:    Gauges{Runnable: -1},
	}
}

// speedAt is the fraction of its speed that the server has.
func (s *slowStart) speedAt(now float64) float64 {
	age := now - s.startedAt + slowStartEpsilon
	return s.InitialSpeed + (1-s.InitialSpeed)*min(1, age/max(s.Duration, slowStartEpsilon))
}

// ceiling is how many running requests the cores survive, warming up or warm, less some headroom.
func (l *concurrencyLimiter) ceiling(now float64) float64 {
	return max(1, usableConcurrency*l.cores*(1+(l.perCore-1)*l.slowStart.speedAt(now)))
}

// nextArm ends a period and chooses the arm of the next one.
func (e *armExperiment) nextArm(now float64, random *randomSource) {
	if e.hadQueue {
		e.means[e.arm] += experimentWeight * (e.reward - e.means[e.arm])
		secondIsBetter := e.means[1] > e.means[0]
		explore := random.float() < explorationRate
		e.arm = 0
		if secondIsBetter != explore {
			e.arm = 1
		}
	}
	e.periodEnd = now + experimentPeriod
	e.reward = 0
	e.hadQueue = false
}

// hasConcurrencyRoom reports whether one more request may come to the cores, even if all calls
// return at once.
func (c *Controller) hasConcurrencyRoom() bool {
	return c.count(statesOnCore|stateCalling)+1 <= c.concurrency.ceiling(c.now)
}

// tuneRunLimit raises the run limit fast while cores are free and requests are queued. How many may
// be runnable a core beyond that is what the experiment finds.
func (c *Controller) tuneRunLimit() {
	l := &c.concurrency
	runnable := l.gauges.Runnable
	l.gauges.Runnable = -1 // each reading counts once
	hasQueue := c.count(stateQueued) > 0
	l.experiment.hadQueue = l.experiment.hadQueue || hasQueue
	if c.now >= l.experiment.periodEnd {
		l.experiment.nextArm(c.now, &c.random)
	}
	if runnable >= 0 && runnable < l.cores && hasQueue {
		l.runLimit += l.cores - runnable
	} else if runnable > l.cores*(1+armStep*float64(l.experiment.arm)) {
		l.runLimit--
	}
	l.runLimit = max(l.cores, min(l.runLimit, float64(len(c.requests)), l.ceiling(c.now)))
}

// memoryBudget accounts for the memory of requests and of keys.
type memoryBudget struct {
	limit         float64
	runningFactor float64 // memory of a running request over that of a queued one
	requests      float64 // memory of all requests
	keyMemory     float64 // of one key
	keys          timewindow.ExpiringNames
}

func newMemoryBudget(settings *Settings) memoryBudget {
	return memoryBudget{
		limit:         settings.Memory.Limit,
		runningFactor: max(1, settings.Memory.RunningFactor),
		keyMemory:     settings.Memory.PerKey,
	}
}

// weight is the memory that a request takes in its state.
func (m *memoryBudget) weight(r *request) float64 {
	if r.state&(stateQueued|stateCoalesced) != 0 {
		return r.memory
	}
	return r.memory * m.runningFactor
}

func (m *memoryBudget) reserve(r *request) { m.requests += m.weight(r) }
func (m *memoryBudget) release(r *request) { m.requests -= m.weight(r) }

// used is the memory of all requests and keys.
func (m *memoryBudget) used() float64 { return m.requests + float64(len(m.keys))*m.keyMemory }

// usedWithKey is the same with one more key.
func (m *memoryBudget) usedWithKey() float64 { return m.used() + m.keyMemory }

// progressMonitor detects when work stalls and when it recovers.
type progressMonitor struct {
	stalled     bool
	lastEnd     float64 // when a run or a call last ended
	lastTimely  float64 // when a request last ended within its soft deadline
	slowestMean float64 // the longest mean run of a class
}

// checkProgress reports the server unhealthy while work is stalled: the cores are taken yet nothing
// ended for a few runs, or arrivals are backlogged and no response was timely. Without the last
// condition all servers would be taken out of service together under plain overload.
func (c *Controller) checkProgress() {
	p := &c.progress
	coresTaken := c.count(statesOnCore) >= c.concurrency.cores
	nothingEnds := c.now-p.lastEnd > stallRuns*p.slowestMean
	nothingTimely := c.now-p.lastTimely > maxUntimely
	stalled := coresTaken && nothingEnds || c.arrivals.backlogged() && nothingTimely
	c.arrivals.unreadDelay *= unreadTickDecay
	if c.now-c.arrivals.last > arrivalsExpire { // nothing waits unread, and none could be timely
		c.arrivals.unreadDelay = 0
		p.lastTimely = c.now
	}
	if stalled != p.stalled && !c.drain.draining() {
		c.emit(Action{Kind: SetHealth, Healthy: !stalled})
	}
	p.stalled = stalled
}
