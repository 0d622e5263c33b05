package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/wire/rpc"
)

func TestClientConn_ClosedAfterPartialMessage(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, sentBefore := range []bool{false, true} {
		s := newServerWithoutLoop(1e9)
		id, client := s.clients.conns.Add()
		client.server, client.id = s, id
		socket := &fakeSocket{fd: -1}
		socket.context = client
		_ = client.handleOpen(socket, "")
		if sentBefore {
			socket.bytes = string(rpc.AppendHealthCheck(nil, 1))
			s.OnTraffic(socket)
			s.flush() // writes the answer
		}
		socket.bytes = requestFrame(1, "a1", "x")[:40]
		s.OnTraffic(socket)
		if s.applyLimiterDecisions(s.now() + 1); socket.closed {
			t.Errorf("complete message before %t: closed within a second", sentBefore)
		}
		s.applyLimiterDecisions(s.now() + 86400)
		if !socket.closed || s.clients.conns.Len() != 0 || s.statistics.silent != 1 {
			t.Errorf("complete message before %t: after a day closed %t, %d connections, %d counted as silent; "+
				"want true, 0, 1", sentBefore, socket.closed, s.clients.conns.Len(), s.statistics.silent)
		}
	}
}

func TestProtocolError_AffectsOnlyItsConnection(t *testing.T) {
	f := startServer(t, nil)
	good, bad, invalid := f.dialClient(), f.dialClient(), f.dialClient()
	good.send("%s", requestFrame(1, "a1", "x")[:40])
	bad.send("\xc1")
	if _, err := io.ReadAll(bad.in); err != nil {
		t.Errorf("after a malformed frame: %v; want the connection closed", err)
	}
	invalid.send("%s", strings.Replace(requestFrame(1, "b1", "x"), "quote", "quite", 1))
	invalid.expect(answerPrefix(1) + invalidPayload)
	invalid.send("%s", strings.Replace(requestFrame(2, "b2", "x"), "acme", "acne", 1))
	invalid.expect(answerPrefix(2) + invalidPayload)
	invalid.send("%s", requestFrame(3, "b3", "x"))
	f.executor.expectCommand("begin", "b3")
	invalid.send("%s", requestFrame(4, "b3", "x")) // the request ID of another request
	invalid.expect(answerPrefix(4) + invalidPayload)
	invalid.send("%s", requestFrame(3, "b4", "x")) // a message ID whose request is open
	f.executor.sendCompletion(1, "b3", "done", "r")
	invalid.expect(answerPrefix(3) + resultPrefix + "\x01r") // the request read before the error is answered
	if _, err := io.ReadAll(invalid.in); err != nil {
		t.Errorf("after a message ID that was still open: %v; want the connection closed", err)
	}
	good.send("%s", requestFrame(1, "a1", "x")[40:])
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(2, "a1", "done", "r")
	good.expect(answerPrefix(1) + resultPrefix + "\x01r")
}

func TestClientConn_ClosedWithoutValidMessage(t *testing.T) {
	f := startServer(t, nil)
	silent, half, invalid, good := f.dialClient(), f.dialClient(), f.dialClient(), f.dialClient()
	half.send("%s", requestFrame(1, "a1", "x")[:40])
	invalid.send("%s", requestFrame(1, "a2", "x", withArrival(1))) // an arrival time decades ago: out of range
	invalid.expect(answerPrefix(1) + invalidPayload)
	good.send("%s", healthCheck(1))
	good.expect("\xc3\x80")
	for _, bad := range []*testConn{silent, half, invalid} {
		if _, err := io.ReadAll(bad.in); err != nil {
			t.Errorf("error %v; want the connection closed", err)
		}
	}
	good.send("%s", healthCheck(2)) // has been idle for as long, but sent a valid message
	good.expect(answerPrefix(2) + healthyPayload + "\x80")
}

func TestClientConn_InputIgnoredAfterClose(t *testing.T) {
	s := New(&config.Startup{
		MaxSockets:  256,
		ClassIndex:  map[string]int{"quote": 0},
		TenantIndex: map[string]int{"acme": 0},
	}, nil)
	s.loop.handle, s.decisions.controller = discardingLoop{}, admission.New(1, admission.Settings{})
	for _, closed := range []bool{false, true} {
		id, client := s.clients.conns.Add()
		client.server, client.id = s, id
		socket := &fakeInputConn{context: client, bytes: requestFrame(1, fmt.Sprint("a", closed), "x")}
		_ = client.handleOpen(socket, "")
		if closed {
			client.closeNow() // gnet closes the descriptor after this turn
		}
		if action := s.OnTraffic(socket); (action == gnet.Close) != closed || s.requests.Len() != 1 {
			t.Errorf("closed %v: action %v, %d requests; want gnet.Close only if closed, and 1 request",
				closed, action, s.requests.Len())
		}
	}
}

func TestClientConn_ClosedForLargeBacklog(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	_ = client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	check := strings.Repeat(healthCheck(2), 4000)
	var err error
	for range 20000 { // far more than the kernel and the server may buffer
		if _, err = client.Write([]byte(check)); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("all writes succeeded; want the server to close a connection whose client does not read")
	}
}

func TestPanic_ClosesOnlyItsConnection(t *testing.T) {
	logging.SetOutput(t.Output())
	defer logging.SetOutput(io.Discard)
	if action := New(&config.Startup{}, nil).OnTraffic(panickingConn{}); action != gnet.Close {
		t.Errorf("action %v after a panic, want gnet.Close", action)
	}
}

// gnet closes a connection only after the turn in which the close was requested. Events that it
// reports until then must not affect the next connection in the same slot.
func TestClientConn_LateEventsIgnored(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := newServerWithoutLoop(30)
	closed, closedSocket, _ := addClientWithPeer(t, s)
	closed.closeNow()
	next, nextSocket, _ := addClientWithPeer(t, s)
	if closed != next {
		t.Fatalf("the connections have slots %d and %d, want the slot reused", closed.slot(), next.slot())
	}
	closedSocket.bytes = requestFrame(1, "a1", "x")
	if action := s.OnTraffic(closedSocket); action != gnet.Close || s.requests.Len() != 0 {
		t.Errorf("late input: action %v, %d requests; want gnet.Close, 0", action, s.requests.Len())
	}
	s.OnClose(closedSocket, nil)
	if s.clients.conns.Len() != 1 || next.state != connReading || nextSocket.closed {
		t.Errorf("after a late close: %d clients, the second is %s, closed %t; want 1, reading, false",
			s.clients.conns.Len(), next.state, nextSocket.closed)
	}
	next.closeNow()
	next.handleClose(nil) // ignored, as the connection is already closed
	if s.clients.conns.Len() != 0 || next.state != connClosed {
		t.Errorf("after the close: %d clients, state %s; want 0, closed", s.clients.conns.Len(), next.state)
	}
}
