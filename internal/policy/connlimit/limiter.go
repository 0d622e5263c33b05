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

// Door is the connection limiter: it knows the state of every connection. The zero value is not
// ready; use one of the constructors.
type Door struct {
	*clientPolicy // nil without rules

	connections []connection // by slot
	queues      [stateCount]linkedList
	timeouts    [stateCount]float64 // how long a connection may be in a state, s
	draining    bool
	nextBatchAt float64 // when the next batch of decisions may come, s
	decisions   []Verdict
}

// New returns a limiter without rules, for connections that may be idle for idleTimeout seconds.
func New(idleTimeout float64) *Door {
	limiter := &Door{nextBatchAt: math.Inf(-1)}
	for state := range limiter.timeouts {
		limiter.timeouts[state] = math.Inf(1)
	}
	limiter.timeouts[Stranger] = firstMessageTimeout
	limiter.timeouts[Half] = firstMessageTimeout
	limiter.timeouts[Known] = idleTimeout
	limiter.timeouts[Parting] = closeTimeout
	limiter.timeouts[Lobby] = heldTimeout
	limiter.timeouts[Turned] = rejectedTimeout
	return limiter
}

// Idle sets for how many seconds a connection may be idle. It holds for all connections from now
// on, and has no effect once the server is draining.
func (l *Door) Idle(idleTimeout float64) {
	if !l.draining {
		l.timeouts[Known] = idleTimeout
	}
}

// LeaveAll has every connection asked to close, and closed soon after none of its requests is open;
// those that are opened from now on too. It returns the slots of those with an open request that
// were not asked yet, which are to be asked at once.
func (l *Door) LeaveAll() (active []int32) {
	l.draining = true
	l.timeouts[Stranger] = 0
	l.timeouts[Known] = 0
	l.timeouts[Half] = 0
	l.timeouts[Parting] = drainCloseTimeout
	for slot := l.firstIn(Busy); slot >= 0; slot = l.nextInState(slot) {
		if conn := &l.connections[slot]; !conn.askedToClose {
			conn.askedToClose = true
			active = append(active, slot)
		}
	}
	return active
}

// Open takes on a new connection at a slot that is free.
func (l *Door) Open(slot int32, now float64) {
	l.grow(slot)
	l.connections[slot] = connection{lastHeard: now}
	l.enter(slot, Stranger, now)
}

// grow makes room for a slot.
func (l *Door) grow(slot int32) {
	for int(slot) >= len(l.connections) {
		l.connections = append(l.connections, connection{})
	}
}

// Leave frees the slot of a connection that is gone.
func (l *Door) Leave(slot int32) {
	l.enter(slot, Gone, 0)
	if l.clientPolicy != nil {
		l.removeFromAddress(slot)
	}
	l.shrink()
}

// shrink drops free slots at the end, and returns memory after many connections left.
func (l *Door) shrink() {
	const keptSlots = 1024
	size := len(l.connections)
	for size > 0 && l.connections[size-1].state == Gone {
		size--
	}
	l.connections = l.connections[:size]
	if cap(l.connections) > 4*size+keptSlots {
		l.connections = append(make([]connection, 0, 2*size), l.connections...)
	}
}

// Tell takes on an event of the connection at a slot.
func (l *Door) Tell(slot int32, event Input, now float64) {
	conn := &l.connections[slot]
	switch event {
	case Spoke, Heard:
		conn.lastHeard = now
		conn.hasPartial = false
	case Owed:
		conn.hasPartial = false
	case Partly:
		conn.lastHeard = now
		conn.hasPartial = true
	case Settled:
		conn.lastHeard = now
	}
	l.handle(slot, event, now)
	if event != Settled {
		return
	}
	if conn.hasPartial {
		l.handle(slot, Partly, now)
	}
	if conn.askedToClose {
		l.handle(slot, Told, now)
	}
}

// State returns the state of the connection at a slot.
func (l *Door) State(slot int32) State {
	if int(slot) >= len(l.connections) {
		return Gone
	}
	return l.connections[slot].state
}

// Count returns how many connections are in a state.
func (l *Door) Count(state State) int { return int(l.queues[state].count) }

// firstIn returns the slot that has been in a state for longest, -1 where there is none.
func (l *Door) firstIn(state State) int32 { return l.queues[state].first - 1 }

// nextInState returns the slot that follows another in the queue of their state, -1 after the last.
func (l *Door) nextInState(slot int32) int32 { return l.connections[slot].stateLinks.next - 1 }
