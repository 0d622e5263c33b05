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

func TestAcceptor_SurvivesFailingAccepts(t *testing.T) {
	for _, c := range []struct {
		lack    syscall.Errno
		guarded bool
	}{
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
		{syscall.ENOBUFS, true},
		{syscall.ENOMEM, true},
		{syscall.EMFILE, false},
		{syscall.ENOMEM, false},
	} {
		t.Run(fmt.Sprintf("%s guarded=%t", unix.ErrnoName(c.lack), c.guarded), func(t *testing.T) {
			var operator *config.OperatorSettings
			if c.guarded {
				operator = guardedConfig(t, "")
			}
			testFailingAccepts(t, c.lack, operator)
		})
	}
}

// failingAccept fails, while it is told to, for want of something.
type failingAccept struct {
	lack      error
	fails     atomic.Bool
	times     atomic.Int64
	recovered chan struct{} // it waits again, and takes nobody by the spare descriptor any more
}

func (a *failingAccept) wrap(accept acceptFunc) acceptFunc {
	return func() (acceptedSocket, error) {
		if a.fails.Load() {
			a.times.Add(1)
			return acceptedSocket{}, a.lack
		}
		if a.times.Load() > 0 {
			select {
			case a.recovered <- struct{}{}:
			default:
			}
		}
		return accept()
	}
}

func testFailingAccepts(t *testing.T, lack error, operator *config.OperatorSettings) {
	t.Helper()
	failing := &failingAccept{lack: lack, recovered: make(chan struct{}, 1)}
	f := startServerWith(t, nil, operator, func(f *fixture) { f.wrapAccept = failing.wrap })
	client := f.dialClient()
	client.send("%s", requestFrame(2, "a2", "x")) // with its request open it can't go for another
	f.executor.expectCommand("begin", "a2")
	failing.fails.Store(true)
	_ = f.dialClient().Close() // wakes the accept that is under way
	late := f.dialClient()
	late.send("%s", requestFrame(1, "a1", "x"))
	client.send("%s", requestFrame(3, "a3", "x")) // those that are admitted go on
	f.executor.expectCommand("begin", "a3")
	f.executor.sendCompletion(1, "a3", "done", "s")
	client.expect(answerPrefix(3) + resultPrefix + "\x01s\x80")
	f.executor.sendCompletion(2, "a2", "done", "r")
	client.expect(answerPrefix(2) + resultPrefix + "\x01r\x80")
	time.Sleep(200 * time.Millisecond)
	if n := failing.times.Load(); n == 0 || n > 100 {
		t.Errorf("%d tries in a fifth of a second", n)
	}
	if lacksDescriptor(lack) { // answered by the spare descriptor
		late.expect("Busy")
		failing.fails.Store(false)
		<-failing.recovered
		late = f.dialClient()
		late.send("%s", requestFrame(1, "a1", "x"))
	}
	failing.fails.Store(false)
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(3, "a1", "done", "r")
	late.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestAcceptor_SpareDescriptorRefusesWithAnswer(t *testing.T) {
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
		given, ok := a.acceptWithSpare(syscall.EMFILE)
		if !ok || a.spareFile != nil {
			t.Fatal("the spare descriptor is not given up")
		}
		refuse(given, refusalReadTimeout)
		got, err := io.ReadAll(e.in)
		rejected, sentRequest := strings.Contains(string(got), "Busy"), strings.Contains(first, "quote")
		if err != nil || rejected != sentRequest || (len(got) > 0) != (first != "") {
			t.Errorf("%q to %q, %v", got, first, err)
		}
		a.reserveSpare()
	}
	// All that was sent has an answer, and what is no message resets nothing.
	conn, err := net.Dial("tcp", a.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	e := newTestConn(t, conn)
	e.send("%s%s%s\xc1%s", requestFrame(1, "a1", "x"), healthCheck(1), requestFrame(2, "a2", "x"),
		strings.Repeat("x", 20<<10))
	given, ok := a.acceptWithSpare(syscall.EMFILE)
	if !ok {
		t.Fatal("nobody to be accepted")
	}
	for queued := 0; queued < 20<<10; { // until it is all there
		if queued, err = unix.IoctlGetInt(given.fd, unix.TIOCINQ); err != nil {
			t.Fatal(err)
		}
	}
	refuse(given, refusalReadTimeout)
	got, err := io.ReadAll(e.in)
	if err != nil || strings.Count(string(got), "Busy") != 2 || !strings.Contains(string(got), healthyPayload) {
		t.Errorf("%q, %v", got, err)
	}
	a.reserveSpare()
	if _, ok := a.acceptWithSpare(syscall.ENOBUFS); ok || a.spareFile == nil {
		t.Error("given up for what it does not help")
	}
}
