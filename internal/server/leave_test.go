package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
)

// waitUntilRefused dials until the system refuses a connection: the listener closes a moment after
// the connections are asked to.
func (f *fixture) waitUntilRefused() {
	f.Helper()
	for {
		c, err := net.DialTimeout("tcp", f.server.startup.Listen, testTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.Close()
		} else if !errors.Is(err, syscall.ECONNRESET) { // it lay in the queue as the listener closed, and nothing ran
			f.Fatal(err)
		}
	}
}

// Tasks are open until the very end; that must not keep the connections open for new ones until
// then.
func TestDrain_AsksToCloseWhileRequestsRun(t *testing.T) {
	f, client := startRunningRequest(t, func(s *config.Startup) { s.StopTimeout = 10 })
	f.server.Drain()
	client.expect("goaway\x90") // its task still runs
	f.waitUntilRefused()
	client.send("%s", requestFrame(2, "a2", "x")) // crossed that
	client.expect(answerPrefix(2) + "\x92\xa4Busy")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	client.Close()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	f.runResult <- nil
}

// Connections lie in the system's queue, with tasks on them, as the listener is to close.
func TestDrain_ConnectionsInBacklogAnswered(t *testing.T) {
	gate := make(chan struct{}, 1)
	f := startServerWith(t, func(s *config.Startup) { s.StopTimeout, s.Settings.Cores = 20, 4 }, nil, func(f *fixture) {
		f.wrapAccept = func(accept acceptFunc) acceptFunc {
			return func() (acceptedSocket, error) {
				<-gate
				return accept()
			}
		}
	})
	gate <- struct{}{}
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	other, third := f.dialClient(), f.dialClient()
	other.send("%s", requestFrame(1, "a2", "x"))
	third.send("%s%s", requestFrame(1, "a3", "x"), healthCheckFrame)
	f.server.Drain()
	client.expect("goaway\x90") // the acceptor was told to close by then, and takes nobody yet
	close(gate)
	third.expect("\xc0\x92\xc2") // not well
	if one, two := f.executor.readCommand(false), f.executor.readCommand(false); fmt.Sprint(one["msg"], " ", two["msg"]) != "begin begin" ||
		fmt.Sprint(one["call"], " ", two["call"]) != "a2 a3" && fmt.Sprint(one["call"], " ", two["call"]) != "a3 a2" { // they came before the notice
		t.Fatal(one, two)
	}
	f.waitUntilRefused()
	for i, e := range []*testConn{client, other, third} {
		f.executor.sendCompletion(i+1, fmt.Sprintf("a%d", i+1), "done", "r")
		e.expect(answerPrefix(1) + resultPrefix + "\x01r")
	}
	for _, e := range []*testConn{client, other, third} {
		e.Close()
	}
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	f.runResult <- nil
}

// The processor comes up after the notice: nothing begins, and the server ends at once.
func TestDrain_BeforeExecutorIsUp(t *testing.T) {
	f := startUnready(t, func(s *config.Startup) { s.StopTimeout, s.Settings.DrainGracePeriod = 20, 10 }, nil)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	client.expect(answerPrefix(1) + "\x92\xa4Busy")
	f.server.Drain()
	client.expect("goaway\x90")
	f.executor.send(`{"msg":"hi","how":"fresh","duration":1}` + "\n")
	client.send("%s", requestFrame(2, "a2", "x"))
	client.expect(answerPrefix(2) + "\x92\xa4Busy")
	client.Close()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 10 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	f.runResult <- nil
}

// An answer that a slow reader has not taken yet keeps its connection from being closed.
func TestGracefulClose_WaitsForUnsentAnswers(t *testing.T) {
	s := newServerWithoutLoop(30)
	s.clients.limiter.Idle(0)
	_, c, far := addLinkedClient(t, s)
	c.unsent = 100
	now := s.now()
	s.maintainConnections(now + 1) // is asked to close
	s.flush()
	for at := now + 2; at < now+5; at++ {
		if s.maintainConnections(at); peerShutDown(far) || c.closed {
			t.Fatal("closed with an answer under way")
		}
	}
	c.unsent = 0
	for at := now + 5; at < now+8; at++ {
		s.maintainConnections(at)
	}
	if !peerShutDown(far) {
		t.Error("stays for ever")
	}
}

