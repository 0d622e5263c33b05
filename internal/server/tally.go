package server

import (
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/requesttable"
)

// This file is what the server counts for the fleet: its tasks by tenant and stage, and how they ended. Without a fleet none of it is reached.

// requestCounters is what was counted since it was last told.
type requestCounters struct {
	classCount int
	counts     []serving.RequestCounts // by tenant, and in it by stage
	cells      []serving.CounterKey    // the same
	dirty      bool
	report     func([]serving.CounterCell) bool
}

// counterReportInterval is how often, in seconds, it is told: more often than others hear of it.
const counterReportInterval = 0.5

// ReportCounters has tasks counted and what was counted told, from the loop; what could not be told is told with the next. It is called before Run.
func (s *Server) ReportCounters(tell func([]serving.CounterCell) bool) {
	tenants := make([]string, max(1, len(s.startup.Settings.Tenants)))
	for name, i := range s.startup.TenantIndex {
		tenants[i] = name
	}
	t := &requestCounters{classCount: len(s.startup.ClassNames), report: tell}
	for _, tenant := range tenants {
		for _, stage := range s.startup.ClassNames {
			t.cells = append(t.cells, serving.CounterKey{Tenant: tenant, Class: stage})
		}
	}
	t.counts = make([]serving.RequestCounts, len(t.cells))
	s.counters = t
	var again func()
	again = func() {
		t.flush()
		s.timers.Schedule(s.now()+counterReportInterval, again)
	}
	s.timers.Schedule(s.now()+counterReportInterval, again)
}

func (t *requestCounters) flush() {
	if !t.dirty {
		return
	}
	var list []serving.CounterCell
	for i, n := range t.counts {
		if n != (serving.RequestCounts{}) {
			list = append(list, serving.CounterCell{CounterKey: t.cells[i], RequestCounts: n})
		}
	}
	if t.report(list) {
		clear(t.counts)
		t.dirty = false
	}
}

// at is the tally of a tenant's tasks in a stage.
func (t *requestCounters) at(tenant, stage int) *serving.RequestCounts {
	t.dirty = true
	return &t.counts[tenant*t.classCount+stage]
}

// countReceived counts a task that came.
func (s *Server) countReceived(tenant, stage int) {
	if t := s.counters; t != nil {
		t.at(tenant, stage).Received++
	}
}

// countRejectedAtOnce counts a task that came and was turned away at once.
func (s *Server) countRejectedAtOnce(tenant, stage int) {
	if t := s.counters; t != nil {
		n := t.at(tenant, stage)
		n.Received++
		n.Rejected++
	}
}

// countAnswered counts a task's answer, by the count of the server's own that it went to.
func (s *Server) countAnswered(task *requesttable.Request, count *int) {
	t := s.counters
	if t == nil {
		return
	}
	switch n := t.at(int(task.Tenant), task.Class); count {
	case &s.statistics.finished:
		n.Finished++
	case &s.statistics.abandoned:
		n.Abandoned++
	default:
		n.Rejected++
	}
}
