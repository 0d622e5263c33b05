package admission

import (
	"math"

	"swiftcourse/internal/timewindow"
)

const (
	// unevenClients is the ratio of a tenant's traffic at one server to its mean over all servers
	// up to which it is within its quota: clients are not spread evenly.
	unevenClients = 1.5
	// A tenant may send burstDuration seconds of its rate at once, and minBurst requests however
	// few those are: one whose requests come by chance and that keeps to its quota is over such a
	// one for 1% of them.
	burstDuration = 2
	minBurst      = 6
)

// quotaLimiter holds the quota of each tenant at this server.
type quotaLimiter struct{ tenants []tenantQuota }

// tenantQuota is the quota of one tenant at this server.
type tenantQuota struct {
	timewindow.TokenBucket
	// binding tells that it is a share of a budget that holds for all servers together, so that
	// what exceeds it may not run at all.
	binding bool
}

func newQuotaLimiter(settings *Settings) quotaLimiter {
	var l quotaLimiter
	for _, tenant := range settings.Tenants {
		rate := unevenClients * tenant.Rate / max(1, float64(settings.Servers))
		bucket := timewindow.NewTokenBucket(rate, max(minBurst, burstDuration*rate))
		l.tenants = append(l.tenants, tenantQuota{TokenBucket: bucket})
	}
	return l
}

// chargeQuota takes a request from its tenant's quota and lowers its value if that is used up. It
// returns false where the quota is binding and used up.
func (c *Controller) chargeQuota(r *request, tenant int) bool {
	if tenant < 0 || tenant >= len(c.quota.tenants) {
		return true
	}
	quota := &c.quota.tenants[tenant]
	switch {
	case quota.Take(c.now):
		r.quota = quota
	case quota.binding:
		return false
	default:
		r.overQuota = true
		r.value *= c.settings.OverQuotaValue
	}
	return true
}

// handleAllowance replaces the server's own estimate of a quota by its share of a budget. Exception
// to the design: what all servers share is not estimated then.
func (c *Controller) handleAllowance(a *Allowance) {
	switch {
	case a.Tenant < 0:
		c.downstream.allowance = max(a.Limit, minCallAllowance)
	case a.Tenant < len(c.quota.tenants):
		c.quota.tenants[a.Tenant].bind(c.now, a)
	}
}

// bind has the quota follow an allowance from now on.
func (q *tenantQuota) bind(now float64, a *Allowance) {
	if !q.binding { // what its own estimate saved up is not of the budget
		q.TokenBucket = timewindow.NewTokenBucket(0, 0)
	}
	q.binding = true
	oneAtLeast := min(1, math.Ceil(a.Limit)) // of none, none is saved up
	q.SetRate(now, a.Limit, max(oneAtLeast, a.BurstDuration*a.Limit))
}
