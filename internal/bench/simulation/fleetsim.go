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
	// startSpreadSeconds is the time over which the nodes of a fleet start.
	startSpreadSeconds = 2.0
	// checkIntervalSeconds is the time between two checks of invariants.
	checkIntervalSeconds = 0.1
	// healTimeoutSeconds is how long all nodes may take to apply the newest version after the last
	// fault: enough for several leases and a bootstrap.
	healTimeoutSeconds = 60.0
	// healCheckIntervalSeconds is the time between two checks whether the fleet has healed.
	healCheckIntervalSeconds = 0.25
)

// releaseWaves are the choices for the waves of a release, as shares of the fleet; nil means no
// waves.
var releaseWaves = [][]float64{nil, {0.01, 0.1, 0.5}}

// fleetSim is a simulated fleet of nodes and the network between them. Its membership is always
// exact and up to date, while real servers learn theirs by gossip.
type fleetSim struct {
	*clock
	plan          *RolloutPlan
	nodes         []*node
	nodeByName    map[string]*node
	voters        map[string]string // addresses by name
	partition     []int             // the side of each node; nil without a partition
	isolated      *node             // node that receives nothing; nil for none
	lossShare     float64           // share of messages that are lost
	digestByEpoch map[release.Epoch]string
	releasedAt    map[release.Epoch]float64 // when each release without waves was accepted
	catchUpMillis []float64
	newestLog     *release.Log // newest log that any voter ever had, even if that voter ended before replicating it
	row           RolloutRow
	claims        *claimLog // nil without key claims
}

// newFleetSim returns a fleet whose nodes have not started.
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

// startNodes schedules the start of all nodes at random times within startSpreadSeconds.
func (f *fleetSim) startNodes() {
	for _, one := range f.nodes {
		f.after(startSpreadSeconds*f.random.Float64(), one.start)
	}
}

// nodeNames returns the names of all nodes.
func (f *fleetSim) nodeNames() []string {
	var names []string
	for _, one := range f.nodes {
		names = append(names, one.name)
	}
	return names
}

// submitRelease submits a release at a node, at random with or without waves.
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

// newestLogOfLivingVoters returns the newest release log of the living voters. It lacks entries
// that only voters had that are not alive.
func (f *fleetSim) newestLogOfLivingVoters() (newest *release.Log) {
	for _, voter := range f.nodes[:f.plan.Voters] {
		if voter.alive && (newest == nil || voter.agent.ReleaseLog().NewerThan(newest)) {
			newest = voter.agent.ReleaseLog()
		}
	}
	return newest
}

// checkInvariants checks every checkIntervalSeconds that no node serves while it is ejected and
// that no more nodes than allowed are out of service. Paused nodes are checked too, because their
// serving loop would follow the last directive.
func (f *fleetSim) checkInvariants() {
	living := f.newestLogOfLivingVoters()
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
		if unavailable > int(leaseTerms.MaxUnavailableFraction*float64(len(f.nodes))) {
			f.row.TooManyUnavailable++
		}
	}
	f.after(checkIntervalSeconds, f.checkInvariants)
}

// servesWhileEjected reports whether a node holds a valid lease although its incarnation is
// ejected, both in the newest log and in the newest log of the living voters.
func (s *node) servesWhileEjected(newest, living *release.Log) bool {
	hasLease := s.state == lease.StateLeased && s.now < s.directive.ChangesAt
	ejected, isEjected := newest.Ejected[s.name]
	return hasLease && isEjected && ejected.Incarnation == s.agent.Incarnation() &&
		living.Ejected[s.name].Incarnation == ejected.Incarnation
}

// isOutOfServiceMember reports whether a node is a member and out of service because its lease has
// expired.
func (s *node) isOutOfServiceMember(newest *release.Log) bool {
	isExpired := s.state == lease.StateExpired || s.state == lease.StateLeased && s.now >= s.directive.ChangesAt
	return isExpired && s.directive.ModeAt(s.now) == serving.ModeOutOfService &&
		newest.Members[s.name] == s.agent.Incarnation()
}

// heal ends all faults and waits until all nodes have applied the newest version or
// healTimeoutSeconds has passed.
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
	for f.now < from+healTimeoutSeconds {
		f.run(f.now + healCheckIntervalSeconds)
		f.row.Unhealed = f.countUnhealed()
		if f.row.Unhealed == 0 {
			break
		}
	}
	f.row.HealSeconds = f.now - from
}

// countUnhealed counts the nodes that hold no lease or have not applied the newest version; all
// nodes while a release is in progress.
func (f *fleetSim) countUnhealed() (count int) {
	log := f.newestLogOfLivingVoters()
	for _, one := range f.nodes {
		if log == nil || log.Next != nil || one.state != lease.StateLeased || one.activeEpoch != log.Current.Epoch {
			count++
		}
	}
	return count
}
