package serve

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

	"swiftcourse/choice"
	"swiftcourse/internal/life"
	"swiftcourse/internal/standin/catalogue"
	"swiftcourse/internal/standin/roster"
	"swiftcourse/internal/watch"
	wirecatalogue "swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/rpc"
)

// patience is how long the tests wait for what must come; nothing is asserted of how soon it does.
const patience = 20 * time.Second

// world is a server on loopback with stand-ins for all that it speaks with, written from their pages.
type world struct {
	*testing.T
	server                 *Server
	ended                  chan error
	processors, catalogues net.Listener
	roster                 *roster.Roster
	processor              *end
}

// end is the stand-in's end of a connection.
type end struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.9:0") // not where dials come from, whose ports could clash
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func accept(t *testing.T, l net.Listener) *end {
	t.Helper()
	if err := l.(*net.TCPListener).SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return wrap(t, c)
}

func wrap(t *testing.T, c net.Conn) *end {
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &end{t, c, bufio.NewReader(c)}
}

func (e *end) send(format string, a ...any) {
	e.t.Helper()
	if _, err := fmt.Fprintf(e, format, a...); err != nil {
		e.t.Fatal(err)
	}
}

// expect reads up to and with the text.
func (e *end) expect(text string) string {
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

// command reads the processor's next command; questions for the gauges are answered by the way, and end it
// where a fence is asked for.
func (e *end) command(fence bool) map[string]any {
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

func (e *end) wants(msg, call string) map[string]any {
	e.t.Helper()
	m := e.command(false)
	if m["msg"] != msg || m["call"] != call {
		e.t.Fatalf("got %v, want %s %s", m, msg, call)
	}
	return m
}

// build starts a server; change alters what it is told.
func build(t *testing.T, change func(*life.Startup)) *world { return buildWith(t, change, nil) }

// buildWith is build with an operator's file.
func buildWith(t *testing.T, change func(*life.Startup), conf *life.OperatorSettings, prepare ...func(*Server)) *world {
	w := begin(t, change, conf, prepare...)
	w.processor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	if report := <-w.roster.Reports(); !report.Takes {
		t.Fatalf("first report %+v", report)
	}
	return w
}

// begin starts a server whose processor has accepted its link and is not up yet.
func begin(t *testing.T, change func(*life.Startup), conf *life.OperatorSettings, prepare ...func(*Server)) *world {
	watch.SetOutput(t.Output())
	w := &world{T: t, ended: make(chan error, 1), processors: listen(t), catalogues: listen(t), roster: aRoster(t)}
	front := listen(t)
	addr := front.Addr().String()
	front.Close()
	start := &life.Startup{Name: "n1", Listen: addr, Addresses: w.addresses(), StopTimeout: 4, MaxSockets: 256, MemoryBytes: 64 << 20,
		ClassIndex: map[string]int{"quote": 0}, TenantIndex: map[string]int{"acme": 0}, ClassNames: []string{"quote"},
		Gauges: []string{"cpu_busy", "runnable"},
		Settings: choice.Settings{Cores: 2, Servers: 1, Clients: 1, ConcurrencyLimit: 8, ConcurrencyWindow: 1, MemoryLimit: 1e6, RunningMemoryFactor: 1,
			Downstream: choice.ServerTier, DeadlinePropagation: true, IdleTimeout: 30, DrainGracePeriod: 0.1, DeadlineTolerance: 0.05,
			Tenants: []choice.Tenant{{Rate: 1000}},
			Classes: []choice.Class{{SoftDeadline: 30, Timeout: 60, Value: 1, LateValue: 1, CallsDownstream: true}}}}
	if change != nil {
		change(start)
	}
	w.server = New(start, conf)
	for _, p := range prepare {
		p(w.server)
	}
	go func() { w.ended <- w.server.Run() }()
	w.processor = accept(t, w.processors)
	if hello := w.processor.command(false); hello["msg"] != "hello" || hello["serial"] != 0.0 {
		t.Fatalf("first line %v", hello)
	}
	t.Cleanup(func() {
		w.server.over()
		<-w.ended
		watch.SetOutput(io.Discard)
	})
	return w
}

// running is a server on which a balancer's task a1, message 1 of its connection, runs.
func running(t *testing.T, change func(*life.Startup)) (*world, *end) {
	w := build(t, change)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	return w, b
}

func (w *world) addresses() life.Addresses {
	return life.Addresses{Executor: w.processors.Addr().String(), Registry: w.roster.Addr(),
		Upstream: w.catalogues.Addr().String()}
}

// aRoster hangs up after each report, at times before its answer.
func aRoster(t *testing.T) *roster.Roster {
	r, err := roster.Start("127.0.0.9:0", func(n int) roster.Manner {
		return []roster.Manner{roster.HangUp, roster.Mute}[n%2]
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func (w *world) balancer() *end {
	w.Helper()
	c, err := net.DialTimeout("tcp", w.server.start.Listen, patience)
	if err != nil {
		w.Fatal(err)
	}
	return wrap(w.T, c)
}

// frame is a task as a balancer writes it.
func frame(number byte, call, body string, change ...func(*rpc.Message)) string {
	m := &rpc.Message{Number: uint64(number), ID: call, Stage: "quote", Tenant: "acme", Caller: 1, Came: float64(time.Now().UnixMilli()) / 1000,
		Wait: 30, Memory: 1, Rank: 0.5, Body: []byte(body)}
	for _, c := range change {
		c(m)
	}
	return string(rpc.PutTask(nil, m))
}

func wait(seconds float64) func(*rpc.Message) { return func(m *rpc.Message) { m.Wait = seconds } }

func about(row string) func(*rpc.Message) { return func(m *rpc.Message) { m.Subject = row } }

func came(at float64) func(*rpc.Message) { return func(m *rpc.Message) { m.Came = at } }

const finished = "\xc0\x92\xc4" // no error, and a result of under 256 bytes

func answerTo(number byte) string { return string([]byte{0x94, 1, number}) }

func (e *end) complete(serial int, call, how, result string) {
	e.t.Helper()
	e.send(`{"msg":"complete","serial":%d,"call":"%s","how":"%s","duration":5,"blob":"%s"}`+"\n", serial, call, how,
		base64.StdEncoding.EncodeToString([]byte(result)))
}

func (e *end) ask(serial int, call, body string) {
	e.t.Helper()
	e.send(`{"msg":"ask","serial":%d,"call":"%s","blob":"%s"}`+"\n", serial, call,
		base64.StdEncoding.EncodeToString([]byte(body)))
}

func TestATaskWithACallAndHealth(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s%s", frame(1, "a1", "the body"), "\x94\x00\x02\xa6isWell\x91\x80")
	b.expect(answerTo(2) + "\xc0\x92\xc3\x80")
	if m := w.processor.wants("begin", "a1"); m["blob"] != "dGhlIGJvZHk=" || m["service"] != "quote" {
		t.Fatal(m)
	}
	w.processor.ask(1, "a1", "a\r\ncall")
	below := accept(t, w.catalogues)
	if got := below.expect(" 7\r\na\r\ncall\r\n"); !strings.HasPrefix(got, "FETCH a1 ") {
		t.Fatalf("%q", got)
	}
	below.send("zz DATA 3\r\nold\r\na1 DATA 5\r\nreply\r\n") // the first is of a call given up long ago
	if m := w.processor.wants("answer", "a1"); m["blob"] != "cmVwbHk=" {
		t.Fatal(m)
	}
	w.processor.complete(2, "a1", "done", "result")
	b.expect(answerTo(1) + finished + "\x06result\x80")
}

func TestAbandonedAtItsDueMomentAndAnsweredOnce(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x", wait(0.3)))
	w.processor.wants("begin", "a1")
	b.expect(answerTo(1) + "\x92\xa6Failed\x80\xc0")
	w.processor.complete(1, "a1", "done", "late")
	b.send("%s", frame(2, "a2", "x", wait(0)))
	if got := b.expect("Busy"); strings.Contains(got, "late") || !strings.HasPrefix(got, answerTo(2)) {
		t.Errorf("%q", got)
	}
}

// A site may not tell how long callers wait: the time limit stands in. Where it does, a task without is refused.
func TestWaitsThatAreNotTold(t *testing.T) {
	untold := func(m *rpc.Message) { m.NoWait = true }
	w := build(t, func(s *life.Startup) { s.Settings.DeadlinePropagation, s.Settings.Classes[0].Timeout = false, 0.4 })
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x", untold))
	w.processor.wants("begin", "a1")
	b.expect(answerTo(1) + "\x92\xa6Failed")
	told := build(t, nil).balancer()
	told.send("%s", frame(1, "a1", "x", untold))
	told.expect(answerTo(1) + "\x92\xa7Invalid")
}

func TestDrainAnswersAllAndEnds(t *testing.T) {
	w, b := running(t, func(s *life.Startup) { s.StopTimeout = 10 })
	w.server.Leave()
	for report := range w.roster.Reports() {
		if !report.Takes {
			break
		}
	}
	w.processors = listen(t)
	w.server.Move(w.addresses()) // while leaving
	w.processor = accept(t, w.processors)
	w.processor.command(false)
	w.processor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	w.processor.command(true)
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r")
	b.expect("goaway\x90")
	b.Close()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	w.ended <- nil
}

func TestRepeatsShareAnAnswer(t *testing.T) {
	w := build(t, func(s *life.Startup) { s.Settings.ResultCacheTTL, s.Settings.KeyMemory = 60, 1 })
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x", about("k")))
	w.processor.wants("begin", "a1")
	b.send("%s", frame(2, "a2", "x", about("k"))) // waits for the first
	b.send("%s", frame(3, "a3", "x", about("other")))
	w.processor.wants("begin", "a3")
	w.processor.complete(1, "a1", "done", "r")
	b.expect(finished + "\x01r\x80")
	b.expect(finished + "\x01r\x80")
	b.send("%s", frame(4, "a4", "x", about("k"))) // finds it there
	b.expect(answerTo(4) + finished + "\x01r\x80")
}

func TestASecondNoticeChangesNothing(t *testing.T) {
	s := New(&life.Startup{StopTimeout: 5}, nil)
	s.module = choice.New(1, choice.Settings{})
	s.leave(s.now())
	killAt := s.killAt
	s.leave(s.now() + 1)
	if len(s.events) != 1 || s.events[0].Kind != choice.DrainStarted || s.killAt != killAt {
		t.Errorf("%+v, kill at %g, then %g", s.events, killAt, s.killAt)
	}
}

func TestHealthIsReportedAtOnceAndOneReportAtATime(t *testing.T) {
	watch.SetOutput(io.Discard)
	s := New(&life.Startup{Addresses: life.Addresses{Registry: "127.0.0.9:1"}}, nil)
	s.loop = stillLoop{}
	s.module = choice.New(1, choice.Settings{})
	s.roster.conn = broken{}
	reports := func() int { return bytes.Count(bytes.Join(s.roster.out.Buffers(), nil), []byte("PUT ")) }
	s.setWell(true)
	s.setWell(true) // nothing new
	if reports() != 1 {
		t.Errorf("%d reports", reports())
	}
	if n, err := s.roster.take([]byte("HTTP/1.1 204 No Content\r\n\r\n")); n != 27 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	off := func(n int) {
		t.Helper()
		if text := string(bytes.Join(s.roster.out.Buffers(), nil)); reports() != n || !strings.HasSuffix(text, `{"duty":"off"}`) {
			t.Errorf("%q", text)
		}
	}
	s.setWell(false)
	off(2)
	s.setWell(true) // while the answer may never come: over a new link
	s.setWell(false)
	if s.roster.conn != nil {
		t.Error("waits for an answer")
	}
	_ = s.roster.opened(broken{}, "")
	off(1)
}

func TestTablesReturnToTheirStart(t *testing.T) {
	w := build(t, nil)
	below, err := catalogue.Start("127.0.0.9:0", func(n int, _ wirecatalogue.Call) catalogue.Fate {
		return catalogue.Fate{Body: []byte("d"), Break: n%5 == 0} // every fifth call breaks its connection
	})
	if err != nil {
		t.Fatal(err)
	}
	defer below.Close()
	w.server.Move(life.Addresses{Executor: w.processors.Addr().String(), Registry: w.roster.Addr(), Upstream: below.Addr()})
	serial := 0
	next := func() int { serial++; return serial }
	for i := range 150 {
		b, id := w.balancer(), fmt.Sprint("t", i)
		b.send("%s", frame(1, id, "x", wait(3), about(id)))
		w.processor.wants("begin", id)
		if i%3 == 0 { // the balancer leaves; its run ends all the same
			b.Close()
			w.processor.complete(next(), id, "aborted", "")
			continue
		}
		w.processor.ask(next(), id, "c")
		w.processor.wants("answer", id)
		w.processor.complete(next(), id, "done", "r")
		b.expect(finished + "\x01r\x80")
		b.Close()
		if i%50 == 49 {
			w.processor.Close()
			w.processor = accept(t, w.processors)
			w.processor.command(false)
			w.processor.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
			w.processor.command(true)
		}
	}
	go func() { // goes on giving gauges, so that nothing waits for them
		for {
			if _, err := w.processor.in.ReadByte(); err != nil {
				return
			}
		}
	}()
	var got, want = "", "0 tasks, 0 kept, 0 calls, 0 pooled connections, 0 peers, 0 buffers, 0 events"
	for end := time.Now().Add(patience); got != want && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		told := make(chan string)
		_ = w.server.loop.Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
			s := w.server
			told <- fmt.Sprintf("%d tasks, %d kept, %d calls, %d pooled connections, %d peers, %d buffers, %d events", s.tasks.Len(),
				s.kept.Len(), len(s.calls), len(s.connPool.all)+len(s.connPool.waiting), s.peers.Len(), s.pool.InUse, len(s.events))
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
