package connlimit

import "math"

// connection is the state of one connection. It is kept at 48 bytes, as a server may have a million of them.
type connection struct {
	stateSince    float64 // when the timeout of its state began, s
	lastHeard     float64 // when data last came over it, s
	stateLinks    links   // in the queue of its state
	addressLinks  links   // in the list of its address
	addressNumber int32   // of its address's entry in the table, counted from 1; 0 for none
	state         State
	closedFrom    State // its state before the decision to close it
	hasPartial    bool  // part of a message has been received
	askedToClose  bool
	admitted      bool // by rules
	evictable     bool // in the list of its address's evictable connections
	countedActive bool // counted as active at its address
}

// Limiter is the connection limiter, with the state of every connection. Use New or NewWithRules;
// the zero value is not ready.
type Limiter struct {
	clientPolicy *clientPolicy // nil without rules
	connections  []connection  // by slot
	queues       [stateCount]linkedList
	timeouts     [stateCount]float64 // how long a connection may be in a state, s
	draining     bool
	nextBatchAt  float64 // when TakeDecisions may return the next batch, s
	decisions    []Decision
}

// New returns a limiter without rules, for connections that may be idle for idleTimeout seconds.
func New(idleTimeout float64) *Limiter {
	limiter := &Limiter{nextBatchAt: math.Inf(-1)}
	for state := range limiter.timeouts {
		limiter.timeouts[state] = math.Inf(1)
	}
	limiter.timeouts[StateNew] = firstMessageTimeout
	limiter.timeouts[StatePartialMessage] = firstMessageTimeout
	limiter.timeouts[StateIdle] = idleTimeout
	limiter.timeouts[StateAskedToClose] = closeTimeout
	limiter.timeouts[StateHeld] = heldTimeout
	limiter.timeouts[StateRejected] = rejectedTimeout
	return limiter
}

// SetIdleTimeout sets for how many seconds a connection may be idle. It holds for all connections from now
// on, and has no effect once the server is draining.
func (l *Limiter) SetIdleTimeout(idleTimeout float64) {
	if !l.draining {
		l.timeouts[StateIdle] = idleTimeout
	}
}

// StartDrain begins to drain: every connection, also each new one, is asked to close, and closed
// soon after its last request is done. It returns the slots of the connections with an open request
// that were not asked yet; the caller asks these at once.
func (l *Limiter) StartDrain() (active []int32) {
	l.draining = true
	l.timeouts[StateNew] = 0
	l.timeouts[StateIdle] = 0
	l.timeouts[StatePartialMessage] = 0
	l.timeouts[StateAskedToClose] = drainCloseTimeout
	for slot := l.firstIn(StateActive); slot >= 0; slot = l.nextInState(slot) {
		if conn := &l.connections[slot]; !conn.askedToClose {
			conn.askedToClose = true
			active = append(active, slot)
		}
	}
	return active
}

// HandleOpen adds a new connection at a free slot.
func (l *Limiter) HandleOpen(slot int32, now float64) {
	l.grow(slot)
	l.connections[slot] = connection{lastHeard: now}
	l.enter(slot, StateNew, now)
}

// grow makes room for a slot.
func (l *Limiter) grow(slot int32) {
	for int(slot) >= len(l.connections) {
		l.connections = append(l.connections, connection{})
	}
}

// HandleClosed frees the slot of a connection that was closed.
func (l *Limiter) HandleClosed(slot int32) {
	l.enter(slot, StateClosed, 0)
	if l.clientPolicy != nil {
		l.removeFromAddress(slot)
	}
	l.shrink()
}

// shrink drops the free slots at the end, and releases memory after many connections were closed.
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

// Count returns how many connections are in a state.
func (l *Limiter) Count(state State) int { return int(l.queues[state].count) }

// firstIn returns the slot that has been in a state for longest, -1 if there is none.
func (l *Limiter) firstIn(state State) int32 { return l.queues[state].first - 1 }

// nextInState returns the slot that follows another in the queue of their state, -1 after the last.
func (l *Limiter) nextInState(slot int32) int32 { return l.connections[slot].stateLinks.next - 1 }
