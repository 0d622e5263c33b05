package lease

import "strconv"

// State is a holder's state as far as the holder knows it.
type State uint8

const (
	// StateInitial is the state of a holder that never had a decision from a leader.
	StateInitial State = iota
	// StateLeased means that the holder has a lease.
	StateLeased
	// StateExpired means that the lease ended without word from a leader.
	StateExpired
	// StateFenced means that the leader refuses a lease to this server.
	StateFenced
	// StateSuperseded means that the server's name belongs to another incarnation.
	StateSuperseded
)

// stateNames are part of the control API, whose words don't change.
var stateNames = [...]string{"fresh", "acting", "silent", "out", "taken"}

// String returns the word that the control API and the log use for the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// event is what changes a holder's state.
type event uint8

const (
	eventGranted event = iota
	eventExpired
	eventFenced
	eventSuperseded
)

// transitions is the whole state machine. An event that is not listed for a state leaves it
// unchanged: a fenced or superseded server doesn't come back because time passes.
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
	{StateSuperseded, eventGranted, StateLeased}, // the other incarnation's lease ended
}

// nextState returns the state that follows from an event.
func nextState(state State, event event) State {
	for _, transition := range transitions {
		if transition.from == state && transition.event == event {
			return transition.to
		}
	}
	return state
}
