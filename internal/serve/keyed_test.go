package serve

import (
	"context"
	"reflect"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/life"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/wire/rpc"
)

func key(k string) func(*rpc.Message) { return func(m *rpc.Message) { m.Key = k } }

const failed = "\x92\xa6Failed"

// deduplicated makes the only stage one whose tasks bear a key and may run once in a window of 20 s.
func deduplicated(s *life.Startup) {
	s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = choice.Deduplicated, 20
}

// onLoop has the server's loop do something, and waits until it has.
func (w *world) onLoop(do func(s *Server)) {
	done := make(chan struct{})
	_ = w.server.loop.Execute(w.Context(), gnet.RunnableFunc(func(context.Context) error {
		do(w.server)
		close(done)
		return nil
	}))
	<-done
}

// A repeat comes at every moment of the first try's life, and no run begins for it.
func TestARepeatNeverRuns(t *testing.T) {
	w := build(t, deduplicated)
	b, c := w.balancer(), w.balancer()
	b.send("%s", frame(1, "a1", "x", key("k")))
	w.processor.wants("begin", "a1")
	c.send("%s", frame(1, "a2", "x", key("k"))) // while the first runs
	w.onLoop(func(s *Server) {})
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
	c.expect(answerTo(1) + finished + "\x01r\x80")
	c.send("%s", frame(2, "a3", "x", key("k"))) // after its answer
	c.expect(answerTo(2) + finished + "\x01r\x80")
	c.send("%s", frame(3, "a4", "x", key("other"))) // none begins in between
	w.processor.wants("begin", "a4")
}

func TestARepeatOfAFailedRunFails(t *testing.T) {
	for _, how := range []string{"crashed", "aborted"} {
		t.Run(how, func(t *testing.T) {
			w := build(t, deduplicated)
			b := w.balancer()
			b.send("%s", frame(1, "a1", "x", key("k")))
			w.processor.wants("begin", "a1")
			w.processor.complete(1, "a1", how, "")
			b.expect(answerTo(1) + failed)
			b.send("%s%s", frame(2, "a2", "x", key("k")), frame(3, "a3", "x", key("other")))
			b.expect(answerTo(2) + failed) // and not rejected, which would say that it never ran
			w.processor.wants("begin", "a3")
		})
	}
}

func TestARepeatOfWhatNeverRanMayRun(t *testing.T) {
	w := build(t, deduplicated)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x", key("k")))
	w.processor.wants("begin", "a1")
	w.processor.complete(1, "a1", "stale", "") // nothing was started
	b.expect(answerTo(1))
	b.send("%s", frame(2, "a2", "x", key("k")))
	w.processor.wants("begin", "a2")
}

// Two tries of one request are read in one turn, before the module has heard of either.
func TestTwoTriesInOneTurnRunOnce(t *testing.T) {
	w := build(t, deduplicated)
	b := w.balancer()
	b.send("%s%s%s", frame(1, "a1", "x", key("k")), frame(2, "a2", "x", key("k")), frame(3, "a3", "x", key("other")))
	w.processor.wants("begin", "a1")
	w.processor.wants("begin", "a3")
	w.processor.complete(1, "a1", "done", "r")
	got := b.expect(answerTo(1)+finished+"\x01r\x80") + b.expect(finished+"\x01r\x80")
	if !strings.Contains(got, answerTo(2)) {
		t.Errorf("%q", got)
	}
}

// The answer is lost with the connection; the repeat comes on another.
func TestARepeatAfterAnAnswerThatWasNotDelivered(t *testing.T) {
	w := build(t, deduplicated)
	b, c := w.balancer(), w.balancer()
	b.send("%s", frame(1, "a1", "x", key("k")))
	w.processor.wants("begin", "a1")
	b.Close()
	w.processor.complete(1, "a1", "done", "r") // in either order with the close
	c.send("%s", frame(1, "a2", "x", key("k")))
	c.expect(answerTo(1) + finished + "\x01r\x80")
}

// At the window's edge a repeat counts by when it came, however late it is read; after it, it is a request of its own.
func TestTheWindowsEdge(t *testing.T) {
	w := build(t, deduplicated)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x", key("k")))
	w.processor.wants("begin", "a1")
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
	var until float64
	w.onLoop(func(s *Server) {
		until = s.now() + 20
		s.anchor = s.anchor.Add(-25e9) // 25 s pass in which nothing is read
		s.sweep()
	})
	b.send("%s", frame(2, "a2", "x", key("k"), came(until-0.5), wait(50)))
	b.expect(answerTo(2) + finished + "\x01r\x80")
	b.send("%s", frame(3, "a3", "x", key("k"), came(until+0.5), wait(50)))
	w.processor.wants("begin", "a3")
}

// Whoever bears another's key with a body of its own is told nothing of that request, at any moment of its life, and doesn't end it.
func TestAnothersKeyTellsNothing(t *testing.T) {
	w := build(t, deduplicated)
	b, c := w.balancer(), w.balancer()
	b.send("%s", frame(1, "a1", "x", key("k")))
	w.processor.wants("begin", "a1")
	c.send("%s", frame(1, "b1", "forged", key("k")))
	c.expect(answerTo(1) + "\x92\xa7Invalid\x80\xc0")
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
	c.send("%s", frame(2, "b2", "forged", key("k")))
	c.expect(answerTo(2) + "\x92\xa7Invalid\x80\xc0")
	b.send("%s", frame(2, "a2", "x", key("k"))) // while the true repeat is
	b.expect(answerTo(2) + finished + "\x01r\x80")
}

func TestNoKeyNoRun(t *testing.T) {
	w := build(t, deduplicated)
	b := w.balancer()
	b.send("%s%s", frame(1, "a1", "x"), frame(2, "a2", "x", key(strings.Repeat("k", 300))))
	b.expect(answerTo(1) + "\x92\xa7Invalid")
	b.expect(answerTo(2) + "\x92\xa7Invalid")
	b.send("%s", frame(3, "a3", "x", key("k")))
	w.processor.wants("begin", "a3")
}

// A forwarder's worker has to know a repeat too: all that a task came with goes on with it.
func TestAForwarderPassesTheKeyOn(t *testing.T) {
	s := New(&life.Startup{}, nil)
	s.Forward(func(Out) bool { return true }, func(string) {})
	m := rpc.Message{Kind: rpc.Task, Number: 7, ID: "a1", Stage: "quote", Tenant: "acme", Subject: "s", Key: "k", Again: true, Hint: 0.2, Came: 1, Wait: 2,
		NoWait: true, Caller: 3, Memory: 4, Rank: 0.5, Body: []byte("x")}
	s.keepsToForward(&memory.Request{ID: "a1"}, &m)
	got, want := *s.forwarding.told["a1"], m
	want.Number, want.Body = 0, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
