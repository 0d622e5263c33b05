package roster

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

func TestReadReport_ReadsWhatServerAppends(t *testing.T) {
	in := bufio.NewReader(bytes.NewReader(AppendReport(AppendReport(nil, "h", "n 3", true), "h", "n3", false)))
	for _, want := range []Report{{"n 3", true, `{"duty":"on"}`}, {"n3", false, `{"duty":"off"}`}} {
		if got, err := ReadReport(in); err != nil || got != want {
			t.Errorf("%+v, %v", got, err)
		}
	}
	if a, n, err := ParseResponse([]byte(ReportAccepted)); err != nil || n != len(ReportAccepted) || a.Status != 204 {
		t.Errorf("%+v, %d, %v", a, n, err)
	}
	for _, bad := range []string{
		"GET /roster/n3 HTTP/1.1\r\nHost: h\r\n\r\n",
		"PUT /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
		"PUT /roster/n3 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
		"nonsense\r\n\r\n",
	} {
		if r, err := ReadReport(bufio.NewReader(strings.NewReader(bad))); err == nil {
			t.Errorf("%q: %+v", bad, r)
		}
	}
}
