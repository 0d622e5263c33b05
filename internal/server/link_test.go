package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
)

func TestSetEndpoints_NewTrafficUsesNewAddresses(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	old := acceptConn(t, f.upstreamListener)
	old.expect("\r\nc\r\n")
	before, oldProcessor := *f, f.executor
	for range 2 { // the second before the first can have come through
		f.executorListener, f.upstreamListener, f.registry = listenLoopback(t), listenLoopback(t), newFakeRegistry(t)
		f.server.SetEndpoints(f.addresses())
	}
	f.executor = acceptConn(t, f.executorListener)
	if hello := f.executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatal(hello)
	}
	f.executor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	f.executor.readCommand(true)
	if _, err := io.ReadAll(oldProcessor.in); err != nil {
		t.Errorf("the old link ends with %v", err)
	}
	old.send("a1 DATA 1\r\nd\r\n") // a call in hand ends where it was made
	f.executor.expectCommand("answer", "a1")
	f.executor.sendCall(2, "a1", "e") // and the next one goes to the new address
	below := acceptConn(t, f.upstreamListener)
	below.expect("\r\ne\r\n")
	below.send("a1 DATA 1\r\nf\r\n")
	f.executor.expectCommand("answer", "a1")
	f.executor.sendCompletion(3, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	for _, l := range []net.Listener{before.executorListener, before.upstreamListener} {
		_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := l.Accept(); err == nil {
			t.Error("dialled at an old address")
		}
	}
	if report := <-f.registry.Reports(); !report.Takes { // at the new roster
		t.Error(report)
	}
}

func TestDial_UsesCurrentAddress(t *testing.T) {
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1"}}, nil) // where nothing listens
	to := make(chan string, 1)
	s.dialWith(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		c, _ := gnet.FromNetConnContext(ctx)
		to <- c.RemoteAddr().String()
		return nil, c.Close()
	}, dialTarget{addressOf: executorAddress, handler: s.executor})
	l := listenLoopback(t)
	s.SetEndpoints(config.Addresses{Executor: l.Addr().String()})
	if got := <-to; got != l.Addr().String() {
		t.Errorf("dialled %s", got)
	}
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

func TestDialedConn_UnsentBytesDropped(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"}}, nil)
	s.loop.handle = idleLoop{}
	s.executor.conn, s.registry.conn = brokenConn{}, brokenConn{}
	s.write(&s.executor.bufferedConn, []byte("old"))
	s.write(&s.registry.bufferedConn, []byte("old"))
	s.executor.handleClose(nil)
	s.registry.handleClose(nil)
	_ = s.executor.handleOpen(brokenConn{}, "")
	_ = s.registry.handleOpen(brokenConn{}, "")
	if got := bytes.Join(s.executor.out.Buffers(), nil); string(got) != `{"msg":"hello","serial":0}`+"\n" {
		t.Errorf("to the processor: %q", got)
	}
	if got := s.registry.out.Buffers(); len(got) != 0 {
		t.Errorf("to the roster: %q", got)
	}
}

// idleLoop runs nothing.
type idleLoop struct{ gnet.EventLoop }

func (idleLoop) Execute(context.Context, gnet.Runnable) error { return nil }

func TestDialBackoff_GrowsToBound(t *testing.T) {
	if dialBackoff(7, -1) > 0 || dialBackoff(7, 0) != 0 || dialBackoff(7, 1) <= 0 || dialBackoff(7, 2) <= dialBackoff(7, 1) || dialBackoff(7, 1000) != dialBackoff(7, 100) {
		t.Error("pauses do not grow to a bound")
	}
	f := startServer(t, nil)
	f.executor.Close()
	for range 3 {
		acceptConn(t, f.executorListener).Close()
	}
	executor := acceptConn(t, f.executorListener)
	executor.readCommand(false)
	executor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	executor.readCommand(true)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	executor.expectCommand("begin", "a1")
	vain := make(chan int)
	_ = f.server.loop.handle.Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
		vain <- f.server.executor.failedLinks
		return nil
	}))
	if n := <-vain; n != 0 {
		t.Errorf("%d vain links after one that came up", n)
	}
}
