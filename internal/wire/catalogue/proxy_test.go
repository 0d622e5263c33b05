package catalogue

import (
	"errors"
	"reflect"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

func TestParseCall_ReadsWhatServerAppends(t *testing.T) {
	b := append(AppendCall(nil, "a1", 0.25, []byte("a\r\nb")), "QUIT a1\r\n"...)
	c, n, err := ParseCall(b)
	if err != nil || !reflect.DeepEqual(c, Call{ID: "a1", Timeout: 0.25, Body: []byte("a\r\nb")}) {
		t.Fatalf("%+v, %v", c, err)
	}
	if q, m, err := ParseCall(b[n:]); err != nil || !q.Cancelled || q.ID != "a1" || n+m != len(b) {
		t.Errorf("%+v, %d, %v", q, m, err)
	}
	for cut := range n {
		if _, m, err := ParseCall(b[:cut]); m != 0 || err != nil {
			t.Errorf("cut at %d: %d, %v", cut, m, err)
		}
	}
	for _, bad := range []string{
		"PUT a1 3 4\r\n",
		"FETCH a1 x 1\r\n",
		"FETCH a1 1 -1\r\n",
		"FETCH a1 1 99999\r\n",
		"FETCH a1 1 1\r\nabc",
		"\r\n",
		string(make([]byte, maxLine)),
	} {
		if c, n, err := ParseCall([]byte(bad)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%q: %+v, %d", bad, c, n)
		}
	}
	for _, outcome := range []admission.Outcome{
		admission.Finished,
		admission.Rejected,
		admission.TimedOut,
		admission.Failed,
	} {
		b := AppendReply(nil, "a1", outcome, []byte("x"))
		if r, n, err := ParseReply(b); err != nil || n != len(b) || r.ID != "a1" || r.Outcome != outcome {
			t.Errorf("%s: %+v, %v", b, r, err)
		}
	}
}
