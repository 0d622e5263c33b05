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
			t.Errorf("%d descriptors, %d bytes: %d by %s", c.sockets, c.memory, limit.conns, limit.bound)
		}
	}
}

func TestEviction_SilentConnectionsMakeRoom(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.MaxSockets = 64 })
	check := healthCheck(1)
	busy := f.dialClient()
	busy.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	most := f.server.maxClients().conns
	for range most {
		f.dialClient()
		late := f.dialClient()
		late.send("%s", check)
		late.expect("\xc3\x80")
		_ = late.Close()
	}
	f.executor.sendCompletion(1, "a1", "done", "r")
	busy.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestEviction_SparesConnectionsWithPendingAnswers(t *testing.T) {
	s := New(&config.Startup{Settings: admission.Settings{IdleTimeout: 30}}, nil)
	add := func(unsent bool) *clientConn {
		id, client := s.clients.conns.Add()
		client.server, client.id, client.conn, client.unflushed = s, id, brokenConn{}, unsent
		s.clients.limiter.HandleOpen(id.Slot(), 0)
		s.clients.limiter.HandleEvent(id.Slot(), connlimit.EventRequest, 0)
		return client
	}
	answered, silent, late := add(true), add(false), add(false)
	s.clients.limiter.HandleEvent(silent.id.Slot(), connlimit.EventRequest, 1)
	if client := s.evictionCandidate(late); client != silent { // an answer is on its way out to the first
		t.Errorf("%+v goes", client)
	}
	s.clients.limiter.HandleEvent(silent.id.Slot(), connlimit.EventRequestOpened, 2)
	if client := s.evictionCandidate(late); client != nil {
		t.Errorf("%+v goes, %+v", client, answered)
	}
}
