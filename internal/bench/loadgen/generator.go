// Package loadgen generates an open-loop load: requests are sent on schedule, whether or not earlier ones were
// answered, and latency counts from the scheduled time. A server that stalls therefore shows its full delay
// (coordinated omission is avoided).
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/wire/rpc"
)

// Config describes the load.
type Config struct {
	Addresses      []string // of the servers; connections are spread over them evenly
	ConnsPerServer int
	Rate           float64 // requests a second over all servers, as a Poisson process
	Class          string
	Timeout        time.Duration // of each request
	HealthChecks   bool          // send health checks, which do not reach the executor, in place of requests
	Keyed          bool          // give each request an idempotency key of its own
	BodyBytes      int
	Seed           uint64
}

// ErrInvalidConfig is returned by Start for a load without a rate, a connection or a server.
var ErrInvalidConfig = errors.New("load needs a rate, a connection and a server")

const (
	// maxInFlight is how many requests the protocol allows in flight on one connection.
	maxInFlight = 32
	// drainPoll is how often Stop looks whether all answers have come.
	drainPoll = time.Millisecond

	requestMemory   = 1
	requestPriority = 0.5
)

// Generator is a running load. Its methods may be called from any goroutine.
type Generator struct {
	config Config
	stop   chan struct{}
	done   chan struct{}
	conns  []*conn

	mu    sync.Mutex
	stats Stats
	since time.Time // when the period of stats began
}

// conn is a connection to a server with its requests in flight.
type conn struct {
	*balancer.Conn
	generator *Generator
	mu        sync.Mutex
	inFlight  map[uint64]time.Time // scheduled time by message number
}

// Start opens the connections and begins to send.
func Start(ctx context.Context, config Config) (*Generator, error) {
	if config.Rate <= 0 || config.ConnsPerServer < 1 || len(config.Addresses) == 0 {
		return nil, ErrInvalidConfig
	}
	g := &Generator{config: config, stop: make(chan struct{}), done: make(chan struct{})}
	for i := range config.ConnsPerServer * len(config.Addresses) {
		c := &conn{generator: g, inFlight: map[uint64]time.Time{}}
		var err error
		c.Conn, err = balancer.Dial(ctx, config.Addresses[i%len(config.Addresses)], c.onAnswer, c.onClose)
		if err != nil {
			g.close()
			return nil, err
		}
		g.conns = append(g.conns, c)
	}
	g.TakeStats()
	go g.send()
	return g, nil
}

// TakeStats returns the statistics of the period since the last call and starts a new period.
func (g *Generator) TakeStats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	stats.Elapsed = time.Since(g.since)
	g.stats = Stats{Latency: NewHistogram()}
	g.since = time.Now()
	return stats
}

// Stop ends the load, waits up to the requests' timeout for outstanding answers, and returns the statistics since the
// last TakeStats. It must be called once.
func (g *Generator) Stop() Stats {
	close(g.stop)
	<-g.done
	for deadline := time.Now().Add(g.config.Timeout); g.inFlight() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPoll)
	}
	stats := g.TakeStats()
	stats.Unanswered = g.inFlight()
	g.close()
	return stats
}

// inFlight returns the number of requests without an answer, over all connections.
func (g *Generator) inFlight() int {
	n := 0
	for _, c := range g.conns {
		c.mu.Lock()
		n += len(c.inFlight)
		c.mu.Unlock()
	}
	return n
}

func (g *Generator) close() {
	for _, c := range g.conns {
		_ = c.Close()
	}
}

// send sends on schedule. It spins on a thread of its own instead of sleeping: a sleep ends up to a millisecond
// late, which would count as the server's latency.
func (g *Generator) send() {
	defer close(g.done)
	runtime.LockOSThread()
	random := rand.New(rand.NewPCG(g.config.Seed, 1))
	body := make([]byte, g.config.BodyBytes)
	scheduled := time.Now()
	for n := 0; ; n++ {
		scheduled = scheduled.Add(time.Duration(random.ExpFloat64() / g.config.Rate * float64(time.Second)))
		if !g.spinUntil(scheduled) {
			return
		}
		delay := time.Since(scheduled)
		sent := g.conns[n%len(g.conns)].sendMessage(n, scheduled, body)
		g.recordSend(sent, delay)
	}
}

// spinUntil returns at the given time, or false once the generator is stopped.
func (g *Generator) spinUntil(scheduled time.Time) bool {
	for {
		select {
		case <-g.stop:
			return false
		default:
		}
		if !time.Now().Before(scheduled) {
			return true
		}
	}
}

// recordSend counts a scheduled request, and how late it was sent.
func (g *Generator) recordSend(sent bool, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.MaxSendDelay = max(g.stats.MaxSendDelay, delay)
	if sent {
		g.stats.Sent++
	} else {
		g.stats.Unsent++
	}
}

// sendMessage sends the nth request, or a health check in its place, and reports whether it was sent.
func (c *conn) sendMessage(n int, scheduled time.Time, body []byte) bool {
	number := c.NextNumber()
	if !c.reserve(number, scheduled) {
		return false
	}
	config := &c.generator.config
	if config.HealthChecks {
		return c.SendHealthCheckAs(number) == nil
	}
	request := rpc.Message{
		Number:    number,
		ID:        fmt.Sprintf("%08x%08x", uint32(config.Seed), n),
		Class:     config.Class,
		ArrivedAt: float64(scheduled.UnixMicro()) / 1e6,
		Timeout:   config.Timeout.Seconds(),
		Memory:    requestMemory,
		Priority:  requestPriority,
		Body:      body,
	}
	if config.Keyed {
		request.Subject = request.ID
	}
	return c.SendRequest(&request) == nil
}

// reserve records a message as in flight. It returns false if the connection has maxInFlight already.
func (c *conn) reserve(number uint64, scheduled time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inFlight) >= maxInFlight {
		return false
	}
	c.inFlight[number] = scheduled
	return true
}

// onAnswer counts the outcome of a request in flight. Answers without one, or to no such request, are ignored.
func (c *conn) onAnswer(answer rpc.Response) {
	if answer.Kind == rpc.ResponseGoAway || answer.Kind == rpc.ResponseOther {
		return
	}
	c.mu.Lock()
	scheduled, inFlight := c.inFlight[answer.Number]
	delete(c.inFlight, answer.Number)
	c.mu.Unlock()
	if !inFlight {
		return
	}
	latency := time.Since(scheduled)
	g := c.generator
	g.mu.Lock()
	defer g.mu.Unlock()
	switch answer.Kind {
	case rpc.ResponseFinished, rpc.ResponseHealth:
		g.stats.Finished++
		g.stats.record(latency)
	case rpc.ResponseRejected:
		g.stats.Rejected++
	default:
		g.stats.Abandoned++
	}
}

// onClose counts a connection that ended before Stop.
func (c *conn) onClose(error) {
	select {
	case <-c.generator.stop:
		return
	default:
	}
	c.generator.mu.Lock()
	defer c.generator.mu.Unlock()
	c.generator.stats.Disconnects++
}
