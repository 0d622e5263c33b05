package server

import (
	"swiftcourse/admission"
	"swiftcourse/internal/memory"
)

// callTimeoutGrace is how much longer than told, in seconds, a call is waited for: the upstream's
// own word proves as much and should win.
const callTimeoutGrace = 0.005

// upstreamCall is a call on its way.
type upstreamCall struct {
	request   *memory.Request
	conn      *upstreamConn // nil while it waits for one
	startedAt float64
	deadline  float64
	progress  attemptProgress
	retried   bool // it was sent a second time, as its connection had been idle and broke
	done      bool
}

// startCall sends a request's call, with a timeout in seconds.
func (s *Server) startCall(request *memory.Request, timeout float64) {
	if request.CallNotice == 0 || request.CallSettled || request.Answered {
		return
	}
	now := s.now()
	call := &upstreamCall{request: request, startedAt: now, deadline: now + timeout}
	s.statistics.calls++
	s.upstream.calls[request.ID] = call
	s.loop.timers.Schedule(call.deadline+callTimeoutGrace, func() { s.expireCall(call) })
	s.assignCall(call)
}

// expireCall ends a call whose time is up.
func (s *Server) expireCall(call *upstreamCall) {
	if call.done {
		return
	}
	progress := call.progress
	if progress == sent {
		progress = mayHaveRun
	}
	s.failCall(call, &attemptError{progress, errCallTimeout})
}

// failCall ends a call that got no answer, and tells the controller how far it had come.
func (s *Server) failCall(call *upstreamCall, err *attemptError) {
	s.dropCall(call)
	s.reportCallDone(call, err.progress.outcome())
}

// reportCallDone tells the controller what became of a call.
func (s *Server) reportCallDone(call *upstreamCall, outcome admission.Outcome) {
	took := s.now() - call.startedAt
	s.countUpstreamCall(outcome, took)
	s.queueEvent(admission.Event{
		Kind:      admission.CallReturned,
		RequestID: call.request.ID,
		Outcome:   outcome,
		Duration:  took,
	})
}

// dropCall takes a call off that has no answer. Its connection ends with it, which cancels the call
// on the other side: a connection that owes a reply may be dead.
func (s *Server) dropCall(call *upstreamCall) {
	call.done = true
	delete(s.upstream.calls, call.request.ID)
	if conn := call.conn; conn != nil {
		conn.call = nil
		conn.retire()
	}
}

// cancelCall gives up the call of a request that needs it no more, without an event.
func (s *Server) cancelCall(request *memory.Request) {
	if call := s.upstream.calls[request.ID]; call != nil {
		s.dropCall(call)
	}
}
