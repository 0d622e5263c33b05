package counter

import "swiftcourse/internal/policy/serving"

// RowReport is the content of a row, sent by its server or relayed by an aggregator.
type RowReport struct {
	Server       string
	Incarnation  uint64 // incarnation of the server
	RowID        uint64
	Sequence     uint64 // starts at 1
	BaseSequence uint64 // Cells has the cells that changed after this number; all cells if it is 0
	// Frozen is set by an aggregator that has frozen the row in order to close it, and acknowledges
	// no higher number of it. FrozenSequence is then the highest number that this aggregator has
	// ever acknowledged.
	Frozen         bool
	FrozenSequence uint64
	Aggregators    Incarnations          // incarnations that the sender knows
	Cells          []serving.CounterCell // values, not differences; sorted by key
}

// RowAck is an aggregator's reply to a RowReport.
type RowAck struct {
	RowID       uint64
	Sequence    uint64 // the sequence number that the aggregator has, 0 for none
	Closed      bool   // the row was closed under Sequence
	Aggregators Incarnations
}

// RowQuery asks another aggregator for its copies of some rows that are to be closed or, if the
// sender is recovering, of all rows.
type RowQuery struct {
	Number      uint64
	Rows        []RowAck // rows to be closed, each with the sequence number that the sender has
	AllRows     bool     // asks for all rows with IDs greater than AfterRowID, instead of Rows
	AfterRowID  uint64
	Aggregators Incarnations
}

// RowQueryReply is the reply to the RowQuery with the same number. It has the rows of which the
// replying aggregator has a higher sequence number than the aggregator that sent the query.
type RowQueryReply struct {
	Number      uint64
	Recovering  bool // the replying aggregator may lack rows, so a row missing from Rows may exist
	Rows        []RowReport
	More        bool // further rows follow the last one in Rows
	Aggregators Incarnations
}

// Envelope is a message to the aggregator with the name To: either a Report or a Query.
type Envelope struct {
	To     string
	Report *RowReport
	Query  *RowQuery
}

// Incarnations are the aggregators' incarnations that one process knows, in the order of the
// aggregators' names. A higher incarnation of an aggregator is a later one. An aggregator loses its
// rows when it restarts. Acknowledgements therefore add up to a majority only if they carry the
// same incarnations, so that none of them comes from an aggregator that has restarted since.
type Incarnations []uint64

// merge raises each incarnation to that in other if that is later. It ignores other if it has a
// different number of aggregators.
func (known Incarnations) merge(other Incarnations) {
	if len(other) != len(known) {
		return
	}
	for i, incarnation := range other {
		known[i] = max(known[i], incarnation)
	}
}
