package admission

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// maxTenantImbalance is the ratio of a tenant's traffic at one server to its mean over all servers up
	// to which it is within its quota, as clients are not spread evenly.
	maxTenantImbalance = 1.5
	// quotaBurstDuration is how many seconds of its rate a tenant may send at once.
	quotaBurstDuration = 2
	// minQuotaBurst is how many requests a tenant may send at once at the least. A tenant of a low rate
	// that keeps to its quota, with requests at random times, then exceeds it with 1% of them.
	minQuotaBurst = 6
)

// quotaLimiter holds the quota of each tenant at this server.
type quotaLimiter struct{ tenants []tenantQuota }

// tenantQuota is the quota of one tenant at this server.
type tenantQuota struct {
	timewindow.TokenBucket
	// binding tells that the quota was set by an allowance, so that requests over it are rejected.
	binding bool
}

func newQuotaLimiter(settings *Settings) quotaLimiter {
	var l quotaLimiter
	for _, tenant := range settings.Tenants {
		rate := maxTenantImbalance * tenant.Rate / max(1, float64(settings.Servers))
		bucket := timewindow.NewTokenBucket(rate, max(minQuotaBurst, quotaBurstDuration*rate))
		l.tenants = append(l.tenants, tenantQuota{TokenBucket: bucket})
	}
	return l
}

// chargeQuota charges a request to its tenant's quota, or lowers its value if the quota is used up.
// withinQuota is false where the request has to be rejected: its quota is used up and binding.
func (c *Controller) chargeQuota(r *request, tenant int) (withinQuota bool) {
	if tenant < 0 || tenant >= len(c.quota.tenants) {
		return true
	}
	quota := &c.quota.tenants[tenant]
	switch {
	case quota.Take(c.now):
		r.chargedQuota = quota
	case quota.binding:
		return false
	default:
		r.overQuota = true
		r.value *= c.settings.OverQuotaValue
	}
	return true
}

// handleAllowance replaces the server's own estimate of a limit by an allowance. Exception to the
// design, in which each server estimates its part of what all servers share.
func (c *Controller) handleAllowance(a *Allowance) {
	switch {
	case a.Tenant < 0: // CallAllowance
		c.downstream.allowance = max(a.Limit, minCallAllowance)
	case a.Tenant < len(c.quota.tenants):
		c.quota.tenants[a.Tenant].bind(c.now, a)
	}
}

// bind has the quota follow an allowance from now on.
func (q *tenantQuota) bind(now float64, a *Allowance) {
	if !q.binding { // requests that were saved up under the server's own estimate are forfeited
		q.TokenBucket = timewindow.NewTokenBucket(0, 0)
	}
	q.binding = true
	minBurst := min(1, math.Ceil(a.Limit)) // 1, or 0 with a limit of 0
	q.SetRate(now, a.Limit, max(minBurst, a.BurstDuration*a.Limit))
}
