package simulation

import (
	"fmt"
	"strings"

	"swiftcourse/internal/policy/serving"
)

// CounterPlan is a fleet that counts what it is asked for, in simulated time: the parts of package fleet under faults by the seed, held against what each
// life really counted.
type CounterPlan struct {
	Servers int
	Voters  int
	Seconds float64 // of faults
	Seed    uint64
}

// Validate tells what is wrong with it.
func (p *CounterPlan) Validate() error {
	if p.Servers < 1 || p.Servers > 5000 || p.Voters < 1 || p.Voters > min(15, p.Servers) || p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 1 to 5000, from 1 to 15, and up to 3600", p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// CounterRow is what a run came to.
type CounterRow struct {
	Seed                uint64  `json:"seed"`
	Servers             int     `json:"servers"`
	Faults              int     `json:"faults"`
	Incarnations        int     `json:"lives"`  // that there were
	ClosedRows          int     `json:"closed"` // of them, added up by the voters
	Requests            uint64  `json:"tasks"`  // that all lives counted
	Unreported          uint64  `json:"tasks_untold"`
	Overcount           uint64  `json:"count_error_over"`  // counted though nobody did; 0
	Undercount          uint64  `json:"count_error_under"` // that most keepers had, and is not counted; 0 while most voters stand
	VotersLost          int     `json:"voters_lost"`       // moments, ten a second, at which most voters were dead or knew nothing
	Unplaced            uint64  `json:"unplaced"`          // what servers themselves knew not where to count
	UnderstatedError    float64 `json:"error_told_apart"`  // of the moments at which what was counted was short of what the report said it may lack
	SettleSeconds       float64 `json:"settled_s"`         // until all was counted, once healed
	BytesPerSecond      float64 `json:"talk_bytes_s"`      // that a server sends for it, in the mean, nothing being wrong
	MaxBytesPerSecond   float64 `json:"talk_bytes_s_most"` // the same of the one that sends most
	OtherBytesPerSecond float64 `json:"talk_bytes_s_without"`
}

// CounterColumns and Cells are those of the table.
var CounterColumns = []string{"seed", "servers", "faults", "lives", "closed", "tasks", "untold", "over", "under", "voters lost", "unplaced", "short of said", "settled s", "B/s", "most B/s", "other B/s"}

// Cells are a row's in the table.
func (r CounterRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %d %d %d %d %d %d %.3f %.1f %.0f %.0f %.0f", r.Seed, r.Servers, r.Faults, r.Incarnations, r.ClosedRows, r.Requests, r.Unreported, r.Overcount, r.Undercount,
		r.VotersLost, r.Unplaced, r.UnderstatedError, r.SettleSeconds, r.BytesPerSecond, r.MaxBytesPerSecond, r.OtherBytesPerSecond))
}

const (
	countInterval = 0.5  // seconds between two words of a loop
	requestRate   = 28.0 // tasks a second of a server
	counterCells  = 20   // that they fall on
	settleTimeout = 60.0 // seconds at most until all is counted, once healed: what is gone has to be quiet for ten, and all voters may have to learn
)

// trueCount is a life's truth.
type trueCount struct {
	counted, acknowledged uint64
	unplaced              uint64
}

type counterSim struct {
	*fleetSim
	trueCounts  map[uint64]*trueCount // by life
	isStopped   bool                  // nothing more is asked for
	row         CounterRow
	checks      int
	understated int
	reporter    *node
}

// RunCounters plays it.
func RunCounters(p *CounterPlan) CounterRow {
	versions := &RolloutPlan{Servers: p.Servers, Voters: p.Voters, Seconds: p.Seconds, Seed: p.Seed}
	c := &counterSim{fleetSim: newFleetSim(versions), trueCounts: map[uint64]*trueCount{}, row: CounterRow{Seed: p.Seed, Servers: p.Servers}}
	for _, s := range c.nodes {
		s.countersEnabled = true
		c.after(2*c.random.Float64(), s.start)
	}
	c.run(20)
	bare := c.measureTraffic(20)
	for _, s := range c.nodes {
		c.after(countInterval*c.random.Float64(), func() { c.countRequests(s) })
	}
	c.run(c.now + 20)
	with := c.measureTraffic(20)
	c.row.BytesPerSecond, c.row.MaxBytesPerSecond, c.row.OtherBytesPerSecond = with.meanBytes-bare.meanBytes, with.maxBytes-bare.maxBytes, bare.meanBytes
	c.after(0, c.checkTotals)
	for end := c.now + p.Seconds; c.now < end; {
		c.injectFault()
		c.run(c.now + 0.3 + 1.5*c.random.Float64())
	}
	c.fleetSim.heal()
	c.row.Faults = c.fleetSim.row.Faults
	c.settle()
	return c.row
}

