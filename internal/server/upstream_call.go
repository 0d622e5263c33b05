package server

import (
	"swiftcourse/admission"
	"swiftcourse/internal/requesttable"
)

// callTimeoutGrace is how much longer, in seconds, than its timeout a call is waited for: the
// upstream's own timeout reply says as much and should come first.
const callTimeoutGrace = 0.005

// upstreamCall is a call in flight or waiting for a connection.
type upstreamCall struct {
	request   *requesttable.Request
	conn      *upstreamConn // nil while it waits for one
	startedAt float64
	deadline  float64
	progress  attemptProgress
	retried   bool // it was sent a second time, as its connection had been idle and broke
	done      bool
}

// startCall sends a request's upstream call, with a timeout in seconds.
func (s *Server) startCall(request *requesttable.Request, timeout float64) {
	if !awaitsCall(request) || request.Answered {
		return
	}
	now := s.now()
	call := &upstreamCall{request: request, startedAt: now, deadline: now + timeout}
	s.statistics.calls++
	s.upstream.calls[request.ID] = call
	s.loop.timers.Schedule(call.deadline+callTimeoutGrace, func() { s.expireCall(call) })
	s.assignCall(call)
}

// expireCall fails a call whose timeout has passed.
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

// failCall ends a call without a reply, and reports to the controller how far it had come.
func (s *Server) failCall(call *upstreamCall, err *attemptError) {
	s.dropCall(call)
	s.reportCallDone(call, err.progress.outcome())
}

// reportCallDone reports the outcome of a call to the controller.
func (s *Server) reportCallDone(call *upstreamCall, outcome admission.Outcome) {
	seconds := s.now() - call.startedAt
	s.countUpstreamCall(outcome, seconds)
	s.queueEvent(admission.Event{
		Kind:      admission.CallReturned,
		RequestID: call.request.ID,
		Outcome:   outcome,
		Duration:  seconds,
	})
}

// dropCall removes a call without a reply. Its connection is closed, which cancels the call on the
// other side: a connection that still owes a reply may be dead.
func (s *Server) dropCall(call *upstreamCall) {
	call.done = true
	delete(s.upstream.calls, call.request.ID)
	if conn := call.conn; conn != nil {
		conn.call = nil
		conn.retire()
	}
}

// cancelCall cancels the call of a request that no longer needs it, without an event.
func (s *Server) cancelCall(request *requesttable.Request) {
	if call := s.upstream.calls[request.ID]; call != nil {
		s.dropCall(call)
	}
}
