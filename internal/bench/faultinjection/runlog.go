package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// RunLog records the runs of each key at the fake executors of a fleet, independently of the
// program's own records. The body of a request is its key; a Load sends the class and the request ID
// as the body.
type RunLog struct {
	mu      sync.Mutex
	runs    map[string][]time.Time // start times by key
	results map[string][]string    // by key, in order of completion
	started map[string]startedRun  // latest run by request ID
}

// startedRun is the key and the start time of a run.
type startedRun struct {
	key string
	at  time.Time
}

// NewRunLog returns an empty run log. The fake executors of a fleet with the log in its Config call
// RecordStart and RecordResult.
func NewRunLog() *RunLog {
	return &RunLog{runs: map[string][]time.Time{}, results: map[string][]string{}, started: map[string]startedRun{}}
}

// RecordStart records the start of a run. Requests without a body have no key and are not recorded.
func (l *RunLog) RecordStart(id string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(body) == 0 {
		return
	}
	now := time.Now()
	l.runs[string(body)] = append(l.runs[string(body)], now)
	l.started[id] = startedRun{string(body), now}
}

// RecordResult records and returns the result of a run. It contains the request ID, so that a
// second run of a key by another attempt also shows in the answers.
func (l *RunLog) RecordResult(id string, body []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := fmt.Sprintf("%s by %s", body, id)
	l.results[string(body)] = append(l.results[string(body)], result)
	return []byte(result)
}

// CountRepeated counts the keys with the prefix that ran more than once. For a Load the prefix
// selects a class.
func (l *RunLog) CountRepeated(prefix string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, runs := range l.runs {
		if strings.HasPrefix(key, prefix) && len(runs) > 1 {
			n++
		}
	}
	return n
}

// RunCount returns the number of runs of a key.
func (l *RunLog) RunCount(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[key])
}

// FirstResult returns the result of the first completed run of a key, or "".
func (l *RunLog) FirstResult(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all := l.results[key]; len(all) > 0 {
		return all[0]
	}
	return ""
}

// HasResult reports whether a run of the key had the result.
func (l *RunLog) HasResult(key, result string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.results[key], result)
}

// CountRuns counts the runs for which match returns true, given the request ID, the key and the
// start time.
func (l *RunLog) CountRuns(match func(id, key string, at time.Time) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, run := range l.started {
		if match(id, run.key, run.at) {
			n++
		}
	}
	return n
}

// MaxRunsWithin returns the maximum number of runs of a key that started within a window of the
// given length, and the key.
func (l *RunLog) MaxRunsWithin(window time.Duration) (maxRuns int, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, times := range l.runs {
		for i := range times {
			n := 1
			for j := i + 1; j < len(times) && times[j].Sub(times[i]) < window; j++ {
				n++
			}
			if n > maxRuns {
				maxRuns, key = n, k
			}
		}
	}
	return maxRuns, key
}
