package loadplan

import (
	"cmp"
	"math"
	"slices"
)

// minTenantDemandPerSecond is the lower bound of a tenant's demand where the demand is a divisor, to
// avoid a division by zero.
const minTenantDemandPerSecond = 1e-9

// limitRates sets the rate limits of all forwarders. If the total demand exceeds the total capacity,
// the capacity is divided among tenants by max-min fairness, and each tenant's share among forwarders
// in proportion to the tenant's demand there. Otherwise there are no limits.
func (p *Planner) limitRates(totalCapacity float64) {
	demand, totalDemand := p.demandByTenant()
	if totalDemand <= totalCapacity {
		for _, forwarder := range p.forwarders {
			forwarder.rateLimits = nil
		}
		return
	}
	admitted := admittedFractions(demand, totalCapacity)
	for _, forwarder := range p.forwarders {
		forwarder.rateLimits = forwarder.limitedRates(admitted)
	}
}

// demandByTenant returns the demand of each tenant over all forwarders, and its total.
func (p *Planner) demandByTenant() (demand map[string]float64, total float64) {
	demand = map[string]float64{}
	for _, forwarder := range p.forwarders {
		for tenant, rate := range forwarder.demandByTenant {
			demand[tenant] += rate
			total += rate
		}
	}
	return demand, total
}

// admittedFractions returns the fraction of each tenant's demand that is admitted.
func admittedFractions(demand map[string]float64, capacity float64) map[string]float64 {
	fairRate := maxMinFairRate(demand, capacity)
	fractions := make(map[string]float64, len(demand))
	for tenant, rate := range demand {
		fractions[tenant] = min(1, fairRate/max(rate, minTenantDemandPerSecond))
	}
	return fractions
}

// limitedRates returns the rate limits of one forwarder, sorted by tenant.
func (f *forwarderState) limitedRates(admitted map[string]float64) []TenantRate {
	var limits []TenantRate
	for tenant, rate := range f.demandByTenant {
		limits = append(limits, TenantRate{Tenant: tenant, Rate: rate * admitted[tenant]})
	}
	slices.SortFunc(limits, func(a, b TenantRate) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return limits
}

// maxMinFairRate returns the max-min fair limit: the highest limit per tenant at which the admitted
// demand of all tenants does not exceed the capacity. It returns +Inf if the whole demand fits.
func maxMinFairRate(demand map[string]float64, capacity float64) float64 {
	rates := make([]float64, 0, len(demand))
	for _, rate := range demand {
		rates = append(rates, rate)
	}
	slices.Sort(rates)
	for index, rate := range rates {
		remainingTenants := len(rates) - index
		if fairRate := capacity / float64(remainingTenants); rate >= fairRate {
			return fairRate
		}
		capacity -= rate
	}
	return math.Inf(1)
}
