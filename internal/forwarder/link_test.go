package forwarder

import (
	"net"
	"strings"
	"testing"

	"swiftcourse/internal/wire/rpc"
)

// What a worker sends that is no answer ends its connection, with an error that says why; what came before is handed on.
func TestWhatIsNoAnswerIsAnError(t *testing.T) {
	result := string(rpc.PutResult(nil, 1, []byte("r"), rpc.Say{}))
	for name, c := range map[string]struct {
		bytes   string
		answers int
		bad     bool
	}{
		"nothing":             {},
		"an answer":           {bytes: result, answers: 1},
		"half of one":         {bytes: result[:len(result)-1]},
		"no answer":           {bytes: "\xc1", bad: true},
		"one, then none":      {bytes: result + "\xc1", answers: 1, bad: true},
		"one that never ends": {bytes: "\x94\x01\x01\xc0\x92\xc6\x7f\xff\xff\xff" + strings.Repeat("x", maxRead+1), bad: true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			l := &link{d: &Dispatcher{inbox: make(chan event, 4), quit: make(chan struct{})}}
			go func() {
				_, _ = far.Write([]byte(c.bytes)) // the reader may leave before its end
				_ = far.Close()
			}()
			spoke, err := l.read(&conn{raw: near})
			_ = near.Close()
			if (err != nil) != c.bad || spoke != (c.answers > 0) || len(l.d.inbox) != c.answers {
				t.Errorf("spoke %t, %d answers, %v", spoke, len(l.d.inbox), err)
			}
		})
	}
}
