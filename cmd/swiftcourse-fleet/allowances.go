package main

import (
	"math"
	"slices"
	"sync"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/server"
)

const (
	// noTenant is the tenant of an allowance that limits concurrent calls to the downstream service.
	noTenant = -1
	// unlimited is the value of a rate or number that is not limited.
	unlimited = math.MaxInt32
	// circuitBreakerAllowance is the name of the allowance that only the circuit breaker caps.
	circuitBreakerAllowance = "below"
)

// allowanceSet is what the server may use: of quotas, of the load plan, and of the downstream service.
// Each of the three comes at its own time; all of them are handed to the server whenever one
// changes.
type allowanceSet struct {
	server *server.Server

	mu        sync.Mutex
	quotas    []serving.Allowance
	plan      []serving.Allowance
	callLimit fleet.CallLimit // of the circuit breaker
}

// newAllowanceSet returns a set in which nothing is limited.
func newAllowanceSet(srv *server.Server) *allowanceSet {
	return &allowanceSet{server: srv, callLimit: fleet.CallLimit{MaxInFlight: math.Inf(1)}}
}

// setQuotas sets what may be used of quotas.
func (s *allowanceSet) setQuotas(quotas []serving.Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quotas = quotas
	s.publish()
}

// setPlan sets the rates that the load plan admits.
func (s *allowanceSet) setPlan(plan []serving.Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
	s.publish()
}

// setCallLimit sets how many calls to the downstream service may be in flight.
func (s *allowanceSet) setCallLimit(limit fleet.CallLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callLimit = limit
	s.publish()
}

// publish hands the server all allowances. The caller holds the lock.
func (s *allowanceSet) publish() { s.server.SetAllowances(s.merged()) }

// merged returns all allowances.
func (s *allowanceSet) merged() []serving.Allowance {
	allowances := slices.Clone(s.quotas)
	for _, planned := range s.plan {
		hasQuota := func(a serving.Allowance) bool { return a.Tenant == planned.Tenant }
		if !slices.ContainsFunc(allowances, hasQuota) { // a quota goes before the plan
			allowances = append(allowances, planned)
		}
	}
	if !math.IsInf(s.callLimit.MaxInFlight, 1) {
		allowances = capCalls(allowances, s.callLimit)
	}
	return allowances
}

// capCalls caps the allowance of calls to the downstream service, and adds one if there is none.
func capCalls(allowances []serving.Allowance, limit fleet.CallLimit) []serving.Allowance {
	limitsCalls := func(a serving.Allowance) bool { return a.Tenant < 0 }
	index := slices.IndexFunc(allowances, limitsCalls)
	if index < 0 {
		index = len(allowances)
		allowances = append(allowances, serving.Allowance{
			Name:       circuitBreakerAllowance,
			Tenant:     noTenant,
			FleetMax:   unlimited,
			Guaranteed: unlimited,
		})
	}
	calls := &allowances[index]
	calls.Capped = true
	calls.Cap = limit.MaxInFlight
	calls.ProbeNumber = limit.Probe
	return allowances
}
