package peers

import (
	"errors"
	"math"
	"strconv"
	"time"

	"swiftcourse/internal/judge/shared/counts"
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/judge/version"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in counting what the whole fleet was asked for: what its loop counted goes to the keepers, who are the voters; one of
// them holds others' rows, and the voter that leads has the rows of those closed who are gone.

// counting is the part's state of it.
type counting struct {
	teller *counts.Reporter
	keeper *counts.Aggregator // nil where this is no voter
	over   map[uint64]uint64
	count  uint64 // of the order from which over was made
	said   bool   // the log was told that it may lack something
}

// maxTallies lists of the loop wait for the goroutine. It keeps what finds no room, and tells it with the next.
const maxTallies = 4

// Tallied takes what the serving loop counted, from any goroutine; false where it has to be told again.
func (f *Peers) Tallied(list []stance.CounterCell) bool {
	select {
	case f.tallies <- list:
		return true
	default:
		return false
	}
}

// beginCounts begins a row of this life. What the one before of this process told is its own.
func (f *Part) beginCounts(now float64) {
	if !f.Counts {
		return
	}
	c := &counting{teller: counts.NewReporter(f.Name, f.life, f.voters, now), over: map[uint64]uint64{}, count: math.MaxUint64}
	f.counts = c
	if f.voter != nil {
		sit := uint64(max(0, f.Unix()*1000))<<16 | f.life>>48
		c.keeper = counts.NewAggregator(f.Name, f.voters, sit, func(row uint64) (uint64, bool) {
			f.indexClosed()
			number, over := c.over[row]
			return number, over
		}, now)
	}
}

// indexClosed keeps the closed rows of the order where they are found at once.
func (f *Part) indexClosed() {
	if c := f.counts; c.count != f.order.AppliedCount {
		c.count = f.order.AppliedCount
		clear(c.over)
		for _, r := range f.order.ClosedRows {
			c.over[r.ID] = r.Sequence
		}
	}
}

// HeedTallies takes what the loop counted.
func (f *Part) HeedTallies(list []stance.CounterCell) {
	if c := f.counts; c != nil {
		c.teller.Add(list)
	}
}

func (f *Part) dueCounts(now float64) {
	c := f.counts
	if c == nil {
		return
	}
	if c.teller.NextWakeup() <= now {
		f.mailCounts(now, c.teller.DueReports(now))
	}
	if k := c.keeper; k != nil && k.NextWakeup() <= now {
		letters, ripe := k.Maintain(now, f.ledger != nil && f.confirmed(now), func(name string, life uint64) bool { return f.order.Members[name] != life })
		f.mailCounts(now, letters)
		f.closeRows(ripe)
		if k.IncompleteRecoveries() > 0 && !c.said {
			c.said = true
			f.Say("fleet_counts", "holes", k.IncompleteRecoveries(), "why", "too few keepers that knew all were there when this one began")
		}
	}
}

func (f *Part) mailCounts(now float64, list []counts.Envelope) {
	for _, l := range list {
		m := &wire.Message{Row: l.Report, AskRows: l.Query, From: f.Name, Life: f.life}
		if l.To == f.Name {
			f.takeCounts(now, m)
		} else {
			f.send(f.Voters[l.To], m)
		}
	}
}

// closeRows has the voters add rows up that are over. A command that is lost is asked for again.
func (f *Part) closeRows(ripe []counts.RowReport) {
	if len(ripe) == 0 || f.ledger == nil {
		return
	}
	c := version.Command{Kind: version.KindCloseCounters, Author: "leader"}
	for _, t := range ripe {
		c.CounterRows = append(c.CounterRows, version.CounterRow{ID: t.RowID, Sequence: t.Sequence, Cells: t.Cells})
	}
	f.propose([]version.Command{c})
}

// takeCounts takes a row, or what keepers say to one another.
func (f *Part) takeCounts(now float64, m *wire.Message) {
	c := f.counts
	if c == nil {
		return
	}
	answer := func(a *wire.Message) {
		if m.From == f.Name && m.Life == f.life {
			a.From, a.Life = f.Name, f.life
			f.takeCounts(now, a)
			return
		}
		f.reply(m, a)
	}
	switch {
	case m.RowHeard != nil:
		c.teller.HandleAck(now, m.From, m.RowHeard)
	case c.keeper == nil:
	case m.Row != nil:
		h := c.keeper.HandleReport(now, m.Row)
		answer(&wire.Message{RowHeard: &h})
	case m.AskRows != nil:
		answer(&wire.Message{Rows: c.keeper.HandleQuery(now, m.AskRows)})
	case m.Rows != nil:
		f.closeRows(c.keeper.HandleQueryReply(now, m.From, m.Rows))
	}
}

func (f *Part) nextCounts() float64 {
	c := f.counts
	if c == nil {
		return math.Inf(1)
	}
	next := c.teller.NextWakeup()
	if c.keeper != nil {
		next = min(next, c.keeper.NextWakeup())
	}
	return next
}

// CountsState is what a server knows of the fleet's counts.
type CountsState struct {
	Name     string
	Keepers  []string             `json:"Keepers"` // who know what all counted
	Life     string               `json:"Life"`    // of this process
	Here     []stance.CounterCell `json:"Here"`    // what it counted that is not closed
	Agreed   bool                 `json:"Agreed"`  // most keepers have all of that
	Unplaced uint64
	Known    *counts.Summary `json:"Known"` // nil where it is no keeper
}

// Counted tells what is known here of the fleet's counts.
func (f *Part) Counted(now float64) *CountsState {
	c := f.counts
	if c == nil {
		return nil
	}
	s := &CountsState{Name: f.Name, Keepers: f.voters, Life: strconv.FormatUint(f.life, 16), Unplaced: c.teller.Unaccounted}
	s.Here, s.Agreed = c.teller.CurrentRow()
	if c.keeper != nil {
		s.Known = c.keeper.Summary(now, f.order.ClosedTotals)
	}
	return s
}

// CountsState tells it from any goroutine.
func (f *Peers) CountsState() (*CountsState, error) {
	done := make(chan *CountsState, 1)
	if err := f.do(func(now float64) { done <- f.Counted(now) }); err != nil {
		return nil, err
	}
	select {
	case s := <-done:
		if s == nil {
			return nil, errors.New("nothing is counted: fleet-counts is off")
		}
		return s, nil
	case <-time.After(2 * time.Second):
		return nil, errors.New("the fleet's part of this server is down")
	}
}
