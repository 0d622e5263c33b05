package connlimit

import (
	"math"
	"strconv"
)

// Command is an action that the server has to take on a connection.
type Command uint8

// The commands.
const (
	// CommandAskToClose tells the server to ask the peer to close the connection.
	CommandAskToClose Command = iota
	// CommandClose tells the server to close the connection and call HandleClosed. If there is unread
	// data, the server reports EventUnreadData and reads the data instead.
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

// Timeouts of connection states.
const (
	// firstMessageTimeoutSeconds limits the time until a new connection sends its first valid
	// message, and until a partial message is complete. A silent connection must be closed within
	// two seconds, so half a second is left for the close. The timeout may close connections of a
	// balancer that opens connections before it needs them (it then opens new ones), or of a
	// balancer whose machine paused for that long.
	firstMessageTimeoutSeconds = 1.5
	// closeTimeoutSeconds is how long the peer has to close a connection after it was asked to. That
	// is ample for a balancer that complies: data that it sent before arrives within 50 ms.
	closeTimeoutSeconds = 0.5
	// drainCloseTimeoutSeconds replaces closeTimeoutSeconds while the server drains: twice the 50 ms.
	drainCloseTimeoutSeconds = 0.1
	// heldTimeoutSeconds is how long a held connection has to send its first request, which usually
	// arrives immediately. It is short because each held connection uses a file descriptor. A later
	// request gets no reply.
	heldTimeoutSeconds = 0.25
	// rejectedTimeoutSeconds keeps a rejected connection open for the turn of the event loop that
	// writes the rejection. The next turn may close it.
	rejectedTimeoutSeconds = 0.0005
)

// Decisions are made in batches, so that many connections timing out together don't delay responses.
const (
	// maxBatch is the maximum number of decisions in a batch. Four decisions of about 10 us each
	// delay a response by at most 40 us. At one batch per batchIntervalSeconds that is 4,000
	// decisions per second, which with the resulting work take a tenth of a core (see docs/idle.md).
	// If more connections time out per second, the excess stays open a little longer.
	maxBatch = 4
	// batchIntervalSeconds is the minimum time between batches: the shortest wait of a Go runtime
	// timer.
	batchIntervalSeconds = 0.001
	// maxHeldBatch is the limit for connections that are not admitted. It can be higher than
	// maxBatch because each of these decisions follows one arrival, so timeouts add no burst.
	maxHeldBatch = 64
	// maxDrainBatch replaces maxBatch while the server drains: by then its requests are answered, so
	// no response is delayed.
	maxDrainBatch = 128
)

// timedStates are the states with a timeout, in the order in which TakeDecisions checks them: first
// the states whose timeout frees a file descriptor.
var timedStates = [...]State{StateRejected, StateHeld, StateNew, StatePartialMessage, StateAskedToClose, StateIdle}

// TakeDecisions returns the next batch of decisions that are due at now, ordered by state (see
// timedStates) and within a state by the time of the timeout. The slice is valid until the next call.
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
		l.nextBatchAt = now + batchIntervalSeconds
	}
	return l.decisions
}

// expireHeld times out connections that are not admitted, at most maxHeldBatch of them.
func (l *Limiter) expireHeld(state State, now float64) {
	for now >= l.nextTimeout(state) && len(l.decisions) < maxHeldBatch {
		l.applyEvent(l.firstIn(state), EventTimeout, now)
	}
}

// expire times out at most remaining connections in a state and returns how many more decisions the
// batch has room for.
func (l *Limiter) expire(state State, remaining int, now float64) int {
	event := EventTimeout
	if l.draining && state.canAskToClose() {
		event = EventDrain
	}
	for now >= l.nextTimeout(state) && remaining > 0 {
		remaining--
		l.applyEvent(l.firstIn(state), event, now)
	}
	return remaining
}

// addDecision adds a decision to the batch.
func (l *Limiter) addDecision(slot int32, command Command, previous State) {
	l.decisions = append(l.decisions, Decision{slot, command, previous})
}

// NextWakeup returns the time at which TakeDecisions must be called next, +Inf if no timeout is
// running.
func (l *Limiter) NextWakeup() float64 {
	wakeup := math.Inf(1)
	for _, state := range timedStates {
		wakeup = min(wakeup, l.nextTimeout(state))
	}
	return max(wakeup, l.nextBatchAt)
}

// nextTimeout returns the time at which the first connection in a state times out, +Inf if no
// connection is in the state.
func (l *Limiter) nextTimeout(state State) float64 {
	slot := l.firstIn(state)
	if slot < 0 {
		return math.Inf(1)
	}
	since := l.connections[slot].stateSince
	// If the holding area is over its size, the oldest held connection times out now.
	if state == StateHeld && l.Count(state) > l.clientPolicy.rules.HoldingSlots {
		return since
	}
	return since + l.timeouts[state]
}
