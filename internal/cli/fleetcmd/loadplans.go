package fleetcmd

import (
	"fmt"
	"io"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/loadplan"
)

// plansCommand shows the load plan of a forwarder or a planner.
type plansCommand struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// Run requests the load plan from the process and prints it.
func (c *plansCommand) Run(s *session) error {
	status, err := fleet.FetchLoadPlan(s.addr)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, status)
	}
	if status.Planner != nil {
		return printPlanner(s.out, status.Name, status.Planner)
	}
	return printCurrentPlan(s.out, status)
}

// printPlanner prints the leading planner's state of forwarders, workers and its plan.
func printPlanner(out io.Writer, name string, planner *loadplan.Status) error {
	output := &report{out: out}
	t := output.newTable("forwarder", "heard s ago", "demand a second", "plan")
	for _, forwarder := range planner.Forwarders {
		t.rowf("%s\t%.1f\t%.1f\t%s",
			forwarder.Name, forwarder.ReportAgeSeconds, forwarder.Demand, formatVersion(forwarder.Version))
	}
	t.rowf("worker\tseen s ago\tcapacity a second\t")
	for _, worker := range planner.Workers {
		t.rowf("%s\t%.1f\t%.1f\t", worker.Name, worker.LastConnectedAgeSeconds, worker.Capacity)
	}
	t.end()
	if planner.AdmittedRate > 0 {
		output.linef("demand is over the workers' capacity: %.1f requests a second are admitted", planner.AdmittedRate)
	}
	output.linef("%s leads the planners, its plan is %s; %d plans by the fallback, %d reports rejected",
		name, formatVersion(planner.Version), planner.Fallbacks, planner.InvalidReports)
	return output.err
}

// printCurrentPlan prints the plan that a process follows if it is not the leading planner.
func printCurrentPlan(out io.Writer, status *fleet.LoadPlanStatus) error {
	output := &report{out: out}
	if status.Current != (loadplan.Version{}) {
		output.linef("%s follows plan %s, fresh for %.1f s; %d assignments were stale",
			status.Name, formatVersion(status.Current), status.FreshSeconds, status.RejectedAssignments)
	}
	output.linef("the planners' leader is %s", status.Leader)
	return output.err
}

// formatVersion formats the version of a plan.
func formatVersion(version loadplan.Version) string {
	return fmt.Sprintf("%d.%d.%d", version.ClusterID, version.Term, version.Sequence)
}
