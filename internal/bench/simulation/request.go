package simulation

import (
	"fmt"
	"strconv"
)

// outcome is how an attempt or a request ended.
type outcome uint8

const (
	finished outcome = iota
	late             // finished after the soft deadline
	rejected
	abandoned
	timedOut       // the caller's timeout passed
	connectionLost // the server died
	unreachable    // there was no server to try
)

// requestSim is one run of a scenario.
type requestSim struct {
	*clock
	scenario       *Scenario
	servers        []*server
	downstream     *machine
	downstreamDead bool
	nextServer     int // of the round-robin balancer
	requestCount   int
	tally          tally
}

// tally is what a run counts.
type tally struct {
	rows           []ClassRow
	runs           int
	calls          int
	wasted         float64 // work without use, in seconds of a core
	violations     []string
	violationCount int
}

// maxViolations bounds the violations that are listed.
const maxViolations = 20

// addViolation counts a violation and lists it, up to maxViolations.
func (t *tally) addViolation(violation string) {
	t.violationCount++
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, violation)
	}
}

// request is a client's request.
type request struct {
	*requestSim
	number    int
	class     int
	work      float64
	arrivedAt float64
	attempts  int
	isDone    bool
	current   *attempt
}

// ClassRow is the result of the requests of a class.
type ClassRow struct {
	Class        string  `json:"stage"`
	Received     int     `json:"asked"`
	Finished     int     `json:"finished"` // by the soft deadline
	Late         int     `json:"late"`
	Rejected     int     `json:"rejected"`
	Abandoned    int     `json:"abandoned"`
	TimedOut     int     `json:"timed_out"`
	Unreachable  int     `json:"unreachable"` // no server was left to try, or it died
	Attempts     int     `json:"attempts"`
	Mean         float64 `json:"mean_s"` // latency of those finished
	totalSeconds float64
}

// Report is the result of a scenario.
type Report struct {
	Scenario       string     `json:"scenario"`
	Seed           uint64     `json:"seed"`
	Rows           []ClassRow `json:"stages"`
	Runs           int        `json:"runs"`
	Calls          int        `json:"calls"`
	WastedShare    float64    `json:"wasted_share"` // of all work done, what was of no use
	Events         int        `json:"events"`
	ViolationCount int        `json:"rules_broken"`
	Violations     []string   `json:"broken"` // the first of them
}

// ClassColumns are the heads of the table.
var ClassColumns = []string{
	"stage", "asked", "finished", "late", "rejected", "abandoned", "timed out", "unreachable", "a task", "mean s",
}

// Cells returns the row for the table.
func (r ClassRow) Cells() []string {
	attemptsPerRequest := float64(r.Attempts) / float64(max(1, r.Received))
	return []string{
		r.Class,
		strconv.Itoa(r.Received),
		strconv.Itoa(r.Finished),
		strconv.Itoa(r.Late),
		strconv.Itoa(r.Rejected),
		strconv.Itoa(r.Abandoned),
		strconv.Itoa(r.TimedOut),
		strconv.Itoa(r.Unreachable),
		fmt.Sprintf("%.3f", attemptsPerRequest),
		fmt.Sprintf("%.4f", r.Mean),
	}
}

// Run simulates a scenario to its end, and until all requests have ended.
func Run(scenario *Scenario) Report {
	p := &requestSim{clock: newClock(scenario.Seed), scenario: scenario}
	p.downstream = newMachine(p.clock, max(1, scenario.Downstream.Cores))
	longestTimeout := 0.0
	for _, class := range scenario.Classes {
		p.tally.rows = append(p.tally.rows, ClassRow{Class: class.Name})
		longestTimeout = max(longestTimeout, class.Timeout)
	}
	for i := range scenario.Servers {
		p.addServer(i)
	}
	for _, fault := range scenario.Faults {
		p.after(fault.At, func() { p.inject(fault) })
	}
	p.scheduleArrival()
	p.run(scenario.Seconds + 2*longestTimeout + drainTimeout)
	return p.buildReport()
}

// addServer starts a server that balancers know from the beginning.
func (p *requestSim) addServer(number int) {
	added := &server{requestSim: p, number: number, machine: newMachine(p.clock, p.scenario.Cores), speedFactor: 1}
	added.machine.onRunCount = added.checkOverload
	p.servers = append(p.servers, added)
	added.start(false)
	added.listed = true
}

// buildReport sums up the run.
func (p *requestSim) buildReport() Report {
	totalWork := 0.0
	for _, s := range p.servers {
		s.machine.advance()
		totalWork += s.machine.totalWork
	}
	for i := range p.tally.rows {
		row := &p.tally.rows[i]
		row.Mean = row.totalSeconds / float64(max(1, row.Finished+row.Late))
	}
	return Report{
		Scenario:       p.scenario.Name,
		Seed:           p.scenario.Seed,
		Rows:           p.tally.rows,
		Runs:           p.tally.runs,
		Calls:          p.tally.calls,
		WastedShare:    p.tally.wasted / max(workEpsilon, totalWork),
		Events:         p.events,
		ViolationCount: p.tally.violationCount,
		Violations:     p.tally.violations,
	}
}

