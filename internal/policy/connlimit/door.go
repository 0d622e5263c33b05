// Package connlimit decides about connections that were accepted: which are asked to close, which are closed, and which one goes
// when another needs its place. It has no I/O and no clock; who calls it tells what came and when, and does what it says.
//
// A connection is named by its slot, a small number that is used again once the connection is gone. Times are in seconds
// on a clock that only moves forward.
package connlimit

import (
	"iter"
	"math"
)

// State is where a connection is in its life.
type State uint8

const (
	Gone     State = iota // no connection has the slot
	Stranger              // has brought nothing in order yet
	Known                 // has, and owes nothing and is owed nothing
	Half                  // has, and left a message in part
	Busy                  // a task of it is open
	Parting               // was asked to close
	Ending                // is to be closed; Close was said of it
	Lobby                 // accepted and not let in: what it asks is rejected
	Turned                // has that answer, and is closed next
	states
)

// Input is what happened to a connection.
type Input uint8

const (
	Spoke   Input = iota // it brought a task or a check, whole and in order
	Heard                // it brought another whole message
	Partly               // the start of a message is there, and no more
	Owed                 // a task of it is open now
	Settled              // none of its tasks is open any more
	Due                  // the time of its state is over
	Told                 // it is to leave, as the server does
	Woke                 // Close was said of it, but something is there to be read
)

// effect is what else a step does.
type effect uint8

const (
	move   effect = iota // nothing else
	ask                  // the peer is asked to close, unless it was before
	end                  // the connection is to be closed
	resume               // it is what it was before Close was said
)

// life is a connection's whole life. What it does not list changes nothing; with every step that it lists the time of the
// next state begins, also where that is the state it was in.
var life = [...]struct {
	state State
	input Input
	next  State
	effect
}{
	{Stranger, Spoke, Known, move},
	{Stranger, Owed, Busy, move},
	{Stranger, Due, Ending, end},
	{Stranger, Told, Parting, ask},

	{Known, Spoke, Known, move},
	{Known, Heard, Known, move},
	{Known, Partly, Half, move},
	{Known, Owed, Busy, move},
	{Known, Due, Parting, ask},
	{Known, Told, Parting, ask},

	{Half, Spoke, Known, move},
	{Half, Heard, Known, move},
	{Half, Owed, Busy, move},
	{Half, Due, Ending, end},
	{Half, Told, Parting, ask},

	{Busy, Settled, Known, move}, // and on to Half or Parting by what it left

	{Parting, Owed, Busy, move}, // its task crossed what it was asked
	{Parting, Due, Ending, end},

	{Ending, Woke, Gone, resume},

	{Lobby, Spoke, Turned, move},
	{Lobby, Due, Ending, end},
	{Turned, Due, Ending, end},
}

// Verb is what is to be done with a connection.
type Verb uint8

const (
	Ask   Verb = iota // ask the peer to close it
	Close             // close it, and say Leave; or, where something is there to be read, say Woke and read that first
)

// Verdict is what is to be done with the connection at a slot. Was is the state that it was in.
type Verdict struct {
	Slot int32
	Do   Verb
	Was  State
}

const (
	// speakIn is how soon a new connection has to bring something in order, and a message its rest. With a peer that only wastes
	// it leaves half a second of the two in which it is owed its close. It may hurt a balancer that opens connections
	// ahead of need, which then opens another, or whose machine stood still for as long.
	speakIn = 1.5
	// speakSoon is within what a balancer's first message follows its connection, unless the loop is far behind.
	speakSoon = 0.1
	// heedIn is ample for a balancer that heeds what it is asked: what it sent before arrives within 50 ms.
	heedIn = 0.5
	// heedSoon is heedIn for a server that leaves: twice those 50 ms.
	heedSoon = 0.1

	// Verdicts come in slices, so that connections that fell idle together hold up no answer: a slice every millisecond, the least
	// that a timer of the Go runtime can wait, of maxASlice. Four at some 10 us each add 40 us at most to an answer
	// that is ready; 4,000 a second are a tenth of a core with all that follows from them, which docs/idle.md
	// measures. It may hurt where more than that come and go each second, whose connections then stay a little longer.
	maxASlice  = 4
	sliceEvery = 0.001
	// lobbyFor is how long one that was turned away has for its first message: that follows its connection at once, and a
	// place in the lobby is a descriptor. What comes later crosses its close.
	lobbyFor = 0.25
	// turnedFor leaves the turn in which its answer is written; the next one may close it.
	turnedFor = 0.0005
	// maxLobby is maxASlice for the lobby, where each verdict follows an arrival and so is no burst of our own making.
	maxLobby = 64
	// maxLeaving is maxASlice for a server that leaves, whose tasks have all been answered.
	maxLeaving = 128
)

