package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
)

func TestProtocolError_AffectsOnlyItsConnection(t *testing.T) {
	f := startServer(t, nil)
	good, bad, odd := f.dialClient(), f.dialClient(), f.dialClient()
	good.send("%s", requestFrame(1, "a1", "x")[:40])
	bad.send("\xc1")
	if _, err := io.ReadAll(bad.in); err != nil {
		t.Errorf("after a malformed frame: %v", err)
	}
	odd.send("%s", strings.Replace(requestFrame(1, "b1", "x"), "quote", "quite", 1))
	odd.expect(answerPrefix(1) + "\x92\xa7Invalid")
	odd.send("%s", strings.Replace(requestFrame(2, "b2", "x"), "acme", "acne", 1))
	odd.expect(answerPrefix(2) + "\x92\xa7Invalid")
	odd.send("%s", requestFrame(3, "b3", "x"))
	f.executor.expectCommand("begin", "b3")
	odd.send("%s", requestFrame(4, "b3", "x")) // the id of another
	odd.expect(answerPrefix(4) + "\x92\xa7Invalid")
	odd.send("%s", requestFrame(3, "b4", "x")) // a message id that is open
	f.executor.sendCompletion(1, "b3", "done", "r")
	odd.expect(answerPrefix(3) + resultPrefix + "\x01r") // of what was read before
	if _, err := io.ReadAll(odd.in); err != nil {
		t.Errorf("after an open message id: %v", err)
	}
	good.send("%s", requestFrame(1, "a1", "x")[40:])
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(2, "a1", "done", "r")
	good.expect(answerPrefix(1) + resultPrefix + "\x01r")
}

func TestClientConn_WithoutValidMessageClosed(t *testing.T) {
	f := startServer(t, nil)
	silent, half, odd, good := f.dialClient(), f.dialClient(), f.dialClient(), f.dialClient()
	half.send("%s", requestFrame(1, "a1", "x")[:40])
	odd.send("%s", requestFrame(1, "a2", "x", withArrival(1))) // out of range: it would teach an age of decades
	odd.expect(answerPrefix(1) + "\x92\xa7Invalid")
	good.send("\x94\x00\x01\xa6isWell\x91\x80")
	good.expect("\xc3\x80")
	for _, bad := range []*testConn{silent, half, odd} {
		if _, err := io.ReadAll(bad.in); err != nil {
			t.Errorf("instead of its end: %v", err)
		}
	}
	good.send("\x94\x00\x02\xa6isWell\x91\x80") // idle for as long
	good.expect(answerPrefix(2) + "\xc0\x92\xc3\x80")
}

func TestEviction_SilentConnectionsMakeRoom(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.MaxSockets = 64 })
	check := "\x94\x00\x01\xa6isWell\x91\x80"
	busy := f.dialClient()
	busy.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	most, _ := f.server.maxClients()
	for range most {
		f.dialClient()
		late := f.dialClient()
		late.send("%s", check)
		late.expect("\xc3\x80")
		late.Close()
	}
	f.executor.sendCompletion(1, "a1", "done", "r")
	busy.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestEviction_SparesConnectionsWithPendingAnswers(t *testing.T) {
	s := New(&config.Startup{Settings: admission.Settings{IdleTimeout: 30}}, nil)
	add := func(unsent bool) *clientConn {
		name, p := s.clients.conns.Add()
		p.server, p.id, p.conn, p.unsent = s, name, brokenConn{}, unsent
		s.clients.limiter.Open(name.Slot(), 0)
		s.clients.limiter.Tell(name.Slot(), connlimit.Spoke, 0)
		return p
	}
	answered, silent, late := add(true), add(false), add(false)
	s.clients.limiter.Tell(silent.id.Slot(), connlimit.Spoke, 1)
	if p := s.evictionCandidate(late); p != silent { // an answer is on its way out to the first
		t.Errorf("%+v goes", p)
	}
	s.clients.limiter.Tell(silent.id.Slot(), connlimit.Owed, 2)
	if p := s.evictionCandidate(late); p != nil {
		t.Errorf("%+v goes, %+v", p, answered)
	}
}

// fakeSender is a connection on which a task has come.
type fakeSender struct {
	brokenConn
	context any
	bytes   string
}

func (c *fakeSender) Context() any { return c.context }

func (c *fakeSender) Peek(int) ([]byte, error) { return []byte(c.bytes), nil }

func (*fakeSender) Discard(int) (int, error) { return 0, nil }

func TestClientConn_NothingReadAfterClose(t *testing.T) {
	s := New(&config.Startup{MaxSockets: 256, ClassIndex: map[string]int{"quote": 0}, TenantIndex: map[string]int{"acme": 0}}, nil)
	s.loop.handle, s.decisions.controller = idleLoop{}, admission.New(1, admission.Settings{})
	for _, ends := range []bool{false, true} {
		name, p := s.clients.conns.Add()
		p.server, p.id = s, name
		c := &fakeSender{context: p, bytes: requestFrame(1, fmt.Sprint("a", ends), "x")}
		_ = p.handleOpen(c, "")
		if ends {
			p.closeNow() // the library closes it after this turn
		}
		if action := s.OnTraffic(c); (action == gnet.Close) != ends || s.requests.Len() != 1 {
			t.Errorf("ends %v: action %v, %d tasks", ends, action, s.requests.Len())
		}
	}
}

func TestRequest_TooManyOpenOnConnection(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	for i := range byte(maxRequestsPerConn + 1) {
		client.send("%s", requestFrame(i+1, fmt.Sprintf("a%d", i), "x"))
	}
	client.expect(answerPrefix(maxRequestsPerConn+1) + "\x92\xa7Invalid")
}

func TestGracefulClose_SilentConnections(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.Settings.IdleTimeout = 0.05 })
	client := f.dialClient()
	client.send("\x94\x00\x01\xa6isWell\x91\x80")
	client.expect("goaway\x90")
	if _, err := io.ReadAll(client.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
}

func TestClientConn_BacklogBounded(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	_ = client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	check := strings.Repeat("\x94\x00\x02\xa6isWell\x91\x80", 4000)
	var err error
	for range 20000 { // far over all that the kernel and the server may hold
		if _, err = client.Write([]byte(check)); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("all was taken")
	}
}

// fakeUnread is a connection whose other side lags by more than a balancer may.
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

func TestPanic_ClosesOnlyItsConnection(t *testing.T) {
	logging.SetOutput(t.Output())
	defer logging.SetOutput(io.Discard)
	if action := New(&config.Startup{}, nil).OnTraffic(brokenConn{}); action != gnet.Close {
		t.Errorf("action %v", action)
	}
}
