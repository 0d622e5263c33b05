package server

import (
	"math"
	"slices"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/serving"
)

// This file applies leased shares of quotas: the controller is notified of a change at the head of
// the next batch. The loop itself checks when a lease expires, so that a share ends in time even if
// the goroutine that renews the lease does not run.

const (
	// usageInterval is how often, in seconds, usage is measured and reported.
	usageInterval = 0.1
	// usageWeight is the weight of the latest measurement in the moving average, which covers half
	// a second or so. With a weight of 0.3, swings of small demands took 1.5% of a quota from the
	// large one.
	usageWeight = 0.2
	// minUsageRate is the rate, in requests per second, below which a rate counts as 0.
	minUsageRate = 0.01
)

// QuotaUsage is the recent use of a quota.
type QuotaUsage struct {
	Name        string
	Demand      float64 // a tenant's requests per second, or the upstream calls in flight and waiting
	InFlight    float64 // upstream calls
	GrantNumber uint64  // of the grant that the loop applies
}

// quotas is the state of the quotas that the fleet shares.
type quotas struct {
	allowances []serving.Allowance
	applied    []float64 // the limit of each that the controller knows, negative for none
	received   []int     // requests by tenant, since the last count
	rates      []float64 // by tenant, of the last half second or so
	nextExpiry float64   // when the next lease expires; -Inf after invalidateLimits
	report     func([]QuotaUsage)

	reportCalls func(serving.CallStats) // nil without a circuit breaker
	calls       serving.CallStats       // since the last count
	probe       int64                   // number of the probing call that may be made, 0 for none
	usedProbe   int64                   // number of the latest one that was made
}

// EnableQuota has leased shares of quotas bind from the first request on, and reports their usage
// on the loop. It is called before Run.
func (s *Server) EnableQuota(report func([]QuotaUsage)) {
	tenants := len(s.startup.Settings.Tenants)
	s.fleet.quotas = &quotas{
		received:   make([]int, tenants),
		rates:      make([]float64, tenants),
		nextExpiry: math.Inf(1),
		report:     report,
	}
	s.every(usageInterval, s.reportQuotaUsage)
}

// ReportUpstreamCalls reports the outcomes of upstream calls, on the loop. It is called after
// EnableQuota and before Run.
func (s *Server) ReportUpstreamCalls(report func(serving.CallStats)) {
	s.fleet.quotas.reportCalls = report
}

// countUpstreamCall counts the outcome of a call that took so many seconds.
func (s *Server) countUpstreamCall(outcome admission.Outcome, seconds float64) {
	q := s.fleet.quotas
	if q == nil {
		return
	}
	if q.probe != 0 { // it was made: no other is, also before its outcome is reported
		q.usedProbe = q.probe
		q.probe = 0
		q.invalidateLimits()
	}
	if outcome == admission.Finished {
		q.calls.Succeeded++
		q.calls.TotalSeconds += seconds
	} else {
		q.calls.Failed++
	}
}

// SetAllowances sets what the server may use of all quotas. Any goroutine may call it; it returns
// at once, and the loop applies the allowances from its next batch on.
func (s *Server) SetAllowances(allowances []serving.Allowance) {
	s.fleet.allowances.Store(&allowances)
	s.loop.requestTurn()
}

// applyAllowances puts events about changed limits at the head of the batch.
func (s *Server) applyAllowances(now float64) {
	q := s.fleet.quotas
	latest := s.fleet.allowances.Load()
	if q == nil || latest == nil || s.decisions.controller == nil {
		return
	}
	allowances := *latest
	changed := !isSameSlice(allowances, q.allowances)
	if !changed && now < q.nextExpiry {
		return
	}
	if changed {
		s.replaceAllowances(allowances)
	} else if !q.limitsInvalid() {
		s.statistics.quotaExpired++
	}
	if events := q.updateLimits(now); events != nil {
		s.decisions.pending = append(events, s.decisions.pending...)
	}
}

// invalidateLimits has the limits computed again for the next batch, before a lease expires.
func (q *quotas) invalidateLimits() { q.nextExpiry = math.Inf(-1) }

func (q *quotas) limitsInvalid() bool { return math.IsInf(q.nextExpiry, -1) }

