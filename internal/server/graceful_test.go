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

// Malformed input must close the connection it arrived on, but only after the requests that were read
// before are answered.
func TestMutedConnection_AnswersRequestsReadBefore(t *testing.T) {
	f := startServer(t, nil)
	client, other := f.dialClient(), f.dialClient()
	first, second := requestFrame(1, "a1", "x"), requestFrame(2, "a2", "x")
	client.send("%s%s\xc1%s", first, healthCheck(1), second) // in one write
	client.expect(healthyPayload)
	f.executor.expectCommand("begin", "a1")
	client.send("%s", requestFrame(3, "a3", "x")) // discarded
	other.send("%s\xc1", healthCheck(1))          // the malformed byte is read before the answer is written
	other.expect(healthyPayload)
	if _, err := io.ReadAll(other.in); err != nil {
		t.Errorf("error %v on the second connection; want it closed", err)
	}
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	if _, err := io.ReadAll(client.in); err != nil {
		t.Errorf("error %v on the first connection; want it closed", err)
	}
	if read := query(f, func(s *Server) int { return s.statistics.received }); read != 1 {
		t.Errorf("%d requests were received, want 1", read)
	}
}

// A client that sent malformed input and then does not read its answers must not keep its connection
// open.
func TestMutedConnection_ClosedWhenAnswersUnread(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := newServerWithoutLoop(30)
	client, socket, _ := addClientWithPeer(t, s)
	socket.outboundBytes = 100
	client.mute()
	now := s.now()
	for at := now; at < now+mutedFlushTimeoutSeconds; at += mutedFlushTimeoutSeconds / 4 {
		if s.closeMuted(at); socket.closed {
			t.Fatalf("closed %.3f s after the malformed input, with an answer unread", at-now)
		}
	}
	if s.closeMuted(now + mutedFlushTimeoutSeconds); !socket.closed || s.clients.conns.Len() != 0 {
		t.Errorf("after the flush timeout: closed %t, %d connections; want true, 0",
			socket.closed, s.clients.conns.Len())
	}
}

// Input that the client sent before it saw the half-close must be read and discarded: unread input
// would reset the connection when it is closed.
func TestLingeringConnection_DiscardsLateBytes(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, peerCloses := range []bool{true, false} {
		s := newServerWithoutLoop(30)
		client, socket, peer := addClientWithPeer(t, s)
		client.closeGracefully()
		if !peerShutDown(peer) || socket.closed || s.clients.conns.Len() != 0 {
			t.Fatalf("after the half-close: closed %t, %d clients; want half-closed only, 0",
				socket.closed, s.clients.conns.Len())
		}
		socket.bytes = requestFrame(1, "a1", "x")
		if s.OnTraffic(socket); socket.closed || s.requests.Len() != 0 || len(s.decisions.pending) != 0 {
			t.Errorf("after late input: closed %t, %d requests, events %v; want false, 0, none",
				socket.closed, s.requests.Len(), s.decisions.pending)
		}
		if peerCloses {
			s.OnClose(socket, nil)
		} else {
			s.clients.lingering[0].deadline = s.now()
			s.expireLingering()
		}
		if len(s.clients.lingering) != 0 || socket.closed == peerCloses {
			t.Errorf("peer closes %t: %d lingering connections, closed by the server %t; want 0, %t",
				peerCloses, len(s.clients.lingering), socket.closed, !peerCloses)
		}
		s.OnClose(socket, nil) // a late event from gnet
	}
}

// Lingering connections must hold a bounded number of descriptors, except in a draining server, which
// needs no descriptors for new connections.
func TestLingeringConnection_CountBounded(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, draining := range []bool{false, true} {
		s := newServerWithoutLoop(30)
		s.drain.closing = draining
		var all []*fakeSocket
		for range maxLingering + 5 {
			client, socket, _ := addClientWithPeer(t, s)
			all = append(all, socket)
			client.closeGracefully()
		}
		var closed string
		for _, socket := range all[:6] {
			closed += fmt.Sprint(socket.closed, " ")
		}
		want := "true true true true true false "
		if draining {
			want = "false false false false false false "
		}
		if closed != want {
			t.Errorf("draining %t: the oldest six are closed: %s; want %s", draining, closed, want)
		}
	}
}

