package server

import (
	"context"
	"fmt"
	"io"

	"math"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/standin/balancer"
	"swiftcourse/internal/wire/rpc"
)

// query runs a question on the server's loop.
func query[T any](f *fixture, question func(*Server) T) T {
	f.Helper()
	answer := make(chan T, 1)
	_ = f.server.loop.handle.Execute(f.Context(), gnet.RunnableFunc(func(context.Context) error {
		answer <- question(f.server)
		return nil
	}))
	return <-answer
}

// waitUntil waits until an answer is what it should be.
func waitUntil[T comparable](f *fixture, want T, question func(*Server) T) {
	f.Helper()
	var got T
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = query(f, question); got == want {
			return
		}
	}
	f.Fatalf("%v, not %v", got, want)
}

func clientCount(s *Server) int { return s.clients.conns.Len() }

func (f *fixture) holdClients(n int, heeds bool) *balancer.Crowd {
	f.Helper()
	c, err := balancer.Hold(f.server.startup.Listen, n, heeds)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(c.Leave)
	return c
}

// newServerWithoutLoop is a server without a loop, whose turns the test takes.
func newServerWithoutLoop(idle float64) *Server {
	s := New(&config.Startup{MaxSockets: 1000, ClassIndex: map[string]int{"quote": 0}, TenantIndex: map[string]int{"acme": 0}, Settings: admission.Settings{IdleTimeout: idle}}, nil)
	s.loop.handle, s.decisions.controller = idleLoop{}, admission.New(1, admission.Settings{})
	s.loop.wakeup = time.AfterFunc(time.Hour, func() {})
	return s
}

func TestTurn_BoundsTimers(t *testing.T) {
	s := newServerWithoutLoop(30)
	const n = 10_000
	did := 0
	for range n {
		s.loop.timers.Schedule(s.now(), func() { did++ })
	}
	turns := 0
	for before := 0; did < n; before = did {
		_ = s.runTurn()
		if turns++; did-before > 100 || turns > n/maxTimersPerTurn+n/200 { // some turns only bring them down to the lowest level
			t.Fatalf("%d timers in turn %d", did-before, turns)
		}
		if did < n && s.loop.wakeupAt > s.now() {
			t.Fatalf("the rest waits for %v s", s.loop.wakeupAt-s.now())
		}
	}
	if s.loop.timers.Len() != 0 || turns < n/maxTimersPerTurn {
		t.Errorf("%d turns, %d timers left", turns, s.loop.timers.Len())
	}
}

// fakeSocket is a connection of which only the descriptor is real.
type fakeSocket struct {
	brokenConn
	fakeSender
	fd     int
	closed bool
	unsent int
}

func (c *fakeSocket) Context() any               { return c.fakeSender.context }
func (c *fakeSocket) Peek(int) ([]byte, error)   { return []byte(c.fakeSender.bytes), nil }
func (c *fakeSocket) Discard(int) (int, error)   { return 0, nil }
func (c *fakeSocket) OutboundBuffered() int      { return c.unsent }
func (c *fakeSocket) Fd() int                    { return c.fd }
func (c *fakeSocket) Close() error               { c.closed = true; return nil }
func (*fakeSocket) Writev([][]byte) (int, error) { return 0, nil }
func (c *fakeSocket) SetContext(context any)     { c.fakeSender.context = context }

// peerShutDown tells whether the other end of a connection is read to its end: our side of it is
// shut, or it is closed.
func peerShutDown(fd int) bool {
	_ = unix.SetNonblock(fd, true)
	for b := make([]byte, 4096); ; {
		if n, err := unix.Read(fd, b); n <= 0 {
			return n == 0 && err == nil
		}
	}
}

func TestGracefulClose_RequestArrivingMeanwhileIsAnswered(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, wakes := range []bool{true, false} {
		s := newServerWithoutLoop(30)
		s.clients.limiter.Idle(0)
		p, c, far := addLinkedClient(t, s)
		name, now := p.id, s.now()
		s.maintainConnections(now + 1)
		if s.clients.limiter.State(name.Slot()) != connlimit.Parting {
			t.Fatalf("state %d", s.clients.limiter.State(name.Slot()))
		}
		s.flush()
		if wakes {
			c.fakeSender.bytes = requestFrame(1, "a1", "x")
			if _, err := unix.Write(far, []byte(c.fakeSender.bytes)); err != nil {
				t.Fatal(err)
			}
		}
		s.maintainConnections(now + 3)
		if peerShutDown(far) == wakes || (s.clients.conns.Get(name) == nil) == wakes {
			t.Fatalf("wakes %t, and it is %d peers", wakes, s.clients.conns.Len())
		}
		if !wakes { // what crosses that is thrown away
			c.fakeSender.bytes = requestFrame(1, "a1", "x")
			if action := s.OnTraffic(c); action != gnet.None || s.requests.Len() != 0 {
				t.Errorf("action %v, %d tasks", action, s.requests.Len())
			}
			s.clients.lingering[0].deadline = 0
			if s.expireLingering(); !c.closed {
				t.Error("stays for ever")
			}
		}
		if action := s.OnTraffic(c); wakes != (action == gnet.None && s.requests.Len() == 1) {
			t.Errorf("wakes %t: action %v, %d tasks", wakes, action, s.requests.Len())
		}
		if !wakes {
			continue
		}
		s.maintainConnections(now + 100) // a task is open
		s.reject(s.requests.Get("a1"), 0, false)
		if got := fmt.Sprintf("%q", s.clients.conns.Get(name).out.Buffers()); s.requests.Unanswered() != 0 || s.statistics.rejected != 1 || len(got) < 10 {
			t.Errorf("its answer: %s", got)
		}
		if _, err := unix.Read(c.fd, make([]byte, 4096)); err != nil { // as gnet would have before OnTraffic
			t.Fatal(err)
		}
	}
}

