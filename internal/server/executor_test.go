package server

import (
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
)

func TestExecutorLink_ResumesAfterBreak(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	client.send("%s", requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCall(1, "a1", "c")
	upstreamPeer := acceptConn(t, f.upstreamListener)
	upstreamPeer.expect("\r\nc\r\n") // shows that notice 1 was read
	_ = f.executor.Close()
	upstreamPeer.send("a1 DATA 1\r\nd\r\n") // while the link is down
	executor := acceptConn(t, f.executorListener)
	if hello := executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatalf("first message %v, want hello with serial 1", hello)
	}
	client.send("%s%s", requestFrame(3, "a3", "x"), healthCheck(4))
	client.expect(answerPrefix(4)) // shows that the request was read; no command is sent yet
	executor.sendFirstMessage("seasoned", 3600000)
	executor.sendCall(1, "a1", "again")           // a notice that was already read
	executor.sendCompletion(2, "a2", "done", "r") // a missed notice
	if command := executor.readCommand(true); command["msg"] != "usage" {
		t.Fatalf("command %v before the reply that follows the missed notices, want usage", command)
	}
	if command := executor.expectCommand("answer", "a1"); command["blob"] != "ZA==" {
		t.Fatalf("command %v, want blob ZA==", command)
	}
	executor.expectCommand("begin", "a3")
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	executor.sendCompletion(3, "a1", "done", "s")
	client.expect(answerPrefix(1) + resultPrefix + "\x01s\x80")
}

func TestExecutorLink_ResendsStart(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	_ = f.executor.Close() // before the command is acknowledged
	executor := f.acceptResumedLink()
	executor.expectCommand("begin", "a1")
	executor.send(`{"msg":"reject","how":"begin","call":"a1"}` + "\n") // it never ran, so the controller ends it
	client.expect(answerPrefix(1) + failedPayload)
}

// Guards against a run that is given the reply to an earlier call: after a break the executor may
// already have the reply, and the run may ask for its next call before the reply arrives again.
func TestExecutorLink_DoesNotResendReply(t *testing.T) {
	for _, degradedValue := range []float64{0, 0.3} {
		f, client := startRunningRequest(t, func(s *config.Startup) {
			s.Settings.Classes[0].DegradedValueFraction = degradedValue
		})
		f.executor.sendCall(1, "a1", "c")
		f.replyToCall("c", "d")
		f.executor.expectCommand("answer", "a1")
		_ = f.executor.Close() // after it received the reply, and before it acknowledged it
		executor := f.acceptResumedLink()
		executor.sendCall(2, "a1", "e") // behind the last missed notice, where the run has gone on
		if degradedValue > 0 {          // without the call of notice 1, if the run still waits for it
			if command := executor.expectCommand("without", "a1"); command["serial"] != 1.0 {
				t.Fatalf("command %v, want serial 1", command)
			}
		}
		f.replyToCall("e", "f")
		if command := executor.expectCommand("answer", "a1"); command["blob"] != "Zg==" {
			t.Fatalf("command %v, want the reply to the second call, blob Zg==", command)
		}
		executor.sendCompletion(3, "a1", "done", "r")
		client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	}
}

// Guards against a reply that is lost for good: one that came while the link was down was never
// sent, so the run still waits for it after any number of breaks.
func TestExecutorLink_SendsReplyThatNoLinkCarried(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	upstreamPeer := acceptConn(t, f.upstreamListener)
	upstreamPeer.expect("\r\nc\r\n")
	_ = f.executor.Close()
	waitUntil(f, false, func(s *Server) bool { return s.executor.up })
	upstreamPeer.send("a1 DATA 1\r\nd\r\n")
	waitUntil(f, 0, func(s *Server) int { return len(s.upstream.calls) })
	executor := acceptConn(t, f.executorListener)
	executor.readCommand(false)
	_ = executor.Close() // before the server may send commands
	executor = f.acceptResumedLink()
	if command := executor.expectCommand("answer", "a1"); command["blob"] != "ZA==" {
		t.Fatalf("command %v, want blob ZA==", command)
	}
	executor.sendCompletion(2, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

// If a link breaks before the start of a run was acknowledged, the server can't know whether the
// executor received it. In classes whose requests must not run twice, it must not send it again.
func TestExecutorLink_DoesNotResendNonIdempotentStart(t *testing.T) {
	for _, idempotency := range []admission.Idempotency{admission.AtMostOnce, admission.Deduplicated} {
		f := startServer(t, func(s *config.Startup) {
			s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = idempotency, 20
		})
		client := f.dialClient()
		client.send("%s%s", requestFrame(1, "a1", "x", withTimeout(2), withKey("k")),
			requestFrame(2, "a2", "x", withKey("l")))
		f.executor.expectCommand("begin", "a1")
		f.executor.expectCommand("begin", "a2")
		_ = f.executor.Close()
		executor := f.acceptResumedLink()
		executor.sendCompletion(1, "a2", "done", "r") // the executor had received its start
		client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
		client.send("%s", requestFrame(3, "a3", "x", withKey("m")))
		executor.expectCommand("begin", "a3") // the first command on the new link
		client.expect(answerPrefix(1) + failedPayload)
	}
}

// Guards against requests that wait out their whole deadline: a start that came while the link was down
// was never sent, so the run can't have started, and it is sent on the next link in every class.
func TestExecutorLink_SendsStartThatNoLinkCarried(t *testing.T) {
	for _, idempotency := range []admission.Idempotency{admission.AtMostOnce, admission.Deduplicated} {
		f := startServer(t, func(s *config.Startup) {
			s.Settings.Classes[0].Idempotency, s.Settings.Classes[0].DeduplicationWindow = idempotency, 20
		})
		client := f.dialClient()
		_ = f.executor.Close()
		waitUntil(f, false, func(s *Server) bool { return s.executor.up })
		client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
		waitUntil(f, true, func(s *Server) bool {
			request := s.requests.Get("a1")
			return request != nil && request.Running
		})
		executor := f.acceptResumedLink()
		executor.expectCommand("begin", "a1")
		executor.sendCompletion(1, "a1", "done", "r")
		client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	}
}

// If the executor's machine fails without closing the link, the link stays open but silent, and the
// server must replace it.
func TestExecutorLink_SilentLinkReplaced(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	waitUntil(f, true, func(s *Server) bool { // leaves a gauge request unanswered
		s.executor.requestGauges()
		return s.executor.unansweredSince > 0
	})
	f.onLoop(func(s *Server) {
		s.executor.unansweredSince -= silenceTimeoutSeconds
		s.executor.requestGauges()
	})
	executor := acceptConn(t, f.executorListener)
	if hello := executor.readCommand(false); hello["msg"] != "hello" {
		t.Fatalf("first message %v, want hello", hello)
	}
	executor.sendFirstMessage("seasoned", 1)
	executor.readCommand(true)
	executor.expectCommand("begin", "a1")
	executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}
