package lease

import "swiftcourse/internal/policy/serving"

// State is the state of a lease as the holder knows it.
type State uint8

const (
	// StateInitial means that the holder has not received a decision from a leader yet.
	StateInitial State = iota
	// StateLeased means that the holder has a lease.
	StateLeased
	// StateExpired means that the lease ended before a leader extended it.
	StateExpired
	// StateFenced means that the leader refuses a lease to this server.
	StateFenced
	// StateSuperseded means that the server's name belongs to another incarnation.
	StateSuperseded
)

// stateNames are part of the control API and must not change. They differ from the names of the
// constants, which were renamed later.
var stateNames = [...]string{"fresh", "acting", "silent", "out", "taken"}

// String returns the name of the state in the control API and the log.
func (s State) String() string {
	return serving.EnumName(stateNames[:], "state", uint8(s))
}

// event is an input of the holder's state machine.
type event uint8

const (
	eventGranted event = iota
	eventExpired
	eventFenced
	eventSuperseded
)

// transitions is the whole state machine. An event that is not listed for a state leaves the state
// unchanged. In particular, a fenced or superseded server doesn't return to service when its lease
// expires.
var transitions = [...]struct {
	from  State
	event event
	to    State
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
	{StateSuperseded, eventGranted, StateLeased}, // the other incarnation's lease expired
}

// nextState returns the state after an event.
func nextState(state State, event event) State {
	for _, transition := range transitions {
		if transition.from == state && transition.event == event {
			return transition.to
		}
	}
	return state
}
