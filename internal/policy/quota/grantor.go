package quota

import (
	"math"
	"slices"
)

// Grantor leases shares of the pools to holders. The leader of the voters runs it for one term;
// each new leader creates its own Grantor.
type Grantor struct {
	id         uint64
	config     Config
	configHash uint64
	startedAt  float64 // when the term began
	limits     map[string]*grantorLimit
}

// maxLeases bounds the leases recorded in one allocation. A holder sends requests at least 0.1 s
// apart, so there is room for the grants of 6.4 s, and no grant that the holder may still apply is
// lost.
const maxLeases = 64

// NewGrantor returns the grantor of a leader whose term begins now. id must be random so that no
// two grantors have the same one.
func NewGrantor(config Config, id uint64, now float64) *Grantor {
	g := &Grantor{id: id, startedAt: now, limits: map[string]*grantorLimit{}}
	g.ApplyConfig(config)
	return g
}

// ApplyConfig replaces the configuration. Shares that are already leased still count as committed.
func (g *Grantor) ApplyConfig(config Config) {
	previous := g.limits
	config.Limits = slices.Clone(config.Limits)
	g.config = config
	g.configHash = config.Hash()
	g.limits = make(map[string]*grantorLimit, len(config.Limits))
	for i := range config.Limits {
		limit := &config.Limits[i]
		state := newGrantorLimit(&config, limit)
		if old := previous[limit.Name]; old != nil && old.limit.Concurrent == limit.Concurrent {
			state.allocations = old.allocations
		}
		g.limits[limit.Name] = state
	}
}

// previousGrantorStopTime returns the time after which no earlier grantor can still grant a lease.
func (g *Grantor) previousGrantorStopTime() float64 {
	return g.startedAt + leaderLeaseSeconds*(1+maxClockDrift)
}

// priorLeasesExpired reports whether all leases granted by earlier grantors have expired and no
// unit taken under them is still in use.
func (g *Grantor) priorLeasesExpired(state *grantorLimit, now float64) bool {
	return now > state.leaseExpiry(g.previousGrantorStopTime(), g.config.LeaseSeconds)
}

// HandleRequest returns the reply to a holder's request. confirmed is true if a majority of the
// voters confirmed this leader within the last second. HandleRequest returns nil, and nothing must
// be sent, if the leader is not confirmed, an earlier grantor may still grant leases, the holder
// has a different configuration, or the request is late or duplicated.
func (g *Grantor) HandleRequest(now float64, request *Request, confirmed bool) *Reply {
	if !confirmed || now <= g.previousGrantorStopTime() || !g.accepts(request) {
		return nil
	}
	reply := &Reply{Incarnation: request.Incarnation, Number: request.Number, GrantorID: g.id}
	if request.GrantorID != g.id {
		// The holder has not processed a reply of this grantor, so the request may be old. The
		// share it reports may have expired, and an earlier grantor may have leased it to another
		// holder since. The reply therefore carries the grantor's ID but no grants.
		return reply
	}
	for i := range request.Demands {
		demand := &request.Demands[i]
		state := g.limits[demand.Name]
		if state == nil {
			continue
		}
		if known := state.allocations[request.Incarnation]; known != nil && request.Number <= known.requestNumber {
			// The request is late or duplicated. A reply without grants could reach the holder
			// before the reply that has them, and the holder would ignore the latter.
			return nil
		}
		if share, granted := g.grant(now, state, request, demand); granted {
			reply.Grants = append(reply.Grants, Grant{Name: demand.Name, LeasedShare: share})
		}
	}
	return reply
}

// accepts reports whether a request is well-formed and its sender has this grantor's configuration.
func (g *Grantor) accepts(request *Request) bool {
	return request.Incarnation != 0 && request.Number != 0 &&
		request.ConfigHash == g.configHash && len(request.Demands) <= MaxEntries
}

// grant determines the share of one limit that a holder gets and records the lease. granted is
// false if there is no room to record it.
func (g *Grantor) grant(
	now float64, state *grantorLimit, request *Request, demand *Demand,
) (share float64, granted bool) {
	allocated := state.allocationOf(request.Incarnation, now, g.config.LeaseSeconds)
	if allocated == nil {
		return 0, false
	}
	allocated.requestNumber = request.Number
	allocated.lastRequestAt = now
	state.setRequested(allocated, demand.Requested)
	state.divide(now, g.config.LeaseSeconds)

	committedBefore := allocated.committed(now)
	available := max(0, state.pool-max(0, state.committed-committedBefore))
	priorExpired := g.priorLeasesExpired(state, now)
	if !priorExpired {
		g.adoptPriorLease(now, state, allocated, demand, available)
	}
	state.releaseUnused(now, allocated, demand)
	if !priorExpired {
		// Other holders may have leases from earlier grantors that are not recorded here, so this
		// holder's share must not grow.
		available = min(available, allocated.committed(now))
	}
	wanted := min(allocated.need, state.division.maxNeed) + state.division.headroom*allocated.requested
	share = min(wanted, available)
	granted = g.addLease(now, state, allocated, share)
	state.committed += allocated.committed(now) - committedBefore
	return share, granted
}

// adoptPriorLease records a lease that a holder reports to have from an earlier grantor, so that
// its share counts as committed until the lease has expired. The share is capped at available, the
// part of the pool not committed to other holders, so a holder with a false claim takes nothing
// from them.
func (g *Grantor) adoptPriorLease(now float64, state *grantorLimit, a *allocation, demand *Demand, available float64) {
	if demand.GrantNumber == 0 || !(demand.RemainingSeconds > 0) || a.hasLease(demand.GrantNumber) {
		return
	}
	remaining := min(clamp(demand.RemainingSeconds, math.MaxFloat64), g.config.LeaseSeconds)
	a.leases = append(a.leases, lease{
		requestNumber: demand.GrantNumber,
		share:         min(clamp(demand.LeasedShare, state.pool), available),
		expiry:        state.leaseExpiry(now, remaining),
	})
}

// addLease records a lease of the share under the number of the latest request. It returns false if
// maxLeases unexpired leases are recorded already.
func (g *Grantor) addLease(now float64, state *grantorLimit, a *allocation, share float64) bool {
	if len(a.leases) >= maxLeases {
		a.dropLeasesBefore(0, now)
	}
	if len(a.leases) >= maxLeases {
		return false
	}
	a.leases = append(a.leases, lease{
		requestNumber: a.requestNumber,
		share:         share,
		expiry:        state.leaseExpiry(now, g.config.LeaseSeconds),
	})
	return true
}
