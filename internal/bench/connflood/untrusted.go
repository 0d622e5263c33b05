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
	// untrustedStay is how long an untrusted client holds its connection after its health check.
	untrustedStay = 2 * time.Second
	// maxUntrusted bounds the untrusted clients that hold connections, as this process has a descriptor limit too.
	maxUntrusted = 8000
	arrivalStep  = time.Millisecond
)

// flood is untrusted clients that arrive at a rate; each sends a health check and stays.
type flood struct {
	server   string
	end      time.Time
	slots    chan struct{} // one is held by each open client
	arrived  atomic.Int64
	answered atomic.Int64
}

func newFlood(server string, duration time.Duration) *flood {
	return &flood{server: server, end: time.Now().Add(duration), slots: make(chan struct{}, maxUntrusted)}
}

// run has clients arrive until the end, and waits until all of them have left.
func (f *flood) run(ctx context.Context, rate float64) {
	start := time.Now()
	var wait sync.WaitGroup
	n := 0
	for time.Now().Before(f.end) && ctx.Err() == nil {
		for due := int(time.Since(start).Seconds() * rate); n < due; n++ {
			f.arrive(ctx, n, &wait)
		}
		time.Sleep(arrivalStep)
	}
	wait.Wait()
}

// arrive starts the nth client, unless this process holds as many connections as it may.
func (f *flood) arrive(ctx context.Context, n int, wait *sync.WaitGroup) {
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

// connect opens one client's connection, sends a health check and holds the connection until untrustedStay has passed
// or the server closes it.
func (f *flood) connect(ctx context.Context, address net.IP) {
	f.arrived.Add(1)
	conn, err := dialFrom(ctx, address, f.server)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(untrustedStay))
	if _, err := conn.Write(rpc.AppendHealthCheck(nil, 1)); err != nil {
		return
	}
	if _, err := readAnswer(conn, 1); err != nil {
		return
	}
	f.answered.Add(1)
	_, _ = conn.Read(make([]byte, 64)) // until the server closes it, or the deadline
}