// isSameSlice reports whether both are the same slice of the same array: every new list of
// allowances is a new array.
func isSameSlice(a, b []serving.Allowance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// replaceAllowances takes a new list. If its quotas are not the same as before, the controller has
// to be notified of every one again.
func (s *Server) replaceAllowances(allowances []serving.Allowance) {
	q := s.fleet.quotas
	sameName := func(a, b serving.Allowance) bool { return a.Name == b.Name }
	if !slices.EqualFunc(allowances, q.allowances, sameName) {
		q.applied = make([]float64, len(allowances))
		for i := range q.applied {
			q.applied[i] = -1
		}
		s.removeAllowances(q.allowances, allowances)
	}
	q.allowances = allowances
}

// updateLimits returns events for the limits that differ from what the controller knows, and sets
// the time of the next expiry.
func (q *quotas) updateLimits(now float64) (events []admission.Event) {
	q.nextExpiry = math.Inf(1)
	q.probe = 0
	for i := range q.allowances {
		allowance := &q.allowances[i]
		if now < allowance.LeaseExpiry {
			q.nextExpiry = min(q.nextExpiry, allowance.LeaseExpiry)
		}
		limit := allowance.LimitAt(now)
		if allowance.ProbeNumber != 0 && allowance.ProbeNumber == q.usedProbe {
			limit = 0
		} else if limit > 0 {
			q.probe = max(q.probe, allowance.ProbeNumber)
		}
		if limit != q.applied[i] {
			q.applied[i] = limit
			events = append(events, allowanceChanged(allowance.Tenant, limit, allowance.BurstSeconds))
		}
	}
	return events
}

// removeAllowances notifies the controller of quotas that no longer exist, by a limit that never
// binds.
func (s *Server) removeAllowances(previous, next []serving.Allowance) {
	for _, removed := range previous {
		sameTenant := func(a serving.Allowance) bool { return a.Tenant == removed.Tenant }
		if !slices.ContainsFunc(next, sameTenant) {
			event := allowanceChanged(removed.Tenant, math.MaxInt32, 1)
			s.decisions.pending = append([]admission.Event{event}, s.decisions.pending...)
		}
	}
}

func allowanceChanged(tenant int, limit, burst float64) admission.Event {
	return admission.Event{
		Kind:      admission.AllowanceChanged,
		Allowance: &admission.Allowance{Tenant: tenant, Limit: limit, BurstDuration: burst},
	}
}

// countQuotaDemand counts a request of a tenant.
func (s *Server) countQuotaDemand(tenant int) {
	if q := s.fleet.quotas; q != nil && tenant < len(q.received) {
		q.received[tenant]++
	}
}

// reportQuotaUsage reports the demand and use of all quotas.
func (s *Server) reportQuotaUsage() {
	quotas := s.fleet.quotas
	quotas.updateRates()
	if s.decisions.controller == nil {
		return
	}
	if quotas.reportCalls != nil {
		quotas.calls.InFlight, _ = s.decisions.controller.DownstreamCalls()
		quotas.reportCalls(quotas.calls)
		quotas.calls = serving.CallStats{}
	}
	var used []QuotaUsage
	for i := range quotas.allowances {
		allowance := &quotas.allowances[i]
		usage := s.usageOf(allowance)
		if usage.Demand > 0 || usage.InFlight > 0 || allowance.LeaseExpiry > s.now() {
			used = append(used, usage)
		}
	}
	if used != nil {
		quotas.report(used)
	}
}

// updateRates updates each tenant's rate with the requests since the last measurement.
func (q *quotas) updateRates() {
	for _, allowance := range q.allowances {
		if allowance.Tenant < 0 {
			continue
		}
		// More than the whole quota tells nothing, and would take long to be forgotten once demand
		// is elsewhere.
		rate := &q.rates[allowance.Tenant]
		latest := min(float64(q.received[allowance.Tenant])/usageInterval, allowance.FleetMax)
		*rate += usageWeight * (latest - *rate)
		if *rate < minUsageRate {
			*rate = 0
		}
	}
	clear(q.received)
}

// usageOf is the use of a quota: a tenant's rate of requests, or the upstream calls in flight and
// waiting.
func (s *Server) usageOf(allowance *serving.Allowance) QuotaUsage {
	usage := QuotaUsage{Name: allowance.Name, GrantNumber: allowance.GrantNumber}
	if allowance.Tenant >= 0 {
		usage.Demand = s.fleet.quotas.rates[allowance.Tenant]
		return usage
	}
	inFlight, waiting := s.decisions.controller.DownstreamCalls()
	usage.Demand = float64(inFlight + waiting)
	usage.InFlight = float64(inFlight)
	if allowance.Capped { // it can't use more
		usage.Demand = min(usage.Demand, allowance.Cap)
	}
	return usage
}
