package server

import (
	"context"
	"reflect"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

func withKey(k string) func(*rpc.Message) { return func(m *rpc.Message) { m.Key = k } }

const failedPayload = "\x92\xa6Failed"

// deduplicateOnlyClass makes the only stage one whose tasks bear a key and may run once in a window of 20 s.
func deduplicateOnlyClass(s *config.Startup) {
	s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = admission.Deduplicated, 20
}

// onLoop has the server's loop do something, and waits until it has.
func (w *fixture) onLoop(do func(s *Server)) {
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
	w := startServer(t, deduplicateOnlyClass)
	b, c := w.dialClient(), w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	w.executor.expectCommand("begin", "a1")
	c.send("%s", requestFrame(1, "a2", "x", withKey("k"))) // while the first runs
	w.onLoop(func(s *Server) {})
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	c.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	c.send("%s", requestFrame(2, "a3", "x", withKey("k"))) // after its answer
	c.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	c.send("%s", requestFrame(3, "a4", "x", withKey("other"))) // none begins in between
	w.executor.expectCommand("begin", "a4")
}

func TestARepeatOfAFailedRunFails(t *testing.T) {
	for _, how := range []string{"crashed", "aborted"} {
		t.Run(how, func(t *testing.T) {
			w := startServer(t, deduplicateOnlyClass)
			b := w.dialClient()
			b.send("%s", requestFrame(1, "a1", "x", withKey("k")))
			w.executor.expectCommand("begin", "a1")
			w.executor.sendCompletion(1, "a1", how, "")
			b.expect(answerPrefix(1) + failedPayload)
			b.send("%s%s", requestFrame(2, "a2", "x", withKey("k")), requestFrame(3, "a3", "x", withKey("other")))
			b.expect(answerPrefix(2) + failedPayload) // and not rejected, which would say that it never ran
			w.executor.expectCommand("begin", "a3")
		})
	}
}

func TestARepeatOfWhatNeverRanMayRun(t *testing.T) {
	w := startServer(t, deduplicateOnlyClass)
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	w.executor.expectCommand("begin", "a1")
	w.executor.sendCompletion(1, "a1", "stale", "") // nothing was started
	b.expect(answerPrefix(1))
	b.send("%s", requestFrame(2, "a2", "x", withKey("k")))
	w.executor.expectCommand("begin", "a2")
}

// Two tries of one request are read in one turn, before the module has heard of either.
func TestTwoTriesInOneTurnRunOnce(t *testing.T) {
	w := startServer(t, deduplicateOnlyClass)
	b := w.dialClient()
	b.send("%s%s%s", requestFrame(1, "a1", "x", withKey("k")), requestFrame(2, "a2", "x", withKey("k")), requestFrame(3, "a3", "x", withKey("other")))
	w.executor.expectCommand("begin", "a1")
	w.executor.expectCommand("begin", "a3")
	w.executor.sendCompletion(1, "a1", "done", "r")
	got := b.expect(answerPrefix(1)+resultPrefix+"\x01r\x80") + b.expect(resultPrefix+"\x01r\x80")
	if !strings.Contains(got, answerPrefix(2)) {
		t.Errorf("%q", got)
	}
}

// The answer is lost with the connection; the repeat comes on another.
func TestARepeatAfterAnAnswerThatWasNotDelivered(t *testing.T) {
	w := startServer(t, deduplicateOnlyClass)
	b, c := w.dialClient(), w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	w.executor.expectCommand("begin", "a1")
	b.Close()
	w.executor.sendCompletion(1, "a1", "done", "r") // in either order with the close
	c.send("%s", requestFrame(1, "a2", "x", withKey("k")))
	c.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

// At the window's edge a repeat counts by when it came, however late it is read; after it, it is a request of its own.
func TestTheWindowsEdge(t *testing.T) {
	w := startServer(t, deduplicateOnlyClass)
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	w.executor.expectCommand("begin", "a1")
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	var until float64
	w.onLoop(func(s *Server) {
		until = s.now() + 20
		s.anchor = s.anchor.Add(-25e9) // 25 s pass in which nothing is read
		s.sweep()
	})
	b.send("%s", requestFrame(2, "a2", "x", withKey("k"), withArrival(until-0.5), withTimeout(50)))
	b.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	b.send("%s", requestFrame(3, "a3", "x", withKey("k"), withArrival(until+0.5), withTimeout(50)))
	w.executor.expectCommand("begin", "a3")
}

// Whoever bears another's key with a body of its own is told nothing of that request, at any moment of its life, and doesn't end it.
func TestAnothersKeyTellsNothing(t *testing.T) {
	w := startServer(t, deduplicateOnlyClass)
	b, c := w.dialClient(), w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	w.executor.expectCommand("begin", "a1")
	c.send("%s", requestFrame(1, "b1", "forged", withKey("k")))
	c.expect(answerPrefix(1) + "\x92\xa7Invalid\x80\xc0")
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	c.send("%s", requestFrame(2, "b2", "forged", withKey("k")))
	c.expect(answerPrefix(2) + "\x92\xa7Invalid\x80\xc0")
	b.send("%s", requestFrame(2, "a2", "x", withKey("k"))) // while the true repeat is
	b.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
}

func TestNoKeyNoRun(t *testing.T) {
	w := startServer(t, deduplicateOnlyClass)
	b := w.dialClient()
	b.send("%s%s", requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x", withKey(strings.Repeat("k", 300))))
	b.expect(answerPrefix(1) + "\x92\xa7Invalid")
	b.expect(answerPrefix(2) + "\x92\xa7Invalid")
	b.send("%s", requestFrame(3, "a3", "x", withKey("k")))
	w.executor.expectCommand("begin", "a3")
}

// A forwarder's worker has to know a repeat too: all that a task came with goes on with it.
func TestAForwarderPassesTheKeyOn(t *testing.T) {
	s := New(&config.Startup{}, nil)
	s.EnableForwarding(func(ForwardRequest) bool { return true }, func(string) {})
	m := rpc.Message{Kind: rpc.Task, Number: 7, ID: "a1", Stage: "quote", Tenant: "acme", Subject: "s", Key: "k", Again: true, Hint: 0.2, Came: 1, Wait: 2,
		NoWait: true, Caller: 3, Memory: 4, Rank: 0.5, Body: []byte("x")}
	s.keepForForwarding(&requesttable.Request{ID: "a1"}, &m)
	got, want := *s.forwarding.messages["a1"], m
	want.Number, want.Body = 0, nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
