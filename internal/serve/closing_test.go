package serve

import (
	"fmt"
	"io"
	"testing"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/watch"
)

// linked adds a balancer's connection whose far end is in the test's hands.
func linked(t *testing.T, s *Server) (p *peer, c *socket, far int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(pair[0]); unix.Close(pair[1]) })
	name, p := s.peers.Add()
	p.server, p.name = s, name
	c = &socket{fd: pair[0]}
	c.sending.context = p
	if err := p.opened(c, ""); err != nil {
		t.Fatal(err)
	}
	s.door.Tell(name.Slot(), door.Spoke, s.now())
	return p, c, pair[1]
}

// Bytes that are no message cost the connection they came on, and nothing that was read on it before.
func TestWhatIsNoMessageCostsNothingReadBefore(t *testing.T) {
	w := build(t, nil)
	b, c := w.balancer(), w.balancer()
	b.send("%s%s\xc1%s", frame(1, "a1", "x"), isWell, frame(2, "a2", "x")) // all in one piece
	b.expect("\xc0\x92\xc3")
	w.processor.wants("begin", "a1")
	b.send("%s", frame(3, "a3", "x")) // nothing of it is read any more
	c.send("%s\xc1", isWell)          // its answer is not out as the bytes are met
	c.expect("\xc0\x92\xc3")
	if _, err := io.ReadAll(c.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r")
	if _, err := io.ReadAll(b.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
	if read := ask(w, func(s *Server) int { return s.counts.read }); read != 1 {
		t.Errorf("%d tasks were read", read)
	}
}

// One that sends what is no message and then takes none of its answers is closed all the same.
func TestWhoIsMutedAndDoesNotReadIsClosed(t *testing.T) {
	watch.SetOutput(io.Discard)
	s := alone(30)
	p, c, _ := linked(t, s)
	c.unsent = 100
	p.mute()
	now := s.now()
	for at := now; at < now+flushFor; at += flushFor / 4 {
		if s.tendMuted(at); c.closed {
			t.Fatal("closed with an answer under way")
		}
	}
	if s.tendMuted(now + flushFor); !c.closed || s.peers.Len() != 0 {
		t.Error("stays for ever")
	}
}

// What comes across a close is read to its end and thrown away: an unread byte at the close would reset the connection.
func TestNothingIsLeftUnreadByAClose(t *testing.T) {
	watch.SetOutput(io.Discard)
	for _, leaves := range []bool{true, false} {
		s := alone(30)
		p, c, far := linked(t, s)
		p.shutDown()
		if !ended(far) || c.closed || s.peers.Len() != 0 {
			t.Fatalf("closed %t, %d peers", c.closed, s.peers.Len())
		}
		c.sending.bytes = frame(1, "a1", "x")
		if s.OnTraffic(c); c.closed || s.tasks.Len() != 0 || len(s.events) != 0 {
			t.Errorf("closed %t, %d tasks, events %v", c.closed, s.tasks.Len(), s.events)
		}
		if leaves {
			s.OnClose(c, nil)
		} else {
			s.closing[0].until = s.now()
			s.endClosing()
		}
		if len(s.closing) != 0 || c.closed == leaves {
			t.Errorf("leaves %t: %d are closing, closed %t", leaves, len(s.closing), c.closed)
		}
		s.OnClose(c, nil) // the library's, late
	}
}

// Connections that close hold few descriptors, but in a server that leaves, which needs none.
func TestFewConnectionsCloseAtATime(t *testing.T) {
	watch.SetOutput(io.Discard)
	for _, leaves := range []bool{false, true} {
		s := alone(30)
		s.parting = leaves
		var all []*socket
		for range maxClosing + 5 {
			p, c, _ := linked(t, s)
			all = append(all, c)
			p.shutDown()
		}
		var gone string
		for _, c := range all[:6] {
			gone += fmt.Sprint(c.closed, " ")
		}
		want := map[bool]string{false: "true true true true true false ", true: "false false false false false false "}[leaves]
		if gone != want {
			t.Errorf("leaves %t: of the first, closed %s", leaves, gone)
		}
	}
}

// Just before the kill our side of what is owed nothing is shut, so that nothing unread resets it as the process ends; what is owed an answer stays.
func TestOurSideIsShutBeforeTheKill(t *testing.T) {
	watch.SetOutput(io.Discard)
	s := alone(30)
	s.acceptor = &acceptor{ended: make(chan struct{}), bell: -1}
	_, rests, restsFar := linked(t, s)
	_, unread, unreadFar := linked(t, s)
	unread.unsent = 100
	_, owed, owedFar := linked(t, s)
	owed.sending.bytes = frame(1, "a1", "x")
	s.OnTraffic(owed)
	at := s.now()
	s.drainAt, s.killAt = at-1, at+(shutBefore+exitBefore)/2 // between the two
	s.tryExit()
	if !ended(restsFar) || ended(unreadFar) || ended(owedFar) || rests.closed || owed.closed || unread.closed {
		t.Errorf("at rest %t, with an answer under way %t, owed one %t", ended(restsFar), ended(unreadFar), ended(owedFar))
	}
	select {
	case <-s.finished:
		t.Error("it ended before its time")
	default:
	}
	s.killAt = s.now() + exitBefore/2
	s.tryExit()
	<-s.finished
}
