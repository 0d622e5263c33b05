package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

const (
	// startSpread is the time, in seconds, over which the nodes of a fleet start.
	startSpread = 2.0
	// checkInterval is the time, in seconds, between two checks of invariants.
	checkInterval = 0.1
	// healTimeout is how long, in seconds, a healed fleet has to agree: some leases, and a
	// bootstrap.
	healTimeout = 60.0
	// healCheckInterval is the time, in seconds, between two checks whether the fleet has healed.
	healCheckInterval = 0.25
)

// fleetSim is a simulated fleet of nodes and the network between them. Who is a member is known at
// once and rightly, where the program has it by gossip.
type fleetSim struct {
	*clock
	plan          *RolloutPlan
	nodes         []*node
	nodeByName    map[string]*node
	voters        map[string]string
	partition     []int // the side of each node; nil without a partition
	isolated      *node // it receives nothing
	loss          float64
	digests       map[release.Epoch]string
	released      map[release.Epoch]float64 // when each release to all was accepted
	catchUpMillis []float64
	newest        *release.Log // of any voter ever: what a leader did that died at once was done all the same
	row           RolloutRow
	claims        *claimLog // nil where no keys are claimed
}

// newFleetSim makes a fleet whose nodes have not started.
func newFleetSim(plan *RolloutPlan) *fleetSim {
	sim := &fleetSim{
		clock:      newClock(plan.Seed),
		plan:       plan,
		nodeByName: map[string]*node{},
		voters:     map[string]string{},
		digests:    map[release.Epoch]string{},
		released:   map[release.Epoch]float64{},
		row:        RolloutRow{RolloutCounts: report.RolloutCounts{Seed: plan.Seed, Servers: plan.Servers}},
	}
	for i := range plan.Servers {
		one := &node{
			fleetSim: sim,
			name:     fmt.Sprintf("n%d", i+1),
			number:   i,
			random:   rand.New(rand.NewPCG(plan.Seed, uint64(i+100))),
		}
		sim.nodes = append(sim.nodes, one)
		sim.nodeByName[one.name] = one
		if i < plan.Voters {
			sim.voters[one.name] = one.name
		}
	}
	return sim
}

// startNodes starts all nodes at random times.
func (t *fleetSim) startNodes() {
	for _, one := range t.nodes {
		t.after(startSpread*t.random.Float64(), one.start)
	}
}

// nodeNames lists the nodes.
func (t *fleetSim) nodeNames() []string {
	var names []string
	for _, one := range t.nodes {
		names = append(names, one.name)
	}
	return names
}

// release submits a release at a node, to all at once or in waves.
func (t *fleetSim) release(author *node) {
	text := fmt.Sprintf("door-come-back %gs\n", 1+math.Floor(t.now))
	waves := [][]float64{nil, {0.01, 0.1, 0.5}}[t.random.IntN(2)]
	command := release.Command{
		Kind:   release.KindRelease,
		Author: author.name,
		Text:   text,
		Digest: release.Digest(text, ""),
		Waves:  waves,
	}
	author.agent.SubmitCommand(author.agent.Now(), command, func(result wire.CommandResult) {
		if result.RejectReason != "" {
			return
		}
		t.row.Releases++
		if waves == nil {
			t.released[result.NewestEpoch] = t.now
		}
	})
	author.tick()
}

// newestLivingLog returns the newest release log of the living voters. It lacks what a lost
// majority did that nobody knows of any more.
func (t *fleetSim) newestLivingLog() (newest *release.Log) {
	for _, voter := range t.nodes[:t.plan.Voters] {
		if voter.alive && (newest == nil || voter.agent.ReleaseLog().NewerThan(newest)) {
			newest = voter.agent.ReleaseLog()
		}
	}
	return newest
}

// checkInvariants checks, again and again, that no node serves while it is ejected and that not too
// many are out of service. Paused nodes are checked too: their serving loop would go by the last
// directive.
func (t *fleetSim) checkInvariants() {
	living := t.newestLivingLog()
	if t.newest != nil && living != nil {
		unavailable := 0
		for _, one := range t.nodes {
			if !one.alive {
				continue
			}
			if one.servesWhileEjected(t.newest, living) {
				t.row.ServedWhileEjected++
			}
			if one.isOutOfServiceMember(t.newest) {
				unavailable++
			}
		}
		if unavailable > int(leaseTerms.MaxUnavailable*float64(len(t.nodes))) {
			t.row.TooManyUnavailable++
		}
	}
	t.after(checkInterval, t.checkInvariants)
}

// servesWhileEjected reports whether a node holds a valid lease though its incarnation is ejected,
// by the newest log and by that of the living voters.
func (s *node) servesWhileEjected(newest, living *release.Log) bool {
	hasLease := s.state == lease.StateLeased && s.now < s.directive.ChangesAt
	ejected, isEjected := newest.Ejected[s.name]
	return hasLease && isEjected && ejected.Incarnation == s.agent.Incarnation() &&
		living.Ejected[s.name].Incarnation == ejected.Incarnation
}

// isOutOfServiceMember reports whether a member's lease is over and it went out of service for
// that.
func (s *node) isOutOfServiceMember(newest *release.Log) bool {
	isExpired := s.state == lease.StateExpired || s.state == lease.StateLeased && s.now >= s.directive.ChangesAt
	return isExpired && s.directive.ModeAt(s.now) == serving.ModeOutOfService &&
		newest.Members[s.name] == s.agent.Incarnation()
}

// heal ends all faults and waits until all nodes act on the newest version.
func (t *fleetSim) heal() {
	t.partition = nil
	t.isolated = nil
	t.loss = 0
	for _, one := range t.nodes {
		one.failsToApply = false
		if !one.alive {
			one.start()
		}
		one.resume(one.agent)
	}
	from := t.now
	for t.now < from+healTimeout {
		t.run(t.now + healCheckInterval)
		t.row.Unhealed = t.countUnhealed()
		if t.row.Unhealed == 0 {
			break
		}
	}
	t.row.HealSeconds = t.now - from
}

// countUnhealed counts the nodes that do not act on the newest version.
func (t *fleetSim) countUnhealed() (count int) {
	log := t.newestLivingLog()
	for _, one := range t.nodes {
		if log == nil || log.Next != nil || one.state != lease.StateLeased || one.activeEpoch != log.Current.Epoch {
			count++
		}
	}
	return count
}
