package twolevel

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

// MixedPlan is an experiment with two builds in a fleet of two levels: forwarders run one build,
// planners and workers the other. The leading planner is killed half-way.
type MixedPlan struct {
	ForwarderProgram string
	OtherProgram     string // binary of planners and workers
	Direction        string // label of the row: old-forwarders or new-forwarders
	Seconds          float64
	Seed             uint64
	Log              io.Writer // receives the logs of the processes; nil for none
}

// MixedRow is the result of a MixedPlan.
type MixedRow struct {
	Direction     string  `json:"direction"`
	Seed          uint64  `json:"seed"`
	Requests      int     `json:"asked"`
	FinishedShare float64 `json:"service"` // share of the requests that were finished
	PlansApplied  int     `json:"plans_applied"`
	RepeatedRuns  int     `json:"double_effects"`
	LateAnswers   int     `json:"late_answers"`
	Unanswered    int     `json:"unanswered"`
	DecodeErrors  int     `json:"decode_errors"` // rejected fleet messages and protocol errors
	Panics        int     `json:"panics"`
}

// MixedColumns are the column heads of the table.
var MixedColumns = []string{"direction", "seed", "asked", "service", "plans", "twice", "late", "unanswered",
	"decode errors", "panics"}

// Cells returns the row's table cells, in the order of MixedColumns.
func (r MixedRow) Cells() []string {
	cells := []string{r.Direction, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Requests),
		strconv.FormatFloat(r.FinishedShare, 'f', 4, 64)}
	for _, count := range []int{
		r.PlansApplied, r.RepeatedRuns, r.LateAnswers, r.Unanswered, r.DecodeErrors, r.Panics,
	} {
		cells = append(cells, strconv.Itoa(count))
	}
	return cells
}

// Violations returns the number of violated invariants. A run without requests, finished requests
// or plans counts as one.
func (r MixedRow) Violations() int {
	n := r.RepeatedRuns + r.LateAnswers + r.Unanswered + r.DecodeErrors + r.Panics
	if r.Requests == 0 || r.FinishedShare == 0 || r.PlansApplied == 0 {
		n++
	}
	return n
}

const (
	mixedForwarders = 2
	mixedPlanners   = 3
	mixedWorkers    = 4
	mixedLoad       = 0.8 // share of the workers' capacity
)

// RunMixed runs a MixedPlan and returns its result.
func RunMixed(ctx context.Context, mixed *MixedPlan) (MixedRow, error) {
	row := MixedRow{Direction: mixed.Direction, Seed: mixed.Seed}
	plan := mixed.plan()
	fleet, err := plan.startFleet(ctx)
	if err != nil {
		return row, err
	}
	defer fleet.Close()
	if err := mixed.checkPrograms(fleet); err != nil {
		return row, err
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	t := &trial{
		plan:    plan,
		variant: noKills,
		row:     &Row{Seed: mixed.Seed},
		fleet:   fleet,
		random:  rand.New(rand.NewPCG(mixed.Seed, faultStream)),
	}
	if err := t.preparePlanners(); err != nil {
		return row, err
	}
	t.load = fleet.StartLoad(loadContext, "")
	t.load.Classes = []string{faultinjection.PingClass, atMostOnceClass}
	t.setLoad()
	timing.Sleep(ctx, timing.Seconds(mixed.Seconds/2))
	if leader, ok := lastLeader(fleet); ok {
		if err := fleet.KillAndRestart(ctx, leader); err != nil {
			return row, err
		}
	}
	if err := t.measureLoad(ctx); err != nil {
		return row, err
	}
	stopLoad()
	t.load.Wait()
	row.addCounts(t)
	return row, nil
}

// plan returns the Plan of the fleet and its load. Its Seconds are the half of the run after the
// kill of the leading planner.
func (m *MixedPlan) plan() *Plan {
	plan := &Plan{
		Program:       m.OtherProgram,
		ProgramByName: map[string]string{},
		Forwarders:    mixedForwarders,
		Planners:      mixedPlanners,
		Workers:       mixedWorkers,
		Seconds:       m.Seconds / 2,
		KillInterval:  1,
		Load:          mixedLoad,
		Seed:          m.Seed,
		Log:           m.Log,
	}
	for i := range mixedForwarders {
		plan.ProgramByName[fmt.Sprintf("f%d", i+1)] = m.ForwarderProgram
	}
	return plan
}

// checkPrograms returns an error unless each forwarder and each planner runs a binary from the
// folder of its configured program.
func (m *MixedPlan) checkPrograms(fleet *faultinjection.Fleet) error {
	for _, name := range fleet.ForwarderNames() {
		if err := fleet.CheckProgramFolder(name, m.ForwarderProgram); err != nil {
			return err
		}
	}
	for _, name := range fleet.PlannerNames() {
		if err := fleet.CheckProgramFolder(name, m.OtherProgram); err != nil {
			return err
		}
	}
	return nil
}

// addCounts copies the results of a run to the row and counts its log events.
func (r *MixedRow) addCounts(t *trial) {
	r.Requests = t.row.Requests
	r.FinishedShare = t.row.FinishedShareNoKills
	r.RepeatedRuns = t.row.RepeatedRuns
	r.LateAnswers = t.row.LateAnswers
	r.Unanswered = t.row.Unanswered
	r.PlansApplied = len(t.fleet.Events("", planChanged))
	for _, event := range []string{faultinjection.EventMessageRejected, faultinjection.EventProtocolError} {
		r.DecodeErrors += len(t.fleet.Events("", event))
	}
	for _, event := range []string{
		faultinjection.EventForwarderPanic,
		faultinjection.EventFleetAgentPanic,
		faultinjection.EventPanic,
	} {
		r.Panics += len(t.fleet.Events("", event))
	}
}
