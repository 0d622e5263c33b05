package serve

import (
	"context"
	"fmt"
	"io"

	"math"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/choice"
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/life"
	"swiftcourse/internal/standin/balancer"
	"swiftcourse/internal/watch"
	"swiftcourse/internal/wire/rpc"
)

// ask runs a question on the server's loop.
func ask[T any](w *world, question func(*Server) T) T {
	w.Helper()
	answer := make(chan T, 1)
	_ = w.server.loop.Execute(w.Context(), gnet.RunnableFunc(func(context.Context) error {
		answer <- question(w.server)
		return nil
	}))
	return <-answer
}

// becomes waits until an answer is what it should be.
func becomes[T comparable](w *world, want T, question func(*Server) T) {
	w.Helper()
	var got T
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = ask(w, question); got == want {
			return
		}
	}
	w.Fatalf("%v, not %v", got, want)
}

func conns(s *Server) int { return s.peers.Len() }

func (w *world) crowd(n int, heeds bool) *balancer.Crowd {
	w.Helper()
	c, err := balancer.Hold(w.server.start.Listen, n, heeds)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(c.Leave)
	return c
}

// alone is a server without a loop, whose turns the test takes.
func alone(idle float64) *Server {
	s := New(&life.Startup{MaxSockets: 1000, ClassIndex: map[string]int{"quote": 0}, TenantIndex: map[string]int{"acme": 0}, Settings: choice.Settings{IdleTimeout: idle}}, nil)
	s.loop, s.module = stillLoop{}, choice.New(1, choice.Settings{})
	s.alarm = time.AfterFunc(time.Hour, func() {})
	return s
}

func TestThousandsOfTimersOfOneInstantLeaveRoomForAnswers(t *testing.T) {
	s := alone(30)
	const n = 10_000
	did := 0
	for range n {
		s.timers.Schedule(s.now(), func() { did++ })
	}
	turns := 0
	for before := 0; did < n; before = did {
		_ = s.turn()
		if turns++; did-before > 100 || turns > n/maxTimers+n/200 { // some turns only bring them down to the lowest level
			t.Fatalf("%d timers in turn %d", did-before, turns)
		}
		if did < n && s.alarmAt > s.now() {
			t.Fatalf("the rest waits for %v s", s.alarmAt-s.now())
		}
	}
	if s.timers.Len() != 0 || turns < n/maxTimers {
		t.Errorf("%d turns, %d timers left", turns, s.timers.Len())
	}
}

// socket is a connection of which only the descriptor is real.
type socket struct {
	broken
	sending
	fd     int
	closed bool
	unsent int
}

func (c *socket) Context() any               { return c.sending.context }
func (c *socket) Peek(int) ([]byte, error)   { return []byte(c.sending.bytes), nil }
func (c *socket) Discard(int) (int, error)   { return 0, nil }
func (c *socket) OutboundBuffered() int      { return c.unsent }
func (c *socket) Fd() int                    { return c.fd }
func (c *socket) Close() error               { c.closed = true; return nil }
func (*socket) Writev([][]byte) (int, error) { return 0, nil }
func (c *socket) SetContext(context any)     { c.sending.context = context }

// ended tells whether the other end of a connection is read to its end: our side of it is shut, or it is closed.
func ended(fd int) bool {
	_ = unix.SetNonblock(fd, true)
	for b := make([]byte, 4096); ; {
		if n, err := unix.Read(fd, b); n <= 0 {
			return n == 0 && err == nil
		}
	}
}

func TestAConnectionThatWakesWhileItIsClosedHasItsAnswer(t *testing.T) {
	watch.SetOutput(io.Discard)
	for _, wakes := range []bool{true, false} {
		s := alone(30)
		s.door.Idle(0)
		p, c, far := linked(t, s)
		name, now := p.name, s.now()
		s.tend(now + 1)
		if s.door.State(name.Slot()) != door.Parting {
			t.Fatalf("state %d", s.door.State(name.Slot()))
		}
		s.flush()
		if wakes {
			c.sending.bytes = frame(1, "a1", "x")
			if _, err := unix.Write(far, []byte(c.sending.bytes)); err != nil {
				t.Fatal(err)
			}
		}
		s.tend(now + 3)
		if ended(far) == wakes || (s.peers.Get(name) == nil) == wakes {
			t.Fatalf("wakes %t, and it is %d peers", wakes, s.peers.Len())
		}
		if !wakes { // what crosses that is thrown away
			c.sending.bytes = frame(1, "a1", "x")
			if action := s.OnTraffic(c); action != gnet.None || s.tasks.Len() != 0 {
				t.Errorf("action %v, %d tasks", action, s.tasks.Len())
			}
			s.closing[0].until = 0
			if s.endClosing(); !c.closed {
				t.Error("stays for ever")
			}
		}
		if action := s.OnTraffic(c); wakes != (action == gnet.None && s.tasks.Len() == 1) {
			t.Errorf("wakes %t: action %v, %d tasks", wakes, action, s.tasks.Len())
		}
		if !wakes {
			continue
		}
		s.tend(now + 100) // a task is open
		s.reject(s.tasks.Get("a1"), 0, false)
		if got := fmt.Sprintf("%q", s.peers.Get(name).out.Buffers()); s.tasks.Unanswered() != 0 || s.counts.rejected != 1 || len(got) < 10 {
			t.Errorf("its answer: %s", got)
		}
		if _, err := unix.Read(c.fd, make([]byte, 4096)); err != nil { // as gnet would have before OnTraffic
			t.Fatal(err)
		}
	}
}

