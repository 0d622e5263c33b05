package server

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/policy/connlimit"
)

// Bytes that are no message cost the connection they came on, and nothing that was read on it
// before.
func TestMutedConnection_AnswersRequestsReadBefore(t *testing.T) {
	f := startServer(t, nil)
	client, other := f.dialClient(), f.dialClient()
	first, second := requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x")
	client.send("%s%s\xc1%s", first, healthCheck(1), second) // all in one piece
	client.expect(healthyPayload)
	f.executor.expectCommand("begin", "a1")
	client.send("%s", requestFrame(3, "a3", "x")) // nothing of it is read any more
	other.send("%s\xc1", healthCheck(1))          // its answer is not out as the bytes are met
	other.expect(healthyPayload)
	if _, err := io.ReadAll(other.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	if _, err := io.ReadAll(client.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
	if read := query(f, func(s *Server) int { return s.statistics.received }); read != 1 {
		t.Errorf("%d requests were read", read)
	}
}

// One that sends what is no message and then takes none of its answers is closed all the same.
func TestMutedConnection_ClosedWhenAnswersUnread(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := newServerWithoutLoop(30)
	client, socket, _ := addLinkedClient(t, s)
	socket.unsent = 100
	client.mute()
	now := s.now()
	for at := now; at < now+mutedFlushTimeout; at += mutedFlushTimeout / 4 {
		if s.closeMuted(at); socket.closed {
			t.Fatal("closed with an answer under way")
		}
	}
	if s.closeMuted(now + mutedFlushTimeout); !socket.closed || s.clients.conns.Len() != 0 {
		t.Error("stays for ever")
	}
}

// What comes across a close is read to its end and thrown away: an unread byte at the close would
// reset the connection.
func TestLingeringConnection_DiscardsLateBytes(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, leaves := range []bool{true, false} {
		s := newServerWithoutLoop(30)
		client, socket, far := addLinkedClient(t, s)
		client.closeGracefully()
		if !peerShutDown(far) || socket.closed || s.clients.conns.Len() != 0 {
			t.Fatalf("closed %t, %d clients", socket.closed, s.clients.conns.Len())
		}
		socket.bytes = requestFrame(1, "a1", "x")
		if s.OnTraffic(socket); socket.closed || s.requests.Len() != 0 || len(s.decisions.pending) != 0 {
			t.Errorf("closed %t, %d requests, events %v", socket.closed, s.requests.Len(), s.decisions.pending)
		}
		if leaves {
			s.OnClose(socket, nil)
		} else {
			s.clients.lingering[0].deadline = s.now()
			s.expireLingering()
		}
		if len(s.clients.lingering) != 0 || socket.closed == leaves {
			t.Errorf("leaves %t: %d are closing, closed %t", leaves, len(s.clients.lingering), socket.closed)
		}
		s.OnClose(socket, nil) // the library's, late
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
			client, socket, _ := addLinkedClient(t, s)
			all = append(all, socket)
			client.closeGracefully()
		}
		var gone string
		for _, socket := range all[:6] {
			gone += fmt.Sprint(socket.closed, " ")
		}
		want := "true true true true true false "
		if leaves {
			want = "false false false false false false "
		}
		if gone != want {
			t.Errorf("leaves %t: of the first, closed %s", leaves, gone)
		}
	}
}

func TestGracefulClose_RequestArrivingMeanwhileIsAnswered(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, wakes := range []bool{true, false} {
		s := newServerWithoutLoop(30)
		s.clients.limiter.SetIdleTimeout(0)
		client, socket, far := addLinkedClient(t, s)
		id, now := client.id, s.now()
		s.applyLimiterDecisions(now + 1)
		if s.clients.limiter.State(id.Slot()) != connlimit.StateAskedToClose {
			t.Fatalf("state %d", s.clients.limiter.State(id.Slot()))
		}
		s.flush()
		if wakes {
			socket.bytes = requestFrame(1, "a1", "x")
			if _, err := unix.Write(far, []byte(socket.bytes)); err != nil {
				t.Fatal(err)
			}
		}
		s.applyLimiterDecisions(now + 3)
		if peerShutDown(far) == wakes || (s.clients.conns.Get(id) == nil) == wakes {
			t.Fatalf("wakes %t, and it is %d clients", wakes, s.clients.conns.Len())
		}
		if !wakes { // what crosses that is thrown away
			socket.bytes = requestFrame(1, "a1", "x")
			if action := s.OnTraffic(socket); action != gnet.None || s.requests.Len() != 0 {
				t.Errorf("action %v, %d requests", action, s.requests.Len())
			}
			s.clients.lingering[0].deadline = 0
			if s.expireLingering(); !socket.closed {
				t.Error("stays for ever")
			}
		}
		if action := s.OnTraffic(socket); wakes != (action == gnet.None && s.requests.Len() == 1) {
			t.Errorf("wakes %t: action %v, %d requests", wakes, action, s.requests.Len())
		}
		if !wakes {
			continue
		}
		s.applyLimiterDecisions(now + 100) // a request is open
		s.reject(s.requests.Get("a1"), 0)
		got := fmt.Sprintf("%q", s.clients.conns.Get(id).out.Buffers())
		if s.requests.Unanswered() != 0 || s.statistics.rejected != 1 || len(got) < 10 {
			t.Errorf("its answer: %s", got)
		}
		if _, err := unix.Read(socket.fd, make([]byte, 4096)); err != nil { // as gnet would have before OnTraffic
			t.Fatal(err)
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
			lastNotice := query(f, func(s *Server) int64 { return s.executor.lastNotice })
			f.executor.sendCompletion(int(lastNotice)+1, id, "done", "r")
			busy.expect(resultPrefix + "\x01r\x80")
		}
		_ = busy.Close()
		if asked := crowd.GoAways.Load(); asked != n {
			t.Errorf("%d of %d were asked to close", asked, n)
		}
		waitUntil(f, 0, clientCount)
	}
}

// An answer that a slow reader has not taken yet keeps its connection from being closed.
func TestGracefulClose_WaitsForUnsentAnswers(t *testing.T) {
	s := newServerWithoutLoop(30)
	s.clients.limiter.SetIdleTimeout(0)
	_, socket, far := addLinkedClient(t, s)
	socket.unsent = 100
	now := s.now()
	s.applyLimiterDecisions(now + 1) // is asked to close
	s.flush()
	for at := now + 2; at < now+5; at++ {
		if s.applyLimiterDecisions(at); peerShutDown(far) || socket.closed {
			t.Fatal("closed with an answer under way")
		}
	}
	socket.unsent = 0
	for at := now + 5; at < now+8; at++ {
		s.applyLimiterDecisions(at)
	}
	if !peerShutDown(far) {
		t.Error("stays for ever")
	}
}

// What arrives with the request to close, or in part before it, is answered: a whole pipeline, and
// half a message.
func TestGracefulClose_CrossingRequestsAnswered(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.StopTimeout = 10 })
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	half := requestFrame(1, "b1", "x", withArrival(float64(time.Now().Unix()+20))) // after all
	other.send("%s", half[:50])
	f.server.Drain()
	client.expect(closeRequest)
	client.send("%s%s%s", requestFrame(2, "a2", "x"), requestFrame(3, "a3", "x"), requestFrame(4, "a4", "x"))
	other.send("%s", half[50:])
	for n := range byte(3) {
		client.expect(answerPrefix(n+2) + rejectedPayload)
	}
	other.expect(closeRequest)
	other.expect(answerPrefix(1) + rejectedPayload)
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
}

func TestGracefulClose_SilentConnections(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.Settings.IdleTimeout = 0.05 })
	client := f.dialClient()
	client.send("%s", healthCheck(1))
	client.expect(closeRequest)
	if _, err := io.ReadAll(client.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
}
