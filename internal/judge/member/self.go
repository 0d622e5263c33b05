// Package member decides who is there and who may act: on a server's own side what it knows of its standing (Self), on the leader's side
// whose name is whose, who has a lease, who is brought up and who is shut out (Ledger). There is no I/O and no clock in it.
//
// A lease runs from the moment at which its asker asked, by the asker's own clock, so no delay and no difference of clocks can make it
// longer than the leader takes it to be; only a clock that runs slower can, by drift.
package member

import (
	"math"

	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/judge/version"
)

// State is how a server stands, as far as it knows.
type State uint8

const (
	Fresh  State = iota // never heard of a standing
	Acting              // has a lease
	Silent              // its lease is over, and nobody told why
	Out                 // was told that it is shut out
	Taken               // was told that its name is another's
	states
)

func (s State) String() string {
	return [...]string{"fresh", "acting", "silent", "out", "taken", "?"}[min(s, states)]
}

// input is what a server heard or missed.
type input uint8

const (
	granted input = iota
	lapsed
	told     // that it is out
	disowned // that its name is another's
)

// life is a server's whole standing. What it does not list changes nothing: who is out or disowned does not come back by silence.
var life = [...]struct {
	state State
	input input
	next  State
}{
	{Fresh, granted, Acting},
	{Fresh, told, Out},
	{Fresh, disowned, Taken},
	{Acting, lapsed, Silent},
	{Acting, told, Out},
	{Acting, disowned, Taken},
	{Silent, granted, Acting},
	{Silent, told, Out},
	{Silent, disowned, Taken},
	{Out, granted, Acting},
	{Out, disowned, Taken},
	{Taken, granted, Acting}, // the other life's lease ran out
}

func step(s State, in input) State {
	for _, row := range life {
		if row.state == s && row.input == in {
			return row.next
		}
	}
	return s
}

// Stance is what a server does with tasks.
type Stance = stance.Stance

const (
	Serve  = stance.Serve
	Shield = stance.Shield
	Away   = stance.Away
)

// Verdict is what a leader says to one that asks.
type Verdict uint8

const (
	Ask     Verdict = iota // somebody else leads, or nobody knows yet: ask again
	Lease                  // act, and be on Right soon
	Late                   // no lease until it is on Right
	Barred                 // an operator shut it out
	NotName                // the name is another life's
)

// Question is what a server asks of a leader; the number tells which one an answer is to.
type Question struct {
	Name     string
	Life     uint64
	Number   uint64
	Addr     string        // where it listens to the others: two processes can't listen on one
	Epoch    version.Epoch // on which it acts
	Stuck    string        // what hinders it from acting on a newer one, "" for nothing
	Toll     version.Toll  // of tasks since it has acted on Epoch
	Build    string
	MayLeave bool   // that it is among the few, see Answer
	Proof    uint64 // the latest that it was told, see Answer
}

// Answer is what the leader says to one question.
type Answer struct {
	Life, Number uint64
	Verdict      Verdict
	For          float64       // seconds of the lease, from when it was asked for
	Right        version.Epoch // that it should act on
	MayLeave     bool          // it is among the few that may go off the roster should they hear nothing
	Leader       string        // whom to ask, "" where nobody is known
	Proof        uint64        // with Ask: to be said in the next question, to show that the asker is there; 0 for none
	Why          string
}

// When a server hears nothing, as the operator says.
const (
	KeepOn    = Serve  // it goes on, on the last version that it had
	ShieldOn  = Shield // it goes on, on built-in figures
	LeaveThen = Away   // it goes off the roster, if it is among the few that may; else it goes on shielded
)

const (
	// askEvery is a third of a lease: two questions in a row may be lost.
	askPart = 1.0 / 3
	// maxWaiting bounds the questions whose answer may still come: those of two leases.
	maxWaiting = 8
	// redirects are asked at once, but no oftener than this, so that voters who point at one another cost nothing.
	leastAsk = 0.1
)

// Self is a server's own side.
type Self struct {
	name, addr, build string
	life              uint64
	silent            Stance
	lease             float64

	state    State
	since    float64 // in that state
	until    float64 // of its lease
	right    version.Epoch
	acts     version.Epoch
	stuck    string
	toll     version.Toll
	mayLeave bool
	why      string
	leader   string

	number     uint64
	redirected uint64 // number of the newest answer that named another one to ask
	latest     uint64 // number of the newest answer that counted
	proof      uint64
	waiting    [maxWaiting]struct {
		number uint64
		at     float64
	}
	next float64
}

