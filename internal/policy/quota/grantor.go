package quota

import (
	"math"
	"slices"
)

// Grantor leases shares of the pools to holders. It runs in the leader of the voters and serves one
// term; each new leader creates its own.
type Grantor struct {
	id         uint64
	config     Config
	configHash uint64
	started    float64
	limits     map[string]*grantorLimit
}

// maxLeases bounds the leases kept of one allocation. Requests come a tenth of a second apart, so a
// renewed share never loses a grant that the holder may still take.
const maxLeases = 64

// NewGrantor returns the grantor of a leader whose term begins now. id must be random, so that no other
// grantor has it.
func NewGrantor(config Config, id uint64, now float64) *Grantor {
	g := &Grantor{id: id, started: now, limits: map[string]*grantorLimit{}}
	g.ApplyConfig(config)
	return g
}

// ApplyConfig replaces the configuration. Shares already leased still count as committed.
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

// previousGrantorStopped returns the time after which no earlier grantor can grant a lease.
func (g *Grantor) previousGrantorStopped() float64 {
	return g.started + leaderLeaseSeconds*(1+maxClockDrift)
}

// priorLeasesExpired reports whether every lease that a grantor before this one granted has expired, and
// what was in use under it is over.
func (g *Grantor) priorLeasesExpired(state *grantorLimit, now float64) bool {
	return now > state.leaseExpiry(g.previousGrantorStopped(), g.config.LeaseSeconds)
}

// HandleRequest replies to a holder's request. It returns nil where this grantor may not reply: it isn't
// confirmed as leader, another one may still grant leases, the holder has another configuration, or the
// request is late. confirmed means that a majority confirmed the leader within the last second.
func (g *Grantor) HandleRequest(now float64, request *Request, confirmed bool) *Reply {
	if !confirmed || now <= g.previousGrantorStopped() || !g.accepts(request) {
		return nil
	}
	reply := &Reply{Incarnation: request.Incarnation, Number: request.Number, GrantorID: g.id}
	if request.GrantorID != g.id {
		// The holder has no reply of this grantor yet, so the request may be old: the share it
		// reports may have expired since, and an earlier grantor may have leased it to another
		// holder.
		return reply
	}
	for i := range request.Demands {
		demand := &request.Demands[i]
		state := g.limits[demand.Name]
		if state == nil {
			continue
		}
		if known := state.allocations[request.Incarnation]; known != nil && request.Number <= known.requestNumber {
			return nil // late or duplicated: a second reply without grants would be taken for the first
		}
		if share, granted := g.grant(now, state, request, demand); granted {
			reply.Grants = append(reply.Grants, Grant{Name: demand.Name, LeasedShare: share})
		}
	}
	return reply
}

// accepts reports whether a request is well-formed and made under this grantor's configuration.
func (g *Grantor) accepts(request *Request) bool {
	return request.Incarnation != 0 && request.Number != 0 &&
		request.ConfigHash == g.configHash && len(request.Demands) <= MaxEntries
}

// grant decides which share of one limit a holder gets, and records its lease.
func (g *Grantor) grant(
	now float64, state *grantorLimit, request *Request, demand *Demand,
) (share float64, granted bool) {
	allocated := state.allocationOf(request.Incarnation, now, g.config.LeaseSeconds)
	if allocated == nil {
		return 0, false
	}
	allocated.requestNumber = request.Number
	allocated.lastHeard = now
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
		// The leases of other holders are not all known yet, so this holder gets no more than it has.
		available = min(available, allocated.committed(now))
	}
	wanted := min(allocated.need, state.division.maxNeed) + state.division.headroom*allocated.requested
	share = min(wanted, available)
	granted = g.addLease(now, state, allocated, share)
	state.committed += allocated.committed(now) - committedBefore
	return share, granted
}

// adoptPriorLease records a lease that a holder reports from an earlier grantor, so that it counts until it
// has expired. It counts for at most what the recorded leases leave of the pool: a holder that claims all of
// it takes nothing from the others.
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

// addLease records a lease of the share under the latest request's number. It returns false where too
// many unexpired ones are recorded already.
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
