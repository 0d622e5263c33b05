package main

import (
	"log/slog"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
)

// planAllowancePrefix begins the names of allowances that a load plan sets.
const planAllowancePrefix = "plan/"

// loadPlanConfig returns the fleet agent's configuration of load plans, nil if the server does not
// forward its requests.
func (p *fleetProgram) loadPlanConfig() *fleet.LoadPlanConfig {
	if p.dispatcher == nil {
		return nil
	}
	follower := &planFollower{program: p}
	return &fleet.LoadPlanConfig{
		Report:       func(float64) *loadplan.Report { return p.dispatcher.TakeReport() },
		OnAssignment: follower.follow,
	}
}

// planFollower has a forwarder follow its assignments. The fleet agent's goroutine owns it.
type planFollower struct {
	program *fleetProgram
	current loadplan.Version
}

// follow has the dispatcher and the server go by an assignment until freshUntil, in the agent's
// time.
func (f *planFollower) follow(assignment *loadplan.Assignment, freshUntil float64) {
	version := assignment.Version
	if version.ClusterID != f.current.ClusterID || version.Term != f.current.Term {
		slog.Info("load_planner_changed",
			"cluster_id", version.ClusterID,
			"term", version.Term,
			"sequence", version.Sequence,
			"weights", len(assignment.Weights),
			"rate_limits", len(assignment.RateLimits),
		)
	}
	f.current = version
	expiry := f.program.clock.ToSource(freshUntil)
	f.program.dispatcher.ApplyPlan(assignment.WeightsByName(), expiry)
	f.program.allowances.setPlan(planAllowances(assignment, f.program.startup, expiry))
}

// planAllowances returns what an assignment admits of each tenant. After its expiry nothing is
// limited, as workers reject what they can't do. An allowance is the sum of its guaranteed rate,
// which is unlimited here, and of its leased share, which holds until the expiry and is therefore
// negative.
func planAllowances(
	assignment *loadplan.Assignment, startup *config.Startup, expiry float64,
) (allowances []serving.Allowance) {
	for _, limit := range assignment.RateLimits {
		tenant, known := startup.TenantIndex[limit.Tenant]
		if !known {
			continue
		}
		allowances = append(allowances, serving.Allowance{
			Name:         planAllowancePrefix + limit.Tenant,
			Tenant:       tenant,
			FleetMax:     unlimited,
			Guaranteed:   unlimited,
			LeasedShare:  limit.Rate - unlimited,
			LeaseExpiry:  expiry,
			BurstSeconds: quota.BurstSeconds,
		})
	}
	return allowances
}
