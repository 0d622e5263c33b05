package server

import (
	"strings"
	"testing"

	"swiftcourse/internal/config"
)

// A repeat must not run, whether it arrives while the original runs or after its answer.
func TestDuplicate_NeverRuns(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	other.send("%s", requestFrame(1, "a2", "x", withKey("k"))) // while the original runs
	f.onLoop(func(s *Server) {})
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	other.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	other.send("%s", requestFrame(2, "a3", "x", withKey("k"))) // after the answer to the original
	other.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	other.send("%s", requestFrame(3, "a4", "x", withKey("other"))) // the next command must be its start
	f.executor.expectCommand("begin", "a4")
}

func TestDuplicate_OfFailedRunFails(t *testing.T) {
	for _, outcome := range []string{"crashed", "aborted"} {
		t.Run(outcome, func(t *testing.T) {
			f := startServer(t, requireIdempotencyKeys)
			client := f.dialClient()
			client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
			f.executor.expectCommand("begin", "a1")
			f.executor.sendCompletion(1, "a1", outcome, "")
			client.expect(answerPrefix(1) + failedPayload)
			client.send("%s%s", requestFrame(2, "a2", "x", withKey("k")), requestFrame(3, "a3", "x", withKey("other")))
			client.expect(answerPrefix(2) + failedPayload) // a rejection would tell the client that it never ran
			f.executor.expectCommand("begin", "a3")
		})
	}
}

func TestDuplicate_RunsIfOriginalNeverRan(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "stale", "") // the executor did not start the run
	client.expect(answerPrefix(1))
	client.send("%s", requestFrame(2, "a2", "x", withKey("k")))
	f.executor.expectCommand("begin", "a2")
}

// Two attempts of one request that are read in the same turn, before the controller has received
// either, must run once.
func TestDuplicate_InSameTurnRunsOnce(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client := f.dialClient()
	client.send("%s%s%s", requestFrame(1, "a1", "x", withKey("k")), requestFrame(2, "a2", "x", withKey("k")),
		requestFrame(3, "a3", "x", withKey("other")))
	f.executor.expectCommand("begin", "a1")
	f.executor.expectCommand("begin", "a3")
	f.executor.sendCompletion(1, "a1", "done", "r")
	got := client.expect(answerPrefix(1)+resultPrefix+"\x01r\x80") + client.expect(resultPrefix+"\x01r\x80")
	if !strings.Contains(got, answerPrefix(2)) {
		t.Errorf("got %q, want an answer to message 2 too", got)
	}
}

// If the answer is lost with its connection, a repeat on another connection must get it.
func TestDuplicate_AfterUndeliveredAnswer(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	_ = client.Close()
	f.executor.sendCompletion(1, "a1", "done", "r") // before or after the server sees the close
	other.send("%s", requestFrame(1, "a2", "x", withKey("k")))
	other.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

// Whether a repeat is within the deduplication window depends on when it arrived, not on when it is
// read. A request that arrived after the window is a new one.
func TestDuplicate_AroundEndOfWindow(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	var windowEnd float64
	f.onLoop(func(s *Server) {
		windowEnd = s.now() + 20
		s.clock.anchor = s.clock.anchor.Add(-25e9) // as if the server had read nothing for 25 s
		s.sweep()
	})
	client.send("%s", requestFrame(2, "a2", "x", withKey("k"), withArrival(windowEnd-0.5), withTimeout(50)))
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	client.send("%s", requestFrame(3, "a3", "x", withKey("k"), withArrival(windowEnd+0.5), withTimeout(50)))
	f.executor.expectCommand("begin", "a3")
}

// A request with the key of another request but a different body must be answered as invalid, both
// while the other request runs and afterwards. It must not learn the result, nor end the other
// request.
func TestDuplicate_ConflictingBodyInvalid(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	f.executor.expectCommand("begin", "a1")
	other.send("%s", requestFrame(1, "b1", "forged", withKey("k")))
	other.expect(answerPrefix(1) + "\x92\xa7Invalid\x80\xc0")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	other.send("%s", requestFrame(2, "b2", "forged", withKey("k")))
	other.expect(answerPrefix(2) + "\x92\xa7Invalid\x80\xc0")
	client.send("%s", requestFrame(2, "a2", "x", withKey("k"))) // the repeat with the same body gets the result
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
}

func TestResultCache_RepeatsShareResult(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.Settings.ResultCacheTTL, s.Settings.Memory.KeyEntryMemory = 60, 1 })
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withSubject("k")))
	f.executor.expectCommand("begin", "a1")
	client.send("%s", requestFrame(2, "a2", "x", withSubject("k"))) // waits for the result of the first
	client.send("%s", requestFrame(3, "a3", "x", withSubject("other")))
	f.executor.expectCommand("begin", "a3")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(resultPrefix + "\x01r\x80")
	client.expect(resultPrefix + "\x01r\x80")
	client.send("%s", requestFrame(4, "a4", "x", withSubject("k"))) // answered from the cache
	client.expect(answerPrefix(4) + resultPrefix + "\x01r\x80")
}
