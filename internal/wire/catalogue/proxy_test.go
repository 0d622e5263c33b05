package catalogue

import (
	"errors"
	"reflect"
	"testing"

	"swiftcourse/admission"
	"swiftcourse/internal/wire"
)

func TestProxy_ParsesCallsAndAppendsReplies(t *testing.T) {
	b := append(AppendCall(nil, "a1", 0.25, []byte("a\r\nb")), "QUIT a1\r\n"...)
	c, n, err := ParseCall(b)
	if err != nil || !reflect.DeepEqual(c, Call{ID: "a1", Timeout: 0.25, Body: []byte("a\r\nb")}) {
		t.Fatalf("got %+v, error %v; want call a1 with a timeout of 0.25 s and its body", c, err)
	}
	if q, m, err := ParseCall(b[n:]); err != nil || !q.Cancelled || q.ID != "a1" || n+m != len(b) {
		t.Errorf("got %+v, length %d, error %v; want the cancellation of a1, length %d", q, m, err, len(b)-n)
	}
	for cut := range n {
		if _, m, err := ParseCall(b[:cut]); m != 0 || err != nil {
			t.Errorf("first %d of %d bytes: got length %d, error %v; want 0, no error", cut, n, m, err)
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
			t.Errorf("%q: got %+v, length %d, error %v; want error %v", bad, c, n, err, wire.ErrMalformed)
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
			t.Errorf("%q: got %+v, length %d, error %v; want id a1, outcome %v, length %d",
				b, r, n, err, outcome, len(b))
		}
	}
}
