package processor

import (
	"errors"
	"reflect"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

func TestParseCommand_ReadsWhatServerAppends(t *testing.T) {
	for _, c := range []struct {
		line []byte
		want Command
	}{
		{PutResume(nil, 7), Command{Verb: Resume, Number: 7}},
		{PutStart(nil, "a1", "quote", []byte("x\n")),
			Command{Verb: Begin, ID: "a1", Stage: "quote", Body: []byte("x\n")}},
		{PutReply(nil, "a1", []byte("r")), Command{Verb: Answer, ID: "a1", Body: []byte("r")}},
		{PutSkip(nil, "a1", 3), Command{Verb: Without, ID: "a1", Number: 3}},
		{PutAskGauges(nil, "9"), Command{Verb: Gauge, Tag: "9"}},
	} {
		if got, err := ReadCommand(c.line[:len(c.line)-1]); err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, %v", c.line, got, err)
		}
	}
	for _, bad := range []string{
		"",
		"{}",
		`{"msg":"begin"}`,
		`{"msg":"halt","call":"a"}`,
		`{"msg":"begin","call":"a","blob":"?"}`,
	} {
		if c, err := ReadCommand([]byte(bad)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%q: %+v", bad, c)
		}
	}
}

func TestReader_ReadsWhatExecutorAppends(t *testing.T) {
	var r Reader
	for _, c := range []struct {
		line []byte
		want Notice
	}{
		{PutUp(nil, true, 0.5), Notice{Kind: Up, Cold: true, Word: "fresh", Took: 0.5}},
		{PutEnded(nil, 4, "a1", admission.Finished, 0.25, []byte("r")),
			Notice{Kind: Ended, Number: 4, ID: "a1", Word: "done",
				Took: 0.25, Body: []byte("r")}},
		{PutEnded(nil, 5, "a1", admission.Cancelled, 0, nil),
			Notice{Kind: Ended, Number: 5, ID: "a1", Word: "aborted",
				Outcome: admission.Cancelled, Body: []byte{}}},
		{PutEnded(nil, 5, "a1", admission.Failed, 0, nil),
			Notice{Kind: Ended, Number: 5, ID: "a1", Word: "crashed",
				Outcome: admission.Failed, Body: []byte{}}},
		{PutParked(nil, 6, "a1", []byte("c")), Notice{Kind: Parked, Number: 6, ID: "a1", Body: []byte("c")}},
		{PutMeasured(nil, "t", []float64{0.5, 3}), Notice{Kind: Measured, Tag: "t", Gauges: []float64{0.5, 3}}},
		{PutRejection(nil, Begin, "a1"), Notice{Kind: Rejection, ID: "a1", Word: "begin"}},
	} {
		got, err := r.Read(c.line[:len(c.line)-1])
		if len(got.Body) == 0 && len(c.want.Body) == 0 {
			got.Body, c.want.Body = nil, nil
		}
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, %v", c.line, got, err)
		}
	}
}