// NewSelf makes the own side of a server that has just started; silent is what it does when it hears nothing, lease how long one is.
func NewSelf(name string, life uint64, addr, build string, silent Stance, lease, now float64) *Self {
	return &Self{name: name, life: life, addr: addr, build: build, silent: silent, lease: lease, since: now, until: math.Inf(-1), next: now}
}

// Next is when Ask is to be called.
func (s *Self) Next() float64 { return s.next }

// Ask makes the next question, which is to go to Leader, or to any voter where that is "".
func (s *Self) Ask(now float64) Question {
	s.number++
	s.waiting[s.number%maxWaiting] = struct {
		number uint64
		at     float64
	}{s.number, now}
	s.next = now + s.lease*askPart
	if s.state != Acting {
		s.next = now + s.lease*askPart/4 // sooner, where there is nothing to lose
	}
	return Question{Name: s.name, Life: s.life, Number: s.number, Addr: s.addr, Epoch: s.acts, Stuck: s.stuck, Toll: s.toll, Build: s.build, MayLeave: s.mayLeave,
		Proof: s.proof}
}

// Soon has the next question asked by then.
func (s *Self) Soon(at float64) { s.next = min(s.next, at) }

// Leader is whom to ask, "" for any voter.
func (s *Self) Leader() string { return s.leader }

// Lost tells that a question could not be brought to whom it was for: another voter is asked.
func (s *Self) Lost(now float64) {
	s.leader = ""
	s.next = min(s.next, now+leastAsk)
}

// Read takes an answer. One to an earlier life, to a question that is not waited for, or older than one that counted changes nothing. It
// tells whether the standing changed.
func (s *Self) Read(now float64, a *Answer) bool {
	w := s.waiting[a.Number%maxWaiting]
	if a.Life != s.life || a.Number == 0 || w.number != a.Number || a.Number <= s.latest {
		return false
	}
	if a.Verdict == Ask {
		s.redirected = max(s.redirected, a.Number)
		if a.Proof != 0 {
			s.proof = a.Proof
		}
		s.leader = a.Leader // an empty one: the next question goes to another voter
		s.next = min(s.next, max(w.at+leastAsk, now))
		return false
	}
	s.latest, s.why = a.Number, a.Why
	if a.Leader != "" {
		s.leader = a.Leader
	}
	s.right = max(s.right, a.Right)
	was := s.state
	switch a.Verdict {
	case Lease:
		s.mayLeave = a.MayLeave
		s.until = max(s.until, w.at+min(a.For, s.lease))
		if now < s.until {
			s.enter(now, granted)
		}
	case Late, Barred:
		s.enter(now, told)
	case NotName:
		s.enter(now, disowned)
	}
	return s.state != was
}

func (s *Self) enter(now float64, in input) {
	if next := step(s.state, in); next != s.state {
		s.state, s.since = next, now
	}
}

// Tick lets the lease run out.
func (s *Self) Tick(now float64) bool {
	if s.state != Acting || now < s.until {
		return false
	}
	s.enter(now, lapsed)
	s.why = "nothing heard of a leader"
	return true
}

// Acts tells on which version the server acts from now on, and what hinders it from another one.
func (s *Self) Acts(e version.Epoch, stuck string) {
	if e != s.acts {
		s.toll = version.Toll{}
		s.next = math.Inf(-1) // it is told at once
	}
	s.acts, s.stuck = e, stuck
}

// Toll tells what the tasks under the present version came to so far.
func (s *Self) Toll(t version.Toll) { s.toll = t }

// Unheard is how many questions in a row had no answer that counted.
func (s *Self) Unheard() uint64 { return s.number - max(s.latest, s.redirected) }

// MayLeave tells whether it is among the few that may go off the roster when they hear nothing.
func (s *Self) MayLeave() bool { return s.mayLeave }

// Right is the version that it should act on, as far as it was told; 0 where it was not.
func (s *Self) Right() version.Epoch { return s.right }

// View is how a server stands, and what it does.
type View struct {
	State State
	stance.Standing
}

// View is how it stands.
func (s *Self) View() View {
	quiet := s.silent
	if quiet == Away && !s.mayLeave {
		quiet = Shield
	}
	v := View{s.state, stance.Standing{Epoch: uint64(s.acts), Until: math.Inf(1), Now: quiet, Then: quiet, Why: s.why}}
	switch s.state {
	case Acting:
		v.Now, v.Until = Serve, s.until
	case Out, Taken:
		v.Now, v.Then = Away, Away
	}
	return v
}

// State is how it stands, since when, and why.
func (s *Self) State() (state State, since float64, why string) { return s.state, s.since, s.why }
