package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/serving"
)

// counts tells what all servers were asked for, and how sure that is.
func (o *operator) counts() error {
	s, err := fleet.FetchCounters(o.At)
	if err != nil {
		return err
	}
	if o.Counts.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	list, of := s.Unreported, "by this server since its start"
	if s.Totals != nil {
		list, of = s.Totals.Total, "by all servers since the fleet's founding"
	}
	minute := map[serving.CounterKey]uint64{}
	if s.Totals != nil {
		for _, n := range s.Totals.LastMinute {
			minute[n.CounterKey] = n.Received
		}
	}
	t := table()
	fmt.Fprintln(t, "tenant\tstage\tasked\tfinished\trejected\tabandoned\topen or taken back\ta second, lately")
	for _, n := range append(list, all(list)) {
		rate := float64(minute[n.CounterKey]) / 60
		if n.Class == everything {
			rate = 0
			for _, m := range minute {
				rate += float64(m) / 60
			}
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\n", n.Tenant, n.Class, n.Received, n.Finished, n.Rejected, n.Abandoned,
			int64(n.Received)-int64(n.Finished+n.Rejected+n.Abandoned), rate)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Println("counted", of)
	k := s.Totals
	if k == nil {
		fmt.Println("what all counted is known to", strings.Join(s.Aggregators, ", "))
		return nil
	}
	fmt.Printf("%d lives tell; about %.0f tasks may have come since they last did\n", k.OpenRows, k.MaxMissing)
	for _, l := range k.LateReports {
		fmt.Printf("%s has said nothing for %.0f s; it was asked for %.1f a second\n", l.Server, l.SilentSeconds, l.RequestsPerSecond)
	}
	if k.Recovering {
		fmt.Println("this one has just begun, and may not know all that the others know yet")
	}
	if k.IncompleteRecoveries > 0 {
		fmt.Printf("%d times it began without enough others to learn from: rows of servers that were gone by then may be missing\n", k.IncompleteRecoveries)
	}
	if k.RejectedReports > 0 {
		fmt.Printf("%d words could not be true, and were not taken\n", k.RejectedReports)
	}
	return nil
}

// everything is the name of the line that sums all.
const everything = "all"

func all(list []serving.CounterCell) (sum serving.CounterCell) {
	sum.CounterKey = serving.CounterKey{Class: everything}
	for _, n := range list {
		sum.RequestCounts = sum.Add(n.RequestCounts)
	}
	return sum
}
