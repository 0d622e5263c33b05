package simulation

import (
	"fmt"
	"strconv"

	"swiftcourse/internal/policy/serving"
)

// CounterPlan is a fleet that counts its requests, in simulated time: the agents of package fleet
// under faults by the seed, compared with what each incarnation really counted.
type CounterPlan struct {
	Servers int
	Voters  int
	Seconds float64 // of faults
	Seed    uint64
}

// Validate returns an error that names the limits if a value is outside of them.
func (p *CounterPlan) Validate() error {
	if p.Servers < 1 || p.Servers > 5000 || p.Voters < 1 || p.Voters > min(15, p.Servers) ||
		p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 1 to 5000, from 1 to 15, and up to 3600",
			p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// CounterRow is the result of a run.
type CounterRow struct {
	Seed                uint64  `json:"seed"`
	Servers             int     `json:"servers"`
	Faults              int     `json:"faults"`
	Incarnations        int     `json:"lives"`
	ClosedRows          int     `json:"closed"` // rows of incarnations that are gone, added up by the voters
	Requests            uint64  `json:"tasks"`  // that all incarnations counted
	Unreported          uint64  `json:"tasks_untold"`
	Overcount           uint64  `json:"count_error_over"`  // in the totals though no server counted it; must be 0
	Undercount          uint64  `json:"count_error_under"` // acknowledged but missing; must be 0 while most voters live
	VotersLost          int     `json:"voters_lost"`       // checks at which most voters were dead or recovering
	Unplaced            uint64  `json:"unplaced"`          // requests for which servers had no free cell
	UnderstatedError    float64 `json:"error_told_apart"`  // share of checks with more missing than reported
	SettleSeconds       float64 `json:"settled_s"`         // until all was counted, once healed
	BytesPerSecond      float64 `json:"talk_bytes_s"`      // sent by a server for counters, on average, without faults
	MaxBytesPerSecond   float64 `json:"talk_bytes_s_most"` // of the server that sends most
	OtherBytesPerSecond float64 `json:"talk_bytes_s_without"`
}

// CounterColumns are the heads of the table.
var CounterColumns = []string{
	"seed", "servers", "faults", "lives", "closed", "tasks", "untold", "over", "under", "voters lost", "unplaced",
	"short of said", "settled s", "B/s", "most B/s", "other B/s",
}

// Cells returns the row for the table.
func (r CounterRow) Cells() []string {
	return []string{
		strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Servers),
		strconv.Itoa(r.Faults),
		strconv.Itoa(r.Incarnations),
		strconv.Itoa(r.ClosedRows),
		strconv.FormatUint(r.Requests, 10),
		strconv.FormatUint(r.Unreported, 10),
		strconv.FormatUint(r.Overcount, 10),
		strconv.FormatUint(r.Undercount, 10),
		strconv.Itoa(r.VotersLost),
		strconv.FormatUint(r.Unplaced, 10),
		fmt.Sprintf("%.3f", r.UnderstatedError),
		fmt.Sprintf("%.1f", r.SettleSeconds),
		fmt.Sprintf("%.0f", r.BytesPerSecond),
		fmt.Sprintf("%.0f", r.MaxBytesPerSecond),
		fmt.Sprintf("%.0f", r.OtherBytesPerSecond),
	}
}

const (
	countInterval = 0.5  // seconds between two counts that a serving loop hands over
	requestRate   = 28.0 // requests a second of a server
	counterCells  = 20   // cells that they fall on
	// settleTimeout is how long, in seconds, all may take to be counted once healed: a row closes
	// after ten seconds, and all voters may have to recover.
	settleTimeout = 60.0
	// counterPhaseSeconds is how long the fleet runs before each measurement, and how long that is.
	counterPhaseSeconds = 20
	// settleCheckInterval is the time, in seconds, between two checks whether all is counted.
	settleCheckInterval = 0.5
)

// trueCount is what one incarnation really counted, recorded by the simulation.
type trueCount struct {
	counted      uint64
	acknowledged uint64 // of counted, what a majority of aggregators has
	unplaced     uint64
}

// counterSim is one run of a plan.
type counterSim struct {
	*fleetSim
	trueCounts        map[uint64]*trueCount // by incarnation
	requestsStopped   bool                  // no more requests come
	row               CounterRow
	checks            int
	understatedChecks int
	lastReporter      *node
}

// RunCounters runs the plan.
func RunCounters(plan *CounterPlan) CounterRow {
	sim := &counterSim{
		fleetSim: newFleetSim(&RolloutPlan{
			Servers: plan.Servers,
			Voters:  plan.Voters,
			Seconds: plan.Seconds,
			Seed:    plan.Seed,
		}),
		trueCounts: map[uint64]*trueCount{},
		row:        CounterRow{Seed: plan.Seed, Servers: plan.Servers},
	}
	for _, one := range sim.nodes {
		one.countersEnabled = true
	}
	sim.startNodes()
	sim.run(counterPhaseSeconds)
	baseline := sim.measureTraffic(counterPhaseSeconds)
	for _, one := range sim.nodes {
		sim.after(countInterval*sim.random.Float64(), func() { sim.countRequests(one) })
	}
	sim.run(sim.now + counterPhaseSeconds)
	measured := sim.measureTraffic(counterPhaseSeconds)
	sim.row.BytesPerSecond = measured.meanBytes - baseline.meanBytes
	sim.row.MaxBytesPerSecond = measured.maxBytes - baseline.maxBytes
	sim.row.OtherBytesPerSecond = baseline.meanBytes
	sim.after(0, sim.checkTotals)
	sim.runFaults(plan.Seconds)
	sim.heal()
	sim.row.Faults = sim.fleetSim.row.Faults
	sim.settle()
	return sim.row
}