// inject starts a fault of the scenario.
func (p *requestSim) inject(f Fault) {
	s := p.servers[f.Server]
	restart := func() {
		if !s.alive {
			s.start(true)
		}
	}
	switch f.Kind {
	case faultCrash:
		s.kill()
		p.after(f.Duration, restart)
	case faultDrain:
		s.drain()
		p.after(drainTimeout+f.Duration, restart)
	case faultDownstreamSlow:
		p.downstream.setSpeed(f.Factor)
		p.after(f.Duration, func() { p.downstream.setSpeed(1) })
	case faultDownstreamDead: // it takes calls and answers none
		p.downstreamDead = true
		p.downstream.clear()
		p.after(f.Duration, func() { p.downstreamDead = false })
	case faultSlow:
		s.speedFactor = f.Factor
		s.setSpeed(1)
		p.after(f.Duration, func() {
			s.speedFactor = 1
			s.setSpeed(1)
		})
	}
}

// drawDelay draws the delay of a message, one way.
func (p *requestSim) drawDelay() float64 { return p.exponential(p.scenario.Delay) }

// scheduleArrival schedules the next request.
func (p *requestSim) scheduleArrival() {
	p.after(p.exponential(1/p.scenario.arrivalRate()), func() {
		if p.now >= p.scenario.Seconds {
			return
		}
		p.sendRequest()
		p.scheduleArrival()
	})
}

// sendRequest starts a request of a random class.
func (p *requestSim) sendRequest() {
	t := &request{requestSim: p, number: p.requestCount, arrivedAt: p.now}
	p.requestCount++
	t.class = p.drawClass()
	t.work = p.exponential(t.settings().Work)
	p.tally.rows[t.class].Received++
	p.after(t.settings().Timeout, t.timeOut)
	t.startAttempt()
}

// drawClass draws a class by the classes' shares.
func (p *requestSim) drawClass() (class int) {
	classes := p.scenario.Classes
	for rest := p.random.Float64(); class < len(classes)-1 && rest >= classes[class].Share; class++ {
		rest -= classes[class].Share
	}
	return class
}

// timeOut ends the request if it has not ended, and tells the server of its attempt.
func (t *request) timeOut() {
	if t.isDone {
		return
	}
	if current := t.current; current != nil {
		t.after(t.drawDelay(), func() { current.server.clientGone(current) })
	}
	t.finish(timedOut)
}

// settings returns the class of the request.
func (t *request) settings() *Class { return &t.scenario.Classes[t.class] }

// startAttempt sends the request to a server.
func (t *request) startAttempt() {
	if t.isDone {
		return
	}
	s := t.pickServer()
	if s == nil {
		t.finish(unreachable)
		return
	}
	t.attempts++
	started := &attempt{
		id:       fmt.Sprintf("%x-%d", t.number, t.attempts),
		request:  t,
		server:   s,
		deadline: t.arrivedAt + t.settings().Timeout,
		work:     t.work,
	}
	t.current = started
	s.openAttempts++
	t.after(t.drawDelay(), func() { s.receive(started) })
}

// attemptEnded ends the request or retries it after a backoff, unless the server said that a retry
// is of no use.
func (t *request) attemptEnded(ended *attempt, how outcome, retryAfter float64, noFailover bool) {
	ended.server.openAttempts--
	if t.isDone {
		return
	}
	t.current = nil
	switch how {
	case finished:
		if t.now-t.arrivedAt > t.settings().SoftDeadline {
			how = late
		}
		t.finish(how)
	case abandoned:
		t.finish(how)
	default:
		backoff := max(retryAfter, minBackoff*float64(t.attempts))
		isTooLate := t.now+backoff-t.arrivedAt >= t.settings().Timeout
		if noFailover || t.attempts >= t.scenario.MaxAttempts || isTooLate {
			if how == connectionLost {
				how = unreachable
			}
			t.finish(how)
			return
		}
		t.after(backoff, t.startAttempt)
	}
}

// minBackoff is the least time, in seconds, that a client waits before a retry, times the attempts
// made.
const minBackoff = 0.01

// finish ends the request.
func (t *request) finish(how outcome) {
	t.isDone = true
	r := &t.tally.rows[t.class]
	r.Attempts += t.attempts
	switch how {
	case finished:
		r.Finished++
		r.totalSeconds += t.now - t.arrivedAt
	case late:
		r.Late++
		r.totalSeconds += t.now - t.arrivedAt
	case rejected:
		r.Rejected++
	case abandoned:
		r.Abandoned++
	case timedOut:
		r.TimedOut++
	default:
		r.Unreachable++
	}
}
