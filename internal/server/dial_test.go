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

// A server that is over dials nobody any more, nor does a pooled connection whose call is over.
func TestDial_EndsWithItsContext(t *testing.T) {
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1"}}, nil) // where nothing listens
	listener := listenLoopback(t)
	never := func(context.Context) (<-chan gnet.RegisteredResult, error) { t.Error("dialled"); return nil, nil }
	ctx, giveUp := context.WithCancel(s.lifetime.context)
	giveUp()
	s.SetEndpoints(config.Addresses{Executor: listener.Addr().String()})
	s.dialUntilDone(ctx, never, dialTarget{addressOf: executorAddress, handler: s.executor})
	s.stop()
	// Both return.
	s.dialUntilDone(s.lifetime.context, never, dialTarget{addressOf: executorAddress, handler: s.executor})
}

// Servers that lost the same party at once come back to it spread out, each in its own way every
// time.
func TestDialBackoff_SpreadBySeed(t *testing.T) {
	met := map[time.Duration]int{}
	for seed := range int64(100) {
		backoff := dialBackoff(seed, 20)
		if backoff < 150*time.Millisecond || backoff > 300*time.Millisecond || backoff != dialBackoff(seed, 20) {
			t.Fatalf("seed %d: %v", seed, backoff)
		}
		if dialBackoff(seed, 0) != 0 || dialBackoff(seed, -1) != 0 {
			t.Fatalf("seed %d: it waits before the first dial", seed)
		}
		met[backoff/(15*time.Millisecond)]++
	}
	if len(met) != 10 {
		t.Errorf("of ten parts of the time, %d are used", len(met))
	}
}

// A reload to the same addresses changes nothing; two in a row, to a dead one and back, lose
// nothing.
func TestSetEndpoints_SameDeadAndBack(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.server.SetEndpoints(f.addresses())
	f.executor.sendCall(1, "a1", "c") // over the same link
	below := acceptConn(t, f.upstreamListener)
	below.expect("\r\nc\r\n")
	dead := f.addresses()
	dead.Executor, dead.Upstream = "127.0.0.9:1", "127.0.0.9:1"
	f.server.SetEndpoints(dead)
	f.server.SetEndpoints(f.addresses())
	below.send("a1 DATA 1\r\nd\r\n") // calls in hand end where they are
	executor := acceptConn(t, f.executorListener)
	executor.readCommand(false)
	executor.sendUp("seasoned", 1)
	executor.readCommand(true)
	if command := executor.expectCommand("answer", "a1"); command["blob"] != "ZA==" {
		t.Error(command)
	}
	executor.sendCompletion(2, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestSetEndpoints_NewTrafficUsesNewAddresses(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	old := acceptConn(t, f.upstreamListener)
	old.expect("\r\nc\r\n")
	before, oldExecutor := *f, f.executor
	for range 2 { // the second before the first can have come through
		f.executorListener, f.upstreamListener, f.registry = listenLoopback(t), listenLoopback(t), newFakeRegistry(t)
		f.server.SetEndpoints(f.addresses())
	}
	f.executor = acceptConn(t, f.executorListener)
	if hello := f.executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatal(hello)
	}
	f.executor.sendUp("seasoned", 3600000)
	f.executor.readCommand(true)
	if _, err := io.ReadAll(oldExecutor.in); err != nil {
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
	for _, listener := range []net.Listener{before.executorListener, before.upstreamListener} {
		_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := listener.Accept(); err == nil {
			t.Error("dialled at an old address")
		}
	}
	if report := <-f.registry.Reports(); !report.Accepting { // at the new registry
		t.Error(report)
	}
}

func TestDial_UsesCurrentAddress(t *testing.T) {
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1"}}, nil) // where nothing listens
	to := make(chan string, 1)
	s.dialWith(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		conn, _ := gnet.FromNetConnContext(ctx)
		to <- conn.RemoteAddr().String()
		return nil, conn.Close()
	}, dialTarget{addressOf: executorAddress, handler: s.executor})
	listener := listenLoopback(t)
	s.SetEndpoints(config.Addresses{Executor: listener.Addr().String()})
	if got := <-to; got != listener.Addr().String() {
		t.Errorf("dialled %s", got)
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
		t.Errorf("to the executor: %q", got)
	}
	if got := s.registry.out.Buffers(); len(got) != 0 {
		t.Errorf("to the registry: %q", got)
	}
}

func TestDialBackoff_GrowsToBound(t *testing.T) {
	if dialBackoff(7, -1) > 0 || dialBackoff(7, 0) != 0 {
		t.Error("it waits before the first dial")
	}
	if dialBackoff(7, 1) <= 0 || dialBackoff(7, 2) <= dialBackoff(7, 1) || dialBackoff(7, 1000) != dialBackoff(7, 100) {
		t.Error("backoffs do not grow to a bound")
	}
	f := startServer(t, nil)
	_ = f.executor.Close()
	for range 3 {
		_ = acceptConn(t, f.executorListener).Close()
	}
	executor := acceptConn(t, f.executorListener)
	executor.readCommand(false)
	executor.sendUp("seasoned", 1)
	executor.readCommand(true)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	executor.expectCommand("begin", "a1")
	if n := query(f, func(s *Server) int { return s.executor.failedLinks }); n != 0 {
		t.Errorf("%d failed links after one that came up", n)
	}
}
