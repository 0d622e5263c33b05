package connlimit

import "strconv"

// State is the state of a connection.
type State uint8

// The states of a connection.
const (
	Gone       State = iota // no connection has the slot
	Stranger                // has sent nothing valid yet
	Known                   // has sent something valid, and none of its requests is open
	Half                    // like idle, and the start of a message is there
	Busy                    // a request of it is open
	Parting                 // the peer was asked to close it
	Ending                  // to be closed: the decision was made
	Lobby                   // accepted but not admitted: its requests are rejected
	Turned                  // like held, and its request was rejected: closed next
	stateCount              // how many states there are
)

var stateNames = [stateCount]string{
	Gone:     "closed",
	Stranger: "new",
	Known:    "idle",
	Half:     "partial_message",
	Busy:     "active",
	Parting:  "asked_to_close",
	Ending:   "closing",
	Lobby:    "held",
	Turned:   "rejected",
}

// String returns the name of the state.
func (s State) String() string {
	if s >= stateCount {
		return "state " + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// hasNoRequest reports whether a draining server asks connections in the state to close: they are
// admitted, have no open request and were not asked yet.
func (s State) hasNoRequest() bool { return s == Stranger || s == Half || s == Known }

// isHeld reports whether connections in the state are not admitted.
func (s State) isHeld() bool { return s == Lobby || s == Turned }

// isEvictable reports whether a connection in the state may be closed when another needs its slot.
func (s State) isEvictable() bool { return s.hasNoRequest() || s == Parting }

// Input is an event of a connection.
type Input uint8

// The events of a connection.
const (
	Spoke      Input = iota // a request or a health check came, whole and valid
	Heard                   // another whole message came
	Partly                  // the start of a message came, and no more
	Owed                    // a request of it is open now
	Settled                 // none of its requests is open any more
	Due                     // the timeout of its state passed
	Told                    // the server is draining
	Woke                    // it was to be closed, but there is unread data
	eventCount              // how many events there are
)

var eventNames = [eventCount]string{
	Spoke:   "request",
	Heard:   "message",
	Partly:  "partial_message",
	Owed:    "request_opened",
	Settled: "requests_done",
	Due:     "timeout",
	Told:    "drain",
	Woke:    "unread_data",
}

// String returns the name of the event.
func (e Input) String() string {
	if e >= eventCount {
		return "event " + strconv.Itoa(int(e))
	}
	return eventNames[e]
}

// effect is what a transition does beside entering the next state.
type effect uint8

const (
	effectNone   effect = iota
	effectAsk           // decide to ask the peer to close, unless it was asked before
	effectClose         // decide to close
	effectResume        // return to the state before the decision to close
)

// transition is one row of the state table.
type transition struct {
	from   State
	event  Input
	to     State
	effect effect
}

// transitions is the whole state table. An event that has no row changes nothing; with each one
// that has, the timeout of the next state begins, also where that is the same state.
var transitions = [...]transition{
	{Stranger, Spoke, Known, effectNone},
	{Stranger, Owed, Busy, effectNone},
	{Stranger, Due, Ending, effectClose},
	{Stranger, Told, Parting, effectAsk},

	{Known, Spoke, Known, effectNone},
	{Known, Heard, Known, effectNone},
	{Known, Partly, Half, effectNone},
	{Known, Owed, Busy, effectNone},
	{Known, Due, Parting, effectAsk},
	{Known, Told, Parting, effectAsk},

	{Half, Spoke, Known, effectNone},
	{Half, Heard, Known, effectNone},
	{Half, Owed, Busy, effectNone},
	{Half, Due, Ending, effectClose},
	{Half, Told, Parting, effectAsk},

	{Busy, Settled, Known, effectNone}, // HandleEvent goes on from there by what the request left

	{Parting, Owed, Busy, effectNone}, // its request crossed the message that asked it to close
	{Parting, Due, Ending, effectClose},

	{Ending, Woke, Gone, effectResume},

	{Lobby, Spoke, Turned, effectNone},
	{Lobby, Due, Ending, effectClose},
	{Turned, Due, Ending, effectClose},
}

// handle takes a connection on by the state table.
func (l *Door) handle(slot int32, event Input, now float64) {
	state := l.connections[slot].state
	for i := range transitions {
		row := &transitions[i]
		if row.from == state && row.event == event {
			l.follow(row, slot, now)
			return
		}
	}
}

// follow carries out one row of the state table.
func (l *Door) follow(row *transition, slot int32, now float64) {
	conn := &l.connections[slot]
	next := row.to
	switch row.effect {
	case effectAsk:
		if !conn.askedToClose {
			conn.askedToClose = true
			l.decide(slot, Ask, row.from)
		}
	case effectClose:
		conn.closedFrom = row.from
		l.decide(slot, Close, row.from)
	case effectResume:
		next = conn.closedFrom
	}
	l.enter(slot, next, now)
}

// enter moves a connection to the end of the queue of a state. As all connections of a state have
// the same timeout, the first in its queue is the first to time out.
func (l *Door) enter(slot int32, state State, now float64) {
	conn := &l.connections[slot]
	if conn.state != Gone {
		node := conn.stateLinks
		l.queues[conn.state].remove(node, l.stateLinks(node.prev), l.stateLinks(node.next))
	}
	conn.state = state
	conn.since = now
	conn.stateLinks = links{}
	if l.clientPolicy != nil {
		l.updateClient(slot, now)
	}
	if state == Gone {
		return
	}
	queue := &l.queues[state]
	queue.pushBack(slot+1, &conn.stateLinks, l.stateLinks(queue.last))
}

// stateLinks returns the links of a connection, counted from 1, in the queue of its state; nil for 0.
func (l *Door) stateLinks(number int32) *links {
	if number == 0 {
		return nil
	}
	return &l.connections[number-1].stateLinks
}
