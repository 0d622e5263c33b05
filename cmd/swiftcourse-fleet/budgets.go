package main

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"swiftcourse/internal/config"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/server"
)

// This file is what the operator's file says of budgets, and their way between the fleet's part and the serving loop.

// calls is the budget of calls below, tenantBudget begins the names of tenants'.
const (
	calls        = "calls"
	tenantBudget = "tenant/"
)

// termsOf reads the budgets of a file; none where budget-servers is not there.
func termsOf(conf *config.OperatorSettings, start *config.Startup) (quota.Config, error) {
	t := quota.Config{LeaseSeconds: conf.Fleet.LeaseDuration.Seconds(), FloorFraction: float64(conf.Quota.FloorFraction), MaxServers: conf.Quota.MaxServers}
	if conf.Quota.MaxServers == 0 {
		if len(conf.Quota.Limits) > 0 {
			return t, errors.New("budget: needs budget-servers")
		}
		return t, nil
	}
	longest := 0.0
	for _, stage := range start.Settings.Classes {
		longest = max(longest, stage.Timeout)
	}
	for _, text := range conf.Quota.Limits {
		name, number, ok := strings.Cut(text, "=")
		most, err := strconv.ParseFloat(number, 64)
		if !ok || err != nil || name != calls && !strings.HasPrefix(name, tenantBudget) {
			return t, fmt.Errorf("budget: %q is neither tenant/NAME=RATE nor calls=NUMBER", text)
		}
		b := quota.Limit{Name: name, Max: most}
		if name == calls { // a call ends with its task, and lingers below for as long as the platform says
			b.Concurrent, b.LingerSeconds = true, longest+start.Settings.Downstream.AbandonedCallLifetime
		}
		t.Limits = append(t.Limits, b)
	}
	if err := t.Validate(); err != nil {
		return t, fmt.Errorf("budget: %w", err)
	}
	return t, nil
}

// budgets is what the fleet's part needs to know of them, nil where none are shared.
func (p *parts) budgets(start *config.Startup, clock *fleet.Clock) (*fleet.QuotaConfig, error) {
	terms, err := termsOf(p.own, start)
	if err != nil || p.own.Quota.MaxServers == 0 {
		return nil, err
	}
	p.terms = terms
	return &fleet.QuotaConfig{
		Settings: func() quota.Config {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.terms
		},
		OnAllowances: func(list []quota.Allowance) {
			here := make([]serving.Allowance, 0, len(list))
			for _, a := range list {
				tenant := -1
				if a.Name != calls {
					at, known := start.TenantIndex[strings.TrimPrefix(a.Name, tenantBudget)]
					if !known { // this server has no tasks of that tenant
						continue
					}
					tenant = at
				}
				here = append(here, serving.Allowance{Name: a.Name, FleetMax: a.FleetMax, Tenant: tenant, Guaranteed: a.Floor, LeasedShare: a.LeasedShare, LeaseExpiry: clock.ToSource(a.LeaseExpiry), BurstSeconds: quota.BurstSeconds, GrantNumber: a.GrantNumber})
			}
			p.allow(func() { p.parted = here })
		},
	}, nil
}

// allow hands the loop what it may use, of budgets and of the service below, once change has changed one of them.
func (p *parts) allow(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	list := slices.Clone(p.parted)
	for _, a := range p.planned { // a budget binds as it is
		if !slices.ContainsFunc(list, func(b serving.Allowance) bool { return b.Tenant == a.Tenant }) {
			list = append(list, a)
		}
	}
	if !math.IsInf(p.held.MaxInFlight, 1) {
		i := slices.IndexFunc(list, func(a serving.Allowance) bool { return a.Tenant < 0 })
		if i < 0 {
			list = append(list, serving.Allowance{Name: "below", Tenant: -1, FleetMax: math.MaxInt32, Guaranteed: math.MaxInt32})
			i = len(list) - 1
		}
		list[i].Capped, list[i].Cap, list[i].ProbeNumber = true, p.held.MaxInFlight, p.held.Probe
	}
	p.server.SetAllowances(list)
}

// below is what the fleet's part needs to judge the service below, nil where it does not.
func (p *parts) below() *fleet.HealthConfig {
	if !p.own.Fleet.SharedHealthChecks {
		return nil
	}
	return &fleet.HealthConfig{Zone: p.own.Fleet.Zone, OnLimit: func(held fleet.CallLimit) { p.allow(func() { p.held = held }) }}
}

// uses passes on what the loop used.
func uses(list []server.QuotaUsage) []fleet.Usage {
	to := make([]fleet.Usage, len(list))
	for i, u := range list {
		to[i] = fleet.Usage{Name: u.Name, Demand: u.Demand, Open: u.InFlight, Answer: u.GrantNumber}
	}
	return to
}
