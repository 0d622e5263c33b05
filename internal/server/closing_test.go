package server

import (
	"fmt"
	"io"
	"testing"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
)

// addLinkedClient adds a balancer's connection whose far end is in the test's hands.
func addLinkedClient(t *testing.T, s *Server) (p *clientConn, c *fakeSocket, far int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(pair[0]); unix.Close(pair[1]) })
	name, p := s.clients.conns.Add()
	p.server, p.id = s, name
	c = &fakeSocket{fd: pair[0]}
	c.fakeSender.context = p
	if err := p.handleOpen(c, ""); err != nil {
		t.Fatal(err)
	}
	s.clients.limiter.Tell(name.Slot(), connlimit.Spoke, s.now())
	return p, c, pair[1]
}

// Bytes that are no message cost the connection they came on, and nothing that was read on it
// before.
func TestMutedConnection_AnswersRequestsReadBefore(t *testing.T) {
	f := startServer(t, nil)
	client, other := f.dialClient(), f.dialClient()
	client.send("%s%s\xc1%s", requestFrame(1, "a1", "x"), healthCheckFrame, requestFrame(2, "a2", "x")) // all in one piece
	client.expect("\xc0\x92\xc3")
	f.executor.expectCommand("begin", "a1")
	client.send("%s", requestFrame(3, "a3", "x")) // nothing of it is read any more
	other.send("%s\xc1", healthCheckFrame)        // its answer is not out as the bytes are met
	other.expect("\xc0\x92\xc3")
	if _, err := io.ReadAll(other.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	if _, err := io.ReadAll(client.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
	if read := query(f, func(s *Server) int { return s.statistics.received }); read != 1 {
		t.Errorf("%d tasks were read", read)
	}
}

// One that sends what is no message and then takes none of its answers is closed all the same.
func TestMutedConnection_ClosedWhenAnswersUnread(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := newServerWithoutLoop(30)
	p, c, _ := addLinkedClient(t, s)
	c.unsent = 100
	p.mute()
	now := s.now()
	for at := now; at < now+mutedFlushTimeout; at += mutedFlushTimeout / 4 {
		if s.maintainMuted(at); c.closed {
			t.Fatal("closed with an answer under way")
		}
	}
	if s.maintainMuted(now + mutedFlushTimeout); !c.closed || s.clients.conns.Len() != 0 {
		t.Error("stays for ever")
	}
}

// What comes across a close is read to its end and thrown away: an unread byte at the close would
// reset the connection.
func TestLingeringConnection_DiscardsLateBytes(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, leaves := range []bool{true, false} {
		s := newServerWithoutLoop(30)
		p, c, far := addLinkedClient(t, s)
		p.closeGracefully()
		if !peerShutDown(far) || c.closed || s.clients.conns.Len() != 0 {
			t.Fatalf("closed %t, %d peers", c.closed, s.clients.conns.Len())
		}
		c.fakeSender.bytes = requestFrame(1, "a1", "x")
		if s.OnTraffic(c); c.closed || s.requests.Len() != 0 || len(s.decisions.pending) != 0 {
			t.Errorf("closed %t, %d tasks, events %v", c.closed, s.requests.Len(), s.decisions.pending)
		}
		if leaves {
			s.OnClose(c, nil)
		} else {
			s.clients.lingering[0].deadline = s.now()
			s.expireLingering()
		}
		if len(s.clients.lingering) != 0 || c.closed == leaves {
			t.Errorf("leaves %t: %d are closing, closed %t", leaves, len(s.clients.lingering), c.closed)
		}
		s.OnClose(c, nil) // the library's, late
	}
}

// Connections that close hold few descriptors, but in a server that leaves, which needs none.
func TestLingeringConnection_CountBounded(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, leaves := range []bool{false, true} {
		s := newServerWithoutLoop(30)
		s.drain.closing = leaves
		var all []*fakeSocket
		for range maxLingering + 5 {
			p, c, _ := addLinkedClient(t, s)
			all = append(all, c)
			p.closeGracefully()
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
	owed.fakeSender.bytes = requestFrame(1, "a1", "x")
	s.OnTraffic(owed)
	at := s.now()
	s.drain.startedAt, s.drain.killAt = at-1, at+(halfCloseMargin+exitMargin)/2 // between the two
	s.tryExit()
	if !peerShutDown(restsFar) || peerShutDown(unreadFar) || peerShutDown(owedFar) || rests.closed || owed.closed || unread.closed {
		t.Errorf("at rest %t, with an answer under way %t, owed one %t", peerShutDown(restsFar), peerShutDown(unreadFar), peerShutDown(owedFar))
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
