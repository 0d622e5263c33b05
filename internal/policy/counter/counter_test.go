package counter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
)

// TestAggregator_CountsEachRequestOnce has things go wrong in drawn schedules, heals them, and holds what
// the aggregators know against the truth.
func TestAggregator_CountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkSchedule(t, rapid.Uint64().Draw(t, "seed")) })
}

func checkSchedule(t *rapid.T, seed uint64) {
	t.Helper()
	s := newSimulation(seed, []int{1, 3, 5, 4}[seed%4], 1+int(seed/4%4))
	s.run(60, true)
	s.heal()
	s.run(30, false)
	for _, a := range s.aggregators {
		recovering, rejected := a.aggregator.Recovering(), a.aggregator.rejectedReports
		if recovering || rejected > 0 {
			t.Fatalf("%s recovers: %v; it rejected %d reports", a.name, recovering, rejected)
		}
	}
	for _, server := range s.servers {
		if server.reporter.Unaccounted > 0 {
			t.Fatalf("%s has %d requests unaccounted", server.name, server.reporter.Unaccounted)
		}
	}
	low, high := s.bounds()
	s.drain()
	for _, a := range s.aggregators {
		got := sumReceived(a.aggregator.Summary(s.now, a.log.ClosedTotals).Total)
		if got < low || got > high {
			t.Fatalf("%s counts %d, the truth is from %d to %d (%d dead)", a.name, got, low, high, len(s.dead))
		}
	}
}

// received is a count of one cell.
func received(tenant, class string, n uint64) serving.CounterCell {
	return serving.CounterCell{
		CounterKey:    serving.CounterKey{Tenant: tenant, Class: class},
		RequestCounts: serving.RequestCounts{Received: n},
	}
}

// noClosedRow is a log in which no row is closed.
func noClosedRow(uint64) (sequence uint64, closed bool) { return 0, false }

// TestReporter_RowClosedWhileAlive forces this order: a row is closed under its first or second number
// while its server is alive and has more to report. The server goes on with the rest as another row.
func TestReporter_RowClosedWhileAlive(t *testing.T) {
	cases := []struct {
		name     string
		closedAt uint64
		want     uint64 // requests in the next row
	}{
		{"under the number before the last", 1, 5},
		{"under the last number", 2, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reporter := NewReporter("a", 100, []string{"k0"}, 0)
			add := func(n uint64) { reporter.Add([]serving.CounterCell{received("acme", "ping", n)}) }
			add(5)
			reporter.DueReports(0)
			reporter.HandleAck(0, "k0", &RowAck{RowID: 100, Sequence: 1, Aggregators: Incarnations{1}})
			add(3)
			reporter.DueReports(3)
			add(2)
			reporter.HandleAck(3.1, "k0", &RowAck{RowID: 100, Sequence: c.closedAt, Closed: true})
			envelopes := reporter.DueReports(3.2)
			if len(envelopes) != 1 {
				t.Fatalf("%d reports are due, want 1", len(envelopes))
			}
			report := envelopes[0].Report
			if report.RowID != 101 || report.Sequence != 1 || sumReceived(report.Cells) != c.want {
				t.Errorf("it reports %+v, want %d requests in row 101", report, c.want)
			}
			if reporter.Unaccounted != 0 {
				t.Errorf("%d requests are unaccounted", reporter.Unaccounted)
			}
		})
	}
}

// TestAggregator_RejectsImpossibleReports: a row that shrinks, lacks a cell, has one twice or jumps changes
// nothing.
func TestAggregator_RejectsImpossibleReports(t *testing.T) {
	a := NewAggregator("k0", []string{"k0"}, 1, noClosedRow, 0)
	of := func(class string, n uint64) serving.CounterCell { return received("", class, n) }
	report := func(sequence, base uint64, cells ...serving.CounterCell) *RowReport {
		return &RowReport{
			Server:       "a",
			Incarnation:  1,
			RowID:        1,
			Sequence:     sequence,
			BaseSequence: base,
			Cells:        cells,
		}
	}
	a.HandleReport(0, report(1, 0, of("x", 10), of("y", 5)))
	impossible := []struct {
		name  string
		cells []serving.CounterCell
	}{
		{"a cell shrinks", []serving.CounterCell{of("x", 9), of("y", 5)}},
		{"a cell is missing", []serving.CounterCell{of("x", 11)}},
		{"a cell twice", []serving.CounterCell{of("x", 10), of("x", 10), of("y", 5)}},
		{"too many requests", []serving.CounterCell{of("x", 1<<60), of("y", 5)}},
	}
	for _, c := range impossible {
		if ack := a.HandleReport(1, report(2, 0, c.cells...)); ack.Sequence != 1 {
			t.Errorf("%s: it is accepted", c.name)
		}
	}
	if summary := a.Summary(1, nil); sumReceived(summary.Total) != 15 || summary.RejectedReports != 4 {
		t.Errorf("it knows %+v", summary)
	}
	if ack := a.HandleReport(2, report(2, 1, of("y", 6))); ack.Sequence != 2 {
		t.Errorf("what changed is not accepted: %+v", ack)
	}
	summary := a.Summary(14, nil)
	if sumReceived(summary.Total) != 16 || summary.MaxMissing != 6 {
		t.Errorf("it knows %+v", summary)
	}
	if late := summary.LateReports; len(late) != 1 || late[0].SilentSeconds != 12 {
		t.Errorf("late are %+v", late)
	}
}

// TestAggregator_FrozenRowAcknowledgesNoMore forces this order: an aggregator is asked about a row that is to
// be closed, another one relays a higher number of the row, then its server reports. The server must not
// learn that the higher number is there, or it would go on to the next.
func TestAggregator_FrozenRowAcknowledgesNoMore(t *testing.T) {
	names := []string{"k0", "k1", "k2"}
	a := NewAggregator("k0", names, 1, noClosedRow, 0)
	for _, from := range names[1:] {
		a.HandleQueryReply(0, from, &RowQueryReply{Number: 1})
	}
	if a.Recovering() {
		t.Fatal("it still recovers")
	}
	report := func(sequence uint64) *RowReport {
		return &RowReport{
			Server:      "a",
			Incarnation: 1,
			RowID:       1,
			Sequence:    sequence,
			Cells:       []serving.CounterCell{received("acme", "ping", sequence)},
		}
	}
	a.HandleReport(1, report(1))
	a.HandleQuery(2, &RowQuery{Number: 1, Rows: []RowAck{{RowID: 1}}})
	a.HandleQueryReply(3, "k1", &RowQueryReply{Number: 1, Rows: []RowReport{*report(2)}})
	if sequence := a.rows[1].sequence; sequence != 2 {
		t.Fatalf("the row is here under number %d, want 2", sequence)
	}
	if ack := a.HandleReport(4, report(2)); ack.Sequence != 1 {
		t.Errorf("number %d is acknowledged, want 1", ack.Sequence)
	}
}

func BenchmarkAggregator_HandleReport(b *testing.B) {
	a := NewAggregator("k0", []string{"k0"}, 1, noClosedRow, 0)
	report := &RowReport{Server: "a", Incarnation: 1, RowID: 1}
	for i := range 40 {
		report.Cells = append(report.Cells, received("acme", fmt.Sprint(i), 0))
	}
	for b.Loop() {
		report.Sequence++
		for i := range report.Cells {
			report.Cells[i].Received++
		}
		a.HandleReport(float64(report.Sequence), report)
	}
}
