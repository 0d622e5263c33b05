package serve

import (
	"testing"

	"swiftcourse/choice"
	"swiftcourse/internal/life"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/wire/processor"
)

func TestBrokenProcessorLink(t *testing.T) {
	w, b := running(t, nil)
	b.send("%s", frame(2, "a2", "x"))
	w.processor.wants("begin", "a2")
	w.processor.ask(1, "a1", "c")
	below := accept(t, w.catalogues)
	below.expect("\r\nc\r\n") // so notice 1 was read
	w.processor.Close()
	below.send("a1 DATA 1\r\nd\r\n") // while the link is down
	p := accept(t, w.processors)
	if hello := p.command(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatal(hello)
	}
	b.send("%s\x94\x00\x04\xa6isWell\x91\x80", frame(3, "a3", "x"))
	b.expect(answerTo(4)) // so the task was read too, but no command goes out yet
	p.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	p.ask(1, "a1", "again")          // read before
	p.complete(2, "a2", "done", "r") // missed
	if m := p.command(true); m["msg"] != "usage" {
		t.Fatalf("%v before the fence", m)
	}
	if m := p.wants("answer", "a1"); m["blob"] != "ZA==" {
		t.Fatal(m)
	}
	p.wants("begin", "a3")
	b.expect(answerTo(2) + finished + "\x01r\x80")
	p.complete(3, "a1", "done", "s")
	b.expect(answerTo(1) + finished + "\x01s\x80")
}

func TestABeginThatMayBeLostIsSentAgain(t *testing.T) {
	w, b := running(t, nil)
	w.processor.Close() // before anything shows that the command was read
	p := accept(t, w.processors)
	p.command(false)
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.command(true)
	p.wants("begin", "a1")
	p.send(`{"msg":"reject","how":"begin","call":"a1"}` + "\n") // it never ran, so the module gives it up
	b.expect(answerTo(1) + "\x92\xa6Failed")
}

// Whether a begin that has no proof was read nobody can tell, and where running twice is ruled out it is not sent again.
func TestABeginThatMayBeLostIsNotSentAgainWhereItMayRunOnce(t *testing.T) {
	for _, effect := range []choice.Idempotency{choice.AtMostOnce, choice.Deduplicated} {
		w := build(t, func(s *life.Startup) {
			s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = effect, 20
		})
		b := w.balancer()
		b.send("%s%s", frame(1, "a1", "x", wait(2), key("k")), frame(2, "a2", "x", key("l")))
		w.processor.wants("begin", "a1")
		w.processor.wants("begin", "a2")
		w.processor.Close()
		p := accept(t, w.processors)
		p.command(false)
		p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
		p.command(true)
		p.complete(1, "a2", "done", "r") // it ran all the same
		b.expect(answerTo(2) + finished + "\x01r\x80")
		b.send("%s", frame(3, "a3", "x", key("m")))
		p.wants("begin", "a3") // and none before it
		b.expect(answerTo(1) + failed)
	}
}

// The other end of the processor's link is gone without a word: nothing comes, and nothing breaks.
func TestASilentProcessorLinkIsReplaced(t *testing.T) {
	w, b := running(t, nil)
	becomes(w, true, func(s *Server) bool { // a question is open, which nobody answers here
		s.processor.askGauges()
		return s.processor.asked > 0
	})
	w.onLoop(func(s *Server) {
		s.processor.asked -= silentFor
		s.processor.askGauges()
	})
	p := accept(t, w.processors)
	if hello := p.command(false); hello["msg"] != "hello" {
		t.Fatal(hello)
	}
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.command(true)
	p.wants("begin", "a1")
	p.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
}

func TestAgeAndWaitAreThoseOfTheBatch(t *testing.T) {
	s := New(&life.Startup{}, nil)
	now := s.now()
	s.tasks.Add(&memory.Request{ID: "a", ArrivedAt: now - 2, Timeout: 5})
	s.tasks.Add(&memory.Request{ID: "b", ArrivedAt: now + 1}) // by a clock ahead of ours; its wait is not told
	for id, want := range map[string]choice.Request{"a": {Age: 2, RemainingBudget: 3}, "b": {}} {
		e := choice.Event{Kind: choice.Arrived, RequestID: id}
		if s.freshen(&e, now); e.Request != want {
			t.Errorf("%s: %+v", id, e.Request)
		}
	}
}

func TestAnOldReadingOfTheGaugesIsNone(t *testing.T) {
	s := New(&life.Startup{Gauges: []string{"runnable"}}, nil)
	s.processor.measured(&processor.Notice{Gauges: []float64{3}})
	for after, want := range map[float64]float64{0.01: 3, 2: -1} {
		e := choice.Event{Kind: choice.TimerFired}
		if s.freshen(&e, s.gaugesAt+after); e.Gauges.Runnable != want {
			t.Errorf("after %g s: %+v", after, e.Gauges)
		}
	}
}
