package fleet

import (
	"errors"
	"math"
	"strconv"
	"time"

	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in counting what the whole fleet was asked for: what its loop counted goes to the keepers, who are the voters; one of
// them holds others' rows, and the voter that leads has the rows of those closed who are gone.

// counterState is the part's state of it.
type counterState struct {
	reporter   *counter.Reporter
	aggregator *counter.Aggregator // nil where this is no voter
	closedRows map[uint64]uint64
	indexedAt  uint64 // of the order from which over was made
	gapLogged  bool   // the log was told that it may lack something
}

// maxCountLists lists of the loop wait for the goroutine. It keeps what finds no room, and tells it with the next.
const maxCountLists = 4

// ReportCounts takes what the serving loop counted, from any goroutine; false where it has to be told again.
func (f *Node) ReportCounts(list []serving.CounterCell) bool {
	select {
	case f.requestCounts <- list:
		return true
	default:
		return false
	}
}

// beginCounts begins a row of this life. What the one before of this process told is its own.
func (f *Agent) beginCounts(now float64) {
	if !f.CountersEnabled {
		return
	}
	c := &counterState{reporter: counter.NewReporter(f.Name, f.incarnation, f.voterNames, now), closedRows: map[uint64]uint64{}, indexedAt: math.MaxUint64}
	f.counters = c
	if f.voter != nil {
		sit := uint64(max(0, f.UnixNow()*1000))<<16 | f.incarnation>>48
		c.aggregator = counter.NewAggregator(f.Name, f.voterNames, sit, func(row uint64) (uint64, bool) {
			f.indexClosed()
			number, over := c.closedRows[row]
			return number, over
		}, now)
	}
}

// indexClosed keeps the closed rows of the order where they are found at once.
func (f *Agent) indexClosed() {
	if c := f.counters; c.indexedAt != f.releaseLog.AppliedCount {
		c.indexedAt = f.releaseLog.AppliedCount
		clear(c.closedRows)
		for _, r := range f.releaseLog.ClosedRows {
			c.closedRows[r.ID] = r.Sequence
		}
	}
}

// ObserveCounts takes what the loop counted.
func (f *Agent) ObserveCounts(list []serving.CounterCell) {
	if c := f.counters; c != nil {
		c.reporter.Add(list)
	}
}

func (f *Agent) dueCounts(now float64) {
	c := f.counters
	if c == nil {
		return
	}
	if c.reporter.NextWakeup() <= now {
		f.mailCounts(now, c.reporter.DueReports(now))
	}
	if k := c.aggregator; k != nil && k.NextWakeup() <= now {
		letters, ripe := k.Maintain(now, f.leaseTable != nil && f.confirmed(now), func(name string, life uint64) bool { return f.releaseLog.Members[name] != life })
		f.mailCounts(now, letters)
		f.closeRows(ripe)
		if k.IncompleteRecoveries() > 0 && !c.gapLogged {
			c.gapLogged = true
			f.Log("fleet_counts", "holes", k.IncompleteRecoveries(), "why", "too few keepers that knew all were there when this one began")
		}
	}
}

func (f *Agent) mailCounts(now float64, list []counter.Envelope) {
	for _, l := range list {
		m := &wire.Envelope{CounterReport: l.Report, CounterSyncRequest: l.Query, From: f.Name, Incarnation: f.incarnation}
		if l.To == f.Name {
			f.takeCounts(now, m)
		} else {
			f.send(f.Voters[l.To], m)
		}
	}
}

// closeRows has the voters add rows up that are over. A command that is lost is asked for again.
func (f *Agent) closeRows(ripe []counter.RowReport) {
	if len(ripe) == 0 || f.leaseTable == nil {
		return
	}
	c := release.Command{Kind: release.KindCloseCounters, Author: "leader"}
	for _, t := range ripe {
		c.CounterRows = append(c.CounterRows, release.CounterRow{ID: t.RowID, Sequence: t.Sequence, Cells: t.Cells})
	}
	f.propose([]release.Command{c})
}

// takeCounts takes a row, or what keepers say to one another.
func (f *Agent) takeCounts(now float64, m *wire.Envelope) {
	c := f.counters
	if c == nil {
		return
	}
	answer := func(a *wire.Envelope) {
		if m.From == f.Name && m.Incarnation == f.incarnation {
			a.From, a.Incarnation = f.Name, f.incarnation
			f.takeCounts(now, a)
			return
		}
		f.reply(m, a)
	}
	switch {
	case m.CounterAck != nil:
		c.reporter.HandleAck(now, m.From, m.CounterAck)
	case c.aggregator == nil:
	case m.CounterReport != nil:
		h := c.aggregator.HandleReport(now, m.CounterReport)
		answer(&wire.Envelope{CounterAck: &h})
	case m.CounterSyncRequest != nil:
		answer(&wire.Envelope{CounterSyncReply: c.aggregator.HandleQuery(now, m.CounterSyncRequest)})
	case m.CounterSyncReply != nil:
		f.closeRows(c.aggregator.HandleQueryReply(now, m.From, m.CounterSyncReply))
	}
}

func (f *Agent) nextCounts() float64 {
	c := f.counters
	if c == nil {
		return math.Inf(1)
	}
	next := c.reporter.NextWakeup()
	if c.aggregator != nil {
		next = min(next, c.aggregator.NextWakeup())
	}
	return next
}

// CounterStatus is what a server knows of the fleet's counts.
type CounterStatus struct {
	Name         string
	Aggregators  []string              `json:"Keepers"` // who know what all counted
	Incarnation  string                `json:"Life"`    // of this process
	Unreported   []serving.CounterCell `json:"Here"`    // what it counted that is not closed
	Acknowledged bool                  `json:"Agreed"`  // most keepers have all of that
	Unplaced     uint64
	Totals       *counter.Summary `json:"Known"` // nil where it is no keeper
}

// CounterStatus tells what is known here of the fleet's counts.
func (f *Agent) CounterStatus(now float64) *CounterStatus {
	c := f.counters
	if c == nil {
		return nil
	}
	s := &CounterStatus{Name: f.Name, Aggregators: f.voterNames, Incarnation: strconv.FormatUint(f.incarnation, 16), Unplaced: c.reporter.Unaccounted}
	s.Unreported, s.Acknowledged = c.reporter.CurrentRow()
	if c.aggregator != nil {
		s.Totals = c.aggregator.Summary(now, f.releaseLog.ClosedTotals)
	}
	return s
}

// QueryCounters tells it from any goroutine.
func (f *Node) QueryCounters() (*CounterStatus, error) {
	done := make(chan *CounterStatus, 1)
	if err := f.call(func(now float64) { done <- f.CounterStatus(now) }); err != nil {
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
