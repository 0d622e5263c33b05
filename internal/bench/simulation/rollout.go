package simulation

import (
	"fmt"
	"strconv"

	"swiftcourse/internal/bench/report"
)

// RolloutPlan is a fleet whose servers roll out releases, in simulated time: the agents of package
// fleet themselves, over a network that delays, loses, duplicates and partitions.
type RolloutPlan struct {
	Servers  int
	Voters   int
	Seconds  float64 // of releases and faults; then faults end and the fleet has healTimeout to agree
	Seed     uint64
	NoFaults bool
	KeyRate  float64 // requests a second with a key, over all servers; 0 for none
}

// Validate returns an error that names the limits if a value is outside of them.
func (p *RolloutPlan) Validate() error {
	if p.Servers < 1 || p.Servers > 5000 || p.Voters < 1 || p.Voters > min(15, p.Servers) ||
		p.Seconds < 1 || p.Seconds > 3600 || p.KeyRate < 0 || p.KeyRate > 10_000 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 1 to 5000, from 1 to 15, and from 1 to 3600",
			p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// RolloutRow is the result of a run.
type RolloutRow struct {
	report.RolloutCounts
	TooManyUnavailable int     `json:"too_many_left"` // checks that found more servers out of service than allowed
	Unhealed           int     `json:"unhealed"`      // servers not on the newest version at the end
	HealSeconds        float64 `json:"heal_s"`        // until all acted on the newest version, after the last fault
	report.CatchUpLatency
	MessagesPerSecond float64   `json:"messages_s"`      // sent by a server, on average
	BytesPerSecond    float64   `json:"bytes_s"`         // sent by a server, on average
	MaxBytesPerSecond float64   `json:"bytes_s_at_most"` // of the server that sent most
	Claims            ClaimsRow `json:"claimed"`
}

// Violations counts what breaks an invariant, of rollouts and of claims.
func (r RolloutRow) Violations() int {
	claims := r.Claims.Unanswered + r.Claims.RepeatedRuns + r.Claims.WrongResults + r.Claims.ConflictingResults +
		r.Claims.SlotsOutOfSync
	return claims + r.ConflictingDigests + r.ServedWhileEjected + r.TooManyUnavailable + r.Unhealed
}

// RolloutColumns are the heads of the table.
var RolloutColumns = []string{
	"seed", "servers", "releases", "faults", "two digests", "acted out", "too many left", "unhealed",
	"heal s", "p50 ms", "p99 ms", "max ms", "msg/s", "B/s", "most B/s",
}

// Cells returns the row for the table.
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
	// bootstrapSeconds is how long a fleet has to bootstrap and to grant all leases.
	bootstrapSeconds = 20
	// quietSeconds is how long the traffic of a fleet is measured in which nothing happens.
	quietSeconds = 10
)

// RunRollout runs the plan.
func RunRollout(plan *RolloutPlan) RolloutRow {
	sim := newFleetSim(plan)
	if plan.KeyRate > 0 {
		sim.claims = newClaimLog(sim.nodeNames())
	}
	sim.startNodes()
	sim.run(bootstrapSeconds)
	if sim.claims != nil {
		// Until then replicas do not know what ran before they started.
		sim.run(sim.now + claimRetention + 2*maxClaimDuration)
		sim.sendClaim()
	}
	sim.measureQuiet()
	sim.after(0, sim.checkInvariants)
	sim.runFaults(plan.Seconds)
	sim.heal()
	if sim.claims != nil {
		sim.run(sim.now + claimRetention) // records that were lost with most of their replicas have to expire
		sim.claims.summarize(sim)
		sim.row.Claims = sim.claims.row
	}
	sim.row.CatchUpLatency = report.NewCatchUpLatency(sim.catchUpMillis)
	return sim.row
}

// measureQuiet measures the traffic while nothing happens.
func (f *fleetSim) measureQuiet() {
	measured := f.measureTraffic(quietSeconds)
	f.row.MessagesPerSecond = measured.meanMessages
	f.row.BytesPerSecond = measured.meanBytes
	f.row.MaxBytesPerSecond = measured.maxBytes
}
