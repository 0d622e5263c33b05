package server

import (
	"strings"
	"testing"

	"swiftcourse/internal/config"
)

// A repeat comes at every moment of the first try's life, and no run begins for it.
func TestDuplicate_NeverRuns(t *testing.T) {
	f := startServer(t, deduplicateOnlyClass)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	other.send("%s", requestFrame(1, "a2", "x", withKey("k"))) // while the first runs
	f.onLoop(func(s *Server) {})
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	other.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	other.send("%s", requestFrame(2, "a3", "x", withKey("k"))) // after its answer
	other.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	other.send("%s", requestFrame(3, "a4", "x", withKey("other"))) // none begins in between
	f.executor.expectCommand("begin", "a4")
}

func TestDuplicate_OfFailedRunFails(t *testing.T) {
	for _, how := range []string{"crashed", "aborted"} {
		t.Run(how, func(t *testing.T) {
			f := startServer(t, deduplicateOnlyClass)
			client := f.dialClient()
			client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
			f.executor.expectCommand("begin", "a1")
			f.executor.sendCompletion(1, "a1", how, "")
			client.expect(answerPrefix(1) + failedPayload)
			client.send("%s%s", requestFrame(2, "a2", "x", withKey("k")), requestFrame(3, "a3", "x", withKey("other")))
			client.expect(answerPrefix(2) + failedPayload) // and not rejected, which would say that it never ran
			f.executor.expectCommand("begin", "a3")
		})
	}
}

func TestDuplicate_OfRequestThatNeverRanMayRun(t *testing.T) {
	f := startServer(t, deduplicateOnlyClass)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "stale", "") // nothing was started
	client.expect(answerPrefix(1))
	client.send("%s", requestFrame(2, "a2", "x", withKey("k")))
	f.executor.expectCommand("begin", "a2")
}

// Two tries of one request are read in one turn, before the controller has heard of either.
func TestDuplicate_InSameTurnRunsOnce(t *testing.T) {
	f := startServer(t, deduplicateOnlyClass)
	client := f.dialClient()
	client.send("%s%s%s", requestFrame(1, "a1", "x", withKey("k")), requestFrame(2, "a2", "x", withKey("k")),
		requestFrame(3, "a3", "x", withKey("other")))
	f.executor.expectCommand("begin", "a1")
	f.executor.expectCommand("begin", "a3")
	f.executor.sendCompletion(1, "a1", "done", "r")
	got := client.expect(answerPrefix(1)+resultPrefix+"\x01r\x80") + client.expect(resultPrefix+"\x01r\x80")
	if !strings.Contains(got, answerPrefix(2)) {
		t.Errorf("%q", got)
	}
}

// The answer is lost with the connection; the repeat comes on another.
func TestDuplicate_AfterUndeliveredAnswer(t *testing.T) {
	f := startServer(t, deduplicateOnlyClass)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	_ = client.Close()
	f.executor.sendCompletion(1, "a1", "done", "r") // in either order with the close
	other.send("%s", requestFrame(1, "a2", "x", withKey("k")))
	other.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

// At the window's edge a repeat counts by when it came, however late it is read; after it, it is a
// request of its own.
func TestDuplicate_AtEdgeOfWindow(t *testing.T) {
	f := startServer(t, deduplicateOnlyClass)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	var until float64
	f.onLoop(func(s *Server) {
		until = s.now() + 20
		s.clock.anchor = s.clock.anchor.Add(-25e9) // 25 s pass in which nothing is read
		s.sweep()
	})
	client.send("%s", requestFrame(2, "a2", "x", withKey("k"), withArrival(until-0.5), withTimeout(50)))
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	client.send("%s", requestFrame(3, "a3", "x", withKey("k"), withArrival(until+0.5), withTimeout(50)))
	f.executor.expectCommand("begin", "a3")
}

// Whoever bears another's key with a body of its own is told nothing of that request, at any moment
// of its life, and doesn't end it.
func TestDuplicate_ConflictingBodyRejected(t *testing.T) {
	f := startServer(t, deduplicateOnlyClass)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	other.send("%s", requestFrame(1, "b1", "forged", withKey("k")))
	other.expect(answerPrefix(1) + "\x92\xa7Invalid\x80\xc0")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	other.send("%s", requestFrame(2, "b2", "forged", withKey("k")))
	other.expect(answerPrefix(2) + "\x92\xa7Invalid\x80\xc0")
	client.send("%s", requestFrame(2, "a2", "x", withKey("k"))) // while the true repeat is
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
}

func TestResultCache_RepeatsShareAnAnswer(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.Settings.ResultCacheTTL, s.Settings.Memory.PerKey = 60, 1 })
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withSubject("k")))
	f.executor.expectCommand("begin", "a1")
	client.send("%s", requestFrame(2, "a2", "x", withSubject("k"))) // waits for the first
	client.send("%s", requestFrame(3, "a3", "x", withSubject("other")))
	f.executor.expectCommand("begin", "a3")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(resultPrefix + "\x01r\x80")
	client.expect(resultPrefix + "\x01r\x80")
	client.send("%s", requestFrame(4, "a4", "x", withSubject("k"))) // finds it there
	client.expect(answerPrefix(4) + resultPrefix + "\x01r\x80")
}
