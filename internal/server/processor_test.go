package server

import (
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/processor"
)

func TestBrokenProcessorLink(t *testing.T) {
	w, b := startRunningRequest(t, nil)
	b.send("%s", requestFrame(2, "a2", "x"))
	w.executor.expectCommand("begin", "a2")
	w.executor.sendCall(1, "a1", "c")
	below := acceptConn(t, w.upstreamListener)
	below.expect("\r\nc\r\n") // so notice 1 was read
	w.executor.Close()
	below.send("a1 DATA 1\r\nd\r\n") // while the link is down
	p := acceptConn(t, w.executorListener)
	if hello := p.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatal(hello)
	}
	b.send("%s\x94\x00\x04\xa6isWell\x91\x80", requestFrame(3, "a3", "x"))
	b.expect(answerPrefix(4)) // so the task was read too, but no command goes out yet
	p.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	p.sendCall(1, "a1", "again")           // read before
	p.sendCompletion(2, "a2", "done", "r") // missed
	if m := p.readCommand(true); m["msg"] != "usage" {
		t.Fatalf("%v before the fence", m)
	}
	if m := p.expectCommand("answer", "a1"); m["blob"] != "ZA==" {
		t.Fatal(m)
	}
	p.expectCommand("begin", "a3")
	b.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	p.sendCompletion(3, "a1", "done", "s")
	b.expect(answerPrefix(1) + resultPrefix + "\x01s\x80")
}

func TestABeginThatMayBeLostIsSentAgain(t *testing.T) {
	w, b := startRunningRequest(t, nil)
	w.executor.Close() // before anything shows that the command was read
	p := acceptConn(t, w.executorListener)
	p.readCommand(false)
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.readCommand(true)
	p.expectCommand("begin", "a1")
	p.send(`{"msg":"reject","how":"begin","call":"a1"}` + "\n") // it never ran, so the module gives it up
	b.expect(answerPrefix(1) + "\x92\xa6Failed")
}

// Whether a begin that has no proof was read nobody can tell, and where running twice is ruled out it is not sent again.
func TestABeginThatMayBeLostIsNotSentAgainWhereItMayRunOnce(t *testing.T) {
	for _, effect := range []admission.Idempotency{admission.AtMostOnce, admission.Deduplicated} {
		w := startServer(t, func(s *config.Startup) {
			s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = effect, 20
		})
		b := w.dialClient()
		b.send("%s%s", requestFrame(1, "a1", "x", withTimeout(2), withKey("k")), requestFrame(2, "a2", "x", withKey("l")))
		w.executor.expectCommand("begin", "a1")
		w.executor.expectCommand("begin", "a2")
		w.executor.Close()
		p := acceptConn(t, w.executorListener)
		p.readCommand(false)
		p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
		p.readCommand(true)
		p.sendCompletion(1, "a2", "done", "r") // it ran all the same
		b.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
		b.send("%s", requestFrame(3, "a3", "x", withKey("m")))
		p.expectCommand("begin", "a3") // and none before it
		b.expect(answerPrefix(1) + failedPayload)
	}
}

// The other end of the processor's link is gone without a word: nothing comes, and nothing breaks.
func TestASilentProcessorLinkIsReplaced(t *testing.T) {
	w, b := startRunningRequest(t, nil)
	waitUntil(w, true, func(s *Server) bool { // a question is open, which nobody answers here
		s.executor.askGauges()
		return s.executor.unansweredSince > 0
	})
	w.onLoop(func(s *Server) {
		s.executor.unansweredSince -= silenceTimeout
		s.executor.askGauges()
	})
	p := acceptConn(t, w.executorListener)
	if hello := p.readCommand(false); hello["msg"] != "hello" {
		t.Fatal(hello)
	}
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.readCommand(true)
	p.expectCommand("begin", "a1")
	p.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestAgeAndWaitAreThoseOfTheBatch(t *testing.T) {
	s := New(&config.Startup{}, nil)
	now := s.now()
	s.requests.Add(&requesttable.Request{ID: "a", ArrivedAt: now - 2, Timeout: 5})
	s.requests.Add(&requesttable.Request{ID: "b", ArrivedAt: now + 1}) // by a clock ahead of ours; its wait is not told
	for id, want := range map[string]admission.Request{"a": {Age: 2, RemainingBudget: 3}, "b": {}} {
		e := admission.Event{Kind: admission.Arrived, RequestID: id}
		if s.refreshEvent(&e, now); e.Request != want {
			t.Errorf("%s: %+v", id, e.Request)
		}
	}
}

func TestAnOldReadingOfTheGaugesIsNone(t *testing.T) {
	s := New(&config.Startup{Gauges: []string{"runnable"}}, nil)
	s.executor.handleGauges(&processor.Notice{Gauges: []float64{3}})
	for after, want := range map[float64]float64{0.01: 3, 2: -1} {
		e := admission.Event{Kind: admission.TimerFired}
		if s.refreshEvent(&e, s.gaugesAt+after); e.Gauges.Runnable != want {
			t.Errorf("after %g s: %+v", after, e.Gauges)
		}
	}
}
