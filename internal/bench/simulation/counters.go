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
	Overcount           uint64  `json:"count_error_over"`  // counted by nobody; must be 0
	Undercount          uint64  `json:"count_error_under"` // acknowledged but missing; must be 0 while most voters live
	VotersLost          int     `json:"voters_lost"`       // checks at which most voters were dead or recovering
	Unplaced            uint64  `json:"unplaced"`          // requests that servers had no cell for
	UnderstatedError    float64 `json:"error_told_apart"`  // of the checks: more missing than reported
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

// trueCount is what one incarnation counted, apart from the fleet's own counters.
type trueCount struct {
	counted      uint64
	acknowledged uint64 // of counted, what most aggregators have
	unplaced     uint64
}

// counterSim is one run of a plan.
type counterSim struct {
	*fleetSim
	trueCounts  map[uint64]*trueCount // by incarnation
	isStopped   bool                  // no more requests come
	row         CounterRow
	checks      int
	understated int
	reporter    *node
}

// RunCounters runs the plan.
func RunCounters(plan *CounterPlan) CounterRow {
	c := &counterSim{
		fleetSim: newFleetSim(&RolloutPlan{
			Servers: plan.Servers,
			Voters:  plan.Voters,
			Seconds: plan.Seconds,
			Seed:    plan.Seed,
		}),
		trueCounts: map[uint64]*trueCount{},
		row:        CounterRow{Seed: plan.Seed, Servers: plan.Servers},
	}
	for _, one := range c.nodes {
		one.countersEnabled = true
	}
	c.startNodes()
	c.run(counterPhaseSeconds)
	baseline := c.measureTraffic(counterPhaseSeconds)
	for _, s := range c.nodes {
		c.after(countInterval*c.random.Float64(), func() { c.countRequests(s) })
	}
	c.run(c.now + counterPhaseSeconds)
	measured := c.measureTraffic(counterPhaseSeconds)
	c.row.BytesPerSecond = measured.meanBytes - baseline.meanBytes
	c.row.MaxBytesPerSecond = measured.maxBytes - baseline.maxBytes
	c.row.OtherBytesPerSecond = baseline.meanBytes
	c.after(0, c.checkTotals)
	for end := c.now + plan.Seconds; c.now < end; {
		c.injectFault()
		c.run(c.now + 0.3 + 1.5*c.random.Float64())
	}
	c.heal()
	c.row.Faults = c.fleetSim.row.Faults
	c.settle()
	return c.row
}

// countRequests has a node's serving loop count its requests, again and again.
func (c *counterSim) countRequests(s *node) {
	if s.alive && !s.isPaused {
		truth := c.trueCountOf(s)
		status := s.agent.CounterStatus(s.agent.Now())
		truth.unplaced = status.Unplaced
		if status.Acknowledged {
			truth.acknowledged = truth.counted
		}
		if !c.isStopped {
			s.agent.ObserveCounts(c.drawRequests(truth))
		}
		s.tick()
	}
	c.after(countInterval, func() { c.countRequests(s) })
}

// trueCountOf returns the true count of a node's present incarnation.
func (c *counterSim) trueCountOf(s *node) *trueCount {
	incarnation := s.agent.Incarnation()
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

// poisson draws a number with that mean, as the count of exponential intervals.
func (w *clock) poisson(mean float64) (n int) {
	for at := w.exponential(1); at < mean; at += w.exponential(1) {
		n++
	}
	return n
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
	for _, s := range c.nodes {
		if s.alive {
			alive[s.agent.Incarnation()] = true
		}
	}
	for number, truth := range c.trueCounts {
		high += truth.counted
		if alive[number] {
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
			c.reporter = voter
		}
	}
	if reporting <= c.plan.Voters/2 {
		c.row.VotersLost++
	} else if c.row.VotersLost == 0 {
		c.checkReporter()
	}
	c.after(checkInterval, c.checkTotals)
}

// checkReporter compares the totals of the voter that reported last with the true counts.
func (c *counterSim) checkReporter() {
	voter := c.reporter
	if voter == nil || !voter.alive || voter.isPaused {
		return
	}
	totals := voter.agent.CounterStatus(voter.agent.Now()).Totals
	low, _ := c.bounds()
	c.checks++
	// What serving loops have not handed over yet, and what is on the way, is half a second's of
	// all.
	if receivedTotal(totals.Total)+2*totals.MaxMissing+requestRate*float64(len(c.nodes)) < float64(low) {
		c.understated++
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
	c.isStopped = true
	from := c.now
	for c.now < from+settleTimeout {
		c.run(c.now + settleCheckInterval)
		isOpen := c.compareTotals()
		c.row.SettleSeconds = c.now - from
		if !isOpen && c.row.Overcount == 0 && c.row.Undercount == 0 {
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
		c.row.UnderstatedError = float64(c.understated) / float64(c.checks)
	}
}

// compareTotals compares the totals of all voters with the true counts, and reports whether a voter
// recovers or has rows of incarnations that are gone.
func (c *counterSim) compareTotals() (isOpen bool) {
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
			isOpen = true
		}
	}
	return isOpen
}
