package simulation

import (
	"fmt"
	"strings"

	"swiftcourse/internal/policy/serving"
)

// Counts is a fleet that counts what it is asked for, in simulated time: the parts of package fleet under faults by the seed, held against what each
// life really counted.
type Counts struct {
	Servers int
	Voters  int
	Seconds float64 // of faults
	Seed    uint64
}

// Check tells what is wrong with it.
func (p *Counts) Check() error {
	if p.Servers < 1 || p.Servers > 5000 || p.Voters < 1 || p.Voters > min(15, p.Servers) || p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 1 to 5000, from 1 to 15, and up to 3600", p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// CountsRow is what a run came to.
type CountsRow struct {
	Seed      uint64  `json:"seed"`
	Servers   int     `json:"servers"`
	Faults    int     `json:"faults"`
	Lives     int     `json:"lives"`  // that there were
	Closed    int     `json:"closed"` // of them, added up by the voters
	Tasks     uint64  `json:"tasks"`  // that all lives counted
	Dead      uint64  `json:"tasks_untold"`
	Over      uint64  `json:"count_error_over"`  // counted though nobody did; 0
	Under     uint64  `json:"count_error_under"` // that most keepers had, and is not counted; 0 while most voters stand
	Lost      int     `json:"voters_lost"`       // moments, ten a second, at which most voters were dead or knew nothing
	Unplaced  uint64  `json:"unplaced"`          // what servers themselves knew not where to count
	Silent    float64 `json:"error_told_apart"`  // of the moments at which what was counted was short of what the report said it may lack
	SettledIn float64 `json:"settled_s"`         // until all was counted, once healed
	Bytes     float64 `json:"talk_bytes_s"`      // that a server sends for it, in the mean, nothing being wrong
	Most      float64 `json:"talk_bytes_s_most"` // the same of the one that sends most
	Bare      float64 `json:"talk_bytes_s_without"`
}

// CountsHeads and Cells are those of the table.
var CountsHeads = []string{"seed", "servers", "faults", "lives", "closed", "tasks", "untold", "over", "under", "voters lost", "unplaced", "short of said", "settled s", "B/s", "most B/s", "other B/s"}

// Cells are a row's in the table.
func (r CountsRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %d %d %d %d %d %d %.3f %.1f %.0f %.0f %.0f", r.Seed, r.Servers, r.Faults, r.Lives, r.Closed, r.Tasks, r.Dead, r.Over, r.Under,
		r.Lost, r.Unplaced, r.Silent, r.SettledIn, r.Bytes, r.Most, r.Bare))
}

const (
	countEvery   = 0.5  // seconds between two words of a loop
	countedRate  = 28.0 // tasks a second of a server
	countedCells = 20   // that they fall on
	countsRest   = 60.0 // seconds at most until all is counted, once healed: what is gone has to be quiet for ten, and all voters may have to learn
)

// counted is a life's truth.
type counted struct {
	truth, sure uint64
	unplaced    uint64
}

type tallying struct {
	*talks
	lives    map[uint64]*counted // by life
	quiet    bool                // nothing more is asked for
	row      CountsRow
	looks    int
	short    int
	reporter *talker
}

// RunCounts plays it.
func RunCounts(p *Counts) CountsRow {
	versions := &Versions{Servers: p.Servers, Voters: p.Voters, Seconds: p.Seconds, Seed: p.Seed}
	c := &tallying{talks: newTalks(versions), lives: map[uint64]*counted{}, row: CountsRow{Seed: p.Seed, Servers: p.Servers}}
	for _, s := range c.servers {
		s.counts = true
		c.after(2*c.chance.Float64(), s.start)
	}
	c.run(20)
	bare := c.talk(20)
	for _, s := range c.servers {
		c.after(countEvery*c.chance.Float64(), func() { c.ask(s) })
	}
	c.run(c.now + 20)
	with := c.talk(20)
	c.row.Bytes, c.row.Most, c.row.Bare = with.mean-bare.mean, with.most-bare.most, bare.mean
	c.after(0, c.watch)
	for end := c.now + p.Seconds; c.now < end; {
		c.stir()
		c.run(c.now + 0.3 + 1.5*c.chance.Float64())
	}
	c.talks.heal()
	c.row.Faults = c.talks.row.Faults
	c.rest()
	return c.row
}

// talk is what servers sent in a while, a second.
type talk struct{ mean, most, messages float64 }

