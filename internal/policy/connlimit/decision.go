package connlimit

import (
	"math"
	"strconv"
)

// Command is what the server is to do with a connection.
type Command uint8

// The commands.
const (
	// CommandAskToClose is to ask the peer to close the connection.
	CommandAskToClose Command = iota
	// CommandClose is to close the connection and call HandleClosed or, if there is unread data, to report
	// EventUnreadData and read it.
	CommandClose
	commandCount // number of commands
)

var commandNames = [commandCount]string{CommandAskToClose: "ask_to_close", CommandClose: "close"}

// String returns the name of the command.
func (c Command) String() string {
	if c >= commandCount {
		return "command " + strconv.Itoa(int(c))
	}
	return commandNames[c]
}

// Decision is a command for the connection at a slot.
type Decision struct {
	Slot          int32
	Command       Command
	PreviousState State // the state before the decision
}

// Timeouts of the states, in seconds.
const (
	// firstMessageTimeout is how soon a new connection has to send something valid, and a partial
	// message has to be complete. A connection that is silent must be closed within two seconds, so
	// half a second is left for the close. The timeout may close connections of a balancer that
	// opens them ahead of need, which then opens others, or of one whose machine paused for as
	// long.
	firstMessageTimeout = 1.5
	// closeTimeout is how long the peer has to close a connection after it was asked to. That is
	// ample for a balancer which complies: what it sent before arrives within 50 ms.
	closeTimeout = 0.5
	// drainCloseTimeout is closeTimeout for a server that is draining: twice those 50 ms.
	drainCloseTimeout = 0.1
	// heldTimeout is how long a held connection has for its first request, which usually follows at
	// once: each held connection takes a descriptor. A later request gets no reply.
	heldTimeout = 0.25
	// rejectedTimeout keeps a rejected connection for the turn of the event loop that writes the
	// rejection; the next turn may close it.
	rejectedTimeout = 0.0005
)

// Decisions come in batches, so that many connections that time out together don't delay responses.
const (
	// maxBatch bounds the decisions of a batch. Four at some 10 us each delay a response by 40 us
	// at most; 4,000 a second take a tenth of a core with all that follows from them, which
	// docs/idle.md measures. If more connections than that time out each second, they stay a little
	// longer.
	maxBatch = 4
	// batchInterval is the least time between batches, in seconds: the shortest wait of a timer of
	// the Go runtime.
	batchInterval = 0.001
	// maxHeldBatch is maxBatch for connections not admitted, where each decision follows an arrival, so that
	// timeouts add no burst.
	maxHeldBatch = 64
	// maxDrainBatch is maxBatch for a server that is draining, whose requests have been answered.
	maxDrainBatch = 128
)

// timedStates are the states that time out, in the order in which TakeDecisions looks at them:
// first those whose timeout frees a descriptor.
var timedStates = [...]State{StateRejected, StateHeld, StateNew, StatePartialMessage, StateAskedToClose, StateIdle}

// TakeDecisions returns the next batch of decisions that are due at now: by state, and within each
// by the end of the timeout. The slice is valid until the next call.
func (l *Limiter) TakeDecisions(now float64) []Decision {
	l.decisions = l.decisions[:0]
	if now < l.nextBatchAt {
		return nil
	}
	remaining := maxBatch
	if l.draining {
		remaining = maxDrainBatch
	}
	for _, state := range timedStates {
		if state.isHeld() {
			l.expireHeld(state, now)
			continue
		}
		remaining = l.expire(state, remaining, now)
	}
	if len(l.decisions) > 0 {
		l.nextBatchAt = now + batchInterval
	}
	return l.decisions
}

// expireHeld times out connections that are not admitted, up to the size of their batch.
func (l *Limiter) expireHeld(state State, now float64) {
	for now >= l.nextTimeout(state) && len(l.decisions) < maxHeldBatch {
		l.applyEvent(l.firstIn(state), EventTimeout, now)
	}
}

// expire times out at most remaining connections in a state, and returns how many more may time out.
func (l *Limiter) expire(state State, remaining int, now float64) int {
	event := EventTimeout
	if l.draining && state.hasNoRequest() {
		event = EventDrain
	}
	for now >= l.nextTimeout(state) && remaining > 0 {
		remaining--
		l.applyEvent(l.firstIn(state), event, now)
	}
	return remaining
}

// decide adds a decision to the batch.
func (l *Limiter) decide(slot int32, command Command, previous State) {
	l.decisions = append(l.decisions, Decision{slot, command, previous})
}

// NextWakeup returns when TakeDecisions is to be called next, +Inf if no timeout runs.
func (l *Limiter) NextWakeup() float64 {
	wakeup := math.Inf(1)
	for _, state := range timedStates {
		wakeup = min(wakeup, l.nextTimeout(state))
	}
	return max(wakeup, l.nextBatchAt)
}

// nextTimeout returns when the first connection in a state times out, +Inf if there is none.
func (l *Limiter) nextTimeout(state State) float64 {
	slot := l.firstIn(state)
	if slot < 0 {
		return math.Inf(1)
	}
	since := l.connections[slot].stateSince
	if state == StateHeld && l.Count(state) > l.clientPolicy.rules.HoldingSlots { // the oldest held one has to go
		return since
	}
	return since + l.timeouts[state]
}
