package serve

import (
	"context"
	"math"
	"slices"

	"swiftcourse/choice"
	"swiftcourse/internal/judge/stance"
)

// This file is what the server does with its parts of budgets that all servers share: the module hears of a change at the head of the next batch,
// and of a lease that is over by the loop's own clock, also when whoever renews it is stopped. Without a fleet none of it is reached.

// Used is what was asked of a budget lately, and by which word on it the loop goes.
type Used struct {
	Name         string
	Demand, Open float64
	Answer       uint64
}

// budgets is what the loop knows of them.
type budgets struct {
	list  []stance.Allowance
	told  []float64 // that the module was told of each, under 0 where it was told nothing
	asked []int     // by tenant, since the last count
	rates []float64 // by tenant, of the last half second or so
	lapse float64   // when the next part is over
	tell  func([]Used)
	below func(stance.CallStats) // nil where nobody judges the service below
	calls stance.CallStats       // since the last count
	tried int64                  // number of the latest try that was made
	try   int64                  // that may be made, 0 for none
}

const (
	// useEvery is how often, in seconds, it is counted and told what was used, and useWeight what the latest count weighs: half a second or so tells. With a
	// weight of 0.3 swings of small demands took 1.5% of a budget from the large one.
	useEvery, useWeight = 0.1, 0.2
	// leastUse is a rate that is none any more.
	leastUse = 0.01
)

// Budget has parts of budgets bind from the first task on, and what is used told. It is called before Run.
func (s *Server) Budget(tell func([]Used)) {
	s.budgets = &budgets{asked: make([]int, len(s.start.Settings.Tenants)), rates: make([]float64, len(s.start.Settings.Tenants)), lapse: math.Inf(1), tell: tell}
	var again func()
	again = func() {
		s.countUse()
		s.timers.Schedule(s.now()+useEvery, again)
	}
	s.timers.Schedule(s.now()+useEvery, again)
}

// Below has what became of calls below told, after Budget.
func (s *Server) Below(tell func(stance.CallStats)) { s.budgets.below = tell }

// callEnded counts a call.
func (s *Server) callEnded(outcome choice.Outcome, took float64) {
	b := s.budgets
	if b != nil && b.try != 0 { // it was made: no other goes out, also before who judges hears of it
		b.tried, b.try, b.lapse = b.try, 0, math.Inf(-1)
	}
	switch {
	case b == nil:
	case outcome == choice.Finished:
		b.calls.Succeeded++
		b.calls.TotalSeconds += took
	default:
		b.calls.Failed++
	}
}

// Allow hands over what may be used of all budgets, from any goroutine. The loop goes by it from its next batch on.
func (s *Server) Allow(list []stance.Allowance) {
	s.allowed.Store(&list)
	select {
	case <-s.looping:
		_ = s.loop.Execute(context.Background(), s.run)
	default: // its first turn sees it
	}
}

// heedBudgets puts what has changed at the head of the batch.
func (s *Server) heedBudgets(now float64) {
	b, given := s.budgets, s.allowed.Load()
	if b == nil || given == nil || s.module == nil {
		return
	}
	list := *given
	fresh := len(list) != len(b.list) || len(list) > 0 && &list[0] != &b.list[0]
	if !fresh && now < b.lapse {
		return
	}
	if fresh {
		if !slices.EqualFunc(list, b.list, func(x, y stance.Allowance) bool { return x.Name == y.Name }) {
			b.told = make([]float64, len(list))
			for i := range b.told {
				b.told[i] = -1
			}
			s.unbind(b.list, list)
		}
		b.list = list
	}
	if !fresh && !math.IsInf(b.lapse, -1) {
		s.counts.lapsed++
	}
	b.lapse, b.try = math.Inf(1), 0
	var events []choice.Event
	for i := range list {
		a := &list[i]
		if now < a.LeaseExpiry {
			b.lapse = min(b.lapse, a.LeaseExpiry)
		}
		may := a.LimitAt(now)
		if a.ProbeNumber != 0 && a.ProbeNumber == b.tried {
			may = 0
		} else if may > 0 {
			b.try = max(b.try, a.ProbeNumber)
		}
		if may != b.told[i] {
			b.told[i] = may
			events = append(events, choice.Event{Kind: choice.AllowanceChanged, Allowance: &choice.Allowance{Tenant: a.Tenant, Limit: may, BurstDuration: a.BurstSeconds}})
		}
	}
	if events != nil {
		s.events = append(events, s.events...)
	}
}

// unbind has the module hear of budgets that are no more: what they bound is as good as unbound.
func (s *Server) unbind(was, is []stance.Allowance) {
	for _, a := range was {
		if !slices.ContainsFunc(is, func(x stance.Allowance) bool { return x.Tenant == a.Tenant }) {
			s.events = append([]choice.Event{{Kind: choice.AllowanceChanged, Allowance: &choice.Allowance{Tenant: a.Tenant, Limit: math.MaxInt32, BurstDuration: 1}}}, s.events...)
		}
	}
}

// asks counts a task of a tenant.
func (s *Server) asks(tenant int) {
	if b := s.budgets; b != nil && tenant < len(b.asked) {
		b.asked[tenant]++
	}
}

// countUse tells what was asked for and what is open.
func (s *Server) countUse() {
	b := s.budgets
	for _, a := range b.list {
		if a.Tenant >= 0 {
			// More than the whole budget tells nothing, and would take long to be forgotten once demand is elsewhere.
			rate := &b.rates[a.Tenant]
			if *rate += useWeight * (min(float64(b.asked[a.Tenant])/useEvery, a.FleetMax) - *rate); *rate < leastUse {
				*rate = 0
			}
		}
	}
	clear(b.asked)
	if s.module == nil {
		return
	}
	if b.below != nil {
		b.calls.InFlight, _ = s.module.DownstreamCalls()
		b.below(b.calls)
		b.calls = stance.CallStats{}
	}
	var used []Used
	for i := range b.list {
		u := Used{Name: b.list[i].Name, Answer: b.list[i].GrantNumber}
		if tenant := b.list[i].Tenant; tenant >= 0 {
			u.Demand = b.rates[tenant]
		} else {
			out, waiting := s.module.DownstreamCalls()
			u.Demand, u.Open = float64(out+waiting), float64(out)
			if b.list[i].Capped { // it can't use more
				u.Demand = min(u.Demand, b.list[i].Cap)
			}
		}
		if u.Demand > 0 || u.Open > 0 || b.list[i].LeaseExpiry > s.now() {
			used = append(used, u)
		}
	}
	if used != nil {
		b.tell(used)
	}
}
