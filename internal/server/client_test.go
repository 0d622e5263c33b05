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

func TestClientConn_PartialMessageThenSilence(t *testing.T) {
	logging.SetOutput(io.Discard)
	for _, spoke := range []bool{false, true} {
		s := newServerWithoutLoop(1e9)
		id, client := s.clients.conns.Add()
		client.server, client.id = s, id
		socket := &fakeSocket{fd: -1}
		socket.context = client
		_ = client.handleOpen(socket, "")
		if spoke {
			socket.bytes = string(rpc.AppendHealthCheck(nil, 1))
			s.OnTraffic(socket)
			s.flush() // its answer is out
		}
		socket.bytes = requestFrame(1, "a1", "x")[:40]
		s.OnTraffic(socket)
		if s.applyLimiterDecisions(s.now() + 1); socket.closed {
			t.Errorf("spoke %t: closed within a second", spoke)
		}
		s.applyLimiterDecisions(s.now() + 86400)
		if !socket.closed || s.clients.conns.Len() != 0 || s.statistics.silent != 1 {
			t.Errorf("spoke %t: not closed after a day", spoke)
		}
	}
}

func TestProtocolError_AffectsOnlyItsConnection(t *testing.T) {
	f := startServer(t, nil)
	good, bad, odd := f.dialClient(), f.dialClient(), f.dialClient()
	good.send("%s", requestFrame(1, "a1", "x")[:40])
	bad.send("\xc1")
	if _, err := io.ReadAll(bad.in); err != nil {
		t.Errorf("after a malformed frame: %v", err)
	}
	odd.send("%s", strings.Replace(requestFrame(1, "b1", "x"), "quote", "quite", 1))
	odd.expect(answerPrefix(1) + invalidPayload)
	odd.send("%s", strings.Replace(requestFrame(2, "b2", "x"), "acme", "acne", 1))
	odd.expect(answerPrefix(2) + invalidPayload)
	odd.send("%s", requestFrame(3, "b3", "x"))
	f.executor.expectCommand("begin", "b3")
	odd.send("%s", requestFrame(4, "b3", "x")) // the id of another
	odd.expect(answerPrefix(4) + invalidPayload)
	odd.send("%s", requestFrame(3, "b4", "x")) // a message id that is open
	f.executor.sendCompletion(1, "b3", "done", "r")
	odd.expect(answerPrefix(3) + resultPrefix + "\x01r") // of what was read before
	if _, err := io.ReadAll(odd.in); err != nil {
		t.Errorf("after an open message id: %v", err)
	}
	good.send("%s", requestFrame(1, "a1", "x")[40:])
	f.executor.expectCommand("begin", "a1")
	f.executor.sendCompletion(2, "a1", "done", "r")
	good.expect(answerPrefix(1) + resultPrefix + "\x01r")
}

func TestClientConn_WithoutValidMessageClosed(t *testing.T) {
	f := startServer(t, nil)
	silent, half, odd, good := f.dialClient(), f.dialClient(), f.dialClient(), f.dialClient()
	half.send("%s", requestFrame(1, "a1", "x")[:40])
	odd.send("%s", requestFrame(1, "a2", "x", withArrival(1))) // out of range: it would teach an age of decades
	odd.expect(answerPrefix(1) + invalidPayload)
	good.send("%s", healthCheck(1))
	good.expect("\xc3\x80")
	for _, bad := range []*testConn{silent, half, odd} {
		if _, err := io.ReadAll(bad.in); err != nil {
			t.Errorf("instead of its end: %v", err)
		}
	}
	good.send("%s", healthCheck(2)) // idle for as long
	good.expect(answerPrefix(2) + healthyPayload + "\x80")
}

func TestClientConn_NothingReadAfterClose(t *testing.T) {
	s := New(&config.Startup{
		MaxSockets:  256,
		ClassIndex:  map[string]int{"quote": 0},
		TenantIndex: map[string]int{"acme": 0},
	}, nil)
	s.loop.handle, s.decisions.controller = idleLoop{}, admission.New(1, admission.Settings{})
	for _, ends := range []bool{false, true} {
		id, client := s.clients.conns.Add()
		client.server, client.id = s, id
		socket := &fakeSender{context: client, bytes: requestFrame(1, fmt.Sprint("a", ends), "x")}
		_ = client.handleOpen(socket, "")
		if ends {
			client.closeNow() // the library closes it after this turn
		}
		if action := s.OnTraffic(socket); (action == gnet.Close) != ends || s.requests.Len() != 1 {
			t.Errorf("ends %v: action %v, %d requests", ends, action, s.requests.Len())
		}
	}
}

func TestClientConn_BacklogBounded(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	_ = client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	check := strings.Repeat(healthCheck(2), 4000)
	var err error
	for range 20000 { // far over all that the kernel and the server may hold
		if _, err = client.Write([]byte(check)); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("all was taken")
	}
}

func TestPanic_ClosesOnlyItsConnection(t *testing.T) {
	logging.SetOutput(t.Output())
	defer logging.SetOutput(io.Discard)
	if action := New(&config.Startup{}, nil).OnTraffic(brokenConn{}); action != gnet.Close {
		t.Errorf("action %v", action)
	}
}

// gnet closes a connection after the turn in which that was asked for. What it reports until then
// must not reach the next connection in the same slot.
func TestClientConn_LateEventsIgnored(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := newServerWithoutLoop(30)
	closed, closedSocket, _ := addLinkedClient(t, s)
	closed.closeNow()
	next, nextSocket, _ := addLinkedClient(t, s)
	if closed != next {
		t.Fatal("the slot was not used again")
	}
	closedSocket.bytes = requestFrame(1, "a1", "x")
	if action := s.OnTraffic(closedSocket); action != gnet.Close || s.requests.Len() != 0 {
		t.Errorf("late bytes: action %v, %d requests", action, s.requests.Len())
	}
	s.OnClose(closedSocket, nil)
	if s.clients.conns.Len() != 1 || next.state != connReading || nextSocket.closed {
		t.Errorf("%d clients, the next one is %s, closed %t", s.clients.conns.Len(), next.state, nextSocket.closed)
	}
	next.closeNow()
	next.handleClose(nil) // a second time: it is closed already
	if s.clients.conns.Len() != 0 || next.state != connClosed {
		t.Errorf("%d clients, it is %s", s.clients.conns.Len(), next.state)
	}
}
