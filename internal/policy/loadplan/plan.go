// Package loadplan decides what a few planners have all forwarders do: which part of its tasks each sends to each worker, and how many of each tenant it
// lets in where there are more than the workers finish. There is no I/O and no clock in it.
//
// A forwarder reports to the planner that leads, which answers with the forwarder's part of the plan. It is leased from the moment of the report that
// it answers, by the forwarder's clock, and numbered by the term of the voters' group in which its planner leads: a planner whose term is over, and one
// that returns cold, have no number that a forwarder would still take.
package loadplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Number orders plans: the voters' founding, the term in it in which a planner leads, and the plans of that term.
type Number struct {
	Founding uint32 `json:"Founding"`
	Term     uint64 `json:"Term"`
	Seq      uint64 `json:"Seq"`
}

// Compare orders numbers.
func (n Number) Compare(o Number) int {
	return cmp.Or(cmp.Compare(n.Founding, o.Founding), cmp.Compare(n.Term, o.Term), cmp.Compare(n.Seq, o.Seq))
}

// Seen is what a forwarder saw of a worker since its last report.
type Seen struct {
	Name                     string
	Linked                   bool
	Open                     int
	Finished, Rejected, Lost int
}

// Demand is what a tenant asked a forwarder for, in tasks a second.
type Demand struct {
	Tenant string
	Rate   float64
}

// Report is a forwarder's.
type Report struct {
	Name    string
	Life    uint64
	Number  uint64 // given once in a life
	For     float64
	Holds   Number // the plan that it goes by
	Demand  []Demand
	Workers []Seen
}

// Weight is a worker's part of a forwarder's tasks.
type Weight struct {
	Name string
	Part float64
}

// Part is one forwarder's part of a plan.
type Part struct {
	Number
	For     uint64 // the forwarder's life
	Answers uint64 // its report
	Lease   float64
	Weights []Weight
	Rates   []Demand // what is let in; none where all may come in
}

const (
	// Lease is for how long, in seconds from the report, a part holds. It ages as long again. Planners are elected within two.
	Lease = 3.0
	// Every is how often a forwarder reports.
	Every = 0.5
	// settle is for how long a planner that leads hears reports before it answers any: each forwarder reports twice.
	settle = 2*Every + 0.2
	// forget is after how long a forwarder, or a worker that nobody saw, is no part of the plan.
	forget = 2 * Lease
	// solveEvery is how often the plan is made anew.
	solveEvery = 0.5
	// capWeight is what the latest report weighs in what a worker can do, rejecting the part of its tasks from which on it is taken to be full, and
	// headroom what one that rejects nothing may get beyond what it finished.
	capWeight, rejecting, headroom = 0.3, 0.02, 1.25
	// leastCap is what a worker is taken for that has finished nothing yet, in tasks a second: it gets some.
	leastCap = 1.0
	// maxForwarders and maxWorkers bound the tables, maxRate what anybody may tell: more is nonsense.
	maxForwarders, maxWorkers, maxRate = 1024, 4096, 1e6
)

// forwarder is one as it last reported.
type forwarder struct {
	Report
	heard  float64
	demand float64
	rates  map[string]float64
	reach  string // the workers that it has links to, as a set
	parts  []Weight
	admit  []Demand
}

// worker is what is known of one.
type worker struct {
	name string
	cap  float64 // tasks a second that it is taken to finish
	seen float64
	now  struct{ finished, rejected, lost, of float64 } // in this round
}

// Planner is one that leads.
type Planner struct {
	number     Number
	since      float64
	solved     float64
	forwarders map[string]*forwarder
	workers    map[string]*worker
	fresh      bool // a plan has been made
	Refused    int  // reports that can't be true
	Fallbacks  int  // plans that the solver did not find in its bounds
}

// New makes the planner of a term that begins.
func New(founding uint32, term uint64, now float64) *Planner {
	return &Planner{number: Number{Founding: founding, Term: term}, since: now, solved: now, forwarders: map[string]*forwarder{}, workers: map[string]*worker{}}
}

// Term is its own.
func (p *Planner) Term() (founding uint32, term uint64) { return p.number.Founding, p.number.Term }