func TestGracefulClose_RequestBeforeHalfCloseAnswered(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, sendsRequest := range []bool{true, false} {
		s := newServerWithoutLoop(30)
		s.clients.limiter.SetIdleTimeout(0)
		client, socket, peer := addClientWithPeer(t, s)
		id, now := client.id, s.now()
		s.applyLimiterDecisions(now + 1)
		if s.clients.limiter.State(id.Slot()) != connlimit.StateAskedToClose {
			t.Fatalf("limiter state %d, want %d (asked to close)", s.clients.limiter.State(id.Slot()),
				connlimit.StateAskedToClose)
		}
		s.flush()
		if sendsRequest {
			socket.bytes = requestFrame(1, "a1", "x")
			if _, err := unix.Write(peer, []byte(socket.bytes)); err != nil {
				t.Fatal(err)
			}
		}
		s.applyLimiterDecisions(now + 3)
		if peerShutDown(peer) == sendsRequest || (s.clients.conns.Get(id) == nil) == sendsRequest {
			t.Fatalf("sends a request %t: %d clients; want the connection half-closed only without a request",
				sendsRequest, s.clients.conns.Len())
		}
		if !sendsRequest { // late input is discarded
			socket.bytes = requestFrame(1, "a1", "x")
			if action := s.OnTraffic(socket); action != gnet.None || s.requests.Len() != 0 {
				t.Errorf("late input: action %v, %d requests; want none, 0", action, s.requests.Len())
			}
			s.clients.lingering[0].deadline = 0
			if s.expireLingering(); !socket.closed {
				t.Error("the lingering connection was not closed after its deadline")
			}
		}
		if action := s.OnTraffic(socket); sendsRequest != (action == gnet.None && s.requests.Len() == 1) {
			t.Errorf("sends a request %t: action %v, %d requests; want it read only if sent before the half-close",
				sendsRequest, action, s.requests.Len())
		}
		if !sendsRequest {
			continue
		}
		s.applyLimiterDecisions(now + 100) // does not close it, as a request is open
		s.reject(s.requests.Get("a1"), 0)
		got := fmt.Sprintf("%q", s.clients.conns.Get(id).out.Buffers())
		if s.requests.Unanswered() != 0 || s.statistics.rejected != 1 || len(got) < 10 {
			t.Errorf("%d unanswered requests, %d rejected, pending output %s; want 0, 1 and an answer",
				s.requests.Unanswered(), s.statistics.rejected, got)
		}
		if _, err := unix.Read(socket.fd, make([]byte, 4096)); err != nil { // as gnet does before OnTraffic
			t.Fatal(err)
		}
	}
}

func TestGracefulClose_ManyIdleConnections(t *testing.T) {
	const n = 1500
	f := startServer(t, func(s *config.Startup) { s.MaxSockets, s.Settings.IdleTimeout = 4000, 0.4 })
	for _, closesWhenAsked := range []bool{true, false, true} {
		idleConns := f.openIdleClients(n, closesWhenAsked)
		busy := f.dialClient()
		for i := byte(1); idleConns.Len() > 0; i = i%100 + 1 { // an active client is served meanwhile
			id := fmt.Sprintf("t%t%d", closesWhenAsked, time.Now().UnixNano())
			busy.send("%s", requestFrame(i, id, "x"))
			f.executor.expectCommand("begin", id)
			lastNotice := query(f, func(s *Server) int64 { return s.executor.lastNotice })
			f.executor.sendCompletion(int(lastNotice)+1, id, "done", "r")
			busy.expect(resultPrefix + "\x01r\x80")
		}
		_ = busy.Close()
		if asked := idleConns.GoAways.Load(); asked != n {
			t.Errorf("%d clients were asked to close, want %d", asked, n)
		}
		waitUntil(f, 0, clientCount)
	}
}

// A connection must not be closed while its client has not read an answer.
func TestGracefulClose_WaitsForUnsentAnswers(t *testing.T) {
	s := newServerWithoutLoop(30)
	s.clients.limiter.SetIdleTimeout(0)
	_, socket, peer := addClientWithPeer(t, s)
	socket.outboundBytes = 100
	now := s.now()
	s.applyLimiterDecisions(now + 1) // asks the client to close
	s.flush()
	for at := now + 2; at < now+5; at++ {
		if s.applyLimiterDecisions(at); peerShutDown(peer) || socket.closed {
			t.Fatalf("closed %.0f s after the start, with an answer unread", at-now)
		}
	}
	socket.outboundBytes = 0
	for at := now + 5; at < now+8; at++ {
		s.applyLimiterDecisions(at)
	}
	if !peerShutDown(peer) {
		t.Error("the connection was not half-closed within 3 s after the answer was read")
	}
}

// Requests that clients send before they see the request to close must be answered: several at once,
// and one whose first half arrived before.
func TestGracefulClose_CrossingRequestsAnswered(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.StopTimeout = 10 })
	client, other := f.dialClient(), f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	// The arrival time is later than that of all other requests.
	half := requestFrame(1, "b1", "x", withArrival(float64(time.Now().Unix()+20)))
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

func TestGracefulClose_IdleConnection(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.Settings.IdleTimeout = 0.05 })
	client := f.dialClient()
	client.send("%s", healthCheck(1))
	client.expect(closeRequest)
	if _, err := io.ReadAll(client.in); err != nil {
		t.Errorf("error %v after the request to close; want the connection closed", err)
	}
}
