package quota

import (
	"math"
	"slices"
)

// allocation is what a grantor knows about one holder's use of one limit.
type allocation struct {
	requested     float64
	need          float64 // the part of requested beyond the floor
	lastHeard     float64
	requestNumber uint64 // of the latest request
	leases        []lease
	maxInUse      float64 // for a concurrent limit: the most beyond the floor that may still be in use
	inUseExpiry   float64 // when the use counted by maxInUse is over by any clock
}

// lease is a share that a reply granted, or that a holder said another grantor had granted.
type lease struct {
	requestNumber uint64 // of the request whose reply granted it
	share         float64
	expiry        float64 // when it has expired by any clock
}

func newAllocation() *allocation { return &allocation{inUseExpiry: math.Inf(-1)} }

// committed returns the most that the holder may be using beyond its floor.
func (a *allocation) committed(now float64) float64 {
	most := 0.0
	for _, held := range a.leases {
		if now <= held.expiry {
			most = max(most, held.share)
		}
	}
	if now <= a.inUseExpiry {
		most = max(most, a.maxInUse)
	}
	return most
}

// hasLease reports whether the lease granted for the request with that number is recorded.
func (a *allocation) hasLease(requestNumber uint64) bool {
	return slices.ContainsFunc(a.leases, func(l lease) bool { return l.requestNumber == requestNumber })
}

// dropLeasesBefore drops expired leases and those granted for earlier requests than requestNumber, whose
// lease the holder now applies.
func (a *allocation) dropLeasesBefore(requestNumber uint64, now float64) {
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool {
		return l.requestNumber < requestNumber || now > l.expiry
	})
}
