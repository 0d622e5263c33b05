package rpc

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/fake/random"
	"swiftcourse/internal/wire"
)

func TestMain(m *testing.M) { random.RunSeeded(m, 500) }

func TestParseMessage_ParsesMessagesOfClient(t *testing.T) {
	subjects := []string{"", "7f3a", strings.Repeat("s", 255), strings.Repeat("s", 8000)}
	rapid.Check(t, func(t *rapid.T) {
		m := Message{
			Kind:         KindRequest,
			Number:       rapid.Uint64Max(1<<62).Draw(t, "number"),
			ID:           rapid.StringMatching("[0-9a-f]{16}").Draw(t, "id"),
			Class:        rapid.StringMatching("[a-z-]{1,60}").Draw(t, "class"),
			Tenant:       rapid.SampledFrom([]string{"", "acme"}).Draw(t, "tenant"),
			Subject:      rapid.SampledFrom(subjects).Draw(t, "subject"),
			ArrivedAt:    float64(rapid.Int64Range(0, 1<<41).Draw(t, "arrived at")) / 1000,
			Timeout:      float64(rapid.IntRange(-1000, 1e6).Draw(t, "timeout")) / 1000,
			Client:       rapid.IntRange(0, 1e6).Draw(t, "client"),
			Memory:       float64(rapid.IntRange(1, 3999).Draw(t, "memory")) / 2,
			Priority:     float64(rapid.IntRange(0, 63).Draw(t, "priority")) / 64,
			Key:          rapid.StringMatching("[0-9a-f-]{0,36}").Draw(t, "key"),
			Retry:        rapid.Bool().Draw(t, "retry"),
			ExpectedWork: float64(rapid.IntRange(0, 1e6).Draw(t, "expected work")) / 1000,
			Body:         rapid.SliceOfN(rapid.Byte(), 0, maxBody).Draw(t, "body"),
		}
		if m.NoTimeout = rapid.Bool().Draw(t, "no timeout"); m.NoTimeout {
			m.Timeout = 0
		}
		b := AppendRequest(nil, &m)
		got, n, err := ParseMessage(append(b, 0x94))
		if got.Body == nil {
			got.Body = []byte{}
		}
		if err != nil || n != len(b) || !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, length %d, error %v; want %+v, length %d", got, n, err, m, len(b))
		}
		cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		if _, n, err := ParseMessage(b[:cut]); n != 0 || err != nil {
			t.Fatalf("first %d of %d bytes: got length %d, error %v; want 0, no error", cut, len(b), n, err)
		}
		for _, c := range []struct {
			message []byte
			want    Message
		}{
			{AppendCancel(nil, m.Number), Message{Kind: KindCancel, Number: m.Number}},
			{AppendHealthCheck(nil, m.Number), Message{Kind: KindHealthCheck, Number: m.Number}},
		} {
			got, n, err := ParseMessage(c.message)
			if err != nil || n != len(c.message) || !reflect.DeepEqual(got, c.want) {
				t.Fatalf("got %+v, length %d, error %v; want %+v, length %d", got, n, err, c.want, len(c.message))
			}
		}
	})
}

func TestParseResponse_ParsesMessagesOfServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Uint64().Draw(t, "number")
		metadata := ResponseMetadata{
			LoadReport: rapid.SampledFrom([]string{"", "0.25"}).Draw(t, "load report"),
			RetryAfter: float64(rapid.IntRange(0, 50).Draw(t, "retry after")) / 4,
			NoFailover: rapid.Bool().Draw(t, "no failover"),
		}
		result := rapid.SliceOfN(rapid.Byte(), 0, 4096).Draw(t, "result")
		for i, c := range []struct {
			b    []byte
			want Response
		}{
			{AppendResult(nil, number, result, metadata), Response{Kind: ResponseFinished, Result: result}},
			{AppendRejected(nil, number, metadata), Response{Kind: ResponseRejected, ErrorName: "Busy"}},
			{AppendFailed(nil, number, metadata), Response{Kind: ResponseFailed, ErrorName: "Failed"}},
			{AppendInvalid(nil, number, metadata), Response{Kind: ResponseFailed, ErrorName: "Invalid"}},
			{AppendHealth(nil, number, true, metadata), Response{Kind: ResponseHealth, Healthy: true}},
			{AppendGoAway(nil), Response{Kind: ResponseGoAway}},
		} {
			if c.want.Kind != ResponseGoAway {
				c.want.Number = number
				c.want.Metadata = metadata
			}
			got, n, err := ParseResponse(append(bytes.Clone(c.b), 0x94))
			if c.want.Kind == ResponseFinished && got.Result == nil {
				got.Result = []byte{}
			}
			if err != nil || n != len(c.b) || !reflect.DeepEqual(got, c.want) {
				t.Fatalf("case %d: got %+v, length %d, error %v; want %+v, length %d", i, got, n, err, c.want, len(c.b))
			}
			cut := rapid.IntRange(0, len(c.b)-1).Draw(t, "cut")
			if _, n, err := ParseResponse(c.b[:cut]); n != 0 || err != nil {
				t.Fatalf("case %d, first %d of %d bytes: got length %d, error %v; want 0, no error",
					i, cut, len(c.b), n, err)
			}
		}
	})
}

func TestParseResponse_RejectsMalformed(t *testing.T) {
	for _, bad := range []string{
		"\x01",
		"\x94\x00\x01\xa0\x90",
		"\x94\x01\x01\xc0\x91\xc3",
		"\x94\x01\x01\x92\x01\x80\xc0",
		"\x94\x01\x01\xc0\x92\xc0\x80",
		"\x94\x01\x01\xc0\x92\xc3\x01",
		"\xc1",
		strings.Repeat("\xdd\x00\x01\x00\x00", 20),
		"\x94\x01\x01\x92\xa4Busy\x81\xa8pushback\xa1x\xc0",
	} {
		if response, n, err := ParseResponse([]byte(bad)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%q: got %+v, length %d, error %v; want error %v", bad, response, n, err, wire.ErrMalformed)
		}
	}
}

func FuzzParseMessage(f *testing.F) {
	f.Add(AppendRequest(nil, &Message{
		Number:    7,
		ID:        "a1",
		Class:     "quote",
		ArrivedAt: 1,
		Timeout:   1,
		Memory:    1,
		Body:      []byte("x"),
	}))
	f.Add(AppendCancel(AppendHealthCheck(nil, 3), 1<<40))
	f.Fuzz(func(t *testing.T, b []byte) {
		for len(b) > 0 {
			_, n, err := ParseMessage(b)
			if n < 0 || n > len(b) || n > MaxFrame || err != nil && n != 0 {
				t.Fatalf("got length %d of %d bytes, error %v; want a length within the input and MaxFrame (%d), "+
					"0 after an error", n, len(b), err, MaxFrame)
			}
			if n == 0 {
				return
			}
			b = b[n:]
		}
	})
}

func FuzzParseResponse(f *testing.F) {
	f.Add(AppendResult(nil, 7, []byte("x"), ResponseMetadata{LoadReport: "1", RetryAfter: 1, NoFailover: true}))
	f.Add(AppendRejected(AppendGoAway(nil), 1<<40, ResponseMetadata{}))
	f.Fuzz(func(t *testing.T, b []byte) {
		response, n, err := ParseResponse(b)
		if n < 0 || n > len(b) || err != nil && n != 0 || len(response.Result) > n {
			t.Fatalf("got %+v, length %d of %d bytes, error %v; want a length within the input, 0 after an error, "+
				"and no result longer than the message", response, n, len(b), err)
		}
	})
}
