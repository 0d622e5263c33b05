package forwarder

import (
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"swiftcourse/internal/wire/rpc"
)

// A malformed response ends the connection with an error. Valid responses before it are still
// passed to the dispatcher.
func TestLinkRead_ReportsMalformedResponses(t *testing.T) {
	result := string(rpc.AppendResult(nil, 1, []byte("r"), rpc.ResponseMetadata{}))
	// The codec rejects the declared length of the result, before maxPartialMessageBytes applies.
	tooLong := "\x94\x01\x01\xc0\x92\xc6\x7f\xff\xff\xff" + strings.Repeat("x", maxPartialMessageBytes+1)
	for name, c := range map[string]struct {
		input       string
		responses   int
		isMalformed bool
	}{
		"empty input":                    {},
		"one response":                   {input: result, responses: 1},
		"incomplete response":            {input: result[:len(result)-1]},
		"malformed response":             {input: "\xc1", isMalformed: true},
		"response, then a malformed one": {input: result + "\xc1", responses: 1, isMalformed: true},
		"response of excessive length":   {input: tooLong, isMalformed: true},
	} {
		t.Run(name, func(t *testing.T) {
			socket, workerSocket := net.Pipe()
			dispatcher := &Dispatcher{events: make(chan event, 4), stop: make(chan struct{})}
			l := newLink(dispatcher, Worker{})
			go func() {
				_, _ = workerSocket.Write([]byte(c.input)) // fails if the reader closes its end first
				_ = workerSocket.Close()
			}()
			responded, err := l.read(socket)
			_ = socket.Close()
			events := len(dispatcher.events)
			if (err != nil) != c.isMalformed || responded != (c.responses > 0) || events != c.responses {
				t.Errorf("responded %t, error %v, %d responses passed on; want responded %t, error: %t, %d responses",
					responded, err, events, c.responses > 0, c.isMalformed, c.responses)
			}
		})
	}
}

// Guards against a worker that does not read and makes the forwarder hold ever more: the bound must hold for
// bytes, and those that were written must not count.
func TestConnection_QueueIsBoundedInBytes(t *testing.T) {
	socket, workerSocket := net.Pipe()
	c := newConnection(socket, 1000)
	queued := 0
	for c.enqueue(make([]byte, 300)) {
		queued++
	}
	if queued != 3 || !c.enqueue(make([]byte, 100)) || c.enqueue([]byte("x")) {
		t.Fatalf("%d messages of 300 bytes queued, %d bytes in all; want 3, and 1000", queued, c.queuedBytes.Load())
	}
	go c.write()
	if _, err := io.ReadFull(workerSocket, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	for !c.enqueue(make([]byte, 1000)) { // until the writer has accounted for what it wrote
		runtime.Gosched()
	}
	if _, err := io.ReadFull(workerSocket, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	close(c.closed)
	_ = socket.Close()
}
