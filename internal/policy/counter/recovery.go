package counter

import (
	"math"
	"slices"
)

const (
	// recoveryQueryInterval is how often a recovering aggregator asks the others, in seconds.
	recoveryQueryInterval = 0.25
	// maxRecoverySeconds is how long a recovery may take. One that ends by it is incomplete: rows known only
	// to aggregators that are gone are lost.
	maxRecoverySeconds = 30.0
)

// recovery is the state of an aggregator that learns the rows of the others after its start.
type recovery struct {
	active    bool
	began     float64
	lastQuery float64
	lastRow   map[string]uint64 // by aggregator: ID of the last row that it has sent
	finished  map[string]bool   // aggregators that have sent all of their rows; false if they were recovering
}

// beginRecovery starts a recovery and abandons a close round.
func (a *Aggregator) beginRecovery(now float64) {
	a.recovery = recovery{
		active:    len(a.names) > 1,
		began:     now,
		lastQuery: math.Inf(-1),
		lastRow:   map[string]uint64{},
		finished:  map[string]bool{},
	}
	a.closeRound.rows = nil
	a.closeRound.confirmed = map[string]bool{}
}

// Recovering reports whether the aggregator may lack rows that a majority had.
func (a *Aggregator) Recovering() bool { return a.recovery.active }

// endIncompleteRecovery ends the recovery before enough others have sent all of their rows.
func (a *Aggregator) endIncompleteRecovery() {
	a.recovery.active = false
	a.incompleteRecoveries++
}

// recoveryQueries returns the queries that are due to the aggregators that have not sent all of
// their rows, and ends a recovery that has taken too long.
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
			Aggregators: slices.Clone(a.incarnations),
		}
		queries = append(queries, Envelope{To: name, Query: query})
	}
	return queries
}

// recordRecoveryReply records how much of its rows another aggregator has sent, and ends the recovery once
// enough of them have sent all.
func (a *Aggregator) recordRecoveryReply(from string, reply *RowQueryReply) {
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
	// Each row that a majority had is at one at least of the complete ones. If all others have sent what they
	// have, there is nothing more to wait for.
	switch {
	case complete >= len(a.names)-a.majority+1:
		a.recovery.active = false
	case len(a.recovery.finished) == len(a.names)-1: // as at a fleet's first start
		a.endIncompleteRecovery()
	}
}
