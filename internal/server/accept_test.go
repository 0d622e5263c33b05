package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/config"
)

func TestAcceptor_RecoversFromFailedAccepts(t *testing.T) {
	for _, c := range []struct {
		errno       syscall.Errno
		connLimitOn bool
	}{
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
		{syscall.ENOBUFS, true},
		{syscall.ENOMEM, true},
		{syscall.EMFILE, false},
		{syscall.ENOMEM, false},
	} {
		t.Run(fmt.Sprintf("%s connLimit=%t", unix.ErrnoName(c.errno), c.connLimitOn), func(t *testing.T) {
			var operator *config.OperatorSettings
			if c.connLimitOn {
				operator = connLimitConfig(t, "")
			}
			testFailingAccepts(t, c.errno, operator)
		})
	}
}

// failingAccept wraps an acceptFunc, and returns an error instead while failing is set.
type failingAccept struct {
	err       error
	failing   atomic.Bool
	failures  atomic.Int64
	recovered chan struct{} // a value is sent when accept is called again after failures
}

func (a *failingAccept) wrap(accept acceptFunc) acceptFunc {
	return func() (acceptedSocket, error) {
		if a.failing.Load() {
			a.failures.Add(1)
			return acceptedSocket{}, a.err
		}
		if a.failures.Load() > 0 {
			select {
			case a.recovered <- struct{}{}:
			default:
			}
		}
		return accept()
	}
}

// testFailingAccepts checks that while accept fails, admitted clients are served, and that new
// connections are accepted afterwards.
func testFailingAccepts(t *testing.T, acceptErr error, operator *config.OperatorSettings) {
	t.Helper()
	accept := &failingAccept{err: acceptErr, recovered: make(chan struct{}, 1)}
	f := startServerWith(t, nil, operator, func(f *fixture) { f.wrapAccept = accept.wrap })
	client := f.dialClient()
	client.send("%s", requestFrame(2, "a2", "x")) // a connection with an open request is not evicted
	f.executor.expectCommand("begin", "a2")
	accept.failing.Store(true)
	_ = f.dialClient().Close() // ends the accept call that was already waiting
	late := f.dialClient()
	late.send("%s", requestFrame(1, "a1", "x"))
	client.send("%s", requestFrame(3, "a3", "x")) // admitted clients are still served
	f.executor.expectCommand("begin", "a3")
	f.executor.sendCompletion(1, "a3", "done", "s")
	client.expect(answerPrefix(3) + resultPrefix + "\x01s\x80")
	f.executor.sendCompletion(2, "a2", "done", "r")
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	time.Sleep(200 * time.Millisecond)
	if n := accept.failures.Load(); n == 0 || n > 100 {
		t.Errorf("%d failed accepts within 0.2 s, want 1 to 100", n)
	}
	if lacksDescriptor(acceptErr) { // the client was rejected with the spare descriptor
		late.expect("Busy")
		accept.failing.Store(false)
		<-accept.recovered
		late = f.dialClient()
		late.send("%s", requestFrame(1, "a1", "x"))
	}
	accept.failing.Store(false)
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(3, "a1", "done", "r")
	late.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestAcceptor_SpareDescriptorAnswersRequests(t *testing.T) {
	a, err := newAcceptor("127.0.0.9:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.listener.Close() }()
	for _, first := range []string{requestFrame(1, "a1", "x"), healthCheck(1), ""} {
		conn, err := net.Dial("tcp", a.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		e := newTestConn(t, conn)
		e.send("%s", first)
		time.Sleep(time.Millisecond)
		socket, ok := a.acceptWithSpare(syscall.EMFILE)
		if !ok || a.spareFile != nil {
			t.Fatalf("accepted %t, spare descriptor kept %t; want true, false", ok, a.spareFile != nil)
		}
		refuse(socket, refusalReadTimeout)
		got, err := io.ReadAll(e.in)
		rejected, sentRequest := strings.Contains(string(got), "Busy"), strings.Contains(first, "quote")
		if err != nil || rejected != sentRequest || (len(got) > 0) != (first != "") {
			t.Errorf("input %q got the answer %q, error %v; want a request rejected, any message answered",
				first, got, err)
		}
		a.reserveSpare()
	}
	// All complete messages are answered, and malformed input after them does not reset the
	// connection.
	conn, err := net.Dial("tcp", a.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	e := newTestConn(t, conn)
	e.send("%s%s%s\xc1%s", requestFrame(1, "a1", "x"), healthCheck(1), requestFrame(2, "a2", "x"),
		strings.Repeat("x", 20<<10))
	socket, ok := a.acceptWithSpare(syscall.EMFILE)
	if !ok {
		t.Fatal("no connection was accepted with the spare descriptor")
	}
	for queued := 0; queued < 20<<10; { // until all input has arrived
		if queued, err = unix.IoctlGetInt(socket.fd, unix.TIOCINQ); err != nil {
			t.Fatal(err)
		}
	}
	refuse(socket, refusalReadTimeout)
	got, err := io.ReadAll(e.in)
	if err != nil || strings.Count(string(got), "Busy") != 2 || !strings.Contains(string(got), healthyPayload) {
		t.Errorf("got %q, error %v; want 2 rejections and a health answer", got, err)
	}
	a.reserveSpare()
	if _, ok := a.acceptWithSpare(syscall.ENOBUFS); ok || a.spareFile == nil {
		t.Error("the spare descriptor was released after ENOBUFS, which it can't help with")
	}
}
