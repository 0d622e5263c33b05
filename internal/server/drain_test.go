package server

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
)

// Just before the kill the server must half-close the connections without an open request or pending
// output: if it did not, input that is unread when the process ends would reset them. Connections
// with pending answers must stay open.
func TestDrain_HalfClosesBeforeKill(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := newServerWithoutLoop(30)
	s.acceptor = &acceptor{done: make(chan struct{}), wakeFD: -1}
	_, idle, idlePeer := addClientWithPeer(t, s)
	_, unread, unreadPeer := addClientWithPeer(t, s)
	unread.outboundBytes = 100
	_, active, activePeer := addClientWithPeer(t, s)
	active.bytes = requestFrame(1, "a1", "x")
	s.OnTraffic(active)
	at := s.now()
	// The time is now between the half-close and the exit.
	s.drain.startedAt, s.drain.killAt = at-1, at+(halfCloseMarginSeconds+exitMarginSeconds)/2
	s.tryExit()
	idleShut, unreadShut, activeShut := peerShutDown(idlePeer), peerShutDown(unreadPeer), peerShutDown(activePeer)
	if !idleShut || unreadShut || activeShut || idle.closed || active.closed || unread.closed {
		t.Errorf("half-closed: idle %t, with unread output %t, with an open request %t; want true, false, false; "+
			"closed: %t, %t, %t; want none",
			idleShut, unreadShut, activeShut, idle.closed, unread.closed, active.closed)
	}
	select {
	case <-s.lifetime.stopped:
		t.Error("the server exited before the exit margin")
	default:
	}
	s.drain.killAt = s.now() + exitMarginSeconds/2
	s.tryExit()
	<-s.lifetime.stopped
}

// The server must exit in time even if every accept fails during the drain.
func TestDrain_WhileAcceptFails(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.StopTimeout = 10 }, nil, func(f *fixture) {
		f.wrapAccept = func(acceptFunc) acceptFunc {
			return func() (acceptedSocket, error) { return acceptedSocket{}, syscall.ENFILE }
		}
	})
	f.server.Drain()
	if err := <-f.runResult; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 {
		t.Errorf("the server exited %.3f s before the kill, want at least 1 s", left)
	}
	f.runResult <- nil
}

func TestDrain_DuringConnectionFlood(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.MaxSockets, s.StopTimeout = 256, 8 }, connLimitConfig(t, ""))
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	f.floodWithConnections(ctx, "127.6")
	f.server.Drain()
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	if err := <-f.runResult; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
	if f.server.drain.killAt-f.server.now() < 0 {
		t.Errorf("the server exited %.3f s after the time of the kill, want before it",
			f.server.now()-f.server.drain.killAt)
	}
	f.runResult <- nil
}

func TestDrain_ThousandsOfIdleConnections(t *testing.T) {
	const n = 3000
	f := startServer(t, func(s *config.Startup) { s.MaxSockets, s.StopTimeout = 8000, 15 })
	idleConns := f.openIdleClients(n, false) // the clients ignore requests to close
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	f.server.Drain()
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	if err := <-f.runResult; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 || f.server.clients.conns.Len() != 0 {
		t.Errorf("the server exited %.3f s before the kill with %d connections; want at least 1 s, 0",
			left, f.server.clients.conns.Len())
	}
	if idleConns.GoAways.Load() != n {
		t.Errorf("%d clients were asked to close, want %d", idleConns.GoAways.Load(), n)
	}
	f.runResult <- nil
}

// Even if requests run until the kill, clients must be asked early to send no new ones, and the
// listener must close early.
func TestDrain_AsksToCloseWhileRequestsRun(t *testing.T) {
	f, client := startRunningRequest(t, func(s *config.Startup) { s.StopTimeout = 10 })
	f.server.Drain()
	client.expect(closeRequest) // while its request still runs
	f.waitUntilRefused()
	client.send("%s", requestFrame(2, "a2", "x")) // sent before the client saw the request to close
	client.expect(answerPrefix(2) + rejectedPayload)
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	_ = client.Close()
	if err := <-f.runResult; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 {
		t.Errorf("the server exited %.3f s before the kill, want at least 1 s", left)
	}
	f.runResult <- nil
}