// record is what is known of one connection; 48 bytes.
type record struct {
	since      float64 // when the time of its state began
	heard      float64 // when something last went over it
	prev, next int32   // in the queue of its state, counted from 1
	back, fore int32   // in the list of its address, counted from 1
	entry      int32   // of its address in the book, counted from 1; 0 where there is no book
	state, was State
	half       bool // a message is there in part
	told       bool // it was asked to close
	in         bool // it was let in, by a guarded door
	listed     bool // in the list of its address: it may go for another
	busy       bool // counted as busy there
}

// Door knows every connection's state. The zero Door is not ready; use New.
type Door struct {
	records []record
	queues  [states]struct {
		first, last int32 // counted from 1
		n           int
	}
	wait    [states]float64 // how long a connection may be in a state
	*guard                  // nil where every address is alike
	leaving bool
	slice   float64 // when the next slice of verdicts may come
	said    []Verdict
}

// New makes a door for connections that may be silent for idle seconds.
func New(idle float64) *Door {
	d := &Door{slice: math.Inf(-1)}
	for s := range d.wait {
		d.wait[s] = math.Inf(1)
	}
	d.wait[Stranger], d.wait[Half], d.wait[Known], d.wait[Parting] = speakIn, speakIn, idle, heedIn
	d.wait[Lobby], d.wait[Turned] = lobbyFor, turnedFor
	return d
}

// Idle sets how many seconds a connection may be silent; it holds for all, from now on.
func (d *Door) Idle(idle float64) {
	if !d.leaving {
		d.wait[Known] = idle
	}
}

// LeaveAll has every connection asked to close, and closed soon after no task of it is open; those that are opened from now on too. It
// lists the slots of those with a task open, which are to be asked at once: there are as many as tasks at the most.
func (d *Door) LeaveAll() (busy []int32) {
	d.leaving = true
	d.wait[Stranger], d.wait[Known], d.wait[Half], d.wait[Parting] = 0, 0, 0, heedSoon
	for at := d.queues[Busy].first - 1; at >= 0; at = d.records[at].next - 1 {
		if r := &d.records[at]; !r.told {
			r.told = true
			busy = append(busy, at)
		}
	}
	return busy
}

// Open books a new connection at a slot that is free.
func (d *Door) Open(slot int32, now float64) {
	for int(slot) >= len(d.records) {
		d.records = append(d.records, record{})
	}
	d.records[slot] = record{heard: now}
	d.enter(slot, Stranger, now)
}

// Leave books that a connection is gone.
func (d *Door) Leave(slot int32) {
	d.enter(slot, Gone, 0)
	if d.guard != nil {
		d.left(slot)
	}
	n := len(d.records)
	for n > 0 && d.records[n-1].state == Gone {
		n--
	}
	if d.records = d.records[:n]; cap(d.records) > 4*n+1024 { // a crowd left
		d.records = append(make([]record, 0, 2*n), d.records...)
	}
}

// Tell books what happened to a connection.
func (d *Door) Tell(slot int32, input Input, now float64) {
	r := &d.records[slot]
	switch input {
	case Spoke, Heard:
		r.heard, r.half = now, false
	case Owed:
		r.half = false
	case Partly:
		r.heard, r.half = now, true
	case Settled:
		r.heard = now
	}
	d.step(slot, input, now)
	if input != Settled {
		return
	}
	if r.half {
		d.step(slot, Partly, now)
	}
	if r.told {
		d.step(slot, Told, now)
	}
}

// State is the state of the connection at a slot.
func (d *Door) State(slot int32) State {
	if int(slot) >= len(d.records) {
		return Gone
	}
	return d.records[slot].state
}

// Count counts the connections in a state.
func (d *Door) Count(s State) int { return d.queues[s].n }

// judged are the states whose time may be over, in the order in which it is looked at them: first those whose end
// frees a descriptor.
var judged = [...]State{Turned, Lobby, Stranger, Half, Parting, Known}

