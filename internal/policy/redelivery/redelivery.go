// Package redelivery decides which command a server sends for a run after its link to the executor
// broke and was replaced.
//
// A command that was written to the broken link may or may not have reached the executor, and the
// executor does not acknowledge single commands. Each kind of command can be repeated under another
// condition:
//
//   - A start names the request, and the executor ignores it while that request runs. If the run has
//     ended, a repeated start runs the request again, so only an idempotent request is started again.
//   - A reply names the request, but not the call that it replies to. If the run received the reply and
//     has asked for its next call since, it takes a repeated reply for that of the next call. A reply
//     is therefore never repeated.
//   - A command to skip a call names the call, so the executor ignores it if the run does not wait for
//     that call. It can always be repeated, and it stands in for a reply that may be lost if the
//     request may be degraded.
//
// A command that no link carried can always be sent.
//
// The package has no I/O, clock, goroutine or state.
package redelivery

// Delivery is what is known about the delivery of a command.
type Delivery uint8

const (
	// NotSent means that the command was not written to any link.
	NotSent Delivery = iota
	// Unconfirmed means that it was written to a link, and may have been lost with it.
	Unconfirmed
	// Confirmed means that the executor has received it.
	Confirmed
)

// Command is a command to the executor about one run.
type Command uint8

const (
	// None stands for no command.
	None Command = iota
	// Start starts the run.
	Start
	// Reply gives the run the reply to the call that it waits for.
	Reply
	// SkipCall continues the run without the call that it waits for, which the command names.
	SkipCall
)

// Run is what a server knows about a run after it has read every notice that it missed.
type Run struct {
	// Latest is the latest command about the run. It is None if a notice has since shown that the
	// run received it.
	Latest     Command
	Delivery   Delivery // of Latest
	Idempotent bool     // the request may be run again
	Degradable bool     // the request may be answered without the call
}

// InDoubt reports whether the latest command may have been lost.
func (r Run) InDoubt() bool { return r.Latest != None && r.Delivery == Unconfirmed }

// Decide returns the command to send for the run.
func Decide(run Run) Command {
	switch {
	case run.Delivery == NotSent:
		return run.Latest
	case run.Delivery == Confirmed:
		return None
	case run.Latest == Start && run.Idempotent:
		return Start
	case run.Latest == Reply && run.Degradable, run.Latest == SkipCall:
		return SkipCall
	}
	return None
}
