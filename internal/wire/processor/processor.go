// Package processor speaks with the processor: JSON objects, one a line.
package processor

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
)

// MaxLine bounds a line read: a result of 4 KiB in base64 takes under 6 KiB.
const MaxLine = 64 << 10

// Kind tells what a line from the processor says.
type Kind uint8

const (
	Other     Kind = iota // of a name not known here
	Up                    // the answer to hello
	Ended                 // a run is over
	Parked                // a run waits for a call
	Measured              // the gauges
	Rejection             // a command was not carried out
	Remark
)

var kinds = map[string]Kind{"hi": Up, "complete": Ended, "ask": Parked, "used": Measured, "reject": Rejection,
	"remark": Remark}

var ends = map[string]admission.Outcome{"done": admission.Finished, "crashed": admission.Failed,
	"aborted": admission.Cancelled, "stale": admission.NeverStarted}

// Notice is one line from the processor.
type Notice struct {
	Kind    Kind
	Number  int64 // 0 where the line bears none
	ID      string
	Outcome admission.Outcome // of a run
	Cold    bool              // with Up: it had just started, and was cold then
	Word    string            // as it came
	Took    float64           // seconds
	Body    []byte
	Tag     string
	Gauges  []float64 // in the order of the settings
}

// Reader reads lines; what it returns is good until the next.
type Reader struct {
	parser fastjson.Parser
	blob   []byte
	gauges []float64
}

// Read reads one line without its end.
func (r *Reader) Read(line []byte) (n Notice, err error) {
	v, err := r.parser.ParseBytes(line)
	if err != nil || v.Type() != fastjson.TypeObject {
		return n, errors.New("line is not a JSON object")
	}
	get := func(key string) string { return string(v.GetStringBytes(key)) }
	n = Notice{Kind: kinds[get("msg")], Number: v.GetInt64("serial"), ID: get("call"), Word: get("how"),
		Took: v.GetFloat64("duration") / 1000, Tag: get("cookie")}
	switch n.Kind {
	case Up:
		n.Cold = n.Word == "fresh"
		if !n.Cold && n.Word != "seasoned" {
			return n, fmt.Errorf("hi with unknown state %.20q", n.Word)
		}
	case Ended:
		var known bool
		if n.Outcome, known = ends[n.Word]; !known {
			n.Outcome = admission.Failed // a word not known yet proves nothing, as an error does
		}
	case Measured:
		r.gauges = r.gauges[:0]
		for _, g := range v.GetArray("stats") {
			r.gauges = append(r.gauges, g.GetFloat64())
		}
		n.Gauges = r.gauges
	}
	if coded := v.GetStringBytes("blob"); coded != nil {
		if r.blob, err = base64.StdEncoding.AppendDecode(r.blob[:0], coded); err != nil {
			return n, errors.New("blob is not base64")
		}
		n.Body = r.blob
	}
	return n, nil
}

// PutResume appends the first line on a link: the last notice that was read.
func PutResume(b []byte, serial int64) []byte {
	return append(strconv.AppendInt(append(b, `{"msg":"hello","serial":`...), serial, 10), "}\n"...)
}

// PutStart appends the command to run a task.
func PutStart(b []byte, id, stage string, body []byte) []byte {
	b = putText(append(b, `{"msg":"begin","call":`...), id)
	return putBlob(putText(append(b, `,"service":`...), stage), body)
}

// PutReply appends the reply to the call that a run waits for.
func PutReply(b []byte, id string, reply []byte) []byte {
	return putBlob(putText(append(b, `{"msg":"answer","call":`...), id), reply)
}

// PutSkip appends the command to go on without the call that notice serial asked for.
func PutSkip(b []byte, id string, serial int64) []byte {
	b = putText(append(b, `{"msg":"without","call":`...), id)
	return append(strconv.AppendInt(append(b, `,"serial":`...), serial, 10), "}\n"...)
}

// PutAskGauges appends the question for the gauges.
func PutAskGauges(b []byte, cookie string) []byte {
	return append(putText(append(b, `{"msg":"usage","cookie":`...), cookie), "}\n"...)
}

func putText(b []byte, s string) []byte {
	quoted, _ := json.Marshal(s) // a string always marshals
	return append(b, quoted...)
}

func putBlob(b, blob []byte) []byte {
	b = base64.StdEncoding.AppendEncode(append(b, `,"blob":"`...), blob)
	return append(b, "\"}\n"...)
}
