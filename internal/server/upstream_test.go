package server

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"swiftcourse/internal/config"
)

func TestUpstreamCall_EveryOutcome(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	var below *testConn
	for _, end := range []string{"a1 LATER", "a1 NOUSE", "a1 FAULT", "a1 TOOSLOW", "", "nonsense", "\xff\x00",
		"a1 DATA 3000000000\r\nxxxxx", "a1 DATA 1\r\nlonger", strings.Repeat("x", 300)} {
		below = acceptConn(t, f.upstreamListener) // no connection carries two calls of one request
		below.expect("FETCH a1 ")
		below.expect("\r\nc\r\n")
		if below.send("%s\r\n", end); end == "" {
			_ = below.Close() // cut midway
		}
	}
	below = acceptConn(t, f.upstreamListener)
	below.expect("\r\nc\r\n")
	_ = f.upstreamListener.Close()
	_ = below.Close() // no dial gets through now
	f.executor.sendCompletion(2, "a1", "crashed", "")
	client.expect(answerPrefix(1) + failedPayload)
}

func TestUpstreamCall_MalformedReplyFailsOnlyItsCall(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	call := func(number byte, serial int) {
		id := fmt.Sprintf("a%d", number)
		client.send("%s", requestFrame(number, id, "x"))
		f.executor.expectCommand("begin", id)
		f.executor.sendCall(serial, id, "c")
	}
	call(1, 1)
	one := acceptConn(t, f.upstreamListener)
	one.expect("FETCH a1 ")
	one.expect("\r\nc\r\n")
	call(2, 2)
	two := acceptConn(t, f.upstreamListener)
	two.expect("FETCH a2 ")
	two.expect("\r\nc\r\n")
	one.send("\x00\xff noise\r\n")
	one = acceptConn(t, f.upstreamListener) // let out once more
	one.expect("FETCH a1 ")
	one.expect("\r\nc\r\n")
	two.send("a2 DATA 1\r\nd\r\n") // unharmed
	if command := f.executor.expectCommand("answer", "a2"); command["blob"] != "ZA==" {
		t.Error(command)
	}
	f.executor.sendCall(3, "a2", "e")
	again := acceptConn(t, f.upstreamListener) // not over the idle one, where a copy may still come
	again.expect("\r\ne\r\n")
	two.send("a2 DATA 1\r\nd\r\n")
	if _, err := io.ReadAll(two.in); err != nil {
		t.Errorf("after a second copy: %v", err)
	}
	again.send("zz DATA 1\r\nz\r\na2 DATA 1\r\nf\r\n")
	if command := f.executor.expectCommand("answer", "a2"); command["blob"] != "Zg==" {
		t.Error(command)
	}
	if _, err := io.ReadAll(again.in); err != nil {
		t.Errorf("after an unknown id: %v", err)
	}
	one.send("a1 DATA 1\r\ng\r\n")
	f.executor.expectCommand("answer", "a1")
	f.executor.sendCompletion(4, "a1", "done", "r")
	call(3, 5)
	one.expect("FETCH a3 ") // what kept to the order is used again
}

func TestUpstreamCall_RetriedAfterIdleConnectionBroke(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	var pooled *testConn
	for i, id := range []string{"a1", "a2"} {
		client.send("%s", requestFrame(byte(i+1), id, "x"))
		f.executor.expectCommand("begin", id)
		f.executor.sendCall(2*i+1, id, "c")
		if i == 0 {
			pooled = acceptConn(t, f.upstreamListener)
		}
		pooled.expect("FETCH " + id)
		pooled.expect("\r\nc\r\n")
		if i == 1 { // had been idle, and turns out to be forgotten
			_ = pooled.Conn.(*net.TCPConn).SetLinger(0)
			_ = pooled.Close()
			pooled = acceptConn(t, f.upstreamListener)
			pooled.expect("FETCH " + id)
			pooled.expect("\r\nc\r\n")
		}
		pooled.send("%s DATA 1\r\nd\r\n", id)
		f.executor.expectCommand("answer", id)
		f.executor.sendCompletion(2*i+2, id, "done", "r")
		client.expect(resultPrefix + "\x01r\x80")
	}
	if n := query(f, func(s *Server) int { return s.statistics.calls }); n != 2 {
		t.Errorf("the controller dispatched %d calls for 2", n)
	}
}

func TestUpstreamPool_CallsWaitForConnection(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.MaxSockets, s.Settings.Cores = 64, 32 })
	client := f.dialClient()
	most := f.server.maxUpstreamConns()
	for i := range most + 1 {
		id := fmt.Sprintf("a%d", i)
		client.send("%s", requestFrame(byte(i+1), id, "x"))
		f.executor.expectCommand("begin", id)
		f.executor.sendCall(i+1, id, "c")
	}
	pooled := acceptConn(t, f.upstreamListener)
	for range most - 1 {
		acceptConn(t, f.upstreamListener).expect("\r\nc\r\n")
	}
	id := strings.Fields(pooled.expect("\r\nc\r\n"))[1]
	pooled.send("%s DATA 1\r\nd\r\n", id)
	f.executor.expectCommand("answer", id)
	pooled.expect(fmt.Sprintf("FETCH a%d ", most))
}

func TestUpstreamCall_CancelledWhenClientGone(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	below := acceptConn(t, f.upstreamListener)
	below.expect("\r\nc\r\n")
	client.send("\x93\x02\xa6forget\x91\x01")
	if rest, err := io.ReadAll(below.in); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v, instead of the end that gives the call up", rest, err)
	}
	f.executor.sendCompletion(2, "a1", "aborted", "")
	client.send("%s", requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCompletion(3, "a2", "done", "r")
	if got := client.expect("r\x80"); got != answerPrefix(2)+resultPrefix+"\x01r\x80" {
		t.Errorf("%q", got)
	}
}
