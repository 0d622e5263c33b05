package server

import (
	"swiftcourse/internal/memory"
	"swiftcourse/internal/policy/serving"
)

// This file is what the server counts for the fleet: its requests by tenant and class, and how they
// ended.

// counterReportInterval is how often, in seconds, counters are reported: more often than others
// hear of them.
const counterReportInterval = 0.5

// requestCounters is what was counted since it was last reported.
type requestCounters struct {
	classes int
	counts  []serving.RequestCounts // by tenant, and in it by class
	keys    []serving.CounterKey    // the same
	changed bool
	report  func([]serving.CounterCell) bool
}

// ReportCounters has requests counted and the counts reported, from the loop; where report returns
// false they go with the next. It is called before Run.
func (s *Server) ReportCounters(report func([]serving.CounterCell) bool) {
	tenants := make([]string, max(1, len(s.startup.Settings.Tenants)))
	for name, i := range s.startup.TenantIndex {
		tenants[i] = name
	}
	counters := &requestCounters{classes: len(s.startup.ClassNames), report: report}
	for _, tenant := range tenants {
		for _, class := range s.startup.ClassNames {
			counters.keys = append(counters.keys, serving.CounterKey{Tenant: tenant, Class: class})
		}
	}
	counters.counts = make([]serving.RequestCounts, len(counters.keys))
	s.fleet.counters = counters
	s.every(counterReportInterval, counters.flush)
}

// flush reports what was counted.
func (c *requestCounters) flush() {
	if !c.changed {
		return
	}
	var cells []serving.CounterCell
	for i, counts := range c.counts {
		if counts != (serving.RequestCounts{}) {
			cells = append(cells, serving.CounterCell{CounterKey: c.keys[i], RequestCounts: counts})
		}
	}
	if c.report(cells) {
		clear(c.counts)
		c.changed = false
	}
}

// at is where the requests of a tenant and class are counted.
func (c *requestCounters) at(kind requestKind) *serving.RequestCounts {
	c.changed = true
	return &c.counts[kind.tenant*c.classes+kind.class]
}

// countReceived counts a request that was taken in.
func (s *Server) countReceived(kind requestKind) {
	s.statistics.received++
	s.countQuotaDemand(kind.tenant)
	if c := s.fleet.counters; c != nil {
		c.at(kind).Received++
	}
	if directive := s.fleet.directive.Load(); directive != nil {
		directive.Stats.Requests.Add(1)
	}
}

// countRejectedAtOnce counts a request that came and was rejected before the controller heard of
// it.
func (s *Server) countRejectedAtOnce(kind requestKind) {
	if c := s.fleet.counters; c != nil {
		counts := c.at(kind)
		counts.Received++
		counts.Rejected++
	}
}

// countAnswer counts a request's final answer.
func (s *Server) countAnswer(request *memory.Request, kind answer) {
	s.statistics.countAnswer(kind)
	s.countOutcome(kind)
	c := s.fleet.counters
	if c == nil {
		return
	}
	counts := c.at(requestKind{class: request.Class, tenant: int(request.Tenant)})
	switch kind {
	case answerFinished:
		counts.Finished++
	case answerFailed:
		counts.Abandoned++
	default:
		counts.Rejected++
	}
}

// countOutcome counts the end of a request under the present configuration version: failed where it
// was not finished.
func (s *Server) countOutcome(kind answer) {
	directive := s.fleet.directive.Load()
	if directive == nil {
		return
	}
	directive.Stats.Completed.Add(1)
	if kind != answerFinished {
		directive.Stats.Failed.Add(1)
	}
}
