package simulation

import (
	"fmt"
	"strconv"

	"swiftcourse/internal/policy/serving"
)

// CounterPlan is a simulation of the fleet-wide request counters: agents of package fleet run under
// faults drawn from the seed, and their totals are compared with the true count of each
// incarnation.
type CounterPlan struct {
	Servers int
	Voters  int
	Seconds float64 // duration of the faults
	Seed    uint64
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *CounterPlan) Validate() error {
	if p.Servers < 1 || p.Servers > 5000 || p.Voters < 1 || p.Voters > min(15, p.Servers) ||
		p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: want servers from 1 to 5000, "+
			"voters from 1 to %d, seconds from 0 to 3600", p.Servers, p.Voters, p.Seconds, min(15, max(1, p.Servers)))
	}
	return nil
}

// CounterRow is the result of a CounterPlan.
type CounterRow struct {
	Seed         uint64 `json:"seed"`
	Servers      int    `json:"servers"`
	Faults       int    `json:"faults"`
	Incarnations int    `json:"lives"`
	// ClosedRows is the number of rows of ended incarnations that the voters have closed.
	ClosedRows int    `json:"closed"`
	Requests   uint64 `json:"tasks"` // true count of all incarnations
	// Unreported is the number of requests that ended incarnations counted and that were not
	// acknowledged.
	Unreported uint64 `json:"tasks_untold"`
	// Overcount is the excess of the totals over the true counts. It must be 0.
	Overcount uint64 `json:"count_error_over"`
	// Undercount is the number of requests that the totals lack although a living incarnation
	// counted them or they were acknowledged. It must be 0 if VotersLost is 0.
	Undercount uint64 `json:"count_error_under"`
	// VotersLost is the number of checks without a majority of voters that are alive and recovered.
	VotersLost int `json:"voters_lost"`
	// Unplaced is the number of requests for which servers had no free cell.
	Unplaced uint64 `json:"unplaced"`
	// UnderstatedError is the share of checks in which more was missing than reported.
	UnderstatedError float64 `json:"error_told_apart"`
	// SettleSeconds is the time from healing until the totals were complete.
	SettleSeconds       float64 `json:"settled_s"`
	BytesPerSecond      float64 `json:"talk_bytes_s"`         // sent per server for counters, without faults
	MaxBytesPerSecond   float64 `json:"talk_bytes_s_most"`    // by the server that sent most
	OtherBytesPerSecond float64 `json:"talk_bytes_s_without"` // sent per server without requests
}

// CounterColumns are the column heads of the table.
var CounterColumns = []string{
	"seed", "servers", "faults", "lives", "closed", "tasks", "untold", "over", "under", "voters lost", "unplaced",
	"short of said", "settled s", "B/s", "most B/s", "other B/s",
}

// Cells returns the row's table cells, in the order of CounterColumns.
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
	countIntervalSeconds = 0.5  // seconds between two reports of a serving loop to its agent
	requestsPerSecond    = 28.0 // requests per second of a server
	counterCells         = 20   // number of counter cells over which the requests are spread
	// settleTimeoutSeconds is how long the totals may take to become complete after healing: a row
	// is closed after ten seconds, and all voters may have to recover.
	settleTimeoutSeconds = 60.0
	// counterPhaseSeconds is the duration of each measurement and of the time before it.
	counterPhaseSeconds = 20
	// settleCheckIntervalSeconds is the time between two checks whether the totals are complete.
	settleCheckIntervalSeconds = 0.5
)

// trueCount is the simulation's own record of the requests that one incarnation counted.
type trueCount struct {
	counted      uint64
	acknowledged uint64 // part of counted that a majority of aggregators has acknowledged
	unplaced     uint64 // part of counted for which there was no free cell
}

// counterSim is one run of a CounterPlan.
type counterSim struct {
	*fleetSim
	trueCounts        map[uint64]*trueCount // by incarnation
	requestsStopped   bool                  // no more requests arrive
	row               CounterRow
	checks            int   // comparisons of reported with true missing counts
	understatedChecks int   // checks in which more was missing than reported
	lastReporter      *node // the last voter with recovered totals
}

