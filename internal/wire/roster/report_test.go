package roster

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"swiftcourse/internal/wire"
)

func TestAppendReport_IsHTTPRequest(t *testing.T) {
	for accepts, want := range map[bool]string{true: `{"duty":"on"}`, false: `{"duty":"off"}`} {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(AppendReport(nil, "127.0.0.1:1", "n/3", accepts))))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != want || r.Method != "PUT" || r.URL.Path != "/roster/n/3" ||
			r.URL.EscapedPath() != "/roster/n%2F3" || r.Host != "127.0.0.1:1" {
			t.Errorf("got %+v with body %s, error %v; want a PUT of %s to /roster/n%%2F3 at 127.0.0.1:1",
				r, body, err, want)
		}
	}
}

func TestParseResponse_CompleteIncompleteAndMalformedInput(t *testing.T) {
	for text, want := range map[string]Response{
		"HTTP/1.1 204 No Content\r\n\r\n":                                     {204, false},
		"HTTP/1.1 500 No\r\nContent-Length: 2\r\nConnection: Close\r\n\r\nno": {500, true},
		"HTTP/1.0 204 OK\r\ncontent-length:0\r\n\r\n":                         {204, true},
	} {
		for cut := range text {
			if a, n, err := ParseResponse([]byte(text[:cut])); n != 0 || err != nil {
				t.Fatalf("first %d bytes of %q: got %+v, length %d, error %v; want length 0, no error",
					cut, text, a, n, err)
			}
		}
		if a, n, err := ParseResponse([]byte(text + "HTT")); err != nil || n != len(text) || a != want {
			t.Errorf("%q: got %+v, length %d, error %v; want %+v, length %d", text, a, n, err, want, len(text))
		}
	}
	for _, text := range []string{
		"\r\n\r\n",
		"SMTP 1\r\n\r\n",
		"HTTP/1.1 x\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: z\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		string(make([]byte, maxPartLength+1)),
	} {
		if a, n, err := ParseResponse([]byte(text)); !errors.Is(err, wire.ErrMalformed) {
			t.Errorf("%q: got %+v, length %d, error %v; want error %v", text, a, n, err, wire.ErrMalformed)
		}
	}
}
