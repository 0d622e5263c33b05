package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
)

// blockLoop makes the loop wait until the returned function is called.
func (f *fixture) blockLoop() (release func()) {
	blocked, released := make(chan struct{}), make(chan struct{})
	_ = f.server.loop.execute(func() {
		close(blocked)
		<-released
	})
	<-blocked
	return func() { close(released) }
}

// Guards against requests that are started although their client closed its connection before, with much
// of its input still unread. The places of their runs must come back.
func TestClientGone_UnreadRequestsAreNotStarted(t *testing.T) {
	const requests = 100
	f := startServer(t, nil)
	client := f.dialClient()
	release := f.blockLoop()
	var frames strings.Builder
	for i := range requests {
		frames.WriteString(requestFrame(byte(i%maxRequestsPerConn+1), fmt.Sprint("a", i), strings.Repeat("b", 2000)))
	}
	client.send("%s", frames.String())
	_ = client.Close()
	release()
	waitUntil(f, 0, clientCount)
	waitUntil(f, 0, func(s *Server) int { return s.requests.Len() })

	other := f.dialClient()
	places := f.server.startup.Settings.Cores // start at once, whatever the controller has learned
	for i := range places {
		other.send("%s", requestFrame(byte(i+1), fmt.Sprint("b", i), "x"))
		f.executor.expectCommand("begin", fmt.Sprint("b", i)) // no begin of another request is before it
	}
}

// The same where a run is to start after its client has closed, and before the close was read.
func TestClientGone_SeenAtStart(t *testing.T) {
	s := newServerWithMemory(64 << 20)
	_, socket, peer := addClientWithPeer(t, s)
	socket.bytes = requestFrame(1, "a1", "x")
	s.OnTraffic(socket)
	_ = unix.Shutdown(peer, unix.SHUT_RDWR)
	request := s.requests.Get("a1")
	s.startRunIfAwaited(request)
	last := s.decisions.pending[len(s.decisions.pending)-1]
	neverStarted := last.Kind == admission.RunEnded && last.Outcome == admission.NeverStarted
	if request.Running || s.requests.Len() != 0 || !neverStarted {
		t.Errorf("running %t, %d requests, last event %+v; want false, 0, a run that never started",
			request.Running, s.requests.Len(), last)
	}
}

// The same where the link to the executor is down as the request is to start: the start was never sent, so
// it must not be sent once the link is up.
func TestClientGone_UnsentStartIsNotSent(t *testing.T) {
	for _, change := range []func(*config.Startup){nil, requireIdempotencyKeys} {
		f := startServer(t, change)
		client, other := f.dialClient(), f.dialClient()
		_ = f.executor.Close()
		waitUntil(f, false, func(s *Server) bool { return s.executor.up })
		client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
		waitUntil(f, true, func(s *Server) bool {
			request := s.requests.Get("a1")
			return request != nil && request.Running
		})
		_ = client.Close()
		waitUntil(f, 1, clientCount)
		f.executor = f.acceptResumedLink()
		waitUntil(f, 0, func(s *Server) int { return s.requests.Len() })
		other.send("%s", requestFrame(1, "b1", "x", withKey("k")))
		f.executor.expectCommand("begin", "b1")
	}
}

// Requests with one key and different bodies must be told apart also while their arrivals are held back,
// or one would get the result of the other. Their answers must not be delayed for long.
func TestHeldArrivals_ConflictingBodyInvalid(t *testing.T) {
	f := startServer(t, requireIdempotencyKeys)
	client := f.dialClient()
	release := f.blockLoop()
	frames := requestFrame(1, "a1", "x", withKey("k")) + requestFrame(2, "a2", "forged", withKey("k"))
	for i := byte(3); len(frames) < 2*readBufferBytes; i++ {
		frames += requestFrame(i, fmt.Sprint("a", i), strings.Repeat("b", 2000), withKey(fmt.Sprint("k", i)))
	}
	client.send("%s", frames)
	release()
	f.executor.expectCommand("begin", "a1")
	f.executor.expectCommand("begin", "a3")
	client.expect(answerPrefix(2) + invalidPayload)
	if held := query(f, func(s *Server) int { return len(s.clients.heldArrivals) }); held != 0 {
		t.Errorf("arrivals of %d connections held back after the first started, want 0", held)
	}
}