// RunCounters runs a CounterPlan and returns its result.
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
		sim.after(countIntervalSeconds*sim.random.Float64(), func() { sim.countRequests(one) })
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

// countRequests draws the requests of a node and reports them to its agent, every
// countIntervalSeconds.
func (c *counterSim) countRequests(target *node) {
	if target.alive && !target.isPaused {
		truth := c.trueCountOf(target)
		status := target.agent.CounterStatus(target.agent.Now())
		truth.unplaced = status.Unaccounted
		if status.Acknowledged {
			truth.acknowledged = truth.counted
		}
		if !c.requestsStopped {
			target.agent.ObserveCounts(c.drawRequests(truth))
		}
		target.tick()
	}
	c.after(countIntervalSeconds, func() { c.countRequests(target) })
}

// trueCountOf returns the true count of a node's present incarnation, and creates it if needed.
func (c *counterSim) trueCountOf(target *node) *trueCount {
	incarnation := target.agent.Incarnation()
	truth := c.trueCounts[incarnation]
	if truth == nil {
		truth = &trueCount{}
		c.trueCounts[incarnation] = truth
	}
	return truth
}

// drawRequests draws the requests of one interval and adds them to the true count.
func (c *counterSim) drawRequests(truth *trueCount) (cells []serving.CounterCell) {
	for range c.poisson(requestsPerSecond * countIntervalSeconds) {
		truth.counted++
		cells = append(cells, serving.CounterCell{
			CounterKey:    serving.CounterKey{Tenant: "acme", Class: fmt.Sprint(c.random.IntN(counterCells))},
			RequestCounts: serving.RequestCounts{Received: 1, Finished: 1},
		})
	}
	return cells
}

// Violations returns 1 if an invariant is violated, else 0.
func (r CounterRow) Violations() int {
	if r.Overcount > 0 || r.VotersLost == 0 && (r.Undercount > 0 || r.Unplaced > 0) {
		return 1
	}
	return 0
}

// totalBounds returns the minimum and maximum of the totals. The minimum is the count of the living
// incarnations plus the acknowledged count of the ended ones, the maximum is the count of all
// incarnations.
func (c *counterSim) totalBounds() (low, high uint64) {
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

// checkTotals checks every checkIntervalSeconds whether a majority of the voters has recovered
// totals. As long as every check has found such a majority, it also checks the number of missing
// requests that a voter reports.
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
	c.after(checkIntervalSeconds, c.checkTotals)
}

// checkReporter checks that the totals of the last reporter lack no more requests than it reports
// as missing.
func (c *counterSim) checkReporter() {
	voter := c.lastReporter
	if voter == nil || !voter.alive || voter.isPaused {
		return
	}
	totals := voter.agent.CounterStatus(voter.agent.Now()).Totals
	low, _ := c.totalBounds()
	c.checks++
	// The tolerance of one second of all requests covers those that serving loops have not reported
	// to their agents yet and those in undelivered messages.
	if receivedTotal(totals.Total)+2*totals.EstimatedMissing+requestsPerSecond*float64(len(c.nodes)) < float64(low) {
		c.understatedChecks++
	}
}

// receivedTotal returns the sum of the received requests of all cells.
func receivedTotal(cells []serving.CounterCell) (total float64) {
	for _, cell := range cells {
		total += float64(cell.Received)
	}
	return total
}

// settle stops the requests, waits until the totals agree with the true counts or
// settleTimeoutSeconds has passed, and sets the row.
func (c *counterSim) settle() {
	c.requestsStopped = true
	from := c.now
	for c.now < from+settleTimeoutSeconds {
		c.run(c.now + settleCheckIntervalSeconds)
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
	low, high := c.totalBounds()
	c.row.Incarnations = len(c.trueCounts)
	c.row.Unreported = high - low
	if c.checks > 0 {
		c.row.UnderstatedError = float64(c.understatedChecks) / float64(c.checks)
	}
}

// compareTotals sets the differences between the voters' totals and the true counts in the row. It
// reports whether the totals may still change, because a voter is recovering or has open rows of
// ended incarnations.
func (c *counterSim) compareTotals() (pending bool) {
	low, high := c.totalBounds()
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
