package counter

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
)

// TestAggregator_CountsEachRequestOnce runs simulations with random faults. After the faults are
// healed, it compares the aggregators' totals with the number of requests that the servers
// received.
func TestAggregator_CountsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkSchedule(t, rapid.Uint64().Draw(t, "seed")) })
}

// checkSchedule runs one simulation. The seed also selects the numbers of aggregators and servers.
func checkSchedule(t *rapid.T, seed uint64) {
	t.Helper()
	s := newSimulation(seed, []int{1, 3, 5, 4}[seed%4], 1+int(seed/4%4))
	s.run(60, true)
	s.heal()
	s.run(30, false)
	for _, a := range s.aggregators {
		recovering, rejected := a.aggregator.Recovering(), a.aggregator.rejectedReports
		if recovering || rejected > 0 {
			t.Fatalf("%s: recovering = %v and %d rejected reports, want false and 0", a.name, recovering, rejected)
		}
	}
	for _, server := range s.servers {
		if server.reporter.UnaccountedRequests > 0 {
			t.Fatalf("%s has %d unaccounted requests, want 0", server.name, server.reporter.UnaccountedRequests)
		}
	}
	low, high := s.bounds()
	s.drain()
	for _, a := range s.aggregators {
		got := sumReceived(a.aggregator.Summary(s.now, a.log.ClosedTotals).Total)
		if got < low || got > high {
			t.Fatalf("the total at %s is %d requests, want %d to %d (%d servers were killed)",
				a.name, got, low, high, len(s.killed))
		}
	}
}

// received returns a cell with n received requests.
func received(tenant, class string, n uint64) serving.CounterCell {
	return serving.CounterCell{
		CounterKey:    serving.CounterKey{Tenant: tenant, Class: class},
		RequestCounts: serving.RequestCounts{Received: n},
	}
}

// noClosedRow is a ClosedRowLookup that finds no closed row.
func noClosedRow(uint64) (sequence uint64, closed bool) { return 0, false }

// TestReporter_StartsNewRowWhenRowIsClosed guards against lost or doubly counted requests when a
// row is closed while its server still runs: the row is closed under its first or second number,
// and the server must report the remaining requests in a new row.
func TestReporter_StartsNewRowWhenRowIsClosed(t *testing.T) {
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
				t.Errorf("the report is %+v, want sequence 1 of row 101 with %d requests", report, c.want)
			}
			if reporter.UnaccountedRequests != 0 {
				t.Errorf("%d requests are unaccounted, want 0", reporter.UnaccountedRequests)
			}
		})
	}
}

// TestAggregator_RejectsImpossibleReports checks that a report does not change the row if one of
// its counts is smaller than in the row, a cell is missing or repeated, or a count grows too fast.
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
		{"a cell is repeated", []serving.CounterCell{of("x", 10), of("x", 10), of("y", 5)}},
		{"too many requests", []serving.CounterCell{of("x", 1<<60), of("y", 5)}},
	}
	for _, c := range impossible {
		if ack := a.HandleReport(1, report(2, 0, c.cells...)); ack.Sequence != 1 {
			t.Errorf("%s: sequence %d is acknowledged, want 1", c.name, ack.Sequence)
		}
	}
	if summary := a.Summary(1, nil); sumReceived(summary.Total) != 15 || summary.RejectedReports != 4 {
		t.Errorf("the summary is %+v, want 15 requests in total and 4 rejected reports", summary)
	}
	if ack := a.HandleReport(2, report(2, 1, of("y", 6))); ack.Sequence != 2 {
		t.Errorf("a report of the changed cell is answered with %+v, want sequence 2", ack)
	}
	summary := a.Summary(14, nil)
	if sumReceived(summary.Total) != 16 || summary.EstimatedMissing != 6 {
		t.Errorf("the summary is %+v, want 16 requests in total and 6 missing", summary)
	}
	if late := summary.LateReports; len(late) != 1 || late[0].SilentSeconds != 12 {
		t.Errorf("the late reports are %+v, want one that is silent for 12 s", late)
	}
}

// TestAggregator_FrozenRowAcknowledgesNoHigherNumber guards against acknowledging a number higher
// than that at which a row was frozen. The aggregator freezes a row, another aggregator relays a
// higher number of the row, and then the row's server reports. If the aggregator acknowledged the
// higher number, the server could take the next number while the row is being closed.
func TestAggregator_FrozenRowAcknowledgesNoHigherNumber(t *testing.T) {
	names := []string{"k0", "k1", "k2"}
	a := NewAggregator("k0", names, 1, noClosedRow, 0)
	for _, from := range names[1:] {
		a.HandleQueryReply(0, from, &RowQueryReply{Number: 1})
	}
	if a.Recovering() {
		t.Fatal("the aggregator is recovering, want a finished recovery")
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
		t.Fatalf("the aggregator has sequence %d of the row, want 2", sequence)
	}
	if ack := a.HandleReport(4, report(2)); ack.Sequence != 1 {
		t.Errorf("sequence %d is acknowledged, want 1", ack.Sequence)
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
