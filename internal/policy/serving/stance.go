// Package serving is how a server stands in its fleet, as values that the serving loop goes by. It uses nothing else, so that a server
// without a fleet carries none of what makes them.
package serving

import (
	"cmp"
	"sync/atomic"
)

// Mode is what a server does with tasks.
type Mode uint8

const (
	ModeNormal       Mode = iota // on its version
	ModeSafeDefaults             // on the safe figures that are built in
	ModeOutOfService             // off the roster: what runs is finished, the rest rejected unstarted
)

func (s Mode) String() string { return [...]string{"serve", "shield", "away", "?"}[min(s, 3)] }

// ClaimVerdict is how the fleet rules on a task that bears a key.
type ClaimVerdict uint8

const (
	ClaimGranted        ClaimVerdict = iota // most holders granted it: it may run, here and nowhere else
	ClaimCached                             // it ran before, and its result is there
	ClaimOutcomeUnknown                     // it ran, or may have, and no result is known: it never runs again in its window
	ClaimNoQuorum                           // too few holders answered in time: it did not run
)

func (r ClaimVerdict) String() string {
	return [...]string{"may_run", "known", "may_have", "no_quorum", "?"}[min(r, 4)]
}

// VersionStats counts what was decided under one version.
type VersionStats struct{ Batches, Requests, Completed, Failed atomic.Uint64 }

// Allowance is what a server may use of a budget that all servers share.
type Allowance struct {
	Name                    string  // of the budget
	FleetMax                float64 // of all servers together
	Tenant                  int     // whose tasks a second; -1 for calls out at a time
	Guaranteed, LeasedShare float64 // of it: at all times; beyond that, until Till
	LeaseExpiry             float64 // seconds of the loop's clock
	BurstSeconds            float64 // seconds of a rate that may be saved up
	Capped                  bool    // no more than Cap, whatever else is so
	Cap                     float64
	ProbeNumber             int64  // not 0 where the cap is for one call, and for no other with this number
	GrantNumber             uint64 // a number of who hands it over, who hears by which one the loop goes
}

// LimitAt is what may be used at a moment.
func (a *Allowance) LimitAt(now float64) float64 {
	may := a.Guaranteed
	if now < a.LeaseExpiry {
		may += a.LeasedShare
	}
	if a.Capped {
		return min(may, a.Cap)
	}
	return may
}

// CallStats is what became of calls below in a while.
type CallStats struct {
	Succeeded, Failed int
	TotalSeconds      float64 // seconds that those that went well took together
	InFlight          int     // at its end
}

// Directive is how a server stands from now on. The loop goes by it and by its own clock, also when whoever made it is stopped.
type Directive struct {
	Epoch     uint64  // of the version on which it acts
	ChangesAt float64 // when Now is over and Then begins, in seconds of the loop's clock
	Mode      Mode
	NextMode  Mode
	Reason    string
	Stats     *VersionStats // where batches are counted
}

// ModeAt is the stance at a moment.
func (s *Directive) ModeAt(now float64) Mode {
	if now < s.ChangesAt {
		return s.Mode
	}
	return s.NextMode
}

// CounterKey is what counts are kept by: one tenant's tasks in one stage. The zero Cell is for all that have no room of their own.
type CounterKey struct {
	Tenant string
	Class  string `json:"Stage"`
}

// Compare orders cells.
func (c CounterKey) Compare(o CounterKey) int {
	return cmp.Or(cmp.Compare(c.Tenant, o.Tenant), cmp.Compare(c.Class, o.Class))
}

// RequestCounts counts tasks: how many were asked for, and how they ended.
type RequestCounts struct {
	Received  uint64 `json:"Asked"`
	Finished  uint64
	Rejected  uint64
	Abandoned uint64
}

// Add adds two tallies.
func (t RequestCounts) Add(o RequestCounts) RequestCounts {
	return RequestCounts{t.Received + o.Received, t.Finished + o.Finished, t.Rejected + o.Rejected, t.Abandoned + o.Abandoned}
}

// Sub takes another tally away, which is no larger in any of its numbers.
func (t RequestCounts) Sub(o RequestCounts) RequestCounts {
	return RequestCounts{t.Received - o.Received, t.Finished - o.Finished, t.Rejected - o.Rejected, t.Abandoned - o.Abandoned}
}

// Covers tells whether no number of another tally is larger.
func (t RequestCounts) Covers(o RequestCounts) bool {
	return t.Received >= o.Received && t.Finished >= o.Finished && t.Rejected >= o.Rejected && t.Abandoned >= o.Abandoned
}

// CounterCell is one cell's.
type CounterCell struct {
	CounterKey
	RequestCounts
}
