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

// testTimeout is how long the tests wait for what must come; nothing is asserted of how soon it
// does.
const testTimeout = 20 * time.Second

// fixture is a server on loopback with fakes of all that it speaks with, written from the
// protocols' pages.
type fixture struct {
	*testing.T
	server           *Server
	runResult        chan error
	executorListener net.Listener
	upstreamListener net.Listener
	registry         *roster.Roster
	executor         *testConn
	wrapAccept       func(acceptFunc) acceptFunc // where it is set, the acceptor accepts by what it returns
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

// readCommand reads the processor's next command; questions for the gauges are answered by the way,
// and end it where a fence is asked for.
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
func startServerWith(t *testing.T, change func(*config.Startup), conf *config.OperatorSettings, prepare ...func(*fixture)) *fixture {
	f := startUnready(t, change, conf, prepare...)
	f.executor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	if report := <-f.registry.Reports(); !report.Takes {
		t.Fatalf("first report %+v", report)
	}
	return f
}

// startUnready starts a server whose processor has accepted its link and is not up yet.
func startUnready(t *testing.T, change func(*config.Startup), conf *config.OperatorSettings, prepare ...func(*fixture)) *fixture {
	logging.SetOutput(t.Output())
	f := &fixture{T: t, runResult: make(chan error, 1), executorListener: listenLoopback(t), upstreamListener: listenLoopback(t), registry: newFakeRegistry(t)}
	front := listenLoopback(t)
	addr := front.Addr().String()
	front.Close()
	start := &config.Startup{Name: "n1", Listen: addr, Addresses: f.addresses(), StopTimeout: 4, MaxSockets: 256, MemoryBytes: 64 << 20,
		ClassIndex: map[string]int{"quote": 0}, TenantIndex: map[string]int{"acme": 0}, ClassNames: []string{"quote"},
		Gauges: []string{"cpu_busy", "runnable"},
		Settings: admission.Settings{Cores: 2, Servers: 1, Clients: 1, ConcurrencyLimit: 8, ConcurrencyWindow: 1, MemoryLimit: 1e6, RunningMemoryFactor: 1,
			Downstream: admission.ServerTier, DeadlinePropagation: true, IdleTimeout: 30, DrainGracePeriod: 0.1, DeadlineTolerance: 0.05,
			Tenants: []admission.Tenant{{Rate: 1000}},
			Classes: []admission.Class{{SoftDeadline: 30, Timeout: 60, Value: 1, LateValue: 1, CallsDownstream: true}}}}
	if change != nil {
		change(start)
	}
	f.server = New(start, conf)
	for _, p := range prepare {
		p(f)
	}
	go func() { f.runResult <- f.run() }()
	f.executor = acceptConn(t, f.executorListener)
	if hello := f.executor.readCommand(false); hello["msg"] != "hello" || hello["serial"] != 0.0 {
		t.Fatalf("first line %v", hello)
	}
	t.Cleanup(func() {
		f.server.stop()
		<-f.runResult
		logging.SetOutput(io.Discard)
	})
	return f
}

// run runs the server, with what stands in for its accept.
func (f *fixture) run() error {
	if f.wrapAccept == nil {
		return f.server.Run()
	}
	a, err := newAcceptor(f.server.startup.Listen)
	if err != nil {
		return err
	}
	a.accept = f.wrapAccept(a.accept)
	return f.server.runWith(a)
}

// startRunningRequest is a server on which a balancer's task a1, message 1 of its connection, runs.
func startRunningRequest(t *testing.T, change func(*config.Startup)) (*fixture, *testConn) {
	f := startServer(t, change)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x"))
	f.executor.expectCommand("begin", "a1")
	return f, client
}

func (f *fixture) addresses() config.Addresses {
	return config.Addresses{Executor: f.executorListener.Addr().String(), Registry: f.registry.Addr(),
		Upstream: f.upstreamListener.Addr().String()}
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

func (f *fixture) dialClient() *testConn {
	f.Helper()
	c, err := net.DialTimeout("tcp", f.server.startup.Listen, testTimeout)
	if err != nil {
		f.Fatal(err)
	}
	return newTestConn(f.T, c)
}

// requestFrame is a task as a balancer writes it.
func requestFrame(number byte, call, body string, change ...func(*rpc.Message)) string {
	message := &rpc.Message{Number: uint64(number), ID: call, Stage: "quote", Tenant: "acme", Caller: 1, Came: float64(time.Now().UnixMilli()) / 1000,
		Wait: 30, Memory: 1, Rank: 0.5, Body: []byte(body)}
	for _, c := range change {
		c(message)
	}
	return string(rpc.PutTask(nil, message))
}

func withTimeout(seconds float64) func(*rpc.Message) {
	return func(message *rpc.Message) { message.Wait = seconds }
}

func withSubject(row string) func(*rpc.Message) {
	return func(message *rpc.Message) { message.Subject = row }
}

func withArrival(at float64) func(*rpc.Message) {
	return func(message *rpc.Message) { message.Came = at }
}

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

func TestRequest_WithUpstreamCallAndHealthCheck(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	client.send("%s%s", requestFrame(1, "a1", "the body"), "\x94\x00\x02\xa6isWell\x91\x80")
	client.expect(answerPrefix(2) + "\xc0\x92\xc3\x80")
	if m := f.executor.expectCommand("begin", "a1"); m["blob"] != "dGhlIGJvZHk=" || m["service"] != "quote" {
		t.Fatal(m)
	}
	f.executor.sendCall(1, "a1", "a\r\ncall")
	below := acceptConn(t, f.upstreamListener)
	if got := below.expect(" 7\r\na\r\ncall\r\n"); !strings.HasPrefix(got, "FETCH a1 ") {
		t.Fatalf("%q", got)
	}
	below.send("zz DATA 3\r\nold\r\na1 DATA 5\r\nreply\r\n") // the first is of a call given up long ago
	if m := f.executor.expectCommand("answer", "a1"); m["blob"] != "cmVwbHk=" {
		t.Fatal(m)
	}
	f.executor.sendCompletion(2, "a1", "done", "result")
	client.expect(answerPrefix(1) + resultPrefix + "\x06result\x80")
}

func TestRequest_FailedAtSoftDeadlineAndAnsweredOnce(t *testing.T) {
	f := startServer(t, nil)
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withTimeout(0.3)))
	f.executor.expectCommand("begin", "a1")
	client.expect(answerPrefix(1) + "\x92\xa6Failed\x80\xc0")
	f.executor.sendCompletion(1, "a1", "done", "late")
	client.send("%s", requestFrame(2, "a2", "x", withTimeout(0)))
	if got := client.expect("Busy"); strings.Contains(got, "late") || !strings.HasPrefix(got, answerPrefix(2)) {
		t.Errorf("%q", got)
	}
}

