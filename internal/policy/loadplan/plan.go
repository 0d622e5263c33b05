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

// Version orders plans: the voters' founding, the term in it in which a planner leads, and the plans of that term.
type Version struct {
	ClusterID uint32 `json:"Founding"`
	Term      uint64 `json:"Term"`
	Sequence  uint64 `json:"Seq"`
}

// Compare orders numbers.
func (n Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(n.ClusterID, o.ClusterID), cmp.Compare(n.Term, o.Term), cmp.Compare(n.Sequence, o.Sequence))
}

// WorkerStats is what a forwarder saw of a worker since its last report.
type WorkerStats struct {
	Name                     string
	Connected                bool
	InFlight                 int
	Finished, Rejected, Lost int
}

// TenantRate is what a tenant asked a forwarder for, in tasks a second.
type TenantRate struct {
	Tenant string
	Rate   float64
}

// Report is a forwarder's.
type Report struct {
	Name            string
	Incarnation     uint64
	Sequence        uint64 // given once in a life
	IntervalSeconds float64
	CurrentVersion  Version // the plan that it goes by
	Demand          []TenantRate
	Workers         []WorkerStats
}

// WorkerWeight is a worker's part of a forwarder's tasks.
type WorkerWeight struct {
	Name   string
	Weight float64
}

// Assignment is one forwarder's part of a plan.
type Assignment struct {
	Version
	Incarnation    uint64 // the forwarder's life
	ReportSequence uint64 // its report
	LeaseSeconds   float64
	Weights        []WorkerWeight
	RateLimits     []TenantRate // what is let in; none where all may come in
}

const (
	// LeaseSeconds is for how long, in seconds from the report, a part holds. It ages as long again. Planners are elected within two.
	LeaseSeconds = 3.0
	// ReportIntervalSeconds is how often a forwarder reports.
	ReportIntervalSeconds = 0.5
	// warmUpSeconds is for how long a planner that leads hears reports before it answers any: each forwarder reports twice.
	warmUpSeconds = 2*ReportIntervalSeconds + 0.2
	// expirySeconds is after how long a forwarder, or a worker that nobody saw, is no part of the plan.
	expirySeconds = 2 * LeaseSeconds
	// solveIntervalSeconds is how often the plan is made anew.
	solveIntervalSeconds = 0.5
	// capacitySmoothing is what the latest report weighs in what a worker can do, rejecting the part of its tasks from which on it is taken to be full, and
	// headroom what one that rejects nothing may get beyond what it finished.
	capacitySmoothing, overloadRatio, capacityHeadroom = 0.3, 0.02, 1.25
	// minCapacity is what a worker is taken for that has finished nothing yet, in tasks a second: it gets some.
	minCapacity = 1.0
	// maxForwarders and maxWorkers bound the tables, maxRate what anybody may tell: more is nonsense.
	maxForwarders, maxWorkers, maxRate = 1024, 4096, 1e6
)

// forwarderState is one as it last reported.
type forwarderState struct {
	Report
	lastReport     float64
	demand         float64
	demandByTenant map[string]float64
	reachable      string // the workers that it has links to, as a set
	weights        []WorkerWeight
	rateLimits     []TenantRate
}

// workerState is what is known of one.
type workerState struct {
	name          string
	capacity      float64 // tasks a second that it is taken to finish
	lastConnected float64
	round         struct{ finished, rejected, lost, of float64 } // in this round
}

// Planner is one that leads.
type Planner struct {
	version        Version
	started        float64
	lastSolved     float64
	forwarders     map[string]*forwarderState
	workers        map[string]*workerState
	hasPlan        bool // a plan has been made
	InvalidReports int  // reports that can't be true
	Fallbacks      int  // plans that the solver did not find in its bounds
}

// New makes the planner of a term that begins.
func New(founding uint32, term uint64, now float64) *Planner {
	return &Planner{version: Version{ClusterID: founding, Term: term}, started: now, lastSolved: now, forwarders: map[string]*forwarderState{}, workers: map[string]*workerState{}}
}

// Term is its own.
func (p *Planner) Term() (founding uint32, term uint64) { return p.version.ClusterID, p.version.Term }