// sane tells whether a report can be true.
func (r *Report) sane() bool {
	if r.Name == "" || len(r.Workers) > maxWorkers || !(r.For > 0) || r.For > 60 {
		return false
	}
	for _, d := range r.Demand {
		if !(d.Rate >= 0 && d.Rate <= maxRate) {
			return false
		}
	}
	for _, w := range r.Workers {
		if w.Name == "" || w.Finished < 0 || w.Rejected < 0 || w.Lost < 0 || float64(w.Finished+w.Rejected+w.Lost) > maxRate*r.For {
			return false
		}
	}
	return true
}

// Read takes a forwarder's report, and answers with its part of the plan, nil while there is none. Ask is the latest number of a plan that holds
// anywhere: a planner that hears of a later term than its own is over.
func (p *Planner) Read(now float64, r *Report) *Part {
	if !r.sane() {
		p.Refused++
		return nil
	}
	f := p.forwarders[r.Name]
	if f == nil {
		if len(p.forwarders) >= maxForwarders {
			return nil
		}
		f = &forwarder{}
		p.forwarders[r.Name] = f
	}
	if f.Life == r.Life && r.Number <= f.Number {
		return nil // late or doubled
	}
	if f.Life != r.Life {
		*f = forwarder{}
	}
	f.Report, f.heard, f.demand, f.rates = *r, now, 0, map[string]float64{}
	for _, d := range r.Demand {
		f.rates[d.Tenant] += d.Rate
		f.demand += d.Rate
	}
	reach := make([]byte, 0, 8*len(r.Workers))
	names := make([]string, 0, len(r.Workers))
	for _, s := range r.Workers {
		w := p.workers[s.Name]
		if w == nil {
			if len(p.workers) >= maxWorkers {
				continue
			}
			w = &worker{name: s.Name, cap: leastCap}
			p.workers[s.Name] = w
		}
		if s.Linked {
			w.seen = now
			names = append(names, s.Name)
		}
		w.now.finished += float64(s.Finished)
		w.now.rejected += float64(s.Rejected)
		w.now.lost += float64(s.Lost)
		w.now.of = max(w.now.of, r.For)
	}
	slices.Sort(names)
	for _, n := range names {
		reach = append(append(reach, n...), 0)
	}
	f.reach = string(reach)
	if now < p.since+settle {
		return nil
	}
	if now >= p.solved+solveEvery || !p.fresh {
		p.solve(now)
	}
	if f.parts == nil {
		return nil
	}
	return &Part{Number: p.number, For: r.Life, Answers: r.Number, Lease: Lease, Weights: f.parts, Rates: f.admit}
}

// Account is what a planner that leads knows, for operators.
type Account struct {
	Number     Number     `json:"Number"`
	Forwarders []Known    `json:"Forwarders"`
	Workers    []Capacity `json:"Workers"`
	Bound      float64    `json:"Bound"`     // tasks a second that all forwarders together let in, 0 where all may come in
	Fallbacks  int        `json:"Fallbacks"` // plans whose programme was not solved in its bounds
	Refused    int        `json:"Refused"`   // reports that can't be true
}

// Known is a forwarder, Capacity a worker as it is taken for.
type Known struct {
	Name   string  `json:"Name"`
	Heard  float64 `json:"Heard"`  // seconds ago
	Demand float64 `json:"Demand"` // tasks a second
	Holds  Number  `json:"Holds"`
}

// Capacity is in tasks a second.
type Capacity struct {
	Name string  `json:"Name"`
	Can  float64 `json:"Can"`
	Seen float64 `json:"Seen"` // seconds ago that a forwarder had a link to it
}

// Account tells what it knows.
func (p *Planner) Account(now float64) *Account {
	a := &Account{Number: p.number, Fallbacks: p.Fallbacks, Refused: p.Refused}
	for _, name := range slices.Sorted(maps.Keys(p.forwarders)) {
		f := p.forwarders[name]
		a.Forwarders = append(a.Forwarders, Known{name, now - f.heard, f.demand, f.Holds})
		for _, d := range f.admit {
			a.Bound += d.Rate
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.workers)) {
		w := p.workers[name]
		a.Workers = append(a.Workers, Capacity{name, w.cap, now - w.seen})
	}
	return a
}

