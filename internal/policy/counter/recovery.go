package counter

import (
	"math"
	"slices"
)

const (
	// recoveryQueryIntervalSeconds is the time between the queries of a recovering aggregator.
	recoveryQueryIntervalSeconds = 0.25
	// maxRecoverySeconds is how long a recovery may take. A recovery that ends because of this
	// limit is incomplete: rows that only unavailable aggregators had may be missing.
	maxRecoverySeconds = 30.0
)

// recovery is the state of an aggregator that fetches the rows of the others after its start.
type recovery struct {
	active      bool
	beganAt     float64
	lastQueryAt float64
	lastRowID   map[string]uint64 // by aggregator: ID of the last row that it has sent
	finished    map[string]bool   // by aggregator that has sent all its rows: false if it was recovering
}

// beginRecovery starts a recovery and cancels the close round, if any.
func (a *Aggregator) beginRecovery(now float64) {
	a.recovery = recovery{
		active:      len(a.names) > 1,
		beganAt:     now,
		lastQueryAt: math.Inf(-1),
		lastRowID:   map[string]uint64{},
		finished:    map[string]bool{},
	}
	a.closeRound.rows = nil
	a.closeRound.confirmed = map[string]bool{}
}

// Recovering reports whether the aggregator may lack rows that a majority has acknowledged.
func (a *Aggregator) Recovering() bool { return a.recovery.active }

// endIncompleteRecovery ends the recovery before enough others have sent all of their rows.
func (a *Aggregator) endIncompleteRecovery() {
	a.recovery.active = false
	a.incompleteRecoveries++
}

// recoveryQueries returns the queries that are due, one for each aggregator that has not sent all
// of its rows. It ends a recovery that has lasted maxRecoverySeconds.
func (a *Aggregator) recoveryQueries(now float64) []Envelope {
	if now >= a.recovery.beganAt+maxRecoverySeconds {
		a.endIncompleteRecovery()
		return nil
	}
	if now < a.recovery.lastQueryAt+recoveryQueryIntervalSeconds {
		return nil
	}
	a.recovery.lastQueryAt = now
	a.queryNumber++
	var queries []Envelope
	for _, name := range a.otherAggregators() {
		if a.recovery.finished[name] {
			continue
		}
		query := &RowQuery{
			Number:      a.queryNumber,
			AllRows:     true,
			AfterRowID:  a.recovery.lastRowID[name],
			Aggregators: slices.Clone(a.incarnations),
		}
		queries = append(queries, Envelope{To: name, Query: query})
	}
	return queries
}

// recordRecoveryReply records which of its rows another aggregator has sent, and ends the recovery
// once enough aggregators have sent all of their rows.
func (a *Aggregator) recordRecoveryReply(from string, reply *RowQueryReply) {
	if reply.More {
		a.recovery.lastRowID[from] = reply.Rows[len(reply.Rows)-1].RowID
		return
	}
	a.recovery.finished[from] = !reply.Recovering
	complete := 0
	for _, hadAllRows := range a.recovery.finished {
		if hadAllRows {
			complete++
		}
	}
	// This number of complete aggregators includes at least one of any majority, so each row that a
	// majority had has arrived. If all other aggregators have sent the rows that they have, no more
	// rows can arrive.
	switch {
	case complete >= len(a.names)-a.majority+1:
		a.recovery.active = false
	case len(a.recovery.finished) == len(a.names)-1: // for example at the first start of a fleet
		a.endIncompleteRecovery()
	}
}
