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

// startServer starts a server that answers health checks and, for the second one on a connection, asks to close it.
func startServer(t *testing.T, healthy bool) string {
	t.Helper()
	listener, err := tcpserver.Start("127.0.0.1:0", func(conn net.Conn) {
		piece := make([]byte, 1024)
		for checks := 1; ; checks++ {
			n, err := conn.Read(piece)
			if err != nil {
				return
			}
			message, size, err := rpc.ParseMessage(piece[:n])
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

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not so:", what)
		}
	}
}

func TestIsHealthy(t *testing.T) {
	for _, healthy := range []bool{true, false} {
		if got := IsHealthy(startServer(t, healthy), testTimeout); got != healthy {
			t.Errorf("%t of a server whose health is %t", got, healthy)
		}
	}
}

func TestConn_NumbersMessagesFromOneAndReportsItsEnd(t *testing.T) {
	closed := make(chan error, 1)
	c, err := Dial(context.Background(), startServer(t, true), func(rpc.Response) {}, func(err error) { closed <- err })
	if err != nil {
		t.Fatal(err)
	}
	if first, second := c.NextNumber(), c.NextNumber(); first != 1 || second != 2 {
		t.Errorf("%d, %d", first, second)
	}
	if err := c.SendCancel(1); err != nil { // the server ends the connection
		t.Fatal(err)
	}
	select {
	case err := <-closed:
		if err == nil {
			t.Error("no error")
		}
	case <-time.After(testTimeout):
		t.Fatal("the end was not reported")
	}
}

func TestIdleConns_CloseRequests(t *testing.T) {
	const n = 5
	for _, honorClose := range []bool{true, false} {
		idle, err := OpenIdle(startServer(t, true), n, honorClose)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(idle.Close)
		if idle.Len() != n {
			t.Fatalf("%d open", idle.Len())
		}
		idle.SendHealthChecks()
		await(t, "all are asked to close", func() bool { return idle.GoAways.Load() == n })
		if honorClose {
			await(t, "all are closed", func() bool { return idle.Len() == 0 })
			if idle.Closed.Load() != n {
				t.Errorf("%d closed", idle.Closed.Load())
			}
		} else if idle.Len() != n || idle.Closed.Load() != 0 {
			t.Errorf("%d open, %d closed", idle.Len(), idle.Closed.Load())
		}
	}
}
