package redelivery

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		run  Run
		want Command
	}{
		"nothing to deliver":            {Run{Latest: None, Delivery: Unconfirmed, Degradable: true}, None},
		"start not sent":                {Run{Latest: Start, Delivery: NotSent}, Start},
		"reply not sent":                {Run{Latest: Reply, Delivery: NotSent, Degradable: true}, Reply},
		"skip not sent":                 {Run{Latest: SkipCall, Delivery: NotSent}, SkipCall},
		"start unconfirmed":             {Run{Latest: Start, Delivery: Unconfirmed, Idempotent: true}, Start},
		"start that may not run twice":  {Run{Latest: Start, Delivery: Unconfirmed, Degradable: true}, None},
		"reply unconfirmed, degradable": {Run{Latest: Reply, Delivery: Unconfirmed, Degradable: true}, SkipCall},
		"reply unconfirmed, call needed": {
			Run{Latest: Reply, Delivery: Unconfirmed, Idempotent: true}, None},
		"skip unconfirmed": {Run{Latest: SkipCall, Delivery: Unconfirmed}, SkipCall},
		"start confirmed":  {Run{Latest: Start, Delivery: Confirmed, Idempotent: true}, None},
		"reply confirmed":  {Run{Latest: Reply, Delivery: Confirmed, Degradable: true}, None},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Decide(c.run); got != c.want {
				t.Errorf("command %d, want %d", got, c.want)
			}
		})
	}
}

// stepsPerCheck is the number of random steps of one check. A run with three calls ends within it, with
// some breaks on the way.
const stepsPerCheck = 100

// Guards against commands that a run takes for others, and against runs that wait for ever, whatever
// the order of breaks, commands and notices.
func TestDecide_KeepsTheRulesOnBrokenLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &modelLink{
			T:      t,
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			up:     rapid.Bool().Draw(t, "up"),
			calls:  rapid.IntRange(0, 3).Draw(t, "calls"),
			run:    Run{Idempotent: rapid.Bool().Draw(t, "idempotent"), Degradable: rapid.Bool().Draw(t, "degradable")},
		}
		l.send(Start)
		steps := []func(){
			l.receiveCommand, l.advanceRun, l.readNotice, l.settleCall, l.readGauges, l.breakLink, l.resume,
		}
		for range stepsPerCheck {
			steps[l.random.IntN(len(steps))]()
		}
		l.breakLink()
		l.resume()
		l.playToEnd()
		lost := l.run.Delivery == Unconfirmed && !l.executor.receivedLatest
		startLost := lost && l.run.Latest == Start && !l.run.Idempotent
		replyLost := lost && l.run.Latest == Reply && !l.run.Degradable
		if !l.ended && !startLost && !replyLost {
			t.Fatalf("the run never ends: server %+v, executor %+v", l.run, l.executor)
		}
	})
}

// modelLink is a server and an executor with one run, and the link between them.
type modelLink struct {
	*rapid.T
	random   *rand.Rand
	up       bool
	inFlight []modelCommand
	notices  []int // by serial from 1: the number of the call that the run waits for, or runEnded
	read     int   // serial of the last notice that the server read
	calls    int   // made by the run
	executor modelExecutor

	// The server's state.
	run        Run
	ended      bool
	call       int // number of the latest call, 0 before the first one
	callSerial int // serial of the notice that asked for it
}

// runEnded is the notice that the run ended.
const runEnded = 0

type modelExecutor struct {
	starts         int
	running        bool
	asked          int // number of the last call asked for
	waitsForSerial int // serial of the notice whose call the run waits for, 0 unless it waits
	receivedLatest bool
}

type modelCommand struct {
	command      Command
	call, serial int // the call that is replied to, and the notice whose call is skipped
}

// send sends a command or, while the link is down, leaves it to be sent.
func (l *modelLink) send(command Command) {
	l.run.Latest = command
	l.run.Delivery = NotSent
	if l.up {
		l.run.Delivery = Unconfirmed
		l.executor.receivedLatest = false
		l.inFlight = append(l.inFlight, modelCommand{command: command, call: l.call, serial: l.callSerial})
	}
}

// receiveCommand lets the executor carry out the next command in flight.
func (l *modelLink) receiveCommand() {
	if len(l.inFlight) == 0 {
		return
	}
	c := l.inFlight[0]
	l.inFlight = l.inFlight[1:]
	e := &l.executor
	e.receivedLatest = len(l.inFlight) == 0
	switch {
	case c.command == Start && !e.running:
		e.starts++
		e.running = true
		e.asked = 0
		if e.starts > 1 && !l.run.Idempotent {
			l.Fatal("a request that must not run twice was started twice")
		}
	case c.command == Reply && e.waitsForSerial > 0:
		if c.call != e.asked {
			l.Fatalf("the run waits for call %d and is given the reply to call %d", e.asked, c.call)
		}
		e.waitsForSerial = 0
	case c.command == SkipCall && e.waitsForSerial == c.serial:
		e.waitsForSerial = 0
	}
}

// advanceRun lets the run ask for its next call or end.
func (l *modelLink) advanceRun() {
	e := &l.executor
	switch {
	case !e.running || e.waitsForSerial > 0:
	case e.asked < l.calls:
		e.asked++
		l.notices = append(l.notices, e.asked)
		e.waitsForSerial = len(l.notices)
	default:
		e.running = false
		l.notices = append(l.notices, runEnded)
	}
}

// readNotice lets the server read the next notice.
func (l *modelLink) readNotice() {
	if !l.up || l.read == len(l.notices) || l.ended {
		return
	}
	call := l.notices[l.read]
	l.read++
	l.run.Latest = None
	if call == runEnded {
		l.ended = true
		return
	}
	l.call = call
	l.callSerial = l.read
}

// settleCall ends the call that the run waits for, with a reply or without one.
func (l *modelLink) settleCall() {
	if l.ended || l.call == 0 || l.run.Latest != None {
		return
	}
	if l.random.IntN(2) == 0 {
		l.send(Reply)
	} else {
		l.send(SkipCall)
	}
}

// readGauges lets the server read a reply that confirms the commands that the executor received. The
// notices before it are read first.
func (l *modelLink) readGauges() {
	if !l.up {
		return
	}
	for l.read < len(l.notices) && !l.ended {
		l.readNotice()
	}
	if l.executor.receivedLatest && l.run.Delivery == Unconfirmed {
		l.run.Delivery = Confirmed
	}
}

// breakLink breaks the link. Any number of the last commands in flight are lost with it.
func (l *modelLink) breakLink() {
	for range l.random.IntN(len(l.inFlight) + 1) {
		l.receiveCommand()
	}
	l.inFlight = nil
	l.up = false
}

// resume replaces the link: the server reads the notices that it missed, and sends what Decide says.
func (l *modelLink) resume() {
	if l.up {
		return
	}
	l.up = true
	for l.read < len(l.notices) && !l.ended {
		l.readNotice()
	}
	if command := Decide(l.run); !l.ended && command != None {
		l.send(command)
	}
}

// playToEnd plays without a further break until nothing happens any more.
func (l *modelLink) playToEnd() {
	for range 10 * (l.calls + 1) {
		l.receiveCommand()
		l.advanceRun()
		l.readNotice()
		l.settleCall()
	}
}
