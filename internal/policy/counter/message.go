package counter

import "swiftcourse/internal/policy/serving"

// RowReport is a row as its server reports it or as an aggregator relays it.
type RowReport struct {
	Server       string
	Incarnation  uint64 // of the server
	RowID        uint64
	Sequence     uint64 // from 1 on
	BaseSequence uint64 // Cells has what changed after that number; all of the row if it is 0
	// Closing is set by an aggregator that accepts no more reports of the row, which is to be closed.
	// FrozenSequence is then the highest number that this aggregator ever acknowledged.
	Frozen         bool
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

// RowQuery asks another aggregator what it has of some rows that are to be closed or, when the
// sender recovers, of all rows.
type RowQuery struct {
	Number      uint64
	Rows        []RowAck // to be closed, each with what the sender has
	All         bool     // all rows with IDs greater than After, instead of Rows
	After       uint64
	Aggregators Incarnations
}

// RowQueryReply answers the RowQuery with the same number. It has the rows of which its sender
// knows more than the aggregator that asked.
type RowQueryReply struct {
	Number      uint64
	Recovering  bool // the sender may lack rows itself, so a row that is missing here may still exist
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

// Incarnations are those of the aggregators, in the order of their names, as one process knows
// them; of two incarnations of one aggregator the higher is the later. Aggregators forget when they
// restart: acknowledgements add up to a majority only if they carry the same incarnations, so that
// none comes from one that is over.
type Incarnations []uint64

// merge updates the incarnations to the later ones of other. It ignores other if the number of aggregators
// differs.
func (known Incarnations) merge(other Incarnations) {
	if len(other) != len(known) {
		return
	}
	for i, incarnation := range other {
		known[i] = max(known[i], incarnation)
	}
}