// talk measures what a while of it sends.
func (t *talks) talk(seconds float64) (of talk) {
	sent, bytes := t.sums()
	t.run(t.now + seconds)
	sent2, bytes2 := t.sums()
	for i := range sent {
		of.mean += (bytes2[i] - bytes[i]) / seconds / float64(len(sent))
		of.most = max(of.most, (bytes2[i]-bytes[i])/seconds)
		of.messages += (sent2[i] - sent[i]) / seconds
	}
	return of
}

// ask has a loop count what it was asked for.
func (c *tallying) ask(s *talker) {
	if s.alive && !s.asleep {
		life := c.lives[s.part.Incarnation()]
		if life == nil {
			life = &counted{}
			c.lives[s.part.Incarnation()] = life
		}
		state := s.part.CounterStatus(s.part.Now())
		if life.unplaced = state.Unplaced; state.Acknowledged {
			life.sure = life.truth
		}
		if !c.quiet {
			var list []serving.CounterCell
			for range c.poisson(countedRate * countEvery) {
				life.truth++
				cell := serving.CounterKey{Tenant: "acme", Class: fmt.Sprint(c.chance.IntN(countedCells))}
				list = append(list, serving.CounterCell{CounterKey: cell, RequestCounts: serving.RequestCounts{Received: 1, Finished: 1}})
			}
			s.part.ObserveCounts(list)
		}
		s.turn()
	}
	c.after(countEvery, func() { c.ask(s) })
}

// poisson draws a number with that mean, as a row of exponential ones.
func (w *world) poisson(mean float64) (n int) {
	for at := w.exponential(1); at < mean; at += w.exponential(1) {
		n++
	}
	return n
}

// Bad counts what must not be.
func (r CountsRow) Bad() (n int) {
	if r.Over > 0 || r.Lost == 0 && (r.Under > 0 || r.Unplaced > 0) {
		return 1
	}
	return 0
}

// bounds are what all should be counted as: no less than living servers counted and most keepers had of the dead, no more than all counted.
func (c *tallying) bounds() (low, high uint64) {
	alive := map[uint64]bool{}
	for _, s := range c.servers {
		if s.alive {
			alive[s.part.Incarnation()] = true
		}
	}
	for number, life := range c.lives {
		high += life.truth
		if alive[number] {
			low += life.truth
		} else {
			low += life.sure
		}
	}
	return low, high
}

// watch looks, ten times a second, whether most voters stand, and whether what one of them tells is as far from the truth as it says.
func (c *tallying) watch() {
	stand := 0
	for _, v := range c.servers[:c.plan.Voters] {
		if !v.alive || v.asleep {
			continue
		}
		if k := v.part.CounterStatus(v.part.Now()).Totals; k != nil && !k.Recovering {
			stand++
			c.reporter = v
		}
	}
	if stand <= c.plan.Voters/2 {
		c.row.Lost++
	} else if v := c.reporter; c.row.Lost == 0 && v != nil && v.alive && !v.asleep {
		k := v.part.CounterStatus(v.part.Now()).Totals
		low, _ := c.bounds()
		c.looks++
		// What its loop has counted and not told, and what is on the way, is half a second's of all.
		if sum(k.Total)+2*k.MaxMissing+countedRate*float64(len(c.servers)) < float64(low) {
			c.short++
		}
	}
	c.after(0.1, c.watch)
}

func sum(list []serving.CounterCell) (n float64) {
	for _, one := range list {
		n += float64(one.Received)
	}
	return n
}

// rest waits until all is counted, and holds it against the truth.
func (c *tallying) rest() {
	c.quiet = true
	from := c.now
	for c.now < from+countsRest {
		c.run(c.now + 0.5)
		low, high := c.bounds()
		c.row.Over, c.row.Under, c.row.Closed = 0, 0, 0
		open := false
		for _, v := range c.servers[:c.plan.Voters] {
			k := v.part.CounterStatus(v.part.Now()).Totals
			got := uint64(sum(k.Total))
			c.row.Over = max(c.row.Over, got-min(got, high))
			c.row.Under = max(c.row.Under, low-min(got, low))
			c.row.Closed = len(v.part.ReleaseLog().ClosedRows)
			open = open || k.OpenRows > len(c.servers) || k.Recovering
		}
		if c.row.SettledIn = c.now - from; !open && c.row.Over == 0 && c.row.Under == 0 {
			break
		}
	}
	for _, life := range c.lives {
		c.row.Tasks += life.truth
		c.row.Unplaced += life.unplaced
	}
	low, high := c.bounds()
	c.row.Lives, c.row.Dead = len(c.lives), high-low
	if c.looks > 0 {
		c.row.Silent = float64(c.short) / float64(c.looks)
	}
}
