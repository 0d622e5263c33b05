package replica

import (
	"fmt"
	"maps"
	"slices"
)

// Standing is how a server's copies stand, and what became of its claims.
type Standing struct {
	Plan       uint64 `json:"Plan"` // digest of the terms that it was told
	Holder     bool   `json:"Holder"`
	Cold       int    `json:"Cold"`    // slots for which this holder may not answer yet
	Differ     int    `json:"Differ"`  // slots of which it waits to be told by another
	Learned    int    `json:"Learned"` // slots whose truth it was told by others
	Aged       int    `json:"Aged"`    // slots whose truth came by waiting: what was granted before is not known, and past
	Mended     int    `json:"Mended"`  // records that a comparison mended
	Alarms     int    `json:"Alarms"`  // keys with two results
	Records    int    `json:"Records"`
	Bytes      int    `json:"Bytes"`
	Dropped    int    `json:"Dropped"`    // results that were dropped to make room
	Flipped    int    `json:"Flipped"`    // records that had changed where they were held
	Claims     int    `json:"Claims"`     // under way, those of running tasks included
	Promised   int    `json:"Promised"`   // results that most holders have
	Unpromised int    `json:"Unpromised"` // results that they did not note in time
}

// Tell adds what a claimant knows.
func (s *Asker) Tell(to *Standing) {
	to.Claims, to.Promised, to.Unpromised = s.Len(), s.Promised, s.Unpromised
}

// Tell adds what a holder knows.
func (h *Holder) Tell(to *Standing) {
	to.Holder, to.Cold, to.Differ, to.Learned, to.Aged, to.Mended, to.Alarms = true, h.Cold(), h.Differs(), h.Learned, h.Aged, h.Differed, h.Alarms
	to.Records, to.Bytes, to.Dropped, to.Flipped = h.store.Len(), h.store.Bytes(), h.store.Dropped, h.store.Flipped
}

// Faults lists what is wrong with a fleet's copies, by how its servers say that they stand; alarm where it must never be. A server that was told
// other terms than most is named, as nobody understands it.
func Faults(of map[string]*Standing) (list []string, alarm bool) {
	plans := map[uint64]int{}
	for _, s := range of {
		plans[s.Plan]++
	}
	most := slices.MaxFunc(slices.Sorted(maps.Keys(plans)), func(a, b uint64) int { return plans[a] - plans[b] })
	for _, name := range slices.Sorted(maps.Keys(of)) {
		s := of[name]
		say := func(is bool, format string, a ...any) {
			if is {
				list = append(list, name+": "+fmt.Sprintf(format, a...))
			}
		}
		say(s.Plan != most, "it was told other holders, copies, windows or stages than most servers")
		say(s.Cold > 0, "it may not answer for %d slots yet", s.Cold)
		say(s.Differ > 0, "%d slots differ, or are not yet learned", s.Differ)
		say(s.Alarms > 0, "ALARM: %d keys have two results", s.Alarms)
		say(s.Flipped > 0, "%d records changed in its memory", s.Flipped)
		alarm = alarm || s.Alarms > 0
	}
	return list, alarm
}
