package registry

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"swiftcourse/internal/wire/roster"
)

func TestServer_Responses(t *testing.T) {
	tests := []struct {
		response          Response
		replied, keptOpen bool
	}{
		{KeepAlive, true, true},
		{CloseAfterReply, true, false},
		{CloseWithoutReply, false, false},
	}
	for _, test := range tests {
		t.Run(test.response.String(), func(t *testing.T) {
			s, err := Start("127.0.0.1:0", func(int) Response { return test.response })
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			conn, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			in := bufio.NewReader(conn)
			if got := report(t, conn, in, true); got != test.replied {
				t.Errorf("first report: got acknowledged %t, want %t", got, test.replied)
			}
			if !s.Accepting("a") || !(<-s.Reports()).Accepting {
				t.Error("first report: got Accepting or the report from Reports not accepting, want both accepting")
			}
			if got := report(t, conn, in, false); got != test.keptOpen {
				t.Errorf("second report: got acknowledged %t, want %t", got, test.keptOpen)
			}
			if s.Accepting("a") == test.keptOpen {
				t.Errorf("after the second report: got accepting %t, want %t", s.Accepting("a"), !test.keptOpen)
			}
		})
	}
}

// report sends a load report and returns whether it was acknowledged.
func report(t *testing.T, conn net.Conn, in *bufio.Reader, accepting bool) bool {
	t.Helper()
	if _, err := conn.Write(roster.AppendReport(nil, "registry", "a", accepting)); err != nil {
		return false
	}
	reply := make([]byte, len(roster.ReportAccepted))
	if _, err := io.ReadFull(in, reply); err != nil {
		return false
	}
	if string(reply) != roster.ReportAccepted {
		t.Fatalf("got reply %q, want %q", reply, roster.ReportAccepted)
	}
	return true
}