// valid tells whether a report can be true.
func (r *Report) valid() bool {
	if r.Name == "" || len(r.Workers) > maxWorkers || !(r.IntervalSeconds > 0) || r.IntervalSeconds > 60 {
		return false
	}
	for _, d := range r.Demand {
		if !(d.Rate >= 0 && d.Rate <= maxRate) {
			return false
		}
	}
	for _, w := range r.Workers {
		if w.Name == "" || w.Finished < 0 || w.Rejected < 0 || w.Lost < 0 || float64(w.Finished+w.Rejected+w.Lost) > maxRate*r.IntervalSeconds {
			return false
		}
	}
	return true
}

// HandleReport takes a forwarder's report, and answers with its part of the plan, nil while there is none. Ask is the latest number of a plan that holds
// anywhere: a planner that hears of a later term than its own is over.
func (p *Planner) HandleReport(now float64, r *Report) *Assignment {
	if !r.valid() {
		p.InvalidReports++
		return nil
	}
	f := p.forwarders[r.Name]
	if f == nil {
		if len(p.forwarders) >= maxForwarders {
			return nil
		}
		f = &forwarderState{}
		p.forwarders[r.Name] = f
	}
	if f.Incarnation == r.Incarnation && r.Sequence <= f.Sequence {
		return nil // late or doubled
	}
	if f.Incarnation != r.Incarnation {
		*f = forwarderState{}
	}
	f.Report, f.lastReport, f.demand, f.demandByTenant = *r, now, 0, map[string]float64{}
	for _, d := range r.Demand {
		f.demandByTenant[d.Tenant] += d.Rate
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
			w = &workerState{name: s.Name, capacity: minCapacity}
			p.workers[s.Name] = w
		}
		if s.Connected {
			w.lastConnected = now
			names = append(names, s.Name)
		}
		w.round.finished += float64(s.Finished)
		w.round.rejected += float64(s.Rejected)
		w.round.lost += float64(s.Lost)
		w.round.of = max(w.round.of, r.IntervalSeconds)
	}
	slices.Sort(names)
	for _, n := range names {
		reach = append(append(reach, n...), 0)
	}
	f.reachable = string(reach)
	if now < p.started+warmUpSeconds {
		return nil
	}
	if now >= p.lastSolved+solveIntervalSeconds || !p.hasPlan {
		p.solve(now)
	}
	if f.weights == nil {
		return nil
	}
	return &Assignment{Version: p.version, Incarnation: r.Incarnation, ReportSequence: r.Sequence, LeaseSeconds: LeaseSeconds, Weights: f.weights, RateLimits: f.rateLimits}
}

// Status is what a planner that leads knows, for operators.
type Status struct {
	Version        Version           `json:"Number"`
	Forwarders     []ForwarderStatus `json:"Forwarders"`
	Workers        []WorkerStatus    `json:"Workers"`
	AdmittedRate   float64           `json:"Bound"`     // tasks a second that all forwarders together let in, 0 where all may come in
	Fallbacks      int               `json:"Fallbacks"` // plans whose programme was not solved in its bounds
	InvalidReports int               `json:"Refused"`   // reports that can't be true
}

// ForwarderStatus is a forwarder, Capacity a worker as it is taken for.
type ForwarderStatus struct {
	Name             string  `json:"Name"`
	ReportAgeSeconds float64 `json:"Heard"`  // seconds ago
	Demand           float64 `json:"Demand"` // tasks a second
	Version          Version `json:"Holds"`
}

// WorkerStatus is in tasks a second.
type WorkerStatus struct {
	Name                    string  `json:"Name"`
	Capacity                float64 `json:"Can"`
	LastConnectedAgeSeconds float64 `json:"Seen"` // seconds ago that a forwarder had a link to it
}

// Status tells what it knows.
func (p *Planner) Status(now float64) *Status {
	a := &Status{Version: p.version, Fallbacks: p.Fallbacks, InvalidReports: p.InvalidReports}
	for _, name := range slices.Sorted(maps.Keys(p.forwarders)) {
		f := p.forwarders[name]
		a.Forwarders = append(a.Forwarders, ForwarderStatus{name, now - f.lastReport, f.demand, f.CurrentVersion})
		for _, d := range f.rateLimits {
			a.AdmittedRate += d.Rate
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.workers)) {
		w := p.workers[name]
		a.Workers = append(a.Workers, WorkerStatus{name, w.capacity, now - w.lastConnected})
	}
	return a
}

