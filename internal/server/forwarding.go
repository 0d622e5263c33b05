package server

import (
	"context"
	"math"

	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

// This file makes the server a forwarder: instead of running at an executor, a request is sent to a
// worker and its result is returned. Everything else is the same as for a server: the controller
// decides which requests are admitted and when, based on the learned typical run time, which here is
// the round trip through the fleet.

// forwardSafetyMarginSeconds is the part of a request's remaining time that is reserved for
// returning the result; the worker gets the rest.
const forwardSafetyMarginSeconds = 0.010

// forwardingState is the state of a server that forwards its requests.
type forwardingState struct {
	messages map[string]*rpc.Message // of the unanswered requests, by request ID, without bodies
	dispatch func(forwarding.Request) bool
	cancel   func(id string)
}

// EnableForwarding makes the server forward requests by calling dispatch, instead of running them at
// an executor; dispatch returns false for a request that was not sent. The function cancel is called
// for a request that was answered while it ran, as when its client is gone. EnableForwarding must be
// called before Run.
func (s *Server) EnableForwarding(dispatch func(forwarding.Request) bool, cancel func(id string)) {
	s.fleet.forwarding = &forwardingState{messages: map[string]*rpc.Message{}, dispatch: dispatch, cancel: cancel}
	s.executor.requestGaugesFunc = func() {} // there are no gauges: workers report their capacity
}

// HandleWorkerAvailable reports that a worker is available; the server serves from then on. Any
// goroutine but the loop's may call it; it waits until the loop has started.
func (s *Server) HandleWorkerAvailable() {
	s.loop.waitAndExecute(context.Background(), func() {
		if s.decisions.controller == nil {
			s.startController(executorStart{cold: false, secondsAgo: math.Inf(1)})
		}
	})
}

// HandleForwardResults receives the results of forwarded requests. Any goroutine may call it once
// the loop has started; it returns at once.
func (s *Server) HandleForwardResults(results []forwarding.Result) {
	_ = s.loop.execute(func() {
		for i := range results {
			s.handleForwardResult(&results[i])
		}
	})
}

// saveForForwarding saves a request's message, to be forwarded when the request runs.
func (s *Server) saveForForwarding(request *requesttable.Request, message *rpc.Message) {
	f := s.fleet.forwarding
	if f == nil {
		return
	}
	saved := *message
	saved.Number = 0
	saved.Body = nil // requesttable.Request holds the body
	saved.ValidationError = nil
	f.messages[request.ID] = &saved
}

// startRun starts the run of a request, at a worker if the server is a forwarder, else at the
// executor.
func (s *Server) startRun(request *requesttable.Request) {
	state := s.fleet.forwarding
	if state == nil {
		s.executor.start(request)
		return
	}
	if request.Running || request.Answered {
		return
	}
	request.Running = true
	s.rememberStart(request)
	timeout := s.startup.Settings.Classes[request.Class].Timeout
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	forwarded := forwarding.Request{
		ID:               request.ID,
		Class:            request.Class,
		Message:          *state.messages[request.ID],
		RemainingSeconds: request.ArrivedAt + timeout - s.now() - forwardSafetyMarginSeconds,
	}
	// A copy, because request.Body may be returned to its pool before the request is forwarded again.
	forwarded.Message.Body = append([]byte(nil), request.Body...)
	if forwarded.RemainingSeconds <= 0 || !state.dispatch(forwarded) {
		s.handleForwardResult(&forwarding.Result{
			ID:                request.ID,
			Outcome:           admission.Rejected,
			RetryAfterSeconds: s.startup.Settings.MaxRetryAfter,
		})
	}
}

// cancelForward drops the message of an answered request, and cancels the request if it is still
// running at a worker.
func (s *Server) cancelForward(request *requesttable.Request) {
	f := s.fleet.forwarding
	if f == nil {
		return
	}
	delete(f.messages, request.ID)
	if request.Running {
		f.cancel(request.ID)
	}
}

// handleForwardResult answers a forwarded request and ends its run.
func (s *Server) handleForwardResult(result *forwarding.Result) {
	request := s.requests.Get(result.ID)
	if request == nil || !request.Running {
		return
	}
	outcome := result.Outcome
	switch outcome {
	case admission.Finished:
		s.finish(request, result.Body)
	case admission.Failed:
		s.fail(request)
	case admission.Rejected:
		outcome = admission.NeverStarted
		if !request.Answered {
			s.reject(request, min(result.RetryAfterSeconds, s.startup.Settings.MaxRetryAfter))
		}
	}
	s.finishRun(request, outcome, result.Body, result.Seconds)
}
