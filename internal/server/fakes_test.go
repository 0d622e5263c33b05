package server

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/policy/connlimit"
)

// fakeSender is a connection on which a request has come.
type fakeSender struct {
	brokenConn
	context any
	bytes   string
}

func (c *fakeSender) Context() any { return c.context }

func (c *fakeSender) Peek(int) ([]byte, error) { return []byte(c.bytes), nil }

func (*fakeSender) Discard(int) (int, error) { return 0, nil }

// fakeUnread is a connection whose other side lags by more than a client may.
type fakeUnread struct {
	brokenConn
	closed bool
}

func (*fakeUnread) Writev([][]byte) (int, error) { return 0, nil }

func (*fakeUnread) OutboundBuffered() int { return maxClientBacklog + 1 }

func (c *fakeUnread) Close() error { c.closed = true; return nil }

// brokenConn is a connection whose handling panics.
type brokenConn struct{ gnet.Conn }

func (brokenConn) Context() any { return brokenConn{} }

func (brokenConn) Peek(int) ([]byte, error) { return []byte("x"), nil }

func (brokenConn) Close() error { return nil }

func (brokenConn) Fd() int { return -1 }

func (brokenConn) OutboundBuffered() int { return 0 }

func (brokenConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (brokenConn) handleOpen(gnet.Conn, string) error { return nil }

func (brokenConn) owns(gnet.Conn) bool { return true }

func (brokenConn) handleData([]byte) (int, error) { panic("by the test") }

func (brokenConn) handleClose(error) {}

// fakeSocket is a connection of which only the descriptor is real.
type fakeSocket struct {
	brokenConn
	fakeSender
	fd     int
	closed bool
	unsent int
}

func (c *fakeSocket) Context() any { return c.context }

func (c *fakeSocket) Peek(int) ([]byte, error) { return []byte(c.bytes), nil }

func (c *fakeSocket) Discard(int) (int, error) { return 0, nil }

func (c *fakeSocket) OutboundBuffered() int { return c.unsent }

func (c *fakeSocket) Fd() int { return c.fd }

func (c *fakeSocket) Close() error { c.closed = true; return nil }

func (*fakeSocket) Writev([][]byte) (int, error) { return 0, nil }

func (c *fakeSocket) SetContext(context any) { c.context = context }

// peerShutDown tells whether the other end of a connection is read to its end: our side of it is
// shut, or it is closed.
func peerShutDown(fd int) bool {
	_ = unix.SetNonblock(fd, true)
	for b := make([]byte, 4096); ; {
		if n, err := unix.Read(fd, b); n <= 0 {
			return n == 0 && err == nil
		}
	}
}

// addLinkedClient adds a client's connection whose far end is in the test's hands.
func addLinkedClient(t *testing.T, s *Server) (client *clientConn, socket *fakeSocket, far int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(pair[0]); _ = unix.Close(pair[1]) })
	id, client := s.clients.conns.Add()
	client.server, client.id = s, id
	socket = &fakeSocket{fd: pair[0]}
	socket.context = client
	if err := client.handleOpen(socket, ""); err != nil {
		t.Fatal(err)
	}
	s.clients.limiter.HandleEvent(id.Slot(), connlimit.EventRequest, s.now())
	return client, socket, pair[1]
}

// idleLoop runs nothing.
type idleLoop struct{ gnet.EventLoop }

func (idleLoop) Execute(context.Context, gnet.Runnable) error { return nil }

// newServerWithoutLoop is a server without a loop, whose turns the test takes.
func newServerWithoutLoop(idle float64) *Server {
	s := New(&config.Startup{
		MaxSockets:  1000,
		ClassIndex:  map[string]int{"quote": 0},
		TenantIndex: map[string]int{"acme": 0},
		Settings:    admission.Settings{IdleTimeout: idle},
	}, nil)
	s.loop.handle, s.decisions.controller = idleLoop{}, admission.New(1, admission.Settings{})
	s.loop.wakeup = time.AfterFunc(time.Hour, func() {})
	return s
}
