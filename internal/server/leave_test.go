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

// waitUntilRefused dials until the system refuses a connection: the listener closes a moment after the connections are asked to.
func (w *fixture) waitUntilRefused() {
	w.Helper()
	for {
		c, err := net.DialTimeout("tcp", w.server.startup.Listen, testTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.Close()
		} else if !errors.Is(err, syscall.ECONNRESET) { // it lay in the queue as the listener closed, and nothing ran
			w.Fatal(err)
		}
	}
}

// Tasks are open until the very end; that must not keep the connections open for new ones until then.
func TestConnectionsAreAskedToCloseWhileTheirTasksRun(t *testing.T) {
	w, b := startRunningRequest(t, func(s *config.Startup) { s.StopTimeout = 10 })
	w.server.Drain()
	b.expect("goaway\x90") // its task still runs
	w.waitUntilRefused()
	b.send("%s", requestFrame(2, "a2", "x")) // crossed that
	b.expect(answerPrefix(2) + "\x92\xa4Busy")
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r")
	b.Close()
	if err := <-w.runResult; err != nil {
		t.Error(err)
	}
	if left := w.server.killAt - w.server.now(); left < 1 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	w.runResult <- nil
}

// Connections lie in the system's queue, with tasks on them, as the listener is to close.
func TestWhoWaitsToBeAcceptedHasAnAnswer(t *testing.T) {
	gate := make(chan struct{}, 1)
	w := startServerWith(t, func(s *config.Startup) { s.StopTimeout, s.Settings.Cores = 20, 4 }, nil, func(s *Server) {
		s.acceptBy = func(accept func() (acceptedSocket, error)) func() (acceptedSocket, error) {
			return func() (acceptedSocket, error) {
				<-gate
				return accept()
			}
		}
	})
	gate <- struct{}{}
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x"))
	w.executor.expectCommand("begin", "a1")
	c, d := w.dialClient(), w.dialClient()
	c.send("%s", requestFrame(1, "a2", "x"))
	d.send("%s%s", requestFrame(1, "a3", "x"), healthCheckFrame)
	w.server.Drain()
	b.expect("goaway\x90") // the acceptor was told to close by then, and takes nobody yet
	close(gate)
	d.expect("\xc0\x92\xc2") // not well
	if one, two := w.executor.readCommand(false), w.executor.readCommand(false); fmt.Sprint(one["msg"], " ", two["msg"]) != "begin begin" ||
		fmt.Sprint(one["call"], " ", two["call"]) != "a2 a3" && fmt.Sprint(one["call"], " ", two["call"]) != "a3 a2" { // they came before the notice
		t.Fatal(one, two)
	}
	w.waitUntilRefused()
	for i, e := range []*testConn{b, c, d} {
		w.executor.sendCompletion(i+1, fmt.Sprintf("a%d", i+1), "done", "r")
		e.expect(answerPrefix(1) + resultPrefix + "\x01r")
	}
	for _, e := range []*testConn{b, c, d} {
		e.Close()
	}
	if err := <-w.runResult; err != nil {
		t.Error(err)
	}
	w.runResult <- nil
}

// The processor comes up after the notice: nothing begins, and the server ends at once.
func TestToldToLeaveBeforeTheProcessorIsUp(t *testing.T) {
	w := startUnready(t, func(s *config.Startup) { s.StopTimeout, s.Settings.DrainGracePeriod = 20, 10 }, nil)
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x"))
	b.expect(answerPrefix(1) + "\x92\xa4Busy")
	w.server.Drain()
	b.expect("goaway\x90")
	w.executor.send(`{"msg":"hi","how":"fresh","duration":1}` + "\n")
	b.send("%s", requestFrame(2, "a2", "x"))
	b.expect(answerPrefix(2) + "\x92\xa4Busy")
	b.Close()
	if err := <-w.runResult; err != nil {
		t.Error(err)
	}
	if left := w.server.killAt - w.server.now(); left < 10 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	w.runResult <- nil
}

