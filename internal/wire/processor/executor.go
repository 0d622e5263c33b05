package processor

import (
	"encoding/json"
	"fmt"
	"strconv"

	"swiftcourse/admission"
)

// This file is the executor's side of the protocol: what an executor reads and writes.

// Verb tells what a command from a server asks for.
type Verb uint8

// The verbs of a command.
const (
	Resume  Verb = iota + 1 // the first line on a link; Number is the last notice read
	Begin                   // run a request
	Answer                  // the reply to the call that a run waits for
	Without                 // go on without the call that notice Number asked for
	Gauge                   // the gauges are asked for
)

var verbs = map[string]Verb{
	messageHello:   Resume,
	messageBegin:   Begin,
	messageAnswer:  Answer,
	messageWithout: Without,
	messageUsage:   Gauge,
}

// String returns the verb's word on the wire.
func (v Verb) String() string { return wordOf(verbs, v, "") }

// Command is one line from a server.
type Command struct {
	Verb   Verb
	ID     string
	Stage  string
	Number int64
	Tag    string
	Body   []byte
}

// ReadCommand reads one line without its end. An error matches wire.ErrMalformed and ends the link.
func ReadCommand(line []byte) (command Command, err error) {
	var object struct {
		Msg     string
		Call    string
		Service string
		Cookie  string
		Serial  int64
		Blob    []byte // base64, as the package has it
	}
	if err := json.Unmarshal(line, &object); err != nil {
		return command, malformed(fmt.Errorf("no command: %w", err))
	}
	command = Command{
		Verb:   verbs[object.Msg],
		ID:     object.Call,
		Stage:  object.Service,
		Number: object.Serial,
		Tag:    object.Cookie,
		Body:   object.Blob,
	}
	switch command.Verb {
	case Resume, Gauge:
	case Begin, Answer, Without:
		if command.ID == "" {
			return command, malformed(errNoID)
		}
	default:
		return command, malformed(fmt.Errorf("unknown command %.20q", object.Msg))
	}
	return command, nil
}

// PutUp appends the answer to the first line: whether the executor started cold, and how many seconds ago.
func PutUp(b []byte, cold bool, ago float64) []byte {
	state := stateSeasoned
	if cold {
		state = stateFresh
	}
	return fmt.Appendf(b, `{"msg":%q,"how":%q,"duration":%g}`+"\n", messageHi, state, ago*millisecondsPerSecond)
}

// PutEnded appends the notice that a run is over after so many seconds; only one that finished has a result.
func PutEnded(b []byte, serial int64, id string, outcome admission.Outcome, took float64, result []byte) []byte {
	end := wordOf(outcomes, outcome, endCrashed)
	b = fmt.Appendf(b, `{"msg":%q,"serial":%d,"call":%q,"how":%q,"duration":%g`,
		messageComplete, serial, id, end, took*millisecondsPerSecond)
	return appendBlob(b, result)
}

// PutParked appends the notice that a run waits for a call.
func PutParked(b []byte, serial int64, id string, body []byte) []byte {
	b = fmt.Appendf(b, `{"msg":%q,"serial":%d,"call":%q`, messageAsk, serial, id)
	return appendBlob(b, body)
}

// PutMeasured appends the gauges, in the order of the settings.
func PutMeasured(b []byte, tag string, gauges []float64) []byte {
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

// PutRejection appends the notice that a command wasn't carried out.
func PutRejection(b []byte, command Verb, id string) []byte {
	return fmt.Appendf(b, `{"msg":%q,"how":%q,"call":%q}`+"\n", messageReject, command, id)
}
