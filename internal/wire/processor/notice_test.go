package processor

import (
	"errors"
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

func init() {
	err := errors.Join(
		flag.Set("rapid.seed", "20261201"), // the same inputs in every run
		flag.Set("rapid.nofailfile", "true"),
	)
	if err != nil {
		panic(err)
	}
}

func TestNoticeParser_ValidAndMalformedLines(t *testing.T) {
	var r NoticeParser
	for line, want := range map[string]Notice{
		`{"msg":"hi","how":"fresh","duration":1500}`:  {Kind: NoticeHello, Cold: true, Detail: "fresh", Duration: 1.5},
		`{"msg":"hi","how":"seasoned","duration":0}`:  {Kind: NoticeHello, Detail: "seasoned"},
		`{"msg":"remark","serial":4,"how":"x","z":1}`: {Kind: NoticeRemark, Serial: 4, Detail: "x"},
		`{"msg":"complete","serial":2,"call":"a","how":"done","duration":12.5,"blob":"AP8="}`: {Kind: NoticeRunEnded,
			Serial: 2, ID: "a", Detail: "done", Outcome: admission.Finished, Duration: 0.0125, Body: []byte{0, 255}},
		`{"msg":"complete","call":"a","how":"crashed"}`: {Kind: NoticeRunEnded, ID: "a", Detail: "crashed",
			Outcome: admission.Failed},
		`{"msg":"complete","call":"a","how":"aborted"}`: {Kind: NoticeRunEnded, ID: "a", Detail: "aborted",
			Outcome: admission.Cancelled},
		`{"msg":"complete","call":"a","how":"stale"}`: {Kind: NoticeRunEnded, ID: "a", Detail: "stale",
			Outcome: admission.NeverStarted},
		`{"msg":"complete","call":"a","how":"new"}`: {Kind: NoticeRunEnded, ID: "a", Detail: "new",
			Outcome: admission.Failed},
		`{"msg":"ask","serial":3,"call":"a","blob":""}`: {Kind: NoticeAwaitingCall, Serial: 3, ID: "a"},
		`{"msg":"used","cookie":"7","stats":[0.5,3]}`:   {Kind: NoticeGauges, Tag: "7", Gauges: []float64{0.5, 3}},
		`{"msg":"reject","how":"begin","call":"a"}`:     {Kind: NoticeRejected, Detail: "begin", ID: "a"},
		`{"msg":"later"}`: {},
	} {
		got, err := r.Parse([]byte(line))
		if len(got.Body) == 0 {
			got.Body = nil
		}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\ngot  %+v, error %v\nwant %+v", line, got, err, want)
		}
	}
	for _, line := range []string{"", "{", "[]", `{"msg":"hi","how":"odd"}`, `{"msg":"ask","blob":"%"}`} {
		if n, err := r.Parse([]byte(line)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%q: got %+v, error %v; want error %v", line, n, err, wire.ErrMalformed)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		_, _ = r.Parse(rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "line")) // must not panic
	})
}

func TestAppendCommands_ExactBytes(t *testing.T) {
	for _, c := range []struct {
		got  []byte
		want string
	}{
		{AppendResume(nil, 12), `{"msg":"hello","serial":12}`},
		{AppendStart(nil, "a", `quo"ted`, []byte{0, 255}),
			`{"msg":"begin","call":"a","service":"quo\"ted","blob":"AP8="}`},
		{AppendReply(nil, "a", nil), `{"msg":"answer","call":"a","blob":""}`},
		{AppendSkipCall(nil, "a", 3), `{"msg":"without","call":"a","serial":3}`},
		{AppendReadGauges(nil, "x"), `{"msg":"usage","cookie":"x"}`},
	} {
		if string(c.got) != c.want+"\n" {
			t.Errorf("got %s, want %s", c.got, c.want)
		}
	}
}
