package fleet

import (
	"errors"

	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// decodeCounterBody decodes messages between counter reporters and aggregators.
func decodeCounterBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Row:
		m.CounterReport, err = decodeCounterRow(body.Row)
	case *Packet_RowHeard:
		ack := decodeCounterAck(body.RowHeard)
		m.CounterAck = &ack
		err = checkAggregatorCount(ack.Aggregators)
	case *Packet_AskRows:
		m.CounterSyncRequest, err = decodeCounterSyncRequest(body.AskRows)
	case *Packet_Rows:
		m.CounterSyncReply, err = decodeCounterSyncReply(body.Rows)
	default:
		return false, nil
	}
	return true, err
}

func encodeCounts(cells []serving.CounterCell) (p []*Count) {
	for _, c := range cells {
		p = append(p, &Count{
			Tenant:    c.Tenant,
			Stage:     c.Class,
			Asked:     c.Received,
			Finished:  c.Finished,
			Rejected:  c.Rejected,
			Abandoned: c.Abandoned,
		})
	}
	return p
}

// decodeCounts decodes cells, which are sorted and unique.
func decodeCounts(p []*Count) (cells []serving.CounterCell, err error) {
	if len(p) > maxMapEntries+1 {
		return nil, ErrTooLarge
	}
	for i, one := range p {
		cell := decodeCounterCell(one)
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

func decodeCounterCell(p *Count) serving.CounterCell {
	return serving.CounterCell{
		CounterKey: serving.CounterKey{Tenant: p.GetTenant(), Class: p.GetStage()},
		RequestCounts: serving.RequestCounts{
			Received:  p.GetAsked(),
			Finished:  p.GetFinished(),
			Rejected:  p.GetRejected(),
			Abandoned: p.GetAbandoned(),
		},
	}
}

func encodeCounterReport(m *Envelope) (isPacket_Body, error) {
	return &Packet_Row{encodeCounterRow(m.CounterReport)}, nil
}

func encodeCounterRow(r *counter.RowReport) *Row {
	return &Row{
		Name:   r.Server,
		Life:   r.Incarnation,
		Row:    r.RowID,
		Number: r.Sequence,
		Base:   r.BaseSequence,
		Closes: r.Frozen,
		Stands: r.FrozenSequence,
		Cells:  encodeCounts(r.Cells),
		Sits:   r.Aggregators,
	}
}

func decodeCounterRow(p *Row) (*counter.RowReport, error) {
	r := &counter.RowReport{
		Server:         p.GetName(),
		Incarnation:    p.GetLife(),
		RowID:          p.GetRow(),
		Sequence:       p.GetNumber(),
		BaseSequence:   p.GetBase(),
		Frozen:         p.GetCloses(),
		FrozenSequence: p.GetStands(),
		Aggregators:    p.GetSits(),
	}
	if err := errors.Join(checkNames(r.Server), checkAggregatorCount(r.Aggregators)); err != nil {
		return nil, err
	}
	var err error
	if r.Cells, err = decodeCounts(p.GetCells()); err != nil {
		return nil, err
	}
	if r.BaseSequence > r.Sequence || r.FrozenSequence > r.Sequence {
		return nil, ErrOutOfRange
	}
	return r, nil
}

// encodeClosedRows encodes rows as the release log and its commands have them.
func encodeClosedRows(rows []release.CounterRow) (p []*Row) {
	for _, r := range rows {
		p = append(p, &Row{Row: r.ID, Number: r.Sequence, Cells: encodeCounts(r.Cells)})
	}
	return p
}

func decodeClosedRows(p []*Row) (rows []release.CounterRow, err error) {
	if len(p) > maxMapEntries {
		return nil, ErrTooLarge
	}
	for _, one := range p {
		r, err := decodeCounterRow(one)
		if err != nil {
			return nil, err
		}
		rows = append(rows, release.CounterRow{ID: r.RowID, Sequence: r.Sequence, Cells: r.Cells})
	}
	return rows, nil
}

func encodeCounterAckBody(m *Envelope) (isPacket_Body, error) {
	return &Packet_RowHeard{encodeCounterAck(*m.CounterAck)}, nil
}

func encodeCounterAck(a counter.RowAck) *RowHeard {
	return &RowHeard{Row: a.RowID, Number: a.Sequence, Over: a.Closed, Sits: a.Aggregators}
}

func decodeCounterAck(p *RowHeard) counter.RowAck {
	return counter.RowAck{
		RowID:       p.GetRow(),
		Sequence:    p.GetNumber(),
		Closed:      p.GetOver(),
		Aggregators: p.GetSits(),
	}
}

// checkAggregatorCount checks how many aggregators' incarnations there are.
func checkAggregatorCount(aggregators counter.Incarnations) error {
	if len(aggregators) > maxListEntries {
		return ErrTooLarge
	}
	return nil
}

func encodeCounterSyncRequest(m *Envelope) (isPacket_Body, error) {
	q := m.CounterSyncRequest
	p := &AskRows{Number: q.Number, All: q.All, After: q.After, Sits: q.Aggregators}
	for _, row := range q.Rows {
		p.Rows = append(p.Rows, encodeCounterAck(row))
	}
	return &Packet_AskRows{p}, nil
}

func decodeCounterSyncRequest(p *AskRows) (*counter.RowQuery, error) {
	if len(p.Rows) > maxListEntries {
		return nil, ErrTooLarge
	}
	q := &counter.RowQuery{Number: p.Number, All: p.All, After: p.After, Aggregators: p.Sits}
	for _, row := range p.Rows {
		q.Rows = append(q.Rows, decodeCounterAck(row))
	}
	return q, checkAggregatorCount(q.Aggregators)
}

func encodeCounterSyncReply(m *Envelope) (isPacket_Body, error) {
	r := m.CounterSyncReply
	p := &Rows{Number: r.Number, Cold: r.Recovering, More: r.More, Sits: r.Aggregators}
	for i := range r.Rows {
		p.Rows = append(p.Rows, encodeCounterRow(&r.Rows[i]))
	}
	return &Packet_Rows{p}, nil
}

func decodeCounterSyncReply(p *Rows) (*counter.RowQueryReply, error) {
	if len(p.Sits) > maxListEntries || len(p.Rows) > maxMapEntries || p.More && len(p.Rows) == 0 {
		return nil, ErrTooLarge
	}
	r := &counter.RowQueryReply{
		Number:      p.Number,
		Recovering:  p.Cold,
		More:        p.More,
		Aggregators: p.Sits,
	}
	for _, one := range p.Rows {
		row, err := decodeCounterRow(one)
		if err != nil {
			return nil, err
		}
		r.Rows = append(r.Rows, *row)
	}
	return r, nil
}
