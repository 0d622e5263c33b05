package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ending is how a try or a task ended.
type ending uint8

const (
	finished ending = iota
	late            // finished, after the due time
	rejected
	abandoned
	timedOut    // its caller did not wait longer
	cut         // its server died
	unreachable // there was no server
)

// play is one run of a scenario.
type play struct {
	*world
	scenario  *Scenario
	servers   []*server
	below     *machine
	belowDead bool
	next      int // of round robin
	count     int
	report    tally
}

// tally is what is counted.
type tally struct {
	rows   []Row
	runs   int
	calls  int
	wasted float64 // work for nobody, in seconds of a core
	broken []string
	rules  int
}

// maxNotes bounds the broken rules that are told one by one.
const maxNotes = 20

func (t *tally) note(what string) {
	if t.rules++; len(t.broken) < maxNotes {
		t.broken = append(t.broken, what)
	}
}

// task is what a client asks for.
type task struct {
	*play
	number   int
	stage    int
	work     float64
	came     float64
	attempts int
	over     bool
	trying   *try
}

// Row is what became of the tasks of a stage.
type Row struct {
	Stage       string  `json:"stage"`
	Asked       int     `json:"asked"`
	Finished    int     `json:"finished"` // in time
	Late        int     `json:"late"`
	Rejected    int     `json:"rejected"`
	Abandoned   int     `json:"abandoned"`
	TimedOut    int     `json:"timed_out"`
	Unreachable int     `json:"unreachable"` // no server was left to try, or it died
	Attempts    int     `json:"attempts"`
	Mean        float64 `json:"mean_s"` // until the answer, of those finished
	total       float64
}

// Report is what a scenario came to.
type Report struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Rows     []Row    `json:"stages"`
	Runs     int      `json:"runs"`
	Calls    int      `json:"calls"`
	Wasted   float64  `json:"wasted_share"` // of all work that was done, what nobody had anything of
	Events   int      `json:"events"`
	Rules    int      `json:"rules_broken"`
	Broken   []string `json:"broken"` // the first of them
}

// Heads and Cells are those of the table.
var Heads = []string{"stage", "asked", "finished", "late", "rejected", "abandoned", "timed out", "unreachable", "a task", "mean s"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %d %d %d %d %d %.3f %.4f", r.Stage, r.Asked, r.Finished, r.Late, r.Rejected, r.Abandoned, r.TimedOut,
		r.Unreachable, float64(r.Attempts)/float64(max(1, r.Asked)), r.Mean))
}

// Run plays a scenario to its end, and until all that was asked has its own.
func Run(s *Scenario) Report {
	p := &play{world: newWorld(s.Seed), scenario: s}
	p.below = newMachine(p.world, max(1, s.Below.Cores))
	longest := 0.0
	for _, st := range s.Stages {
		p.report.rows = append(p.report.rows, Row{Stage: st.Name})
		longest = max(longest, st.Limit)
	}
	for i := range s.Servers {
		sv := &server{play: p, number: i, machine: newMachine(p.world, s.Cores), slow: 1}
		sv.machine.crowded = sv.crowded
		p.servers = append(p.servers, sv)
		sv.start(false)
		sv.listed = true
	}
	for _, f := range s.Faults {
		p.after(f.At, func() { p.befall(f) })
	}
	p.arrive()
	p.run(s.Seconds + 2*longest + stopIn)
	return p.told()
}

func (p *play) told() Report {
	worked := 0.0
	for _, s := range p.servers {
		s.machine.advance()
		worked += s.machine.worked
	}
	r := Report{Scenario: p.scenario.Name, Seed: p.scenario.Seed, Rows: p.report.rows, Runs: p.report.runs, Calls: p.report.calls,
		Wasted: p.report.wasted / max(enough, worked), Events: p.events, Rules: p.report.rules, Broken: p.report.broken}
	for i := range r.Rows {
		r.Rows[i].Mean = r.Rows[i].total / float64(max(1, r.Rows[i].Finished+r.Rows[i].Late))
	}
	return r
}

