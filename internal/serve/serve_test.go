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
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/life"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/standin/catalogue"
	"swiftcourse/internal/standin/roster"
	"swiftcourse/internal/watch"
	wirecatalogue "swiftcourse/internal/wire/catalogue"
	"swiftcourse/internal/wire/processor"
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
func build(t *testing.T, change func(*life.Start)) *world { return buildWith(t, change, nil) }

// buildWith is build with an operator's file.
func buildWith(t *testing.T, change func(*life.Start), conf *life.Conf, prepare ...func(*Server)) *world {
	w := begin(t, change, conf, prepare...)
	w.processor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	if report := <-w.roster.Reports(); !report.Takes {
		t.Fatalf("first report %+v", report)
	}
	return w
}

// begin starts a server whose processor has accepted its link and is not up yet.
func begin(t *testing.T, change func(*life.Start), conf *life.Conf, prepare ...func(*Server)) *world {
	watch.To(t.Output())
	w := &world{T: t, ended: make(chan error, 1), processors: listen(t), catalogues: listen(t), roster: aRoster(t)}
	front := listen(t)
	addr := front.Addr().String()
	front.Close()
	start := &life.Start{Name: "n1", Listen: addr, Addresses: w.addresses(), Stop: 4, Sockets: 256, Memory: 64 << 20,
		Stages: map[string]int{"quote": 0}, Tenants: map[string]int{"acme": 0}, StageNames: []string{"quote"},
		Gauges: []string{"cpu_busy", "runnable"},
		Site: choice.Site{Cores: 2, Servers: 1, Callers: 1, Crowd: 8, CrowdFor: 1, Memory: 1e6, RunFactor: 1,
			Below: choice.Tier, TellsWait: true, Idle: 30, DrainGrace: 0.1, AnswerSlack: 0.05,
			Tenants: []choice.Tenant{{Rate: 1000}},
			Stages:  []choice.Stage{{DueTime: 30, TimeLimit: 60, Utility: 1, LateUtility: 1, Calls: true}}}}
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
		watch.To(io.Discard)
	})
	return w
}

