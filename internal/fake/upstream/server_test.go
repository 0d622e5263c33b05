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

func startAndDial(t *testing.T, respond func(n int, call catalogue.Call) Response) (*Server, net.Conn) {
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

func sendCalls(t *testing.T, conn net.Conn, calls []byte) {
	t.Helper()
	if _, err := conn.Write(calls); err != nil {
		t.Fatalf("send calls: %v", err)
	}
}

func readReply(t *testing.T, conn net.Conn) catalogue.Reply {
	t.Helper()
	var buffered []byte
	for {
		reply, size, err := catalogue.ParseReply(buffered)
		if err != nil {
			t.Fatalf("parse the reply %q: %v", buffered, err)
		}
		if size > 0 {
			return reply
		}
		chunk := make([]byte, 1)
		if _, err := conn.Read(chunk); err != nil {
			t.Fatalf("read a reply, got %q so far: %v", buffered, err)
		}
		buffered = append(buffered, chunk...)
	}
}

// Replies are matched by call id, not by order: the first call gets a delayed reply, the second an
// immediate one, the third none.
func TestServer_RepliesOutOfOrder(t *testing.T) {
	responses := []Response{
		{Delay: 200 * time.Millisecond, Outcome: admission.Finished, Body: []byte("late")},
		{Outcome: admission.Finished, Body: []byte("early")},
		{NoReply: true},
	}
	s, conn := startAndDial(t, func(n int, _ catalogue.Call) Response { return responses[n-1] })
	ids := []string{"00000001", "00000002", "00000003"}
	var calls []byte
	for _, id := range ids {
		calls = catalogue.AppendCall(calls, id, 1, []byte("x"))
	}
	sendCalls(t, conn, calls)
	for _, want := range []struct{ id, body string }{{ids[1], "early"}, {ids[0], "late"}} {
		if reply := readReply(t, conn); reply.ID != want.id || string(reply.Body) != want.body {
			t.Errorf("got reply %q to call %s, want %q to call %s", reply.Body, reply.ID, want.body, want.id)
		}
	}
	if s.Calls() != 3 {
		t.Errorf("server counted %d calls, want 3", s.Calls())
	}
}

func TestServer_Disconnect(t *testing.T) {
	_, conn := startAndDial(t, func(int, catalogue.Call) Response { return Response{Disconnect: true} })
	sendCalls(t, conn, catalogue.AppendCall(nil, "00000001", 1, []byte("x")))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read after a call with response Disconnect: got error %v, want %v", err, io.EOF)
	}
}
