package simulation

import (
	"fmt"
	"math"
	"slices"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
)

// This file has an emulated fleet claim keys while it talks about versions: the same parts over the same network and faults, and a ledger that
// counts the runs of each key.

// Terms of the keys of an emulated fleet. Its holders are the first servers, 48 at the most.
const (
	keyWindow  = 20.0
	keyLongest = 1.0
	maxHolders = 48
	keyCopies  = 3
	// repeats are drawn from so many of the latest keys, half of all tries.
	lateKeys = 30
)

// KeysRow is what became of the keys.
type KeysRow struct {
	Tries    int     `json:"tries"`
	Keys     int     `json:"keys"`
	Runs     int     `json:"runs"`
	Told     [4]int  `json:"told"`   // by ruling: may run, known, may have, no quorum
	Untold   int     `json:"untold"` // tries of servers that lived on and were told nothing
	Twice    int     `json:"twice"`  // runs within the window of another
	Wrong    int     `json:"wrong"`  // results that no run of the key had
	Alarms   int     `json:"alarms"` // keys with two results at a holder
	Differ   int     `json:"differ"` // slots that are cold or differ, once healed
	ClaimP50 float64 `json:"p50_ms"` // from a claim to its grant
	ClaimP99 float64 `json:"p99_ms"` // the same
}

// ledger is an account of the keys apart from the fleet's own.
type ledger struct {
	row    KeysRow
	place  *replication.Placement
	keys   []string
	runs   map[string][]keyRun
	tries  map[string]*keyTry
	grants []float64
}

type keyRun struct {
	at     float64
	result string
}

type keyTry struct {
	key  string
	at   float64
	by   *talker
	life uint64
	told bool
}

// newLedger makes one for a fleet's servers.
func newLedger(names []string) *ledger {
	terms := replication.Config{ReplicationFactor: keyCopies, RetentionWindow: keyWindow, MaxClaimDuration: keyLongest}
	for i, name := range names[:min(len(names), maxHolders)] {
		terms.Members = append(terms.Members, replication.Member{Name: name, Zone: fmt.Sprint(i % 3), Weight: 1})
	}
	place, err := replication.NewPlacement(terms)
	if err != nil {
		panic(err) // the terms are this file's own
	}
	return &ledger{place: place, runs: map[string][]keyRun{}, tries: map[string]*keyTry{}}
}

// copies is a server's part in it, nil where no keys are claimed.
func (s *talker) copies() *fleet.ReplicationConfig {
	l := s.ledger
	if l == nil {
		return nil
	}
	return &fleet.ReplicationConfig{Placement: l.place, MaxRecords: 100_000, MaxBytes: 64 << 20, CatchUpRate: 4 << 20, OnVerdict: func(id string, r serving.ClaimVerdict, result []byte) {
		s.after(0, func() { s.ruled(id, r, string(result)) }) // as the loop, which takes it later
	}}
}

// claim sends tries, each at a time drawn anew.
func (t *talks) claim() {
	l := t.ledger
	if len(l.keys) == 0 || t.chance.IntN(2) == 0 {
		l.keys = append(l.keys, fmt.Sprintf("k%d", len(l.keys)))
	}
	key := l.keys[max(0, len(l.keys)-1-t.chance.IntN(lateKeys))]
	if s := t.servers[t.chance.IntN(len(t.servers))]; s.alive && !s.asleep {
		l.row.Tries++
		id := fmt.Sprintf("t%d", l.row.Tries)
		l.tries[id] = &keyTry{key: key, at: t.now, by: s, life: s.part.Incarnation()}
		s.part.HandleClaimEvent(s.part.Now(), fleet.ClaimEvent{ID: id, Class: "s", Key: key, Timeout: keyLongest})
		s.turn()
	}
	t.after(t.exponential(1/t.plan.Keys), t.claim)
}

// ruled does with a try what a server does.
func (s *talker) ruled(id string, r serving.ClaimVerdict, result string) {
	l := s.ledger
	try := l.tries[id]
	if !s.alive || try == nil || try.life != s.part.Incarnation() {
		return
	}
	try.told = true
	l.row.Told[r]++
	switch r {
	case serving.ClaimGranted:
		l.grants = append(l.grants, s.now-try.at)
		if s.asleep || s.now > try.at+keyLongest { // woken past its due moment: the module rejects it
			s.word(fleet.ClaimEvent{ID: id, Canceled: true})
			return
		}
		l.row.Runs++
		for _, run := range l.runs[try.key] {
			if s.now < run.at+keyWindow {
				l.row.Twice++
			}
		}
		out := fmt.Sprintf("%s of %s", try.key, id)
		l.runs[try.key] = append(l.runs[try.key], keyRun{s.now, out})
		life := try.life
		s.after(0.02+s.exponential(0.05), func() {
			if s.alive && s.part.Incarnation() == life {
				s.word(fleet.ClaimEvent{ID: id, Finished: true, Succeeded: true, Result: []byte(out)})
			}
		})
	case serving.ClaimCached:
		if !slices.ContainsFunc(l.runs[try.key], func(run keyRun) bool { return run.result == result }) {
			l.row.Wrong++
		}
	}
}

func (s *talker) word(w fleet.ClaimEvent) {
	s.part.HandleClaimEvent(s.part.Now(), w)
	s.turn()
}

// sum counts what must not be, once the fleet has healed.
func (l *ledger) sum(t *talks) {
	l.row.Keys = len(l.keys)
	for _, try := range l.tries {
		if !try.told && try.by.alive && try.by.part.Incarnation() == try.life && t.now > try.at+2*keyLongest {
			l.row.Untold++
		}
	}
	l.row.Differ, l.row.Alarms = 0, 0
	for _, s := range t.servers {
		c := s.part.ReplicationStatus()
		l.row.Differ += c.CatchingUp + c.OutOfSync
		l.row.Alarms += c.ConflictingResults
	}
	slices.Sort(l.grants)
	if n := len(l.grants); n > 0 {
		l.row.ClaimP50, l.row.ClaimP99 = 1000*l.grants[n/2], 1000*l.grants[int(math.Min(float64(n-1), float64(n)*0.99))]
	}
}
