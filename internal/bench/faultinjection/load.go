package faultinjection

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"swiftcourse/internal/wire/rpc"
)

// Load sends requests of one tenant to each server at a rate of its own, and records when each was
// finished: what a quota let through, apart from what the program says.
type Load struct {
	Classes []string // of its requests, in turns; PingClass alone if there are none

	fleet  *Fleet
	tenant string
	wg     sync.WaitGroup

	mu          sync.Mutex
	rates       map[string]float64                  // requests a second, by server
	finishTimes map[string][]time.Time              // by server
	outcomes    map[string]map[rpc.ResponseKind]int // by server
	sent        map[string]int                      // by server
	lateCount   int                                 // answers after their timeout
	unanswered  map[string]map[uint64]time.Time     // send times by server and request number
	latencies   []time.Duration                     // of the finished requests
}

const (
	// loadInterval is how often the requests that are due are sent.
	loadInterval = 10 * time.Millisecond
	// loadTimeoutSeconds is the timeout of a request.
	loadTimeoutSeconds = 1.0
	// loadDialTimeout is how long a connection may take.
	loadDialTimeout = time.Second
	// maxBacklogSeconds bounds what is sent at once after this process was stopped itself.
	maxBacklogSeconds = 0.5
)

// StartLoad starts a load with rates of 0 that goes on until the context ends.
func (f *Fleet) StartLoad(ctx context.Context, tenant string) *Load {
	d := &Load{
		fleet:       f,
		tenant:      tenant,
		rates:       map[string]float64{},
		finishTimes: map[string][]time.Time{},
		outcomes:    map[string]map[rpc.ResponseKind]int{},
		sent:        map[string]int{},
		unanswered:  map[string]map[uint64]time.Time{},
	}
	for _, name := range f.Names {
		d.outcomes[name] = map[rpc.ResponseKind]int{}
		sender := &loadSender{load: d, name: name}
		d.wg.Go(func() { sender.run(ctx) })
	}
	return d
}

// Wait returns once the load has ended.
func (d *Load) Wait() { d.wg.Wait() }

// SetRate sets the requests a second of servers.
func (d *Load) SetRate(rate float64, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		d.rates[name] = rate
	}
}

// rate returns the requests a second of a server.
func (d *Load) rate(name string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rates[name]
}

// answerTolerance is how many seconds an answer may come after its timeout on a busy machine.
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

// Rate returns the requests a second that a server finished in the last time.
func (d *Load) Rate(name string, lately time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	from := time.Now().Add(-lately)
	n := 0
	for i := len(d.finishTimes[name]) - 1; i >= 0 && d.finishTimes[name][i].After(from); i-- {
		n++
	}
	return float64(n) / lately.Seconds()
}

// RateBetween returns the requests a second that servers finished between two times.
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

// MaxExcess returns the most requests that servers finished in any interval over that rate times
// its length.
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

// LateCount returns the number of answers that came after their timeout.
func (d *Load) LateCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lateCount
}

// UnansweredCount returns the number of requests without an answer on open connections.
func (d *Load) UnansweredCount() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, sent := range d.unanswered {
		n += len(sent)
	}
	return n
}

// DescribeUnanswered says of each server how many requests are unanswered, and for how long the
// oldest.
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

// Latencies returns the latencies of the finished requests in ascending order.
func (d *Load) Latencies() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(slices.Values(d.latencies))
}

// Counts returns the requests sent, finished and rejected, over all servers.
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
