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
		flag.Set("rapid.seed", "20261201"), // the same verdict every time
		flag.Set("rapid.nofailfile", "true"),
	)
	if err != nil {
		panic(err)
	}
}

func TestReader_Lines(t *testing.T) {
	var r Reader
	for line, want := range map[string]Notice{
		`{"msg":"hi","how":"fresh","duration":1500}`:  {Kind: Up, Cold: true, Word: "fresh", Took: 1.5},
		`{"msg":"hi","how":"seasoned","duration":0}`:  {Kind: Up, Word: "seasoned"},
		`{"msg":"remark","serial":4,"how":"x","z":1}`: {Kind: Remark, Number: 4, Word: "x"},
		`{"msg":"complete","serial":2,"call":"a","how":"done","duration":12.5,"blob":"AP8="}`: {Kind: Ended,
			Number: 2, ID: "a", Word: "done", Outcome: admission.Finished, Took: 0.0125, Body: []byte{0, 255}},
		`{"msg":"complete","call":"a","how":"crashed"}`: {Kind: Ended, ID: "a", Word: "crashed",
			Outcome: admission.Failed},
		`{"msg":"complete","call":"a","how":"aborted"}`: {Kind: Ended, ID: "a", Word: "aborted",
			Outcome: admission.Cancelled},
		`{"msg":"complete","call":"a","how":"stale"}`: {Kind: Ended, ID: "a", Word: "stale",
			Outcome: admission.NeverStarted},
		`{"msg":"complete","call":"a","how":"new"}`:     {Kind: Ended, ID: "a", Word: "new", Outcome: admission.Failed},
		`{"msg":"ask","serial":3,"call":"a","blob":""}`: {Kind: Parked, Number: 3, ID: "a"},
		`{"msg":"used","cookie":"7","stats":[0.5,3]}`:   {Kind: Measured, Tag: "7", Gauges: []float64{0.5, 3}},
		`{"msg":"reject","how":"begin","call":"a"}`:     {Kind: Rejection, Word: "begin", ID: "a"},
		`{"msg":"later"}`: {},
	} {
		got, err := r.Read([]byte(line))
		if len(got.Body) == 0 {
			got.Body = nil
		}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\ngot  %+v, %v\nwant %+v", line, got, err, want)
		}
	}
	for _, line := range []string{"", "{", "[]", `{"msg":"hi","how":"odd"}`, `{"msg":"ask","blob":"%"}`} {
		if n, err := r.Read([]byte(line)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%s: %+v without error", line, n)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		_, _ = r.Read(rapid.SliceOfN(rapid.Byte(), 0, 80).Draw(t, "line")) // must not panic
	})
}

func TestAppendCommands_Bytes(t *testing.T) {
	for _, c := range []struct {
		got  []byte
		want string
	}{
		{PutResume(nil, 12), `{"msg":"hello","serial":12}`},
		{PutStart(nil, "a", `quo"ted`, []byte{0, 255}),
			`{"msg":"begin","call":"a","service":"quo\"ted","blob":"AP8="}`},
		{PutReply(nil, "a", nil), `{"msg":"answer","call":"a","blob":""}`},
		{PutSkip(nil, "a", 3), `{"msg":"without","call":"a","serial":3}`},
		{PutAskGauges(nil, "x"), `{"msg":"usage","cookie":"x"}`},
	} {
		if string(c.got) != c.want+"\n" {
			t.Errorf("got %s, want %s", c.got, c.want)
		}
	}
}
