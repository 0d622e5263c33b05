package server

import (
	"context"
	"math"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
	"swiftcourse/internal/wire/rpc"
)

// This file is the server as a forwarder: a run is a task's way to a worker and back, in place of one at a processor. All else is as it is for a server:
// the module decides what is let in and when, by the learned typical run, which is that through the fleet. In a server that forwards nothing none of it
// is reached.

// ForwardRequest is a task on its way to a worker.
type ForwardRequest struct {
	ID      string
	Stage   int
	Message rpc.Message // as it goes on, but for its number and its times
	Left    float64     // seconds in which it has to be back
}

// ForwardResult is how that ended.
type ForwardResult struct {
	ID      string
	Outcome admission.Outcome // Finished, Errored, Bounced where no worker took it, Stopped where nobody waits any more
	Body    []byte
	Took    float64
	Advice  float64 // with Bounced: when to come back, in seconds
}

// forwarding is what the loop needs for it.
type forwarding struct {
	messages map[string]*rpc.Message // of tasks that are not over, what goes on with them
	dispatch func(ForwardRequest) bool
	cancel   func(id string)
}

// forwardSafetyMargin is what a hop keeps of the time that is left: as for calls below.
const forwardSafetyMargin = 0.010

// EnableForwarding has tasks go to begin in place of a processor; false where it can't take one: it never left. Quit tells of one that nobody waits for any more.
// It is called before Run.
func (s *Server) EnableForwarding(begin func(ForwardRequest) bool, quit func(id string)) {
	s.forwarding = &forwarding{messages: map[string]*rpc.Message{}, dispatch: begin, cancel: quit}
	s.executor.gaugeTimer = func() {} // there are no gauges: what workers can do is learned from what they say
}

// HandleWorkerAvailable tells, from any goroutine, that there is a worker: the server serves from then on.
func (s *Server) HandleWorkerAvailable() {
	<-s.loopReady
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		if s.controller == nil {
			s.startController(false, math.Inf(1))
		}
		return nil
	}))
}

// HandleForwardResults takes tasks back, from any goroutine.
func (s *Server) HandleForwardResults(list []ForwardResult) {
	_ = s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for i := range list {
			s.handleForwardResult(&list[i])
		}
		return nil
	}))
}

// keepForForwarding keeps what goes on with a task.
func (s *Server) keepForForwarding(t *requesttable.Request, m *rpc.Message) {
	if f := s.forwarding; f != nil {
		kept := *m
		kept.Body, kept.Bad, kept.Number = nil, nil, 0 // the body is the task's
		f.messages[t.ID] = &kept
	}
}

// startRun runs a task: at a worker, or at the processor.
func (s *Server) startRun(t *requesttable.Request) {
	f := s.forwarding
	if f == nil {
		s.executor.start(t)
		return
	}
	if t.Running || t.Answered {
		return
	}
	t.Running = true
	wait := s.startup.Settings.Classes[t.Class].Timeout
	if t.Timeout > 0 {
		wait = min(wait, t.Timeout)
	}
	now := s.now()
	out := ForwardRequest{ID: t.ID, Stage: t.Class, Message: *f.messages[t.ID], Left: t.ArrivedAt + wait - now - forwardSafetyMargin}
	out.Message.Body = append([]byte(nil), t.Body...) // the buffer may be used again before a second try
	if out.Left <= 0 || !f.dispatch(out) {
		s.handleForwardResult(&ForwardResult{ID: t.ID, Outcome: admission.Rejected, Advice: s.startup.Settings.MaxRetryAfter})
	}
}

// cancelForward tells that nobody waits for a task any more.
func (s *Server) cancelForward(t *requesttable.Request) {
	if f := s.forwarding; f != nil {
		delete(f.messages, t.ID)
		if t.Running {
			f.cancel(t.ID)
		}
	}
}

// handleForwardResult ends a run.
func (s *Server) handleForwardResult(b *ForwardResult) {
	t := s.requests.Get(b.ID)
	if t == nil || !t.Running {
		return
	}
	outcome := b.Outcome
	switch outcome {
	case admission.Finished:
		s.finish(t, b.Body)
	case admission.Failed:
		s.abandon(t)
	case admission.Rejected:
		outcome = admission.NeverStarted
		if !t.Answered {
			s.reject(t, min(b.Advice, s.startup.Settings.MaxRetryAfter), false)
		}
	}
	s.finishRun(t, outcome, b.Body, b.Took)
}

// finishRun tells all who wait for a run how it ended.
func (s *Server) finishRun(t *requesttable.Request, outcome admission.Outcome, body []byte, took float64) {
	waiting := s.results.Finish(t.ID, resultcache.Outcome{
		Ran:     outcome != admission.NeverStarted,
		Success: outcome == admission.Finished,
		Result:  body,
		FreshTo: s.now() + s.resultLifetime(t.Class),
	})
	for _, id := range waiting {
		s.answerShared(s.requests.Get(id), body, outcome, took)
	}
	s.completeClaim(t, outcome == admission.Finished, body)
	s.reportRunEnded(t, outcome, took)
}
