package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// RunLog is what the fake executors of a fleet know of the runs of each key, apart from the
// program's own records. The body of a request is its key.
type RunLog struct {
	mu      sync.Mutex
	runs    map[string][]time.Time
	results map[string][]string // of each key, in order
	started map[string]startedRun
}

// startedRun is a run that was started.
type startedRun struct {
	key string
	at  time.Time
}

// NewRunLog returns an empty log. A fleet with it in its Config calls RecordStart and RecordResult.
func NewRunLog() *RunLog {
	return &RunLog{runs: map[string][]time.Time{}, results: map[string][]string{}, started: map[string]startedRun{}}
}

// RecordStart records that a run was started. Requests without a body have no key and are not
// recorded.
func (l *RunLog) RecordStart(id string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(body) == 0 { // of a load without keys
		return
	}
	now := time.Now()
	l.runs[string(body)] = append(l.runs[string(body)], now)
	l.started[id] = startedRun{string(body), now}
}

// RecordResult returns the result of a run, which differs for each run, so that a second run shows
// in the answers too.
func (l *RunLog) RecordResult(id string, body []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := fmt.Sprintf("%s by %s", body, id)
	l.results[string(body)] = append(l.results[string(body)], result)
	return []byte(result)
}

// CountRepeated counts the keys with a prefix that ran more than once.
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

// FirstResult returns the result of a key's first run that ended, "" if none did.
func (l *RunLog) FirstResult(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all := l.results[key]; len(all) > 0 {
		return all[0]
	}
	return ""
}

// HasResult reports whether a run of a key had that result.
func (l *RunLog) HasResult(key, result string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.results[key], result)
}

// CountRuns counts the runs for which a condition on request ID, key and start holds.
func (l *RunLog) CountRuns(pass func(id, key string, at time.Time) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, run := range l.started {
		if pass(id, run.key, run.at) {
			n++
		}
	}
	return n
}

// MaxRunsWithin returns the largest number of runs that any key had within that time, and the key.
func (l *RunLog) MaxRunsWithin(within time.Duration) (most int, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, times := range l.runs {
		for i := range times {
			n := 1
			for j := i + 1; j < len(times) && times[j].Sub(times[i]) < within; j++ {
				n++
			}
			if n > most {
				most, key = n, k
			}
		}
	}
	return most, key
}