// runAtMostOnce makes the requests of the only class run at most once, without keys.
func runAtMostOnce(s *config.Startup) { s.Settings.Classes[0].Idempotency = admission.AtMostOnce }

// Guards against a request that runs twice when its message comes again after its client has left and its
// run has ended.
func TestStarted_SameIDIsNotRunAgain(t *testing.T) {
	for _, change := range []func(*config.Startup){runAtMostOnce, requireIdempotencyKeys} {
		f := startServer(t, change)
		client, other := f.dialClient(), f.dialClient()
		client.send("%s", requestFrame(1, "a1", "x", withKey("k")))
		f.executor.expectCommand("begin", "a1")
		_ = client.Close()
		waitUntil(f, 1, clientCount)
		other.send("%s", requestFrame(1, "a1", "x", withKey("l"))) // while it runs
		other.expect(answerPrefix(1) + invalidPayload)
		f.executor.sendCompletion(1, "a1", "done", "r")
		waitUntil(f, 0, func(s *Server) int { return s.requests.Len() })
		other.send("%s", requestFrame(2, "a1", "x", withKey("l"))) // after its run
		other.expect(answerPrefix(2) + invalidPayload)
		other.send("%s", requestFrame(3, "b1", "x", withKey("m")))
		f.executor.expectCommand("begin", "b1") // no begin of a1 is before it
	}
}

// A request that is known not to have run may come again, and so may a read; a repeat by its key gets the
// result.
func TestStarted_OthersMayComeAgain(t *testing.T) {
	f := startServer(t, runAtMostOnce)
	client := f.dialClient()
	for number := byte(1); number <= 2; number++ {
		client.send("%s", requestFrame(number, "a1", "x"))
		f.executor.expectCommand("begin", "a1")
		f.executor.sendCompletion(int(number), "a1", "stale", "")
		client.expect(answerPrefix(number) + failedPayload)
	}
	reads := startServer(t, nil)
	reader := reads.dialClient()
	for number := byte(1); number <= 2; number++ {
		reader.send("%s", requestFrame(number, "a1", "x"))
		reads.executor.expectCommand("begin", "a1")
		reads.executor.sendCompletion(int(number), "a1", "done", "r")
		reader.expect(answerPrefix(number) + resultPrefix + "\x01r\x80")
	}
	keyed := startServer(t, requireIdempotencyKeys)
	writer := keyed.dialClient()
	writer.send("%s", requestFrame(1, "a1", "x", withKey("k")))
	keyed.executor.expectCommand("begin", "a1")
	keyed.executor.sendCompletion(1, "a1", "done", "r")
	writer.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	writer.send("%s", requestFrame(2, "a1", "x", withKey("k")))
	writer.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
}

// If there is no room for the ID of one more started request, the request must be rejected: its message
// could come again and run twice.
func TestStarted_NoRoomRejects(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { runAtMostOnce(s); s.MemoryBytes = 64 << 10 })
	client := f.dialClient()
	const room = 64
	for i := range byte(room) {
		client.send("%s", requestFrame(i+1, fmt.Sprint("a", i), "x"))
		f.executor.expectCommand("begin", fmt.Sprint("a", i))
		f.executor.sendCompletion(int(i)+1, fmt.Sprint("a", i), "done", "r")
		client.expect(answerPrefix(i+1) + resultPrefix + "\x01r\x80")
	}
	client.send("%s", requestFrame(room+1, "b", "x"))
	client.expect(answerPrefix(room+1) + rejectedPayload)
	f.onLoop(func(s *Server) {
		s.clock.anchor = s.clock.anchor.Add(-(startedIDLifetimeSeconds + 1) * time.Second)
		s.sweep()
	})
	client.send("%s", requestFrame(room+2, "c", "x", withArrival(query(f, (*Server).now))))
	f.executor.expectCommand("begin", "c")
}
