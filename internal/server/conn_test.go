package server

import (
	"bytes"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/config"
)

// TCP_NODELAY must be set on every connection that the server accepted or dialed, or the system
// delays small messages.
func TestConnections_NoDelaySet(t *testing.T) {
	f, _ := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	acceptConn(t, f.upstreamListener).expect("\r\nc\r\n")
	f.onLoop(func(s *Server) {
		conns := map[string]gnet.Conn{
			"client":   s.clients.conns.AtSlot(0).conn,
			"executor": s.executor.conn,
			"upstream": s.upstream.all[0].conn,
		}
		for name, conn := range conns {
			if on, err := unix.GetsockoptInt(conn.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY); on == 0 || err != nil {
				t.Errorf("%s: TCP_NODELAY is %d, error %v; want it set", name, on, err)
			}
		}
	})
}

func TestFlush_BacklogLimits(t *testing.T) {
	s := New(&config.Startup{}, nil)
	s.loop.handle = discardingLoop{}
	for _, dialedAddress := range []string{"", "127.0.0.9:1"} {
		c := &fakeLaggingConn{}
		l := &bufferedConn{conn: c, dialed: dialedAddress != ""}
		s.write(l, []byte("x"))
		if s.flush(); c.closed != (dialedAddress == "") {
			t.Errorf("dialed address %q: closed %v, want %v", dialedAddress, c.closed, dialedAddress == "")
		}
	}
}

// Guards against a client that asks for much and reads nothing: what is written for it within one turn
// must be bounded too.
func TestOutput_BoundedWithinATurn(t *testing.T) {
	s := newServerWithMemory(1 << 20)
	most := 0
	for range 40 {
		_, socket, _ := addClientWithPeer(t, s)
		socket.bytes = strings.Repeat(healthCheck(1), 400)
		s.OnTraffic(socket)
		most = max(most, s.output.buffers.InUse)
	}
	if limit := s.output.maxUnflushedBuffers; most > limit {
		t.Errorf("%d buffers waited for the end of the turn, want at most %d", most, limit)
	}
}

// Guards against clients that leave answers unread, each of them within its own bound: their sum must
// stay within the bound at every moment, not only twice a second.
func TestOutput_LargestBacklogsClosedAtOnce(t *testing.T) {
	s := newServerWithMemory(1 << 20)
	var sockets []*fakeSocket
	for i := range 8 {
		client, socket, _ := addClientWithPeer(t, s)
		socket.outboundBytes = 40<<10 + i
		sockets = append(sockets, socket)
		s.write(&client.bufferedConn, bytes.Repeat([]byte("x"), 100))
	}
	s.flush()
	total := 0
	for _, socket := range sockets {
		if !socket.closed {
			total += socket.outboundBytes
		}
	}
	if limit := int(s.startup.MemoryBytes / unreadMemoryDivisor); total > limit || total == 0 || !sockets[7].closed {
		t.Errorf("%d bytes left unread, the largest closed %t; want some, at most %d, and true",
			total, sockets[7].closed, limit)
	}
}
