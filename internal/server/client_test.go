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
		name, p := s.clients.conns.Add()
		p.server, p.id = s, name
		c := &fakeSocket{fd: -1}
		c.context = p
		_ = p.handleOpen(c, "")
		if spoke {
			c.bytes = string(rpc.PutCheck(nil, 1))
			s.OnTraffic(c)
			s.flush() // its answer is out
		}
		c.bytes = requestFrame(1, "a1", "x")[:40]
		s.OnTraffic(c)
		if s.maintainConnections(s.now() + 1); c.closed {
			t.Errorf("spoke %t: closed within a second", spoke)
		}
		if s.maintainConnections(s.now() + 86400); !c.closed || s.clients.conns.Len() != 0 || s.statistics.silent != 1 {
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
	odd.expect(answerPrefix(1) + "\x92\xa7Invalid")
	odd.send("%s", strings.Replace(requestFrame(2, "b2", "x"), "acme", "acne", 1))
	odd.expect(answerPrefix(2) + "\x92\xa7Invalid")
	odd.send("%s", requestFrame(3, "b3", "x"))
	f.executor.expectCommand("begin", "b3")
	odd.send("%s", requestFrame(4, "b3", "x")) // the id of another
	odd.expect(answerPrefix(4) + "\x92\xa7Invalid")
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
	odd.expect(answerPrefix(1) + "\x92\xa7Invalid")
	good.send("\x94\x00\x01\xa6isWell\x91\x80")
	good.expect("\xc3\x80")
	for _, bad := range []*testConn{silent, half, odd} {
		if _, err := io.ReadAll(bad.in); err != nil {
			t.Errorf("instead of its end: %v", err)
		}
	}
	good.send("\x94\x00\x02\xa6isWell\x91\x80") // idle for as long
	good.expect(answerPrefix(2) + "\xc0\x92\xc3\x80")
}

func TestClientConn_NothingReadAfterClose(t *testing.T) {
	s := New(&config.Startup{
		MaxSockets:  256,
		ClassIndex:  map[string]int{"quote": 0},
		TenantIndex: map[string]int{"acme": 0},
	}, nil)
	s.loop.handle, s.decisions.controller = idleLoop{}, admission.New(1, admission.Settings{})
	for _, ends := range []bool{false, true} {
		name, p := s.clients.conns.Add()
		p.server, p.id = s, name
		c := &fakeSender{context: p, bytes: requestFrame(1, fmt.Sprint("a", ends), "x")}
		_ = p.handleOpen(c, "")
		if ends {
			p.closeNow() // the library closes it after this turn
		}
		if action := s.OnTraffic(c); (action == gnet.Close) != ends || s.requests.Len() != 1 {
			t.Errorf("ends %v: action %v, %d requests", ends, action, s.requests.Len())
		}
	}
}

func TestClientConn_BacklogBounded(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	_ = client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	check := strings.Repeat("\x94\x00\x02\xa6isWell\x91\x80", 4000)
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
