package server

import (
	"fmt"
	"strings"
	"testing"

	"swiftcourse/internal/config"
	"swiftcourse/internal/wire/rpc"
)

func TestRequest_WithoutIdempotencyKeyInvalid(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client := f.dialClient()
	client.send("%s%s", requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x", withKey(strings.Repeat("k", 300))))
	client.expect(answerPrefix(1) + invalidPayload)
	client.expect(answerPrefix(2) + invalidPayload)
	client.send("%s", requestFrame(3, "a3", "x", withKey("k")))
	f.executor.expectCommand("begin", "a3")
}

func TestRequest_TooManyOpenOnConnection(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	for i := range byte(maxRequestsPerConn + 1) {
		client.send("%s", requestFrame(i+1, fmt.Sprintf("a%d", i), "x"))
	}
	client.expect(answerPrefix(maxRequestsPerConn+1) + invalidPayload)
}

func TestRequest_WithUpstreamCallAndHealthCheck(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	client.send("%s%s", requestFrame(1, "a1", "the body"), healthCheck(2))
	client.expect(answerPrefix(2) + healthyPayload + "\x80")
	command := f.executor.expectCommand("begin", "a1")
	if command["blob"] != "dGhlIGJvZHk=" || command["service"] != "quote" {
		t.Fatalf("command %v, want blob dGhlIGJvZHk= and service quote", command)
	}
	f.executor.sendCall(1, "a1", "a\r\ncall")
	upstreamPeer := acceptConn(t, f.upstreamListener)
	if got := upstreamPeer.expect(" 7\r\na\r\ncall\r\n"); !strings.HasPrefix(got, "FETCH a1 ") {
		t.Fatalf("upstream got %q, want FETCH a1", got)
	}
	upstreamPeer.send("zz DATA 3\r\nold\r\na1 DATA 5\r\nreply\r\n") // the first reply is for an unknown call
	if command := f.executor.expectCommand("answer", "a1"); command["blob"] != "cmVwbHk=" {
		t.Fatalf("command %v, want blob cmVwbHk=", command)
	}
	f.executor.sendCompletion(2, "a1", "done", "result")
	client.expect(answerPrefix(1) + resultPrefix + "\x06result\x80")
}

func TestRequest_FailsAtTimeoutWithSingleAnswer(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withTimeout(0.3)))
	f.executor.expectCommand("begin", "a1")
	client.expect(answerPrefix(1) + "\x92\xa6Failed\x80\xc0")
	f.executor.sendCompletion(1, "a1", "done", "late")
	client.send("%s", requestFrame(2, "a2", "x", withTimeout(0)))
	if got := client.expect("Busy"); strings.Contains(got, "late") || !strings.HasPrefix(got, answerPrefix(2)) {
		t.Errorf("got %q, want only a rejection of message 2", got)
	}
}

// Without deadline propagation, the timeout of the class must apply to requests without a timeout.
// With deadline propagation, such requests must be answered as invalid.
func TestRequest_WithoutTimeout(t *testing.T) {
	withoutTimeout := func(message *rpc.Message) { message.NoTimeout = true }
	f := startServer(t, func(s *config.Startup) {
		s.Settings.DeadlinePropagation = false
		s.Settings.Classes[0].Timeout = 0.4
	})
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withoutTimeout))
	f.executor.expectCommand("begin", "a1")
	client.expect(answerPrefix(1) + failedPayload)
	propagating := startServer(t, nil).dialClient()
	propagating.send("%s", requestFrame(1, "a1", "x", withoutTimeout))
	propagating.expect(answerPrefix(1) + invalidPayload)
}