// A server that is over dials nobody any more, nor does a pooled connection whose call is over.
func TestDial_EndsWithItsContext(t *testing.T) {
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1"}}, nil) // where nothing listens
	l := listenLoopback(t)
	never := func(context.Context) (<-chan gnet.RegisteredResult, error) { t.Error("dialled"); return nil, nil }
	ctx, giveUp := context.WithCancel(s.lifetime.context)
	giveUp()
	s.SetEndpoints(config.Addresses{Executor: l.Addr().String()})
	s.dialUntilDone(ctx, never, dialTarget{addressOf: executorAddress, handler: s.executor})
	s.stop()
	s.dialUntilDone(s.lifetime.context, never, dialTarget{addressOf: executorAddress, handler: s.executor}) // both return
}

// Servers that lost the same party at once come back to it spread out, each in its own way every
// time.
func TestDialBackoff_SpreadBySeed(t *testing.T) {
	met := map[time.Duration]int{}
	for seed := range int64(100) {
		if p := dialBackoff(seed, 20); p < 150*time.Millisecond || p > 300*time.Millisecond || p != dialBackoff(seed, 20) || dialBackoff(seed, 0) != 0 || dialBackoff(seed, -1) != 0 {
			t.Fatalf("seed %d: %v", seed, p)
		}
		met[dialBackoff(seed, 20)/(15*time.Millisecond)]++
	}
	if len(met) != 10 {
		t.Errorf("of ten parts of the time, %d are used", len(met))
	}
}

// The kill comes so long after the notice was sent, which may be heard late: the server and its
// module go by an earlier one.
func TestDrain_LateSignal(t *testing.T) {
	const late = 0.12
	for _, stop := range []float64{0.5, 4.5} {
		s := New(&config.Startup{StopTimeout: stop}, nil)
		s.decisions.controller = admission.New(1, admission.Settings{})
		sent := s.now() - min(late, 0.9*stop/10)
		s.startDrain(s.now())
		if s.drain.killAt > sent+stop || len(s.decisions.pending) != 1 || s.decisions.pending[0].Kind != admission.DrainStarted || s.now()+s.decisions.pending[0].Duration > sent+stop {
			t.Errorf("stop %g: kill at %.3f, events %+v, sent at %.3f", stop, s.drain.killAt, s.decisions.pending, sent)
		}
	}
}

// Told to leave before the processor has even accepted its link: there is nothing to answer, and
// the server ends.
func TestDrain_BeforeAnyConnection(t *testing.T) {
	l := listenLoopback(t)
	addr := l.Addr().String()
	l.Close()
	s := New(&config.Startup{Listen: addr, Addresses: config.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"}, StopTimeout: 5}, nil)
	ended := make(chan error)
	go func() { ended <- s.Run() }()
	s.Drain()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// What arrives with the word to close, or in part before it, is answered: a whole pipeline, and
// half a message.
func TestGracefulClose_CrossingRequestsAnswered(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.StopTimeout = 10 })
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	half := requestFrame(1, "b1", "x", withArrival(float64(time.Now().Unix()+20))) // after all
	other.send("%s", half[:50])
	f.server.Drain()
	client.expect("goaway\x90")
	client.send("%s%s%s", requestFrame(2, "a2", "x"), requestFrame(3, "a3", "x"), requestFrame(4, "a4", "x"))
	other.send("%s", half[50:])
	for n := range byte(3) {
		client.expect(answerPrefix(n+2) + "\x92\xa4Busy")
	}
	other.expect("goaway\x90")
	other.expect(answerPrefix(1) + "\x92\xa4Busy")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
}

// Nothing is held back by the system: TCP_NODELAY is set on all that the server accepted or
// dialled.
func TestConnections_NoDelaySet(t *testing.T) {
	f, _ := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	acceptConn(t, f.upstreamListener).expect("\r\nc\r\n")
	f.onLoop(func(s *Server) {
		for name, conn := range map[string]gnet.Conn{"balancer": s.clients.conns.AtSlot(0).conn, "processor": s.executor.conn, "catalogue": s.upstream.all[0].conn} {
			if on, err := unix.GetsockoptInt(conn.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY); on == 0 || err != nil {
				t.Errorf("%s: %d, %v", name, on, err)
			}
		}
	})
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
	executor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	executor.readCommand(true)
	if m := executor.expectCommand("answer", "a1"); m["blob"] != "ZA==" {
		t.Error(m)
	}
	executor.sendCompletion(2, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}