func (w *world) addresses() life.Addresses {
	return life.Addresses{Processor: w.processors.Addr().String(), Roster: w.roster.Addr(),
		Catalogue: w.catalogues.Addr().String()}
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
func about(row string) func(*rpc.Message)     { return func(m *rpc.Message) { m.Subject = row } }
func came(at float64) func(*rpc.Message)      { return func(m *rpc.Message) { m.Came = at } }

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

func TestEveryEndOfACall(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	w.processor.ask(1, "a1", "c")
	var below *end
	for _, end := range []string{"a1 LATER", "a1 NOUSE", "a1 FAULT", "a1 TOOSLOW", "", "nonsense", "\xff\x00",
		"a1 DATA 3000000000\r\nxxxxx", "a1 DATA 1\r\nlonger", strings.Repeat("x", 300)} {
		below = accept(t, w.catalogues) // no connection carries two calls of one task
		below.expect("FETCH a1 ")
		below.expect("\r\nc\r\n")
		if below.send("%s\r\n", end); end == "" {
			below.Close() // cut midway
		}
	}
	below = accept(t, w.catalogues)
	below.expect("\r\nc\r\n")
	w.catalogues.Close()
	below.Close() // no dial gets through now
	w.processor.complete(2, "a1", "crashed", "")
	b.expect(answerTo(1) + "\x92\xa6Failed")
}

func TestASpoiltReplyCostsItsCallAlone(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	call := func(number byte, serial int) {
		task := fmt.Sprintf("a%d", number)
		b.send("%s", frame(number, task, "x"))
		w.processor.wants("begin", task)
		w.processor.ask(serial, task, "c")
	}
	call(1, 1)
	one := accept(t, w.catalogues)
	one.expect("FETCH a1 ")
	one.expect("\r\nc\r\n")
	call(2, 2)
	two := accept(t, w.catalogues)
	two.expect("FETCH a2 ")
	two.expect("\r\nc\r\n")
	one.send("\x00\xff noise\r\n")
	one = accept(t, w.catalogues) // let out once more
	one.expect("FETCH a1 ")
	one.expect("\r\nc\r\n")
	two.send("a2 DATA 1\r\nd\r\n") // unharmed
	if m := w.processor.wants("answer", "a2"); m["blob"] != "ZA==" {
		t.Error(m)
	}
	w.processor.ask(3, "a2", "e")
	again := accept(t, w.catalogues) // not over the idle one, where a copy may still come
	again.expect("\r\ne\r\n")
	two.send("a2 DATA 1\r\nd\r\n")
	if _, err := io.ReadAll(two.in); err != nil {
		t.Errorf("after a second copy: %v", err)
	}
	again.send("zz DATA 1\r\nz\r\na2 DATA 1\r\nf\r\n")
	if m := w.processor.wants("answer", "a2"); m["blob"] != "Zg==" {
		t.Error(m)
	}
	if _, err := io.ReadAll(again.in); err != nil {
		t.Errorf("after an unknown id: %v", err)
	}
	one.send("a1 DATA 1\r\ng\r\n")
	w.processor.wants("answer", "a1")
	w.processor.complete(4, "a1", "done", "r")
	call(3, 5)
	one.expect("FETCH a3 ") // what kept to the order is used again
}

func TestACallOverAForgottenConnectionGoesOutOnceMore(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	var pooled *end
	for i, task := range []string{"a1", "a2"} {
		b.send("%s", frame(byte(i+1), task, "x"))
		w.processor.wants("begin", task)
		w.processor.ask(2*i+1, task, "c")
		if i == 0 {
			pooled = accept(t, w.catalogues)
		}
		pooled.expect("FETCH " + task)
		pooled.expect("\r\nc\r\n")
		if i == 1 { // had been idle, and turns out to be forgotten
			_ = pooled.Conn.(*net.TCPConn).SetLinger(0)
			pooled.Close()
			pooled = accept(t, w.catalogues)
			pooled.expect("FETCH " + task)
			pooled.expect("\r\nc\r\n")
		}
		pooled.send("%s DATA 1\r\nd\r\n", task)
		w.processor.wants("answer", task)
		w.processor.complete(2*i+2, task, "done", "r")
		b.expect(finished + "\x01r\x80")
	}
	calls := make(chan int)
	_ = w.server.loop.Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
		calls <- w.server.counts.calls
		return nil
	}))
	if n := <-calls; n != 2 {
		t.Errorf("the module let out %d calls for 2", n)
	}
}

func TestCallsWaitForAPooledConnection(t *testing.T) {
	w := build(t, func(s *life.Start) { s.Sockets, s.Site.Cores = 64, 32 })
	b := w.balancer()
	most := w.server.maxPooled()
	for i := range most + 1 {
		task := fmt.Sprintf("a%d", i)
		b.send("%s", frame(byte(i+1), task, "x"))
		w.processor.wants("begin", task)
		w.processor.ask(i+1, task, "c")
	}
	pooled := accept(t, w.catalogues)
	for range most - 1 {
		accept(t, w.catalogues).expect("\r\nc\r\n")
	}
	task := strings.Fields(pooled.expect("\r\nc\r\n"))[1]
	pooled.send("%s DATA 1\r\nd\r\n", task)
	w.processor.wants("answer", task)
	pooled.expect(fmt.Sprintf("FETCH a%d ", most))
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
	w := build(t, func(s *life.Start) { s.Site.TellsWait, s.Site.Stages[0].TimeLimit = false, 0.4 })
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x", untold))
	w.processor.wants("begin", "a1")
	b.expect(answerTo(1) + "\x92\xa6Failed")
	told := build(t, nil).balancer()
	told.send("%s", frame(1, "a1", "x", untold))
	told.expect(answerTo(1) + "\x92\xa7Invalid")
}

