package rpc

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

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

// Messages in hex, encoded by hand from the MessagePack specification.
const (
	fieldsHex = "87" + "a463616c6c" + "b039623166303361613563376532643431" + // call, fixstr of 16
		"a472656376" + "d90d31373634353736303030313233" + // recv, str8
		"a3747463" + "c0" + // an unknown field with value nil
		"a374746c" + "da0003343830" + // ttl, str16
		"a468656170" + "db0000000432342e35" + // heap, str32
		"a463726974" + "a6302e36323530" + // crit
		"a3737263" + "a134" // src
	requestHex     = "940007a8636865636b6f757492" + fieldsHex + "c403000aff"
	cancelHex      = "9302a6666f726765749107"
	healthCheckHex = "9400cd0100a669735765 6c6c9180"
)

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(s, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestParseMessage_CompleteAndIncompleteInput(t *testing.T) {
	for _, c := range []struct {
		text string
		want Message
	}{
		{requestHex, Message{
			Kind:      KindRequest,
			Number:    7,
			ID:        "9b1f03aa5c7e2d41",
			Class:     "checkout",
			ArrivedAt: 1764576000.123,
			Timeout:   0.48,
			Client:    4,
			Memory:    24.5,
			Priority:  0.625,
			Body:      []byte{0, 10, 255},
		}},
		{cancelHex, Message{Kind: KindCancel, Number: 7}},
		{healthCheckHex, Message{Kind: KindHealthCheck, Number: 256}},
		{"94 01 05 c0 91 c3", Message{}},                            // a response without a request
		{"93 02 a3 6e6577 92 cb4000000000000000 d40102", Message{}}, // an unknown notification
	} {
		whole := append(decodeHex(t, c.text), 0x94) // followed by the first byte of another message
		for cut := range len(whole) - 1 {
			if m, n, err := ParseMessage(whole[:cut]); n != 0 || err != nil {
				t.Fatalf("first %d bytes of %s: got %+v, length %d, error %v; want length 0, no error",
					cut, c.text, m, n, err)
			}
		}
		m, n, err := ParseMessage(whole)
		if err != nil || n != len(whole)-1 || !reflect.DeepEqual(m, c.want) {
			t.Errorf("got  %+v, length %d, error %v\nwant %+v, length %d", m, n, err, c.want, len(whole)-1)
		}
	}
}

func TestParseMessage_NumberAndBodyOfEveryWidth(t *testing.T) {
	for _, id := range []string{"07", "cc07", "cd0007", "ce00000007", "cf0000000000000007", "d007", "d10007",
		"d200000007", "d30000000000000007"} {
		for _, body := range []string{"c40161", "c5000161", "c60000000161", "a161"} {
			text := strings.Replace(strings.Replace(requestHex, "940007", "9400"+id, 1), "c403000aff", body, 1)
			m, n, err := ParseMessage(decodeHex(t, text))
			if err != nil || n == 0 || m.Number != 7 || string(m.Body) != "a" || m.ValidationError != nil {
				t.Errorf("number %s, body %s: got %+v, length %d, error %v; want number 7, body a, no Invalid",
					id, body, m, n, err)
			}
		}
	}
}

func TestParseMessage_InvalidRequestKeepsNumberForResponse(t *testing.T) {
	for _, c := range []struct{ name, old, new string }{
		{"parameters are not an array", "92" + fieldsHex + "c403000aff", "c0"},
		{"fields are not a map", fieldsHex, "c0"},
		{"field value is not a string", "da0003343830", "07"},
		{"missing id", "a463616c6c", "a463616c6d"},
		{"missing arrival time", "a472656376", "a472656377"},
		{"missing memory", "a468656170", "a468656171"},
		{"priority is not a number", "a6302e36323530", "a6302e36323578"},
		{"memory out of range", "db0000000432342e35", "db0000000439393939"},
		{"priority of 1", "a6302e36323530", "a6312e30303030"},
		{"memory of 0", "db0000000432342e35", "db0000000430303030"},
		{"negative client", "a134", "a22d34"},
		{"id with a space", "b039", "b020"},
		{"body is nil", "c403000aff", "c0"},
		{"body too long", "c403000aff", "c50801" + strings.Repeat("61", 2049)},
	} {
		text := strings.Replace(requestHex, c.old, c.new, 1)
		m, n, err := ParseMessage(decodeHex(t, text))
		if text == requestHex {
			t.Fatalf("%s: %s is not in the request", c.name, c.old)
		}
		if err != nil || n != len(text)/2 || m.ValidationError == nil || m.Number != 7 || m.Kind != KindRequest {
			t.Errorf("%s: got %+v, length %d, error %v; want an invalid request with number 7, length %d, no error",
				c.name, m, n, err, len(text)/2)
		}
	}
}

// In some deployments clients send no timeout. The server decides whether to accept such a request,
// not the codec.
func TestParseMessage_AcceptsMissingTimeout(t *testing.T) {
	m, _, err := ParseMessage(decodeHex(t, strings.Replace(requestHex, "a374746c", "a374746d", 1)))
	if err != nil || m.ValidationError != nil || !m.NoTimeout || m.Timeout != 0 {
		t.Errorf("got %+v, error %v; want a valid request without timeout", m, err)
	}
}

func TestParseMessage_RejectsMalformed(t *testing.T) {
	for _, text := range []string{
		"c1",
		"07",
		"95",
		"9403",
		"94a0",
		"94000794",
		"9400a1618080",
		"9400 07 a161 dd7fffffff",
		"9400 07 a161 c6ffffffff",
		"9400 07 a161" + strings.Repeat("91", 40),
	} {
		input := append(decodeHex(t, text), make([]byte, MaxFrame)...)
		if m, n, err := ParseMessage(input); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%s: got %+v, length %d, error %v; want error %v", text, m, n, err, wire.ErrMalformed)
		}
	}
}

