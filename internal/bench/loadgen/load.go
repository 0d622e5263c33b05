// Package loadgen drives servers in an open loop: tasks are sent when they are due, whether or not earlier ones were
// answered, and latency counts from when a task was due. So a server that stands still is not spared.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/wire/rpc"
)

// Config is what is sent.
type Config struct {
	Addresses      []string // of the servers, taken in turn
	ConnsPerServer int      // connections to each
	Rate           float64  // tasks a second, Poisson
	Class          string
	Timeout        time.Duration // of each task
	HealthChecks   bool          // send health checks in place of tasks: what the server answers alone
	Keyed          bool          // each task bears a key of its own
	BodyBytes      int           // bytes
	Seed           uint64
}

// Stats is what came back in a stretch of time.
type Stats struct {
	Latency                                     *hdrhistogram.Histogram // of finished tasks, in microseconds
	Sent, Finished, Rejected, Abandoned, Unsent int
	Unanswered                                  int           // not answered when the load had stopped
	MaxSendDelay                                time.Duration // how far behind the sender was, at most
	Disconnects                                 int           // connections that ended
	Elapsed                                     time.Duration
}

// Latencies are kept from a microsecond to a minute, to three digits: a histogram of 200 KB.
const (
	leastMicros = 1
	maxMicros   = 60e6
	digits      = 3
)

// NewHistogram makes an empty histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(leastMicros, maxMicros, digits) }

// maxOpen is how many tasks may be open on one connection, by the protocol.
const maxOpen = 32

// Generator is a load that goes on until it is stopped.
type Generator struct {
	plan  Config
	stop  chan struct{}
	done  chan struct{}
	conns []*conn

	mu   sync.Mutex
	took Stats
	from time.Time
}

type conn struct {
	*balancer.Conn
	load *Generator
	mu   sync.Mutex
	due  map[uint64]time.Time // of the tasks that are open
}

// Start opens the connections and begins to send.
func Start(ctx context.Context, plan Config) (*Generator, error) {
	if plan.Rate <= 0 || plan.ConnsPerServer < 1 || len(plan.Addresses) == 0 {
		return nil, errors.New("a load without a rate, a connection or a server")
	}
	l := &Generator{plan: plan, stop: make(chan struct{}), done: make(chan struct{})}
	for i := range plan.ConnsPerServer * len(plan.Addresses) {
		c := &conn{load: l, due: map[uint64]time.Time{}}
		var err error
		if c.Conn, err = balancer.Dial(ctx, plan.Addresses[i%len(plan.Addresses)], c.answered, c.ended); err != nil {
			l.close()
			return nil, err
		}
		l.conns = append(l.conns, c)
	}
	l.TakeStats()
	go l.send()
	return l, nil
}

// TakeStats gives what came back since the last Take, and begins anew.
func (l *Generator) TakeStats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	took := l.took
	took.Elapsed = time.Since(l.from)
	l.took, l.from = Stats{Latency: NewHistogram()}, time.Now()
	return took
}

// Stop ends the load and gives what came back since the last Take. Answers still on their way have a moment to come.
func (l *Generator) Stop() Stats {
	close(l.stop)
	<-l.done
	for end := time.Now().Add(l.plan.Timeout); l.open() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	took := l.TakeStats()
	took.Unanswered = l.open()
	l.close()
	return took
}

func (l *Generator) open() (n int) {
	for _, c := range l.conns {
		c.mu.Lock()
		n += len(c.due)
		c.mu.Unlock()
	}
	return n
}

func (l *Generator) close() {
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// send sends on a thread of its own that turns instead of sleeping, as a sleep ends a millisecond late, which would be
// taken for the server's.
func (l *Generator) send() {
	defer close(l.done)
	runtime.LockOSThread()
	r := rand.New(rand.NewPCG(l.plan.Seed, 1))
	body := make([]byte, l.plan.BodyBytes)
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(r.ExpFloat64() / l.plan.Rate * float64(time.Second)))
		for time.Now().Before(due) {
			select {
			case <-l.stop:
				return
			default:
			}
		}
		select {
		case <-l.stop:
			return
		default:
		}
		late := time.Since(due)
		sent := l.conns[n%len(l.conns)].task(n, due, body)
		l.mu.Lock()
		l.took.MaxSendDelay = max(l.took.MaxSendDelay, late)
		if sent {
			l.took.Sent++
		} else {
			l.took.Unsent++
		}
		l.mu.Unlock()
	}
}

func (c *conn) task(n int, due time.Time, body []byte) bool {
	number := c.NextNumber()
	c.mu.Lock()
	full := len(c.due) >= maxOpen
	if !full {
		c.due[number] = due
	}
	c.mu.Unlock()
	if full {
		return false
	}
	p := &c.load.plan
	if p.HealthChecks {
		return c.SendHealthCheckAs(number) == nil
	}
	m := rpc.Message{Number: number, ID: fmt.Sprintf("%08x%08x", uint32(p.Seed), n), Class: p.Class,
		ArrivedAt: float64(due.UnixMicro()) / 1e6, Timeout: p.Timeout.Seconds(), Memory: 1, Priority: 0.5, Body: body}
	if p.Keyed {
		m.Subject = m.ID
	}
	return c.SendRequest(&m) == nil
}

func (c *conn) answered(a rpc.Response) {
	if a.Kind == rpc.ResponseGoAway || a.Kind == rpc.ResponseOther {
		return
	}
	c.mu.Lock()
	due, open := c.due[a.Number]
	delete(c.due, a.Number)
	c.mu.Unlock()
	if !open {
		return
	}
	took := time.Since(due)
	l := c.load
	l.mu.Lock()
	defer l.mu.Unlock()
	switch a.Kind {
	case rpc.ResponseFinished, rpc.ResponseHealth:
		l.took.Finished++
		_ = l.took.Latency.RecordValue(max(leastMicros, min(took.Microseconds(), maxMicros)))
	case rpc.ResponseRejected:
		l.took.Rejected++
	default:
		l.took.Abandoned++
	}
}

func (c *conn) ended(error) {
	select {
	case <-c.load.stop:
		return
	default:
	}
	c.load.mu.Lock()
	c.load.took.Disconnects++
	c.load.mu.Unlock()
}

// Merge adds another stretch.
func (t *Stats) Merge(o Stats) {
	if t.Latency == nil {
		t.Latency = NewHistogram()
	}
	t.Latency.Merge(o.Latency)
	t.Sent += o.Sent
	t.Finished += o.Finished
	t.Rejected += o.Rejected
	t.Abandoned += o.Abandoned
	t.Unsent += o.Unsent
	t.MaxSendDelay = max(t.MaxSendDelay, o.MaxSendDelay)
	t.Disconnects += o.Disconnects
	t.Unanswered += o.Unanswered
	t.Elapsed += o.Elapsed
}

// Quantile is the latency in microseconds that so many percent of the finished tasks kept to.
func (t *Stats) Quantile(percent float64) float64 { return float64(t.Latency.ValueAtQuantile(percent)) }
