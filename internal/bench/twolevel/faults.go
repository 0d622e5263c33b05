package twolevel

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/bench/timing"
)

// Log events of the program that the experiment reads.
const (
	planChanged    = "load_planner_changed"
	plannerStarted = "load_planner_started"
)

// injectFaults waits for the plan's duration. In the variant with kills it injects a fault after
// every KillInterval.
func (t *trial) injectFaults(ctx context.Context) error {
	end := time.Now().Add(timing.Seconds(t.plan.Seconds))
	for time.Now().Before(end) && ctx.Err() == nil {
		timing.Sleep(ctx, timing.Seconds(t.plan.KillInterval))
		if t.variant != kills {
			continue
		}
		if err := t.injectFault(ctx); err != nil {
			return err
		}
	}
	return nil
}

// injectFault injects one random fault. With probability 1/5 it kills and restarts all planners,
// with probability 1/5 it pauses a random planner, and otherwise it kills and restarts one planner:
// the latest leader with probability 1/2, else a random one.
func (t *trial) injectFault(ctx context.Context) error {
	planners := t.fleet.PlannerNames()
	planner := planners[t.random.IntN(len(planners))]
	switch t.random.IntN(5) {
	case 0:
		t.row.Kills += len(planners)
		killPlanners(t.fleet)
		return restartPlanners(ctx, t.fleet)
	case 1:
		t.row.Kills++
		return t.pause(ctx, planner)
	default:
		t.row.Kills++
		if leader, ok := lastLeader(t.fleet); ok && t.random.IntN(2) == 0 {
			planner = leader
		}
		return t.fleet.KillAndRestart(ctx, planner)
	}
}

// killPlanners kills all planners and waits until their processes have ended.
func killPlanners(fleet *faultinjection.Fleet) {
	for _, name := range fleet.PlannerNames() {
		fleet.Server(name).Kill()
	}
}

// restartPlanners restarts the planners whose processes have ended.
func restartPlanners(ctx context.Context, fleet *faultinjection.Fleet) error {
	for _, name := range fleet.PlannerNames() {
		if fleet.Server(name).Alive() {
			continue
		}
		if err := fleet.Restart(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// pause stops a planner for one to four seconds. It keeps its state.
func (t *trial) pause(ctx context.Context, planner string) error {
	if err := t.fleet.Pause(planner); err != nil {
		return err
	}
	timing.Sleep(ctx, timing.Seconds(1+3*t.random.Float64()))
	return t.fleet.Resume(planner)
}

// lastLeader returns the planner that last logged that it became the leader, and false if none has.
func lastLeader(fleet *faultinjection.Fleet) (string, bool) {
	events := fleet.Events("", plannerStarted)
	if len(events) == 0 {
		return "", false
	}
	return events[len(events)-1].Name, true
}

// planTerm identifies the planner leadership under which a plan was made. Cluster IDs increase when
// planners form a new cluster, terms increase within a cluster.
type planTerm struct {
	clusterID uint64
	term      uint64
}

func (t planTerm) before(other planTerm) bool {
	return t.clusterID < other.clusterID || t.clusterID == other.clusterID && t.term < other.term
}

// countStalePlans counts how often forwarders switched to a plan of an earlier term than their
// present plan. A forwarder logs an event each time the term of its plan changes.
func (t *trial) countStalePlans() (int, error) {
	stale := 0
	for _, name := range t.fleet.ForwarderNames() {
		var latest planTerm
		for _, event := range t.fleet.Events(name, planChanged) {
			current, err := parsePlanTerm(event)
			if err != nil {
				return stale, err
			}
			if current.before(latest) {
				stale++
			}
			latest = current
		}
	}
	return stale, nil
}

func parsePlanTerm(event faultinjection.LogEvent) (planTerm, error) {
	clusterID, err := strconv.ParseUint(event.Fields["cluster_id"], 10, 64)
	if err != nil {
		return planTerm{}, fmt.Errorf("%s of %s: cluster_id: %w", event.Event, event.Name, err)
	}
	term, err := strconv.ParseUint(event.Fields["term"], 10, 64)
	if err != nil {
		return planTerm{}, fmt.Errorf("%s of %s: term: %w", event.Event, event.Name, err)
	}
	return planTerm{clusterID, term}, nil
}
