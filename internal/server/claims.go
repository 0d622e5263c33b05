package server

import (
	"context"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/requesttable"
)

// This file is what the server does with tasks that bear a key: before the module hears of one the fleet grants it, so that no effect comes twice
// wherever its tries end up. The wait counts as one unread: the module judges what is left of the caller's. Without a fleet none of it is reached.

// KeyClaimer grants keys. Its answer comes by Server.Rule; nothing here waits.
type KeyClaimer interface {
	// Claim asks for the right to run a task, to be told within left seconds; false where nothing more can be asked.
	Claim(id, stage, key string, left float64) bool
	// Never tells that a task is over that never began, Ended how the run of one ended.
	ReleaseClaim(id string)
	CompleteClaim(id string, well bool, result []byte)
	// Unsaid counts what the holders have not noted yet of tasks that are over.
	UnreportedClaims() int
}

// keyClaims is what is known of tasks that bear a key.
type keyClaims struct {
	claimer KeyClaimer
	classes []bool
	waiting map[string]admission.Event // reads that the module has not heard of, by task
	granted map[string]bool
}

const (
	// maxPendingClaims tasks are claimed at a time: at 1 ms each that is a million a second, and 4 MB of bodies at the most.
	maxPendingClaims = 1024
	// claimSafetyMargin of a task's wait is left for its answer, and lateRule after that the fleet's part is taken for dead: it may have been granted.
	claimSafetyMargin, claimTimeoutGrace = 0.02, 0.01
)

// EnableKeyClaims has the tasks of some stages claimed by their subject before they run. It is called before Run.
func (s *Server) EnableKeyClaims(fleet KeyClaimer, stages []string, window float64) {
	s.keyClaims = &keyClaims{claimer: fleet, classes: make([]bool, len(s.startup.ClassNames)), waiting: map[string]admission.Event{}, granted: map[string]bool{}}
	for i, name := range s.startup.ClassNames {
		if slices.Contains(stages, name) {
			s.keyClaims.classes[i] = true
			s.startup.Settings.Classes[i].Idempotency = admission.Deduplicated
			s.startup.Settings.Classes[i].DeduplicationWindow = window
		}
	}
}

// claimKey tells whether a task that was read has to be granted first, and asks for it.
func (s *Server) claimKey(t *requesttable.Request, read *admission.Event, now float64) bool {
	k := s.keyClaims
	if k == nil || !k.classes[t.Class] || t.Subject == "" || read.Request.DuplicateOf != "" {
		return false
	}
	limit := s.startup.Settings.Classes[t.Class].Timeout
	if t.Timeout != 0 {
		limit = min(limit, t.Timeout)
	}
	left := limit - max(0, now-t.ArrivedAt) - claimSafetyMargin
	if len(k.waiting) >= maxPendingClaims || !k.claimer.Claim(t.ID, s.startup.ClassNames[t.Class], t.Subject, left) {
		s.reject(t, s.retryAfterOutOfService(), false)
		return true
	}
	k.waiting[t.ID] = *read
	id := t.ID
	s.timers.Schedule(now+max(0, left)+claimTimeoutGrace, func() { s.resolveClaim(id, serving.ClaimOutcomeUnknown, nil) }) // what is ruled by then changes nothing
	return true
}

// HandleClaimVerdict takes the fleet's word on a task, from any goroutine.
func (s *Server) HandleClaimVerdict(id string, r serving.ClaimVerdict, result []byte) {
	<-s.loopReady
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		s.resolveClaim(id, r, result)
		return nil
	}))
}

func (s *Server) resolveClaim(id string, r serving.ClaimVerdict, result []byte) {
	k := s.keyClaims
	read, waits := k.waiting[id]
	if !waits { // it is over, and the fleet was told so
		return
	}
	delete(k.waiting, id)
	t := s.requests.Get(id)
	now := s.now()
	switch {
	case t == nil || t.Answered:
		k.claimer.ReleaseClaim(id)
	case r == serving.ClaimGranted:
		k.granted[id] = true
		if read.Request.DuplicateOf = s.results.Original(t.Class, t.Subject, t.ArrivedAt, now); read.Request.DuplicateOf != "" {
			s.releaseClaim(t)
		}
		s.queueEvent(read)
	case r == serving.ClaimCached:
		read.Request.DuplicateOf = s.results.Import(t, result, now+s.startup.Settings.Classes[t.Class].DeduplicationWindow)
		s.queueEvent(read)
	case r == serving.ClaimNoQuorum:
		s.statistics.claimsFailed++
		s.reject(t, s.retryAfterOutOfService(), false)
	default:
		k.claimer.ReleaseClaim(id) // should it have been granted all the same
		s.statistics.claimsFailed++
		s.abandon(t)
	}
}

// releaseClaim tells the fleet that a task that was claimed is over and never began.
func (s *Server) releaseClaim(t *requesttable.Request) {
	k := s.keyClaims
	if k == nil {
		return
	}
	_, waits := k.waiting[t.ID]
	if waits || k.granted[t.ID] {
		delete(k.waiting, t.ID)
		delete(k.granted, t.ID)
		k.claimer.ReleaseClaim(t.ID)
	}
}

// completeClaim tells the fleet how the run of a task ended.
func (s *Server) completeClaim(t *requesttable.Request, well bool, result []byte) {
	if k := s.keyClaims; k != nil && k.granted[t.ID] {
		delete(k.granted, t.ID)
		k.claimer.CompleteClaim(t.ID, well, append([]byte(nil), result...))
	}
}

// hasPendingClaimReports tells whether a server that leaves should stay a little: what its holders don't know yet would be 'may have run' to whoever tries again.
func (s *Server) hasPendingClaimReports() bool {
	return s.keyClaims != nil && s.keyClaims.claimer.UnreportedClaims() > 0
}

// resultLifetime is how long a result may serve repeats.
func (s *Server) resultLifetime(stage int) float64 {
	if k := s.keyClaims; k != nil && k.classes[stage] {
		return s.startup.Settings.Classes[stage].DeduplicationWindow
	}
	return s.startup.Settings.ResultCacheTTL
}
