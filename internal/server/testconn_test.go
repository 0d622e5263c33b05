package server

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"swiftcourse/internal/wire/rpc"
)

// testTimeout is how long the tests wait for what must come; nothing is asserted of how soon it
// does.
const testTimeout = 20 * time.Second

// testConn is the stand-in's end of a connection.
type testConn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func listenLoopback(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.9:0") // not where dials come from, whose ports could clash
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func acceptConn(t *testing.T, listener net.Listener) *testConn {
	t.Helper()
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newTestConn(t, conn)
}

func newTestConn(t *testing.T, conn net.Conn) *testConn {
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &testConn{t, conn, bufio.NewReader(conn)}
}

func (e *testConn) send(format string, a ...any) {
	e.t.Helper()
	if _, err := fmt.Fprintf(e, format, a...); err != nil {
		e.t.Fatal(err)
	}
}

// expect reads up to and with the text.
func (e *testConn) expect(text string) string {
	e.t.Helper()
	var got []byte
	for !bytes.HasSuffix(got, []byte(text)) {
		b, err := e.in.ReadByte()
		if err != nil {
			e.t.Fatalf("%v; got %q, not yet %q", err, got, text)
		}
		got = append(got, b)
	}
	return string(got)
}

// readCommand reads the executor's next command. It answers the gauge requests that come before it;
// with untilResumeTag the first one whose tag is a resume tag is returned as the command.
func (e *testConn) readCommand(untilResumeTag bool) map[string]any {
	e.t.Helper()
	for {
		var command map[string]any
		if err := json.Unmarshal([]byte(e.expect("\n")), &command); err != nil {
			e.t.Fatal(err)
		}
		if command["msg"] != "usage" {
			return command
		}
		e.send(`{"msg":"used","cookie":"%s","stats":[0.5,3]}`+"\n", command["cookie"])
		if untilResumeTag && strings.HasPrefix(command["cookie"].(string), "fence") {
			return command
		}
	}
}

func (e *testConn) expectCommand(msg, call string) map[string]any {
	e.t.Helper()
	command := e.readCommand(false)
	if command["msg"] != msg || command["call"] != call {
		e.t.Fatalf("got %v, want %s %s", command, msg, call)
	}
	return command
}

// requestFrame is a request as a client writes it.
func requestFrame(number byte, call, body string, change ...func(*rpc.Message)) string {
	message := &rpc.Message{
		Number:    uint64(number),
		ID:        call,
		Class:     "quote",
		Tenant:    "acme",
		Client:    1,
		ArrivedAt: float64(time.Now().UnixMilli()) / 1000,
		Timeout:   30,
		Memory:    1,
		Priority:  0.5,
		Body:      []byte(body),
	}
	for _, c := range change {
		c(message)
	}
	return string(rpc.AppendRequest(nil, message))
}

func withTimeout(seconds float64) func(*rpc.Message) {
	return func(message *rpc.Message) { message.Timeout = seconds }
}

func withSubject(row string) func(*rpc.Message) {
	return func(message *rpc.Message) { message.Subject = row }
}

func withArrival(at float64) func(*rpc.Message) {
	return func(message *rpc.Message) { message.ArrivedAt = at }
}

func withKey(k string) func(*rpc.Message) { return func(message *rpc.Message) { message.Key = k } }

const resultPrefix = "\xc0\x92\xc4" // no error, and a result of under 256 bytes

// What follows answerPrefix.
const (
	failedPayload   = "\x92\xa6Failed"
	rejectedPayload = "\x92\xa4Busy"
	invalidPayload  = "\x92\xa7Invalid"
	healthyPayload  = "\xc0\x92\xc3" // no error, and true
)

// closeRequest is the message by which the server asks a client to close.
const closeRequest = "goaway\x90"

func answerPrefix(number byte) string { return string([]byte{0x94, 1, number}) }

// completionLine is the notice that a run ended: its number, its call, how it ended and its result
// in base64.
const completionLine = `{"msg":"complete","serial":%d,"call":"%s","how":"%s","duration":5,"blob":"%s"}` + "\n"

func (e *testConn) sendCompletion(serial int, call, how, result string) {
	e.t.Helper()
	e.send(completionLine, serial, call, how, base64.StdEncoding.EncodeToString([]byte(result)))
}

// sendUp is the executor's first word: whether it is fresh or seasoned, and how long ago it
// started.
func (e *testConn) sendUp(how string, milliseconds int) {
	e.t.Helper()
	e.send(`{"msg":"hi","how":"%s","duration":%d}`+"\n", how, milliseconds)
}

func (e *testConn) sendCall(serial int, call, body string) {
	e.t.Helper()
	e.send(`{"msg":"ask","serial":%d,"call":"%s","blob":"%s"}`+"\n", serial, call,
		base64.StdEncoding.EncodeToString([]byte(body)))
}

// readAnswer reads the next answer that a client gets.
func (e *testConn) readAnswer() rpc.Response {
	e.t.Helper()
	var got []byte
	for {
		b, err := e.in.ReadByte()
		if err != nil {
			e.t.Fatal(err)
		}
		got = append(got, b)
		answer, size, err := rpc.ParseResponse(got)
		if err != nil {
			e.t.Fatal(err)
		}
		if size > 0 {
			return answer
		}
	}
}

// healthCheck is a health check as a client sends it.
func healthCheck(number byte) string {
	return "\x94\x00" + string([]byte{number}) + "\xa6isWell\x91\x80"
}