// A site may not tell how long callers wait: the time limit stands in. Where it does, a task
// without is refused.
func TestRequest_WithoutTimeout(t *testing.T) {
	untold := func(message *rpc.Message) { message.NoWait = true }
	f := startServer(t, func(s *config.Startup) { s.Settings.DeadlinePropagation, s.Settings.Classes[0].Timeout = false, 0.4 })
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", untold))
	f.executor.expectCommand("begin", "a1")
	client.expect(answerPrefix(1) + "\x92\xa6Failed")
	told := startServer(t, nil).dialClient()
	told.send("%s", requestFrame(1, "a1", "x", untold))
	told.expect(answerPrefix(1) + "\x92\xa7Invalid")
}

func TestDrain_AnswersAllAndExits(t *testing.T) {
	f, client := startRunningRequest(t, func(s *config.Startup) { s.StopTimeout = 10 })
	f.server.Drain()
	for report := range f.registry.Reports() {
		if !report.Takes {
			break
		}
	}
	f.executorListener = listenLoopback(t)
	f.server.SetEndpoints(f.addresses()) // while leaving
	f.executor = acceptConn(t, f.executorListener)
	f.executor.readCommand(false)
	f.executor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	f.executor.readCommand(true)
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(answerPrefix(1) + resultPrefix + "\x01r")
	client.expect("goaway\x90")
	client.Close()
	if err := <-f.runResult; err != nil {
		t.Error(err)
	}
	f.runResult <- nil
}

