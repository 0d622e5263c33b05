package simulation

import (
	"fmt"
	"strconv"
)

// outcome is the outcome of an attempt or a request.
type outcome uint8

const (
	finished outcome = iota
	late             // finished after the soft deadline
	rejected
	abandoned
	timedOut       // not answered within the client's timeout
	connectionLost // the server ended before it answered
	unreachable    // no server was available, or the picked one was down
)

// attemptResult is the response to an attempt as the client receives it.
type attemptResult struct {
	outcome    outcome
	retryAfter float64 // minimum delay, in seconds, that the server requests before a retry
	noFailover bool    // the server asks not to retry at another server
}

// requestSim is one run of a scenario.
type requestSim struct {
	*clock
	scenario       *Scenario
	servers        []*server
	downstream     *machine
	downstreamDead bool
	nextServer     int // position of the round-robin balancer
	requestCount   int
	tally          tally
}

// tally counts the results of a simulation.
type tally struct {
	rows           []ClassRow
	runs           int
	calls          int
	wasted         float64 // work for answers that no client waited for, in core-seconds
	violations     []string
	violationCount int
}

// maxViolations is the maximum number of violations that are listed.
const maxViolations = 20

// addViolation counts a violation and lists it, up to maxViolations.
func (t *tally) addViolation(violation string) {
	t.violationCount++
	if len(t.violations) < maxViolations {
		t.violations = append(t.violations, violation)
	}
}

// request is a client's request, which may take several attempts.
type request struct {
	*requestSim
	number     int
	classIndex int
	work       float64
	arrivedAt  float64
	attempts   int // number of attempts so far
	isDone     bool
	current    *attempt
}

// ClassRow counts the requests of a class by outcome.
type ClassRow struct {
	Class        string  `json:"stage"`
	Received     int     `json:"asked"`
	Finished     int     `json:"finished"` // by the soft deadline
	Late         int     `json:"late"`
	Rejected     int     `json:"rejected"`
	Abandoned    int     `json:"abandoned"`
	TimedOut     int     `json:"timed_out"`
	Unreachable  int     `json:"unreachable"` // no server was available, or the server ended
	Attempts     int     `json:"attempts"`
	Mean         float64 `json:"mean_s"` // mean latency of finished and late requests
	totalSeconds float64
}

// Report is the result of a scenario.
type Report struct {
	Scenario       string     `json:"scenario"`
	Seed           uint64     `json:"seed"`
	Rows           []ClassRow `json:"stages"`
	Runs           int        `json:"runs"`
	Calls          int        `json:"calls"`
	WastedShare    float64    `json:"wasted_share"` // share of the work that was for answers no client waited for
	Events         int        `json:"events"`
	ViolationCount int        `json:"rules_broken"`
	Violations     []string   `json:"broken"` // the first maxViolations of them
}

// ClassColumns are the column heads of the table.
var ClassColumns = []string{
	"stage", "asked", "finished", "late", "rejected", "abandoned", "timed out", "unreachable", "a task", "mean s",
}

// Cells returns the row's table cells, in the order of ClassColumns.
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

// Run simulates a scenario until its end and until all its requests have ended.
func Run(scenario *Scenario) Report {
	sim := &requestSim{clock: newClock(scenario.Seed), scenario: scenario}
	sim.downstream = newMachine(sim.clock, max(1, scenario.Downstream.Cores))
	longestTimeout := 0.0
	for _, class := range scenario.Classes {
		sim.tally.rows = append(sim.tally.rows, ClassRow{Class: class.Name})
		longestTimeout = max(longestTimeout, class.Timeout)
	}
	for i := range scenario.Servers {
		sim.addServer(i)
	}
	for _, fault := range scenario.Faults {
		sim.after(fault.At, func() { sim.inject(fault) })
	}
	sim.scheduleArrival()
	sim.run(scenario.Seconds + 2*longestTimeout + drainTimeoutSeconds)
	return sim.buildReport()
}

// addServer starts a server and lists it at the balancers immediately.
func (p *requestSim) addServer(number int) {
	added := &server{requestSim: p, number: number, machine: newMachine(p.clock, p.scenario.Cores), speedFactor: 1}
	added.machine.onRunCount = added.checkOverload
	p.servers = append(p.servers, added)
	added.start(false)
	added.isListed = true
}

// buildReport returns the report of the run.
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

