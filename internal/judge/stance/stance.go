// Package stance is how a server stands in its fleet, as values that the serving loop goes by. It uses nothing else, so that a server
// without a fleet carries none of what makes them.
package stance

import (
	"cmp"
	"sync/atomic"
)

// Stance is what a server does with tasks.
type Stance uint8

const (
	Serve  Stance = iota // on its version
	Shield               // on the safe figures that are built in
	Away                 // off the roster: what runs is finished, the rest rejected unstarted
)

func (s Stance) String() string { return [...]string{"serve", "shield", "away", "?"}[min(s, 3)] }

// Ruling is how the fleet rules on a task that bears a key.
type Ruling uint8

const (
	MayRun   Ruling = iota // most holders granted it: it may run, here and nowhere else
	Known                  // it ran before, and its result is there
	MayHave                // it ran, or may have, and no result is known: it never runs again in its window
	NoQuorum               // too few holders answered in time: it did not run
)

func (r Ruling) String() string {
	return [...]string{"may_run", "known", "may_have", "no_quorum", "?"}[min(r, 4)]
}

// Stamp counts what was decided under one version.
type Stamp struct{ Batches, Tasks, Ended, Harmed atomic.Uint64 }

// Allowed is what a server may use of a budget that all servers share.
type Allowed struct {
	Name        string  // of the budget
	Most        float64 // of all servers together
	Tenant      int     // whose tasks a second; -1 for calls out at a time
	Floor, Part float64 // of it: at all times; beyond that, until Till
	Till        float64 // seconds of the loop's clock
	Depth       float64 // seconds of a rate that may be saved up
	Capped      bool    // no more than Cap, whatever else is so
	Cap         float64
	Try         int64  // not 0 where the cap is for one call, and for no other with this number
	Answer      uint64 // a number of who hands it over, who hears by which one the loop goes
}

// At is what may be used at a moment.
func (a *Allowed) At(now float64) float64 {
	may := a.Floor
	if now < a.Till {
		may += a.Part
	}
	if a.Capped {
		return min(may, a.Cap)
	}
	return may
}

// Calls is what became of calls below in a while.
type Calls struct {
	Well, Lost int
	Took       float64 // seconds that those that went well took together
	Out        int     // at its end
}

// Standing is how a server stands from now on. The loop goes by it and by its own clock, also when whoever made it is stopped.
type Standing struct {
	Epoch uint64  // of the version on which it acts
	Until float64 // when Now is over and Then begins, in seconds of the loop's clock
	Now   Stance
	Then  Stance
	Why   string
	Stamp *Stamp // where batches are counted
}

// At is the stance at a moment.
func (s *Standing) At(now float64) Stance {
	if now < s.Until {
		return s.Now
	}
	return s.Then
}

// Cell is what counts are kept by: one tenant's tasks in one stage. The zero Cell is for all that have no room of their own.
type Cell struct {
	Tenant string
	Stage  string `json:"Stage"`
}

// Compare orders cells.
func (c Cell) Compare(o Cell) int {
	return cmp.Or(cmp.Compare(c.Tenant, o.Tenant), cmp.Compare(c.Stage, o.Stage))
}

// Tally counts tasks: how many were asked for, and how they ended.
type Tally struct {
	Asked     uint64 `json:"Asked"`
	Finished  uint64
	Rejected  uint64
	Abandoned uint64
}

// Plus adds two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{t.Asked + o.Asked, t.Finished + o.Finished, t.Rejected + o.Rejected, t.Abandoned + o.Abandoned}
}

// Less takes another tally away, which is no larger in any of its numbers.
func (t Tally) Less(o Tally) Tally {
	return Tally{t.Asked - o.Asked, t.Finished - o.Finished, t.Rejected - o.Rejected, t.Abandoned - o.Abandoned}
}

// Holds tells whether no number of another tally is larger.
func (t Tally) Holds(o Tally) bool {
	return t.Asked >= o.Asked && t.Finished >= o.Finished && t.Rejected >= o.Rejected && t.Abandoned >= o.Abandoned
}

// Count is one cell's.
type Count struct {
	Cell
	Tally
}
