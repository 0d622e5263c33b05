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
	// noTenant is the tenant index of an allowance that limits concurrent calls to the downstream
	// service.
	noTenant = -1
	// unlimited stands for the absence of a limit, in fields for rates and for numbers of calls.
	unlimited = math.MaxInt32
	// circuitBreakerAllowance is the name of the allowance of calls if no quota limits them and
	// only the circuit breaker does.
	circuitBreakerAllowance = "below"
)

// allowanceSet has the server's allowances from three sources: quotas, the load plan and the
// circuit breaker of the downstream service. Whenever one source changes, the merged allowances are
// passed to the server.
type allowanceSet struct {
	server *server.Server

	mu        sync.Mutex
	quotas    []serving.Allowance
	plan      []serving.Allowance
	callLimit fleet.CallLimit // from the circuit breaker
}

// newAllowanceSet returns a set without limits.
func newAllowanceSet(srv *server.Server) *allowanceSet {
	return &allowanceSet{server: srv, callLimit: fleet.CallLimit{MaxInFlight: math.Inf(1)}}
}

// setQuotas sets the allowances from quotas.
func (s *allowanceSet) setQuotas(quotas []serving.Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quotas = quotas
	s.publish()
}

// setPlan sets the allowances from the load plan, which limit the request rates of tenants.
func (s *allowanceSet) setPlan(plan []serving.Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan = plan
	s.publish()
}

// setCallLimit sets the limit on calls in flight to the downstream service.
func (s *allowanceSet) setCallLimit(limit fleet.CallLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callLimit = limit
	s.publish()
}

// publish passes the merged allowances to the server. The caller holds the lock.
func (s *allowanceSet) publish() { s.server.SetAllowances(s.merged()) }

// merged returns the allowances of all sources. A tenant's quota takes precedence over its rate in
// the load plan, and the circuit breaker's limit caps the allowance of calls.
func (s *allowanceSet) merged() []serving.Allowance {
	allowances := slices.Clone(s.quotas)
	for _, planned := range s.plan {
		hasQuota := func(a serving.Allowance) bool { return a.Tenant == planned.Tenant }
		if !slices.ContainsFunc(allowances, hasQuota) { // a quota takes precedence
			allowances = append(allowances, planned)
		}
	}
	if !math.IsInf(s.callLimit.MaxInFlight, 1) {
		allowances = capCalls(allowances, s.callLimit)
	}
	return allowances
}

// capCalls caps the allowance of calls to the downstream service. If there is none, it adds one.
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
	calls.ProbeNumber = limit.ProbeNumber
	return allowances
}
