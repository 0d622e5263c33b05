package processor

import (
	"encoding/json"
	"fmt"
	"strconv"

	"swiftcourse/internal/wire"
)

// This file is the executor's side of the protocol: what an executor reads and writes.

// CommandKind tells what a command from a server asks for.
type CommandKind uint8

// The kinds of a command.
const (
	CommandResume     CommandKind = iota + 1 // the first line on a link; Serial is of the last notice read
	CommandStart                             // run a request
	CommandReply                             // the reply to the call that a run waits for
	CommandSkipCall                          // go on without the call that notice Serial asked for
	CommandReadGauges                        // the gauges are asked for
)

// commandKinds are the kinds of a command by their names on the wire.
var commandKinds = map[string]CommandKind{
	messageHello:   CommandResume,
	messageBegin:   CommandStart,
	messageAnswer:  CommandReply,
	messageWithout: CommandSkipCall,
	messageUsage:   CommandReadGauges,
}

// String returns the kind's name on the wire.
func (k CommandKind) String() string { return wireName(commandKinds, k, "") }

// Command is one line from a server.
type Command struct {
	Kind   CommandKind
	ID     string
	Class  string
	Serial int64
	Tag    string
	Body   []byte
}

// ParseCommand reads one line without its end. An error matches wire.ErrMalformed and ends the link.
func ParseCommand(line []byte) (command Command, err error) {
	var object struct {
		Msg     string
		Call    string
		Service string
		Cookie  string
		Serial  int64
		Blob    []byte // encoding/json decodes base64
	}
	if err := json.Unmarshal(line, &object); err != nil {
		return command, malformed(fmt.Errorf("no command: %w", err))
	}
	command = Command{
		Kind:   commandKinds[object.Msg],
		ID:     object.Call,
		Class:  object.Service,
		Serial: object.Serial,
		Tag:    object.Cookie,
		Body:   object.Blob,
	}
	switch command.Kind {
	case CommandResume, CommandReadGauges:
	case CommandStart, CommandReply, CommandSkipCall:
		if command.ID == "" {
			return command, malformed(errMissingID)
		}
	default:
		return command, malformed(fmt.Errorf("unknown command %.20q", object.Msg))
	}
	return command, nil
}

// AppendHello appends the answer to the first line: whether the executor started cold, and how many seconds
// ago it started.
func AppendHello(b []byte, cold bool, sinceStart float64) []byte {
	state := stateSeasoned
	if cold {
		state = stateFresh
	}
	return fmt.Appendf(b, `{"msg":%q,"how":%q,"duration":%g}`+"\n",
		messageHi, state, sinceStart*wire.MillisecondsPerSecond)
}

// AppendRunEnded appends the notice that a run is over: its serial number, id, outcome, duration and body,
// which is the result of a run that finished.
func AppendRunEnded(b []byte, run Notice) []byte {
	end := wireName(outcomes, run.Outcome, outcomeCrashed)
	b = fmt.Appendf(b, `{"msg":%q,"serial":%d,"call":%q,"how":%q,"duration":%g`,
		messageComplete, run.Serial, run.ID, end, run.Duration*wire.MillisecondsPerSecond)
	return appendBlob(b, run.Body)
}

// AppendAwaitingCall appends the notice that a run waits for a call.
func AppendAwaitingCall(b []byte, serial int64, id string, body []byte) []byte {
	b = fmt.Appendf(b, `{"msg":%q,"serial":%d,"call":%q`, messageAsk, serial, id)
	return appendBlob(b, body)
}

// AppendGauges appends the gauges, in the order of the settings.
func AppendGauges(b []byte, tag string, gauges []float64) []byte {
	b = appendText(appendHead(b, messageUsed, "cookie"), tag)
	b = append(appendKey(b, "stats"), '[')
	for i, gauge := range gauges {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendFloat(b, gauge, 'g', -1, 64)
	}
	return append(b, "]}\n"...)
}

// AppendRejected appends the notice that a command wasn't carried out.
func AppendRejected(b []byte, command CommandKind, id string) []byte {
	return fmt.Appendf(b, `{"msg":%q,"how":%q,"call":%q}`+"\n", messageReject, command, id)
}
