package processor

import (
	"errors"
	"reflect"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

func TestParseCommand_ParsesCommandsOfServer(t *testing.T) {
	for _, c := range []struct {
		line []byte
		want Command
	}{
		{AppendResume(nil, 7), Command{Kind: CommandResume, Serial: 7}},
		{AppendStart(nil, "a1", "quote", []byte("x\n")),
			Command{Kind: CommandStart, ID: "a1", Class: "quote", Body: []byte("x\n")}},
		{AppendReply(nil, "a1", []byte("r")), Command{Kind: CommandReply, ID: "a1", Body: []byte("r")}},
		{AppendSkipCall(nil, "a1", 3), Command{Kind: CommandSkipCall, ID: "a1", Serial: 3}},
		{AppendReadGauges(nil, "9"), Command{Kind: CommandReadGauges, Tag: "9"}},
	} {
		if got, err := ParseCommand(c.line[:len(c.line)-1]); err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, error %v; want %+v", c.line, got, err, c.want)
		}
	}
	for _, bad := range []string{
		"",
		"{}",
		`{"msg":"begin"}`,
		`{"msg":"halt","call":"a"}`,
		`{"msg":"begin","call":"a","blob":"?"}`,
	} {
		if c, err := ParseCommand([]byte(bad)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%q: got %+v, error %v; want error %v", bad, c, err, wire.ErrMalformed)
		}
	}
}

func TestNoticeParser_ParsesNoticesOfExecutor(t *testing.T) {
	var r NoticeParser
	finished := Notice{
		Kind:     NoticeRunEnded,
		Serial:   4,
		ID:       "a1",
		Detail:   "done",
		Outcome:  admission.Finished,
		Duration: 0.25,
		Body:     []byte("r"),
	}
	cancelled := Notice{
		Kind:    NoticeRunEnded,
		Serial:  5,
		ID:      "a1",
		Detail:  "aborted",
		Outcome: admission.Cancelled,
	}
	failed := cancelled
	failed.Detail = "crashed"
	failed.Outcome = admission.Failed
	for _, c := range []struct {
		line []byte
		want Notice
	}{
		{AppendHello(nil, true, 0.5), Notice{Kind: NoticeHello, Cold: true, Detail: "fresh", Duration: 0.5}},
		{AppendRunEnded(nil, finished), finished},
		{AppendRunEnded(nil, cancelled), cancelled},
		{AppendRunEnded(nil, failed), failed},
		{AppendAwaitingCall(nil, 6, "a1", []byte("c")),
			Notice{Kind: NoticeAwaitingCall, Serial: 6, ID: "a1", Body: []byte("c")}},
		{AppendGauges(nil, "t", []float64{0.5, 3}), Notice{Kind: NoticeGauges, Tag: "t", Gauges: []float64{0.5, 3}}},
		{AppendRejected(nil, CommandStart, "a1"), Notice{Kind: NoticeRejected, ID: "a1", Detail: "begin"}},
	} {
		got, err := r.Parse(c.line[:len(c.line)-1])
		if len(got.Body) == 0 && len(c.want.Body) == 0 {
			got.Body, c.want.Body = nil, nil
		}
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, error %v; want %+v", c.line, got, err, c.want)
		}
	}
}
