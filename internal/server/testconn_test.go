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

// testTimeout is how long the tests wait for expected events. The tests do not check how soon within
// it an event occurs.
const testTimeout = 20 * time.Second

// testConn is the test's end of a connection to the server.
type testConn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func listenLoopback(t *testing.T) net.Listener {
	// Not 127.0.0.1, where the ports of outgoing connections could clash.
	listener, err := net.Listen("tcp", "127.0.0.9:0")
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

// expect reads up to the end of a text, and returns everything it read.
func (e *testConn) expect(text string) string {
	e.t.Helper()
	var got []byte
	for !bytes.HasSuffix(got, []byte(text)) {
		b, err := e.in.ReadByte()
		if err != nil {
			e.t.Fatalf("error %v after %q, want %q", err, got, text)
		}
		got = append(got, b)
	}
	return string(got)
}

// readCommand returns the next command to the executor other than a gauge request, and answers the
// gauge requests before it. With untilBarrier it also returns at the first gauge request with a
// barrier tag, after answering it.
func (e *testConn) readCommand(untilBarrier bool) map[string]any {
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
		if untilBarrier && strings.HasPrefix(command["cookie"].(string), barrierTagPrefix) {
			return command
		}
	}
}

func (e *testConn) expectCommand(msg, call string) map[string]any {
	e.t.Helper()
	command := e.readCommand(false)
	if command["msg"] != msg || command["call"] != call {
		e.t.Fatalf("got command %v, want %s for request %s", command, msg, call)
	}
	return command
}

// requestFrame returns an encoded request.
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

func withSubject(subject string) func(*rpc.Message) {
	return func(message *rpc.Message) { message.Subject = subject }
}

func withArrival(at float64) func(*rpc.Message) {
	return func(message *rpc.Message) { message.ArrivedAt = at }
}

func withKey(k string) func(*rpc.Message) { return func(message *rpc.Message) { message.Key = k } }

const resultPrefix = "\xc0\x92\xc4" // no error, and a result of under 256 bytes

// The starts of answers after answerPrefix.
const (
	failedPayload   = "\x92\xa6Failed"
	rejectedPayload = "\x92\xa4Busy"
	invalidPayload  = "\x92\xa7Invalid"
	healthyPayload  = "\xc0\x92\xc3" // no error, and true
)

// closeRequest is the message by which the server asks a client to close.
const closeRequest = "goaway\x90"

func answerPrefix(number byte) string { return string([]byte{0x94, 1, number}) }

// completionLine is the format of the notice that a run ended. Its arguments are the notice's number,
// the request ID, the outcome and the result in base64.
const completionLine = `{"msg":"complete","serial":%d,"call":"%s","how":"%s","duration":5,"blob":"%s"}` + "\n"

func (e *testConn) sendCompletion(serial int, call, outcome, result string) {
	e.t.Helper()
	e.send(completionLine, serial, call, outcome, base64.StdEncoding.EncodeToString([]byte(result)))
}

// sendFirstMessage sends the executor's first message: its state, fresh or seasoned, and how long
// ago it started.
func (e *testConn) sendFirstMessage(state string, milliseconds int) {
	e.t.Helper()
	e.send(`{"msg":"hi","how":"%s","duration":%d}`+"\n", state, milliseconds)
}

func (e *testConn) sendCall(serial int, call, body string) {
	e.t.Helper()
	e.send(`{"msg":"ask","serial":%d,"call":"%s","blob":"%s"}`+"\n", serial, call,
		base64.StdEncoding.EncodeToString([]byte(body)))
}

// readAnswer reads the next answer to a client.
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

// healthCheck returns an encoded health check.
func healthCheck(number byte) string {
	return "\x94\x00" + string([]byte{number}) + "\xa6isWell\x91\x80"
}
