package fleet

import (
	"errors"

	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// This file is what servers and keepers say of what they counted.

func encodeCounts(list []serving.CounterCell) (to []*Count) {
	for _, n := range list {
		to = append(to, &Count{Tenant: n.Tenant, Stage: n.Class, Asked: n.Received, Finished: n.Finished, Rejected: n.Rejected, Abandoned: n.Abandoned})
	}
	return to
}

// decodeCounts reads cells, which stand in their order and each once.
func decodeCounts(p []*Count) (list []serving.CounterCell, err error) {
	if len(p) > maxMapEntries+1 {
		return nil, errTooLarge
	}
	for i, n := range p {
		c := serving.CounterCell{CounterKey: serving.CounterKey{Tenant: n.GetTenant(), Class: n.GetStage()},
			RequestCounts: serving.RequestCounts{Received: n.GetAsked(), Finished: n.GetFinished(), Rejected: n.GetRejected(), Abandoned: n.GetAbandoned()}}
		if err := checkNames(c.Tenant, c.Class); err != nil {
			return nil, err
		}
		if i > 0 && list[i-1].CounterKey.Compare(c.CounterKey) >= 0 {
			return nil, errOutOfRange
		}
		list = append(list, c)
	}
	return list, nil
}

func encodeCounterRow(t *counter.RowReport) *Row {
	return &Row{Name: t.Server, Life: t.Incarnation, Row: t.RowID, Number: t.Sequence, Base: t.BaseSequence, Closes: t.Closing, Stands: t.FrozenSequence, Cells: encodeCounts(t.Cells), Sits: t.Aggregators}
}

func decodeCounterRow(p *Row) (t *counter.RowReport, err error) {
	t = &counter.RowReport{Server: p.GetName(), Incarnation: p.GetLife(), RowID: p.GetRow(), Sequence: p.GetNumber(), BaseSequence: p.GetBase(), Closing: p.GetCloses(), FrozenSequence: p.GetStands(), Aggregators: p.GetSits()}
	if err = errors.Join(checkNames(t.Server), checkAggregatorCount(t.Aggregators)); err == nil {
		t.Cells, err = decodeCounts(p.GetCells())
	}
	if err == nil && (t.BaseSequence > t.Sequence || t.FrozenSequence > t.Sequence) {
		err = errOutOfRange
	}
	return t, err
}

// encodeClosedRows are rows as the order and its commands have them.
func encodeClosedRows(list []release.CounterRow) (to []*Row) {
	for _, r := range list {
		to = append(to, &Row{Row: r.ID, Number: r.Sequence, Cells: encodeCounts(r.Cells)})
	}
	return to
}

func decodeClosedRows(p []*Row) (list []release.CounterRow, err error) {
	if len(p) > maxMapEntries {
		return nil, errTooLarge
	}
	for _, one := range p {
		t, err := decodeCounterRow(one)
		if err != nil {
			return nil, err
		}
		list = append(list, release.CounterRow{ID: t.RowID, Sequence: t.Sequence, Cells: t.Cells})
	}
	return list, nil
}

func encodeCounterAck(h counter.RowAck) *RowHeard {
	return &RowHeard{Row: h.RowID, Number: h.Sequence, Over: h.Closed, Sits: h.Aggregators}
}

func decodeCounterAck(p *RowHeard) counter.RowAck {
	return counter.RowAck{RowID: p.GetRow(), Sequence: p.GetNumber(), Closed: p.GetOver(), Aggregators: p.GetSits()}
}

func checkAggregatorCount(sits counter.Incarnations) error {
	if len(sits) > maxListEntries {
		return errTooLarge
	}
	return nil
}

// encodeCounterMessage writes a message of counts, where it is one.
func encodeCounterMessage(p *Packet, m *Envelope) error {
	switch {
	case m.CounterReport != nil:
		p.Body = &Packet_Row{encodeCounterRow(m.CounterReport)}
	case m.CounterAck != nil:
		p.Body = &Packet_RowHeard{encodeCounterAck(*m.CounterAck)}
	case m.CounterSyncRequest != nil:
		q := &AskRows{Number: m.CounterSyncRequest.Number, All: m.CounterSyncRequest.All, After: m.CounterSyncRequest.After, Sits: m.CounterSyncRequest.Aggregators}
		for _, h := range m.CounterSyncRequest.Rows {
			q.Rows = append(q.Rows, encodeCounterAck(h))
		}
		p.Body = &Packet_AskRows{q}
	case m.CounterSyncReply != nil:
		s := &Rows{Number: m.CounterSyncReply.Number, Cold: m.CounterSyncReply.Recovering, More: m.CounterSyncReply.More, Sits: m.CounterSyncReply.Aggregators}
		for i := range m.CounterSyncReply.Rows {
			s.Rows = append(s.Rows, encodeCounterRow(&m.CounterSyncReply.Rows[i]))
		}
		p.Body = &Packet_Rows{s}
	default:
		return encodePlanMessage(p, m)
	}
	return nil
}

// decodeCounterMessage reads one.
func decodeCounterMessage(p *Packet, m *Envelope) (err error) {
	switch body := p.Body.(type) {
	case *Packet_Row:
		m.CounterReport, err = decodeCounterRow(body.Row)
	case *Packet_RowHeard:
		h := decodeCounterAck(body.RowHeard)
		m.CounterAck, err = &h, checkAggregatorCount(h.Aggregators)
	case *Packet_AskRows:
		m.CounterSyncRequest = &counter.RowQuery{Number: body.AskRows.Number, All: body.AskRows.All, After: body.AskRows.After, Aggregators: body.AskRows.Sits}
		if len(body.AskRows.Rows) > maxListEntries {
			return errTooLarge
		}
		err = checkAggregatorCount(body.AskRows.Sits)
		for _, h := range body.AskRows.Rows {
			m.CounterSyncRequest.Rows = append(m.CounterSyncRequest.Rows, decodeCounterAck(h))
		}
	case *Packet_Rows:
		m.CounterSyncReply = &counter.RowQueryReply{Number: body.Rows.Number, Recovering: body.Rows.Cold, More: body.Rows.More, Aggregators: body.Rows.Sits}
		if len(body.Rows.Sits) > maxListEntries || len(body.Rows.Rows) > maxMapEntries || body.Rows.More && len(body.Rows.Rows) == 0 {
			return errTooLarge
		}
		for _, one := range body.Rows.Rows {
			t, err := decodeCounterRow(one)
			if err != nil {
				return err
			}
			m.CounterSyncReply.Rows = append(m.CounterSyncReply.Rows, *t)
		}
	default:
		return decodePlanMessage(p, m)
	}
	return err
}