// solve makes the plan anew.
func (p *Planner) solve(now float64) {
	round := max(Every, now-p.solved)
	p.solved, p.fresh = now, true
	p.number.Seq++
	for name, f := range p.forwarders {
		if now > f.heard+forget {
			delete(p.forwarders, name)
		}
	}
	total := 0.0
	for name, w := range p.workers {
		if now > w.seen+forget {
			delete(p.workers, name)
			continue
		}
		w.learn(round)
		total += w.cap
	}
	p.admit(total)
	if !p.weigh() {
		p.Fallbacks++
	}
}

// learn works out what a worker can do, from what all forwarders saw of it in a round.
func (w *worker) learn(round float64) {
	n := &w.now
	asked := n.finished + n.rejected + n.lost
	if asked > 0 {
		rate := n.finished / max(round, n.of)
		switch {
		case n.rejected+n.lost > rejecting*asked:
			w.cap += capWeight * (max(leastCap, rate) - w.cap)
		case rate*headroom > w.cap:
			w.cap += capWeight * (rate*headroom - w.cap)
		}
	}
	*n = struct{ finished, rejected, lost, of float64 }{}
}

// admit shares what the workers can do among tenants, evenly up to what each asks for, and a tenant's part among forwarders by what it asks each for.
// Where all fits nothing is bound.
func (p *Planner) admit(total float64) {
	wants := map[string]float64{}
	sum := 0.0
	for _, f := range p.forwarders {
		for tenant, rate := range f.rates {
			wants[tenant] += rate
			sum += rate
		}
	}
	part := map[string]float64{}
	if sum > total {
		level := Level(wants, total)
		for tenant, rate := range wants {
			part[tenant] = min(1, level/max(rate, 1e-9))
		}
	}
	for _, f := range p.forwarders {
		f.admit = nil
		if sum <= total {
			continue
		}
		for tenant, rate := range f.rates {
			f.admit = append(f.admit, Demand{tenant, rate * part[tenant]})
		}
		slices.SortFunc(f.admit, func(a, b Demand) int { return cmp.Compare(a.Tenant, b.Tenant) })
	}
}

// Level is the most that each may have so that all together have no more than a total: max-min fairness.
func Level(wants map[string]float64, total float64) float64 {
	rates := make([]float64, 0, len(wants))
	for _, r := range wants {
		rates = append(rates, r)
	}
	slices.Sort(rates)
	for i, r := range rates {
		if level := total / float64(len(rates)-i); r >= level {
			return level
		}
		total -= r
	}
	return math.Inf(1)
}

// Holder is a forwarder's part in taking plans.
type Holder struct {
	life   uint64
	number uint64 // of its last report
	sent   map[uint64]float64
	holds  Number
	Stale  int // parts that were older than the one it goes by, or came too late
}

// NewHolder holds no plan.
func NewHolder(life uint64) *Holder { return &Holder{life: life, sent: map[uint64]float64{}} }

// Report numbers a report that is sent now.
func (h *Holder) Report(now float64, r *Report) {
	h.number++
	for n, at := range h.sent {
		if now > at+Lease {
			delete(h.sent, n)
		}
	}
	h.sent[h.number] = now
	r.Life, r.Number, r.Holds = h.life, h.number, h.holds
}

// Take tells until when a part holds, by the clock of its reports; 0 where it does not: one of an older number, one that answers no report of this
// life, and one whose lease was over before it came.
func (h *Holder) Take(now float64, p *Part) (until float64) {
	at, mine := h.sent[p.Answers]
	if !mine || p.For != h.life || p.Number.Compare(h.holds) < 0 || !(p.Lease > 0 && p.Lease <= Lease) || now >= at+p.Lease {
		h.Stale++
		return 0
	}
	for _, w := range p.Weights {
		if !(w.Part >= 0 && w.Part <= 1) {
			h.Stale++
			return 0
		}
	}
	h.holds = p.Number
	return at + p.Lease
}

// Holds is the number of the plan that it goes by.
func (h *Holder) Holds() Number { return h.holds }
