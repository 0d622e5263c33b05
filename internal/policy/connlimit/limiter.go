package connlimit

import "math"

// connection is what is known of one connection. It is kept at 48 bytes, as a server may hold a
// million of them.
type connection struct {
	since        float64 // when the timeout of its state began, s
	lastHeard    float64 // when something last came over it, s
	stateLinks   links   // in the queue of its state
	addressLinks links   // in the list of its address
	address      int32   // of its address in the table, counted from 1; 0 without rules
	state        State
	closedFrom   State // its state before the decision to close it
	hasPartial   bool  // the start of a message is there
	askedToClose bool
	admitted     bool // by rules
	listed       bool // in the list of its address: it may be evicted
	active       bool // counted as active at its address
}

// Limiter is the connection limiter: it knows the state of every connection. The zero value is not
// ready; use one of the constructors.
type Limiter struct {
	clientPolicy *clientPolicy // nil without rules
	connections  []connection  // by slot
	queues       [stateCount]linkedList
	timeouts     [stateCount]float64 // how long a connection may be in a state, s
	draining     bool
	nextBatchAt  float64 // when the next batch of decisions may come, s
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

// StartDrain has every connection asked to close, and closed soon after none of its requests is open;
// those that are opened from now on too. It returns the slots of those with an open request that
// were not asked yet, which are to be asked at once.
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

// HandleOpen takes on a new connection at a slot that is free.
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

// HandleClosed frees the slot of a connection that is gone.
func (l *Limiter) HandleClosed(slot int32) {
	l.enter(slot, StateClosed, 0)
	if l.clientPolicy != nil {
		l.removeFromAddress(slot)
	}
	l.shrink()
}

// shrink drops free slots at the end, and returns memory after many connections left.
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

// HandleEvent takes on an event of the connection at a slot.
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
	l.handle(slot, event, now)
	if event != EventRequestsDone {
		return
	}
	if conn.hasPartial {
		l.handle(slot, EventPartialMessage, now)
	}
	if conn.askedToClose {
		l.handle(slot, EventDrain, now)
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

// firstIn returns the slot that has been in a state for longest, -1 where there is none.
func (l *Limiter) firstIn(state State) int32 { return l.queues[state].first - 1 }

// nextInState returns the slot that follows another in the queue of their state, -1 after the last.
func (l *Limiter) nextInState(slot int32) int32 { return l.connections[slot].stateLinks.next - 1 }
