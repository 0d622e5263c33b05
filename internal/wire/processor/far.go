package processor

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"swiftcourse/admission"
)

// This file is the far side of the protocol: what a processor reads and writes. The stand-in speaks with it.

// Verb tells what a command from a server asks for.
type Verb uint8

const (
	Resume  Verb = iota + 1 // the first line on a link; Number is the last notice read
	Begin                   // run a task
	Answer                  // the reply to the call that a run waits for
	Without                 // go on without the call that notice Number asked for
	Gauge                   // the gauges are asked for
)

var verbs = map[string]Verb{"hello": Resume, "begin": Begin, "answer": Answer, "without": Without, "usage": Gauge}

// Command is one line from a server.
type Command struct {
	Verb   Verb
	ID     string
	Stage  string
	Number int64
	Tag    string
	Body   []byte
}

// ReadCommand reads one line without its end. A line that is no command is an error, which ends the link.
func ReadCommand(line []byte) (c Command, err error) {
	var raw struct {
		Msg, Call, Service, Cookie string
		Serial                     int64
		Blob                       []byte // base64, as the package has it
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return c, fmt.Errorf("no command: %w", err)
	}
	c = Command{Verb: verbs[raw.Msg], ID: raw.Call, Stage: raw.Service, Number: raw.Serial, Tag: raw.Cookie, Body: raw.Blob}
	switch {
	case c.Verb == 0:
		err = fmt.Errorf("unknown command %.20q", raw.Msg)
	case c.ID == "" && (c.Verb == Begin || c.Verb == Answer || c.Verb == Without):
		err = errors.New("a command about no task")
	}
	return c, err
}

// PutUp appends the answer to the first line: whether the processor started cold, and how many seconds ago.
func PutUp(b []byte, cold bool, ago float64) []byte {
	how := "seasoned"
	if cold {
		how = "fresh"
	}
	return fmt.Appendf(b, `{"msg":"hi","how":%q,"duration":%g}`+"\n", how, ago*1000)
}

// PutEnded appends the notice that a run is over after so many seconds; only one that finished has a result.
func PutEnded(b []byte, serial int64, id string, outcome admission.Outcome, took float64, result []byte) []byte {
	how := "crashed" // what no word stands for
	for word, meant := range ends {
		if meant == outcome {
			how = word
		}
	}
	b = fmt.Appendf(b, `{"msg":"complete","serial":%d,"call":%q,"how":%q,"duration":%g`, serial, id, how, took*1000)
	return putBlob(b, result)
}

// PutParked appends the notice that a run waits for a call.
func PutParked(b []byte, serial int64, id string, body []byte) []byte {
	return putBlob(fmt.Appendf(b, `{"msg":"ask","serial":%d,"call":%q`, serial, id), body)
}

// PutMeasured appends the gauges, in the order of the settings.
func PutMeasured(b []byte, tag string, gauges []float64) []byte {
	b = append(putText(append(b, `{"msg":"used","cookie":`...), tag), `,"stats":[`...)
	for i, g := range gauges {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendFloat(b, g, 'g', -1, 64)
	}
	return append(b, "]}\n"...)
}

// PutRejection appends the notice that a command was not carried out.
func PutRejection(b []byte, v Verb, id string) []byte {
	word := ""
	for w, meant := range verbs {
		if meant == v {
			word = w
		}
	}
	return fmt.Appendf(b, `{"msg":"reject","how":%q,"call":%q}`+"\n", word, id)
}