func TestClientConn_PartialMessageThenSilence(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, spoke := range []bool{false, true} {
		s := newServerWithoutLoop(1e9)
		name, p := s.clients.conns.Add()
		p.server, p.id = s, name
		c := &fakeSocket{fd: -1}
		c.fakeSender.context = p
		_ = p.handleOpen(c, "")
		if spoke {
			c.fakeSender.bytes = string(rpc.PutCheck(nil, 1))
			s.OnTraffic(c)
			s.flush() // its answer is out
		}
		c.fakeSender.bytes = requestFrame(1, "a1", "x")[:40]
		s.OnTraffic(c)
		if s.maintainConnections(s.now() + 1); c.closed {
			t.Errorf("spoke %t: closed within a second", spoke)
		}
		if s.maintainConnections(s.now() + 86400); !c.closed || s.clients.conns.Len() != 0 || s.statistics.silent != 1 {
			t.Errorf("spoke %t: not closed after a day", spoke)
		}
	}
}

func TestGracefulClose_ReconnectStorm(t *testing.T) {
	const n = 1500
	f := startServer(t, func(s *config.Startup) { s.MaxSockets, s.Settings.IdleTimeout = 4000, 0.4 })
	for _, heeds := range []bool{true, false, true} {
		crowd := f.holdClients(n, heeds)
		busy := f.dialClient()
		for i := byte(1); crowd.Len() > 0; i = i%100 + 1 { // a busy one goes on meanwhile
			id := fmt.Sprintf("t%t%d", heeds, time.Now().UnixNano())
			busy.send("%s", requestFrame(i, id, "x"))
			f.executor.expectCommand("begin", id)
			f.executor.sendCompletion(int(query(f, func(s *Server) int64 { return s.executor.lastNotice }))+1, id, "done", "r")
			busy.expect(resultPrefix + "\x01r\x80")
		}
		busy.Close()
		if asked := crowd.Asked.Load(); asked != n {
			t.Errorf("%d of %d were asked to close", asked, n)
		}
		waitUntil(f, 0, clientCount)
	}
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
	if crowd.Asked.Load() != n {
		t.Errorf("%d of %d were asked to close", crowd.Asked.Load(), n)
	}
	f.runResult <- nil
}

func TestReload_IdleConnectionsStay(t *testing.T) {
	const n = 500
	f := startServer(t, func(s *config.Startup) { s.MaxSockets = 4000 })
	crowd := f.holdClients(n, true)
	f.executorListener = listenLoopback(t)
	f.server.SetEndpoints(f.addresses())
	f.executor = acceptConn(t, f.executorListener)
	f.executor.readCommand(false)
	f.executor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	f.executor.readCommand(true)
	if got := query(f, func(s *Server) int { return s.clients.limiter.Count(connlimit.Known) }); got != n || crowd.Len() != n {
		t.Errorf("%d known, %d stand", got, crowd.Len())
	}
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r\x80")
	crowd.Leave()
	client.Close()
	waitUntil(f, "0 peers, 0 known, 0 busy, 0 buffers, next never", func(s *Server) string {
		next := "never"
		if !math.IsInf(s.clients.limiter.Next(), 1) && s.clients.limiter.Next() > s.now() {
			next = "ahead"
		}
		return fmt.Sprintf("%d peers, %d known, %d busy, %d buffers, next %s", s.clients.conns.Len(), s.clients.limiter.Count(connlimit.Known), s.clients.limiter.Count(connlimit.Busy),
			s.output.buffers.InUse, next)
	})
	if timers := query(f, func(s *Server) int { return s.loop.timers.Len() }); timers > 10 {
		t.Errorf("%d timers left", timers)
	}
}

func TestMaxClients_FromDescriptorsAndMemory(t *testing.T) {
	for _, c := range []struct {
		sockets   int
		memory    int64
		want      int
		becauseOf string
	}{{512, 64 << 20, 352, "descriptors"}, {384, 48 << 20, 256, "descriptors"}, {20000, 192 << 20, 19712, "descriptors"},
		{20000, 48 << 20, 48 << 20 / 4 / idleConnBytes, "memory"}} {
		s := New(&config.Startup{MaxSockets: c.sockets, MemoryBytes: c.memory}, nil)
		if most, by := s.maxClients(); most != c.want || by != c.becauseOf {
			t.Errorf("%d descriptors, %d bytes: %d by %s", c.sockets, c.memory, most, by)
		}
	}
}
