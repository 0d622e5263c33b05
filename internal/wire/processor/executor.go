package processor

import (
	"encoding/json"
	"fmt"
	"strconv"

	"swiftcourse/internal/wire"
)

// This file is the executor's side of the protocol: an executor parses commands and appends
// notices.

// CommandKind is the kind of a command from a server.
type CommandKind uint8

// The kinds of a command.
const (
	CommandResume     CommandKind = iota + 1 // the first line of a link; Serial is that of the last notice read
	CommandStart                             // run a request
	CommandReply                             // the reply to the call for which a run waits
	CommandSkipCall                          // continue without the call that the notice with this Serial asked for
	CommandReadGauges                        // report the gauges
)

// commandKinds holds the kinds of commands by their names on the wire.
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
	Tag    string // with CommandReadGauges: tag that the answer repeats
	Body   []byte
}

// ParseCommand parses one line without its line end. After an error, which matches
// wire.ErrMalformed, the link has to be closed.
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
		return command, malformed(fmt.Errorf("line is not a JSON command: %w", err))
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
			return command, malformed(fmt.Errorf("%w: %s", errMissingID, object.Msg))
		}
	default:
		return command, malformed(fmt.Errorf("unknown command %.20q", object.Msg))
	}
	return command, nil
}

// AppendHello appends the notice that answers the first line: whether the executor was cold when it
// started, and the number of seconds since then.
func AppendHello(b []byte, cold bool, sinceStart float64) []byte {
	state := stateSeasoned
	if cold {
		state = stateFresh
	}
	return fmt.Appendf(b, `{"msg":%q,"how":%q,"duration":%g}`+"\n",
		messageHi, state, sinceStart*wire.MillisecondsPerSecond)
}

// AppendRunEnded appends the notice that a run ended: its serial number, id, outcome, duration and
// body. The body is the result of a run that finished.
func AppendRunEnded(b []byte, run Notice) []byte {
	outcome := wireName(outcomes, run.Outcome, outcomeCrashed)
	b = fmt.Appendf(b, `{"msg":%q,"serial":%d,"call":%q,"how":%q,"duration":%g`,
		messageComplete, run.Serial, run.ID, outcome, run.Duration*wire.MillisecondsPerSecond)
	return appendBlob(b, run.Body)
}

// AppendAwaitingCall appends the notice that a run waits for a call with this body.
func AppendAwaitingCall(b []byte, serial int64, id string, body []byte) []byte {
	b = fmt.Appendf(b, `{"msg":%q,"serial":%d,"call":%q`, messageAsk, serial, id)
	return appendBlob(b, body)
}

// AppendGauges appends the gauges, which are in the order in which the settings name them.
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

// AppendRejected appends the notice that a command was not carried out.
func AppendRejected(b []byte, command CommandKind, id string) []byte {
	return fmt.Appendf(b, `{"msg":%q,"how":%q,"call":%q}`+"\n", messageReject, command, id)
}
