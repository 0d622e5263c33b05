package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/choice"
	"swiftcourse/internal/life"
)

// refused dials until the system refuses a connection: the listener closes a moment after the connections are asked to.
func (w *world) refused() {
	w.Helper()
	for {
		c, err := net.DialTimeout("tcp", w.server.start.Listen, patience)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			c.Close()
		} else if !errors.Is(err, syscall.ECONNRESET) { // it lay in the queue as the listener closed, and nothing ran
			w.Fatal(err)
		}
	}
}

// Tasks are open until the very end; that must not keep the connections open for new ones until then.
func TestConnectionsAreAskedToCloseWhileTheirTasksRun(t *testing.T) {
	w, b := running(t, func(s *life.Startup) { s.StopTimeout = 10 })
	w.server.Leave()
	b.expect("goaway\x90") // its task still runs
	w.refused()
	b.send("%s", frame(2, "a2", "x")) // crossed that
	b.expect(answerTo(2) + "\x92\xa4Busy")
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r")
	b.Close()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	if left := w.server.killAt - w.server.now(); left < 1 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	w.ended <- nil
}

// Connections lie in the system's queue, with tasks on them, as the listener is to close.
func TestWhoWaitsToBeAcceptedHasAnAnswer(t *testing.T) {
	gate := make(chan struct{}, 1)
	w := buildWith(t, func(s *life.Startup) { s.StopTimeout, s.Settings.Cores = 20, 4 }, nil, func(s *Server) {
		s.acceptBy = func(accept func() (acceptedSocket, error)) func() (acceptedSocket, error) {
			return func() (acceptedSocket, error) {
				<-gate
				return accept()
			}
		}
	})
	gate <- struct{}{}
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	c, d := w.balancer(), w.balancer()
	c.send("%s", frame(1, "a2", "x"))
	d.send("%s%s", frame(1, "a3", "x"), isWell)
	w.server.Leave()
	b.expect("goaway\x90") // the acceptor was told to close by then, and takes nobody yet
	close(gate)
	d.expect("\xc0\x92\xc2") // not well
	if one, two := w.processor.command(false), w.processor.command(false); fmt.Sprint(one["msg"], " ", two["msg"]) != "begin begin" ||
		fmt.Sprint(one["call"], " ", two["call"]) != "a2 a3" && fmt.Sprint(one["call"], " ", two["call"]) != "a3 a2" { // they came before the notice
		t.Fatal(one, two)
	}
	w.refused()
	for i, e := range []*end{b, c, d} {
		w.processor.complete(i+1, fmt.Sprintf("a%d", i+1), "done", "r")
		e.expect(answerTo(1) + finished + "\x01r")
	}
	for _, e := range []*end{b, c, d} {
		e.Close()
	}
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	w.ended <- nil
}

// The processor comes up after the notice: nothing begins, and the server ends at once.
func TestToldToLeaveBeforeTheProcessorIsUp(t *testing.T) {
	w := begin(t, func(s *life.Startup) { s.StopTimeout, s.Settings.DrainGracePeriod = 20, 10 }, nil)
	b := w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	b.expect(answerTo(1) + "\x92\xa4Busy")
	w.server.Leave()
	b.expect("goaway\x90")
	w.processor.send(`{"msg":"hi","how":"fresh","duration":1}` + "\n")
	b.send("%s", frame(2, "a2", "x"))
	b.expect(answerTo(2) + "\x92\xa4Busy")
	b.Close()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
	if left := w.server.killAt - w.server.now(); left < 10 {
		t.Errorf("it ended %.3f s before the kill", left)
	}
	w.ended <- nil
}

// An answer that a slow reader has not taken yet keeps its connection from being closed.
func TestAnswersThatAreNotOutKeepTheConnection(t *testing.T) {
	s := alone(30)
	s.door.Idle(0)
	_, c, far := linked(t, s)
	c.unsent = 100
	now := s.now()
	s.tend(now + 1) // is asked to close
	s.flush()
	for at := now + 2; at < now+5; at++ {
		if s.tend(at); ended(far) || c.closed {
			t.Fatal("closed with an answer under way")
		}
	}
	c.unsent = 0
	for at := now + 5; at < now+8; at++ {
		s.tend(at)
	}
	if !ended(far) {
		t.Error("stays for ever")
	}
}

// A server that is over dials nobody any more, nor does a pooled connection whose call is over.
func TestDialsEndWithWhatTheyAreFor(t *testing.T) {
	s := New(&life.Startup{Addresses: life.Addresses{Executor: "127.0.0.9:1"}}, nil) // where nothing listens
	l := listen(t)
	never := func(context.Context) (<-chan gnet.RegisteredResult, error) { t.Error("dialled"); return nil, nil }
	ctx, giveUp := context.WithCancel(s.living)
	giveUp()
	s.Move(life.Addresses{Executor: l.Addr().String()})
	s.dialOn(ctx, never, toProcessor, s.processor, 0)
	s.over()
	s.dialOn(s.living, never, toProcessor, s.processor, 0) // both return
}

