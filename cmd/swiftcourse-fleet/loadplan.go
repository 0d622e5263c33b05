package main

import (
	"log/slog"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
)

// planAllowancePrefix, followed by the tenant's name, is the name of an allowance from a load plan.
const planAllowancePrefix = "plan/"

// loadPlanConfig returns the fleet agent's configuration of load plans, or nil if the server does
// not forward its requests.
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

// planFollower applies the load plan's assignments to a forwarder. The fleet agent's goroutine owns
// it.
type planFollower struct {
	program *fleetProgram
	current loadplan.Version
}

// follow makes the dispatcher and the server apply an assignment until freshUntil, a time on the
// agent's clock.
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

// planAllowances returns the allowances for an assignment's rate limits of tenants. After the
// expiry nothing is limited, as workers reject requests beyond their capacity. The limit of an
// allowance is the sum of the guaranteed rate and, until the expiry, the leased share. As the
// guaranteed rate is unlimited here, the leased share is negative.
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
