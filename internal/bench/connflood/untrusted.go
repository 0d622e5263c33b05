package connflood

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/internal/wire/rpc"
)

const (
	// untrustedHoldTime is the time after which an untrusted client closes its connection.
	untrustedHoldTime = 2 * time.Second
	// maxUntrustedConns bounds the open connections of untrusted clients, because this process has
	// a descriptor limit too.
	maxUntrustedConns = 8000
	arrivalInterval   = time.Millisecond
)

// flood opens connections of untrusted clients at a fixed rate. Each client sends a health check
// and holds its connection.
type flood struct {
	server          string
	end             time.Time
	slots           chan struct{} // semaphore for open connections
	startedClients  atomic.Int64
	answeredClients atomic.Int64
}

func newFlood(server string, duration time.Duration) *flood {
	return &flood{server: server, end: time.Now().Add(duration), slots: make(chan struct{}, maxUntrustedConns)}
}

// run starts clients at the given rate until the end, and waits until all of them have
// disconnected.
func (f *flood) run(ctx context.Context, rate float64) {
	start := time.Now()
	var wait sync.WaitGroup
	n := 0
	for time.Now().Before(f.end) && ctx.Err() == nil {
		for due := int(time.Since(start).Seconds() * rate); n < due; n++ {
			f.startClient(ctx, n, &wait)
		}
		time.Sleep(arrivalInterval)
	}
	wait.Wait()
}

// startClient starts the nth client, unless maxUntrustedConns connections are open.
func (f *flood) startClient(ctx context.Context, n int, wait *sync.WaitGroup) {
	select {
	case f.slots <- struct{}{}:
	default:
		return
	}
	address := net.IPv4(127, byte(30+n>>16&63), byte(n>>8), byte(n%254+1))
	wait.Go(func() {
		f.connect(ctx, address)
		<-f.slots
	})
}

// connect opens one client's connection, sends a health check and holds the connection until
// untrustedHoldTime has passed or the server closes it.
func (f *flood) connect(ctx context.Context, address net.IP) {
	f.startedClients.Add(1)
	conn, err := dialFrom(ctx, address, f.server)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(untrustedHoldTime))
	if _, err := conn.Write(rpc.AppendHealthCheck(nil, 1)); err != nil {
		return
	}
	if _, err := readAnswer(conn, 1); err != nil {
		return
	}
	f.answeredClients.Add(1)
	_, _ = conn.Read(make([]byte, 64)) // returns once the server closes the connection or the deadline has passed
}