// asked are the states in which a server that leaves asks for the close.
func asked(s State) bool { return s == Stranger || s == Half || s == Known }

// due is when the first connection of a state has to go on, infinite where none has.
func (d *Door) due(s State) float64 {
	slot := d.queues[s].first - 1
	switch {
	case slot < 0:
		return math.Inf(1)
	case s == Lobby && d.queues[s].n > d.guard.Rules.Lobby: // it has to make room
		return d.records[slot].since
	}
	return d.records[slot].since + d.wait[s]
}

// Due says what is to be done at now: a slice of it, those whose time has been over for longest first in each state. It is good
// until the next call.
func (d *Door) Due(now float64) []Verdict {
	d.said = d.said[:0]
	if now < d.slice {
		return nil
	}
	most, rest := maxASlice, 0
	if d.leaving {
		most = maxLeaving
	}
	for _, s := range judged {
		over := Due
		if d.leaving && asked(s) {
			over = Told
		}
		for now >= d.due(s) {
			if s == Lobby || s == Turned {
				if len(d.said) == maxLobby {
					break
				}
			} else if rest++; rest > most {
				break
			}
			d.step(d.queues[s].first-1, over, now)
		}
	}
	if len(d.said) > 0 {
		d.slice = now + sliceEvery
	}
	return d.said
}

// Next is when Due may have something to say, infinite where nothing is ahead.
func (d *Door) Next() float64 {
	next := math.Inf(1)
	for _, s := range judged {
		next = min(next, d.due(s))
	}
	return max(next, d.slice)
}

// Spare lists the connections of which one may go when another needs its place, the first to go first: strangers that had time to
// speak; then those that owe and are owed nothing, the one silent for longest first; then newer strangers, whose first message may
// be on its way, the newest last. So who only holds connections keeps nobody out. Those with a task open are not there.
func (d *Door) Spare(now float64) iter.Seq[int32] {
	return func(yield func(int32) bool) {
		at := d.queues[Stranger].first - 1
		for ; at >= 0 && now-d.records[at].since > speakSoon; at = d.records[at].next - 1 {
			if !yield(at) {
				return
			}
		}
		heads := [...]int32{d.queues[Parting].first - 1, d.queues[Half].first - 1, d.queues[Known].first - 1}
		for {
			least := -1
			for i, h := range heads {
				if h >= 0 && (least < 0 || d.records[h].heard < d.records[heads[least]].heard) {
					least = i
				}
			}
			if least < 0 {
				break
			}
			if !yield(heads[least]) {
				return
			}
			heads[least] = d.records[heads[least]].next - 1
		}
		for ; at >= 0; at = d.records[at].next - 1 {
			if !yield(at) {
				return
			}
		}
	}
}

// step takes a connection on by the table.
func (d *Door) step(slot int32, input Input, now float64) {
	r := &d.records[slot]
	for _, l := range life {
		if l.state != r.state || l.input != input {
			continue
		}
		was, next := r.state, l.next
		switch l.effect {
		case ask:
			if !r.told {
				r.told = true
				d.said = append(d.said, Verdict{slot, Ask, was})
			}
		case end:
			r.was = was
			d.said = append(d.said, Verdict{slot, Close, was})
		case resume:
			next = r.was
		}
		d.enter(slot, next, now)
		return
	}
}

// enter puts a connection at the end of a state's queue. As all of a state may be in it for the same time, its first is due first.
func (d *Door) enter(slot int32, s State, now float64) {
	r := &d.records[slot]
	if r.state != Gone {
		q := &d.queues[r.state]
		q.n--
		if r.prev > 0 {
			d.records[r.prev-1].next = r.next
		} else {
			q.first = r.next
		}
		if r.next > 0 {
			d.records[r.next-1].prev = r.prev
		} else {
			q.last = r.prev
		}
	}
	r.state, r.since, r.prev, r.next = s, now, 0, 0
	if d.guard != nil {
		d.moved(slot, now)
	}
	if s == Gone {
		return
	}
	q := &d.queues[s]
	q.n++
	if r.prev = q.last; r.prev > 0 {
		d.records[r.prev-1].next = slot + 1
	} else {
		q.first = slot + 1
	}
	q.last = slot + 1
}
