package server

import (
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
