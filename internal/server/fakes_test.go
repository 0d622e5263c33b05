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

// fakeInputConn is a connection with unread input.
type fakeInputConn struct {
	panickingConn
	context any
	bytes   string
}

func (c *fakeInputConn) Context() any { return c.context }

func (c *fakeInputConn) InboundBuffered() int { return len(c.bytes) }

func (c *fakeInputConn) Peek(int) ([]byte, error) { return []byte(c.bytes), nil }

func (*fakeInputConn) Discard(int) (int, error) { return 0, nil }

// fakeLaggingConn is a connection whose peer left more output unread than a client may.
type fakeLaggingConn struct {
	panickingConn
	closed bool
}

func (*fakeLaggingConn) Writev([][]byte) (int, error) { return 0, nil }

func (*fakeLaggingConn) OutboundBuffered() int { return maxClientBacklogBytes + 1 }

func (c *fakeLaggingConn) Close() error { c.closed = true; return nil }

// panickingConn is a connection whose handler panics on input.
type panickingConn struct{ gnet.Conn }

func (panickingConn) Context() any { return panickingConn{} }

func (panickingConn) Peek(int) ([]byte, error) { return []byte("x"), nil }

func (panickingConn) InboundBuffered() int { return 1 }

func (panickingConn) Close() error { return nil }

func (panickingConn) Fd() int { return -1 }

func (panickingConn) OutboundBuffered() int { return 0 }

func (panickingConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (panickingConn) handleOpen(gnet.Conn, string) error { return nil }

func (panickingConn) handleInput(int) bool { return true }

func (panickingConn) owns(gnet.Conn) bool { return true }

func (panickingConn) handleData([]byte) (int, error) { panic("raised by the test") }

func (panickingConn) handleClose(error) {}

// fakeSocket is a fake connection with a real descriptor.
type fakeSocket struct {
	panickingConn
	fakeInputConn
	fd            int
	closed        bool
	outboundBytes int // number of bytes in the outbound buffer
	peeks         int // how often the input was looked at
}

func (c *fakeSocket) Context() any { return c.context }

func (c *fakeSocket) InboundBuffered() int { return len(c.bytes) }

func (c *fakeSocket) Peek(int) ([]byte, error) { c.peeks++; return []byte(c.bytes), nil }

func (c *fakeSocket) Discard(int) (int, error) { return 0, nil }

func (c *fakeSocket) OutboundBuffered() int { return c.outboundBytes }

func (c *fakeSocket) Fd() int { return c.fd }

func (c *fakeSocket) Close() error { c.closed = true; return nil }

func (*fakeSocket) Writev([][]byte) (int, error) { return 0, nil }

func (c *fakeSocket) SetContext(context any) { c.context = context }

// peerShutDown reads all input of a descriptor, and reports whether the other end has shut down its
// side or closed.
func peerShutDown(fd int) bool {
	_ = unix.SetNonblock(fd, true)
	for b := make([]byte, 4096); ; {
		if n, err := unix.Read(fd, b); n <= 0 {
			return n == 0 && err == nil
		}
	}
}

// addClientWithPeer adds a client's connection. It returns its handler, the server's end of the
// connection and the descriptor of the client's end.
func addClientWithPeer(t *testing.T, s *Server) (client *clientConn, socket *fakeSocket, peer int) {
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

// discardingLoop is an event loop that discards the functions queued on it.
type discardingLoop struct{ gnet.EventLoop }

func (discardingLoop) Execute(context.Context, gnet.Runnable) error { return nil }

// newServerWithoutLoop returns a server whose turns the test runs itself.
func newServerWithoutLoop(idleTimeout float64) *Server {
	s := New(&config.Startup{
		MaxSockets:  1000,
		ClassIndex:  map[string]int{"quote": 0},
		TenantIndex: map[string]int{"acme": 0},
		Settings:    admission.Settings{IdleTimeout: idleTimeout},
	}, nil)
	s.loop.handle, s.decisions.controller = discardingLoop{}, admission.New(1, admission.Settings{})
	s.loop.wakeup = time.AfterFunc(time.Hour, func() {})
	return s
}
