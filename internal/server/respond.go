package server

import (
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/wire/rpc"
)

// answer is what a request's client is told in the end.
type answer uint8

const (
	answerFinished answer = iota // a result
	answerFailed                 // an error: it ran, or may have
	answerRejected               // it never ran
	answers
)

// String returns the answer's name.
func (a answer) String() string {
	return [...]string{"finished", "failed", "rejected", "unknown"}[min(a, answers)]
}

// respond gives a request its final answer, encoded by put; the first one wins.
func (s *Server) respond(request *memory.Request, kind answer, put func(b []byte, number uint64) []byte) {
	if request.Answered {
		return
	}
	s.countAnswer(request, kind)
	if client := s.clients.conns.Get(request.Connection); client != nil {
		client.removeRequest(request, s.now())
		s.output.scratch = put(s.output.scratch[:0], request.MessageNumber)
		client.writeScratch()
	}
	s.settle(request)
}

// finish answers a request with its result.
func (s *Server) finish(request *memory.Request, result []byte) {
	if client := s.clients.conns.Get(request.Connection); client != nil && !request.Answered {
		s.clients.limiter.Finished(client.slot(), s.now())
	}
	s.respond(request, answerFinished, func(b []byte, number uint64) []byte {
		return rpc.PutResult(b, number, result, s.health.loadReport)
	})
}

// fail answers a request with an error.
func (s *Server) fail(request *memory.Request) {
	s.respond(request, answerFailed, func(b []byte, number uint64) []byte {
		return rpc.PutAbandoned(b, number, s.health.loadReport)
	})
}

// reject answers that a request never ran: when to come back, in seconds, and whether it should not
// be tried elsewhere.
func (s *Server) reject(request *memory.Request, retryAfter float64, last bool) {
	report := s.health.loadReport
	report.Advice = retryAfter
	report.Last = last
	s.respond(request, answerRejected, func(b []byte, number uint64) []byte {
		return rpc.PutRejected(b, number, report)
	})
}

// settle books that a request is owed no answer any more; a call of it is cancelled.
func (s *Server) settle(request *memory.Request) {
	request.Answered = true
	s.cancelCall(request)
	s.cancelForward(request)
	if !request.Running { // dropped without a run: who waits for its answer gets none
		s.releaseClaim(request)
		for _, id := range s.results.Finish(request.ID, false, false, nil, 0) {
			s.answerShared(s.requests.Get(id), nil, admission.Failed, 0)
		}
	}
	s.requests.RemoveIfDone(&s.output.buffers, request)
}

// cancelByClient tells the controller that nobody waits for a request any more.
func (s *Server) cancelByClient(request *memory.Request) {
	if request.Answered {
		return
	}
	s.statistics.clientGone++
	s.queueEvent(admission.Event{Kind: admission.ClientGone, RequestID: request.ID})
	s.settle(request)
}

// finishRun tells all who wait for a run how it ended; it took so many seconds.
func (s *Server) finishRun(request *memory.Request, outcome admission.Outcome, body []byte, took float64) {
	ran := outcome != admission.NeverStarted
	succeeded := outcome == admission.Finished
	expiry := s.now() + s.resultLifetime(request.Class)
	for _, id := range s.results.Finish(request.ID, ran, succeeded, body, expiry) {
		s.answerShared(s.requests.Get(id), body, outcome, took)
	}
	s.completeClaim(request, succeeded, body)
	s.reportRunEnded(request, outcome, took)
}

// reportRunEnded tells the controller that a run is over.
func (s *Server) reportRunEnded(request *memory.Request, outcome admission.Outcome, took float64) {
	request.Running = false
	s.queueEvent(admission.Event{
		Kind:      admission.RunEnded,
		RequestID: request.ID,
		Outcome:   outcome,
		Duration:  took,
	})
	s.requests.RemoveIfDone(&s.output.buffers, request)
}

// setLoadReport sets the free value that goes with every answer.
func (s *Server) setLoadReport(free float64) {
	s.health.loadReport.Free = strconv.FormatFloat(free, 'f', -1, 64)
}
