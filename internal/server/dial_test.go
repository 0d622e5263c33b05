package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
)

// A stopped server must not dial any more, nor may a pooled connection whose call has ended: both
// contexts end the dialing.
func TestDial_StopsWhenContextEnds(t *testing.T) {
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1"}}, nil) // nothing listens there
	listener := listenLoopback(t)
	never := func(context.Context) (<-chan gnet.RegisteredResult, error) {
		t.Error("a connection was dialed after its context ended")
		return nil, nil
	}
	ctx, cancel := context.WithCancel(s.lifetime.context)
	cancel()
	s.SetEndpoints(config.Addresses{Executor: listener.Addr().String()})
	s.dialUntilDone(ctx, never, dialTarget{addressOf: executorAddress, handler: s.executor})
	s.stop()
	// The call above and the one below must return.
	s.dialUntilDone(s.lifetime.context, never, dialTarget{addressOf: executorAddress, handler: s.executor})
}

// Servers that lose the same peer at the same time must spread their dials. The jitter depends only
// on the server's seed.
func TestDialBackoff_JitterDependsOnSeed(t *testing.T) {
	perTenth := map[time.Duration]int{} // number of backoffs in each tenth of the range
	for seed := range int64(100) {
		backoff := dialBackoff(seed, 20)
		if backoff < 150*time.Millisecond || backoff > 300*time.Millisecond || backoff != dialBackoff(seed, 20) {
			t.Fatalf("seed %d: backoff %v, want the same each time, from 150 to 300 ms", seed, backoff)
		}
		if dialBackoff(seed, 0) != 0 || dialBackoff(seed, -1) != 0 {
			t.Fatalf("seed %d: backoffs after 0 and -1 failures are %v and %v, want 0", seed,
				dialBackoff(seed, 0), dialBackoff(seed, -1))
		}
		perTenth[backoff/(15*time.Millisecond)]++
	}
	if len(perTenth) != 10 {
		t.Errorf("the backoffs cover %d tenths of their range, want 10", len(perTenth))
	}
}

