package processor

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
)

// MaxLine bounds a line read: a result of 4 KiB in base64 takes under 6 KiB.
const MaxLine = 64 << 10

// Kind tells what a notice says.
type Kind uint8

// The kinds of a notice.
const (
	Other     Kind = iota // of a name not known here
	Up                    // the answer to the first line of a link
	Ended                 // a run is over
	Parked                // a run waits for a call to the tier below
	Measured              // the gauges
	Rejection             // a command wasn't carried out
	Remark                // a remark, which asks for nothing
)

var kinds = map[string]Kind{
	messageHi:       Up,
	messageComplete: Ended,
	messageAsk:      Parked,
	messageUsed:     Measured,
	messageReject:   Rejection,
	messageRemark:   Remark,
}

// String returns the kind's word on the wire, for logs and tests.
func (k Kind) String() string { return wordOf(kinds, k, "other") }

// Notice is one line from the executor.
type Notice struct {
	Kind    Kind
	Number  int64 // 0 where the line bears none
	ID      string
	Outcome admission.Outcome // of a run
	Cold    bool              // with Up: it had just started, and was cold then
	Word    string            // of the state, outcome or command, as it came
	Took    float64           // seconds
	Body    []byte
	Tag     string
	Gauges  []float64 // in the order of the settings
}

// Reader reads notices; what it returns is good until the next call.
type Reader struct {
	parser fastjson.Parser
	blob   []byte
	gauges []float64
}

// Read reads one line without its end. An error matches wire.ErrMalformed and ends the link.
func (r *Reader) Read(line []byte) (notice Notice, err error) {
	object, err := r.parser.ParseBytes(line)
	if err != nil || object.Type() != fastjson.TypeObject {
		return notice, malformed(errNotObject)
	}
	text := func(key string) string { return string(object.GetStringBytes(key)) }
	notice = Notice{
		Kind:   kinds[text("msg")],
		Number: object.GetInt64("serial"),
		ID:     text("call"),
		Word:   text("how"),
		Took:   object.GetFloat64("duration") / millisecondsPerSecond,
		Tag:    text("cookie"),
	}
	switch notice.Kind {
	case Up:
		notice.Cold = notice.Word == stateFresh
		if !notice.Cold && notice.Word != stateSeasoned {
			return notice, malformed(fmt.Errorf("%s with unknown state %.20q", messageHi, notice.Word))
		}
	case Ended:
		notice.Outcome = outcomeOf(notice.Word)
	case Measured:
		notice.Gauges = r.readGauges(object)
	}
	if encoded := object.GetStringBytes("blob"); encoded != nil {
		r.blob, err = base64.StdEncoding.AppendDecode(r.blob[:0], encoded)
		if err != nil {
			return notice, malformed(errBlob)
		}
		notice.Body = r.blob
	}
	return notice, nil
}

// outcomeOf returns the outcome that a word stands for. One not known yet proves nothing, as a failure does.
func outcomeOf(word string) admission.Outcome {
	if outcome, known := outcomes[word]; known {
		return outcome
	}
	return admission.Failed
}

// readGauges reads the gauges into the reader's buffer.
func (r *Reader) readGauges(object *fastjson.Value) []float64 {
	r.gauges = r.gauges[:0]
	for _, gauge := range object.GetArray("stats") {
		r.gauges = append(r.gauges, gauge.GetFloat64())
	}
	return r.gauges
}
