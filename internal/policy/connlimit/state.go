package connlimit

import "strconv"

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	StateClosed         State = iota // the slot is free
	StateNew                         // the peer has sent nothing valid yet
	StateIdle                        // the peer has sent something valid; no request is open
	StatePartialMessage              // like StateIdle, but part of a message was received
	StateActive                      // a request is open
	StateAskedToClose                // the peer was asked to close the connection
	StateClosing                     // the limiter decided to close the connection
	StateHeld                        // in the holding area, not admitted; its requests are rejected
	StateRejected                    // like StateHeld, but a request was rejected: to be closed next
	stateCount                       // number of states
)

var stateNames = [stateCount]string{
	StateClosed:         "closed",
	StateNew:            "new",
	StateIdle:           "idle",
	StatePartialMessage: "partial_message",
	StateActive:         "active",
	StateAskedToClose:   "asked_to_close",
	StateClosing:        "closing",
	StateHeld:           "held",
	StateRejected:       "rejected",
}

// String returns the name of the state.
func (s State) String() string {
	if s >= stateCount {
		return "state " + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// canAskToClose reports whether a draining server asks peers to close connections in the state: they
// are not held, have no open request, and their peers were not asked yet.
func (s State) canAskToClose() bool {
	return s == StateNew || s == StatePartialMessage || s == StateIdle
}

// isHeld reports whether connections in the state are in the holding area.
func (s State) isHeld() bool { return s == StateHeld || s == StateRejected }

// isEvictable reports whether connections in the state may be closed when another needs the slot.
func (s State) isEvictable() bool { return s.canAskToClose() || s == StateAskedToClose }

// Event is an event of a connection.
type Event uint8

// The events of a connection.
const (
	EventRequest        Event = iota // a complete valid request or health check was received
	EventMessage                     // another complete message was received
	EventPartialMessage              // only part of a message was received
	EventRequestOpened               // a request was opened
	EventRequestsDone                // the last open request of the connection is done
	EventTimeout                     // the timeout of the connection's state passed
	EventDrain                       // the server is draining
	EventUnreadData                  // the connection can't be closed because it has unread data
	eventCount                       // number of events
)

var eventNames = [eventCount]string{
	EventRequest:        "request",
	EventMessage:        "message",
	EventPartialMessage: "partial_message",
	EventRequestOpened:  "request_opened",
	EventRequestsDone:   "requests_done",
	EventTimeout:        "timeout",
	EventDrain:          "drain",
	EventUnreadData:     "unread_data",
}

// String returns the name of the event.
func (e Event) String() string {
	if e >= eventCount {
		return "event " + strconv.Itoa(int(e))
	}
	return eventNames[e]
}

// effect is the side effect of a transition.
type effect uint8

const (
	effectNone       effect = iota
	effectAskToClose        // decide to ask the peer to close, unless it was already asked
	effectClose             // decide to close the connection
	effectResume            // return to the state before the decision to close
)

// transition is one row of the state table.
type transition struct {
	from   State
	event  Event
	to     State
	effect effect
}

// transitions is the state table. An event without a row is ignored. Every transition restarts the
// timeout, even if the state stays the same.
var transitions = [...]transition{
	{StateNew, EventRequest, StateIdle, effectNone},
	{StateNew, EventRequestOpened, StateActive, effectNone},
	{StateNew, EventTimeout, StateClosing, effectClose},
	{StateNew, EventDrain, StateAskedToClose, effectAskToClose},

	{StateIdle, EventRequest, StateIdle, effectNone},
	{StateIdle, EventMessage, StateIdle, effectNone},
	{StateIdle, EventPartialMessage, StatePartialMessage, effectNone},
	{StateIdle, EventRequestOpened, StateActive, effectNone},
	{StateIdle, EventTimeout, StateAskedToClose, effectAskToClose},
	{StateIdle, EventDrain, StateAskedToClose, effectAskToClose},

	{StatePartialMessage, EventRequest, StateIdle, effectNone},
	{StatePartialMessage, EventMessage, StateIdle, effectNone},
	{StatePartialMessage, EventRequestOpened, StateActive, effectNone},
	{StatePartialMessage, EventTimeout, StateClosing, effectClose},
	{StatePartialMessage, EventDrain, StateAskedToClose, effectAskToClose},

	// HandleEvent then applies a partial message that arrived, or a request to close that was made,
	// while the request was open.
	{StateActive, EventRequestsDone, StateIdle, effectNone},

	// The peer sent the request before it received the message that asks it to close.
	{StateAskedToClose, EventRequestOpened, StateActive, effectNone},
	{StateAskedToClose, EventTimeout, StateClosing, effectClose},

	{StateClosing, EventUnreadData, StateClosed, effectResume},

	{StateHeld, EventRequest, StateRejected, effectNone},
	{StateHeld, EventTimeout, StateClosing, effectClose},
	{StateRejected, EventTimeout, StateClosing, effectClose},
}

// applyEvent carries out the transition for an event, if the state table has one.
func (l *Limiter) applyEvent(slot int32, event Event, now float64) {
	state := l.connections[slot].state
	for i := range transitions {
		row := &transitions[i]
		if row.from == state && row.event == event {
			l.applyTransition(row, slot, now)
			return
		}
	}
}

// applyTransition carries out one transition.
func (l *Limiter) applyTransition(row *transition, slot int32, now float64) {
	conn := &l.connections[slot]
	next := row.to
	switch row.effect {
	case effectAskToClose:
		if !conn.askedToClose {
			conn.askedToClose = true
			l.addDecision(slot, CommandAskToClose, row.from)
		}
	case effectClose:
		conn.closedFrom = row.from
		l.addDecision(slot, CommandClose, row.from)
	case effectResume:
		next = conn.closedFrom
	}
	l.enter(slot, next, now)
}

// enter moves a connection to a state and appends it to the state's queue. All connections in a state
// have the same timeout, so the first in the queue is the first to time out.
func (l *Limiter) enter(slot int32, state State, now float64) {
	conn := &l.connections[slot]
	if conn.state != StateClosed {
		node := conn.stateLinks
		l.queues[conn.state].remove(node, l.stateLinks(node.prev), l.stateLinks(node.next))
	}
	conn.state = state
	conn.stateSince = now
	conn.stateLinks = links{}
	if l.clientPolicy != nil {
		l.updateClient(slot, now)
	}
	if state == StateClosed {
		return
	}
	queue := &l.queues[state]
	queue.pushBack(slot+1, &conn.stateLinks, l.stateLinks(queue.last))
}

// stateLinks returns the links, in its state's queue, of the connection with a number (slot plus 1).
// It returns nil for number 0.
func (l *Limiter) stateLinks(number int32) *links {
	if number == 0 {
		return nil
	}
	return &l.connections[number-1].stateLinks
}