// Servers that lost the same party at once come back to it spread out, each in its own way every time.
func TestDialsSpreadOut(t *testing.T) {
	met := map[time.Duration]int{}
	for seed := range int64(100) {
		if p := pause(seed, 20); p < 150*time.Millisecond || p > 300*time.Millisecond || p != pause(seed, 20) || pause(seed, 0) != 0 || pause(seed, once) != 0 {
			t.Fatalf("seed %d: %v", seed, p)
		}
		met[pause(seed, 20)/(15*time.Millisecond)]++
	}
	if len(met) != 10 {
		t.Errorf("of ten parts of the time, %d are used", len(met))
	}
}

// The kill comes so long after the notice was sent, which may be heard late: the server and its module go by an earlier one.
func TestANoticeThatIsHeardLate(t *testing.T) {
	const late = 0.12
	for _, stop := range []float64{0.5, 4.5} {
		s := New(&life.Startup{StopTimeout: stop}, nil)
		s.module = choice.New(1, choice.Settings{})
		sent := s.now() - min(late, 0.9*stop/10)
		s.leave(s.now())
		if s.killAt > sent+stop || len(s.events) != 1 || s.events[0].Kind != choice.DrainStarted || s.now()+s.events[0].Duration > sent+stop {
			t.Errorf("stop %g: kill at %.3f, events %+v, sent at %.3f", stop, s.killAt, s.events, sent)
		}
	}
}

// Told to leave before the processor has even accepted its link: there is nothing to answer, and the server ends.
func TestToldToLeaveBeforeAnyConnection(t *testing.T) {
	l := listen(t)
	addr := l.Addr().String()
	l.Close()
	s := New(&life.Startup{Listen: addr, Addresses: life.Addresses{Executor: "127.0.0.9:1", Registry: "127.0.0.9:1"}, StopTimeout: 5}, nil)
	ended := make(chan error)
	go func() { ended <- s.Run() }()
	s.Leave()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// What arrives with the word to close, or in part before it, is answered: a whole pipeline, and half a message.
func TestWhatCrossesTheWordToCloseIsAnswered(t *testing.T) {
	w := build(t, func(s *life.Startup) { s.StopTimeout = 10 })
	b, c := w.balancer(), w.balancer()
	b.send("%s", frame(1, "a1", "x"))
	w.processor.wants("begin", "a1")
	half := frame(1, "b1", "x", came(float64(time.Now().Unix()+20))) // after all
	c.send("%s", half[:50])
	w.server.Leave()
	b.expect("goaway\x90")
	b.send("%s%s%s", frame(2, "a2", "x"), frame(3, "a3", "x"), frame(4, "a4", "x"))
	c.send("%s", half[50:])
	for n := range byte(3) {
		b.expect(answerTo(n+2) + "\x92\xa4Busy")
	}
	c.expect("goaway\x90")
	c.expect(answerTo(1) + "\x92\xa4Busy")
	w.processor.complete(1, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r")
}

// Nothing is held back by the system: TCP_NODELAY is set on all that the server accepted or dialled.
func TestNothingIsHeldBackOnAnyConnection(t *testing.T) {
	w, _ := running(t, nil)
	w.processor.ask(1, "a1", "c")
	accept(t, w.catalogues).expect("\r\nc\r\n")
	w.onLoop(func(s *Server) {
		for name, c := range map[string]gnet.Conn{"balancer": s.peers.AtSlot(0).conn, "processor": s.processor.conn, "catalogue": s.connPool.all[0].conn} {
			if on, err := unix.GetsockoptInt(c.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY); on == 0 || err != nil {
				t.Errorf("%s: %d, %v", name, on, err)
			}
		}
	})
}

// A reload to the same addresses changes nothing; two in a row, to a dead one and back, lose nothing.
func TestReloadsToTheSameToADeadOneAndBack(t *testing.T) {
	w, b := running(t, nil)
	w.server.Move(w.addresses())
	w.processor.ask(1, "a1", "c") // over the same link
	below := accept(t, w.catalogues)
	below.expect("\r\nc\r\n")
	dead := w.addresses()
	dead.Executor, dead.Upstream = "127.0.0.9:1", "127.0.0.9:1"
	w.server.Move(dead)
	w.server.Move(w.addresses())
	below.send("a1 DATA 1\r\nd\r\n") // calls in hand end where they are
	p := accept(t, w.processors)
	p.command(false)
	p.send(`{"msg":"hi","how":"seasoned","duration":1}` + "\n")
	p.command(true)
	if m := p.wants("answer", "a1"); m["blob"] != "ZA==" {
		t.Error(m)
	}
	p.complete(2, "a1", "done", "r")
	b.expect(answerTo(1) + finished + "\x01r\x80")
}