// befall plays a fault.
func (p *play) befall(f Fault) {
	s := p.servers[f.Server]
	back := func() {
		if !s.alive {
			s.start(true)
		}
	}
	switch f.Kind {
	case "crash":
		s.kill()
		p.after(f.For, back)
	case "drain":
		s.leave()
		p.after(stopIn+f.For, back)
	case "below-slow":
		p.below.setSpeed(f.Factor)
		p.after(f.For, func() { p.below.setSpeed(1) })
	case "below-dead": // it takes calls, and answers none
		p.belowDead = true
		p.below.clear()
		p.after(f.For, func() { p.belowDead = false })
	case "slow":
		s.slow = f.Factor
		s.warmth(1)
		p.after(f.For, func() {
			s.slow = 1
			s.warmth(1)
		})
	}
}

func (p *play) delay() float64 { return p.exponential(p.scenario.Delay) }

// arrive has the next task come.
func (p *play) arrive() {
	p.after(p.exponential(1/p.scenario.rate()), func() {
		if p.now >= p.scenario.Seconds {
			return
		}
		p.ask()
		p.arrive()
	})
}

func (p *play) ask() {
	t := &task{play: p, number: p.count, came: p.now}
	p.count++
	for u := p.chance.Float64(); t.stage < len(p.scenario.Stages)-1 && u >= p.scenario.Stages[t.stage].Part; t.stage++ {
		u -= p.scenario.Stages[t.stage].Part
	}
	t.work = p.exponential(t.of().Work)
	p.report.rows[t.stage].Asked++
	p.after(t.of().Limit, func() {
		if !t.over {
			if at := t.trying; at != nil {
				p.after(p.delay(), func() { at.at.forget(at) })
			}
			t.end(timedOut)
		}
	})
	t.attempt()
}

func (t *task) of() *Stage { return &t.scenario.Stages[t.stage] }

// attempt sends the task to a server.
func (t *task) attempt() {
	if t.over {
		return
	}
	s := t.pick()
	if s == nil {
		t.end(unreachable)
		return
	}
	t.attempts++
	at := &try{id: fmt.Sprintf("%x-%d", t.number, t.attempts), task: t, at: s, due: t.came + t.of().Limit, work: t.work}
	t.trying = at
	s.open++
	t.after(t.delay(), func() { s.take(at) })
}

// ended hears of the end of a try.
func (t *task) ended(at *try, how ending, advice float64, last bool) {
	at.at.open--
	if t.over {
		return
	}
	t.trying = nil
	switch how {
	case finished:
		if t.now-t.came > t.of().Due {
			how = late
		}
		t.end(how)
	case abandoned:
		t.end(how)
	default:
		away := max(advice, backOff*float64(t.attempts))
		if last || t.attempts >= t.scenario.Tries || t.now+away-t.came >= t.of().Limit {
			if how == cut {
				how = unreachable
			}
			t.end(how)
			return
		}
		t.after(away, t.attempt)
	}
}

// backOff is how long, in seconds, a client waits at least before each further try, times the tries made.
const backOff = 0.01

func (t *task) end(how ending) {
	t.over = true
	r := &t.report.rows[t.stage]
	r.Attempts += t.attempts
	switch how {
	case finished:
		r.Finished++
		r.total += t.now - t.came
	case late:
		r.Late++
		r.total += t.now - t.came
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

// pick chooses a server as the balancer does, of those listed; nil where there is none.
func (p *play) pick() *server {
	n := len(p.servers)
	random := func() *server {
		for range 2 * n {
			if s := p.servers[p.chance.IntN(n)]; s.listed {
				return s
			}
		}
		return p.inTurn()
	}
	switch p.scenario.Balancer {
	case "least-open":
		var least *server
		from := p.chance.IntN(n) // of equal ones not always the same
		for i := range n {
			if s := p.servers[(from+i)%n]; s.listed && (least == nil || s.open < least.open) {
				least = s
			}
		}
		return least
	case "two-choices":
		a, b := random(), random()
		if a != nil && b.open < a.open {
			return b
		}
		return a
	case "random":
		return random()
	}
	return p.inTurn()
}

func (p *play) inTurn() *server {
	for range p.servers {
		s := p.servers[p.next%len(p.servers)]
		if p.next++; s.listed {
			return s
		}
	}
	return nil
}

func sortTries(list []*try) {
	slices.SortFunc(list, func(a, b *try) int { return cmp.Or(cmp.Compare(a.came, b.came), cmp.Compare(a.id, b.id)) })
}
