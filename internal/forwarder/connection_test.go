package forwarder

import (
	"net"
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