func TestResultCache_RepeatsShareAnAnswer(t *testing.T) {
	f := startServer(t, func(s *config.Startup) { s.Settings.ResultCacheTTL, s.Settings.KeyMemory = 60, 1 })
	client := f.dialClient()
	client.send("%s", requestFrame(1, "a1", "x", withSubject("k")))
	f.executor.expectCommand("begin", "a1")
	client.send("%s", requestFrame(2, "a2", "x", withSubject("k"))) // waits for the first
	client.send("%s", requestFrame(3, "a3", "x", withSubject("other")))
	f.executor.expectCommand("begin", "a3")
	f.executor.sendCompletion(1, "a1", "done", "r")
	client.expect(resultPrefix + "\x01r\x80")
	client.expect(resultPrefix + "\x01r\x80")
	client.send("%s", requestFrame(4, "a4", "x", withSubject("k"))) // finds it there
	client.expect(answerPrefix(4) + resultPrefix + "\x01r\x80")
}

func TestDrain_SecondNoticeChangesNothing(t *testing.T) {
	s := New(&config.Startup{StopTimeout: 5}, nil)
	s.decisions.controller = admission.New(1, admission.Settings{})
	s.startDrain(s.now())
	killAt := s.drain.killAt
	s.startDrain(s.now() + 1)
	if len(s.decisions.pending) != 1 || s.decisions.pending[0].Kind != admission.DrainStarted || s.drain.killAt != killAt {
		t.Errorf("%+v, kill at %g, then %g", s.decisions.pending, killAt, s.drain.killAt)
	}
}

func TestRegistryLink_ReportsHealthChangeAtOnce(t *testing.T) {
	logging.SetOutput(io.Discard)
	s := New(&config.Startup{Addresses: config.Addresses{Registry: "127.0.0.9:1"}}, nil)
	s.loop.handle = idleLoop{}
	s.decisions.controller = admission.New(1, admission.Settings{})
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

func TestServer_TablesReturnToEmpty(t *testing.T) {
	f := startServer(t, nil)
	below, err := catalogue.Start("127.0.0.9:0", func(n int, _ wirecatalogue.Call) catalogue.Fate {
		return catalogue.Fate{Body: []byte("d"), Break: n%5 == 0} // every fifth call breaks its connection
	})
	if err != nil {
		t.Fatal(err)
	}
	defer below.Close()
	f.server.SetEndpoints(config.Addresses{Executor: f.executorListener.Addr().String(), Registry: f.registry.Addr(), Upstream: below.Addr()})
	serial := 0
	next := func() int { serial++; return serial }
	for i := range 150 {
		client, id := f.dialClient(), fmt.Sprint("t", i)
		client.send("%s", requestFrame(1, id, "x", withTimeout(3), withSubject(id)))
		f.executor.expectCommand("begin", id)
		if i%3 == 0 { // the balancer leaves; its run ends all the same
			client.Close()
			f.executor.sendCompletion(next(), id, "aborted", "")
			continue
		}
		f.executor.sendCall(next(), id, "c")
		f.executor.expectCommand("answer", id)
		f.executor.sendCompletion(next(), id, "done", "r")
		client.expect(resultPrefix + "\x01r\x80")
		client.Close()
		if i%50 == 49 {
			f.executor.Close()
			f.executor = acceptConn(t, f.executorListener)
			f.executor.readCommand(false)
			f.executor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
			f.executor.readCommand(true)
		}
	}
	go func() { // goes on giving gauges, so that nothing waits for them
		for {
			if _, err := f.executor.in.ReadByte(); err != nil {
				return
			}
		}
	}()
	var got, want = "", "0 tasks, 0 kept, 0 calls, 0 pooled connections, 0 peers, 0 buffers, 0 events"
	for end := time.Now().Add(testTimeout); got != want && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		told := make(chan string)
		_ = f.server.loop.handle.Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
			s := f.server
			told <- fmt.Sprintf("%d tasks, %d kept, %d calls, %d pooled connections, %d peers, %d buffers, %d events", s.requests.Len(),
				s.results.Len(), len(s.upstream.calls), len(s.upstream.all)+len(s.upstream.waiting), s.clients.conns.Len(), s.output.buffers.InUse, len(s.decisions.pending))
			if n := s.loop.timers.Len(); n > 10 {
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
