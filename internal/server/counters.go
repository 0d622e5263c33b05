package server

import (
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/requesttable"
)

// This file counts requests for the fleet, by tenant and class, and how they ended.

// counterReportInterval is how often, in seconds, counters are reported: more often than they are
// passed on to others.
const counterReportInterval = 0.5

// requestCounters is what was counted since the last report.
type requestCounters struct {
	classes int
	counts  []serving.RequestCounts // of each tenant and class, see countsFor
	keys    []serving.CounterKey    // tenant and class of each of the counts
	changed bool
	report  func([]serving.CounterCell) bool
}

// ReportCounters has requests counted by tenant and class, and reports the counts on the loop. If
// report returns false, they are added to the next report. It is called before Run.
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

// flush reports the counts.
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

// countsFor returns the counts of a tenant's requests of a class, which the caller changes.
func (c *requestCounters) countsFor(kind requestKind) *serving.RequestCounts {
	c.changed = true
	return &c.counts[kind.tenant*c.classes+kind.class]
}

// countReceived counts a request that was taken in.
func (s *Server) countReceived(kind requestKind) {
	s.statistics.received++
	s.countQuotaDemand(kind.tenant)
	if c := s.fleet.counters; c != nil {
		c.countsFor(kind).Received++
	}
	if directive := s.fleet.directive.Load(); directive != nil {
		directive.Stats.Requests.Add(1)
	}
}

// countRejectedAtOnce counts a request that rejectAtOnce rejected.
func (s *Server) countRejectedAtOnce(kind requestKind) {
	if c := s.fleet.counters; c != nil {
		counts := c.countsFor(kind)
		counts.Received++
		counts.Rejected++
	}
}

// countAnswer counts a request's final answer.
func (s *Server) countAnswer(request *requesttable.Request, kind answerKind) {
	s.statistics.countAnswer(kind)
	s.countOutcome(kind)
	c := s.fleet.counters
	if c == nil {
		return
	}
	counts := c.countsFor(requestKind{class: request.Class, tenant: int(request.Tenant)})
	switch kind {
	case answerFinished:
		counts.Finished++
	case answerFailed:
		counts.Abandoned++
	default:
		counts.Rejected++
	}
}

// countOutcome counts the end of a request under the present configuration version: as failed
// unless it was finished.
func (s *Server) countOutcome(kind answerKind) {
	directive := s.fleet.directive.Load()
	if directive == nil {
		return
	}
	directive.Stats.Completed.Add(1)
	if kind != answerFinished {
		directive.Stats.Failed.Add(1)
	}
}