func TestForgottenAndItsCallGivenUp(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	w.processor.ask(1, "a1", "c")
	below := accept(t, w.catalogues)
	below.expect("\r\nc\r\n")
	b.send("\x93\x02\xa6forget\x91\x01")
	if rest, err := io.ReadAll(below.in); err != nil || len(rest) > 0 {
		t.Errorf("%q, %v, instead of the end that gives the call up", rest, err)
	}
	w.processor.complete(2, "a1", "aborted", "")
	b.send("%s", frame(2, "a2", "x"))
	w.processor.wants("begin", "a2")
	w.processor.complete(3, "a2", "done", "r")
	if got := b.expect("r\x80"); got != answerTo(2)+finished+"\x01r\x80" {
		t.Errorf("%q", got)
	}
}

func TestBrokenProcessorLink(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	b.send("%s", frame(2, "a2", "x"))
	w.processor.wants("begin", "a2")
	w.processor.ask(1, "a1", "c")
	below := accept(t, w.catalogues)
	below.expect("\r\nc\r\n") // so notice 1 was read
	w.processor.Close()
	below.send("a1 DATA 1\r\nd\r\n") // while the link is down
	p := accept(t, w.processors)
	if hello := p.command(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatal(hello)
	}
	b.send("%s\x94\x00\x04\xa6isWell\x91\x80", frame(3, "a3", "x"))
	b.expect(answerTo(4)) // so the task was read too, but no command goes out yet
	p.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	p.ask(1, "a1", "again")          // read before
	p.complete(2, "a2", "done", "r") // missed
	if m := p.command(true); m["msg"] != "usage" {
		t.Fatalf("%v before the fence", m)
	}
	if m := p.wants("answer", "a1"); m["blob"] != "ZA==" {
		t.Fatal(m)
	}
	p.wants("begin", "a3")
	b.expect(answerTo(2) + finished + "\x01r\x80")
	p.complete(3, "a1", "done", "s")
	b.expect(answerTo(1) + finished + "\x01s\x80")
}

func TestABeginThatMayBeLostIsSentAgain(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	w.processor.Close() // before anything shows that the command was read
	p := accept(t, w.processors)
	p.command(false)
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.command(true)
	p.wants("begin", "a1")
	p.send(`{"msg":"reject","how":"begin","call":"a1"}` + "\n") // it never ran, so the module gives it up
	b.expect(answerTo(1) + "\x92\xa6Failed")
}

// Whether a begin that has no proof was read nobody can tell, and where running twice is ruled out it is not sent again.
func TestABeginThatMayBeLostIsNotSentAgainWhereItMayRunOnce(t *testing.T) {
	for _, effect := range []choice.Effect{choice.AtMostOnce, choice.Deduplicated} {
		w := build(t, func(s *life.Start) { s.Site.Stages[0].Effect, s.Site.Stages[0].Window = effect, 20 })
		b := w.balancer()
		b.send("%s%s", frame(1, "a1", "x", wait(2), key("k")), frame(2, "a2", "x", key("l")))
		w.processor.wants("begin", "a1")
		w.processor.wants("begin", "a2")
		w.processor.Close()
		p := accept(t, w.processors)
		p.command(false)
		p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
		p.command(true)
		p.complete(1, "a2", "done", "r") // it ran all the same
		b.expect(answerTo(2) + finished + "\x01r\x80")
		b.send("%s", frame(3, "a3", "x", key("m")))
		p.wants("begin", "a3") // and none before it
		b.expect(answerTo(1) + failed)
	}
}

