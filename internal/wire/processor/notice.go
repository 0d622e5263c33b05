package processor

import (
	"encoding/base64"
	"fmt"

	"github.com/valyala/fastjson"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

// MaxLine is the largest length of a line in bytes. A result of 4 KiB takes less than 6 KiB in
// base64.
const MaxLine = 64 << 10

// NoticeKind is the kind of a notice from an executor.
type NoticeKind uint8

// The kinds of a notice.
const (
	NoticeOther        NoticeKind = iota // a notice with an unknown name
	NoticeHello                          // the answer to the first line of a link; it has Cold and Duration
	NoticeRunEnded                       // a run ended
	NoticeAwaitingCall                   // a run waits for a call to the downstream service
	NoticeGauges                         // the gauges
	NoticeRejected                       // a command was not carried out
	NoticeRemark                         // a remark, which needs no reaction
)

// noticeKinds holds the kinds of notices by their names on the wire.
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

// Notice is one line from an executor.
type Notice struct {
	Kind     NoticeKind
	Serial   int64 // serial number, 0 if the line has none
	ID       string
	Outcome  admission.Outcome // with NoticeRunEnded: outcome of the run
	Cold     bool              // with NoticeHello: the executor was cold at its start
	Detail   string            // name of the state, outcome or command on the wire
	Duration float64           // in seconds: of the run, or since the start of the executor
	Body     []byte
	Tag      string    // with NoticeGauges: tag of the command that it answers
	Gauges   []float64 // in the order in which the settings name them
}

// NoticeParser parses notices. A notice is valid until the next call of Parse.
type NoticeParser struct {
	parser fastjson.Parser
	blob   []byte
	gauges []float64
}

// Parse parses one line without its line end. After an error, which matches wire.ErrMalformed, the
// link has to be closed.
func (p *NoticeParser) Parse(line []byte) (notice Notice, err error) {
	object, err := p.parser.ParseBytes(line)
	if err != nil || object.Type() != fastjson.TypeObject {
		return notice, malformed(fmt.Errorf("%w: %.20q", errNotObject, line))
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
			return notice, malformed(fmt.Errorf("message %s has unknown state %.20q", messageHi, notice.Detail))
		}
	case NoticeRunEnded:
		notice.Outcome = outcomeOf(notice.Detail)
	case NoticeGauges:
		notice.Gauges = p.readGauges(object)
	}
	if encoded := object.GetStringBytes("blob"); encoded != nil {
		p.blob, err = base64.StdEncoding.AppendDecode(p.blob[:0], encoded)
		if err != nil {
			return notice, malformed(fmt.Errorf("%w: %w", errBlobEncoding, err))
		}
		notice.Body = p.blob
	}
	return notice, nil
}

// outcomeOf returns the outcome with this name on the wire. An unknown name becomes
// admission.Failed: like a failure, it proves nothing about what the run did.
func outcomeOf(name string) admission.Outcome {
	if outcome, known := outcomes[name]; known {
		return outcome
	}
	return admission.Failed
}

// readGauges parses the gauges into the parser's buffer.
func (p *NoticeParser) readGauges(object *fastjson.Value) []float64 {
	p.gauges = p.gauges[:0]
	for _, gauge := range object.GetArray("stats") {
		p.gauges = append(p.gauges, gauge.GetFloat64())
	}
	return p.gauges
}
