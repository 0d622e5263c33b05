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

// Demand asks servers for tasks of one tenant, of each as many a second as it is set to, and notes when each was finished: an account of what a budget
// let through that is apart from the program's own.
type Demand struct {
	fleet  *Fleet
	tenant string
	mu     sync.Mutex
	rates  map[string]float64
	ends   map[string][]time.Time // finished, by server
	counts map[string]map[rpc.End]int
	asked  map[string]int
	wg     sync.WaitGroup
	Stages []string // that its tasks are of in turn; Ping alone where there are none
	late   int      // answers that came after their caller had left
	out    map[string]map[uint64]time.Time
	took   []time.Duration // until each was finished
}

// demandStep is how often tasks that are due are sent, and demandWait how long their callers wait.
const (
	demandStep = 10 * time.Millisecond
	demandWait = 1.0
)

// Demand begins with rates of 0, and goes on until the context ends.
func (f *Fleet) Demand(ctx context.Context, tenant string) *Demand {
	d := &Demand{fleet: f, tenant: tenant, rates: map[string]float64{}, ends: map[string][]time.Time{}, counts: map[string]map[rpc.End]int{}, asked: map[string]int{}, out: map[string]map[uint64]time.Time{}}
	for _, name := range f.Names {
		d.counts[name] = map[rpc.End]int{}
		d.wg.Go(func() { d.run(ctx, name) })
	}
	return d
}

// Wait returns once it has ended.
func (d *Demand) Wait() { d.wg.Wait() }

// Set asks servers for so many tasks a second from now on.
func (d *Demand) Set(rate float64, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		d.rates[name] = rate
	}
}

func (d *Demand) run(ctx context.Context, name string) {
	var c *balancer.Conn
	var gone *atomic.Bool
	var here map[uint64]time.Time // what is out on it
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	tick := time.NewTicker(demandStep)
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
			next, err := balancer.Dial(dial, d.fleet.Server(name).Addr, func(a rpc.Answer) { d.heard(name, sent, a) }, func(error) {
				closed.Store(true)
				d.forget(sent)
			})
			done()
			if err != nil {
				continue
			}
			c, gone, here = next, closed, sent
			d.mu.Lock()
			d.out[name] = sent
			d.mu.Unlock()
		}
		for ; owed >= 1; owed-- {
			m := &rpc.Message{Number: c.Next(), ID: ID(), Stage: Ping, Tenant: d.tenant, Caller: 1, Came: float64(now.UnixMilli()) / 1000, Wait: demandWait,
				Memory: 1, Rank: 0.5}
			d.mu.Lock()
			here[m.Number] = now
			n++
			if len(d.Stages) > 0 {
				m.Stage = d.Stages[n%len(d.Stages)]
			}
			d.mu.Unlock()
			if d.fleet.Ledger != nil {
				m.Body = []byte(m.Stage + " " + m.ID)
			}
			if err := c.Task(m); err != nil { // its server is gone, and comes back at the same address
				_ = c.Close()
				d.forget(here)
				c = nil
				break
			}
			if gone.Load() { // it closed meanwhile, and its tasks were forgotten before this one came to them
				d.forget(here)
			}
			d.mu.Lock()
			d.asked[name]++
			d.mu.Unlock()
		}
	}
}

// forget drops what was out on a connection that closed: what crossed the close of a server that leaves was never read, and is its caller's to send
// elsewhere.
func (d *Demand) forget(sent map[uint64]time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(sent)
}

// answerSlack is by how much an answer may come after its caller's wait on a busy machine.
const answerSlack = 0.3

func (d *Demand) heard(name string, sent map[uint64]time.Time, a rpc.Answer) {
	if a.End == rpc.PartSaid {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[name][a.End]++
	took := time.Since(sent[a.Number])
	delete(sent, a.Number)
	if took.Seconds() > demandWait+answerSlack {
		d.late++
	}
	if a.End == rpc.Finished {
		d.took = append(d.took, took)
		d.ends[name] = append(d.ends[name], time.Now())
	}
}

// Rate is how many tasks a second a server finished lately.
func (d *Demand) Rate(name string, lately time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	from, n := time.Now().Add(-lately), 0
	for i := len(d.ends[name]) - 1; i >= 0 && d.ends[name][i].After(from); i-- {
		n++
	}
	return float64(n) / lately.Seconds()
}

// Between is how many tasks a second servers finished between two times.
func (d *Demand) Between(from, to time.Time, names ...string) float64 {
	n := 0
	for _, at := range d.finished(names) {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

func (d *Demand) finished(names []string) (all []time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		all = append(all, d.ends[name]...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// Over is the most by which all that servers finished within any time was over so much a second in that time.
func (d *Demand) Over(rate float64, names ...string) (most float64) {
	all := d.finished(names)
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

// Late counts the answers that came after their callers had left, Unanswered the tasks that have none, on connections that stand.
func (d *Demand) Late() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late
}

// Unanswered counts them.
func (d *Demand) Unanswered() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sent := range d.out {
		n += len(sent)
	}
	return n
}

// Open tells of each server how many tasks wait on its connection, and for how long the oldest.
func (d *Demand) Open() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for name, sent := range d.out {
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

// Took lists how long each finished task took, shortest first.
func (d *Demand) Took() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(slices.Values(d.took))
}

// Counts are how many were asked for, finished and rejected, over all servers.
func (d *Demand) Counts() (asked, finished, rejected int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.counts {
		asked += d.asked[name]
		finished += d.counts[name][rpc.Finished]
		rejected += d.counts[name][rpc.Rejected]
	}
	return asked, finished, rejected
}