// The other end of the processor's link is gone without a word: nothing comes, and nothing breaks.
func TestASilentProcessorLinkIsReplaced(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	becomes(w, true, func(s *Server) bool { // a question is open, which nobody answers here
		s.processor.askGauges()
		return s.processor.asked > 0
	})
	w.onLoop(func(s *Server) {
		s.processor.asked -= silentFor
		s.processor.askGauges()
	})
	p := accept(t, w.processors)
	if hello := p.command(false); hello["msg"] != "hello" {
		t.Fatal(hello)
	}
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.command(true)
	p.wants("begin", "a1")
	p.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
}

func TestNewAddressesTakeAllThatIsNew(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	w.processor.ask(1, "a1", "c")
	old := accept(t, w.catalogues)
	old.expect("\r\nc\r\n")
	before, oldProcessor := *w, w.processor
	for range 2 { // the second before the first can have come through
		w.processors, w.catalogues, w.roster = listen(t), listen(t), aRoster(t)
		w.server.Move(w.addresses())
	}
	w.processor = accept(t, w.processors)
	if hello := w.processor.command(false); hello["msg"] != "hello" || hello["serial"] != 1.0 {
		t.Fatal(hello)
	}
	w.processor.send(`{"msg":"hi","how":"seasoned","duration":3600000}` + "\n")
	w.processor.command(true)
	if _, err := io.ReadAll(oldProcessor.in); err != nil {
		t.Errorf("the old link ends with %v", err)
	}
	old.send("a1 DATA 1\r\nd\r\n") // a call in hand ends where it was made
	w.processor.wants("answer", "a1")
	w.processor.ask(2, "a1", "e") // and the next one goes to the new address
	below := accept(t, w.catalogues)
	below.expect("\r\ne\r\n")
	below.send("a1 DATA 1\r\nf\r\n")
	w.processor.wants("answer", "a1")
	w.processor.complete(3, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
	for _, l := range []net.Listener{before.processors, before.catalogues} {
		_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := l.Accept(); err == nil {
			t.Error("dialled at an old address")
		}
	}
	if report := <-w.roster.Reports(); !report.Takes { // at the new roster
		t.Error(report)
	}
}

func TestADialGoesToTheAddressOfTheMoment(t *testing.T) {
	s := New(&life.Start{Addresses: life.Addresses{Processor: "127.0.0.9:1"}}, nil) // where nothing listens
	to := make(chan string, 1)
	s.dialBy(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		c, _ := gnet.FromNetConnContext(ctx)
		to <- c.RemoteAddr().String()
		return nil, c.Close()
	}, toProcessor, s.processor, 0)
	l := listen(t)
	s.Move(life.Addresses{Processor: l.Addr().String()})
	if got := <-to; got != l.Addr().String() {
		t.Errorf("dialled %s", got)
	}
}

