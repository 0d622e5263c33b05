package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// outcome is how a try or a task ended.
type outcome uint8

const (
	finished outcome = iota
	late             // finished, after the due time
	rejected
	abandoned
	timedOut       // its caller did not wait longer
	connectionLost // its server died
	unreachable    // there was no server
)

// requestSim is one run of a scenario.
type requestSim struct {
	*clock
	scenario       *Scenario
	servers        []*server
	downstream     *machine
	downstreamDead bool
	nextServer     int // of round robin
	requestCount   int
	tally          tally
}

// tally is what is counted.
type tally struct {
	rows           []ClassRow
	runs           int
	calls          int
	wasted         float64 // work for nobody, in seconds of a core
	violations     []string
	violationCount int
}

// maxViolations bounds the broken rules that are told one by one.
const maxViolations = 20

func (t *tally) addViolation(what string) {
	if t.violationCount++; len(t.violations) < maxViolations {
		t.violations = append(t.violations, what)
	}
}

// request is what a client asks for.
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

// ClassRow is what became of the tasks of a stage.
type ClassRow struct {
	Class        string  `json:"stage"`
	Received     int     `json:"asked"`
	Finished     int     `json:"finished"` // in time
	Late         int     `json:"late"`
	Rejected     int     `json:"rejected"`
	Abandoned    int     `json:"abandoned"`
	TimedOut     int     `json:"timed_out"`
	Unreachable  int     `json:"unreachable"` // no server was left to try, or it died
	Attempts     int     `json:"attempts"`
	Mean         float64 `json:"mean_s"` // until the answer, of those finished
	totalSeconds float64
}

// Report is what a scenario came to.
type Report struct {
	Scenario       string     `json:"scenario"`
	Seed           uint64     `json:"seed"`
	Rows           []ClassRow `json:"stages"`
	Runs           int        `json:"runs"`
	Calls          int        `json:"calls"`
	WastedShare    float64    `json:"wasted_share"` // of all work that was done, what nobody had anything of
	Events         int        `json:"events"`
	ViolationCount int        `json:"rules_broken"`
	Violations     []string   `json:"broken"` // the first of them
}

// ClassColumns and Cells are those of the table.
var ClassColumns = []string{"stage", "asked", "finished", "late", "rejected", "abandoned", "timed out", "unreachable", "a task", "mean s"}

// Cells are a row's in the table.
func (r ClassRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %d %d %d %d %d %.3f %.4f", r.Class, r.Received, r.Finished, r.Late, r.Rejected, r.Abandoned, r.TimedOut,
		r.Unreachable, float64(r.Attempts)/float64(max(1, r.Received)), r.Mean))
}

// Run plays a scenario to its end, and until all that was asked has its own.
func Run(s *Scenario) Report {
	p := &requestSim{clock: newClock(s.Seed), scenario: s}
	p.downstream = newMachine(p.clock, max(1, s.Downstream.Cores))
	longest := 0.0
	for _, st := range s.Classes {
		p.tally.rows = append(p.tally.rows, ClassRow{Class: st.Name})
		longest = max(longest, st.Timeout)
	}
	for i := range s.Servers {
		sv := &server{requestSim: p, number: i, machine: newMachine(p.clock, s.Cores), speedFactor: 1}
		sv.machine.onRunCount = sv.checkOverload
		p.servers = append(p.servers, sv)
		sv.start(false)
		sv.listed = true
	}
	for _, f := range s.Faults {
		p.after(f.At, func() { p.inject(f) })
	}
	p.scheduleArrival()
	p.run(s.Seconds + 2*longest + drainTimeout)
	return p.buildReport()
}

func (p *requestSim) buildReport() Report {
	worked := 0.0
	for _, s := range p.servers {
		s.machine.advance()
		worked += s.machine.totalWork
	}
	r := Report{Scenario: p.scenario.Name, Seed: p.scenario.Seed, Rows: p.tally.rows, Runs: p.tally.runs, Calls: p.tally.calls,
		WastedShare: p.tally.wasted / max(workEpsilon, worked), Events: p.events, ViolationCount: p.tally.violationCount, Violations: p.tally.violations}
	for i := range r.Rows {
		r.Rows[i].Mean = r.Rows[i].totalSeconds / float64(max(1, r.Rows[i].Finished+r.Rows[i].Late))
	}
	return r
}

