package admission

const (
	// usableConcurrency is the fraction of the sustainable concurrency that is used.
	usableConcurrency = 0.8
	// slowStartEpsilonSeconds is added to the age of a server and is the minimum duration of its
	// warm-up, in seconds, so that their quotient is always defined.
	slowStartEpsilonSeconds = 1e-9

	// experimentPeriodSeconds is the time in seconds for which armExperiment tries an arm.
	experimentPeriodSeconds = 1
	// experimentWeight is the weight of the latest period in the mean reward of an arm, a moving
	// average of about three periods.
	experimentWeight = 0.3
	// explorationRate is the probability of trying the arm with the lower mean reward, as it may
	// have become the better one.
	explorationRate = 0.15
	// armStep is the difference between the arms, in runnable requests per core.
	armStep = 0.5
)

// concurrencyLimiter bounds the requests that run at once.
type concurrencyLimiter struct {
	cores              float64
	sustainablePerCore float64 // running requests per core that a warm server can sustain
	slowStart          slowStart
	runLimit           float64 // maximum number of requests on the cores now
	// experiment finds the number of runnable requests per core that earns the most value.
	experiment armExperiment
	gauges     Gauges // the latest; Runnable is negative once it was used
}

// slowStart is the warm-up of a server that starts cold.
type slowStart struct {
	SlowStartSettings
	startedAt float64
}

// armExperiment is a two-armed bandit: it tries two settings in turn and prefers the one with the
// higher mean reward. The first arm allows one runnable request per core, the second allows
// armStep more.
type armExperiment struct {
	means     [2]float64 // mean value that each arm earned in a period
	arm       int        // index of the arm in use: 0 or 1
	periodEnd float64
	reward    float64 // value earned in the current period
	hadQueue  bool    // whether requests were queued in the current period
}

func newConcurrencyLimiter(settings *Settings, cores float64) concurrencyLimiter {
	return concurrencyLimiter{
		cores:              cores,
		sustainablePerCore: max(1, settings.Concurrency.RunsPerCore),
		slowStart:          slowStart{SlowStartSettings: settings.SlowStart},
		runLimit:           cores,
		gauges:             Gauges{Runnable: -1},
	}
}

// speedAt returns the speed of the server at a time, as a fraction of its full speed.
func (s *slowStart) speedAt(now float64) float64 {
	age := now - s.startedAt + slowStartEpsilonSeconds
	return s.InitialSpeed + (1-s.InitialSpeed)*min(1, age/max(s.Duration, slowStartEpsilonSeconds))
}

// maxRunning returns the maximum number of running requests: those that the cores can sustain at
// the current speed of the server, less some headroom.
func (l *concurrencyLimiter) maxRunning(now float64) float64 {
	return max(1, usableConcurrency*l.cores*(1+(l.sustainablePerCore-1)*l.slowStart.speedAt(now)))
}

// nextArm ends a period and chooses the arm for the next one. The arm stays the same after a period
// without queued requests, which shows nothing about it.
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
	e.periodEnd = now + experimentPeriodSeconds
	e.reward = 0
	e.hadQueue = false
}

// hasConcurrencyRoom reports whether one more request may run. Requests in a call count as
// running, as all calls may return at once.
func (c *Controller) hasConcurrencyRoom() bool {
	return c.count(statesOnCore|stateCalling)+1 <= c.concurrency.maxRunning(c.now)
}

// tuneRunLimit raises the run limit by the number of free cores while requests are queued. It
// lowers the limit by one per tick while more requests per core are runnable than the current arm
// of the experiment allows. The limit is at least the number of cores, and otherwise at most
// maxRunning and the number of requests.
func (c *Controller) tuneRunLimit() {
	l := &c.concurrency
	runnable := l.gauges.Runnable
	l.gauges.Runnable = -1 // each measurement is used once
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
