package server

import (
	"context"
	"math"

	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

// This file is the server as a forwarder: a run is a request's way to a worker and back, in place
// of one at an executor. All else is as it is for a server: the controller decides what is admitted
// and when, by the learned typical run, which is that through the fleet.

// forwardSafetyMargin is how much less, in seconds, than the time that remains for a request is left
// to the worker: the way back takes some.
const forwardSafetyMargin = 0.010

// forwardingState is the state of a server that forwards its requests.
type forwardingState struct {
	messages map[string]*rpc.Message // of the requests that are not over, by ID, without their bodies
	dispatch func(forwarding.Request) bool
	cancel   func(id string)
}

// EnableForwarding has requests run by dispatch instead of an executor; it returns false for a
// request that was never sent. The function cancel is called for a request whose client is gone.
// EnableForwarding is called before Run.
func (s *Server) EnableForwarding(dispatch func(forwarding.Request) bool, cancel func(id string)) {
	s.fleet.forwarding = &forwardingState{messages: map[string]*rpc.Message{}, dispatch: dispatch, cancel: cancel}
	s.executor.requestGaugesFunc = func() {} // there are no gauges: workers report their capacity
}

// HandleWorkerAvailable reports that there is a worker; the server serves from then on. Any
// goroutine but the loop's may call it; it waits until the loop has started.
func (s *Server) HandleWorkerAvailable() {
	s.loop.waitAndExecute(context.Background(), func() {
		if s.decisions.controller == nil {
			s.startController(executorStart{cold: false, secondsAgo: math.Inf(1)})
		}
	})
}

// HandleForwardResults returns forwarded requests. Any goroutine may call it once the loop has
// started; it returns at once.
func (s *Server) HandleForwardResults(results []forwarding.Result) {
	_ = s.loop.execute(func() {
		for i := range results {
			s.handleForwardResult(&results[i])
		}
	})
}

// keepForForwarding keeps a request's message, which is forwarded with it.
func (s *Server) keepForForwarding(request *requesttable.Request, message *rpc.Message) {
	f := s.fleet.forwarding
	if f == nil {
		return
	}
	kept := *message
	kept.Number = 0
	kept.Body = nil // the request has it
	kept.Invalid = nil
	f.messages[request.ID] = &kept
}

// startRun runs a request: at a worker, or at the executor.
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
	timeout := s.startup.Settings.Classes[request.Class].Timeout
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	forwarded := forwarding.Request{
		ID:               request.ID,
		Class:            request.Class,
		Message:          *state.messages[request.ID],
		RemainingSeconds: request.ArrivedAt + timeout - s.now() - forwardSafetyMargin,
	}
	// A copy, as request.Body may go back to its pool before the fleet retries.
	forwarded.Message.Body = append([]byte(nil), request.Body...)
	if forwarded.RemainingSeconds <= 0 || !state.dispatch(forwarded) {
		s.handleForwardResult(&forwarding.Result{
			ID:                request.ID,
			Outcome:           admission.Rejected,
			RetryAfterSeconds: s.startup.Settings.MaxRetryAfter,
		})
	}
}

// cancelForward cancels a forwarded request whose client is gone.
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

// handleForwardResult ends a forwarded run.
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
