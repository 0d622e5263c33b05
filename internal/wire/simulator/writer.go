package simulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

// writeBuffer is the size of a Writer's buffer in bytes.
const writeBuffer = 1 << 16

// The start and end of a reply.
const (
	replyStart = `{"cmds":[`
	replyEnd   = "]}\n"
)

// commandPanic is the name of the command that reports a panic in an instance.
const commandPanic = "PANIC"

// commands holds the names of actions on the wire.
var commands = map[admission.ActionKind]string{
	admission.StartRun:       "BEGIN",
	admission.CancelRun:      "TAKE_OFF",
	admission.Reject:         "BUSY",
	admission.Fail:           "LOSE",
	admission.DispatchCall:   "INVOKE",
	admission.Degrade:        "DEGRADE",
	admission.StoreKey:       "PIN",
	admission.DeleteKey:      "EVICT",
	admission.ReuseResult:    "REUSE",
	admission.SetHealth:      "STATUS",
	admission.ReportLoad:     "HINT_OUT",
	admission.SetIdleTimeout: "REAP_AFTER",
	admission.SetTimer:       "SCHEDULE",
	admission.LogLine:        "LOG",
}

// Writer writes replies.
type Writer struct {
	out   *bufio.Writer
	reply []byte
}

// NewWriter returns a writer of replies to out.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, writeBuffer), reply: []byte(replyStart)}
}

// AddActions adds an instance's actions to the reply.
func (w *Writer) AddActions(instance string, actions []admission.Action) {
	for i := range actions {
		w.add(instance, &actions[i])
	}
}

// add adds one action.
func (w *Writer) add(instance string, action *admission.Action) {
	w.begin(commands[action.Kind], instance)
	if action.RequestID != "" {
		w.appendText(action.RequestID)
	}
	switch action.Kind {
	case admission.Reject:
		w.appendMilliseconds(action.Duration)
		w.appendBool(action.NoFailover)
	case admission.DispatchCall, admission.StoreKey, admission.SetIdleTimeout:
		w.appendMilliseconds(action.Duration)
	case admission.SetTimer:
		w.appendMilliseconds(action.Duration)
		w.appendText(action.Label)
	case admission.LogLine:
		w.appendText(action.Label)
	case admission.SetHealth:
		w.appendBool(action.Healthy)
		w.appendBool(true)
	case admission.ReportLoad:
		w.reply = strconv.AppendFloat(append(w.reply, ','), action.Load, 'f', -1, 64)
	}
	w.end()
}

// AddPanic adds the report that the decisions of an instance panicked, with the value of the panic.
func (w *Writer) AddPanic(instance, value string) {
	w.begin(commandPanic, instance)
	w.appendText(value)
	w.end()
}

// Flush ends the reply, writes it and starts the next one.
func (w *Writer) Flush() error {
	w.reply = append(w.reply, replyEnd...)
	_, err := w.out.Write(w.reply)
	w.reply = w.reply[:len(replyStart)]
	if err == nil {
		err = w.out.Flush()
	}
	if err != nil {
		return fmt.Errorf("writing a reply: %w", err)
	}
	return nil
}

// begin starts a command, which is an array of its name, the instance and its arguments.
func (w *Writer) begin(name, instance string) {
	if w.reply[len(w.reply)-1] == ']' {
		w.reply = append(w.reply, ',')
	}
	w.reply = append(w.reply, `["`...)
	w.reply = append(w.reply, name...)
	w.reply = append(w.reply, '"')
	w.appendText(instance)
}

// end ends the command.
func (w *Writer) end() { w.reply = append(w.reply, ']') }

// appendText appends a string argument.
func (w *Writer) appendText(argument string) {
	quoted, _ := json.Marshal(argument) // a string always marshals
	w.reply = append(w.reply, ',')
	w.reply = append(w.reply, quoted...)
}

// appendMilliseconds appends a duration in seconds as an argument in milliseconds.
func (w *Writer) appendMilliseconds(seconds float64) {
	w.reply = strconv.AppendFloat(append(w.reply, ','), seconds*wire.MillisecondsPerSecond, 'f', 3, 64)
}

// appendBool appends a bool argument.
func (w *Writer) appendBool(flag bool) {
	w.reply = strconv.AppendBool(append(w.reply, ','), flag)
}