// inject plays a fault.
func (p *requestSim) inject(f Fault) {
	s := p.servers[f.Server]
	back := func() {
		if !s.alive {
			s.start(true)
		}
	}
	switch f.Kind {
	case "crash":
		s.kill()
		p.after(f.Duration, back)
	case "drain":
		s.drain()
		p.after(drainTimeout+f.Duration, back)
	case "below-slow":
		p.downstream.setSpeed(f.Factor)
		p.after(f.Duration, func() { p.downstream.setSpeed(1) })
	case "below-dead": // it takes calls, and answers none
		p.downstreamDead = true
		p.downstream.clear()
		p.after(f.Duration, func() { p.downstreamDead = false })
	case "slow":
		s.speedFactor = f.Factor
		s.setSpeed(1)
		p.after(f.Duration, func() {
			s.speedFactor = 1
			s.setSpeed(1)
		})
	}
}

func (p *requestSim) drawDelay() float64 { return p.exponential(p.scenario.Delay) }

// scheduleArrival has the next task come.
func (p *requestSim) scheduleArrival() {
	p.after(p.exponential(1/p.scenario.arrivalRate()), func() {
		if p.now >= p.scenario.Seconds {
			return
		}
		p.sendRequest()
		p.scheduleArrival()
	})
}

func (p *requestSim) sendRequest() {
	t := &request{requestSim: p, number: p.requestCount, arrivedAt: p.now}
	p.requestCount++
	for u := p.random.Float64(); t.class < len(p.scenario.Classes)-1 && u >= p.scenario.Classes[t.class].Share; t.class++ {
		u -= p.scenario.Classes[t.class].Share
	}
	t.work = p.exponential(t.settings().Work)
	p.tally.rows[t.class].Received++
	p.after(t.settings().Timeout, func() {
		if !t.isDone {
			if at := t.current; at != nil {
				p.after(p.drawDelay(), func() { at.server.clientGone(at) })
			}
			t.finish(timedOut)
		}
	})
	t.startAttempt()
}

func (t *request) settings() *Class { return &t.scenario.Classes[t.class] }

// startAttempt sends the task to a server.
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
	at := &attempt{id: fmt.Sprintf("%x-%d", t.number, t.attempts), request: t, server: s, deadline: t.arrivedAt + t.settings().Timeout, work: t.work}
	t.current = at
	s.openAttempts++
	t.after(t.drawDelay(), func() { s.receive(at) })
}

// attemptEnded hears of the end of a try.
func (t *request) attemptEnded(at *attempt, how outcome, advice float64, last bool) {
	at.server.openAttempts--
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
		away := max(advice, minBackoff*float64(t.attempts))
		if last || t.attempts >= t.scenario.MaxAttempts || t.now+away-t.arrivedAt >= t.settings().Timeout {
			if how == connectionLost {
				how = unreachable
			}
			t.finish(how)
			return
		}
		t.after(away, t.startAttempt)
	}
}

// minBackoff is how long, in seconds, a client waits at least before each further try, times the tries made.
const minBackoff = 0.01

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

// pickServer chooses a server as the balancer does, of those listed; nil where there is none.
func (p *requestSim) pickServer() *server {
	n := len(p.servers)
	random := func() *server {
		for range 2 * n {
			if s := p.servers[p.random.IntN(n)]; s.listed {
				return s
			}
		}
		return p.pickRoundRobin()
	}
	switch p.scenario.Balancer {
	case "least-open":
		var least *server
		from := p.random.IntN(n) // of equal ones not always the same
		for i := range n {
			if s := p.servers[(from+i)%n]; s.listed && (least == nil || s.openAttempts < least.openAttempts) {
				least = s
			}
		}
		return least
	case "two-choices":
		a, b := random(), random()
		if a != nil && b.openAttempts < a.openAttempts {
			return b
		}
		return a
	case "random":
		return random()
	}
	return p.pickRoundRobin()
}

func (p *requestSim) pickRoundRobin() *server {
	for range p.servers {
		s := p.servers[p.nextServer%len(p.servers)]
		if p.nextServer++; s.listed {
			return s
		}
	}
	return nil
}

func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id)) })
}
