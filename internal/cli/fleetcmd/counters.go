package fleetcmd

import (
	"io"
	"strings"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/serving"
)

// countersCommand shows the request counters.
type countersCommand struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// Run requests the counters from the server and prints them.
func (c *countersCommand) Run(s *session) error {
	status, err := fleet.FetchCounters(s.addr)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, status)
	}
	return printCounters(s.out, status)
}

// printCounters prints the counters of the fleet and what may be missing from them. If the server
// does not have the fleet's counters, it prints the server's own.
func printCounters(out io.Writer, status *fleet.CounterStatus) error {
	output := &report{out: out}
	if status.Totals == nil {
		printCells(output, status.CurrentRow, nil)
		output.linef("counted by this server since its start")
		output.linef("the counters of all servers are known to %s", strings.Join(status.Aggregators, ", "))
		return output.err
	}
	printCells(output, status.Totals.Total, status.Totals.LastMinute)
	output.linef("counted by all servers since the fleet was bootstrapped")
	printMissing(output, status.Totals)
	return output.err
}

// secondsPerMinute converts the counts of the last minute to rates.
const secondsPerMinute = 60

// totalClass is the class shown in the row of totals.
const totalClass = "all"

// printCells prints a row for each tenant and class, and a row of totals.
func printCells(output *report, cells, lastMinute []serving.CounterCell) {
	perMinute := map[serving.CounterKey]uint64{}
	for _, cell := range lastMinute {
		perMinute[cell.CounterKey] = cell.Received
	}
	t := output.newTable("tenant", "class", "received", "finished", "rejected", "abandoned",
		"open or cancelled", "a second, lately")
	total := serving.CounterCell{CounterKey: serving.CounterKey{Class: totalClass}}
	for _, cell := range cells {
		rate := float64(perMinute[cell.CounterKey]) / secondsPerMinute
		printCell(t, cell, rate)
		total.RequestCounts = total.Add(cell.RequestCounts)
	}
	totalRate := 0.0
	for _, received := range perMinute {
		totalRate += float64(received) / secondsPerMinute
	}
	printCell(t, total, totalRate)
	t.end()
}

// printCell prints a row with the counts of a tenant and class and their rate in requests per
// second.
func printCell(t *table, cell serving.CounterCell, rate float64) {
	open := int64(cell.Received) - int64(cell.Finished+cell.Rejected+cell.Abandoned)
	t.rowf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f",
		cell.Tenant, cell.Class, cell.Received, cell.Finished, cell.Rejected, cell.Abandoned, open, rate)
}

// printMissing prints what may be missing from the totals.
func printMissing(output *report, totals *counter.Summary) {
	output.linef("%d incarnations report; about %.0f requests may have come since their last reports",
		totals.OpenRows, totals.EstimatedMissing)
	for _, late := range totals.LateReports {
		output.linef("%s has not reported for %.0f s; it received %.1f requests a second",
			late.Server, late.SilentSeconds, late.RequestsPerSecond)
	}
	if totals.Recovering {
		output.linef("this aggregator is recovering, and may not know all that the others know")
	}
	if totals.IncompleteRecoveries > 0 {
		output.linef("%d times it started without enough others to recover from: "+
			"counters of servers that were gone by then may be missing", totals.IncompleteRecoveries)
	}
	if totals.RejectedReports > 0 {
		output.linef("%d reports could not be true, and were rejected", totals.RejectedReports)
	}
}
