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
	var upstreamPeer *testConn
	for _, reply := range []string{"a1 LATER", "a1 NOUSE", "a1 FAULT", "a1 TOOSLOW", "", "nonsense", "\xff\x00",
		"a1 DATA 3000000000\r\nxxxxx", "a1 DATA 1\r\nlonger", strings.Repeat("x", 300)} {
		upstreamPeer = acceptConn(t, f.upstreamListener) // no connection carries two calls of one request
		upstreamPeer.expect("FETCH a1 ")
		upstreamPeer.expect("\r\nc\r\n")
		if upstreamPeer.send("%s\r\n", reply); reply == "" {
			_ = upstreamPeer.Close() // in the middle of the reply
		}
	}
	upstreamPeer = acceptConn(t, f.upstreamListener)
	upstreamPeer.expect("\r\nc\r\n")
	_ = f.upstreamListener.Close()
	_ = upstreamPeer.Close() // no further dial can succeed
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
	first := acceptConn(t, f.upstreamListener)
	first.expect("FETCH a1 ")
	first.expect("\r\nc\r\n")
	call(2, 2)
	second := acceptConn(t, f.upstreamListener)
	second.expect("FETCH a2 ")
	second.expect("\r\nc\r\n")
	first.send("\x00\xff noise\r\n")
	first = acceptConn(t, f.upstreamListener) // the controller dispatches the call again
	first.expect("FETCH a1 ")
	first.expect("\r\nc\r\n")
	second.send("a2 DATA 1\r\nd\r\n") // not affected
	if command := f.executor.expectCommand("answer", "a2"); command["blob"] != "ZA==" {
		t.Errorf("command %v, want blob ZA==", command)
	}
	f.executor.sendCall(3, "a2", "e")
	// Not over the idle connection, where a duplicate of the first reply may still arrive.
	again := acceptConn(t, f.upstreamListener)
	again.expect("\r\ne\r\n")
	second.send("a2 DATA 1\r\nd\r\n")
	if _, err := io.ReadAll(second.in); err != nil {
		t.Errorf("error %v after a duplicate reply; want the connection closed", err)
	}
	again.send("zz DATA 1\r\nz\r\na2 DATA 1\r\nf\r\n")
	if command := f.executor.expectCommand("answer", "a2"); command["blob"] != "Zg==" {
		t.Errorf("command %v, want blob Zg==", command)
	}
	if _, err := io.ReadAll(again.in); err != nil {
		t.Errorf("error %v after a reply with an unknown ID; want the connection closed", err)
	}
	first.send("a1 DATA 1\r\ng\r\n")
	f.executor.expectCommand("answer", "a1")
	f.executor.sendCompletion(4, "a1", "done", "r")
	call(3, 5)
	first.expect("FETCH a3 ") // the connection with a correct reply is reused
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
		if i == 1 { // the upstream drops the connection that was idle
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
		t.Errorf("the controller dispatched %d calls, want 2", n)
	}
}

func TestUpstreamPool_CallsWaitForConnection(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.MaxSockets, s.Settings.Cores = 64, 32 })
	client := f.dialClient()
	limit := f.server.maxUpstreamConns()
	for i := range limit + 1 {
		id := fmt.Sprintf("a%d", i)
		client.send("%s", requestFrame(byte(i+1), id, "x"))
		f.executor.expectCommand("begin", id)
		f.executor.sendCall(i+1, id, "c")
	}
	pooled := acceptConn(t, f.upstreamListener)
	for range limit - 1 {
		acceptConn(t, f.upstreamListener).expect("\r\nc\r\n")
	}
	id := strings.Fields(pooled.expect("\r\nc\r\n"))[1]
	pooled.send("%s DATA 1\r\nd\r\n", id)
	f.executor.expectCommand("answer", id)
	pooled.expect(fmt.Sprintf("FETCH a%d ", limit))
}

func TestUpstreamCall_CancelledWhenClientGone(t *testing.T) {
	f, client := startRunningRequest(t, nil)
	f.executor.sendCall(1, "a1", "c")
	upstreamPeer := acceptConn(t, f.upstreamListener)
	upstreamPeer.expect("\r\nc\r\n")
	client.send("\x93\x02\xa6forget\x91\x01")
	if rest, err := io.ReadAll(upstreamPeer.in); err != nil || len(rest) > 0 {
		t.Errorf("read %q, error %v; want the connection closed to cancel the call", rest, err)
	}
	f.executor.sendCompletion(2, "a1", "aborted", "")
	client.send("%s", requestFrame(2, "a2", "x"))
	f.executor.expectCommand("begin", "a2")
	f.executor.sendCompletion(3, "a2", "done", "r")
	if got := client.expect("r\x80"); got != answerPrefix(2)+resultPrefix+"\x01r\x80" {
		t.Errorf("got %q, want only the result of message 2", got)
	}
}
