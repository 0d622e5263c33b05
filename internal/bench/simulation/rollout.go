package simulation

import (
	"fmt"
	"strconv"

	"swiftcourse/internal/bench/report"
)

// RolloutPlan is a simulation of rollouts: agents of package fleet run on a network that delays,
// loses and duplicates messages and is partitioned at times.
type RolloutPlan struct {
	Servers  int
	Voters   int
	Seconds  float64 // duration of releases and faults; then the fleet has healTimeoutSeconds to heal
	Seed     uint64
	NoFaults bool
	KeyRate  float64 // requests with a key per second, over all servers; 0 for none
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *RolloutPlan) Validate() error {
	if p.Servers < 1 || p.Servers > 5000 || p.Voters < 1 || p.Voters > min(15, p.Servers) ||
		p.Seconds < 1 || p.Seconds > 3600 || p.KeyRate < 0 || p.KeyRate > 10_000 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g --keys %g: want servers from 1 to 5000, "+
			"voters from 1 to %d, seconds from 1 to 3600, keys from 0 to 10000",
			p.Servers, p.Voters, p.Seconds, p.KeyRate, min(15, max(1, p.Servers)))
	}
	return nil
}

// RolloutRow is the result of a RolloutPlan.
type RolloutRow struct {
	report.RolloutCounts
	TooManyUnavailable int     `json:"too_many_left"` // checks with more servers out of service than allowed
	Unhealed           int     `json:"unhealed"`      // servers not on the newest version at the end
	HealSeconds        float64 `json:"heal_s"`        // from the last fault until all servers had the newest version
	report.CatchUpLatency
	MessagesPerSecond float64   `json:"messages_s"`      // sent per server, on average
	BytesPerSecond    float64   `json:"bytes_s"`         // sent per server, on average
	MaxBytesPerSecond float64   `json:"bytes_s_at_most"` // by the server that sent most
	Claims            ClaimsRow `json:"claimed"`
}

// Violations returns the number of violated invariants of rollouts and claims.
func (r RolloutRow) Violations() int {
	claims := r.Claims.Unanswered + r.Claims.RepeatedRuns + r.Claims.WrongResults + r.Claims.ConflictingResults +
		r.Claims.SlotsOutOfSync
	return claims + r.ConflictingDigests + r.ServedWhileEjected + r.TooManyUnavailable + r.Unhealed
}

// RolloutColumns are the column heads of the table.
var RolloutColumns = []string{
	"seed", "servers", "releases", "faults", "two digests", "acted out", "too many left", "unhealed",
	"heal s", "p50 ms", "p99 ms", "max ms", "msg/s", "B/s", "most B/s",
}

// Cells returns the row's table cells, in the order of RolloutColumns.
func (r RolloutRow) Cells() []string {
	return []string{
		strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Servers),
		strconv.Itoa(r.Releases),
		strconv.Itoa(r.Faults),
		strconv.Itoa(r.ConflictingDigests),
		strconv.Itoa(r.ServedWhileEjected),
		strconv.Itoa(r.TooManyUnavailable),
		strconv.Itoa(r.Unhealed),
		fmt.Sprintf("%.1f", r.HealSeconds),
		fmt.Sprintf("%.0f", r.CatchUpP50),
		fmt.Sprintf("%.0f", r.CatchUpP99),
		fmt.Sprintf("%.0f", r.CatchUpMax),
		fmt.Sprintf("%.1f", r.MessagesPerSecond),
		fmt.Sprintf("%.0f", r.BytesPerSecond),
		fmt.Sprintf("%.0f", r.MaxBytesPerSecond),
	}
}

const (
	// bootstrapSeconds is the time for a fleet to bootstrap and to grant all leases.
	bootstrapSeconds = 20
	// idleTrafficSeconds is how long the traffic is measured without releases and faults.
	idleTrafficSeconds = 10
)

// RunRollout runs a RolloutPlan and returns its result.
func RunRollout(plan *RolloutPlan) RolloutRow {
	sim := newFleetSim(plan)
	if plan.KeyRate > 0 {
		sim.claims = newClaimLog(sim.nodeNames())
	}
	sim.startNodes()
	sim.run(bootstrapSeconds)
	if sim.claims != nil {
		// Until then replicas can't know which keys ran before they started.
		sim.run(sim.now + claimRetentionSeconds + 2*maxClaimSeconds)
		sim.sendClaim()
	}
	sim.measureIdleTraffic()
	sim.after(0, sim.checkInvariants)
	sim.runFaults(plan.Seconds)
	sim.heal()
	if sim.claims != nil {
		sim.run(sim.now + claimRetentionSeconds) // until records whose replicas were mostly lost have expired
		sim.claims.summarize(sim)
		sim.row.Claims = sim.claims.row
	}
	sim.row.CatchUpLatency = report.NewCatchUpLatency(sim.catchUpMillis)
	return sim.row
}

// measureIdleTraffic measures the traffic without releases and faults.
func (f *fleetSim) measureIdleTraffic() {
	measured := f.measureTraffic(idleTrafficSeconds)
	f.row.MessagesPerSecond = measured.meanMessages
	f.row.BytesPerSecond = measured.meanBytes
	f.row.MaxBytesPerSecond = measured.maxBytes
}
