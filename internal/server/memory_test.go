package server

import (
	"strings"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/wire/rpc"
)

// newServerWithMemory returns a server with a memory limit, whose turns the test runs itself.
func newServerWithMemory(bytes int64) *Server {
	s := New(&config.Startup{
		MaxSockets:  256,
		MemoryBytes: bytes,
		ClassIndex:  map[string]int{"quote": 0},
		ClassNames:  []string{"quote"},
		TenantIndex: map[string]int{"acme": 0},
		Settings:    admission.Settings{IdleTimeout: 30, Classes: []admission.Class{{Timeout: 60}}},
	}, nil)
	s.loop.handle = discardingLoop{}
	s.decisions.controller = admission.New(1, s.startup.Settings)
	return s
}

// Guards against a client that writes slowly and takes the server's time: a message that arrives byte by
// byte must not be parsed anew with each of them.
func TestClientConn_SlowWriterIsNotParsedWithEachByte(t *testing.T) {
	s := newServerWithMemory(64 << 20)
	_, socket, _ := addClientWithPeer(t, s)
	frame := requestFrame(1, "a1", strings.Repeat("b", 2000), withSubject(strings.Repeat("s", 12_000)))
	for n := 1; n <= len(frame); n++ {
		socket.bytes = frame[:n]
		s.OnTraffic(socket)
	}
	if s.requests.Len() != 1 || socket.peeks > 100 {
		t.Errorf("%d requests, input looked at %d times for %d bytes; want 1, at most 100",
			s.requests.Len(), socket.peeks, len(frame))
	}
}

// Guards against clients that stop in the middle of large requests and so use up the server's memory. Those
// that hold little must still be served.
func TestClientMemory_PartialMessagesAreBounded(t *testing.T) {
	s := newServerWithMemory(1 << 20)
	limit := s.clients.memory.Limit()
	const clients = 40
	muted := 0
	for i := range clients {
		client, socket, _ := addClientWithPeer(t, s)
		frame := requestFrame(1, "a", strings.Repeat("b", 2000), withSubject(strings.Repeat("s", 12_000)))
		socket.bytes = frame[:14_000]
		s.OnTraffic(socket)
		if used := s.clients.memory.Used(); used > limit {
			t.Fatalf("after %d clients %d bytes held, want at most %d", i+1, used, limit)
		}
		if client.state == connMuted {
			muted++
		}
	}
	if muted == 0 || muted == clients {
		t.Errorf("%d of %d clients muted, want some", muted, clients)
	}
	_, good, _ := addClientWithPeer(t, s)
	good.bytes = requestFrame(1, "good", "x")
	if s.OnTraffic(good); s.requests.Get("good") == nil {
		t.Error("the small request of another client was not accepted")
	}
}

// What clients hold must be accounted for until the last of it is gone, or the bound would drift.
func TestClientMemory_ReleasedWithRequestsAndConnections(t *testing.T) {
	f := startServer(t, nil)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s%s", requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.expectCommand("begin", "a2")
	other.send("%s", requestFrame(1, "b1", "x")[:40])
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	_ = other.Close()
	_ = client.Close() // while a2 runs
	waitUntil(f, 0, clientCount)
	if used := query(f, func(s *Server) int { return s.clients.memory.Used() }); used < requestOverheadBytes {
		t.Errorf("%d bytes held while a request runs, want those of the request", used)
	}
	f.executor.sendCompletion(2, "a2", "done", "r")
	waitUntil(f, 0, func(s *Server) int { return s.clients.memory.Used() })
}

// A request that finds no room must be rejected, so that its client may send it elsewhere.
func TestClientMemory_RequestWithoutRoomRejected(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.MemoryBytes = 256 << 10 }) // 32 KiB for requests
	client := f.dialClient()
	for i := range byte(30) {
		client.send("%s", requestFrame(i+1, "a"+string('a'+rune(i)), strings.Repeat("b", 2000)))
	}
	rejected := 0
	for rejected == 0 {
		if answer := client.readAnswer(); answer.Kind == rpc.ResponseRejected && answer.Metadata.RetryAfter >= 0 {
			rejected++
		}
	}
	if held := query(f, func(s *Server) int { return s.clients.memory.Used() }); held > 32<<10 {
		t.Errorf("%d bytes held, want at most %d", held, 32<<10)
	}
}
