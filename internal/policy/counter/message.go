package counter

import "swiftcourse/internal/policy/serving"

// RowReport is a server's report of its row, or an aggregator's that relays it.
type RowReport struct {
	Server       string
	Incarnation  uint64 // of the server
	RowID        uint64
	Sequence     uint64 // from 1 on
	BaseSequence uint64 // Cells has what changed after that number; 0 where it has the whole row
	// Closing is set by an aggregator that won't accept more of the row: it is to be closed, and
	// FrozenSequence is the highest number that this aggregator ever acknowledged.
	Closing        bool
	FrozenSequence uint64
	Aggregators    Incarnations          // as the sender knows them
	Cells          []serving.CounterCell // values of the row, not differences, in order
}

// RowAck is an aggregator's reply to a RowReport.
type RowAck struct {
	RowID       uint64
	Sequence    uint64 // that it has, 0 for nothing
	Closed      bool   // the row was closed under Sequence
	Aggregators Incarnations
}

// RowQuery is one aggregator's question to another: what it has of some rows that are to be closed or,
// from one that recovers, of all rows.
type RowQuery struct {
	Number      uint64
	Rows        []RowAck // to be closed, each with what the sender has
	All         bool     // all rows with IDs greater than After, instead of Rows
	After       uint64
	Aggregators Incarnations
}

// RowQueryReply has the rows of which the replying aggregator knows more than the one that asked.
type RowQueryReply struct {
	Number      uint64
	Recovering  bool // the replying one doesn't know all rows itself: what is missing here means nothing
	Rows        []RowReport
	More        bool // there are more rows after the last one
	Aggregators Incarnations
}

// Envelope is a message to the aggregator of that name: either a Report or a Query.
type Envelope struct {
	To     string
	Report *RowReport
	Query  *RowQuery
}

// Incarnations are those of the aggregators, in the order of their names, as one process knows them; of
// two incarnations of one aggregator the higher is the later. Aggregators forget when they restart: what
// two of them acknowledge makes a majority only where both knew the same incarnations, so that neither
// speaks for one that is gone.
type Incarnations []uint64

// merge takes over later incarnations.
func (known Incarnations) merge(other Incarnations) {
	if len(other) != len(known) {
		return
	}
	for i, incarnation := range other {
		known[i] = max(known[i], incarnation)
	}
}
