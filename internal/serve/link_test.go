package serve

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/internal/life"
	"swiftcourse/internal/watch"
)

func TestNewAddressesTakeAllThatIsNew(t *testing.T) {
	w, b := running(t, nil)
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
	s := New(&life.Startup{Addresses: life.Addresses{Executor: "127.0.0.9:1"}}, nil) // where nothing listens
	to := make(chan string, 1)
	s.dialBy(func(ctx context.Context) (<-chan gnet.RegisteredResult, error) {
		c, _ := gnet.FromNetConnContext(ctx)
		to <- c.RemoteAddr().String()
		return nil, c.Close()
	}, toProcessor, s.processor, 0)
	l := listen(t)
	s.Move(life.Addresses{Executor: l.Addr().String()})
	if got := <-to; got != l.Addr().String() {
		t.Errorf("dialled %s", got)
	}
}

func TestALinkOfOursMayLeaveMoreUnread(t *testing.T) {
	s := New(&life.Startup{}, nil)
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

func TestWhatWasUnsentDoesNotReachTheNextLink(t *testing.T) {
	watch.SetOutput(io.Discard)
	s := New(&life.Startup{Addresses: life.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"}}, nil)
	s.loop = stillLoop{}
	s.processor.conn, s.roster.conn = broken{}, broken{}
	s.write(&s.processor.line, []byte("old"))
	s.write(&s.roster.line, []byte("old"))
	s.processor.closed(nil)
	s.roster.closed(nil)
	_ = s.processor.opened(broken{}, "")
	_ = s.roster.opened(broken{}, "")
	if got := bytes.Join(s.processor.out.Buffers(), nil); string(got) != `{"msg":"hello","serial":0}`+"\n" {
		t.Errorf("to the processor: %q", got)
	}
	if got := s.roster.out.Buffers(); len(got) != 0 {
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
