package fleet

import (
	"errors"
	"fmt"

	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

func encodeCounts(cells []serving.CounterCell) (encoded []*CounterCell) {
	for _, cell := range cells {
		encoded = append(encoded, &CounterCell{
			Tenant:    cell.Tenant,
			Class:     cell.Class,
			Received:  cell.Received,
			Finished:  cell.Finished,
			Rejected:  cell.Rejected,
			Abandoned: cell.Abandoned,
		})
	}
	return encoded
}

// decodeCounts decodes cells. It rejects a list that is not sorted by key or repeats a key.
func decodeCounts(encoded []*CounterCell) (cells []serving.CounterCell, err error) {
	if len(encoded) > maxLongListEntries+1 { // one more for the overflow cell, see serving.CounterKey
		return nil, fmt.Errorf("%w: %d counter cells, limit %d", ErrInvalidSize, len(encoded), maxLongListEntries+1)
	}
	for i, encodedCell := range encoded {
		cell := decodeCounterCell(encodedCell)
		if err := checkNames(cell.Tenant, cell.Class); err != nil {
			return nil, err
		}
		if i > 0 && cells[i-1].Compare(cell.CounterKey) >= 0 {
			return nil, fmt.Errorf("%w: counter cells %d and %d are not in ascending order of their keys",
				ErrOutOfRange, i-1, i)
		}
		cells = append(cells, cell)
	}
	return cells, nil
}

func decodeCounterCell(encoded *CounterCell) serving.CounterCell {
	return serving.CounterCell{
		CounterKey: serving.CounterKey{Tenant: encoded.GetTenant(), Class: encoded.GetClass()},
		RequestCounts: serving.RequestCounts{
			Received:  encoded.GetReceived(),
			Finished:  encoded.GetFinished(),
			Rejected:  encoded.GetRejected(),
			Abandoned: encoded.GetAbandoned(),
		},
	}
}

func encodeCounterReport(m *Envelope) (isPacket_Body, error) {
	return &Packet_CounterReport{encodeCounterRow(m.CounterReport)}, nil
}

func encodeCounterRow(row *counter.RowReport) *CounterRow {
	return &CounterRow{
		Server:         row.Server,
		Incarnation:    row.Incarnation,
		RowId:          row.RowID,
		Sequence:       row.Sequence,
		BaseSequence:   row.BaseSequence,
		Frozen:         row.Frozen,
		FrozenSequence: row.FrozenSequence,
		Cells:          encodeCounts(row.Cells),
		Aggregators:    row.Aggregators,
	}
}

func decodeCounterRow(encoded *CounterRow) (*counter.RowReport, error) {
	row := &counter.RowReport{
		Server:         encoded.GetServer(),
		Incarnation:    encoded.GetIncarnation(),
		RowID:          encoded.GetRowId(),
		Sequence:       encoded.GetSequence(),
		BaseSequence:   encoded.GetBaseSequence(),
		Frozen:         encoded.GetFrozen(),
		FrozenSequence: encoded.GetFrozenSequence(),
		Aggregators:    encoded.GetAggregators(),
	}
	if err := errors.Join(checkNames(row.Server), checkAggregatorCount(row.Aggregators)); err != nil {
		return nil, err
	}
	var err error
	if row.Cells, err = decodeCounts(encoded.GetCells()); err != nil {
		return nil, err
	}
	if row.BaseSequence > row.Sequence || row.FrozenSequence > row.Sequence {
		return nil, fmt.Errorf("%w: counter row at sequence number %d with a higher base %d or frozen at a higher %d",
			ErrOutOfRange, row.Sequence, row.BaseSequence, row.FrozenSequence)
	}
	return row, nil
}

// encodeClosedRows encodes the closed rows of a release log or command.
func encodeClosedRows(rows []release.CounterRow) (encoded []*CounterRow) {
	for _, row := range rows {
		encoded = append(encoded, &CounterRow{RowId: row.ID, Sequence: row.Sequence, Cells: encodeCounts(row.Cells)})
	}
	return encoded
}

func decodeClosedRows(encoded []*CounterRow) (rows []release.CounterRow, err error) {
	if len(encoded) > maxLongListEntries {
		return nil, fmt.Errorf("%w: %d closed counter rows, limit %d", ErrInvalidSize, len(encoded), maxLongListEntries)
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
	return &Packet_CounterAck{encodeCounterAck(*m.CounterAck)}, nil
}

func decodeCounterAckBody(encoded *CounterAck) (*counter.RowAck, error) {
	ack := decodeCounterAck(encoded)
	return &ack, checkAggregatorCount(ack.Aggregators)
}

func encodeCounterAck(a counter.RowAck) *CounterAck {
	return &CounterAck{RowId: a.RowID, Sequence: a.Sequence, Closed: a.Closed, Aggregators: a.Aggregators}
}

func decodeCounterAck(encoded *CounterAck) counter.RowAck {
	return counter.RowAck{
		RowID:       encoded.GetRowId(),
		Sequence:    encoded.GetSequence(),
		Closed:      encoded.GetClosed(),
		Aggregators: encoded.GetAggregators(),
	}
}

// checkAggregatorCount checks that a list of aggregators has at most maxShortListEntries
// incarnations.
func checkAggregatorCount(aggregators counter.Incarnations) error {
	if len(aggregators) > maxShortListEntries {
		return fmt.Errorf("%w: %d aggregators, limit %d", ErrInvalidSize, len(aggregators), maxShortListEntries)
	}
	return nil
}

func encodeCounterSyncRequest(m *Envelope) (isPacket_Body, error) {
	query := m.CounterSyncRequest
	encoded := &CounterSyncRequest{
		Number:      query.Number,
		All:         query.AllRows,
		After:       query.AfterRowID,
		Aggregators: query.Aggregators,
	}
	for _, row := range query.Rows {
		encoded.Rows = append(encoded.Rows, encodeCounterAck(row))
	}
	return &Packet_CounterSyncRequest{encoded}, nil
}

func decodeCounterSyncRequest(encoded *CounterSyncRequest) (*counter.RowQuery, error) {
	if len(encoded.Rows) > maxShortListEntries {
		return nil, fmt.Errorf("%w: %d rows in a counter sync request, limit %d",
			ErrInvalidSize, len(encoded.Rows), maxShortListEntries)
	}
	query := &counter.RowQuery{
		Number:      encoded.Number,
		AllRows:     encoded.All,
		AfterRowID:  encoded.After,
		Aggregators: encoded.Aggregators,
	}
	for _, row := range encoded.Rows {
		query.Rows = append(query.Rows, decodeCounterAck(row))
	}
	return query, checkAggregatorCount(query.Aggregators)
}

func encodeCounterSyncReply(m *Envelope) (isPacket_Body, error) {
	reply := m.CounterSyncReply
	encoded := &CounterSyncReply{
		Number:      reply.Number,
		Recovering:  reply.Recovering,
		More:        reply.More,
		Aggregators: reply.Aggregators,
	}
	for i := range reply.Rows {
		encoded.Rows = append(encoded.Rows, encodeCounterRow(&reply.Rows[i]))
	}
	return &Packet_CounterSyncReply{encoded}, nil
}

func decodeCounterSyncReply(encoded *CounterSyncReply) (*counter.RowQueryReply, error) {
	if len(encoded.Aggregators) > maxShortListEntries || len(encoded.Rows) > maxLongListEntries {
		return nil, fmt.Errorf("%w: counter sync reply with %d aggregators, limit %d, and %d rows, limit %d",
			ErrInvalidSize, len(encoded.Aggregators), maxShortListEntries, len(encoded.Rows), maxLongListEntries)
	}
	if encoded.More && len(encoded.Rows) == 0 {
		return nil, fmt.Errorf("%w: counter sync reply announces more rows but has none", ErrInvalidSize)
	}
	reply := &counter.RowQueryReply{
		Number:      encoded.Number,
		Recovering:  encoded.Recovering,
		More:        encoded.More,
		Aggregators: encoded.Aggregators,
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