// inject starts a fault of the scenario and schedules its end.
func (p *requestSim) inject(fault Fault) {
	target := p.servers[fault.Server]
	restart := func() {
		if !target.alive {
			target.start(true)
		}
	}
	switch fault.Kind {
	case faultCrash:
		target.kill()
		p.after(fault.Duration, restart)
	case faultDrain:
		target.drain()
		p.after(drainTimeoutSeconds+fault.Duration, restart)
	case faultDownstreamSlow:
		p.downstream.setSpeed(fault.Factor)
		p.after(fault.Duration, func() { p.downstream.setSpeed(1) })
	case faultDownstreamDead: // the dependency accepts calls and answers none
		p.downstreamDead = true
		p.downstream.clear()
		p.after(fault.Duration, func() { p.downstreamDead = false })
	case faultSlow:
		target.speedFactor = fault.Factor
		target.setSpeed(1)
		p.after(fault.Duration, func() {
			target.speedFactor = 1
			target.setSpeed(1)
		})
	}
}

// drawDelay draws the one-way delay of a message.
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
	created := &request{requestSim: p, number: p.requestCount, arrivedAt: p.now}
	p.requestCount++
	created.classIndex = p.drawClass()
	created.work = p.exponential(created.class().Work)
	p.tally.rows[created.classIndex].Received++
	p.after(created.class().Timeout, created.timeOut)
	created.startAttempt()
}

// drawClass draws the index of a class by the classes' shares.
func (p *requestSim) drawClass() (class int) {
	classes := p.scenario.Classes
	for rest := p.random.Float64(); class < len(classes)-1 && rest >= classes[class].Share; class++ {
		rest -= classes[class].Share
	}
	return class
}

// timeOut ends the request if it has not ended, and informs the server of its current attempt.
func (r *request) timeOut() {
	if r.isDone {
		return
	}
	if current := r.current; current != nil {
		r.after(r.drawDelay(), func() { current.server.handleClientGone(current) })
	}
	r.finish(timedOut)
}

// class returns the class of the request.
func (r *request) class() *Class { return &r.scenario.Classes[r.classIndex] }

// startAttempt picks a server and sends the request to it.
func (r *request) startAttempt() {
	if r.isDone {
		return
	}
	picked := r.pickServer()
	if picked == nil {
		r.finish(unreachable)
		return
	}
	r.attempts++
	started := &attempt{
		id:       fmt.Sprintf("%x-%d", r.number, r.attempts),
		request:  r,
		server:   picked,
		deadline: r.arrivedAt + r.class().Timeout,
		work:     r.work,
	}
	r.current = started
	picked.openAttempts++
	r.after(r.drawDelay(), func() { picked.receive(started) })
}

// handleAttemptEnd handles the response to an attempt. It retries after a backoff if the attempt
// was rejected or its connection failed, the server allows a retry, and attempts and time are left.
// Otherwise it ends the request.
func (r *request) handleAttemptEnd(ended *attempt, result attemptResult) {
	ended.server.openAttempts--
	if r.isDone {
		return
	}
	r.current = nil
	switch ending := result.outcome; ending {
	case finished:
		if r.now-r.arrivedAt > r.class().SoftDeadline {
			ending = late
		}
		r.finish(ending)
	case abandoned:
		r.finish(ending)
	default:
		backoff := max(result.retryAfter, minBackoffSeconds*float64(r.attempts))
		isTooLate := r.now+backoff-r.arrivedAt >= r.class().Timeout
		if result.noFailover || r.attempts >= r.scenario.MaxAttempts || isTooLate {
			if ending == connectionLost {
				ending = unreachable
			}
			r.finish(ending)
			return
		}
		r.after(backoff, r.startAttempt)
	}
}

// minBackoffSeconds is the minimum backoff before the first retry. The minimum grows linearly with
// the number of attempts.
const minBackoffSeconds = 0.01

// finish ends the request and counts its outcome.
func (r *request) finish(ending outcome) {
	r.isDone = true
	row := &r.tally.rows[r.classIndex]
	row.Attempts += r.attempts
	switch ending {
	case finished:
		row.Finished++
		row.totalSeconds += r.now - r.arrivedAt
	case late:
		row.Late++
		row.totalSeconds += r.now - r.arrivedAt
	case rejected:
		row.Rejected++
	case abandoned:
		row.Abandoned++
	case timedOut:
		row.TimedOut++
	default:
		row.Unreachable++
	}
}
