package processor

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
)

// MaxLine bounds a line read: a result of 4 KiB in base64 takes under 6 KiB.
const MaxLine = 64 << 10

// NoticeKind tells what a notice says.
type NoticeKind uint8

// The kinds of a notice.
const (
	NoticeOther        NoticeKind = iota // of a name not known here
	NoticeHello                          // the answer to the first line of a link
	NoticeRunEnded                       // a run is over
	NoticeAwaitingCall                   // a run waits for a call to the tier below
	NoticeGauges                         // the gauges
	NoticeRejected                       // a command wasn't carried out
	NoticeRemark                         // a remark, which asks for nothing
)

var noticeKinds = map[string]NoticeKind{
	messageHi:       NoticeHello,
	messageComplete: NoticeRunEnded,
	messageAsk:      NoticeAwaitingCall,
	messageUsed:     NoticeGauges,
	messageReject:   NoticeRejected,
	messageRemark:   NoticeRemark,
}

// String returns the kind's word on the wire, for logs and tests.
func (k NoticeKind) String() string { return wordOf(noticeKinds, k, "other") }

// Notice is one line from the executor.
type Notice struct {
	Kind     NoticeKind
	Serial   int64 // 0 where the line bears none
	ID       string
	Outcome  admission.Outcome // of a run
	Cold     bool              // with NoticeHello: it had just started, and was cold then
	Detail   string            // of the state, outcome or command, as it came
	Duration float64           // seconds
	Body     []byte
	Tag      string
	Gauges   []float64 // in the order of the settings
}

// NoticeParser reads notices; what it returns is good until the next call.
type NoticeParser struct {
	parser fastjson.Parser
	blob   []byte
	gauges []float64
}

// Parse reads one line without its end. An error matches wire.ErrMalformed and ends the link.
func (r *NoticeParser) Parse(line []byte) (notice Notice, err error) {
	object, err := r.parser.ParseBytes(line)
	if err != nil || object.Type() != fastjson.TypeObject {
		return notice, malformed(errNotObject)
	}
	text := func(key string) string { return string(object.GetStringBytes(key)) }
	notice = Notice{
		Kind:     noticeKinds[text("msg")],
		Serial:   object.GetInt64("serial"),
		ID:       text("call"),
		Detail:   text("how"),
		Duration: object.GetFloat64("duration") / millisecondsPerSecond,
		Tag:      text("cookie"),
	}
	switch notice.Kind {
	case NoticeHello:
		notice.Cold = notice.Detail == stateFresh
		if !notice.Cold && notice.Detail != stateSeasoned {
			return notice, malformed(fmt.Errorf("%s with unknown state %.20q", messageHi, notice.Detail))
		}
	case NoticeRunEnded:
		notice.Outcome = outcomeOf(notice.Detail)
	case NoticeGauges:
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
func (r *NoticeParser) readGauges(object *fastjson.Value) []float64 {
	r.gauges = r.gauges[:0]
	for _, gauge := range object.GetArray("stats") {
		r.gauges = append(r.gauges, gauge.GetFloat64())
	}
	return r.gauges
}
