package counter

import (
	"math"
	"slices"
)

const (
	// recoveryQueryInterval is how often a recovering aggregator asks the others, in seconds.
	recoveryQueryInterval = 0.25
	// maxRecoverySeconds is after how long it counts as recovered in any case: what was only known to
	// aggregators that are gone is lost, which IncompleteRecoveries shows.
	maxRecoverySeconds = 30.0
)

// recovery is how an aggregator that has just started learns the rows that the others have.
type recovery struct {
	active    bool
	began     float64
	lastQuery float64
	lastRow   map[string]uint64 // ID of the last row that each other one has sent
	finished  map[string]bool   // those that have sent all; true for those that weren't recovering themselves
}

// beginRecovery has the aggregator learn anew which rows there are.
func (a *Aggregator) beginRecovery(now float64) {
	a.recovery = recovery{
		active:    len(a.names) > 1,
		began:     now,
		lastQuery: math.Inf(-1),
		lastRow:   map[string]uint64{},
		finished:  map[string]bool{},
	}
	a.closing.rows = nil
	a.closing.confirmed = map[string]bool{}
}

// Recovering reports whether it may lack rows that a majority had.
func (a *Aggregator) Recovering() bool { return a.recovery.active }

// endIncompleteRecovery has it count as recovered without having heard enough others.
func (a *Aggregator) endIncompleteRecovery() {
	a.recovery.active = false
	a.incompleteRecoveries++
}

// recoveryQueries returns the queries that are due to aggregators that haven't sent all of their rows.
func (a *Aggregator) recoveryQueries(now float64) []Envelope {
	if now >= a.recovery.began+maxRecoverySeconds {
		a.endIncompleteRecovery()
		return nil
	}
	if now < a.recovery.lastQuery+recoveryQueryInterval {
		return nil
	}
	a.recovery.lastQuery = now
	a.queryNumber++
	var queries []Envelope
	for _, name := range a.otherAggregators() {
		if a.recovery.finished[name] {
			continue
		}
		query := &RowQuery{
			Number:      a.queryNumber,
			All:         true,
			After:       a.recovery.lastRow[name],
			Aggregators: slices.Clone(a.known),
		}
		queries = append(queries, Envelope{To: name, Query: query})
	}
	return queries
}

// noteRecovered notes how far another aggregator has sent what it has, and ends the recovery once enough
// of them have sent all.
func (a *Aggregator) noteRecovered(from string, reply *RowQueryReply) {
	if reply.More {
		a.recovery.lastRow[from] = reply.Rows[len(reply.Rows)-1].RowID
		return
	}
	a.recovery.finished[from] = !reply.Recovering
	complete := 0
	for _, knewAll := range a.recovery.finished {
		if knewAll {
			complete++
		}
	}
	// Each row that a majority had is at one at least of these. Where all others have sent what they have
	// there is no more.
	switch {
	case complete >= len(a.names)-a.majority+1:
		a.recovery.active = false
	case len(a.recovery.finished) == len(a.names)-1: // as at a fleet's first start
		a.endIncompleteRecovery()
	}
}
