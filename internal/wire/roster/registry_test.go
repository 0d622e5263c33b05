package roster

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

func TestReadReport_ReadsReportsOfServer(t *testing.T) {
	in := bufio.NewReader(bytes.NewReader(AppendReport(AppendReport(nil, "h", "n 3", true), "h", "n3", false)))
	for _, want := range []Report{{"n 3", true, `{"duty":"on"}`}, {"n3", false, `{"duty":"off"}`}} {
		if got, err := ReadReport(in); err != nil || got != want {
			t.Errorf("got %+v, error %v; want %+v", got, err, want)
		}
	}
	if a, n, err := ParseResponse([]byte(ReportAccepted)); err != nil || n != len(ReportAccepted) || a.Status != 204 {
		t.Errorf("%q: got %+v, length %d, error %v; want status 204, length %d",
			ReportAccepted, a, n, err, len(ReportAccepted))
	}
	for _, bad := range []string{
		"GET /roster/n3 HTTP/1.1\r\nHost: h\r\n\r\n",
		"PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
		"PUT /roster/n3 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
		"nonsense\r\n\r\n",
	} {
		if r, err := ReadReport(bufio.NewReader(strings.NewReader(bad))); err == nil {
			t.Errorf("%q: got %+v, want an error", bad, r)
		}
	}
}
