package quota

import (
	"math"
	"slices"
)

// allocation is what a grantor knows about one holder's use of one limit.
type allocation struct {
	requested     float64
	need          float64 // what of requested exceeds the floor
	lastHeard     float64
	requestNumber uint64 // of the latest request
	leases        []lease
	inUse         float64 // concurrent limits: the most beyond the floor that may lately have been in use
	inUseUntil    float64 // when whatever inUse stands for is surely over
}

// lease is a share that a reply granted, or that a holder said another grantor had granted.
type lease struct {
	requestNumber uint64 // of the request whose reply granted it
	share         float64
	expiry        float64 // when it has surely expired, by any clock
}

func newAllocation() *allocation { return &allocation{inUseUntil: math.Inf(-1)} }

// committed is the most of the limit that the holder may be using beyond its floor.
func (a *allocation) committed(now float64) float64 {
	most := 0.0
	for _, lease := range a.leases {
		if now <= lease.expiry {
			most = max(most, lease.share)
		}
	}
	if now <= a.inUseUntil {
		most = max(most, a.inUse)
	}
	return most
}

// hasLease reports whether a lease that was granted by that request is known here.
func (a *allocation) hasLease(requestNumber uint64) bool {
	return slices.ContainsFunc(a.leases, func(l lease) bool { return l.requestNumber == requestNumber })
}

// dropLeasesBefore drops expired leases and those that the holder no longer goes by: it has a later one.
func (a *allocation) dropLeasesBefore(requestNumber uint64, now float64) {
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool {
		return l.requestNumber < requestNumber || now > l.expiry
	})
}
