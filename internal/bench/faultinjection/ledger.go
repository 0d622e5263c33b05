package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Ledger is what the processors of a fleet know of the runs of each key, an account apart from the program's own. A task's body is its key.
type Ledger struct {
	mu      sync.Mutex
	runs    map[string][]time.Time
	results map[string][]string // of each key, in their order
	begun   map[string]begun
}

// begun is a run as it began.
type begun struct {
	key string
	at  time.Time
}

// NewLedger makes one for a fleet whose shape gets Begun and Result.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string][]time.Time{}, results: map[string][]string{}, begun: map[string]begun{}}
}

// Begun enters a run.
func (l *Ledger) Begun(id string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(body) == 0 { // of a load that bears no keys
		return
	}
	now := time.Now()
	l.runs[string(body)] = append(l.runs[string(body)], now)
	l.begun[id] = begun{string(body), now}
}

// Result is another one for each run, so that a second run shows in the answers too.
func (l *Ledger) Result(id string, body []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := fmt.Sprintf("%s by %s", body, id)
	l.results[string(body)] = append(l.results[string(body)], r)
	return []byte(r)
}

// Twice counts the keys with a beginning that ran more than once.
func (l *Ledger) Twice(beginning string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, runs := range l.runs {
		if strings.HasPrefix(key, beginning) && len(runs) > 1 {
			n++
		}
	}
	return n
}

// Runs counts those of a key.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[key])
}

// Ran is the result of a key's first run that ended, "" where none did.
func (l *Ledger) Ran(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all := l.results[key]; len(all) > 0 {
		return all[0]
	}
	return ""
}

// Knows tells whether a run of a key had that result.
func (l *Ledger) Knows(key, result string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.results[key], result)
}

// Count counts the runs that pass.
func (l *Ledger) Count(pass func(id, key string, at time.Time) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, b := range l.begun {
		if pass(id, b.key, b.at) {
			n++
		}
	}
	return n
}

// Most is the largest number of runs that a key had within so long of one another, with that key.
func (l *Ledger) Most(within time.Duration) (most int, key string) {
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