// solve makes the plan anew.
func (p *Planner) solve(now float64) {
	round := max(ReportIntervalSeconds, now-p.lastSolved)
	p.lastSolved, p.hasPlan = now, true
	p.version.Sequence++
	for name, f := range p.forwarders {
		if now > f.lastReport+expirySeconds {
			delete(p.forwarders, name)
		}
	}
	total := 0.0
	for name, w := range p.workers {
		if now > w.lastConnected+expirySeconds {
			delete(p.workers, name)
			continue
		}
		w.learn(round)
		total += w.capacity
	}
	p.limitRates(total)
	if !p.assignWeights() {
		p.Fallbacks++
	}
}

// learn works out what a worker can do, from what all forwarders saw of it in a round.
func (w *workerState) learn(round float64) {
	n := &w.round
	asked := n.finished + n.rejected + n.lost
	if asked > 0 {
		rate := n.finished / max(round, n.of)
		switch {
		case n.rejected+n.lost > overloadRatio*asked:
			w.capacity += capacitySmoothing * (max(minCapacity, rate) - w.capacity)
		case rate*capacityHeadroom > w.capacity:
			w.capacity += capacitySmoothing * (rate*capacityHeadroom - w.capacity)
		}
	}
	*n = struct{ finished, rejected, lost, of float64 }{}
}

// limitRates shares what the workers can do among tenants, evenly up to what each asks for, and a tenant's part among forwarders by what it asks each for.
// Where all fits nothing is bound.
func (p *Planner) limitRates(total float64) {
	wants := map[string]float64{}
	sum := 0.0
	for _, f := range p.forwarders {
		for tenant, rate := range f.demandByTenant {
			wants[tenant] += rate
			sum += rate
		}
	}
	part := map[string]float64{}
	if sum > total {
		level := maxMinFairRate(wants, total)
		for tenant, rate := range wants {
			part[tenant] = min(1, level/max(rate, 1e-9))
		}
	}
	for _, f := range p.forwarders {
		f.rateLimits = nil
		if sum <= total {
			continue
		}
		for tenant, rate := range f.demandByTenant {
			f.rateLimits = append(f.rateLimits, TenantRate{tenant, rate * part[tenant]})
		}
		slices.SortFunc(f.rateLimits, func(a, b TenantRate) int { return cmp.Compare(a.Tenant, b.Tenant) })
	}
}

// maxMinFairRate is the most that each may have so that all together have no more than a total: max-min fairness.
func maxMinFairRate(wants map[string]float64, total float64) float64 {
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

// Subscriber is a forwarder's part in taking plans.
type Subscriber struct {
	incarnation      uint64
	reportSequence   uint64 // of its last report
	sentAt           map[uint64]float64
	current          Version
	StaleAssignments int // parts that were older than the one it goes by, or came too late
}

// NewSubscriber holds no plan.
func NewSubscriber(life uint64) *Subscriber {
	return &Subscriber{incarnation: life, sentAt: map[uint64]float64{}}
}

// StampReport numbers a report that is sent now.
func (h *Subscriber) StampReport(now float64, r *Report) {
	h.reportSequence++
	for n, at := range h.sentAt {
		if now > at+LeaseSeconds {
			delete(h.sentAt, n)
		}
	}
	h.sentAt[h.reportSequence] = now
	r.Incarnation, r.Sequence, r.CurrentVersion = h.incarnation, h.reportSequence, h.current
}

// Accept tells until when a part holds, by the clock of its reports; 0 where it does not: one of an older number, one that answers no report of this
// life, and one whose lease was over before it came.
func (h *Subscriber) Accept(now float64, p *Assignment) (until float64) {
	at, mine := h.sentAt[p.ReportSequence]
	if !mine || p.Incarnation != h.incarnation || p.Version.Compare(h.current) < 0 || !(p.LeaseSeconds > 0 && p.LeaseSeconds <= LeaseSeconds) || now >= at+p.LeaseSeconds {
		h.StaleAssignments++
		return 0
	}
	for _, w := range p.Weights {
		if !(w.Weight >= 0 && w.Weight <= 1) {
			h.StaleAssignments++
			return 0
		}
	}
	h.current = p.Version
	return at + p.LeaseSeconds
}

// Version is the number of the plan that it goes by.
func (h *Subscriber) Version() Version { return h.current }
