package server

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/config"
)

func TestEveryEndOfACall(t *testing.T) {
	w, b := startRunningRequest(t, nil)
	w.executor.sendCall(1, "a1", "c")
	var below *testConn
	for _, end := range []string{"a1 LATER", "a1 NOUSE", "a1 FAULT", "a1 TOOSLOW", "", "nonsense", "\xff\x00",
		"a1 DATA 3000000000\r\nxxxxx", "a1 DATA 1\r\nlonger", strings.Repeat("x", 300)} {
		below = acceptConn(t, w.upstreamListener) // no connection carries two calls of one task
		below.expect("FETCH a1 ")
		below.expect("\r\nc\r\n")
		if below.send("%s\r\n", end); end == "" {
			below.Close() // cut midway
		}
	}
	below = acceptConn(t, w.upstreamListener)
	below.expect("\r\nc\r\n")
	w.upstreamListener.Close()
	below.Close() // no dial gets through now
	w.executor.sendCompletion(2, "a1", "crashed", "")
	b.expect(answerPrefix(1) + "\x92\xa6Failed")
}

func TestASpoiltReplyCostsItsCallAlone(t *testing.T) {
	w := startServer(t, nil)
	b := w.dialClient()
	call := func(number byte, serial int) {
		task := fmt.Sprintf("a%d", number)
		b.send("%s", requestFrame(number, task, "x"))
		w.executor.expectCommand("begin", task)
		w.executor.sendCall(serial, task, "c")
	}
	call(1, 1)
	one := acceptConn(t, w.upstreamListener)
	one.expect("FETCH a1 ")
	one.expect("\r\nc\r\n")
	call(2, 2)
	two := acceptConn(t, w.upstreamListener)
	two.expect("FETCH a2 ")
	two.expect("\r\nc\r\n")
	one.send("\x00\xff noise\r\n")
	one = acceptConn(t, w.upstreamListener) // let out once more
	one.expect("FETCH a1 ")
	one.expect("\r\nc\r\n")
	two.send("a2 DATA 1\r\nd\r\n") // unharmed
	if m := w.executor.expectCommand("answer", "a2"); m["blob"] != "ZA==" {
		t.Error(m)
	}
	w.executor.sendCall(3, "a2", "e")
	again := acceptConn(t, w.upstreamListener) // not over the idle one, where a copy may still come
	again.expect("\r\ne\r\n")
	two.send("a2 DATA 1\r\nd\r\n")
	if _, err := io.ReadAll(two.in); err != nil {
		t.Errorf("after a second copy: %v", err)
	}
	again.send("zz DATA 1\r\nz\r\na2 DATA 1\r\nf\r\n")
	if m := w.executor.expectCommand("answer", "a2"); m["blob"] != "Zg==" {
		t.Error(m)
	}
	if _, err := io.ReadAll(again.in); err != nil {
		t.Errorf("after an unknown id: %v", err)
	}
	one.send("a1 DATA 1\r\ng\r\n")
	w.executor.expectCommand("answer", "a1")
	w.executor.sendCompletion(4, "a1", "done", "r")
	call(3, 5)
	one.expect("FETCH a3 ") // what kept to the order is used again
}

func TestACallOverAForgottenConnectionGoesOutOnceMore(t *testing.T) {
	w := startServer(t, nil)
	b := w.dialClient()
	var pooled *testConn
	for i, task := range []string{"a1", "a2"} {
		b.send("%s", requestFrame(byte(i+1), task, "x"))
		w.executor.expectCommand("begin", task)
		w.executor.sendCall(2*i+1, task, "c")
		if i == 0 {
			pooled = acceptConn(t, w.upstreamListener)
		}
		pooled.expect("FETCH " + task)
		pooled.expect("\r\nc\r\n")
		if i == 1 { // had been idle, and turns out to be forgotten
			_ = pooled.Conn.(*net.TCPConn).SetLinger(0)
			pooled.Close()
			pooled = acceptConn(t, w.upstreamListener)
			pooled.expect("FETCH " + task)
			pooled.expect("\r\nc\r\n")
		}
		pooled.send("%s DATA 1\r\nd\r\n", task)
		w.executor.expectCommand("answer", task)
		w.executor.sendCompletion(2*i+2, task, "done", "r")
		b.expect(resultPrefix + "\x01r\x80")
	}
	calls := make(chan int)
	_ = w.server.loop.Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
		calls <- w.server.statistics.calls
		return nil
	}))
	if n := <-calls; n != 2 {
		t.Errorf("the module let out %d calls for 2", n)
	}
}

func TestCallsWaitForAPooledConnection(t *testing.T) {
	w := startServer(t, func(s *config.Startup) { s.MaxSockets, s.Settings.Cores = 64, 32 })
	b := w.dialClient()
	most := w.server.maxUpstreamConns()
	for i := range most + 1 {
		task := fmt.Sprintf("a%d", i)
		b.send("%s", requestFrame(byte(i+1), task, "x"))
		w.executor.expectCommand("begin", task)
		w.executor.sendCall(i+1, task, "c")
	}
	pooled := acceptConn(t, w.upstreamListener)
	for range most - 1 {
		acceptConn(t, w.upstreamListener).expect("\r\nc\r\n")
	}
	task := strings.Fields(pooled.expect("\r\nc\r\n"))[1]
	pooled.send("%s DATA 1\r\nd\r\n", task)
	w.executor.expectCommand("answer", task)
	pooled.expect(fmt.Sprintf("FETCH a%d ", most))
}

func TestForgottenAndItsCallGivenUp(t *testing.T) {
	w, b := startRunningRequest(t, nil)
	w.executor.sendCall(1, "a1", "c")
	below := acceptConn(t, w.upstreamListener)
	below.expect("\r\nc\r\n")
	b.send("\x93\x02\xa6forget\x91\x01")
	if rest, err := io.ReadAll(below.in); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v, instead of the end that gives the call up", rest, err)
	}
	w.executor.sendCompletion(2, "a1", "aborted", "")
	b.send("%s", requestFrame(2, "a2", "x"))
	w.executor.expectCommand("begin", "a2")
	w.executor.sendCompletion(3, "a2", "done", "r")
	if got := b.expect("r\x80"); got != answerPrefix(2)+resultPrefix+"\x01r\x80" {
		t.Errorf("%q", got)
	}
}
