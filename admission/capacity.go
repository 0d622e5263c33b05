package admission

const (
	// usableConcurrency is the fraction of the survivable concurrency that is used.
	usableConcurrency = 0.8
	// slowStartEpsilon is added to the age of a server and is the least duration of its warm-up, in
	// seconds: their quotient is always defined.
	slowStartEpsilon = 1e-9

	// experimentPeriod is for how many seconds armExperiment tries an arm.
	experimentPeriod = 1
	// experimentWeight is the weight of the latest period in an arm's moving average of about three
	// periods.
	experimentWeight = 0.3
	// explorationRate is the probability that the arm that seems worse is tried, as it may have become
	// the better one.
	explorationRate = 0.15
	// armStep is how many more runnable requests a core the second arm has than the first.
	armStep = 0.5
)

// concurrencyLimiter bounds the requests that run at once.
type concurrencyLimiter struct {
	cores             float64
	survivablePerCore float64 // running requests a core that a warm server survives
	slowStart         slowStart
	runLimit          float64 // requests that may be on the cores now
	// experiment finds how many runnable requests a core serve best.
	experiment armExperiment
	gauges     Gauges // the latest; Runnable is set negative once it was used
}

// slowStart is the warm-up of a server that starts cold.
type slowStart struct {
	SlowStartSettings
	startedAt float64
}

// armExperiment is a two-armed bandit: an algorithm that tries two settings in turn and keeps to the one
// that earns more. The first arm is one runnable request a core, the second is half as many again.
type armExperiment struct {
	means     [2]float64 // value that each arm earned in a period
	arm       int        // in use: 0 or 1
	periodEnd float64
	reward    float64 // value earned in the period at hand
	hadQueue  bool    // requests were queued in the period at hand
}

func newConcurrencyLimiter(settings *Settings, cores float64) concurrencyLimiter {
	return concurrencyLimiter{
		cores:             cores,
		survivablePerCore: max(1, settings.Concurrency.PerCore),
		slowStart:         slowStart{SlowStartSettings: settings.SlowStart},
		runLimit:          cores,
		gauges:            Gauges{Runnable: -1},
	}
}

// speedAt returns the fraction of its speed that the server has.
func (s *slowStart) speedAt(now float64) float64 {
	age := now - s.startedAt + slowStartEpsilon
	return s.InitialSpeed + (1-s.InitialSpeed)*min(1, age/max(s.Duration, slowStartEpsilon))
}

// maxRunning returns how many running requests are allowed: as many as the cores survive at the present
// speed of the server, less some headroom.
func (l *concurrencyLimiter) maxRunning(now float64) float64 {
	return max(1, usableConcurrency*l.cores*(1+(l.survivablePerCore-1)*l.slowStart.speedAt(now)))
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

// hasConcurrencyRoom reports whether one more request may run, even if all calls return at once and
// their requests run on.
func (c *Controller) hasConcurrencyRoom() bool {
	return c.count(statesOnCore|stateCalling)+1 <= c.concurrency.maxRunning(c.now)
}

// tuneRunLimit raises the run limit at once while cores are free and requests are queued. It lowers it
// step by step while more requests a core are runnable than the present arm of the experiment allows.
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
	l.runLimit = max(l.cores, min(l.runLimit, float64(len(c.requests)), l.maxRunning(c.now)))
}
