package simulation

import (
	"fmt"
	"math"
	"slices"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
)

// Settings of the keys that a simulated fleet claims beside its rollouts.
const (
	claimRetention    = 20.0 // seconds
	maxClaimDuration  = 1.0  // seconds
	maxReplicas       = 48   // the first servers are the replicas
	replicationFactor = 3
	replicaZones      = 3
	// recentKeys is the number of the latest keys from which attempts are drawn.
	recentKeys = 30
	// A run that was granted takes minRunSeconds and an exponential time of mean meanRunSeconds.
	minRunSeconds  = 0.02
	meanRunSeconds = 0.05
)

// ClaimsRow is the result of the claims of a run.
type ClaimsRow struct {
	Attempts           int     `json:"tries"`
	Keys               int     `json:"keys"`
	Runs               int     `json:"runs"`
	Verdicts           [4]int  `json:"told"`   // by serving.ClaimVerdict
	Unanswered         int     `json:"untold"` // attempts without a verdict at servers that lived on
	RepeatedRuns       int     `json:"twice"`  // runs within the retention window of another
	WrongResults       int     `json:"wrong"`  // results that no run of the key had
	ConflictingResults int     `json:"alarms"` // keys with two results at a replica
	SlotsOutOfSync     int     `json:"differ"` // slots that catch up or are out of sync, once healed
	ClaimP50           float64 `json:"p50_ms"` // milliseconds from a claim to its grant
	ClaimP99           float64 `json:"p99_ms"` // the same
}

// claimLog is what really ran for each key, recorded by the simulation.
type claimLog struct {
	row            ClaimsRow
	placement      *replication.Placement
	keys           []string
	runs           map[string][]claimRun
	attempts       map[string]*claimAttempt
	grantLatencies []float64
}

// claimRun is a run that was granted.
type claimRun struct {
	startedAt float64
	result    string
}

// claimAttempt is an attempt of a key at a node.
type claimAttempt struct {
	key         string
	sentAt      float64
	node        *node
	incarnation uint64
	answered    bool
}

// newClaimLog makes an empty log for the servers of a fleet.
func newClaimLog(names []string) *claimLog {
	settings := replication.Config{
		ReplicationFactor: replicationFactor,
		RetentionWindow:   claimRetention,
		MaxClaimDuration:  maxClaimDuration,
	}
	for i, name := range names[:min(len(names), maxReplicas)] {
		member := replication.Member{Name: name, Zone: fmt.Sprint(i % replicaZones), Weight: 1}
		settings.Members = append(settings.Members, member)
	}
	placement, err := replication.NewPlacement(settings)
	if err != nil {
		panic(err) // the settings are this file's own
	}
	return &claimLog{placement: placement, runs: map[string][]claimRun{}, attempts: map[string]*claimAttempt{}}
}

// replicationConfig returns the settings of a node's replication, nil where no keys are claimed.
func (s *node) replicationConfig() *fleet.ReplicationConfig {
	if s.claims == nil {
		return nil
	}
	return &fleet.ReplicationConfig{
		Placement:   s.claims.placement,
		MaxRecords:  100_000,
		MaxBytes:    64 << 20,
		CatchUpRate: 4 << 20,
		OnVerdict: func(id string, verdict serving.ClaimVerdict, result []byte) {
			// As in a server, the serving loop gets it in a later step.
			s.after(0, func() { s.handleVerdict(id, verdict, string(result)) })
		},
	}
}

// sendClaim sends an attempt, of a new key or of a recent one, and schedules the next attempt.
func (f *fleetSim) sendClaim() {
	log := f.claims
	if len(log.keys) == 0 || f.random.IntN(2) == 0 {
		log.keys = append(log.keys, fmt.Sprintf("k%d", len(log.keys)))
	}
	key := log.keys[max(0, len(log.keys)-1-f.random.IntN(recentKeys))]
	target := f.nodes[f.random.IntN(len(f.nodes))]
	if target.alive && !target.isPaused {
		log.row.Attempts++
		id := fmt.Sprintf("t%d", log.row.Attempts)
		log.attempts[id] = &claimAttempt{key: key, sentAt: f.now, node: target, incarnation: target.agent.Incarnation()}
		target.sendClaimEvent(fleet.ClaimEvent{ID: id, Class: "s", Key: key, Timeout: maxClaimDuration})
	}
	f.after(f.exponential(1/f.plan.KeyRate), f.sendClaim)
}

// handleVerdict handles the verdict on a claim as a serving loop does.
func (s *node) handleVerdict(id string, verdict serving.ClaimVerdict, result string) {
	log := s.claims
	attempt := log.attempts[id]
	if !s.alive || attempt == nil || attempt.incarnation != s.agent.Incarnation() {
		return
	}
	attempt.answered = true
	log.row.Verdicts[verdict]++
	switch verdict {
	case serving.ClaimGranted:
		s.runClaim(id, attempt)
	case serving.ClaimCached:
		hasResult := func(run claimRun) bool { return run.result == result }
		if !slices.ContainsFunc(log.runs[attempt.key], hasResult) {
			log.row.WrongResults++
		}
	}
}

// runClaim runs an attempt that was granted, unless its timeout is over.
func (s *node) runClaim(id string, attempt *claimAttempt) {
	log := s.claims
	log.grantLatencies = append(log.grantLatencies, s.now-attempt.sentAt)
	if s.isPaused || s.now > attempt.sentAt+maxClaimDuration {
		s.sendClaimEvent(fleet.ClaimEvent{ID: id, Canceled: true})
		return
	}
	log.row.Runs++
	for _, run := range log.runs[attempt.key] {
		if s.now < run.startedAt+claimRetention {
			log.row.RepeatedRuns++
		}
	}
	result := fmt.Sprintf("%s of %s", attempt.key, id)
	log.runs[attempt.key] = append(log.runs[attempt.key], claimRun{startedAt: s.now, result: result})
	s.after(minRunSeconds+s.exponential(meanRunSeconds), func() {
		if s.alive && s.agent.Incarnation() == attempt.incarnation {
			s.sendClaimEvent(fleet.ClaimEvent{ID: id, Finished: true, Succeeded: true, Result: []byte(result)})
		}
	})
}

// sendClaimEvent hands an event of a claim to the agent.
func (s *node) sendClaimEvent(event fleet.ClaimEvent) {
	s.agent.HandleClaimEvent(s.agent.Now(), event)
	s.tick()
}

// summarize fills the row once the fleet has healed.
func (l *claimLog) summarize(sim *fleetSim) {
	l.row.Keys = len(l.keys)
	for _, attempt := range l.attempts {
		if attempt.isOverdue(sim.now) {
			l.row.Unanswered++
		}
	}
	l.row.SlotsOutOfSync = 0
	l.row.ConflictingResults = 0
	for _, one := range sim.nodes {
		status := one.agent.ReplicationStatus()
		l.row.SlotsOutOfSync += status.CatchingUp + status.OutOfSync
		l.row.ConflictingResults += status.ConflictingResults
	}
	slices.Sort(l.grantLatencies)
	if count := len(l.grantLatencies); count > 0 {
		l.row.ClaimP50 = 1000 * l.grantLatencies[count/2]
		l.row.ClaimP99 = 1000 * l.grantLatencies[int(math.Min(float64(count-1), float64(count)*0.99))]
	}
}

// isOverdue reports whether an attempt should have its verdict, since its node lives on.
func (a *claimAttempt) isOverdue(now float64) bool {
	livesOn := a.node.alive && a.node.agent.Incarnation() == a.incarnation
	return !a.answered && livesOn && now > a.sentAt+2*maxClaimDuration
}
