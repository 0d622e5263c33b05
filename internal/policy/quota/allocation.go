package quota

import (
	"math"
	"slices"
)

// allocation is the grantor's record of one holder's use of one limit.
type allocation struct {
	requested     float64 // the holder's demand, see Demand
	need          float64 // the part of requested that exceeds the floor
	lastRequestAt float64 // when the latest request arrived
	requestNumber uint64  // number of the latest request
	leases        []lease
	maxInUse      float64 // concurrent limits: upper bound on the units in use beyond the floor
	inUseExpiry   float64 // when the units counted by maxInUse are surely out of use, by the slowest clock
}

// lease is a share that this grantor granted in a reply, or that a holder reported as granted by an
// earlier grantor.
type lease struct {
	requestNumber uint64 // number of the request whose reply granted the share
	share         float64
	expiry        float64 // time after which the lease has expired, even by the slowest clock
}

func newAllocation() *allocation { return &allocation{inUseExpiry: math.Inf(-1)} }

// committed returns an upper bound on what the holder may still use beyond its floor.
func (a *allocation) committed(now float64) float64 {
	bound := 0.0
	for _, held := range a.leases {
		if now <= held.expiry {
			bound = max(bound, held.share)
		}
	}
	if now <= a.inUseExpiry {
		bound = max(bound, a.maxInUse)
	}
	return bound
}

// hasLease reports whether a lease granted in reply to the request with this number is recorded.
func (a *allocation) hasLease(requestNumber uint64) bool {
	return slices.ContainsFunc(a.leases, func(l lease) bool { return l.requestNumber == requestNumber })
}

// dropLeasesBefore removes expired leases, and leases granted for requests before requestNumber.
// requestNumber is the request whose grant the holder now applies, or 0 to remove only expired
// leases.
func (a *allocation) dropLeasesBefore(requestNumber uint64, now float64) {
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool {
		return l.requestNumber < requestNumber || now > l.expiry
	})
}
