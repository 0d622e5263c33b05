// Package lease decides who is there and who may act: on a server's own side what it knows of its standing (Self), on the leader's side
// whose name is whose, who has a lease, who is brought up and who is shut out (Ledger). There is no I/O and no clock in it.
//
// A lease runs from the moment at which its asker asked, by the asker's own clock, so no delay and no difference of clocks can make it
// longer than the leader takes it to be; only a clock that runs slower can, by drift.
package lease

import (
	"math"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// State is how a server stands, as far as it knows.
type State uint8

const (
	StateInitial    State = iota // never heard of a standing
	StateLeased                  // has a lease
	StateExpired                 // its lease is over, and nobody told why
	StateFenced                  // was told that it is shut out
	StateSuperseded              // was told that its name is another's
	stateCount
)

func (s State) String() string {
	return [...]string{"fresh", "acting", "silent", "out", "taken", "?"}[min(s, stateCount)]
}

// event is what a server heard or missed.
type event uint8

const (
	eventGranted event = iota
	eventExpired
	eventFenced     // that it is out
	eventSuperseded // that its name is another's
)

// transitions is a server's whole standing. What it does not list changes nothing: who is out or disowned does not come back by silence.
var transitions = [...]struct {
	state State
	input event
	next  State
}{
	{StateInitial, eventGranted, StateLeased},
	{StateInitial, eventFenced, StateFenced},
	{StateInitial, eventSuperseded, StateSuperseded},
	{StateLeased, eventExpired, StateExpired},
	{StateLeased, eventFenced, StateFenced},
	{StateLeased, eventSuperseded, StateSuperseded},
	{StateExpired, eventGranted, StateLeased},
	{StateExpired, eventFenced, StateFenced},
	{StateExpired, eventSuperseded, StateSuperseded},
	{StateFenced, eventGranted, StateLeased},
	{StateFenced, eventSuperseded, StateSuperseded},
	{StateSuperseded, eventGranted, StateLeased}, // the other life's lease ran out
}

func nextState(s State, in event) State {
	for _, row := range transitions {
		if row.state == s && row.input == in {
			return row.next
		}
	}
	return s
}

// Mode is what a server does with tasks.
type Mode = serving.Mode

const (
	ModeNormal       = serving.ModeNormal
	ModeSafeDefaults = serving.ModeSafeDefaults
	ModeOutOfService = serving.ModeOutOfService
)

// Verdict is what a leader says to one that asks.
type Verdict uint8

const (
	VerdictRetry     Verdict = iota // somebody else leads, or nobody knows yet: ask again
	VerdictGranted                  // act, and be on Right soon
	VerdictLagging                  // no lease until it is on Right
	VerdictEjected                  // an operator shut it out
	VerdictNameTaken                // the name is another life's
)

// Request is what a server asks of a leader; the number tells which one an answer is to.
type Request struct {
	Name              string
	Incarnation       uint64
	Number            uint64
	Addr              string             // where it listens to the others: two processes can't listen on one
	ActiveEpoch       release.Epoch      // on which it acts
	BlockedBy         string             // what hinders it from acting on a newer one, "" for nothing
	ErrorTally        release.ErrorTally // of tasks since it has acted on Epoch
	Build             string
	MayGoOutOfService bool   // that it is among the few, see Answer
	Nonce             uint64 // the latest that it was told, see Answer
}

// Reply is what the leader says to one question.
type Reply struct {
	Incarnation, Number uint64
	Verdict             Verdict
	Duration            float64       // seconds of the lease, from when it was asked for
	AssignedEpoch       release.Epoch // that it should act on
	MayGoOutOfService   bool          // it is among the few that may go off the roster should they hear nothing
	Leader              string        // whom to ask, "" where nobody is known
	Nonce               uint64        // with Ask: to be said in the next question, to show that the asker is there; 0 for none
	Reason              string
}

// When a server hears nothing, as the operator says.
const (
	FallbackNormal       = ModeNormal       // it goes on, on the last version that it had
	FallbackSafeDefaults = ModeSafeDefaults // it goes on, on built-in figures
	FallbackOutOfService = ModeOutOfService // it goes off the roster, if it is among the few that may; else it goes on shielded
)

const (
	// askEvery is a third of a lease: two questions in a row may be lost.
	requestInterval = 1.0 / 3
	// maxPending bounds the questions whose answer may still come: those of two leases.
	maxPending = 8
	// redirects are asked at once, but no oftener than this, so that voters who point at one another cost nothing.
	minRequestInterval = 0.1
)

// Holder is a server's own side.
type Holder struct {
	name, addr, build string
	life              uint64
	silent            Mode
	lease             float64

	state    State
	since    float64 // in that state
	until    float64 // of its lease
	right    release.Epoch
	acts     release.Epoch
	stuck    string
	toll     release.ErrorTally
	mayLeave bool
	why      string
	leader   string

	number     uint64
	redirected uint64 // number of the newest answer that named another one to ask
	latest     uint64 // number of the newest answer that counted
	proof      uint64
	waiting    [maxPending]struct {
		number uint64
		at     float64
	}
	next float64
}

// NewHolder makes the own side of a server that has just started; silent is what it does when it hears nothing, lease how long one is.
func NewHolder(name string, life uint64, addr, build string, silent Mode, lease, now float64) *Holder {
	return &Holder{name: name, life: life, addr: addr, build: build, silent: silent, lease: lease, since: now, until: math.Inf(-1), next: now}
}

// NextWakeup is when Ask is to be called.
func (s *Holder) NextWakeup() float64 { return s.next }

// NewRequest makes the next question, which is to go to Leader, or to any voter where that is "".
func (s *Holder) NewRequest(now float64) Request {
	s.number++
	s.waiting[s.number%maxPending] = struct {
		number uint64
		at     float64
	}{s.number, now}
	s.next = now + s.lease*requestInterval
	if s.state != StateLeased {
		s.next = now + s.lease*requestInterval/4 // sooner, where there is nothing to lose
	}
	return Request{Name: s.name, Incarnation: s.life, Number: s.number, Addr: s.addr, ActiveEpoch: s.acts, BlockedBy: s.stuck, ErrorTally: s.toll, Build: s.build, MayGoOutOfService: s.mayLeave,
		Nonce: s.proof}
}

// RequestBy has the next question asked by then.
func (s *Holder) RequestBy(at float64) { s.next = min(s.next, at) }

// Leader is whom to ask, "" for any voter.
func (s *Holder) Leader() string { return s.leader }

// HandleLeaderUnreachable tells that a question could not be brought to whom it was for: another voter is asked.
func (s *Holder) HandleLeaderUnreachable(now float64) {
	s.leader = ""
	s.next = min(s.next, now+minRequestInterval)
}

// HandleReply takes an answer. One to an earlier life, to a question that is not waited for, or older than one that counted changes nothing. It
// tells whether the standing changed.
func (s *Holder) HandleReply(now float64, a *Reply) bool {
	w := s.waiting[a.Number%maxPending]
	if a.Incarnation != s.life || a.Number == 0 || w.number != a.Number || a.Number <= s.latest {
		return false
	}
	if a.Verdict == VerdictRetry {
		s.redirected = max(s.redirected, a.Number)
		if a.Nonce != 0 {
			s.proof = a.Nonce
		}
		s.leader = a.Leader // an empty one: the next question goes to another voter
		s.next = min(s.next, max(w.at+minRequestInterval, now))
		return false
	}
	s.latest, s.why = a.Number, a.Reason
	if a.Leader != "" {
		s.leader = a.Leader
	}
	s.right = max(s.right, a.AssignedEpoch)
	was := s.state
	switch a.Verdict {
	case VerdictGranted:
		s.mayLeave = a.MayGoOutOfService
		s.until = max(s.until, w.at+min(a.Duration, s.lease))
		if now < s.until {
			s.enter(now, eventGranted)
		}
	case VerdictLagging, VerdictEjected:
		s.enter(now, eventFenced)
	case VerdictNameTaken:
		s.enter(now, eventSuperseded)
	}
	return s.state != was
}

func (s *Holder) enter(now float64, in event) {
	if next := nextState(s.state, in); next != s.state {
		s.state, s.since = next, now
	}
}

// Expire lets the lease run out.
func (s *Holder) Expire(now float64) bool {
	if s.state != StateLeased || now < s.until {
		return false
	}
	s.enter(now, eventExpired)
	s.why = "nothing heard of a leader"
	return true
}

// SetActiveEpoch tells on which version the server acts from now on, and what hinders it from another one.
func (s *Holder) SetActiveEpoch(e release.Epoch, stuck string) {
	if e != s.acts {
		s.toll = release.ErrorTally{}
		s.next = math.Inf(-1) // it is told at once
	}
	s.acts, s.stuck = e, stuck
}

// SetErrorTally tells what the tasks under the present version came to so far.
func (s *Holder) SetErrorTally(t release.ErrorTally) { s.toll = t }

// Unanswered is how many questions in a row had no answer that counted.
func (s *Holder) Unanswered() uint64 { return s.number - max(s.latest, s.redirected) }

// MayGoOutOfService tells whether it is among the few that may go off the roster when they hear nothing.
func (s *Holder) MayGoOutOfService() bool { return s.mayLeave }

// AssignedEpoch is the version that it should act on, as far as it was told; 0 where it was not.
func (s *Holder) AssignedEpoch() release.Epoch { return s.right }

// Snapshot is how a server stands, and what it does.
type Snapshot struct {
	State State
	serving.Directive
}

// Snapshot is how it stands.
func (s *Holder) Snapshot() Snapshot {
	quiet := s.silent
	if quiet == ModeOutOfService && !s.mayLeave {
		quiet = ModeSafeDefaults
	}
	v := Snapshot{s.state, serving.Directive{Epoch: uint64(s.acts), ChangesAt: math.Inf(1), Mode: quiet, NextMode: quiet, Reason: s.why}}
	switch s.state {
	case StateLeased:
		v.Mode, v.ChangesAt = ModeNormal, s.until
	case StateFenced, StateSuperseded:
		v.Mode, v.NextMode = ModeOutOfService, ModeOutOfService
	}
	return v
}

// State is how it stands, since when, and why.
func (s *Holder) State() (state State, since float64, why string) { return s.state, s.since, s.why }
