package badclients

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"swiftcourse/internal/wire/rpc"
)

// closeTimeout is within which time a bad client is owed a refusal, an error or a close.
const closeTimeout = 3 * time.Second

// Guards against a client that keeps the server busy for as long as it likes, with tiny or invalid messages at
// full speed on one connection: the connection must end, and other clients must go on being served.
func TestFlood_ConnectionEnds(t *testing.T) {
	floods := map[string]func(n int) []byte{
		"notifications": func(int) []byte { return []byte("\x93\x02\xa1x\x90") },
		"health checks": func(n int) []byte { return rpc.AppendHealthCheck(nil, uint64(n)) },
		"empty requests": func(int) []byte {
			return []byte("\x94\x00\x07\xa4" + readClass + "\x92\x80\xc4\x00")
		},
		"ever new names": func(n int) []byte {
			request := newRequest()
			request.Class, request.Tenant = fmt.Sprint("class-", n), fmt.Sprint("tenant-", n)
			return rpc.AppendRequest(nil, request)
		},
		"too many open": func(int) []byte { return rpc.AppendRequest(nil, newRequest()) },
	}
	for name, target := range targets(t) {
		for kind, message := range floods {
			t.Run(name+", "+kind, func(t *testing.T) {
				client := startGoodClient(t, target.address.Addr, time.Millisecond)
				var flood []byte
				for n := 0; len(flood) < 1<<20; n++ {
					flood = append(flood, message(n)...)
				}
				conn := dial(t, target.address.Addr)
				_ = conn.SetWriteDeadline(time.Now().Add(closeTimeout))
				if err := writeUntilClosed(conn, flood); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the connection was still open after %v, want it closed", closeTimeout)
				}
				client.finish(t)
			})
		}
	}
}

// writeUntilClosed writes data again and again until that fails.
func writeUntilClosed(conn net.Conn, data []byte) error {
	for {
		if _, err := conn.Write(data); err != nil {
			return err
		}
	}
}
