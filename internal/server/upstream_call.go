package server

import (
	"swiftcourse/admission"
	"swiftcourse/internal/requesttable"
)

// callTimeoutGraceSeconds is how long after a call's timeout the server still waits for the reply:
// the upstream reports a timeout itself, and its report should arrive first.
const callTimeoutGraceSeconds = 0.005

// upstreamCall is a call in flight or waiting for a connection.
type upstreamCall struct {
	request   *requesttable.Request
	conn      *upstreamConn // nil while the call waits for a connection
	startedAt float64
	deadline  float64
	progress  attemptProgress
	retried   bool // the call was sent again after a reused connection broke
	done      bool
}

// startCall starts the upstream call that a request waits for, with a timeout in seconds.
func (s *Server) startCall(request *requesttable.Request, timeout float64) {
	if !awaitsCall(request) || request.Answered {
		return
	}
	now := s.now()
	call := &upstreamCall{request: request, startedAt: now, deadline: now + timeout}
	s.statistics.calls++
	s.upstream.calls[request.ID] = call
	s.loop.timers.Schedule(call.deadline+callTimeoutGraceSeconds, func() { s.expireCall(call) })
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

// failCall ends a call that got no reply, and reports to the controller how far it had progressed.
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

// dropCall removes a call that got no reply and closes its connection. The close cancels the call at
// the upstream; the connection can't be reused, as it may be dead or still deliver the reply.
func (s *Server) dropCall(call *upstreamCall) {
	call.done = true
	delete(s.upstream.calls, call.request.ID)
	if conn := call.conn; conn != nil {
		conn.call = nil
		conn.retire()
	}
}

// cancelCall cancels the call of a request that no longer needs it. The controller gets no event.
func (s *Server) cancelCall(request *requesttable.Request) {
	if call := s.upstream.calls[request.ID]; call != nil {
		s.dropCall(call)
	}
}
