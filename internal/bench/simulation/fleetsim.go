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
	// healTimeout is how long, in seconds, a healed fleet has to agree: enough for several leases
	// and a bootstrap.
	healTimeout = 60.0
	// healCheckInterval is the time, in seconds, between two checks whether the fleet has healed.
	healCheckInterval = 0.25
)

// releaseWaves are the waves that a release may have, as shares of the fleet; nil is all at once.
var releaseWaves = [][]float64{nil, {0.01, 0.1, 0.5}}

// fleetSim is a simulated fleet of nodes and the network between them. Membership is exact and known
// at once, while servers learn it by gossip.
type fleetSim struct {
	*clock
	plan          *RolloutPlan
	nodes         []*node
	nodeByName    map[string]*node
	voters        map[string]string
	partition     []int // the side of each node; nil without a partition
	isolated      *node // receives nothing; nil for none
	lossShare     float64
	digestByEpoch map[release.Epoch]string
	releasedAt    map[release.Epoch]float64 // when each release to all was accepted
	catchUpMillis []float64
	newestLog     *release.Log // that any voter ever had, also one that died before it replicated it
	row           RolloutRow
	claims        *claimLog // nil where no keys are claimed
}

// newFleetSim makes a fleet whose nodes have not started.
func newFleetSim(plan *RolloutPlan) *fleetSim {
	sim := &fleetSim{
		clock:         newClock(plan.Seed),
		plan:          plan,
		nodeByName:    map[string]*node{},
		voters:        map[string]string{},
		digestByEpoch: map[release.Epoch]string{},
		releasedAt:    map[release.Epoch]float64{},
		row:           RolloutRow{RolloutCounts: report.RolloutCounts{Seed: plan.Seed, Servers: plan.Servers}},
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
func (f *fleetSim) startNodes() {
	for _, one := range f.nodes {
		f.after(startSpread*f.random.Float64(), one.start)
	}
}

// nodeNames lists the nodes.
func (f *fleetSim) nodeNames() []string {
	var names []string
	for _, one := range f.nodes {
		names = append(names, one.name)
	}
	return names
}

// submitRelease submits a release at a node, to all at once or in waves.
func (f *fleetSim) submitRelease(author *node) {
	text := fmt.Sprintf("door-come-back %gs\n", 1+math.Floor(f.now))
	waves := releaseWaves[f.random.IntN(len(releaseWaves))]
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
		f.row.Releases++
		if waves == nil {
			f.releasedAt[result.NewestEpoch] = f.now
		}
	})
	author.tick()
}

// newestLivingLog returns the newest release log of the living voters. It lacks entries that only
// dead voters had.
func (f *fleetSim) newestLivingLog() (newest *release.Log) {
	for _, voter := range f.nodes[:f.plan.Voters] {
		if voter.alive && (newest == nil || voter.agent.ReleaseLog().NewerThan(newest)) {
			newest = voter.agent.ReleaseLog()
		}
	}
	return newest
}

// checkInvariants checks every checkInterval that no node serves while it is ejected and that not too
// many are out of service. Paused nodes are checked too: their serving loop would follow the last
// directive.
func (f *fleetSim) checkInvariants() {
	living := f.newestLivingLog()
	if f.newestLog != nil && living != nil {
		unavailable := 0
		for _, one := range f.nodes {
			if !one.alive {
				continue
			}
			if one.servesWhileEjected(f.newestLog, living) {
				f.row.ServedWhileEjected++
			}
			if one.isOutOfServiceMember(f.newestLog) {
				unavailable++
			}
		}
		if unavailable > int(leaseTerms.MaxUnavailable*float64(len(f.nodes))) {
			f.row.TooManyUnavailable++
		}
	}
	f.after(checkInterval, f.checkInvariants)
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
func (f *fleetSim) heal() {
	f.partition = nil
	f.isolated = nil
	f.lossShare = 0
	for _, one := range f.nodes {
		one.failsToApply = false
		if !one.alive {
			one.start()
		}
		one.resume(one.agent)
	}
	from := f.now
	for f.now < from+healTimeout {
		f.run(f.now + healCheckInterval)
		f.row.Unhealed = f.countUnhealed()
		if f.row.Unhealed == 0 {
			break
		}
	}
	f.row.HealSeconds = f.now - from
}

// countUnhealed counts the nodes that do not act on the newest version.
func (f *fleetSim) countUnhealed() (count int) {
	log := f.newestLivingLog()
	for _, one := range f.nodes {
		if log == nil || log.Next != nil || one.state != lease.StateLeased || one.activeEpoch != log.Current.Epoch {
			count++
		}
	}
	return count
}