// Setting the same addresses again must have no effect. Setting addresses where nothing listens, and
// the old ones again right after, must lose no call, whether the loop saw the others or not.
func TestSetEndpoints_UnchangedOrRestoredAddresses(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.server.SetEndpoints(f.addresses())
	f.executor.sendCall(1, "a1", "c") // over the unchanged link
	upstreamPeer := acceptConn(t, f.upstreamListener)
	upstreamPeer.expect("\r\nc\r\n")
	dead := f.addresses()
	dead.Executor, dead.Upstream = "127.0.0.9:1", "127.0.0.9:1"
	f.onLoop(func(s *Server) { // the loop sees the restored addresses alone
		s.SetEndpoints(dead)
		s.SetEndpoints(f.addresses())
	})
	upstreamPeer.send("a1 DATA 1\r\nd\r\n")
	if command := f.executor.expectCommand("answer", "a1"); command["blob"] != "ZA==" {
		t.Errorf("command %v on the link that stayed, want blob ZA==", command)
	}
	f.executor.sendCall(2, "a1", "e")
	upstreamPeer = acceptConn(t, f.upstreamListener)
	upstreamPeer.expect("\r\ne\r\n")
	f.server.SetEndpoints(dead)
	waitUntil(f, false, func(s *Server) bool { return s.executor.up })
	upstreamPeer.send("a1 DATA 1\r\nf\r\n") // calls in flight end on their connection
	waitUntil(f, 0, func(s *Server) int { return len(s.upstream.calls) })
	f.server.SetEndpoints(f.addresses())
	executor := f.acceptResumedLink()
	if command := executor.expectCommand("answer", "a1"); command["blob"] != "Zg==" {
		t.Errorf("command %v on the replaced link, want blob Zg==", command)
	}
	executor.sendCompletion(3, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

// Guards against commands that are lost when the executor's address changes: the old link is closed
// only once the executor has received them, and what comes meanwhile is sent on the new one.
func TestSetEndpoints_HandsOverExecutorLink(t *testing.T) {
	f, client := startRunningRequest(t, func(s *config.Startup) {
		s.Settings.Classes[0].Idempotency = admission.AtMostOnce
	})
	f.executor.sendCall(1, "a1", "c")
	f.replyToCall("c", "d")
	waitUntil(f, 0, func(s *Server) int { return len(s.upstream.calls) })
	f.executorListener = listenLoopback(t)
	f.onLoop(func(s *Server) {
		s.SetEndpoints(f.addresses())
		s.replaceOutdatedConns()
	})
	client.send("%s%s", requestFrame(2, "a2", "x"), healthCheck(3))
	client.expect(answerPrefix(3)) // shows that the request was read
	f.executor.expectCommand("answer", "a1")
	if command := f.executor.readCommand(true); command["msg"] != "usage" {
		t.Fatalf("command %v on the old link after the change, want usage", command)
	}
	executor := f.acceptResumedLink()
	executor.expectCommand("begin", "a2") // and nothing again for a1
	executor.sendCompletion(2, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	if rest, err := io.ReadAll(f.executor.in); err != nil || len(rest) > 0 {
		t.Errorf("read %q, error %v on the old link; want it closed", rest, err)
	}
}

// An executor that does not answer must not hold up the change of its address.
func TestSetEndpoints_HandOverTimesOut(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executorListener = listenLoopback(t)
	f.server.SetEndpoints(f.addresses())
	executor := f.acceptResumedLink()
	executor.expectCommand("begin", "a1")
	executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}

func TestSetEndpoints_NewTrafficUsesNewAddresses(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	old := acceptConn(t, f.upstreamListener)
	old.expect("\r\nc\r\n")
	before, oldExecutor := *f, f.executor
	for range 2 { // the second change comes before the first can have taken effect
		f.executorListener, f.upstreamListener, f.registry = listenLoopback(t), listenLoopback(t), newFakeRegistry(t)
		f.server.SetEndpoints(f.addresses())
	}
	f.executor = acceptConn(t, f.executorListener)
	if hello := f.executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatalf("first message %v, want hello with serial 1", hello)
	}
	f.executor.sendFirstMessage("seasoned", 3600000)
	f.executor.readCommand(true)
	if _, err := io.ReadAll(oldExecutor.in); err != nil {
		t.Errorf("error %v on the old link; want it closed", err)
	}
	old.send("a1 DATA 1\r\nd\r\n") // a call in flight ends on its connection
	f.executor.expectCommand("answer", "a1")
	f.executor.sendCall(2, "a1", "e") // the next call goes to the new address
	f.replyToCall("e", "f")
	f.executor.expectCommand("answer", "a1")
	f.executor.sendCompletion(3, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	for _, listener := range []net.Listener{before.executorListener, before.upstreamListener} {
		_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := listener.Accept(); err == nil {
			t.Errorf("the server dialed the old address %s", listener.Addr())
		}
	}
	if report := <-f.registry.Reports(); !report.Accepting {
		t.Errorf("report at the new registry: %+v, want accepting", report)
	}
}

func TestDial_UsesCurrentAddress(t *testing.T) {
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1"}}, nil) // nothing listens there
	dialedAddress := make(chan string, 1)
	s.dialWith(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		conn, _ := gnet.FromNetConnContext(ctx)
		dialedAddress <- conn.RemoteAddr().String()
		return nil, conn.Close()
	}, dialTarget{addressOf: executorAddress, handler: s.executor})
	listener := listenLoopback(t)
	s.SetEndpoints(config.Addresses{Executor: listener.Addr().String()})
	if got := <-dialedAddress; got != listener.Addr().String() {
		t.Errorf("dialed %s, want %s", got, listener.Addr())
	}
}

func TestDialedConn_PendingOutputDroppedOnClose(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"}}, nil)
	s.loop.handle = discardingLoop{}
	s.executor.conn, s.registry.conn = panickingConn{}, panickingConn{}
	s.write(&s.executor.bufferedConn, []byte("old"))
	s.write(&s.registry.bufferedConn, []byte("old"))
	s.executor.handleClose(nil)
	s.registry.handleClose(nil)
	_ = s.executor.handleOpen(panickingConn{}, "")
	_ = s.registry.handleOpen(panickingConn{}, "")
	if got := bytes.Join(s.executor.out.Buffers(), nil); string(got) != `{"msg":"hello","serial":0}`+"\n" {
		t.Errorf("pending output to the executor is %q, want only the new hello message", got)
	}
	if got := s.registry.out.Buffers(); len(got) != 0 {
		t.Errorf("pending output to the registry is %q, want none", got)
	}
}

func TestDialBackoff_GrowsUpToLimit(t *testing.T) {
	if dialBackoff(7, -1) > 0 || dialBackoff(7, 0) != 0 {
		t.Errorf("backoffs after -1 and 0 failures are %v and %v, want 0", dialBackoff(7, -1), dialBackoff(7, 0))
	}
	if dialBackoff(7, 1) <= 0 || dialBackoff(7, 2) <= dialBackoff(7, 1) || dialBackoff(7, 1000) != dialBackoff(7, 100) {
		t.Errorf("backoffs after 1, 2, 100 and 1000 failures are %v, %v, %v and %v; want growth up to a limit",
			dialBackoff(7, 1), dialBackoff(7, 2), dialBackoff(7, 100), dialBackoff(7, 1000))
	}
	f := startServer(t, nil)
	_ = f.executor.Close()
	for range 3 {
		_ = acceptConn(t, f.executorListener).Close()
	}
	executor := f.acceptResumedLink()
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	executor.expectCommand("begin", "a1")
	if n := query(f, func(s *Server) int { return s.executor.failedLinks }); n != 0 {
		t.Errorf("%d failed links counted after a link came up, want 0", n)
	}
}
