package server

import (
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/requesttable"
)

// This file counts requests and their outcomes for the fleet, by tenant and class.

// counterReportIntervalSeconds is how often counters are reported to the fleet agent: more
// often than the agent passes them on.
const counterReportIntervalSeconds = 0.5

// requestCounters holds the counts since the last report.
type requestCounters struct {
	classes int
	counts  []serving.RequestCounts // by tenant and class, see countsFor
	keys    []serving.CounterKey    // the tenant and class of each element of counts
	changed bool                    // since the last report
	report  func([]serving.CounterCell) bool
}

// ReportCounters enables counting by tenant and class; report is called on the loop with the counts
// since the last report. If it returns false, the counts are kept for the next report.
// ReportCounters must be called before Run.
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
	s.scheduleEvery(counterReportIntervalSeconds, counters.flush)
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

// countsFor returns the counts of a tenant and class for the caller to change.
func (c *requestCounters) countsFor(kind requestKind) *serving.RequestCounts {
	c.changed = true
	return &c.counts[kind.tenant*c.classes+kind.class]
}

// countReceived counts a valid request that was not rejected early.
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

// countRejectedEarly counts a request that was rejected by rejectEarly.
func (s *Server) countRejectedEarly(kind requestKind) {
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

// countOutcome counts a completed request for the present configuration version; any outcome but
// finished counts as failed.
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
