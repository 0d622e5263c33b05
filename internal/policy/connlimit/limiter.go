package connlimit

import "math"

// connection is the state of one connection. Keep it at 48 bytes: a server may have a million of
// them.
type connection struct {
	stateSince    float64 // when the timeout of its state started, s
	lastHeard     float64 // the last time that it was opened, received data or completed its requests, s
	stateLinks    links   // in the queue of its state
	addressLinks  links   // in the list of its address
	addressNumber int32   // index of its address's table entry plus 1, 0 for none
	state         State
	closedFrom    State // the state before the decision to close it
	hasPartial    bool  // only part of a message was received
	askedToClose  bool
	admitted      bool // always false without rules
	evictable     bool // in the list of its address's evictable connections
	countedActive bool // counted in the active count of its address
}

// Limiter is the connection limiter, with the state of every connection. Create one with New or
// NewWithRules; the zero value is not usable.
type Limiter struct {
	clientPolicy *clientPolicy // nil without rules
	connections  []connection  // by slot
	queues       [stateCount]linkedList
	timeouts     [stateCount]float64 // the longest time that a connection may be in a state, s
	draining     bool
	nextBatchAt  float64 // earliest time of the next batch of decisions, s
	decisions    []Decision
}

// New returns a limiter without rules. Connections may be idle for idleTimeout seconds.
func New(idleTimeout float64) *Limiter {
	limiter := &Limiter{nextBatchAt: math.Inf(-1)}
	for state := range limiter.timeouts {
		limiter.timeouts[state] = math.Inf(1)
	}
	limiter.timeouts[StateNew] = firstMessageTimeoutSeconds
	limiter.timeouts[StatePartialMessage] = firstMessageTimeoutSeconds
	limiter.timeouts[StateIdle] = idleTimeout
	limiter.timeouts[StateAskedToClose] = closeTimeoutSeconds
	limiter.timeouts[StateHeld] = heldTimeoutSeconds
	limiter.timeouts[StateRejected] = rejectedTimeoutSeconds
	return limiter
}

// SetIdleTimeout sets the idle timeout, in seconds, of all existing and future connections. It has no
// effect while the server drains.
func (l *Limiter) SetIdleTimeout(idleTimeout float64) {
	if !l.draining {
		l.timeouts[StateIdle] = idleTimeout
	}
}

// StartDrain starts to drain: the peer of every connection, including new ones, is asked to close it,
// and the connection is closed soon after its last request is done. StartDrain returns the slots of
// connections with an open request whose peers were not asked yet; the caller asks them immediately.
func (l *Limiter) StartDrain() (active []int32) {
	l.draining = true
	l.timeouts[StateNew] = 0
	l.timeouts[StateIdle] = 0
	l.timeouts[StatePartialMessage] = 0
	l.timeouts[StateAskedToClose] = drainCloseTimeoutSeconds
	for slot := l.firstIn(StateActive); slot >= 0; slot = l.nextInState(slot) {
		if conn := &l.connections[slot]; !conn.askedToClose {
			conn.askedToClose = true
			active = append(active, slot)
		}
	}
	return active
}

// HandleOpen adds a new connection at a free slot, without applying rules.
func (l *Limiter) HandleOpen(slot int32, now float64) {
	l.grow(slot)
	l.connections[slot] = connection{lastHeard: now}
	l.enter(slot, StateNew, now)
}

// grow extends the connections to include a slot.
func (l *Limiter) grow(slot int32) {
	for int(slot) >= len(l.connections) {
		l.connections = append(l.connections, connection{})
	}
}

// HandleClosed frees the slot of a closed connection.
func (l *Limiter) HandleClosed(slot int32) {
	l.enter(slot, StateClosed, 0)
	if l.clientPolicy != nil {
		l.removeFromAddress(slot)
	}
	l.shrink()
}

// shrink removes free slots at the end, and releases memory after many connections were closed.
func (l *Limiter) shrink() {
	const keptSlots = 1024
	size := len(l.connections)
	for size > 0 && l.connections[size-1].state == StateClosed {
		size--
	}
	l.connections = l.connections[:size]
	if cap(l.connections) > 4*size+keptSlots {
		l.connections = append(make([]connection, 0, 2*size), l.connections...)
	}
}

// HandleEvent processes an event of the connection at a slot.
func (l *Limiter) HandleEvent(slot int32, event Event, now float64) {
	conn := &l.connections[slot]
	switch event {
	case EventRequest, EventMessage:
		conn.lastHeard = now
		conn.hasPartial = false
	case EventRequestOpened:
		conn.hasPartial = false
	case EventPartialMessage:
		conn.lastHeard = now
		conn.hasPartial = true
	case EventRequestsDone:
		conn.lastHeard = now
	}
	l.applyEvent(slot, event, now)
	if event != EventRequestsDone {
		return
	}
	if conn.hasPartial {
		l.applyEvent(slot, EventPartialMessage, now)
	}
	if conn.askedToClose {
		l.applyEvent(slot, EventDrain, now)
	}
}

// State returns the state of the connection at a slot.
func (l *Limiter) State(slot int32) State {
	if int(slot) >= len(l.connections) {
		return StateClosed
	}
	return l.connections[slot].state
}

// Count returns the number of connections in a state.
func (l *Limiter) Count(state State) int { return int(l.queues[state].count) }

// firstIn returns the slot of the connection that entered a state first, -1 if there is none.
func (l *Limiter) firstIn(state State) int32 { return l.queues[state].first - 1 }

// nextInState returns the slot of the next connection in the queue of the same state, -1 after the
// last.
func (l *Limiter) nextInState(slot int32) int32 { return l.connections[slot].stateLinks.next - 1 }
