package processor

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

// MaxLine bounds a line read: a result of 4 KiB in base64 takes under 6 KiB.
const MaxLine = 64 << 10

// NoticeKind tells what a notice says.
type NoticeKind uint8

// The kinds of a notice.
const (
	NoticeOther        NoticeKind = iota // of an unknown name
	NoticeHello                          // the answer to the first line of a link
	NoticeRunEnded                       // a run is over
	NoticeAwaitingCall                   // a run waits for a call to the tier below
	NoticeGauges                         // the gauges
	NoticeRejected                       // a command wasn't carried out
	NoticeRemark                         // a remark, which asks for nothing
)

// noticeKinds are the kinds of a notice by their names on the wire.
var noticeKinds = map[string]NoticeKind{
	messageHi:       NoticeHello,
	messageComplete: NoticeRunEnded,
	messageAsk:      NoticeAwaitingCall,
	messageUsed:     NoticeGauges,
	messageReject:   NoticeRejected,
	messageRemark:   NoticeRemark,
}

// String returns the kind's name on the wire, for logs and tests.
func (k NoticeKind) String() string { return wireName(noticeKinds, k, "other") }

// Notice is one line from the executor.
type Notice struct {
	Kind     NoticeKind
	Serial   int64 // 0 if the line has none
	ID       string
	Outcome  admission.Outcome // of a run
	Cold     bool              // with NoticeHello: the executor was cold when it started
	Detail   string            // the name of the state, outcome or command, as received
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
func (p *NoticeParser) Parse(line []byte) (notice Notice, err error) {
	object, err := p.parser.ParseBytes(line)
	if err != nil || object.Type() != fastjson.TypeObject {
		return notice, malformed(errNotObject)
	}
	text := func(key string) string { return string(object.GetStringBytes(key)) }
	notice = Notice{
		Kind:     noticeKinds[text("msg")],
		Serial:   object.GetInt64("serial"),
		ID:       text("call"),
		Detail:   text("how"),
		Duration: object.GetFloat64("duration") / wire.MillisecondsPerSecond,
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
		notice.Gauges = p.readGauges(object)
	}
	if encoded := object.GetStringBytes("blob"); encoded != nil {
		p.blob, err = base64.StdEncoding.AppendDecode(p.blob[:0], encoded)
		if err != nil {
			return notice, malformed(errBlobEncoding)
		}
		notice.Body = p.blob
	}
	return notice, nil
}

// outcomeOf returns the outcome of a name on the wire. An unknown one proves nothing, as a failure does.
func outcomeOf(name string) admission.Outcome {
	if outcome, known := outcomes[name]; known {
		return outcome
	}
	return admission.Failed
}

// readGauges reads the gauges into the parser's buffer.
func (p *NoticeParser) readGauges(object *fastjson.Value) []float64 {
	p.gauges = p.gauges[:0]
	for _, gauge := range object.GetArray("stats") {
		p.gauges = append(p.gauges, gauge.GetFloat64())
	}
	return p.gauges
}
