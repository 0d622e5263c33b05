package simulation

import (
	"fmt"
	"math"
	"slices"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
)

// Settings of the key claims in a simulated rollout.
const (
	claimRetentionSeconds = 20.0 // time that replicas keep keys
	maxClaimSeconds       = 1.0
	maxReplicas           = 48 // the first maxReplicas servers are replicas
	replicationFactor     = 3
	replicaZones          = 3
	// recentKeys is the number of the latest keys from which attempts are drawn.
	recentKeys = 30
	// A granted run takes minRunSeconds plus an exponentially distributed time with mean
	// meanRunSeconds.
	minRunSeconds  = 0.02
	meanRunSeconds = 0.05
)

// ClaimsRow is the part of a run's result about claims.
type ClaimsRow struct {
	Attempts           int     `json:"tries"`
	Keys               int     `json:"keys"`
	Runs               int     `json:"runs"`
	Verdicts           [4]int  `json:"told"`   // verdicts by serving.ClaimVerdict
	Unanswered         int     `json:"untold"` // attempts without a verdict at servers that were not restarted
	RepeatedRuns       int     `json:"twice"`  // runs within the retention window of another run of the key
	WrongResults       int     `json:"wrong"`  // returned results that no run of the key had
	ConflictingResults int     `json:"alarms"` // keys for which a replica has two results
	SlotsOutOfSync     int     `json:"differ"` // slots that are catching up or out of sync after healing
	ClaimP50           float64 `json:"p50_ms"` // milliseconds from a claim to its grant
	ClaimP99           float64 `json:"p99_ms"` // likewise
}

// claimLog is the simulation's own record of the runs of each key.
type claimLog struct {
	row            ClaimsRow
	placement      *replication.Placement
	keys           []string
	runs           map[string][]claimRun    // by key
	attempts       map[string]*claimAttempt // by request ID
	grantLatencies []float64                // seconds
}

// claimRun is a run of a key.
type claimRun struct {
	startedAt float64
	result    string
}

// claimAttempt is an attempt with a key at a node.
type claimAttempt struct {
	key         string
	sentAt      float64
	node        *node
	incarnation uint64 // of the node
	isAnswered  bool   // the verdict has come
}

// newClaimLog returns an empty log for a fleet with the named servers.
func newClaimLog(names []string) *claimLog {
	settings := replication.Config{
		ReplicationFactor: replicationFactor,
		RetentionWindow:   claimRetentionSeconds,
		MaxClaimDuration:  maxClaimSeconds,
	}
	for i, name := range names[:min(len(names), maxReplicas)] {
		member := replication.Member{Name: name, Zone: fmt.Sprint(i % replicaZones), Weight: 1}
		settings.Members = append(settings.Members, member)
	}
	placement, err := replication.NewPlacement(settings)
	if err != nil {
		panic(err) // the settings are constants of this file
	}
	return &claimLog{placement: placement, runs: map[string][]claimRun{}, attempts: map[string]*claimAttempt{}}
}

// replicationConfig returns a node's replication settings, nil if the simulation has no keys.
func (s *node) replicationConfig() *fleet.ReplicationConfig {
	if s.claims == nil {
		return nil
	}
	return &fleet.ReplicationConfig{
		Placement:             s.claims.placement,
		MaxRecords:            100_000,
		MaxBytes:              64 << 20,
		CatchUpBytesPerSecond: 4 << 20,
		OnVerdict: func(id string, verdict serving.ClaimVerdict, result []byte) {
			// As in a server, the serving loop handles the verdict in a later step.
			s.after(0, func() { s.handleVerdict(id, verdict, string(result)) })
		},
	}
}

// sendClaim sends an attempt with a new key or a recent one, and schedules the next attempt.
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
		target.sendClaimEvent(fleet.ClaimEvent{ID: id, Class: "s", Key: key, TimeoutSeconds: maxClaimSeconds})
	}
	f.after(f.exponential(1/f.plan.KeyRate), f.sendClaim)
}

// handleVerdict handles the verdict on a claim like a server's serving loop.
func (s *node) handleVerdict(id string, verdict serving.ClaimVerdict, result string) {
	log := s.claims
	attempt := log.attempts[id]
	if !s.alive || attempt == nil || attempt.incarnation != s.agent.Incarnation() {
		return
	}
	attempt.isAnswered = true
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

// runClaim runs a granted attempt. If the node is paused or the attempt has timed out, it cancels
// the claim instead.
func (s *node) runClaim(id string, attempt *claimAttempt) {
	log := s.claims
	log.grantLatencies = append(log.grantLatencies, s.now-attempt.sentAt)
	if s.isPaused || s.now > attempt.sentAt+maxClaimSeconds {
		s.sendClaimEvent(fleet.ClaimEvent{ID: id, Canceled: true})
		return
	}
	log.row.Runs++
	for _, run := range log.runs[attempt.key] {
		if s.now < run.startedAt+claimRetentionSeconds {
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

// sendClaimEvent passes an event of a claim to the agent.
func (s *node) sendClaimEvent(event fleet.ClaimEvent) {
	s.agent.HandleClaimEvent(s.agent.Now(), event)
	s.tick()
}

// summarize sets the remaining fields of the row after the fleet has healed.
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

// isOverdue reports whether the verdict on an attempt is missing although its node was not
// restarted and twice maxClaimSeconds has passed.
func (a *claimAttempt) isOverdue(now float64) bool {
	isSameIncarnation := a.node.alive && a.node.agent.Incarnation() == a.incarnation
	return !a.isAnswered && isSameIncarnation && now > a.sentAt+2*maxClaimSeconds
}
