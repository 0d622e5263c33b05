package connlimit

import (
	"math"
	"strconv"
)

// Command is what is to be done with a connection.
type Command uint8

// The commands to the server.
const (
	CommandAskToClose Command = iota // ask the peer to close it
	CommandClose                     // close it and report that; or, with unread data, report that and read
	commandCount                     // how many commands there are
)

var commandNames = [commandCount]string{CommandAskToClose: "ask_to_close", CommandClose: "close"}

// String returns the name of the command.
func (c Command) String() string {
	if c >= commandCount {
		return "command " + strconv.Itoa(int(c))
	}
	return commandNames[c]
}

// Decision is a decision on the connection at a slot.
type Decision struct {
	Slot          int32
	Command       Command
	PreviousState State // the state of the connection before
}

// Timeouts of the states, in seconds.
const (
	// firstMessageTimeout is how soon a new connection has to send something valid, and a partial
	// message has to be complete. With a peer that wastes it, half a second is left of the two in
	// which it is owed its close. It may hurt a balancer that opens connections ahead of need, which
	// then opens another, or whose machine stood still for as long.
	firstMessageTimeout = 1.5
	// closeTimeout is ample for a balancer that closes when it is asked to: what it sent before
	// arrives within 50 ms.
	closeTimeout = 0.5
	// drainCloseTimeout is closeTimeout for a server that is draining: twice those 50 ms.
	drainCloseTimeout = 0.1
	// heldTimeout is how long a held connection has for its first request: that follows its
	// connection at once, and each one held takes a descriptor. A later request crosses the close.
	heldTimeout = 0.25
	// rejectedTimeout leaves the turn in which the rejection is written; the next one may close it.
	rejectedTimeout = 0.0005
)

// Decisions come in batches, so that connections that fell idle together hold up no answer.
const (
	// maxBatch is how many decisions a batch has. Four at some 10 us each add 40 us at most to an
	// answer that is ready; 4,000 a second are a tenth of a core with all that follows from them,
	// which docs/idle.md measures. It may hurt where more connections than that come and go each
	// second, which then stay a little longer.
	maxBatch = 4
	// batchInterval is the least that a timer of the Go runtime can wait, in seconds.
	batchInterval = 0.001
	// maxHeldBatch is maxBatch for connections not admitted, where each decision follows an arrival
	// and so is no burst of our own making.
	maxHeldBatch = 64
	// maxDrainBatch is maxBatch for a server that is draining, whose requests have been answered.
	maxDrainBatch = 128
)

// timedStates are the states that time out, in the order in which they are looked at: first those
// whose end frees a descriptor.
var timedStates = [...]State{StateRejected, StateHeld, StateNew, StatePartialMessage, StateAskedToClose, StateIdle}

// TakeDecisions returns what is to be done at now: a batch of it, in each state those first whose timeout
// passed first. The slice is valid until the next call.
func (l *Limiter) TakeDecisions(now float64) []Decision {
	l.decisions = l.decisions[:0]
	if now < l.nextBatchAt {
		return nil
	}
	room := maxBatch
	if l.draining {
		room = maxDrainBatch
	}
	for _, state := range timedStates {
		if state.isHeld() {
			l.expireHeld(state, now)
			continue
		}
		room = l.expire(state, room, now)
	}
	if len(l.decisions) > 0 {
		l.nextBatchAt = now + batchInterval
	}
	return l.decisions
}

// expireHeld times out connections that are not admitted, up to the size of their batch.
func (l *Limiter) expireHeld(state State, now float64) {
	for now >= l.nextTimeout(state) && len(l.decisions) < maxHeldBatch {
		l.handle(l.firstIn(state), EventTimeout, now)
	}
}

// expire times out at most room connections in a state, and returns the room that is left.
func (l *Limiter) expire(state State, room int, now float64) int {
	event := EventTimeout
	if l.draining && state.hasNoRequest() {
		event = EventDrain
	}
	for now >= l.nextTimeout(state) && room > 0 {
		room--
		l.handle(l.firstIn(state), event, now)
	}
	return room
}

// decide adds a decision to the batch.
func (l *Limiter) decide(slot int32, command Command, previous State) {
	l.decisions = append(l.decisions, Decision{slot, command, previous})
}

// NextWakeup returns when there may be decisions to take, infinite where nothing is ahead.
func (l *Limiter) NextWakeup() float64 {
	wakeup := math.Inf(1)
	for _, state := range timedStates {
		wakeup = min(wakeup, l.nextTimeout(state))
	}
	return max(wakeup, l.nextBatchAt)
}

// nextTimeout returns when the first connection in a state times out, infinite where there is none.
func (l *Limiter) nextTimeout(state State) float64 {
	slot := l.firstIn(state)
	if slot < 0 {
		return math.Inf(1)
	}
	since := l.connections[slot].since
	if state == StateHeld && l.Count(state) > l.clientPolicy.rules.HoldingSlots { // it has to make room
		return since
	}
	return since + l.timeouts[state]
}
