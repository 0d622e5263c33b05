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

// Load sends requests of one tenant to each server, at a separate rate for each, and records the
// responses. It shows which requests a quota admitted, independently of the program's own counters.
type Load struct {
	Classes []string // classes of the requests, used in rotation; PingClass if empty

	fleet  *Fleet
	tenant string
	wg     sync.WaitGroup

	mu          sync.Mutex
	rates       map[string]float64                  // requests per second, by server
	finishTimes map[string][]time.Time              // by server
	outcomes    map[string]map[rpc.ResponseKind]int // by server
	sent        map[string]int                      // by server
	lateCount   int                                 // answers more than answerToleranceSeconds after the timeout
	unanswered  map[string]map[uint64]time.Time     // send times, by server and request number
	latencies   []time.Duration                     // of finished requests
}

const (
	// loadInterval is how often the requests that are due are sent.
	loadInterval = 10 * time.Millisecond
	// loadTimeoutSeconds is the timeout of a request.
	loadTimeoutSeconds = 1.0
	// loadDialTimeout is the timeout for opening a connection.
	loadDialTimeout = time.Second
	// maxBacklogSeconds bounds the requests that are sent at once after this process was suspended,
	// as seconds of the rate.
	maxBacklogSeconds = 0.5
)

// StartLoad starts a load that runs until the context ends. All rates are 0 at first.
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

// Wait waits until the load has ended.
func (l *Load) Wait() { l.wg.Wait() }

// SetRate sets the requests per second for each of the named servers.
func (l *Load) SetRate(rate float64, names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		l.rates[name] = rate
	}
}

// rate returns the requests per second for a server.
func (l *Load) rate(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rates[name]
}

// answerToleranceSeconds is how many seconds after its timeout an answer may arrive, to allow for a
// busy machine.
const answerToleranceSeconds = 0.3

// handleAnswer records an answer. sent has the send times of the connection's unanswered requests.
func (l *Load) handleAnswer(name string, sent map[uint64]time.Time, response rpc.Response) {
	if response.Kind == rpc.ResponseGoAway {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[name][response.Kind]++
	latency := time.Since(sent[response.Number])
	delete(sent, response.Number)
	if latency.Seconds() > loadTimeoutSeconds+answerToleranceSeconds {
		l.lateCount++
	}
	if response.Kind == rpc.ResponseFinished {
		l.latencies = append(l.latencies, latency)
		l.finishTimes[name] = append(l.finishTimes[name], time.Now())
	}
}

// Rate returns the requests per second that a server finished within the latest window.
func (l *Load) Rate(name string, window time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := time.Now().Add(-window)
	n := 0
	for i := len(l.finishTimes[name]) - 1; i >= 0 && l.finishTimes[name][i].After(from); i-- {
		n++
	}
	return float64(n) / window.Seconds()
}

// RateBetween returns the requests per second that the named servers finished together between two
// times.
func (l *Load) RateBetween(from, to time.Time, names ...string) float64 {
	n := 0
	for _, at := range l.sortedFinishTimes(names) {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// sortedFinishTimes returns the times at which the named servers finished requests, in ascending
// order.
func (l *Load) sortedFinishTimes(names []string) (all []time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		all = append(all, l.finishTimes[name]...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// MaxExcess returns by how many requests the named servers together exceeded the rate: the maximum,
// over all intervals, of the requests finished in it minus the rate times its length.
func (l *Load) MaxExcess(rate float64, names ...string) (excess float64) {
	all := l.sortedFinishTimes(names)
	if len(all) == 0 {
		return 0
	}
	// With x(i) = i - rate*t(i), the excess is the maximum of x(j) - x(i) + 1 over all i <= j.
	lowest := 0.0
	for i, at := range all {
		x := float64(i) - rate*at.Sub(all[0]).Seconds()
		lowest = min(lowest, x)
		excess = max(excess, x-lowest+1)
	}
	return excess
}

// LateCount returns the number of answers that came more than answerToleranceSeconds after their
// timeout.
func (l *Load) LateCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateCount
}

// UnansweredCount returns the number of unanswered requests on open connections.
func (l *Load) UnansweredCount() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sent := range l.unanswered {
		n += len(sent)
	}
	return n
}

// DescribeUnanswered returns a text with the number of unanswered requests of each server and the
// age of the oldest.
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
			all = append(all, fmt.Sprintf("%s: %d unanswered, the oldest for %s", name, len(sent), oldest))
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

// Counts returns the numbers of requests sent, finished and rejected, over all servers.
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