// countRequests has a loop count what it was asked for.
func (c *counterSim) countRequests(s *node) {
	if s.alive && !s.isPaused {
		life := c.trueCounts[s.agent.Incarnation()]
		if life == nil {
			life = &trueCount{}
			c.trueCounts[s.agent.Incarnation()] = life
		}
		state := s.agent.CounterStatus(s.agent.Now())
		if life.unplaced = state.Unplaced; state.Acknowledged {
			life.acknowledged = life.counted
		}
		if !c.isStopped {
			var list []serving.CounterCell
			for range c.poisson(requestRate * countInterval) {
				life.counted++
				cell := serving.CounterKey{Tenant: "acme", Class: fmt.Sprint(c.random.IntN(counterCells))}
				list = append(list, serving.CounterCell{CounterKey: cell, RequestCounts: serving.RequestCounts{Received: 1, Finished: 1}})
			}
			s.agent.ObserveCounts(list)
		}
		s.tick()
	}
	c.after(countInterval, func() { c.countRequests(s) })
}

// poisson draws a number with that mean, as a row of exponential ones.
func (w *clock) poisson(mean float64) (n int) {
	for at := w.exponential(1); at < mean; at += w.exponential(1) {
		n++
	}
	return n
}

// Violations counts what must not be.
func (r CounterRow) Violations() (n int) {
	if r.Overcount > 0 || r.VotersLost == 0 && (r.Undercount > 0 || r.Unplaced > 0) {
		return 1
	}
	return 0
}

// bounds are what all should be counted as: no less than living servers counted and most keepers had of the dead, no more than all counted.
func (c *counterSim) bounds() (low, high uint64) {
	alive := map[uint64]bool{}
	for _, s := range c.nodes {
		if s.alive {
			alive[s.agent.Incarnation()] = true
		}
	}
	for number, life := range c.trueCounts {
		high += life.counted
		if alive[number] {
			low += life.counted
		} else {
			low += life.acknowledged
		}
	}
	return low, high
}

// checkTotals looks, ten times a second, whether most voters stand, and whether what one of them tells is as far from the truth as it says.
func (c *counterSim) checkTotals() {
	stand := 0
	for _, v := range c.nodes[:c.plan.Voters] {
		if !v.alive || v.isPaused {
			continue
		}
		if k := v.agent.CounterStatus(v.agent.Now()).Totals; k != nil && !k.Recovering {
			stand++
			c.reporter = v
		}
	}
	if stand <= c.plan.Voters/2 {
		c.row.VotersLost++
	} else if v := c.reporter; c.row.VotersLost == 0 && v != nil && v.alive && !v.isPaused {
		k := v.agent.CounterStatus(v.agent.Now()).Totals
		low, _ := c.bounds()
		c.checks++
		// What its loop has counted and not told, and what is on the way, is half a second's of all.
		if receivedTotal(k.Total)+2*k.MaxMissing+requestRate*float64(len(c.nodes)) < float64(low) {
			c.understated++
		}
	}
	c.after(0.1, c.checkTotals)
}

func receivedTotal(list []serving.CounterCell) (n float64) {
	for _, one := range list {
		n += float64(one.Received)
	}
	return n
}

// settle waits until all is counted, and holds it against the truth.
func (c *counterSim) settle() {
	c.isStopped = true
	from := c.now
	for c.now < from+settleTimeout {
		c.run(c.now + 0.5)
		low, high := c.bounds()
		c.row.Overcount, c.row.Undercount, c.row.ClosedRows = 0, 0, 0
		open := false
		for _, v := range c.nodes[:c.plan.Voters] {
			k := v.agent.CounterStatus(v.agent.Now()).Totals
			got := uint64(receivedTotal(k.Total))
			c.row.Overcount = max(c.row.Overcount, got-min(got, high))
			c.row.Undercount = max(c.row.Undercount, low-min(got, low))
			c.row.ClosedRows = len(v.agent.ReleaseLog().ClosedRows)
			open = open || k.OpenRows > len(c.nodes) || k.Recovering
		}
		if c.row.SettleSeconds = c.now - from; !open && c.row.Overcount == 0 && c.row.Undercount == 0 {
			break
		}
	}
	for _, life := range c.trueCounts {
		c.row.Requests += life.counted
		c.row.Unplaced += life.unplaced
	}
	low, high := c.bounds()
	c.row.Incarnations, c.row.Unreported = len(c.trueCounts), high-low
	if c.checks > 0 {
		c.row.UnderstatedError = float64(c.understated) / float64(c.checks)
	}
}
