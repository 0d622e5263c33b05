package serve

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/life"
	"swiftcourse/internal/watch"
)

func TestBadInputStaysWithItsConnection(t *testing.T) {
	w := build(t, nil)
	good, bad, odd := w.balancer(), w.balancer(), w.balancer()
	good.send("%s", frame(1, "a1", "x")[:40])
	bad.send("\xc1")
	if _, err := io.ReadAll(bad.in); err != nil {
		t.Errorf("after a malformed frame: %v", err)
	}
	odd.send("%s", strings.Replace(frame(1, "b1", "x"), "quote", "quite", 1))
	odd.expect(answerTo(1) + "\x92\xa7Invalid")
	odd.send("%s", strings.Replace(frame(2, "b2", "x"), "acme", "acne", 1))
	odd.expect(answerTo(2) + "\x92\xa7Invalid")
	odd.send("%s", frame(3, "b3", "x"))
	w.processor.wants("begin", "b3")
	odd.send("%s", frame(4, "b3", "x")) // the id of another
	odd.expect(answerTo(4) + "\x92\xa7Invalid")
	odd.send("%s", frame(3, "b4", "x")) // a message id that is open
	w.processor.complete(1, "b3", "done", "r")
	odd.expect(answerTo(3) + finished + "\x01r") // of what was read before
	if _, err := io.ReadAll(odd.in); err != nil {
		t.Errorf("after an open message id: %v", err)
	}
	good.send("%s", frame(1, "a1", "x")[40:])
	w.processor.wants("begin", "a1")
	w.processor.complete(2, "a1", "done", "r")
	good.expect(answerTo(1) + finished + "\x01r")
}

func TestWhoBringsNothingInOrderIsClosed(t *testing.T) {
	w := build(t, nil)
	silent, half, odd, good := w.balancer(), w.balancer(), w.balancer(), w.balancer()
	half.send("%s", frame(1, "a1", "x")[:40])
	odd.send("%s", frame(1, "a2", "x", came(1))) // out of range: it would teach an age of decades
	odd.expect(answerTo(1) + "\x92\xa7Invalid")
	good.send("\x94\x00\x01\xa6isWell\x91\x80")
	good.expect("\xc3\x80")
	for _, bad := range []*end{silent, half, odd} {
		if _, err := io.ReadAll(bad.in); err != nil {
			t.Errorf("instead of its end: %v", err)
		}
	}
	good.send("\x94\x00\x02\xa6isWell\x91\x80") // idle for as long
	good.expect(answerTo(2) + "\xc0\x92\xc3\x80")
}

func TestWhoOnlyHoldsConnectionsKeepsNobodyOut(t *testing.T) {
	w := build(t, func(s *life.Startup) { s.MaxSockets = 64 })
	check := "\x94\x00\x01\xa6isWell\x91\x80"
	busy := w.balancer()
	busy.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	most, _ := w.server.maxPeers()
	for range most {
		w.balancer()
		late := w.balancer()
		late.send("%s", check)
		late.expect("\xc3\x80")
		late.Close()
	}
	w.processor.complete(1, "a1", "done", "r")
	busy.expect(answerTo(1) + finished + "\x01r\x80")
}

func TestWhoIsOwedSomethingDoesNotGoForANewcomer(t *testing.T) {
	s := New(&life.Startup{Settings: choice.Settings{IdleTimeout: 30}}, nil)
	add := func(unsent bool) *peer {
		name, p := s.peers.Add()
		p.server, p.name, p.conn, p.unsent = s, name, broken{}, unsent
		s.door.Open(name.Slot(), 0)
		s.door.Tell(name.Slot(), door.Spoke, 0)
		return p
	}
	answered, silent, late := add(true), add(false), add(false)
	s.door.Tell(silent.name.Slot(), door.Spoke, 1)
	if p := s.leastWanted(late); p != silent { // an answer is on its way out to the first
		t.Errorf("%+v goes", p)
	}
	s.door.Tell(silent.name.Slot(), door.Owed, 2)
	if p := s.leastWanted(late); p != nil {
		t.Errorf("%+v goes, %+v", p, answered)
	}
}

// sending is a connection on which a task has come.
type sending struct {
	broken
	context any
	bytes   string
}

func (c *sending) Context() any { return c.context }

func (c *sending) Peek(int) ([]byte, error) { return []byte(c.bytes), nil }

func (*sending) Discard(int) (int, error) { return 0, nil }

func TestNothingIsReadFromAConnectionThatEnds(t *testing.T) {
	s := New(&life.Startup{MaxSockets: 256, ClassIndex: map[string]int{"quote": 0}, TenantIndex: map[string]int{"acme": 0}}, nil)
	s.loop, s.module = stillLoop{}, choice.New(1, choice.Settings{})
	for _, ends := range []bool{false, true} {
		name, p := s.peers.Add()
		p.server, p.name = s, name
		c := &sending{context: p, bytes: frame(1, fmt.Sprint("a", ends), "x")}
		_ = p.opened(c, "")
		if ends {
			p.end() // the library closes it after this turn
		}
		if action := s.OnTraffic(c); (action == gnet.Close) != ends || s.tasks.Len() != 1 {
			t.Errorf("ends %v: action %v, %d tasks", ends, action, s.tasks.Len())
		}
	}
}

func TestMoreThanTheProtocolsTasksOnAConnection(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	for i := range byte(maxOpen + 1) {
		b.send("%s", frame(i+1, fmt.Sprintf("a%d", i), "x"))
	}
	b.expect(answerTo(maxOpen+1) + "\x92\xa7Invalid")
}

func TestSilentConnectionsAreAskedToCloseThenClosed(t *testing.T) {
	w := build(t, func(s *life.Startup) { s.Settings.IdleTimeout = 0.05 })
	b := w.balancer()
	b.send("\x94\x00\x01\xa6isWell\x91\x80")
	b.expect("goaway\x90")
	if _, err := io.ReadAll(b.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
}

func TestAPeerThatDoesNotReadIsBounded(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	_ = b.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	check := strings.Repeat("\x94\x00\x02\xa6isWell\x91\x80", 4000)
	var err error
	for range 20000 { // far over all that the kernel and the server may hold
		if _, err = b.Write([]byte(check)); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("all was taken")
	}
}

// unread is a connection whose other side lags by more than a balancer may.
type unread struct {
	broken
	closed bool
}

func (*unread) Writev([][]byte) (int, error) { return 0, nil }

func (*unread) OutboundBuffered() int { return maxUnread + 1 }

func (c *unread) Close() error { c.closed = true; return nil }

// broken is a connection whose handling panics.
type broken struct{ gnet.Conn }

func (broken) Context() any { return broken{} }

func (broken) Peek(int) ([]byte, error) { return []byte("x"), nil }

func (broken) Close() error { return nil }

func (broken) Fd() int { return -1 }

func (broken) OutboundBuffered() int { return 0 }

func (broken) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (broken) opened(gnet.Conn, string) error { return nil }

func (broken) has(gnet.Conn) bool { return true }

func (broken) take([]byte) (int, error) { panic("by the test") }

func (broken) closed(error) {}

func TestAPanicStopsAtItsConnection(t *testing.T) {
	watch.SetOutput(t.Output())
	defer watch.SetOutput(io.Discard)
	if action := New(&life.Startup{}, nil).OnTraffic(broken{}); action != gnet.Close {
		t.Errorf("action %v", action)
	}
}
