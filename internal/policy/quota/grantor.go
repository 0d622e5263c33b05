package quota

import (
	"math"
	"slices"
)

// Grantor is the leader's side: it leases shares of the pools to holders. It belongs to one term; a new
// leader makes a new one.
type Grantor struct {
	id         uint64
	config     Config
	configHash uint64
	started    float64
	limits     map[string]*limitState
}

// maxLeases bounds the leases kept of one allocation. Requests come a tenth of a second apart, so a
// renewed share never loses a grant that the holder may still take.
const maxLeases = 64

// NewGrantor returns the grantor of a leader whose term begins now. id must be random, so that no other
// grantor has it.
func NewGrantor(config Config, id uint64, now float64) *Grantor {
	g := &Grantor{id: id, started: now, limits: map[string]*limitState{}}
	g.ApplyConfig(config)
	return g
}

// ApplyConfig goes over to a new configuration. What is leased out still counts as committed.
func (g *Grantor) ApplyConfig(config Config) {
	previous := g.limits
	config.Limits = slices.Clone(config.Limits)
	g.config = config
	g.configHash = config.Hash()
	g.limits = make(map[string]*limitState, len(config.Limits))
	for i := range config.Limits {
		limit := &config.Limits[i]
		state := newLimitState(&config, limit)
		if old := previous[limit.Name]; old != nil && old.limit.Concurrent == limit.Concurrent {
			state.allocations = old.allocations
		}
		g.limits[limit.Name] = state
	}
}

// previousGrantorStopped is when no grantor before this one can grant a lease any more.
func (g *Grantor) previousGrantorStopped() float64 {
	return g.started + leaderLeaseSeconds*(1+maxClockDrift)
}

// priorLeasesExpired reports whether every lease that a grantor before this one granted has expired, and
// what was in use under it is over.
func (g *Grantor) priorLeasesExpired(state *limitState, now float64) bool {
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
		// The holder hasn't heard this grantor yet. The request may be old, what it says it holds may have
		// expired long ago and been leased to another holder by the grantor before.
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

// grant decides on the share of one limit that a holder gets from now on.
func (g *Grantor) grant(
	now float64, state *limitState, request *Request, demand *Demand,
) (share float64, granted bool) {
	allocation := state.allocationOf(request.Incarnation, now, g.config.LeaseSeconds)
	if allocation == nil {
		return 0, false
	}
	allocation.requestNumber = request.Number
	allocation.lastHeard = now
	state.setRequested(allocation, demand.Requested)
	state.divide(now, g.config.LeaseSeconds)

	before := allocation.committed(now)
	available := max(0, state.pool-max(0, state.committed-before))
	settled := g.priorLeasesExpired(state, now)
	if !settled {
		g.adoptPriorLease(now, state, allocation, demand, available)
	}
	state.settle(now, allocation, demand)
	if !settled {
		// What others hold isn't known yet, so nobody gets more than it has.
		available = min(available, allocation.committed(now))
	}
	wanted := min(allocation.need, state.division.maxNeed) + state.division.headroom*allocation.requested
	share = min(wanted, available)
	granted = g.addLease(now, state, allocation, share)
	state.committed += allocation.committed(now) - before
	return share, granted
}

// adoptPriorLease takes over a lease that another grantor granted, or this process in an earlier term.
// It counts until it has expired, and never for more than the pool leaves: a holder that claims to have
// all of it takes nothing from those that are known.
func (g *Grantor) adoptPriorLease(now float64, state *limitState, a *allocation, demand *Demand, available float64) {
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
func (g *Grantor) addLease(now float64, state *limitState, a *allocation, share float64) bool {
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
