package admission

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// maxTenantImbalance is the ratio of a tenant's traffic at one server to its mean over all
	// servers up to which the tenant is within its quota. It exceeds 1 because clients are not
	// spread evenly over the servers.
	maxTenantImbalance = 1.5
	// quotaBurstSeconds is the burst that a tenant may send at once, in seconds of its rate.
	quotaBurstSeconds = 2
	// minQuotaBurst is the minimum burst in requests. With it, a tenant with a low rate that
	// keeps to its quota on average and sends at random times exceeds the quota with 1% of its
	// requests.
	minQuotaBurst = 6
)

// quotaLimiter holds the quotas of all tenants at this server.
type quotaLimiter struct{ tenants []tenantQuota }

// tenantQuota is the quota of one tenant at this server.
type tenantQuota struct {
	timewindow.TokenBucket
	// binding is whether the quota was set by an allowance, so that requests over it are
	// rejected.
	binding bool
}

func newQuotaLimiter(settings *Settings) quotaLimiter {
	var l quotaLimiter
	for _, tenant := range settings.Tenants {
		rate := maxTenantImbalance * tenant.Rate / max(1, float64(settings.Servers))
		bucket := timewindow.NewTokenBucket(rate, max(minQuotaBurst, quotaBurstSeconds*rate))
		l.tenants = append(l.tenants, tenantQuota{TokenBucket: bucket})
	}
	return l
}

// chargeQuota charges a request to its tenant's quota. If the quota is used up and not binding,
// the request is marked as over quota and its value is lowered. withinQuota is false if the quota
// is used up and binding, so that the request has to be rejected.
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
		r.value *= c.settings.OverQuotaValueFactor
	}
	return true
}

// handleAllowance replaces the server's own estimate of a limit by an allowance. Exception to the
// design, in which each server estimates its share of the limits that apply to all servers
// together.
func (c *Controller) handleAllowance(a *Allowance) {
	switch {
	case a.Tenant < 0: // the allowance is for calls: CallAllowance
		c.downstream.allowance = max(a.Limit, minCallAllowance)
	case a.Tenant < len(c.quota.tenants):
		c.quota.tenants[a.Tenant].bind(c.now, a)
	}
}

// bind makes the quota follow an allowance from now on.
func (q *tenantQuota) bind(now float64, a *Allowance) {
	if !q.binding { // requests saved up under the server's own estimate are forfeited
		q.TokenBucket = timewindow.NewTokenBucket(0, 0)
	}
	q.binding = true
	minBurst := min(1, math.Ceil(a.Limit)) // 1, or 0 if the limit is 0
	q.SetRate(now, a.Limit, max(minBurst, a.BurstDuration*a.Limit))
}
