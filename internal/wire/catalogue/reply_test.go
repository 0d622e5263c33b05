package catalogue

import (
	"errors"
	"flag"
	"reflect"
	"strings"
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

func TestParseReply_CompleteIncompleteAndMalformedInput(t *testing.T) {
	for text, want := range map[string]Reply{
		"a DATA 4\r\n\r\nxy\r\n": {"a", admission.Finished, []byte("\r\nxy")},
		"a DATA 0\r\n\r\n":       {"a", admission.Finished, []byte{}},
		"a LATER\r\n":            {"a", admission.Rejected, nil},
		"a NOUSE\r\n":            {"a", admission.Rejected, nil},
		"a FAULT\r\n":            {"a", admission.Failed, nil},
		"a TOOSLOW\r\n":          {"a", admission.TimedOut, nil},
	} {
		for cut := range text {
			if r, n, err := ParseReply([]byte(text[:cut])); n != 0 || err != nil {
				t.Fatalf("first %d bytes of %q: got %+v, length %d, error %v; want length 0, no error",
					cut, text, r, n, err)
			}
		}
		r, n, err := ParseReply([]byte(text + "b LA"))
		if err != nil || n != len(text) || !reflect.DeepEqual(r, want) {
			t.Errorf("%q: got %+v, length %d, error %v; want %+v, length %d", text, r, n, err, want, len(text))
		}
	}
	for _, text := range []string{"\r\n", "a\r\n", "a MAYBE\r\n", "a DATA\r\n", "a DATA x\r\n", "a DATA -1\r\n",
		"a DATA 16385\r\n", "a DATA 1\r\nxyz", strings.Repeat("a", 300)} {
		if r, n, err := ParseReply([]byte(text)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%q: got %+v, length %d, error %v; want error %v", text, r, n, err, wire.ErrMalformed)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		b := []byte(rapid.StringMatching(`[a-c\r\n]{0,3} (DATA|LATER)? ?-?[0-9]{0,3}(\r\n)?[xy\r\n]{0,9}`).Draw(t, "b"))
		if _, n, _ := ParseReply(b); n < 0 || n > len(b) {
			t.Fatalf("%q: got length %d, want one from 0 to %d", b, n, len(b))
		}
	})
}

func TestAppendCall_ExactBytes(t *testing.T) {
	if got := string(AppendCall(nil, "a", 0.2509, []byte("xy"))); got != "FETCH a 250 2\r\nxy\r\n" {
		t.Errorf("timeout of 0.2509 s: got %q, want 250 ms and body xy", got)
	}
	if got := string(AppendCall(nil, "a", -1, nil)); got != "FETCH a 1 0\r\n\r\n" {
		t.Errorf("negative timeout: got %q, want 1 ms and an empty body", got)
	}
}