func TestDrainAnswersAllAndEnds(t *testing.T) {
	w := build(t, func(s *life.Start) { s.Stop = 10 })
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
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

func TestBadInputStaysWithItsConnection(t *testing.T) {
	w := build(t, nil)
	good, bad, odd := w.balancer(), w.balancer(), w.balancer()
	good.send("%s", frame(1, "a1", "x")[:40])
	bad.send("\xc1")
	if _, err := io.ReadAll(bad.in); err != nil {
		t.Errorf("after a malformed frame: %v", err)
	}
	odd.send("%s", strings.Replace(frame(1, "b1", "x"), "quote", "quite", 1))
	odd.expect(answerTo(1) + "\x92\xa7Invalid")
	odd.send("%s", strings.Replace(frame(2, "b2", "x"), "acme", "acne", 1))
	odd.expect(answerTo(2) + "\x92\xa7Invalid")
	odd.send("%s", frame(3, "b3", "x"))
	w.processor.wants("begin", "b3")
	odd.send("%s", frame(4, "b3", "x")) // the id of another
	odd.expect(answerTo(4) + "\x92\xa7Invalid")
	odd.send("%s", frame(3, "b4", "x")) // a message id that is open
	w.processor.complete(1, "b3", "done", "r")
	odd.expect(answerTo(3) + finished + "\x01r") // of what was read before
	if _, err := io.ReadAll(odd.in); err != nil {
		t.Errorf("after an open message id: %v", err)
	}
	good.send("%s", frame(1, "a1", "x")[40:])
	w.processor.wants("begin", "a1")
	w.processor.complete(2, "a1", "done", "r")
	good.expect(answerTo(1) + finished + "\x01r")
}

func TestWhoBringsNothingInOrderIsClosed(t *testing.T) {
	w := build(t, nil)
	silent, half, odd, good := w.balancer(), w.balancer(), w.balancer(), w.balancer()
	half.send("%s", frame(1, "a1", "x")[:40])
	odd.send("%s", frame(1, "a2", "x", came(1))) // out of range: it would teach an age of decades
	odd.expect(answerTo(1) + "\x92\xa7Invalid")
	good.send("\x94\x00\x01\xa6isWell\x91\x80")
	good.expect("\xc3\x80")
	for _, bad := range []*end{silent, half, odd} {
		if _, err := io.ReadAll(bad.in); err != nil {
			t.Errorf("instead of its end: %v", err)
		}
	}
	good.send("\x94\x00\x02\xa6isWell\x91\x80") // idle for as long
	good.expect(answerTo(2) + "\xc0\x92\xc3\x80")
}

func TestWhoOnlyHoldsConnectionsKeepsNobodyOut(t *testing.T) {
	w := build(t, func(s *life.Start) { s.Sockets = 64 })
	check := "\x94\x00\x01\xa6isWell\x91\x80"
	busy := w.balancer()
	busy.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	most, _ := w.server.maxPeers()
	for range most {
		w.balancer()
		late := w.balancer()
		late.send("%s", check)
		late.expect("\xc3\x80")
		late.Close()
	}
	w.processor.complete(1, "a1", "done", "r")
	busy.expect(answerTo(1) + finished + "\x01r\x80")
}

func TestWhoIsOwedSomethingDoesNotGoForANewcomer(t *testing.T) {
	s := New(&life.Start{Site: choice.Site{Idle: 30}}, nil)
	add := func(unsent bool) *peer {
		name, p := s.peers.Add()
		p.server, p.name, p.conn, p.unsent = s, name, broken{}, unsent
		s.door.Open(name.Slot(), 0)
		s.door.Tell(name.Slot(), door.Spoke, 0)
		return p
	}
	answered, silent, late := add(true), add(false), add(false)
	s.door.Tell(silent.name.Slot(), door.Spoke, 1)
	if p := s.leastWanted(late); p != silent { // an answer is on its way out to the first
		t.Errorf("%+v goes", p)
	}
	s.door.Tell(silent.name.Slot(), door.Owed, 2)
	if p := s.leastWanted(late); p != nil {
		t.Errorf("%+v goes, %+v", p, answered)
	}
}

// sending is a connection on which a task has come.
type sending struct {
	broken
	context any
	bytes   string
}

func (c *sending) Context() any             { return c.context }
func (c *sending) Peek(int) ([]byte, error) { return []byte(c.bytes), nil }
func (*sending) Discard(int) (int, error)   { return 0, nil }

func TestNothingIsReadFromAConnectionThatEnds(t *testing.T) {
	s := New(&life.Start{Sockets: 256, Stages: map[string]int{"quote": 0}, Tenants: map[string]int{"acme": 0}}, nil)
	s.loop, s.module = stillLoop{}, choice.New(1, choice.Site{})
	for _, ends := range []bool{false, true} {
		name, p := s.peers.Add()
		p.server, p.name = s, name
		c := &sending{context: p, bytes: frame(1, fmt.Sprint("a", ends), "x")}
		_ = p.opened(c, "")
		if ends {
			p.end() // the library closes it after this turn
		}
		if action := s.OnTraffic(c); (action == gnet.Close) != ends || s.tasks.Len() != 1 {
			t.Errorf("ends %v: action %v, %d tasks", ends, action, s.tasks.Len())
		}
	}
}

func TestMoreThanTheProtocolsTasksOnAConnection(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	for i := range byte(maxOpen + 1) {
		b.send("%s", frame(i+1, fmt.Sprintf("a%d", i), "x"))
	}
	b.expect(answerTo(maxOpen+1) + "\x92\xa7Invalid")
}

func TestRepeatsShareAnAnswer(t *testing.T) {
	w := build(t, func(s *life.Start) { s.Site.ReuseFor, s.Site.KeyMemory = 60, 1 })
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

func TestSilentConnectionsAreAskedToCloseThenClosed(t *testing.T) {
	w := build(t, func(s *life.Start) { s.Site.Idle = 0.05 })
	b := w.balancer()
	b.send("\x94\x00\x01\xa6isWell\x91\x80")
	b.expect("goaway\x90")
	if _, err := io.ReadAll(b.in); err != nil {
		t.Errorf("instead of its end: %v", err)
	}
}

func TestAPeerThatDoesNotReadIsBounded(t *testing.T) {
	w := build(t, nil)
	b := w.balancer()
	_ = b.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	check := strings.Repeat("\x94\x00\x02\xa6isWell\x91\x80", 4000)
	var err error
	for range 20000 { // far over all that the kernel and the server may hold
		if _, err = b.Write([]byte(check)); err != nil {
			break
		}
	}
	if err == nil {
		t.Error("all was taken")
	}
}

func TestALinkOfOursMayLeaveMoreUnread(t *testing.T) {
	s := New(&life.Start{}, nil)
	s.loop = stillLoop{}
	for _, to := range []string{"", "127.0.0.9:1"} {
		c := &unread{}
		l := &line{conn: c, ours: to != ""}
		s.write(l, []byte("x"))
		if s.flush(); c.closed != (to == "") {
			t.Errorf("to %q: closed %v", to, c.closed)
		}
	}
}

// unread is a connection whose other side lags by more than a balancer may.
type unread struct {
	broken
	closed bool
}

func (*unread) Writev([][]byte) (int, error) { return 0, nil }
func (*unread) OutboundBuffered() int        { return maxUnread + 1 }
func (c *unread) Close() error               { c.closed = true; return nil }

// broken is a connection whose handling panics.
type broken struct{ gnet.Conn }

func (broken) Context() any                   { return broken{} }
func (broken) Peek(int) ([]byte, error)       { return []byte("x"), nil }
func (broken) Close() error                   { return nil }
func (broken) Fd() int                        { return -1 }
func (broken) OutboundBuffered() int          { return 0 }
func (broken) RemoteAddr() net.Addr           { return &net.TCPAddr{} }
func (broken) opened(gnet.Conn, string) error { return nil }
func (broken) has(gnet.Conn) bool             { return true }
func (broken) take([]byte) (int, error)       { panic("by the test") }
func (broken) closed(error)                   {}

func TestAPanicStopsAtItsConnection(t *testing.T) {
	watch.To(t.Output())
	defer watch.To(io.Discard)
	if action := New(&life.Start{}, nil).OnTraffic(broken{}); action != gnet.Close {
		t.Errorf("action %v", action)
	}
}

func TestAgeAndWaitAreThoseOfTheBatch(t *testing.T) {
	s := New(&life.Start{}, nil)
	now := s.now()
	s.tasks.Add(&memory.Task{ID: "a", Came: now - 2, Wait: 5})
	s.tasks.Add(&memory.Task{ID: "b", Came: now + 1}) // by a clock ahead of ours; its wait is not told
	for id, want := range map[string]choice.Task{"a": {Age: 2, Wait: 3}, "b": {}} {
		e := choice.Event{Kind: choice.Read, ID: id}
		if s.freshen(&e, now); e.Task != want {
			t.Errorf("%s: %+v", id, e.Task)
		}
	}
}

func TestAnOldReadingOfTheGaugesIsNone(t *testing.T) {
	s := New(&life.Start{Gauges: []string{"runnable"}}, nil)
	s.processor.measured(&processor.Notice{Gauges: []float64{3}})
	for after, want := range map[float64]float64{0.01: 3, 2: -1} {
		e := choice.Event{Kind: choice.Timer}
		if s.freshen(&e, s.gaugesAt+after); e.Gauges.Runnable != want {
			t.Errorf("after %g s: %+v", after, e.Gauges)
		}
	}
}

func TestASecondNoticeChangesNothing(t *testing.T) {
	s := New(&life.Start{Stop: 5}, nil)
	s.module = choice.New(1, choice.Site{})
	s.leave(s.now())
	killAt := s.killAt
	s.leave(s.now() + 1)
	if len(s.events) != 1 || s.events[0].Kind != choice.Drain || s.killAt != killAt {
		t.Errorf("%+v, kill at %g, then %g", s.events, killAt, s.killAt)
	}
}

func TestHealthIsReportedAtOnceAndOneReportAtATime(t *testing.T) {
	watch.To(io.Discard)
	s := New(&life.Start{Addresses: life.Addresses{Roster: "127.0.0.9:1"}}, nil)
	s.loop = stillLoop{}
	s.module = choice.New(1, choice.Site{})
	s.roster.conn = broken{}
	reports := func() int { return bytes.Count(bytes.Join(s.roster.out.Parts(), nil), []byte("PUT ")) }
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
		if text := string(bytes.Join(s.roster.out.Parts(), nil)); reports() != n || !strings.HasSuffix(text, `{"duty":"off"}`) {
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

func TestWhatWasUnsentDoesNotReachTheNextLink(t *testing.T) {
	watch.To(io.Discard)
	s := New(&life.Start{Addresses: life.Addresses{Processor: "127.0.0.9:1", Roster: "127.0.0.9:1"}}, nil)
	s.loop = stillLoop{}
	s.processor.conn, s.roster.conn = broken{}, broken{}
	s.write(&s.processor.line, []byte("old"))
	s.write(&s.roster.line, []byte("old"))
	s.processor.closed(nil)
	s.roster.closed(nil)
	_ = s.processor.opened(broken{}, "")
	_ = s.roster.opened(broken{}, "")
	if got := bytes.Join(s.processor.out.Parts(), nil); string(got) != `{"msg":"hello","serial":0}`+"\n" {
		t.Errorf("to the processor: %q", got)
	}
	if got := s.roster.out.Parts(); len(got) != 0 {
		t.Errorf("to the roster: %q", got)
	}
}

// stillLoop runs nothing.
type stillLoop struct{ gnet.EventLoop }

func (stillLoop) Execute(context.Context, gnet.Runnable) error { return nil }

func TestLinksThatLeadNowhereAreDialledEverMoreSlowly(t *testing.T) {
	if pause(7, once) > 0 || pause(7, 0) != 0 || pause(7, 1) <= 0 || pause(7, 2) <= pause(7, 1) || pause(7, 1000) != pause(7, 100) {
		t.Error("pauses do not grow to a bound")
	}
	w := build(t, nil)
	w.processor.Close()
	for range 3 {
		accept(t, w.processors).Close()
	}
	p := accept(t, w.processors)
	p.command(false)
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.command(true)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	p.wants("begin", "a1")
	vain := make(chan int)
	_ = w.server.loop.Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
		vain <- w.server.processor.vain
		return nil
	}))
	if n := <-vain; n != 0 {
		t.Errorf("%d vain links after one that came up", n)
	}
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
	w.server.Move(life.Addresses{Processor: w.processors.Addr().String(), Roster: w.roster.Addr(), Catalogue: below.Addr()})
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
				s.kept.Len(), len(s.calls), len(s.connPool.all)+len(s.connPool.waiting), s.peers.Len(), s.pool.Out, len(s.events))
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
