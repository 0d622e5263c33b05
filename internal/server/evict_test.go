package server

import (
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/connlimit"
)

func TestMaxClients_FromDescriptorsAndMemory(t *testing.T) {
	for _, c := range []struct {
		sockets int
		memory  int64
		want    int
		bound   clientBound
	}{
		{512, 64 << 20, 352, "descriptors"},
		{384, 48 << 20, 256, "descriptors"},
		{20000, 192 << 20, 19712, "descriptors"},
		{20000, 48 << 20, 48 << 20 / 4 / idleConnBytes, "memory"},
	} {
		s := New(&config.Startup{MaxSockets: c.sockets, MemoryBytes: c.memory}, nil)
		if limit := s.maxClients(); limit != (clientLimit{c.want, c.bound}) {
			t.Errorf("%d descriptors, %d bytes: limit %d by %s, want %d by %s",
				c.sockets, c.memory, limit.conns, limit.bound, c.want, c.bound)
		}
	}
}

func TestEviction_SilentConnectionsEvictedForNewOnes(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.MaxSockets = 64 })
	check := healthCheck(1)
	busy := f.dialClient()
	busy.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	limit := f.server.maxClients().conns
	for range limit {
		f.dialClient()
		late := f.dialClient()
		late.send("%s", check)
		late.expect("\xc3\x80")
		_ = late.Close()
	}
	f.executor.sendCompletion(1, "a1", "done", "r")
	busy.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestEviction_SkipsConnectionsWithPendingAnswers(t *testing.T) {
	s := New(&config.Startup{Settings: admission.Settings{IdleTimeout: 30}}, nil)
	add := func(unflushed bool) *clientConn {
		id, client := s.clients.conns.Add()
		client.server, client.id, client.conn, client.unflushed = s, id, panickingConn{}, unflushed
		s.clients.limiter.HandleOpen(id.Slot(), 0)
		s.clients.limiter.HandleEvent(id.Slot(), connlimit.EventRequest, 0)
		return client
	}
	answered, silent, arriving := add(true), add(false), add(false)
	s.clients.limiter.HandleEvent(silent.id.Slot(), connlimit.EventRequest, 1)
	if client := s.evictionCandidate(arriving); client != silent { // the answer to the first is not written yet
		t.Errorf("candidate %+v, want the connection without a pending answer %+v", client, silent)
	}
	s.clients.limiter.HandleEvent(silent.id.Slot(), connlimit.EventRequestOpened, 2)
	if client := s.evictionCandidate(arriving); client != nil {
		t.Errorf("candidate %+v, want none; the connection with a pending answer is %+v", client, answered)
	}
}