// An answer that a slow reader has not taken yet keeps its connection from being closed.
func TestAnswersThatAreNotOutKeepTheConnection(t *testing.T) {
	s := newServerWithoutLoop(30)
	s.connLimiter.Idle(0)
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
func TestDialsEndWithWhatTheyAreFor(t *testing.T) {
	s := New(&config.Startup{Addresses: config.Addresses{Executor: "127.0.0.9:1"}}, nil) // where nothing listens
	l := listenLoopback(t)
	never := func(context.Context) (<-chan gnet.RegisteredResult, error) { t.Error("dialled"); return nil, nil }
	ctx, giveUp := context.WithCancel(s.runContext)
	giveUp()
	s.SetEndpoints(config.Addresses{Executor: l.Addr().String()})
	s.dialUntilDone(ctx, never, executorAddress, s.executor, 0)
	s.stop()
	s.dialUntilDone(s.runContext, never, executorAddress, s.executor, 0) // both return
}

// Servers that lost the same party at once come back to it spread out, each in its own way every time.
func TestDialsSpreadOut(t *testing.T) {
	met := map[time.Duration]int{}
	for seed := range int64(100) {
		if p := dialBackoff(seed, 20); p < 150*time.Millisecond || p > 300*time.Millisecond || p != dialBackoff(seed, 20) || dialBackoff(seed, 0) != 0 || dialBackoff(seed, singleAttempt) != 0 {
			t.Fatalf("seed %d: %v", seed, p)
		}
		met[dialBackoff(seed, 20)/(15*time.Millisecond)]++
	}
	if len(met) != 10 {
		t.Errorf("of ten parts of the time, %d are used", len(met))
	}
}

// The kill comes so long after the notice was sent, which may be heard late: the server and its module go by an earlier one.
func TestANoticeThatIsHeardLate(t *testing.T) {
	const late = 0.12
	for _, stop := range []float64{0.5, 4.5} {
		s := New(&config.Startup{StopTimeout: stop}, nil)
		s.controller = admission.New(1, admission.Settings{})
		sent := s.now() - min(late, 0.9*stop/10)
		s.startDrain(s.now())
		if s.killAt > sent+stop || len(s.pendingEvents) != 1 || s.pendingEvents[0].Kind != admission.DrainStarted || s.now()+s.pendingEvents[0].Duration > sent+stop {
			t.Errorf("stop %g: kill at %.3f, events %+v, sent at %.3f", stop, s.killAt, s.pendingEvents, sent)
		}
	}
}

// Told to leave before the processor has even accepted its link: there is nothing to answer, and the server ends.
func TestToldToLeaveBeforeAnyConnection(t *testing.T) {
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

// What arrives with the word to close, or in part before it, is answered: a whole pipeline, and half a message.
func TestWhatCrossesTheWordToCloseIsAnswered(t *testing.T) {
	w := startServer(t, func(s *config.Startup) { s.StopTimeout = 10 })
	b, c := w.dialClient(), w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x"))
	w.executor.expectCommand("begin", "a1")
	half := requestFrame(1, "b1", "x", withArrival(float64(time.Now().Unix()+20))) // after all
	c.send("%s", half[:50])
	w.server.Drain()
	b.expect("goaway\x90")
	b.send("%s%s%s", requestFrame(2, "a2", "x"), requestFrame(3, "a3", "x"), requestFrame(4, "a4", "x"))
	c.send("%s", half[50:])
	for n := range byte(3) {
		b.expect(answerPrefix(n+2) + "\x92\xa4Busy")
	}
	c.expect("goaway\x90")
	c.expect(answerPrefix(1) + "\x92\xa4Busy")
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r")
}

// Nothing is held back by the system: TCP_NODELAY is set on all that the server accepted or dialled.
func TestNothingIsHeldBackOnAnyConnection(t *testing.T) {
	w, _ := startRunningRequest(t, nil)
	w.executor.sendCall(1, "a1", "c")
	acceptConn(t, w.upstreamListener).expect("\r\nc\r\n")
	w.onLoop(func(s *Server) {
		for name, c := range map[string]gnet.Conn{"balancer": s.clients.AtSlot(0).conn, "processor": s.executor.conn, "catalogue": s.upstream.all[0].conn} {
			if on, err := unix.GetsockoptInt(c.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY); on == 0 || err != nil {
				t.Errorf("%s: %d, %v", name, on, err)
			}
		}
	})
}

// A reload to the same addresses changes nothing; two in a row, to a dead one and back, lose nothing.
func TestReloadsToTheSameToADeadOneAndBack(t *testing.T) {
	w, b := startRunningRequest(t, nil)
	w.server.SetEndpoints(w.addresses())
	w.executor.sendCall(1, "a1", "c") // over the same link
	below := acceptConn(t, w.upstreamListener)
	below.expect("\r\nc\r\n")
	dead := w.addresses()
	dead.Executor, dead.Upstream = "127.0.0.9:1", "127.0.0.9:1"
	w.server.SetEndpoints(dead)
	w.server.SetEndpoints(w.addresses())
	below.send("a1 DATA 1\r\nd\r\n") // calls in hand end where they are
	p := acceptConn(t, w.executorListener)
	p.readCommand(false)
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.readCommand(true)
	if m := p.expectCommand("answer", "a1"); m["blob"] != "ZA==" {
		t.Error(m)
	}
	p.sendCompletion(2, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
}
