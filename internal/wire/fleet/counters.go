package fleet

import (
	"errors"

	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

func encodeCounts(cells []serving.CounterCell) (encoded []*Count) {
	for _, cell := range cells {
		encoded = append(encoded, &Count{
			Tenant:    cell.Tenant,
			Stage:     cell.Class,
			Asked:     cell.Received,
			Finished:  cell.Finished,
			Rejected:  cell.Rejected,
			Abandoned: cell.Abandoned,
		})
	}
	return encoded
}

// decodeCounts decodes cells, and rejects a list that is not sorted by key or repeats one.
func decodeCounts(encoded []*Count) (cells []serving.CounterCell, err error) {
	if len(encoded) > maxMapEntries+1 {
		return nil, ErrTooLarge
	}
	for i, encodedCell := range encoded {
		cell := decodeCounterCell(encodedCell)
		if err := checkNames(cell.Tenant, cell.Class); err != nil {
			return nil, err
		}
		if i > 0 && cells[i-1].Compare(cell.CounterKey) >= 0 {
			return nil, ErrOutOfRange
		}
		cells = append(cells, cell)
	}
	return cells, nil
}

func decodeCounterCell(encoded *Count) serving.CounterCell {
	return serving.CounterCell{
		CounterKey: serving.CounterKey{Tenant: encoded.GetTenant(), Class: encoded.GetStage()},
		RequestCounts: serving.RequestCounts{
			Received:  encoded.GetAsked(),
			Finished:  encoded.GetFinished(),
			Rejected:  encoded.GetRejected(),
			Abandoned: encoded.GetAbandoned(),
		},
	}
}

func encodeCounterReport(m *Envelope) (isPacket_Body, error) {
	return &Packet_Row{encodeCounterRow(m.CounterReport)}, nil
}

func encodeCounterRow(row *counter.RowReport) *Row {
	return &Row{
		Name:   row.Server,
		Life:   row.Incarnation,
		Row:    row.RowID,
		Number: row.Sequence,
		Base:   row.BaseSequence,
		Closes: row.Frozen,
		Stands: row.FrozenSequence,
		Cells:  encodeCounts(row.Cells),
		Sits:   row.Aggregators,
	}
}

func decodeCounterRow(encoded *Row) (*counter.RowReport, error) {
	row := &counter.RowReport{
		Server:         encoded.GetName(),
		Incarnation:    encoded.GetLife(),
		RowID:          encoded.GetRow(),
		Sequence:       encoded.GetNumber(),
		BaseSequence:   encoded.GetBase(),
		Frozen:         encoded.GetCloses(),
		FrozenSequence: encoded.GetStands(),
		Aggregators:    encoded.GetSits(),
	}
	if err := errors.Join(checkNames(row.Server), checkAggregatorCount(row.Aggregators)); err != nil {
		return nil, err
	}
	var err error
	if row.Cells, err = decodeCounts(encoded.GetCells()); err != nil {
		return nil, err
	}
	if row.BaseSequence > row.Sequence || row.FrozenSequence > row.Sequence {
		return nil, ErrOutOfRange
	}
	return row, nil
}

// encodeClosedRows encodes closed rows, which the release log and its commands carry.
func encodeClosedRows(rows []release.CounterRow) (encoded []*Row) {
	for _, row := range rows {
		encoded = append(encoded, &Row{Row: row.ID, Number: row.Sequence, Cells: encodeCounts(row.Cells)})
	}
	return encoded
}

func decodeClosedRows(encoded []*Row) (rows []release.CounterRow, err error) {
	if len(encoded) > maxMapEntries {
		return nil, ErrTooLarge
	}
	for _, encodedRow := range encoded {
		row, err := decodeCounterRow(encodedRow)
		if err != nil {
			return nil, err
		}
		rows = append(rows, release.CounterRow{ID: row.RowID, Sequence: row.Sequence, Cells: row.Cells})
	}
	return rows, nil
}

func encodeCounterAckBody(m *Envelope) (isPacket_Body, error) {
	return &Packet_RowHeard{encodeCounterAck(*m.CounterAck)}, nil
}

func decodeCounterAckBody(encoded *RowHeard) (*counter.RowAck, error) {
	ack := decodeCounterAck(encoded)
	return &ack, checkAggregatorCount(ack.Aggregators)
}

func encodeCounterAck(a counter.RowAck) *RowHeard {
	return &RowHeard{Row: a.RowID, Number: a.Sequence, Over: a.Closed, Sits: a.Aggregators}
}

func decodeCounterAck(encoded *RowHeard) counter.RowAck {
	return counter.RowAck{
		RowID:       encoded.GetRow(),
		Sequence:    encoded.GetNumber(),
		Closed:      encoded.GetOver(),
		Aggregators: encoded.GetSits(),
	}
}

// checkAggregatorCount checks that a list of aggregators' incarnations is within its bound.
func checkAggregatorCount(aggregators counter.Incarnations) error {
	if len(aggregators) > maxListEntries {
		return ErrTooLarge
	}
	return nil
}

func encodeCounterSyncRequest(m *Envelope) (isPacket_Body, error) {
	query := m.CounterSyncRequest
	encoded := &AskRows{Number: query.Number, All: query.All, After: query.After, Sits: query.Aggregators}
	for _, row := range query.Rows {
		encoded.Rows = append(encoded.Rows, encodeCounterAck(row))
	}
	return &Packet_AskRows{encoded}, nil
}

func decodeCounterSyncRequest(encoded *AskRows) (*counter.RowQuery, error) {
	if len(encoded.Rows) > maxListEntries {
		return nil, ErrTooLarge
	}
	query := &counter.RowQuery{
		Number:      encoded.Number,
		All:         encoded.All,
		After:       encoded.After,
		Aggregators: encoded.Sits,
	}
	for _, row := range encoded.Rows {
		query.Rows = append(query.Rows, decodeCounterAck(row))
	}
	return query, checkAggregatorCount(query.Aggregators)
}

func encodeCounterSyncReply(m *Envelope) (isPacket_Body, error) {
	reply := m.CounterSyncReply
	encoded := &Rows{Number: reply.Number, Cold: reply.Recovering, More: reply.More, Sits: reply.Aggregators}
	for i := range reply.Rows {
		encoded.Rows = append(encoded.Rows, encodeCounterRow(&reply.Rows[i]))
	}
	return &Packet_Rows{encoded}, nil
}

func decodeCounterSyncReply(encoded *Rows) (*counter.RowQueryReply, error) {
	if len(encoded.Sits) > maxListEntries || len(encoded.Rows) > maxMapEntries {
		return nil, ErrTooLarge
	}
	if encoded.More && len(encoded.Rows) == 0 {
		return nil, ErrTooLarge
	}
	reply := &counter.RowQueryReply{
		Number:      encoded.Number,
		Recovering:  encoded.Cold,
		More:        encoded.More,
		Aggregators: encoded.Sits,
	}
	for _, encodedRow := range encoded.Rows {
		row, err := decodeCounterRow(encodedRow)
		if err != nil {
			return nil, err
		}
		reply.Rows = append(reply.Rows, *row)
	}
	return reply, nil
}
