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

func putRow(t *counts.Told) *Row {
	return &Row{Name: t.Name, Life: t.Life, Row: t.Row, Number: t.Number, Base: t.Base, Closes: t.Closes, Stands: t.Stands, Cells: putCounts(t.Cells), Sits: t.Sits}
}

func readRow(p *Row) (t *counts.Told, err error) {
	t = &counts.Told{Name: p.GetName(), Life: p.GetLife(), Row: p.GetRow(), Number: p.GetNumber(), Base: p.GetBase(), Closes: p.GetCloses(), Stands: p.GetStands(), Sits: p.GetSits()}
	if err = errors.Join(short(t.Name), few(t.Sits)); err == nil {
		t.Cells, err = readCounts(p.GetCells())
	}
	if err == nil && (t.Base > t.Number || t.Stands > t.Number) {
		err = errValue
	}
	return t, err
}

// putClosed are rows as the order and its commands have them.
func putClosed(list []version.Row) (to []*Row) {
	for _, r := range list {
		to = append(to, &Row{Row: r.Row, Number: r.Number, Cells: putCounts(r.Cells)})
	}
	return to
}

func closed(p []*Row) (list []version.Row, err error) {
	if len(p) > maxLongList {
		return nil, errSize
	}
	for _, one := range p {
		t, err := readRow(one)
		if err != nil {
			return nil, err
		}
		list = append(list, version.Row{Row: t.Row, Number: t.Number, Cells: t.Cells})
	}
	return list, nil
}

func putHeard(h counts.Heard) *RowHeard {
	return &RowHeard{Row: h.Row, Number: h.Number, Over: h.Over, Sits: h.Sits}
}

func heard(p *RowHeard) counts.Heard {
	return counts.Heard{Row: p.GetRow(), Number: p.GetNumber(), Over: p.GetOver(), Sits: p.GetSits()}
}

func few(sits counts.Sits) error {
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
		q := &AskRows{Number: m.AskRows.Number, All: m.AskRows.All, After: m.AskRows.After, Sits: m.AskRows.Sits}
		for _, h := range m.AskRows.Rows {
			q.Rows = append(q.Rows, putHeard(h))
		}
		p.Body = &Packet_AskRows{q}
	case m.Rows != nil:
		s := &Rows{Number: m.Rows.Number, Cold: m.Rows.Cold, More: m.Rows.More, Sits: m.Rows.Sits}
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
		m.RowHeard, err = &h, few(h.Sits)
	case *Packet_AskRows:
		m.AskRows = &counts.Ask{Number: body.AskRows.Number, All: body.AskRows.All, After: body.AskRows.After, Sits: body.AskRows.Sits}
		if len(body.AskRows.Rows) > maxShortList {
			return errSize
		}
		err = few(body.AskRows.Sits)
		for _, h := range body.AskRows.Rows {
			m.AskRows.Rows = append(m.AskRows.Rows, heard(h))
		}
	case *Packet_Rows:
		m.Rows = &counts.Said{Number: body.Rows.Number, Cold: body.Rows.Cold, More: body.Rows.More, Sits: body.Rows.Sits}
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
