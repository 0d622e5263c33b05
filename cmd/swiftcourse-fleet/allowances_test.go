package main

import (
	"math"
	"slices"
	"testing"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/serving"
)

func TestAllowanceSet_Merged(t *testing.T) {
	calls := serving.Allowance{Name: "calls", Tenant: noTenant, Guaranteed: 4}
	tenant := serving.Allowance{Name: "tenant/a", Tenant: 1, Guaranteed: 5}
	planned := serving.Allowance{Name: "plan/a", Tenant: 1}
	other := serving.Allowance{Name: "plan/b", Tenant: 2}
	capped := serving.Allowance{Name: "calls", Tenant: noTenant, Guaranteed: 4, Capped: true, Cap: 3, ProbeNumber: 7}
	breakerOnly := serving.Allowance{
		Name:        "below",
		Tenant:      noTenant,
		FleetMax:    unlimited,
		Guaranteed:  unlimited,
		Capped:      true,
		Cap:         3,
		ProbeNumber: 7,
	}
	breaker := fleet.CallLimit{MaxInFlight: 3, ProbeNumber: 7}
	closed := fleet.CallLimit{MaxInFlight: math.Inf(1)}
	for _, c := range []struct {
		name string
		set  *allowanceSet
		want []serving.Allowance
	}{
		{"no limits", &allowanceSet{callLimit: closed}, nil},
		{
			"a quota takes precedence over the plan",
			&allowanceSet{
				quotas:    []serving.Allowance{tenant},
				plan:      []serving.Allowance{planned, other},
				callLimit: closed,
			},
			[]serving.Allowance{tenant, other},
		},
		{
			"the circuit breaker caps the quota of calls",
			&allowanceSet{quotas: []serving.Allowance{tenant, calls}, callLimit: breaker},
			[]serving.Allowance{tenant, capped},
		},
		{"only the circuit breaker limits calls", &allowanceSet{callLimit: breaker}, []serving.Allowance{breakerOnly}},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := slices.Clone(c.set.quotas)
			if got := c.set.merged(); !slices.Equal(got, c.want) {
				t.Errorf("merged allowances %+v, want %+v", got, c.want)
			}
			if !slices.Equal(c.set.quotas, before) {
				t.Errorf("merged changed the quotas' allowances to %+v, want %+v", c.set.quotas, before)
			}
		})
	}
}

func TestPlanAllowances_LimitUntilExpiry(t *testing.T) {
	startup := &config.Startup{TenantIndex: map[string]int{"a": 3}}
	assignment := &loadplan.Assignment{
		RateLimits: []loadplan.TenantRate{{Tenant: "other", Rate: 1}, {Tenant: "a", Rate: 20}},
	}
	allowances := planAllowances(assignment, startup, 100)
	if len(allowances) != 1 || allowances[0].Tenant != 3 || allowances[0].Name != "plan/a" {
		t.Fatalf("allowances %+v, want plan/a with tenant 3 only", allowances)
	}
	if limit := allowances[0].LimitAt(99); limit != 20 {
		t.Errorf("limit %g before the expiry, want 20", limit)
	}
	if limit := allowances[0].LimitAt(100); limit != unlimited {
		t.Errorf("limit %g after the expiry, want none", limit)
	}
}
