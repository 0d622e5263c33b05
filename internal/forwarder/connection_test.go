package forwarder

import (
	"net"
	"strings"
	"testing"

	"swiftcourse/internal/wire/rpc"
)

// What a worker sends that is no answer ends its connection, with an error that says why; what came
// before is handed on.
func TestLink_ReadReportsMalformedAnswers(t *testing.T) {
	result := string(rpc.AppendResult(nil, 1, []byte("r"), rpc.ResponseMetadata{}))
	endless := "\x94\x01\x01\xc0\x92\xc6\x7f\xff\xff\xff" + strings.Repeat("x", maxPartialMessage+1)
	for name, c := range map[string]struct {
		bytes       string
		answers     int
		isMalformed bool
	}{
		"nothing":             {},
		"an answer":           {bytes: result, answers: 1},
		"half of one":         {bytes: result[:len(result)-1]},
		"no answer":           {bytes: "\xc1", isMalformed: true},
		"one, then none":      {bytes: result + "\xc1", answers: 1, isMalformed: true},
		"one that never ends": {bytes: endless, isMalformed: true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			dispatcher := &Dispatcher{events: make(chan event, 4), stop: make(chan struct{})}
			l := newLink(dispatcher, Worker{})
			go func() {
				_, _ = far.Write([]byte(c.bytes)) // the reader may leave before its end
				_ = far.Close()
			}()
			answered, err := l.read(near)
			_ = near.Close()
			if (err != nil) != c.isMalformed || answered != (c.answers > 0) || len(dispatcher.events) != c.answers {
				t.Errorf("answered %t, %d answers, %v", answered, len(dispatcher.events), err)
			}
		})
	}
}
