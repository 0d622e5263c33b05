package server

import (
	"testing"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/config"
)

// Nothing is held back by the system: TCP_NODELAY is set on all that the server accepted or
// dialled.
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
				t.Errorf("%s: %d, %v", name, on, err)
			}
		}
	})
}

func TestFlush_BacklogLimits(t *testing.T) {
	s := New(&config.Startup{}, nil)
	s.loop.handle = idleLoop{}
	for _, to := range []string{"", "127.0.0.9:1"} {
		c := &fakeUnread{}
		l := &bufferedConn{conn: c, dialed: to != ""}
		s.write(l, []byte("x"))
		if s.flush(); c.closed != (to == "") {
			t.Errorf("to %q: closed %v", to, c.closed)
		}
	}
}
