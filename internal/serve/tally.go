package serve

import (
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/memory"
)

// This file is what the server counts for the fleet: its tasks by tenant and stage, and how they ended. Without a fleet none of it is reached.

// tallies is what was counted since it was last told.
type tallies struct {
	stages int
	list   []stance.RequestCounts // by tenant, and in it by stage
	names  []stance.CounterKey    // the same
	some   bool
	tell   func([]stance.CounterCell) bool
}

// tellTallies is how often, in seconds, it is told: more often than others hear of it.
const tellTallies = 0.5

// Tally has tasks counted and what was counted told, from the loop; what could not be told is told with the next. It is called before Run.
func (s *Server) Tally(tell func([]stance.CounterCell) bool) {
	tenants := make([]string, max(1, len(s.start.Settings.Tenants)))
	for name, i := range s.start.TenantIndex {
		tenants[i] = name
	}
	t := &tallies{stages: len(s.start.ClassNames), tell: tell}
	for _, tenant := range tenants {
		for _, stage := range s.start.ClassNames {
			t.names = append(t.names, stance.CounterKey{Tenant: tenant, Class: stage})
		}
	}
	t.list = make([]stance.RequestCounts, len(t.names))
	s.tallies = t
	var again func()
	again = func() {
		t.told()
		s.timers.Schedule(s.now()+tellTallies, again)
	}
	s.timers.Schedule(s.now()+tellTallies, again)
}

func (t *tallies) told() {
	if !t.some {
		return
	}
	var list []stance.CounterCell
	for i, n := range t.list {
		if n != (stance.RequestCounts{}) {
			list = append(list, stance.CounterCell{CounterKey: t.names[i], RequestCounts: n})
		}
	}
	if t.tell(list) {
		clear(t.list)
		t.some = false
	}
}

// of is the tally of a tenant's tasks in a stage.
func (t *tallies) of(tenant, stage int) *stance.RequestCounts {
	t.some = true
	return &t.list[tenant*t.stages+stage]
}

// tallyAsked counts a task that came.
func (s *Server) tallyAsked(tenant, stage int) {
	if t := s.tallies; t != nil {
		t.of(tenant, stage).Received++
	}
}

// tallyAway counts a task that came and was turned away at once.
func (s *Server) tallyAway(tenant, stage int) {
	if t := s.tallies; t != nil {
		n := t.of(tenant, stage)
		n.Received++
		n.Rejected++
	}
}

// tallyEnd counts a task's answer, by the count of the server's own that it went to.
func (s *Server) tallyEnd(task *memory.Request, count *int) {
	t := s.tallies
	if t == nil {
		return
	}
	switch n := t.of(int(task.Tenant), task.Class); count {
	case &s.counts.finished:
		n.Finished++
	case &s.counts.abandoned:
		n.Abandoned++
	default:
		n.Rejected++
	}
}