// Connections that wait in the system's queue when the listener is about to close must be accepted,
// and the requests on them answered.
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
	third.send("%s%s", requestFrame(1, "a3", "x"), healthCheck(1))
	f.server.Drain()
	client.expect(closeRequest) // by now the acceptor was told to close, but accept is still blocked
	close(gate)
	third.expect("\xc0\x92\xc2") // unhealthy
	one, two := f.executor.readCommand(false), f.executor.readCommand(false)
	messages, calls := fmt.Sprint(one["msg"], " ", two["msg"]), fmt.Sprint(one["call"], " ", two["call"])
	if messages != "begin begin" || calls != "a2 a3" && calls != "a3 a2" { // they arrived before the signal
		t.Fatalf("commands %v and %v, want the starts of a2 and a3", one, two)
	}
	f.waitUntilRefused()
	for i, e := range []*testConn{client, other, third} {
		f.executor.sendCompletion(i+1, fmt.Sprintf("a%d", i+1), "done", "r")
		e.expect(answerPrefix(1) + resultPrefix + "\x01r")
	}
	for _, e := range []*testConn{client, other, third} {
		_ = e.Close()
	}
	if err := <-f.runResult; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
	f.runResult <- nil
}

// If the executor comes up only after the signal, no request must start, and the server must exit at
// once.
func TestDrain_BeforeExecutorIsUp(t *testing.T) {
	f := startBeforeExecutorUp(t, func(s *config.Startup) { s.StopTimeout, s.Settings.DrainGracePeriod = 20, 10 }, nil)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	client.expect(answerPrefix(1) + rejectedPayload)
	f.server.Drain()
	client.expect(closeRequest)
	f.executor.sendFirstMessage("fresh", 1)
	client.send("%s", requestFrame(2, "a2", "x"))
	client.expect(answerPrefix(2) + rejectedPayload)
	_ = client.Close()
	if err := <-f.runResult; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 10 {
		t.Errorf("the server exited %.3f s before the kill, want at least 10 s", left)
	}
	f.runResult <- nil
}

// The stop timeout counts from the moment the signal was sent, but the server may handle the signal
// late. The server and its controller must therefore expect the kill early enough.
func TestDrain_SignalHandledLate(t *testing.T) {
	const late = 0.12
	for _, stop := range []float64{0.5, 4.5} {
		s := New(&config.Startup{StopTimeout: stop}, nil)
		s.decisions.controller = admission.New(1, admission.Settings{})
		sent := s.now() - min(late, 0.9*stop/10)
		s.startDrain(s.now())
		events := s.decisions.pending
		if s.drain.killAt > sent+stop || len(events) != 1 || events[0].Kind != admission.DrainStarted ||
			s.now()+events[0].Duration > sent+stop {
			t.Errorf("stop timeout %g s: kill expected at %.3f, events %+v; want DrainStarted, and the kill by %.3f",
				stop, s.drain.killAt, events, sent+stop)
		}
	}
}

// If the server is drained before the executor has accepted its link, there is nothing to answer, and
// the server must exit.
func TestDrain_BeforeAnyConnection(t *testing.T) {
	listener := listenLoopback(t)
	addr := listener.Addr().String()
	_ = listener.Close()
	s := New(&config.Startup{
		Listen:      addr,
		Addresses:   config.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"},
		StopTimeout: 5,
	}, nil)
	ended := make(chan error)
	go func() { ended <- s.Run() }()
	s.Drain()
	if err := <-ended; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
}

func TestDrain_AnswersAllAndExits(t *testing.T) {
	f, client := startRunningRequest(t, func(s *config.Startup) { s.StopTimeout = 10 })
	f.server.Drain()
	for report := range f.registry.Reports() {
		if !report.Accepting {
			break
		}
	}
	f.executorListener = listenLoopback(t)
	f.server.SetEndpoints(f.addresses()) // during the drain
	f.executor.readCommand(true)         // answers, so that the link is handed over
	f.executor = f.acceptResumedLink()
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	client.expect(closeRequest)
	_ = client.Close()
	if err := <-f.runResult; err != nil {
		t.Errorf("Run returned error %v, want nil", err)
	}
	f.runResult <- nil
}

func TestDrain_SecondSignalIgnored(t *testing.T) {
	s := New(&config.Startup{StopTimeout: 5}, nil)
	s.decisions.controller = admission.New(1, admission.Settings{})
	s.startDrain(s.now())
	killAt := s.drain.killAt
	s.startDrain(s.now() + 1)
	events := s.decisions.pending
	if len(events) != 1 || events[0].Kind != admission.DrainStarted || s.drain.killAt != killAt {
		t.Errorf("events %+v, kill at %g after the first signal and %g after the second; "+
			"want one DrainStarted, the same time", events, killAt, s.drain.killAt)
	}
}
