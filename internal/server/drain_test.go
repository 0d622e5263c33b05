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

// Just before the kill our side of what is owed nothing is shut, so that nothing unread resets it
// as the process ends; what is owed an answer stays.
func TestDrain_HalfClosesBeforeKill(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := newServerWithoutLoop(30)
	s.acceptor = &acceptor{done: make(chan struct{}), wakeFD: -1}
	_, rests, restsFar := addLinkedClient(t, s)
	_, unread, unreadFar := addLinkedClient(t, s)
	unread.unsent = 100
	_, owed, owedFar := addLinkedClient(t, s)
	owed.bytes = requestFrame(1, "a1", "x")
	s.OnTraffic(owed)
	at := s.now()
	s.drain.startedAt, s.drain.killAt = at-1, at+(halfCloseMargin+exitMargin)/2 // between the two
	s.tryExit()
	restsShut, unreadShut, owedShut := peerShutDown(restsFar), peerShutDown(unreadFar), peerShutDown(owedFar)
	if !restsShut || unreadShut || owedShut || rests.closed || owed.closed || unread.closed {
		t.Errorf("at rest %t, with an answer under way %t, owed one %t", restsShut, unreadShut, owedShut)
	}
	select {
	case <-s.lifetime.stopped:
		t.Error("it ended before its time")
	default:
	}
	s.drain.killAt = s.now() + exitMargin/2
	s.tryExit()
	<-s.lifetime.stopped
}

// Accept fails for good as the server is told to drain: it ends all the same.
func TestDrain_WhileAcceptFails(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.StopTimeout = 10 }, nil, func(f *fixture) {
		f.wrapAccept = func(acceptFunc) acceptFunc {
			return func() (acceptedSocket, error) { return acceptedSocket{}, syscall.ENFILE }
		}
	})
	f.server.Drain()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	f.runResult <- nil
}

func TestDrain_DuringFlood(t *testing.T) {
	f := startServerWith(t, func(s *config.Startup) { s.MaxSockets, s.StopTimeout = 256, 8 }, guardedConfig(t, ""))
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
		t.Error(err)
	}
	if f.server.drain.killAt-f.server.now() < 0 {
		t.Error("after the kill")
	}
	f.runResult <- nil
}

func TestDrain_ThousandsOfIdleConnections(t *testing.T) {
	const n = 3000
	f := startServer(t, func(s *config.Startup) { s.MaxSockets, s.StopTimeout = 8000, 15 })
	crowd := f.holdClients(n, false) // which heeds nothing
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	f.server.Drain()
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 || f.server.clients.conns.Len() != 0 {
		t.Errorf("it ended %.3f s before the kill with %d connections", left, f.server.clients.conns.Len())
	}
	if crowd.GoAways.Load() != n {
		t.Errorf("%d of %d were asked to close", crowd.GoAways.Load(), n)
	}
	f.runResult <- nil
}

// Tasks are open until the very end; that must not keep the connections open for new ones until
// then.
func TestDrain_AsksToCloseWhileRequestsRun(t *testing.T) {
	f, client := startRunningRequest(t, func(s *config.Startup) { s.StopTimeout = 10 })
	f.server.Drain()
	client.expect(closeRequest) // its request still runs
	f.waitUntilRefused()
	client.send("%s", requestFrame(2, "a2", "x")) // crossed that
	client.expect(answerPrefix(2) + rejectedPayload)
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	_ = client.Close()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 1 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	f.runResult <- nil
}

// Connections lie in the system's queue, with requests on them, as the listener is to close.
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
	client.expect(closeRequest) // the acceptor was told to close by then, and takes nobody yet
	close(gate)
	third.expect("\xc0\x92\xc2") // not well
	one, two := f.executor.readCommand(false), f.executor.readCommand(false)
	messages, calls := fmt.Sprint(one["msg"], " ", two["msg"]), fmt.Sprint(one["call"], " ", two["call"])
	if messages != "begin begin" || calls != "a2 a3" && calls != "a3 a2" { // they came before the signal
		t.Fatal(one, two)
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
		t.Error(err)
	}
	f.runResult <- nil
}

// The executor comes up after the signal: nothing begins, and the server ends at once.
func TestDrain_BeforeExecutorIsUp(t *testing.T) {
	f := startUnready(t, func(s *config.Startup) { s.StopTimeout, s.Settings.DrainGracePeriod = 20, 10 }, nil)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	client.expect(answerPrefix(1) + rejectedPayload)
	f.server.Drain()
	client.expect(closeRequest)
	f.executor.sendUp("fresh", 1)
	client.send("%s", requestFrame(2, "a2", "x"))
	client.expect(answerPrefix(2) + rejectedPayload)
	_ = client.Close()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	if left := f.server.drain.killAt - f.server.now(); left < 10 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	f.runResult <- nil
}

// The kill comes so long after the signal was sent, which may be heard late: the server and its
// controller go by an earlier one.
func TestDrain_LateSignal(t *testing.T) {
	const late = 0.12
	for _, stop := range []float64{0.5, 4.5} {
		s := New(&config.Startup{StopTimeout: stop}, nil)
		s.decisions.controller = admission.New(1, admission.Settings{})
		sent := s.now() - min(late, 0.9*stop/10)
		s.startDrain(s.now())
		events := s.decisions.pending
		if s.drain.killAt > sent+stop || len(events) != 1 || events[0].Kind != admission.DrainStarted ||
			s.now()+events[0].Duration > sent+stop {
			t.Errorf("stop %g: kill at %.3f, events %+v, sent at %.3f", stop, s.drain.killAt, events, sent)
		}
	}
}

// Told to drain before the executor has even accepted its link: there is nothing to answer, and
// the server ends.
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
		t.Error(err)
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
	f.server.SetEndpoints(f.addresses()) // while leaving
	f.executor = acceptConn(t, f.executorListener)
	f.executor.readCommand(false)
	f.executor.sendUp("seasoned", 1)
	f.executor.readCommand(true)
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	client.expect(closeRequest)
	_ = client.Close()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	f.runResult <- nil
}

func TestDrain_SecondNoticeChangesNothing(t *testing.T) {
	s := New(&config.Startup{StopTimeout: 5}, nil)
	s.decisions.controller = admission.New(1, admission.Settings{})
	s.startDrain(s.now())
	killAt := s.drain.killAt
	s.startDrain(s.now() + 1)
	events := s.decisions.pending
	if len(events) != 1 || events[0].Kind != admission.DrainStarted || s.drain.killAt != killAt {
		t.Errorf("%+v, kill at %g, then %g", events, killAt, s.drain.killAt)
	}
}
