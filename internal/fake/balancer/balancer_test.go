package balancer

import (
	"context"
	"net"
	"testing"
	"time"

	"swiftcourse/internal/fake/tcpserver"
	"swiftcourse/internal/wire/rpc"
)

const testTimeout = 5 * time.Second

// startServer starts a server that answers the first health check on a connection with the given
// health, and each further one with a go-away message. It closes the connection on any other
// message.
func startServer(t *testing.T, healthy bool) string {
	t.Helper()
	listener, err := tcpserver.Start("127.0.0.1:0", func(conn net.Conn) {
		chunk := make([]byte, 1024)
		for checks := 1; ; checks++ {
			n, err := conn.Read(chunk)
			if err != nil {
				return
			}
			message, size, err := rpc.ParseMessage(chunk[:n])
			if err != nil || size != n || message.Kind != rpc.KindHealthCheck {
				return
			}
			reply := rpc.AppendHealth(nil, message.Number, healthy, rpc.ResponseMetadata{})
			if checks > 1 {
				reply = rpc.AppendGoAway(nil)
			}
			if _, err := conn.Write(reply); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not true within %s: %s", testTimeout, description)
		}
	}
}

func TestIsHealthy(t *testing.T) {
	for _, healthy := range []bool{true, false} {
		if got := IsHealthy(startServer(t, healthy), testTimeout); got != healthy {
			t.Errorf("got IsHealthy %t for a server that answers %t, want the same", got, healthy)
		}
	}
}

func TestConn_MessageNumbersAndOnClose(t *testing.T) {
	closed := make(chan error, 1)
	c, err := Dial(context.Background(), startServer(t, true), func(rpc.Response) {}, func(err error) { closed <- err })
	if err != nil {
		t.Fatal(err)
	}
	if first, second := c.NextNumber(), c.NextNumber(); first != 1 || second != 2 {
		t.Errorf("the first message numbers are %d and %d, want 1 and 2", first, second)
	}
	if err := c.SendCancel(1); err != nil { // the server closes the connection on a cancellation
		t.Fatal(err)
	}
	select {
	case err := <-closed:
		if err == nil {
			t.Error("onClose was called with a nil error, want the error that ended the connection")
		}
	case <-time.After(testTimeout):
		t.Fatalf("onClose was not called within %s", testTimeout)
	}
}

func TestIdleConns_GoAwayClosesIfHonored(t *testing.T) {
	const n = 5
	for _, honorClose := range []bool{true, false} {
		idle, err := OpenIdle(startServer(t, true), n, honorClose)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(idle.Close)
		if idle.Len() != n {
			t.Fatalf("%d connections are open, want %d", idle.Len(), n)
		}
		idle.SendHealthChecks()
		await(t, "all connections received a go-away message", func() bool { return idle.GoAways.Load() == n })
		if honorClose {
			await(t, "all connections are closed", func() bool { return idle.Len() == 0 })
			if idle.Closed.Load() != n {
				t.Errorf("honorClose true: %d connections counted as closed, want %d", idle.Closed.Load(), n)
			}
		} else if idle.Len() != n || idle.Closed.Load() != 0 {
			t.Errorf("honorClose false: %d connections open and %d closed, want %d and 0",
				idle.Len(), idle.Closed.Load(), n)
		}
	}
}