// countRequests has a node's serving loop count its requests, again and again.
func (c *counterSim) countRequests(target *node) {
	if target.alive && !target.isPaused {
		truth := c.trueCountOf(target)
		status := target.agent.CounterStatus(target.agent.Now())
		truth.unplaced = status.Unplaced
		if status.Acknowledged {
			truth.acknowledged = truth.counted
		}
		if !c.requestsStopped {
			target.agent.ObserveCounts(c.drawRequests(truth))
		}
		target.tick()
	}
	c.after(countInterval, func() { c.countRequests(target) })
}

// trueCountOf returns the true count of a node's present incarnation.
func (c *counterSim) trueCountOf(target *node) *trueCount {
	incarnation := target.agent.Incarnation()
	truth := c.trueCounts[incarnation]
	if truth == nil {
		truth = &trueCount{}
		c.trueCounts[incarnation] = truth
	}
	return truth
}

// drawRequests draws the requests of one interval and enters them in the true count.
func (c *counterSim) drawRequests(truth *trueCount) (cells []serving.CounterCell) {
	for range c.poisson(requestRate * countInterval) {
		truth.counted++
		cells = append(cells, serving.CounterCell{
			CounterKey:    serving.CounterKey{Tenant: "acme", Class: fmt.Sprint(c.random.IntN(counterCells))},
			RequestCounts: serving.RequestCounts{Received: 1, Finished: 1},
		})
	}
	return cells
}

// Violations counts what breaks an invariant.
func (r CounterRow) Violations() int {
	if r.Overcount > 0 || r.VotersLost == 0 && (r.Undercount > 0 || r.Unplaced > 0) {
		return 1
	}
	return 0
}

// bounds returns the least and the most that may be counted: at least what the living incarnations
// counted and what most aggregators acknowledged of the others, at most what all counted.
func (c *counterSim) bounds() (low, high uint64) {
	alive := map[uint64]bool{}
	for _, one := range c.nodes {
		if one.alive {
			alive[one.agent.Incarnation()] = true
		}
	}
	for incarnation, truth := range c.trueCounts {
		high += truth.counted
		if alive[incarnation] {
			low += truth.counted
		} else {
			low += truth.acknowledged
		}
	}
	return low, high
}

// checkTotals checks, again and again, whether most voters live, and whether what one of them
// reports lacks no more than it says.
func (c *counterSim) checkTotals() {
	reporting := 0
	for _, voter := range c.nodes[:c.plan.Voters] {
		if !voter.alive || voter.isPaused {
			continue
		}
		totals := voter.agent.CounterStatus(voter.agent.Now()).Totals
		if totals != nil && !totals.Recovering {
			reporting++
			c.lastReporter = voter
		}
	}
	if reporting <= c.plan.Voters/2 {
		c.row.VotersLost++
	} else if c.row.VotersLost == 0 {
		c.checkReporter()
	}
	c.after(checkInterval, c.checkTotals)
}

// checkReporter checks that the totals of the last reporter lack no more than they say.
func (c *counterSim) checkReporter() {
	voter := c.lastReporter
	if voter == nil || !voter.alive || voter.isPaused {
		return
	}
	totals := voter.agent.CounterStatus(voter.agent.Now()).Totals
	low, _ := c.bounds()
	c.checks++
	// Allowed besides: a second of all requests, for those that serving loops have not handed over
	// yet and those in messages on their way.
	if receivedTotal(totals.Total)+2*totals.MaxMissing+requestRate*float64(len(c.nodes)) < float64(low) {
		c.understatedChecks++
	}
}

// receivedTotal sums the received requests of all cells.
func receivedTotal(list []serving.CounterCell) (n float64) {
	for _, one := range list {
		n += float64(one.Received)
	}
	return n
}

// settle stops the requests, waits until all is counted, and compares it with the true counts.
func (c *counterSim) settle() {
	c.requestsStopped = true
	from := c.now
	for c.now < from+settleTimeout {
		c.run(c.now + settleCheckInterval)
		pending := c.compareTotals()
		c.row.SettleSeconds = c.now - from
		if !pending && c.row.Overcount == 0 && c.row.Undercount == 0 {
			break
		}
	}
	for _, truth := range c.trueCounts {
		c.row.Requests += truth.counted
		c.row.Unplaced += truth.unplaced
	}
	low, high := c.bounds()
	c.row.Incarnations = len(c.trueCounts)
	c.row.Unreported = high - low
	if c.checks > 0 {
		c.row.UnderstatedError = float64(c.understatedChecks) / float64(c.checks)
	}
}

// compareTotals enters the differences between the voters' totals and the true counts in the row. It
// reports whether some are pending: a voter recovers, or has open rows of incarnations that are gone.
func (c *counterSim) compareTotals() (pending bool) {
	low, high := c.bounds()
	c.row.Overcount = 0
	c.row.Undercount = 0
	for _, voter := range c.nodes[:c.plan.Voters] {
		totals := voter.agent.CounterStatus(voter.agent.Now()).Totals
		counted := uint64(receivedTotal(totals.Total))
		c.row.Overcount = max(c.row.Overcount, counted-min(counted, high))
		c.row.Undercount = max(c.row.Undercount, low-min(counted, low))
		c.row.ClosedRows = len(voter.agent.ReleaseLog().ClosedRows)
		if totals.OpenRows > len(c.nodes) || totals.Recovering {
			pending = true
		}
	}
	return pending
}
