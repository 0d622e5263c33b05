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
	claimRetention    = 20.0
	maxClaimDuration  = 1.0
	maxReplicas       = 48
	replicationFactor = 3
	// repeats are drawn from so many of the latest keys, half of all tries.
	recentKeys = 30
)

// ClaimsRow is what became of the keys.
type ClaimsRow struct {
	Attempts           int     `json:"tries"`
	Keys               int     `json:"keys"`
	Runs               int     `json:"runs"`
	Verdicts           [4]int  `json:"told"`   // by ruling: may run, known, may have, no quorum
	Unanswered         int     `json:"untold"` // tries of servers that lived on and were told nothing
	RepeatedRuns       int     `json:"twice"`  // runs within the window of another
	WrongResults       int     `json:"wrong"`  // results that no run of the key had
	ConflictingResults int     `json:"alarms"` // keys with two results at a holder
	SlotsOutOfSync     int     `json:"differ"` // slots that are cold or differ, once healed
	ClaimP50           float64 `json:"p50_ms"` // from a claim to its grant
	ClaimP99           float64 `json:"p99_ms"` // the same
}

// claimLog is an account of the keys apart from the fleet's own.
type claimLog struct {
	row          ClaimsRow
	placement    *replication.Placement
	keys         []string
	runs         map[string][]claimRun
	attempts     map[string]*claimAttempt
	grantSeconds []float64
}

type claimRun struct {
	startedAt float64
	result    string
}

type claimAttempt struct {
	key         string
	sentAt      float64
	node        *node
	incarnation uint64
	answered    bool
}

// newClaimLog makes one for a fleet's servers.
func newClaimLog(names []string) *claimLog {
	terms := replication.Config{ReplicationFactor: replicationFactor, RetentionWindow: claimRetention, MaxClaimDuration: maxClaimDuration}
	for i, name := range names[:min(len(names), maxReplicas)] {
		terms.Members = append(terms.Members, replication.Member{Name: name, Zone: fmt.Sprint(i % 3), Weight: 1})
	}
	place, err := replication.NewPlacement(terms)
	if err != nil {
		panic(err) // the terms are this file's own
	}
	return &claimLog{placement: place, runs: map[string][]claimRun{}, attempts: map[string]*claimAttempt{}}
}

// replicationConfig is a server's part in it, nil where no keys are claimed.
func (s *node) replicationConfig() *fleet.ReplicationConfig {
	l := s.claims
	if l == nil {
		return nil
	}
	return &fleet.ReplicationConfig{Placement: l.placement, MaxRecords: 100_000, MaxBytes: 64 << 20, CatchUpRate: 4 << 20, OnVerdict: func(id string, r serving.ClaimVerdict, result []byte) {
		s.after(0, func() { s.handleVerdict(id, r, string(result)) }) // as the loop, which takes it later
	}}
}

// sendClaim sends tries, each at a time drawn anew.
func (t *fleetSim) sendClaim() {
	l := t.claims
	if len(l.keys) == 0 || t.random.IntN(2) == 0 {
		l.keys = append(l.keys, fmt.Sprintf("k%d", len(l.keys)))
	}
	key := l.keys[max(0, len(l.keys)-1-t.random.IntN(recentKeys))]
	if s := t.nodes[t.random.IntN(len(t.nodes))]; s.alive && !s.isPaused {
		l.row.Attempts++
		id := fmt.Sprintf("t%d", l.row.Attempts)
		l.attempts[id] = &claimAttempt{key: key, sentAt: t.now, node: s, incarnation: s.agent.Incarnation()}
		s.agent.HandleClaimEvent(s.agent.Now(), fleet.ClaimEvent{ID: id, Class: "s", Key: key, Timeout: maxClaimDuration})
		s.tick()
	}
	t.after(t.exponential(1/t.plan.KeyRate), t.sendClaim)
}

// handleVerdict does with a try what a server does.
func (s *node) handleVerdict(id string, r serving.ClaimVerdict, result string) {
	l := s.claims
	try := l.attempts[id]
	if !s.alive || try == nil || try.incarnation != s.agent.Incarnation() {
		return
	}
	try.answered = true
	l.row.Verdicts[r]++
	switch r {
	case serving.ClaimGranted:
		l.grantSeconds = append(l.grantSeconds, s.now-try.sentAt)
		if s.isPaused || s.now > try.sentAt+maxClaimDuration { // woken past its due moment: the module rejects it
			s.sendClaimEvent(fleet.ClaimEvent{ID: id, Canceled: true})
			return
		}
		l.row.Runs++
		for _, run := range l.runs[try.key] {
			if s.now < run.startedAt+claimRetention {
				l.row.RepeatedRuns++
			}
		}
		out := fmt.Sprintf("%s of %s", try.key, id)
		l.runs[try.key] = append(l.runs[try.key], claimRun{s.now, out})
		life := try.incarnation
		s.after(0.02+s.exponential(0.05), func() {
			if s.alive && s.agent.Incarnation() == life {
				s.sendClaimEvent(fleet.ClaimEvent{ID: id, Finished: true, Succeeded: true, Result: []byte(out)})
			}
		})
	case serving.ClaimCached:
		if !slices.ContainsFunc(l.runs[try.key], func(run claimRun) bool { return run.result == result }) {
			l.row.WrongResults++
		}
	}
}

func (s *node) sendClaimEvent(w fleet.ClaimEvent) {
	s.agent.HandleClaimEvent(s.agent.Now(), w)
	s.tick()
}

// summarize counts what must not be, once the fleet has healed.
func (l *claimLog) summarize(t *fleetSim) {
	l.row.Keys = len(l.keys)
	for _, try := range l.attempts {
		if !try.answered && try.node.alive && try.node.agent.Incarnation() == try.incarnation && t.now > try.sentAt+2*maxClaimDuration {
			l.row.Unanswered++
		}
	}
	l.row.SlotsOutOfSync, l.row.ConflictingResults = 0, 0
	for _, s := range t.nodes {
		c := s.agent.ReplicationStatus()
		l.row.SlotsOutOfSync += c.CatchingUp + c.OutOfSync
		l.row.ConflictingResults += c.ConflictingResults
	}
	slices.Sort(l.grantSeconds)
	if n := len(l.grantSeconds); n > 0 {
		l.row.ClaimP50, l.row.ClaimP99 = 1000*l.grantSeconds[n/2], 1000*l.grantSeconds[int(math.Min(float64(n-1), float64(n)*0.99))]
	}
}
