package server

import (
	"math"
	"slices"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/serving"
)

// This file applies leased shares of quotas. A changed limit is passed to the controller as the first
// event of the next batch. The loop itself checks the expiry of leases, so that a share ends in time
// even if the goroutine that renews the lease does not run.

const (
	// usageIntervalSeconds is how often usage is measured and reported.
	usageIntervalSeconds = 0.1
	// usageWeight is the weight of the latest measurement in the moving average, which covers about
	// half a second. With a weight of 0.3, fluctuations of small demands took 1.5% of a quota away
	// from the large demand.
	usageWeight = 0.2
	// minUsageRatePerSecond is the least rate, in requests per second, that does not count as 0.
	minUsageRatePerSecond = 0.01
)

// QuotaUsage is the recent use of a quota.
type QuotaUsage struct {
	Name        string
	Demand      float64 // a tenant's requests per second, or the number of upstream calls in flight and waiting
	InFlight    float64 // number of upstream calls in flight
	GrantNumber uint64  // number of the grant that the loop applies
}

// quotas is the state of the quotas that the fleet shares.
type quotas struct {
	allowances []serving.Allowance
	applied    []float64 // last limit passed to the controller for each allowance, negative for none
	received   []int     // requests since the last measurement, by tenant
	rates      []float64 // moving average of requests per second, by tenant
	nextExpiry float64   // when the next lease expires; -Inf after invalidateLimits
	report     func([]QuotaUsage)

	reportCalls func(serving.CallStats) // nil without a circuit breaker
	calls       serving.CallStats       // since the last report
	probe       int64                   // number of the probe call that may be made, 0 for none
	usedProbe   int64                   // number of the last probe call that was made
}

// EnableQuota enforces leased shares of quotas from the first request on; report is called on the
// loop with their usage. EnableQuota must be called before Run.
func (s *Server) EnableQuota(report func([]QuotaUsage)) {
	tenants := len(s.startup.Settings.Tenants)
	s.fleet.quotas = &quotas{
		received:   make([]int, tenants),
		rates:      make([]float64, tenants),
		nextExpiry: math.Inf(1),
		report:     report,
	}
	s.scheduleEvery(usageIntervalSeconds, s.reportQuotaUsage)
}

// ReportUpstreamCalls makes the server report the outcomes of upstream calls, by calling report on
// the loop. It must be called after EnableQuota and before Run.
func (s *Server) ReportUpstreamCalls(report func(serving.CallStats)) {
	s.fleet.quotas.reportCalls = report
}

// countUpstreamCall counts the outcome and the duration of an upstream call.
func (s *Server) countUpstreamCall(outcome admission.Outcome, seconds float64) {
	q := s.fleet.quotas
	if q == nil {
		return
	}
	if q.probe != 0 { // this call was the probe: allow no other call before its outcome is reported
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

// SetAllowances sets the server's allowances of all quotas. Any goroutine may call it; it returns at
// once, and the loop applies the allowances from its next batch on.
func (s *Server) SetAllowances(allowances []serving.Allowance) {
	s.fleet.allowances.Store(&allowances)
	s.loop.requestTurn()
}

// applyAllowances inserts events for changed limits at the start of the batch.
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

// invalidateLimits makes the next batch compute the limits again, even if no lease has expired.
func (q *quotas) invalidateLimits() { q.nextExpiry = math.Inf(-1) }

func (q *quotas) limitsInvalid() bool { return math.IsInf(q.nextExpiry, -1) }

// isSameSlice reports whether a and b share the same array and length. That is enough to detect a
// new list of allowances, as each list has its own array.
func isSameSlice(a, b []serving.Allowance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// replaceAllowances sets a new list of allowances. If the list names other quotas than before, the
// controller has to be notified of all limits again.
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

// updateLimits returns events for the limits that changed since the controller was last notified, and
// sets the time of the next expiry.
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

// removeAllowances lifts the limits of quotas that no longer exist, by setting them so high that they
// never apply.
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

// countQuotaDemand counts a request in its tenant's demand.
func (s *Server) countQuotaDemand(tenant int) {
	if q := s.fleet.quotas; q != nil && tenant < len(q.received) {
		q.received[tenant]++
	}
}

// reportQuotaUsage reports the demand and usage of the quotas that are in demand, in use or leased.
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
	var usages []QuotaUsage
	for i := range quotas.allowances {
		allowance := &quotas.allowances[i]
		usage := s.usageOf(allowance)
		if usage.Demand > 0 || usage.InFlight > 0 || allowance.LeaseExpiry > s.now() {
			usages = append(usages, usage)
		}
	}
	if usages != nil {
		quotas.report(usages)
	}
}

// updateRates updates each tenant's average rate with the requests since the last measurement.
func (q *quotas) updateRates() {
	for _, allowance := range q.allowances {
		if allowance.Tenant < 0 {
			continue
		}
		// The rate is capped at the whole quota: a higher one has no meaning, and the average would
		// take long to fall after the demand has moved to other servers.
		rate := &q.rates[allowance.Tenant]
		latest := min(float64(q.received[allowance.Tenant])/usageIntervalSeconds, allowance.FleetMax)
		*rate += usageWeight * (latest - *rate)
		if *rate < minUsageRatePerSecond {
			*rate = 0
		}
	}
	clear(q.received)
}

// usageOf returns the usage of a quota: the rate of a tenant's requests, or the number of upstream
// calls in flight and waiting.
func (s *Server) usageOf(allowance *serving.Allowance) QuotaUsage {
	usage := QuotaUsage{Name: allowance.Name, GrantNumber: allowance.GrantNumber}
	if allowance.Tenant >= 0 {
		usage.Demand = s.fleet.quotas.rates[allowance.Tenant]
		return usage
	}
	inFlight, waiting := s.decisions.controller.DownstreamCalls()
	usage.Demand = float64(inFlight + waiting)
	usage.InFlight = float64(inFlight)
	if allowance.Capped { // the server can't use more than the cap
		usage.Demand = min(usage.Demand, allowance.Cap)
	}
	return usage
}
