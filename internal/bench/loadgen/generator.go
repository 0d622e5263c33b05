// Package loadgen generates an open-loop load: requests are sent on schedule, whether or not
// earlier ones were answered, and latency is measured from the scheduled time. This avoids
// coordinated omission: the delays of a server that stalls are measured in full.
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

// Config describes a load.
type Config struct {
	Addresses      []string // of the servers, over which the connections are spread evenly
	ConnsPerServer int
	Rate           float64 // requests per second over all servers; arrivals are a Poisson process
	Class          string
	Timeout        time.Duration // of each request
	HealthChecks   bool          // send health checks, which do not reach the executor, instead of requests
	UniqueKeys     bool          // give each request a unique idempotency key
	BodyBytes      int           // size of a request's body
	Seed           uint64        // seed of the arrival times, and part of the request ids
}

// ErrInvalidConfig is returned by Start for a load without a rate, connections or servers.
var ErrInvalidConfig = errors.New("load generator: rate, connections per server and number of servers must be over 0")

const (
	// maxInFlight is the number of requests that the protocol allows in flight on a connection.
	maxInFlight = 32
	// drainPollInterval is the interval at which Stop checks whether all answers have arrived.
	drainPollInterval = time.Millisecond

	requestMemory   = 1
	requestPriority = 0.5
)

// Generator is a running load generator. Its methods may be called from any goroutine.
type Generator struct {
	config Config
	stop   chan struct{}
	done   chan struct{}
	conns  []*conn

	mu          sync.Mutex
	stats       Stats
	periodStart time.Time // start of the period of stats
}

// conn is a connection to a server and its requests in flight.
type conn struct {
	*balancer.Conn
	generator *Generator
	mu        sync.Mutex
	inFlight  map[uint64]time.Time // scheduled time by message number
}

// Start opens the connections and starts the load.
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

// TakeStats returns the statistics since the previous call, or since Start, and starts a new
// period.
func (g *Generator) TakeStats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	stats.Elapsed = time.Since(g.periodStart)
	g.stats = Stats{Latency: NewHistogram()}
	g.periodStart = time.Now()
	return stats
}

// Stop stops the load, waits up to the request timeout for outstanding answers, and returns the
// statistics since the last TakeStats. It must be called only once.
func (g *Generator) Stop() Stats {
	close(g.stop)
	<-g.done
	for deadline := time.Now().Add(g.config.Timeout); g.inFlight() > 0 && time.Now().Before(deadline); {
		time.Sleep(drainPollInterval)
	}
	stats := g.TakeStats()
	stats.Unanswered = g.inFlight()
	g.close()
	return stats
}

// inFlight returns the number of requests in flight, over all connections.
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

// send sends requests on schedule. It spins on its own thread instead of sleeping, because a sleep
// ends up to a millisecond late, which would be measured as latency of the server.
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

// spinUntil spins until the given time and returns true, or returns false as soon as the generator
// is stopped.
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

// recordSend counts a scheduled request and records its send delay.
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

// sendMessage sends the nth request, or a health check instead, and reports whether it was sent.
func (c *conn) sendMessage(n int, scheduled time.Time, body []byte) bool {
	number := c.NextNumber()
	if !c.addInFlight(number, scheduled) {
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
	if config.UniqueKeys {
		request.Subject = request.ID
	}
	return c.SendRequest(&request) == nil
}

// addInFlight records a message as in flight. It returns false if maxInFlight messages are in
// flight already.
func (c *conn) addInFlight(number uint64, scheduled time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inFlight) >= maxInFlight {
		return false
	}
	c.inFlight[number] = scheduled
	return true
}

// onAnswer counts the outcome of a request in flight. It ignores go-away and other messages without
// an outcome, and answers to requests that are not in flight.
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

// onClose counts a connection that was closed before Stop.
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
