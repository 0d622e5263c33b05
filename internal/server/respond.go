package server

import (
	"swiftcourse/admission"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
	"swiftcourse/internal/wire/rpc"
)

// answerKind is the kind of a request's final answer.
type answerKind uint8

const (
	answerFinished answerKind = iota // a result
	answerFailed                     // an error: the request ran, or may have run
	answerRejected                   // the request never ran
	answerKindCount
)

// String returns the kind's name.
func (a answerKind) String() string {
	return [...]string{"finished", "failed", "rejected", "unknown"}[min(a, answerKindCount)]
}

// respond sends a request's final answer, as encoded by encode. Calls after the first have no effect.
func (s *Server) respond(request *requesttable.Request, kind answerKind, encode func(b []byte, number uint64) []byte) {
	if request.Answered {
		return
	}
	s.countAnswer(request, kind)
	if client := s.clients.conns.Get(request.Connection); client != nil {
		client.removeRequest(request, s.now())
		s.output.scratch = encode(s.output.scratch[:0], request.MessageNumber)
		client.writeScratch()
	}
	s.settle(request)
}

// finish answers a request with its result.
func (s *Server) finish(request *requesttable.Request, result []byte) {
	if client := s.clients.conns.Get(request.Connection); client != nil && !request.Answered {
		s.clients.limiter.HandleRequestDone(client.slot(), s.now())
	}
	s.respond(request, answerFinished, func(b []byte, number uint64) []byte {
		return rpc.AppendResult(b, number, result, s.health.loadReport)
	})
}

// fail answers a request with an error.
func (s *Server) fail(request *requesttable.Request) {
	s.respond(request, answerFailed, func(b []byte, number uint64) []byte {
		return rpc.AppendFailed(b, number, s.health.loadReport)
	})
}

// reject answers that a request never ran. The client may retry after retryAfter seconds, and may
// try another server.
func (s *Server) reject(request *requesttable.Request, retryAfter float64) {
	s.rejectWith(request, retryAfter, false)
}

// rejectWith is reject, but with noFailover it asks the client not to try another server.
func (s *Server) rejectWith(request *requesttable.Request, retryAfter float64, noFailover bool) {
	report := s.health.loadReport
	report.RetryAfter = retryAfter
	report.NoFailover = noFailover
	s.respond(request, answerRejected, func(b []byte, number uint64) []byte {
		return rpc.AppendRejected(b, number, report)
	})
}

// settle marks a request as answered and cancels its upstream call or forwarded run. If the request
// is not running, settle also releases the claim of its key and fails the repeats that wait for its
// result.
func (s *Server) settle(request *requesttable.Request) {
	request.Answered = true
	s.cancelCall(request)
	s.cancelForward(request)
	if !request.Running { // there will be no result for the waiting repeats
		s.releaseClaim(request)
		for _, id := range s.results.Finish(request.ID, resultcache.Outcome{}) {
			s.answerShared(s.requests.Get(id), nil, admission.Failed, 0)
		}
	}
	s.removeIfDone(request)
}

// cancelByClient ends a request that its client cancelled, or whose client is gone, and reports that
// to the controller.
func (s *Server) cancelByClient(request *requesttable.Request) {
	if request.Answered {
		return
	}
	s.statistics.clientGone++
	s.queueEvent(admission.Event{Kind: admission.ClientGone, RequestID: request.ID})
	s.settle(request)
}

// finishRun reports the outcome and duration of a run to the waiting repeats, the fleet and the
// controller.
func (s *Server) finishRun(request *requesttable.Request, outcome admission.Outcome, body []byte, seconds float64) {
	succeeded := outcome == admission.Finished
	waiting := s.results.Finish(request.ID, resultcache.Outcome{
		Ran:        outcome != admission.NeverStarted,
		Success:    succeeded,
		Result:     body,
		FreshUntil: s.now() + s.resultLifetime(request.Class),
	})
	for _, id := range waiting {
		s.answerShared(s.requests.Get(id), body, outcome, seconds)
	}
	s.completeClaim(request, succeeded, body)
	s.reportRunEnded(request, outcome, seconds)
}

// reportRunEnded reports the end of a run to the controller.
func (s *Server) reportRunEnded(request *requesttable.Request, outcome admission.Outcome, seconds float64) {
	request.Running = false
	if outcome == admission.NeverStarted {
		s.forgetStart(request)
	}
	s.queueEvent(admission.Event{
		Kind:      admission.RunEnded,
		RequestID: request.ID,
		Outcome:   outcome,
		Duration:  seconds,
	})
	s.removeIfDone(request)
}
