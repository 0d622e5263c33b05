package faultinjection

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/wire/rpc"
)

// Load asks servers for tasks of one tenant, of each as many a second as it is set to, and notes when each was finished: an account of what a budget
// let through that is apart from the program's own.
type Load struct {
	fleet       *Fleet
	tenant      string
	mu          sync.Mutex
	rates       map[string]float64
	finishTimes map[string][]time.Time // finished, by server
	outcomes    map[string]map[rpc.ResponseKind]int
	sent        map[string]int
	wg          sync.WaitGroup
	Classes     []string // that its tasks are of in turn; Ping alone where there are none
	lateCount   int      // answers that came after their caller had left
	unanswered  map[string]map[uint64]time.Time
	latencies   []time.Duration // until each was finished
}

// loadInterval is how often tasks that are due are sent, and demandWait how long their callers wait.
const (
	loadInterval       = 10 * time.Millisecond
	loadTimeoutSeconds = 1.0
)

// StartLoad begins with rates of 0, and goes on until the context ends.
func (f *Fleet) StartLoad(ctx context.Context, tenant string) *Load {
	d := &Load{fleet: f, tenant: tenant, rates: map[string]float64{}, finishTimes: map[string][]time.Time{}, outcomes: map[string]map[rpc.ResponseKind]int{}, sent: map[string]int{}, unanswered: map[string]map[uint64]time.Time{}}
	for _, name := range f.Names {
		d.outcomes[name] = map[rpc.ResponseKind]int{}
		d.wg.Go(func() { d.run(ctx, name) })
	}
	return d
}

// Wait returns once it has ended.
func (d *Load) Wait() { d.wg.Wait() }

// SetRate asks servers for so many tasks a second from now on.
func (d *Load) SetRate(rate float64, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		d.rates[name] = rate
	}
}

func (d *Load) run(ctx context.Context, name string) {
	var c *balancer.Conn
	var gone *atomic.Bool
	var here map[uint64]time.Time // what is out on it
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	owed, last, n := 0.0, time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		d.mu.Lock()
		owed = min(owed+d.rates[name]*now.Sub(last).Seconds(), d.rates[name]/2+1) // who was stopped itself asks for no more than half a second's
		d.mu.Unlock()
		last = now
		if owed < 1 {
			continue
		}
		if c == nil {
			dial, done := context.WithTimeout(ctx, time.Second)
			sent, closed := map[uint64]time.Time{}, new(atomic.Bool)
			next, err := balancer.Dial(dial, d.fleet.Server(name).Addr, func(a rpc.Response) { d.handleAnswer(name, sent, a) }, func(error) {
				closed.Store(true)
				d.forget(sent)
			})
			done()
			if err != nil {
				continue
			}
			c, gone, here = next, closed, sent
			d.mu.Lock()
			d.unanswered[name] = sent
			d.mu.Unlock()
		}
		for ; owed >= 1; owed-- {
			m := &rpc.Message{Number: c.NextNumber(), ID: NewRequestID(), Class: PingClass, Tenant: d.tenant, Client: 1, ArrivedAt: float64(now.UnixMilli()) / 1000, Timeout: loadTimeoutSeconds,
				Memory: 1, Priority: 0.5}
			d.mu.Lock()
			here[m.Number] = now
			n++
			if len(d.Classes) > 0 {
				m.Class = d.Classes[n%len(d.Classes)]
			}
			d.mu.Unlock()
			if d.fleet.RunLog != nil {
				m.Body = []byte(m.Class + " " + m.ID)
			}
			if err := c.SendRequest(m); err != nil { // its server is gone, and comes back at the same address
				_ = c.Close()
				d.forget(here)
				c = nil
				break
			}
			if gone.Load() { // it closed meanwhile, and its tasks were forgotten before this one came to them
				d.forget(here)
			}
			d.mu.Lock()
			d.sent[name]++
			d.mu.Unlock()
		}
	}
}

// forget drops what was out on a connection that closed: what crossed the close of a server that leaves was never read, and is its caller's to send
// elsewhere.
func (d *Load) forget(sent map[uint64]time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(sent)
}

// answerTolerance is by how much an answer may come after its caller's wait on a busy machine.
const answerTolerance = 0.3

func (d *Load) handleAnswer(name string, sent map[uint64]time.Time, a rpc.Response) {
	if a.Kind == rpc.ResponseGoAway {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes[name][a.Kind]++
	took := time.Since(sent[a.Number])
	delete(sent, a.Number)
	if took.Seconds() > loadTimeoutSeconds+answerTolerance {
		d.lateCount++
	}
	if a.Kind == rpc.ResponseFinished {
		d.latencies = append(d.latencies, took)
		d.finishTimes[name] = append(d.finishTimes[name], time.Now())
	}
}

// Rate is how many tasks a second a server finished lately.
func (d *Load) Rate(name string, lately time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, n := time.Now().Add(-lately), 0
	for i := len(d.finishTimes[name]) - 1; i >= 0 && d.finishTimes[name][i].After(from); i-- {
		n++
	}
	return float64(n) / lately.Seconds()
}

// RateBetween is how many tasks a second servers finished between two times.
func (d *Load) RateBetween(from, to time.Time, names ...string) float64 {
	n := 0
	for _, at := range d.sortedFinishTimes(names) {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

func (d *Load) sortedFinishTimes(names []string) (all []time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		all = append(all, d.finishTimes[name]...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// MaxExcess is the most by which all that servers finished within any time was over so much a second in that time.
func (d *Load) MaxExcess(rate float64, names ...string) (most float64) {
	all := d.sortedFinishTimes(names)
	if len(all) == 0 {
		return 0
	}
	// With x(i) = i - rate*t(i) it is the largest x(j) - x(i) + 1, i before j.
	least := 0.0
	for i, at := range all {
		x := float64(i) - rate*at.Sub(all[0]).Seconds()
		least = min(least, x)
		most = max(most, x-least+1)
	}
	return most
}

// LateCount counts the answers that came after their callers had left, Unanswered the tasks that have none, on connections that stand.
func (d *Load) LateCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateCount
}

// UnansweredCount counts them.
func (d *Load) UnansweredCount() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sent := range d.unanswered {
		n += len(sent)
	}
	return n
}

// DescribeUnanswered tells of each server how many tasks wait on its connection, and for how long the oldest.
func (d *Load) DescribeUnanswered() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for name, sent := range d.unanswered {
		oldest := time.Duration(0)
		for _, at := range sent {
			oldest = max(oldest, time.Since(at))
		}
		if len(sent) > 0 {
			all = append(all, fmt.Sprintf("%s %d, the oldest for %s", name, len(sent), oldest))
		}
	}
	return strings.Join(all, "; ")
}

// Latencies lists how long each finished task took, shortest first.
func (d *Load) Latencies() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(slices.Values(d.latencies))
}

// Counts are how many were asked for, finished and rejected, over all servers.
func (d *Load) Counts() (asked, finished, rejected int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.outcomes {
		asked += d.sent[name]
		finished += d.outcomes[name][rpc.ResponseFinished]
		rejected += d.outcomes[name][rpc.ResponseRejected]
	}
	return asked, finished, rejected
}
