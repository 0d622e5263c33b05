package loadplan

import (
	"cmp"
	"math"
	"slices"
)

// minTenantRate is the least divisor for a tenant's demand.
const minTenantRate = 1e-9

// limitRates sets the forwarders' rate limits. If the total demand exceeds the total capacity, the
// capacity is shared among tenants by max-min fairness, and a tenant's share among forwarders in
// proportion to its demand at each. Otherwise nothing is limited.
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

// demandByTenant sums the demand over all forwarders.
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
		fractions[tenant] = min(1, fairRate/max(rate, minTenantRate))
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

// maxMinFairRate returns the highest limit per tenant at which the admitted demand of all tenants
// does not exceed the capacity: max-min fairness. It is infinite if the whole demand fits.
func maxMinFairRate(demand map[string]float64, capacity float64) float64 {
	rates := make([]float64, 0, len(demand))
	for _, rate := range demand {
		rates = append(rates, rate)
	}
	slices.Sort(rates)
	for index, rate := range rates {
		unserved := len(rates) - index
		if fairRate := capacity / float64(unserved); rate >= fairRate {
			return fairRate
		}
		capacity -= rate
	}
	return math.Inf(1)
}