func TestHalfAMessageAndADaysSilence(t *testing.T) {
	watch.SetOutput(io.Discard)
	for _, spoke := range []bool{false, true} {
		s := alone(1e9)
		name, p := s.peers.Add()
		p.server, p.name = s, name
		c := &socket{fd: -1}
		c.sending.context = p
		_ = p.opened(c, "")
		if spoke {
			c.sending.bytes = string(rpc.PutCheck(nil, 1))
			s.OnTraffic(c)
			s.flush() // its answer is out
		}
		c.sending.bytes = frame(1, "a1", "x")[:40]
		s.OnTraffic(c)
		if s.tend(s.now() + 1); c.closed {
			t.Errorf("spoke %t: closed within a second", spoke)
		}
		if s.tend(s.now() + 86400); !c.closed || s.peers.Len() != 0 || s.counts.unspoken != 1 {
			t.Errorf("spoke %t: not closed after a day", spoke)
		}
	}
}

func TestAStormOfReconnectsAfterAMassClose(t *testing.T) {
	const n = 1500
	w := build(t, func(s *life.Startup) { s.MaxSockets, s.Settings.IdleTimeout = 4000, 0.4 })
	for _, heeds := range []bool{true, false, true} {
		crowd := w.crowd(n, heeds)
		busy := w.balancer()
		for i := byte(1); crowd.Len() > 0; i = i%100 + 1 { // a busy one goes on meanwhile
			id := fmt.Sprintf("t%t%d", heeds, time.Now().UnixNano())
			busy.send("%s", frame(i, id, "x"))
			w.processor.wants("begin", id)
			w.processor.complete(int(ask(w, func(s *Server) int64 { return s.processor.noticed }))+1, id, "done", "r")
			busy.expect(finished + "\x01r\x80")
		}
		busy.Close()
		if asked := crowd.Asked.Load(); asked != n {
			t.Errorf("%d of %d were asked to close", asked, n)
		}
		becomes(w, 0, conns)
	}
}

func TestADrainWithThousandsOfIdleConnectionsEndsByItself(t *testing.T) {
	const n = 3000
	w := build(t, func(s *life.Startup) { s.MaxSockets, s.StopTimeout = 8000, 15 })
	crowd := w.crowd(n, false) // which heeds nothing
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	w.server.Leave()
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r")
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	if left := w.server.killAt - w.server.now(); left < 1 || w.server.peers.Len() != 0 {
		t.Errorf("it ended %.3f s before the kill with %d connections", left, w.server.peers.Len())
	}
	if crowd.Asked.Load() != n {
		t.Errorf("%d of %d were asked to close", crowd.Asked.Load(), n)
	}
	w.ended <- nil
}

func TestIdleConnectionsOutliveAReload(t *testing.T) {
	const n = 500
	w := build(t, func(s *life.Startup) { s.MaxSockets = 4000 })
	crowd := w.crowd(n, true)
	w.processors = listen(t)
	w.server.Move(w.addresses())
	w.processor = accept(t, w.processors)
	w.processor.command(false)
	w.processor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	w.processor.command(true)
	if got := ask(w, func(s *Server) int { return s.door.Count(door.Known) }); got != n || crowd.Len() != n {
		t.Errorf("%d known, %d stand", got, crowd.Len())
	}
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
	crowd.Leave()
	b.Close()
	becomes(w, "0 peers, 0 known, 0 busy, 0 buffers, next never", func(s *Server) string {
		next := "never"
		if !math.IsInf(s.door.Next(), 1) && s.door.Next() > s.now() {
			next = "ahead"
		}
		return fmt.Sprintf("%d peers, %d known, %d busy, %d buffers, next %s", s.peers.Len(), s.door.Count(door.Known), s.door.Count(door.Busy),
			s.pool.InUse, next)
	})
	if timers := ask(w, func(s *Server) int { return s.timers.Len() }); timers > 10 {
		t.Errorf("%d timers left", timers)
	}
}

func TestTheMostConnectionsFollowFromDescriptorsAndMemory(t *testing.T) {
	for _, c := range []struct {
		sockets   int
		memory    int64
		want      int
		becauseOf string
	}{{512, 64 << 20, 352, "descriptors"}, {384, 48 << 20, 256, "descriptors"}, {20000, 192 << 20, 19712, "descriptors"},
		{20000, 48 << 20, 48 << 20 / 4 / idleCost, "memory"}} {
		s := New(&life.Startup{MaxSockets: c.sockets, MemoryBytes: c.memory}, nil)
		if most, by := s.maxPeers(); most != c.want || by != c.becauseOf {
			t.Errorf("%d descriptors, %d bytes: %d by %s", c.sockets, c.memory, most, by)
		}
	}
}