func TestParseMessage_NeverPanics(t *testing.T) {
	whole := decodeHex(t, requestHex)
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if rapid.Bool().Draw(t, "changed message") { // a message with a few bytes changed
			changed := bytes.Clone(whole)
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				changed[rapid.IntRange(0, len(changed)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
			b = append(changed, b...)
		}
		if _, n, err := ParseMessage(b); n > len(b) || n < 0 || err != nil && n != 0 {
			t.Fatalf("got length %d of %d bytes, error %v; want a length within the input, 0 after an error",
				n, len(b), err)
		}
	})
}

func TestAppendResponses_ExactBytes(t *testing.T) {
	metadata := ResponseMetadata{LoadReport: "0.5", RetryAfter: 0.2501, NoFailover: true}
	for _, c := range []struct {
		got  []byte
		want string
	}{
		{AppendResult(nil, 7, []byte{1}, ResponseMetadata{}), "94 01 07 c0 92 c40101 80"},
		{AppendResult(nil, 200, make([]byte, 256), ResponseMetadata{LoadReport: "1"}),
			"94 01 ce000000c8 c0 92 c50100" + strings.Repeat("00", 256) + "81 a46c6f6164 a131"},
		{AppendRejected(nil, 7, metadata),
			"94 01 07 92 a442757379 83 a46c6f6164 a3302e35 a870757368 6261636b a3323531 " +
				"a473746f70 a131 c0"},
		{AppendFailed(nil, 1<<33, ResponseMetadata{}), "94 01 cf0000000200000000 92 a64661696c6564 80 c0"},
		{AppendInvalid(nil, 1, ResponseMetadata{}), "94 01 01 92 a7496e76616c6964 80 c0"},
		{AppendHealth(nil, 1, true, ResponseMetadata{}), "94 01 01 c0 92 c3 80"},
		{AppendHealth(nil, 1, false, ResponseMetadata{}), "94 01 01 c0 92 c2 80"},
		{AppendGoAway(nil), "93 02 a6676f61776179 90"},
	} {
		if want := decodeHex(t, c.want); !bytes.Equal(c.got, want) {
			t.Errorf("got %x\nwant %x", c.got, want)
		}
	}
}

func TestParseMessage_NamesFieldInError(t *testing.T) {
	message, _, err := ParseMessage(decodeHex(t, strings.Replace(requestHex, "a6302e36323530", "a6302e36323578", 1)))
	var fieldError *FieldError
	if err != nil || !errors.As(message.ValidationError, &fieldError) || fieldError.Field != "crit" {
		t.Errorf("got Invalid %v, error %v; want a FieldError for crit and no error", message.ValidationError, err)
	}
}

// Guards against a client that writes slowly and makes the server parse its message anew with each
// byte. MissingBytes must never reach beyond the end of the message, or a complete one would wait, and
// must spare all but a few attempts.
func TestParseMessage_MissingBytes(t *testing.T) {
	frames := map[string][]byte{
		"long subject": AppendRequest(nil, &Message{Number: 1, ID: "a1", Class: "quote", ArrivedAt: 1, Memory: 1,
			Subject: strings.Repeat("s", 12_000), Body: make([]byte, 2000)}),
		"many fields": shortStrings(3000),
		"cancel":      decodeHex(t, cancelHex),
	}
	for name, whole := range frames {
		attempts := 0
		for have := 0; have < len(whole); attempts++ {
			message, n, err := ParseMessage(whole[:have])
			if n != 0 || err != nil || message.MissingBytes < 1 || have+message.MissingBytes > len(whole) {
				t.Fatalf("%s: first %d of %d bytes: length %d, error %v, %d bytes missing; want 0, none, "+
					"and as many as follow at most", name, have, len(whole), n, err, message.MissingBytes)
			}
			have += message.MissingBytes
		}
		if _, n, err := ParseMessage(whole); n != len(whole) || err != nil {
			t.Errorf("%s: length %d, error %v; want %d, none", name, n, err, len(whole))
		}
		if attempts > 64 {
			t.Errorf("%s: %d attempts to parse %d bytes, want at most 64", name, attempts, len(whole))
		}
	}
}

// shortStrings returns a notification of an array with n short strings.
func shortStrings(n int) []byte {
	b := append([]byte(nil), 0x93, typeNotification, 0xa1, 'x', formatArray16, byte(n>>8), byte(n))
	for range n {
		b = append(b, 0xa1, 'y')
	}
	return b
}

// Guards against messages of very many short fields, which cost a server much time for few bytes.
func TestParseMessage_TooManyFields(t *testing.T) {
	for count, want := range map[int]error{maxFields: nil, maxFields + 1: errTooManyFields} {
		b := []byte{0x94, typeRequest, 7, 0xa1, 'c', 0x92, formatMap16, byte(count >> 8), byte(count)}
		for _, field := range []string{fieldID, fieldArrivedAt, fieldMemory} {
			b = append(append(b, byte(formatFixStr+len(field))), field...)
			b = append(b, 0xa1, '1')
		}
		for range count - 3 {
			b = append(b, 0xa1, 'f', 0xa1, 'v')
		}
		b = append(b, formatBin8, 0)
		message, n, err := ParseMessage(b)
		if n != len(b) || err != nil || !errors.Is(message.ValidationError, want) || message.Number != 7 {
			t.Errorf("%d fields: message %d, length %d of %d, error %v, %v; want 7, all, none, %v",
				count, message.Number, n, len(b), err, message.ValidationError, want)
		}
	}
}
