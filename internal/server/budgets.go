package server

import (
	"context"
	"math"
	"slices"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/serving"
)

// This file is what the server does with its parts of budgets that all servers share: the module hears of a change at the head of the next batch,
// and of a lease that is over by the loop's own clock, also when whoever renews it is stopped. Without a fleet none of it is reached.

// QuotaUsage is what was asked of a budget lately, and by which word on it the loop goes.
type QuotaUsage struct {
	Name         string
	Demand, Open float64
	Answer       uint64
}

// quotas is what the loop knows of them.
type quotas struct {
	allowances  []serving.Allowance
	applied     []float64 // that the module was told of each, under 0 where it was told nothing
	received    []int     // by tenant, since the last count
	rates       []float64 // by tenant, of the last half second or so
	nextExpiry  float64   // when the next part is over
	report      func([]QuotaUsage)
	reportCalls func(serving.CallStats) // nil where nobody judges the service below
	calls       serving.CallStats       // since the last count
	usedProbe   int64                   // number of the latest try that was made
	probe       int64                   // that may be made, 0 for none
}

const (
	// usageInterval is how often, in seconds, it is counted and told what was used, and useWeight what the latest count weighs: half a second or so tells. With a
	// weight of 0.3 swings of small demands took 1.5% of a budget from the large one.
	usageInterval, usageWeight = 0.1, 0.2
	// minUsageRate is a rate that is none any more.
	minUsageRate = 0.01
)

// EnableQuota has parts of budgets bind from the first task on, and what is used told. It is called before Run.
func (s *Server) EnableQuota(tell func([]QuotaUsage)) {
	s.quotas = &quotas{received: make([]int, len(s.startup.Settings.Tenants)), rates: make([]float64, len(s.startup.Settings.Tenants)), nextExpiry: math.Inf(1), report: tell}
	var again func()
	again = func() {
		s.reportQuotaUsage()
		s.timers.Schedule(s.now()+usageInterval, again)
	}
	s.timers.Schedule(s.now()+usageInterval, again)
}

// ReportUpstreamCalls has what became of calls below told, after Budget.
func (s *Server) ReportUpstreamCalls(tell func(serving.CallStats)) { s.quotas.reportCalls = tell }

// countUpstreamCall counts a call.
func (s *Server) countUpstreamCall(outcome admission.Outcome, took float64) {
	b := s.quotas
	if b != nil && b.probe != 0 { // it was made: no other goes out, also before who judges hears of it
		b.usedProbe, b.probe, b.nextExpiry = b.probe, 0, math.Inf(-1)
	}
	switch {
	case b == nil:
	case outcome == admission.Finished:
		b.calls.Succeeded++
		b.calls.TotalSeconds += took
	default:
		b.calls.Failed++
	}
}

// SetAllowances hands over what may be used of all budgets, from any goroutine. The loop goes by it from its next batch on.
func (s *Server) SetAllowances(list []serving.Allowance) {
	s.allowances.Store(&list)
	select {
	case <-s.loopReady:
		_ = s.loop.Execute(context.Background(), s.turnRunnable)
	default: // its first turn sees it
	}
}

// applyAllowances puts what has changed at the head of the batch.
func (s *Server) applyAllowances(now float64) {
	b, given := s.quotas, s.allowances.Load()
	if b == nil || given == nil || s.controller == nil {
		return
	}
	list := *given
	fresh := len(list) != len(b.allowances) || len(list) > 0 && &list[0] != &b.allowances[0]
	if !fresh && now < b.nextExpiry {
		return
	}
	if fresh {
		if !slices.EqualFunc(list, b.allowances, func(x, y serving.Allowance) bool { return x.Name == y.Name }) {
			b.applied = make([]float64, len(list))
			for i := range b.applied {
				b.applied[i] = -1
			}
			s.removeAllowances(b.allowances, list)
		}
		b.allowances = list
	}
	if !fresh && !math.IsInf(b.nextExpiry, -1) {
		s.statistics.quotaExpired++
	}
	b.nextExpiry, b.probe = math.Inf(1), 0
	var events []admission.Event
	for i := range list {
		a := &list[i]
		if now < a.LeaseExpiry {
			b.nextExpiry = min(b.nextExpiry, a.LeaseExpiry)
		}
		may := a.LimitAt(now)
		if a.ProbeNumber != 0 && a.ProbeNumber == b.usedProbe {
			may = 0
		} else if may > 0 {
			b.probe = max(b.probe, a.ProbeNumber)
		}
		if may != b.applied[i] {
			b.applied[i] = may
			events = append(events, admission.Event{Kind: admission.AllowanceChanged, Allowance: &admission.Allowance{Tenant: a.Tenant, Limit: may, BurstDuration: a.BurstSeconds}})
		}
	}
	if events != nil {
		s.pendingEvents = append(events, s.pendingEvents...)
	}
}

// removeAllowances has the module hear of budgets that are no more: what they bound is as good as unbound.
func (s *Server) removeAllowances(was, is []serving.Allowance) {
	for _, a := range was {
		if !slices.ContainsFunc(is, func(x serving.Allowance) bool { return x.Tenant == a.Tenant }) {
			s.pendingEvents = append([]admission.Event{{Kind: admission.AllowanceChanged, Allowance: &admission.Allowance{Tenant: a.Tenant, Limit: math.MaxInt32, BurstDuration: 1}}}, s.pendingEvents...)
		}
	}
}

// countQuotaDemand counts a task of a tenant.
func (s *Server) countQuotaDemand(tenant int) {
	if b := s.quotas; b != nil && tenant < len(b.received) {
		b.received[tenant]++
	}
}

// reportQuotaUsage tells what was asked for and what is open.
func (s *Server) reportQuotaUsage() {
	b := s.quotas
	for _, a := range b.allowances {
		if a.Tenant >= 0 {
			// More than the whole budget tells nothing, and would take long to be forgotten once demand is elsewhere.
			rate := &b.rates[a.Tenant]
			if *rate += usageWeight * (min(float64(b.received[a.Tenant])/usageInterval, a.FleetMax) - *rate); *rate < minUsageRate {
				*rate = 0
			}
		}
	}
	clear(b.received)
	if s.controller == nil {
		return
	}
	if b.reportCalls != nil {
		b.calls.InFlight, _ = s.controller.DownstreamCalls()
		b.reportCalls(b.calls)
		b.calls = serving.CallStats{}
	}
	var used []QuotaUsage
	for i := range b.allowances {
		u := QuotaUsage{Name: b.allowances[i].Name, Answer: b.allowances[i].GrantNumber}
		if tenant := b.allowances[i].Tenant; tenant >= 0 {
			u.Demand = b.rates[tenant]
		} else {
			out, waiting := s.controller.DownstreamCalls()
			u.Demand, u.Open = float64(out+waiting), float64(out)
			if b.allowances[i].Capped { // it can't use more
				u.Demand = min(u.Demand, b.allowances[i].Cap)
			}
		}
		if u.Demand > 0 || u.Open > 0 || b.allowances[i].LeaseExpiry > s.now() {
			used = append(used, u)
		}
	}
	if used != nil {
		b.report(used)
	}
}
