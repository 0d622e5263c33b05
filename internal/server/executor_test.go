package server

import (
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
)

func TestExecutorLink_Resumes(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	client.send("%s", requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCall(1, "a1", "c")
	below := acceptConn(t, f.upstreamListener)
	below.expect("\r\nc\r\n") // so notice 1 was read
	_ = f.executor.Close()
	below.send("a1 DATA 1\r\nd\r\n") // while the link is down
	executor := acceptConn(t, f.executorListener)
	if hello := executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatal(hello)
	}
	client.send("%s%s", requestFrame(3, "a3", "x"), healthCheck(4))
	client.expect(answerPrefix(4)) // so the request was read too, but no command goes out yet
	executor.sendUp("seasoned", 3600000)
	executor.sendCall(1, "a1", "again")           // read before
	executor.sendCompletion(2, "a2", "done", "r") // missed
	if command := executor.readCommand(true); command["msg"] != "usage" {
		t.Fatalf("%v before the reply that ends the missed notices", command)
	}
	if command := executor.expectCommand("answer", "a1"); command["blob"] != "ZA==" {
		t.Fatal(command)
	}
	executor.expectCommand("begin", "a3")
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	executor.sendCompletion(3, "a1", "done", "s")
	client.expect(answerPrefix(1) + resultPrefix + "\x01s\x80")
}

func TestExecutorLink_ResendsStart(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	_ = f.executor.Close() // before anything shows that the command was read
	executor := acceptConn(t, f.executorListener)
	executor.readCommand(false)
	executor.sendUp("seasoned", 1)
	executor.readCommand(true)
	executor.expectCommand("begin", "a1")
	executor.send(`{"msg":"reject","how":"begin","call":"a1"}` + "\n") // it never ran, so the controller gives it up
	client.expect(answerPrefix(1) + failedPayload)
}

// Whether a begin that has no proof was read nobody can tell, and where running twice is ruled out
// it is not sent again.
func TestExecutorLink_DoesNotResendNonIdempotentStart(t *testing.T) {
	for _, effect := range []admission.Idempotency{admission.AtMostOnce, admission.Deduplicated} {
		f := startServer(t, func(s *config.Startup) {
			s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = effect, 20
		})
		client := f.dialClient()
		client.send("%s%s", requestFrame(1, "a1", "x", withTimeout(2), withKey("k")),
			requestFrame(2, "a2", "x", withKey("l")))
		f.executor.expectCommand("begin", "a1")
		f.executor.expectCommand("begin", "a2")
		_ = f.executor.Close()
		executor := acceptConn(t, f.executorListener)
		executor.readCommand(false)
		executor.sendUp("seasoned", 1)
		executor.readCommand(true)
		executor.sendCompletion(1, "a2", "done", "r") // it ran all the same
		client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
		client.send("%s", requestFrame(3, "a3", "x", withKey("m")))
		executor.expectCommand("begin", "a3") // and none before it
		client.expect(answerPrefix(1) + failedPayload)
	}
}

// The other end of the executor's link is gone without a word: nothing comes, and nothing breaks.
func TestExecutorLink_SilentLinkReplaced(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	waitUntil(f, true, func(s *Server) bool { // a question is open, which nobody answers here
		s.executor.requestGauges()
		return s.executor.unansweredSince > 0
	})
	f.onLoop(func(s *Server) {
		s.executor.unansweredSince -= silenceTimeout
		s.executor.requestGauges()
	})
	executor := acceptConn(t, f.executorListener)
	if hello := executor.readCommand(false); hello["msg"] != "hello" {
		t.Fatal(hello)
	}
	executor.sendUp("seasoned", 1)
	executor.readCommand(true)
	executor.expectCommand("begin", "a1")
	executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}
