package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/config"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/standin/catalogue"
	"swiftcourse/internal/standin/roster"
	wirecatalogue "swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/rpc"
)

// testTimeout is how long the tests wait for what must come; nothing is asserted of how soon it does.
const testTimeout = 20 * time.Second

// fixture is a server on loopback with stand-ins for all that it speaks with, written from their pages.
type fixture struct {
	*testing.T
	server                             *Server
	runResult                          chan error
	executorListener, upstreamListener net.Listener
	registry                           *roster.Roster
	executor                           *testConn
}

// testConn is the stand-in's end of a connection.
type testConn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func listenLoopback(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.9:0") // not where dials come from, whose ports could clash
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func acceptConn(t *testing.T, l net.Listener) *testConn {
	t.Helper()
	if err := l.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newTestConn(t, c)
}

func newTestConn(t *testing.T, c net.Conn) *testConn {
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &testConn{t, c, bufio.NewReader(c)}
}

func (e *testConn) send(format string, a ...any) {
	e.t.Helper()
	if _, err := fmt.Fprintf(e, format, a...); err != nil {
		e.t.Fatal(err)
	}
}

// expect reads up to and with the text.
func (e *testConn) expect(text string) string {
	e.t.Helper()
	var got []byte
	for !bytes.HasSuffix(got, []byte(text)) {
		b, err := e.in.ReadByte()
		if err != nil {
			e.t.Fatalf("%v; got %q, not yet %q", err, got, text)
		}
		got = append(got, b)
	}
	return string(got)
}

// readCommand reads the processor's next command; questions for the gauges are answered by the way, and end it
// where a fence is asked for.
func (e *testConn) readCommand(fence bool) map[string]any {
	e.t.Helper()
	for {
		var m map[string]any
		if err := json.Unmarshal([]byte(e.expect("\n")), &m); err != nil {
			e.t.Fatal(err)
		}
		if m["msg"] != "usage" {
			return m
		}
		e.send(`{"msg":"used","cookie":"%s","stats":[0.5,3]}`+"\n", m["cookie"])
		if fence && strings.HasPrefix(m["cookie"].(string), "fence") {
			return m
		}
	}
}

func (e *testConn) expectCommand(msg, call string) map[string]any {
	e.t.Helper()
	m := e.readCommand(false)
	if m["msg"] != msg || m["call"] != call {
		e.t.Fatalf("got %v, want %s %s", m, msg, call)
	}
	return m
}

// startServer starts a server; change alters what it is told.
func startServer(t *testing.T, change func(*config.Startup)) *fixture {
	return startServerWith(t, change, nil)
}

// startServerWith is build with an operator's file.
func startServerWith(t *testing.T, change func(*config.Startup), conf *config.OperatorSettings, prepare ...func(*Server)) *fixture {
	w := startUnready(t, change, conf, prepare...)
	w.executor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	if report := <-w.registry.Reports(); !report.Takes {
		t.Fatalf("first report %+v", report)
	}
	return w
}

// startUnready starts a server whose processor has accepted its link and is not up yet.
func startUnready(t *testing.T, change func(*config.Startup), conf *config.OperatorSettings, prepare ...func(*Server)) *fixture {
	logging.SetOutput(t.Output())
	w := &fixture{T: t, runResult: make(chan error, 1), executorListener: listenLoopback(t), upstreamListener: listenLoopback(t), registry: newFakeRegistry(t)}
	front := listenLoopback(t)
	addr := front.Addr().String()
	front.Close()
	start := &config.Startup{Name: "n1", Listen: addr, Addresses: w.addresses(), StopTimeout: 4, MaxSockets: 256, MemoryBytes: 64 << 20,
		ClassIndex: map[string]int{"quote": 0}, TenantIndex: map[string]int{"acme": 0}, ClassNames: []string{"quote"},
		Gauges: []string{"cpu_busy", "runnable"},
		Settings: admission.Settings{Cores: 2, Servers: 1, Clients: 1, Concurrency: admission.ConcurrencySettings{PerCore: 8, Window: 1}, Memory: admission.MemorySettings{Limit: 1e6, RunningFactor: 1},
			Downstream: admission.DownstreamSettings{Kind: admission.ServerTier}, DeadlinePropagation: true, IdleTimeout: 30, DrainGracePeriod: 0.1, DeadlineTolerance: 0.05,
			Tenants: []admission.Tenant{{Rate: 1000}},
			Classes: []admission.Class{{SoftDeadline: 30, Timeout: 60, Value: 1, LateValue: 1, CallsDownstream: true}}}}
	if change != nil {
		change(start)
	}
	w.server = New(start, conf)
	for _, p := range prepare {
		p(w.server)
	}
	go func() { w.runResult <- w.server.Run() }()
	w.executor = acceptConn(t, w.executorListener)
	if hello := w.executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 0.0 {
		t.Fatalf("first line %v", hello)
	}
	t.Cleanup(func() {
		w.server.stop()
		<-w.runResult
		logging.SetOutput(io.Discard)
	})
	return w
}

// startRunningRequest is a server on which a balancer's task a1, message 1 of its connection, runs.
func startRunningRequest(t *testing.T, change func(*config.Startup)) (*fixture, *testConn) {
	w := startServer(t, change)
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x"))
	w.executor.expectCommand("begin", "a1")
	return w, b
}

func (w *fixture) addresses() config.Addresses {
	return config.Addresses{Executor: w.executorListener.Addr().String(), Registry: w.registry.Addr(),
		Upstream: w.upstreamListener.Addr().String()}
}

// newFakeRegistry hangs up after each report, at times before its answer.
func newFakeRegistry(t *testing.T) *roster.Roster {
	r, err := roster.Start("127.0.0.9:0", func(n int) roster.Manner {
		return []roster.Manner{roster.HangUp, roster.Mute}[n%2]
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func (w *fixture) dialClient() *testConn {
	w.Helper()
	c, err := net.DialTimeout("tcp", w.server.startup.Listen, testTimeout)
	if err != nil {
		w.Fatal(err)
	}
	return newTestConn(w.T, c)
}

// requestFrame is a task as a balancer writes it.
func requestFrame(number byte, call, body string, change ...func(*rpc.Message)) string {
	m := &rpc.Message{Number: uint64(number), ID: call, Stage: "quote", Tenant: "acme", Caller: 1, Came: float64(time.Now().UnixMilli()) / 1000,
		Wait: 30, Memory: 1, Rank: 0.5, Body: []byte(body)}
	for _, c := range change {
		c(m)
	}
	return string(rpc.PutTask(nil, m))
}

func withTimeout(seconds float64) func(*rpc.Message) {
	return func(m *rpc.Message) { m.Wait = seconds }
}

func withSubject(row string) func(*rpc.Message) { return func(m *rpc.Message) { m.Subject = row } }

func withArrival(at float64) func(*rpc.Message) { return func(m *rpc.Message) { m.Came = at } }

const resultPrefix = "\xc0\x92\xc4" // no error, and a result of under 256 bytes

func answerPrefix(number byte) string { return string([]byte{0x94, 1, number}) }

func (e *testConn) sendCompletion(serial int, call, how, result string) {
	e.t.Helper()
	e.send(`{"msg":"complete","serial":%d,"call":"%s","how":"%s","duration":5,"blob":"%s"}`+"\n", serial, call, how,
		base64.StdEncoding.EncodeToString([]byte(result)))
}

func (e *testConn) sendCall(serial int, call, body string) {
	e.t.Helper()
	e.send(`{"msg":"ask","serial":%d,"call":"%s","blob":"%s"}`+"\n", serial, call,
		base64.StdEncoding.EncodeToString([]byte(body)))
}

func TestATaskWithACallAndHealth(t *testing.T) {
	w := startServer(t, nil)
	b := w.dialClient()
	b.send("%s%s", requestFrame(1, "a1", "the body"), "\x94\x00\x02\xa6isWell\x91\x80")
	b.expect(answerPrefix(2) + "\xc0\x92\xc3\x80")
	if m := w.executor.expectCommand("begin", "a1"); m["blob"] != "dGhlIGJvZHk=" || m["service"] != "quote" {
		t.Fatal(m)
	}
	w.executor.sendCall(1, "a1", "a\r\ncall")
	below := acceptConn(t, w.upstreamListener)
	if got := below.expect(" 7\r\na\r\ncall\r\n"); !strings.HasPrefix(got, "FETCH a1 ") {
		t.Fatalf("%q", got)
	}
	below.send("zz DATA 3\r\nold\r\na1 DATA 5\r\nreply\r\n") // the first is of a call given up long ago
	if m := w.executor.expectCommand("answer", "a1"); m["blob"] != "cmVwbHk=" {
		t.Fatal(m)
	}
	w.executor.sendCompletion(2, "a1", "done", "result")
	b.expect(answerPrefix(1) + resultPrefix + "\x06result\x80")
}

func TestAbandonedAtItsDueMomentAndAnsweredOnce(t *testing.T) {
	w := startServer(t, nil)
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", withTimeout(0.3)))
	w.executor.expectCommand("begin", "a1")
	b.expect(answerPrefix(1) + "\x92\xa6Failed\x80\xc0")
	w.executor.sendCompletion(1, "a1", "done", "late")
	b.send("%s", requestFrame(2, "a2", "x", withTimeout(0)))
	if got := b.expect("Busy"); strings.Contains(got, "late") || !strings.HasPrefix(got, answerPrefix(2)) {
		t.Errorf("%q", got)
	}
}

// A site may not tell how long callers wait: the time limit stands in. Where it does, a task without is refused.
func TestWaitsThatAreNotTold(t *testing.T) {
	untold := func(m *rpc.Message) { m.NoWait = true }
	w := startServer(t, func(s *config.Startup) { s.Settings.DeadlinePropagation, s.Settings.Classes[0].Timeout = false, 0.4 })
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", untold))
	w.executor.expectCommand("begin", "a1")
	b.expect(answerPrefix(1) + "\x92\xa6Failed")
	told := startServer(t, nil).dialClient()
	told.send("%s", requestFrame(1, "a1", "x", untold))
	told.expect(answerPrefix(1) + "\x92\xa7Invalid")
}

func TestDrainAnswersAllAndEnds(t *testing.T) {
	w, b := startRunningRequest(t, func(s *config.Startup) { s.StopTimeout = 10 })
	w.server.Drain()
	for report := range w.registry.Reports() {
		if !report.Takes {
			break
		}
	}
	w.executorListener = listenLoopback(t)
	w.server.SetEndpoints(w.addresses()) // while leaving
	w.executor = acceptConn(t, w.executorListener)
	w.executor.readCommand(false)
	w.executor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	w.executor.readCommand(true)
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(answerPrefix(1) + resultPrefix + "\x01r")
	b.expect("goaway\x90")
	b.Close()
	if err := <-w.runResult; err != nil {
		t.Error(err)
	}
	w.runResult <- nil
}

func TestRepeatsShareAnAnswer(t *testing.T) {
	w := startServer(t, func(s *config.Startup) { s.Settings.ResultCacheTTL, s.Settings.Memory.PerKey = 60, 1 })
	b := w.dialClient()
	b.send("%s", requestFrame(1, "a1", "x", withSubject("k")))
	w.executor.expectCommand("begin", "a1")
	b.send("%s", requestFrame(2, "a2", "x", withSubject("k"))) // waits for the first
	b.send("%s", requestFrame(3, "a3", "x", withSubject("other")))
	w.executor.expectCommand("begin", "a3")
	w.executor.sendCompletion(1, "a1", "done", "r")
	b.expect(resultPrefix + "\x01r\x80")
	b.expect(resultPrefix + "\x01r\x80")
	b.send("%s", requestFrame(4, "a4", "x", withSubject("k"))) // finds it there
	b.expect(answerPrefix(4) + resultPrefix + "\x01r\x80")
}

func TestASecondNoticeChangesNothing(t *testing.T) {
	s := New(&config.Startup{StopTimeout: 5}, nil)
	s.controller = admission.New(1, admission.Settings{})
	s.startDrain(s.now())
	killAt := s.killAt
	s.startDrain(s.now() + 1)
	if len(s.pendingEvents) != 1 || s.pendingEvents[0].Kind != admission.DrainStarted || s.killAt != killAt {
		t.Errorf("%+v, kill at %g, then %g", s.pendingEvents, killAt, s.killAt)
	}
}

func TestHealthIsReportedAtOnceAndOneReportAtATime(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := New(&config.Startup{Addresses: config.Addresses{Registry: "127.0.0.9:1"}}, nil)
	s.loop = idleLoop{}
	s.controller = admission.New(1, admission.Settings{})
	s.registry.conn = brokenConn{}
	reports := func() int { return bytes.Count(bytes.Join(s.registry.out.Buffers(), nil), []byte("PUT ")) }
	s.setHealthy(true)
	s.setHealthy(true) // nothing new
	if reports() != 1 {
		t.Errorf("%d reports", reports())
	}
	if n, err := s.registry.handleData([]byte("HTTP/1.1 204 No Content\r\n\r\n")); n != 27 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	off := func(n int) {
		t.Helper()
		if text := string(bytes.Join(s.registry.out.Buffers(), nil)); reports() != n || !strings.HasSuffix(text, `{"duty":"off"}`) {
			t.Errorf("%q", text)
		}
	}
	s.setHealthy(false)
	off(2)
	s.setHealthy(true) // while the answer may never come: over a new link
	s.setHealthy(false)
	if s.registry.conn != nil {
		t.Error("waits for an answer")
	}
	_ = s.registry.handleOpen(brokenConn{}, "")
	off(1)
}

func TestTablesReturnToTheirStart(t *testing.T) {
	w := startServer(t, nil)
	below, err := catalogue.Start("127.0.0.9:0", func(n int, _ wirecatalogue.Call) catalogue.Fate {
		return catalogue.Fate{Body: []byte("d"), Break: n%5 == 0} // every fifth call breaks its connection
	})
	if err != nil {
		t.Fatal(err)
	}
	defer below.Close()
	w.server.SetEndpoints(config.Addresses{Executor: w.executorListener.Addr().String(), Registry: w.registry.Addr(), Upstream: below.Addr()})
	serial := 0
	next := func() int { serial++; return serial }
	for i := range 150 {
		b, id := w.dialClient(), fmt.Sprint("t", i)
		b.send("%s", requestFrame(1, id, "x", withTimeout(3), withSubject(id)))
		w.executor.expectCommand("begin", id)
		if i%3 == 0 { // the balancer leaves; its run ends all the same
			b.Close()
			w.executor.sendCompletion(next(), id, "aborted", "")
			continue
		}
		w.executor.sendCall(next(), id, "c")
		w.executor.expectCommand("answer", id)
		w.executor.sendCompletion(next(), id, "done", "r")
		b.expect(resultPrefix + "\x01r\x80")
		b.Close()
		if i%50 == 49 {
			w.executor.Close()
			w.executor = acceptConn(t, w.executorListener)
			w.executor.readCommand(false)
			w.executor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
			w.executor.readCommand(true)
		}
	}
	go func() { // goes on giving gauges, so that nothing waits for them
		for {
			if _, err := w.executor.in.ReadByte(); err != nil {
				return
			}
		}
	}()
	var got, want = "", "0 tasks, 0 kept, 0 calls, 0 pooled connections, 0 peers, 0 buffers, 0 events"
	for end := time.Now().Add(testTimeout); got != want && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		told := make(chan string)
		_ = w.server.loop.Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
			s := w.server
			told <- fmt.Sprintf("%d tasks, %d kept, %d calls, %d pooled connections, %d peers, %d buffers, %d events", s.requests.Len(),
				s.results.Len(), len(s.upstreamCalls), len(s.upstream.all)+len(s.upstream.waiting), s.clients.Len(), s.buffers.InUse, len(s.pendingEvents))
			if n := s.timers.Len(); n > 10 {
				told <- fmt.Sprint(n, " timers")
			}
			close(told)
			return nil
		}))
		got = ""
		for part := range told {
			got += part
		}
	}
	if got != want {
		t.Error(got)
	}
}
