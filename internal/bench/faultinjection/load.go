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
// finished: what a quota admitted, independent of the program's own counters.
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
	l := &Load{
		fleet:       f,
		tenant:      tenant,
		rates:       map[string]float64{},
		finishTimes: map[string][]time.Time{},
		outcomes:    map[string]map[rpc.ResponseKind]int{},
		sent:        map[string]int{},
		unanswered:  map[string]map[uint64]time.Time{},
	}
	for _, name := range f.Names {
		l.outcomes[name] = map[rpc.ResponseKind]int{}
		sender := &loadSender{load: l, name: name}
		l.wg.Go(func() { sender.run(ctx) })
	}
	return l
}

// Wait returns once the load has ended.
func (l *Load) Wait() { l.wg.Wait() }

// SetRate sets the requests a second of servers.
func (l *Load) SetRate(rate float64, names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		l.rates[name] = rate
	}
}

// rate returns the requests a second of a server.
func (l *Load) rate(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates[name]
}

// answerTolerance is how many seconds an answer may come after its timeout on a busy machine.
const answerTolerance = 0.3

// handleAnswer records the answer to a request that was sent on a connection.
func (l *Load) handleAnswer(name string, sent map[uint64]time.Time, response rpc.Response) {
	if response.Kind == rpc.ResponseGoAway {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[name][response.Kind]++
	latency := time.Since(sent[response.Number])
	delete(sent, response.Number)
	if latency.Seconds() > loadTimeoutSeconds+answerTolerance {
		l.lateCount++
	}
	if response.Kind == rpc.ResponseFinished {
		l.latencies = append(l.latencies, latency)
		l.finishTimes[name] = append(l.finishTimes[name], time.Now())
	}
}

// Rate returns the requests a second that a server finished in the last time.
func (l *Load) Rate(name string, lately time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := time.Now().Add(-lately)
	n := 0
	for i := len(l.finishTimes[name]) - 1; i >= 0 && l.finishTimes[name][i].After(from); i-- {
		n++
	}
	return float64(n) / lately.Seconds()
}

// RateBetween returns the requests a second that servers finished between two times.
func (l *Load) RateBetween(from, to time.Time, names ...string) float64 {
	n := 0
	for _, at := range l.sortedFinishTimes(names) {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// sortedFinishTimes returns when servers finished requests, in order.
func (l *Load) sortedFinishTimes(names []string) (all []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		all = append(all, l.finishTimes[name]...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// MaxExcess returns the most requests that servers finished in any interval over that rate times
// its length.
func (l *Load) MaxExcess(rate float64, names ...string) (most float64) {
	all := l.sortedFinishTimes(names)
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
func (l *Load) LateCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateCount
}

// UnansweredCount returns the number of requests without an answer on open connections.
func (l *Load) UnansweredCount() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sent := range l.unanswered {
		n += len(sent)
	}
	return n
}

// DescribeUnanswered says of each server how many requests are unanswered, and for how long the
// oldest.
func (l *Load) DescribeUnanswered() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	for name, sent := range l.unanswered {
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
func (l *Load) Latencies() []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(slices.Values(l.latencies))
}

// Counts returns the requests sent, finished and rejected, over all servers.
func (l *Load) Counts() (sent, finished, rejected int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.outcomes {
		sent += l.sent[name]
		finished += l.outcomes[name][rpc.ResponseFinished]
		rejected += l.outcomes[name][rpc.ResponseRejected]
	}
	return sent, finished, rejected
}
