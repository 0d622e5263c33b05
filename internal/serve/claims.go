package serve

import (
	"context"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/memory"
)

// This file is what the server does with tasks that bear a key: before the module hears of one the fleet grants it, so that no effect comes twice
// wherever its tries end up. The wait counts as one unread: the module judges what is left of the caller's. Without a fleet none of it is reached.

// Fleet grants keys. Its answer comes by Server.Rule; nothing here waits.
type Fleet interface {
	// Claim asks for the right to run a task, to be told within left seconds; false where nothing more can be asked.
	Claim(id, stage, key string, left float64) bool
	// Never tells that a task is over that never began, Ended how the run of one ended.
	Never(id string)
	Ended(id string, well bool, result []byte)
	// Unsaid counts what the holders have not noted yet of tasks that are over.
	Unsaid() int
}

// keyed is what is known of tasks that bear a key.
type keyed struct {
	fleet   Fleet
	stages  []bool
	waiting map[string]choice.Event // reads that the module has not heard of, by task
	granted map[string]bool
}

const (
	// maxWaiting tasks are claimed at a time: at 1 ms each that is a million a second, and 4 MB of bodies at the most.
	maxWaiting = 1024
	// ruleSlush of a task's wait is left for its answer, and lateRule after that the fleet's part is taken for dead: it may have been granted.
	ruleSlush, lateRule = 0.02, 0.01
)

// Key has the tasks of some stages claimed by their subject before they run. It is called before Run.
func (s *Server) Key(fleet Fleet, stages []string, window float64) {
	s.keyed = &keyed{fleet: fleet, stages: make([]bool, len(s.start.ClassNames)), waiting: map[string]choice.Event{}, granted: map[string]bool{}}
	for i, name := range s.start.ClassNames {
		if slices.Contains(stages, name) {
			s.keyed.stages[i] = true
			s.start.Settings.Classes[i].Idempotency = choice.Deduplicated
			s.start.Settings.Classes[i].DeduplicationWindow = window
		}
	}
}

// claims tells whether a task that was read has to be granted first, and asks for it.
func (s *Server) claims(t *memory.Request, read *choice.Event, now float64) bool {
	k := s.keyed
	if k == nil || !k.stages[t.Class] || t.Subject == "" || read.Request.DuplicateOf != "" {
		return false
	}
	limit := s.start.Settings.Classes[t.Class].Timeout
	if t.Timeout != 0 {
		limit = min(limit, t.Timeout)
	}
	left := limit - max(0, now-t.ArrivedAt) - ruleSlush
	if len(k.waiting) >= maxWaiting || !k.fleet.Claim(t.ID, s.start.ClassNames[t.Class], t.Subject, left) {
		s.reject(t, s.awayFor(), false)
		return true
	}
	k.waiting[t.ID] = *read
	id := t.ID
	s.timers.Schedule(now+max(0, left)+lateRule, func() { s.rule(id, stance.ClaimOutcomeUnknown, nil) }) // what is ruled by then changes nothing
	return true
}

// Rule takes the fleet's word on a task, from any goroutine.
func (s *Server) Rule(id string, r stance.ClaimVerdict, result []byte) {
	<-s.looping
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.rule(id, r, result)
		return nil
	}))
}

func (s *Server) rule(id string, r stance.ClaimVerdict, result []byte) {
	k := s.keyed
	read, waits := k.waiting[id]
	if !waits { // it is over, and the fleet was told so
		return
	}
	delete(k.waiting, id)
	t := s.tasks.Get(id)
	now := s.now()
	switch {
	case t == nil || t.Answered:
		k.fleet.Never(id)
	case r == stance.ClaimGranted:
		k.granted[id] = true
		if read.Request.DuplicateOf = s.kept.Original(t.Class, t.Subject, t.ArrivedAt, now); read.Request.DuplicateOf != "" {
			s.unclaim(t)
		}
		s.happens(read)
	case r == stance.ClaimCached:
		read.Request.DuplicateOf = s.kept.Import(t, result, now+s.start.Settings.Classes[t.Class].DeduplicationWindow)
		s.happens(read)
	case r == stance.ClaimNoQuorum:
		s.counts.ungranted++
		s.reject(t, s.awayFor(), false)
	default:
		k.fleet.Never(id) // should it have been granted all the same
		s.counts.ungranted++
		s.abandon(t)
	}
}

// unclaim tells the fleet that a task that was claimed is over and never began.
func (s *Server) unclaim(t *memory.Request) {
	k := s.keyed
	if k == nil {
		return
	}
	_, waits := k.waiting[t.ID]
	if waits || k.granted[t.ID] {
		delete(k.waiting, t.ID)
		delete(k.granted, t.ID)
		k.fleet.Never(t.ID)
	}
}

// claimEnded tells the fleet how the run of a task ended.
func (s *Server) claimEnded(t *memory.Request, well bool, result []byte) {
	if k := s.keyed; k != nil && k.granted[t.ID] {
		delete(k.granted, t.ID)
		k.fleet.Ended(t.ID, well, append([]byte(nil), result...))
	}
}

// owesHolders tells whether a server that leaves should stay a little: what its holders don't know yet would be 'may have run' to whoever tries again.
func (s *Server) owesHolders() bool { return s.keyed != nil && s.keyed.fleet.Unsaid() > 0 }

// freshFor is how long a result may serve repeats.
func (s *Server) freshFor(stage int) float64 {
	if k := s.keyed; k != nil && k.stages[stage] {
		return s.start.Settings.Classes[stage].DeduplicationWindow
	}
	return s.start.Settings.ResultCacheTTL
}
