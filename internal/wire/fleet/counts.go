package fleet

import (
	"errors"

	"swiftcourse/internal/judge/shared/counts"
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/judge/version"
)

// This file is what servers and keepers say of what they counted.

func putCounts(list []stance.CounterCell) (to []*Count) {
	for _, n := range list {
		to = append(to, &Count{Tenant: n.Tenant, Stage: n.Class, Asked: n.Received, Finished: n.Finished, Rejected: n.Rejected, Abandoned: n.Abandoned})
	}
	return to
}

// readCounts reads cells, which stand in their order and each once.
func readCounts(p []*Count) (list []stance.CounterCell, err error) {
	if len(p) > maxLongList+1 {
		return nil, errSize
	}
	for i, n := range p {
		c := stance.CounterCell{CounterKey: stance.CounterKey{Tenant: n.GetTenant(), Class: n.GetStage()},
			RequestCounts: stance.RequestCounts{Received: n.GetAsked(), Finished: n.GetFinished(), Rejected: n.GetRejected(), Abandoned: n.GetAbandoned()}}
		if err := short(c.Tenant, c.Class); err != nil {
			return nil, err
		}
		if i > 0 && list[i-1].CounterKey.Compare(c.CounterKey) >= 0 {
			return nil, errValue
		}
		list = append(list, c)
	}
	return list, nil
}

func putRow(t *counts.RowReport) *Row {
	return &Row{Name: t.Server, Life: t.Incarnation, Row: t.RowID, Number: t.Sequence, Base: t.BaseSequence, Closes: t.Closing, Stands: t.FrozenSequence, Cells: putCounts(t.Cells), Sits: t.Aggregators}
}

func readRow(p *Row) (t *counts.RowReport, err error) {
	t = &counts.RowReport{Server: p.GetName(), Incarnation: p.GetLife(), RowID: p.GetRow(), Sequence: p.GetNumber(), BaseSequence: p.GetBase(), Closing: p.GetCloses(), FrozenSequence: p.GetStands(), Aggregators: p.GetSits()}
	if err = errors.Join(short(t.Server), few(t.Aggregators)); err == nil {
		t.Cells, err = readCounts(p.GetCells())
	}
	if err == nil && (t.BaseSequence > t.Sequence || t.FrozenSequence > t.Sequence) {
		err = errValue
	}
	return t, err
}

// putClosed are rows as the order and its commands have them.
func putClosed(list []version.CounterRow) (to []*Row) {
	for _, r := range list {
		to = append(to, &Row{Row: r.ID, Number: r.Sequence, Cells: putCounts(r.Cells)})
	}
	return to
}

func closed(p []*Row) (list []version.CounterRow, err error) {
	if len(p) > maxLongList {
		return nil, errSize
	}
	for _, one := range p {
		t, err := readRow(one)
		if err != nil {
			return nil, err
		}
		list = append(list, version.CounterRow{ID: t.RowID, Sequence: t.Sequence, Cells: t.Cells})
	}
	return list, nil
}

func putHeard(h counts.RowAck) *RowHeard {
	return &RowHeard{Row: h.RowID, Number: h.Sequence, Over: h.Closed, Sits: h.Aggregators}
}

func heard(p *RowHeard) counts.RowAck {
	return counts.RowAck{RowID: p.GetRow(), Sequence: p.GetNumber(), Closed: p.GetOver(), Aggregators: p.GetSits()}
}

func few(sits counts.Incarnations) error {
	if len(sits) > maxShortList {
		return errSize
	}
	return nil
}

// putRows writes a message of counts, where it is one.
func putRows(p *Packet, m *Message) error {
	switch {
	case m.Row != nil:
		p.Body = &Packet_Row{putRow(m.Row)}
	case m.RowHeard != nil:
		p.Body = &Packet_RowHeard{putHeard(*m.RowHeard)}
	case m.AskRows != nil:
		q := &AskRows{Number: m.AskRows.Number, All: m.AskRows.All, After: m.AskRows.After, Sits: m.AskRows.Aggregators}
		for _, h := range m.AskRows.Rows {
			q.Rows = append(q.Rows, putHeard(h))
		}
		p.Body = &Packet_AskRows{q}
	case m.Rows != nil:
		s := &Rows{Number: m.Rows.Number, Cold: m.Rows.Recovering, More: m.Rows.More, Sits: m.Rows.Aggregators}
		for i := range m.Rows.Rows {
			s.Rows = append(s.Rows, putRow(&m.Rows.Rows[i]))
		}
		p.Body = &Packet_Rows{s}
	default:
		return putPlan(p, m)
	}
	return nil
}

// readRows reads one.
func readRows(p *Packet, m *Message) (err error) {
	switch body := p.Body.(type) {
	case *Packet_Row:
		m.Row, err = readRow(body.Row)
	case *Packet_RowHeard:
		h := heard(body.RowHeard)
		m.RowHeard, err = &h, few(h.Aggregators)
	case *Packet_AskRows:
		m.AskRows = &counts.RowQuery{Number: body.AskRows.Number, All: body.AskRows.All, After: body.AskRows.After, Aggregators: body.AskRows.Sits}
		if len(body.AskRows.Rows) > maxShortList {
			return errSize
		}
		err = few(body.AskRows.Sits)
		for _, h := range body.AskRows.Rows {
			m.AskRows.Rows = append(m.AskRows.Rows, heard(h))
		}
	case *Packet_Rows:
		m.Rows = &counts.RowQueryReply{Number: body.Rows.Number, Recovering: body.Rows.Cold, More: body.Rows.More, Aggregators: body.Rows.Sits}
		if len(body.Rows.Sits) > maxShortList || len(body.Rows.Rows) > maxLongList || body.Rows.More && len(body.Rows.Rows) == 0 {
			return errSize
		}
		for _, one := range body.Rows.Rows {
			t, err := readRow(one)
			if err != nil {
				return err
			}
			m.Rows.Rows = append(m.Rows.Rows, *t)
		}
	default:
		return readPlan(p, m)
	}
	return err
}
