package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/wire/catalogue"
)

func dial(t *testing.T, respond func(n int, call catalogue.Call) Response) (*Server, net.Conn) {
	t.Helper()
	s, err := Start("127.0.0.1:0", respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return s, conn
}

func send(t *testing.T, conn net.Conn, calls []byte) {
	t.Helper()
	if _, err := conn.Write(calls); err != nil {
		t.Fatal(err)
	}
}

func readReply(t *testing.T, conn net.Conn) catalogue.Reply {
	t.Helper()
	var buffered []byte
	for {
		reply, size, err := catalogue.ParseReply(buffered)
		if err != nil {
			t.Fatal(err)
		}
		if size > 0 {
			return reply
		}
		piece := make([]byte, 1)
		if _, err := conn.Read(piece); err != nil {
			t.Fatal(err)
		}
		buffered = append(buffered, piece...)
	}
}

// The first call is answered late, the second at once, the third never.
func TestServer_RepliesOutOfOrder(t *testing.T) {
	responses := []Response{
		{Delay: 200 * time.Millisecond, Outcome: admission.Finished, Body: []byte("late")},
		{Outcome: admission.Finished, Body: []byte("early")},
		{NoReply: true},
	}
	s, conn := dial(t, func(n int, _ catalogue.Call) Response { return responses[n-1] })
	ids := []string{"00000001", "00000002", "00000003"}
	var calls []byte
	for _, id := range ids {
		calls = catalogue.AppendCall(calls, id, 1, []byte("x"))
	}
	send(t, conn, calls)
	for _, want := range []struct{ id, body string }{{ids[1], "early"}, {ids[0], "late"}} {
		if reply := readReply(t, conn); reply.ID != want.id || string(reply.Body) != want.body {
			t.Errorf("reply %q to %s, not %q to %s", reply.Body, reply.ID, want.body, want.id)
		}
	}
	if s.Calls() != 3 {
		t.Errorf("%d calls", s.Calls())
	}
}

func TestServer_Disconnect(t *testing.T) {
	_, conn := dial(t, func(int, catalogue.Call) Response { return Response{Disconnect: true} })
	send(t, conn, catalogue.AppendCall(nil, "00000001", 1, []byte("x")))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%v, not a closed connection", err)
	}
}
