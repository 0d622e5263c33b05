package replication

import (
	"fmt"
	"maps"
	"slices"
)

// Status is how a server's copies stand, and what became of its claims.
type Status struct {
	ConfigDigest        uint64 `json:"Plan"` // digest of the terms that it was told
	IsReplica           bool   `json:"Holder"`
	CatchingUp          int    `json:"Cold"`    // slots for which this holder may not answer yet
	OutOfSync           int    `json:"Differ"`  // slots of which it waits to be told by another
	CaughtUpByPeers     int    `json:"Learned"` // slots whose truth it was told by others
	CaughtUpByTimeout   int    `json:"Aged"`    // slots whose truth came by waiting: what was granted before is not known, and past
	RepairedRecords     int    `json:"Mended"`  // records that a comparison mended
	ConflictingResults  int    `json:"Alarms"`  // keys with two results
	Records             int    `json:"Records"`
	Bytes               int    `json:"Bytes"`
	DroppedResults      int    `json:"Dropped"`    // results that were dropped to make room
	CorruptedRecords    int    `json:"Flipped"`    // records that had changed where they were held
	ActiveClaims        int    `json:"Claims"`     // under way, those of running tasks included
	ReplicatedResults   int    `json:"Promised"`   // results that most holders have
	UnreplicatedResults int    `json:"Unpromised"` // results that they did not note in time
}

// FillStatus adds what a claimant knows.
func (s *Coordinator) FillStatus(to *Status) {
	to.ActiveClaims, to.ReplicatedResults, to.UnreplicatedResults = s.ActiveClaims(), s.ReplicatedResults, s.UnreplicatedResults
}

// FillStatus adds what a holder knows.
func (h *Replica) FillStatus(to *Status) {
	to.IsReplica, to.CatchingUp, to.OutOfSync, to.CaughtUpByPeers, to.CaughtUpByTimeout, to.RepairedRecords, to.ConflictingResults = true, h.CatchingUp(), h.OutOfSync(), h.CaughtUpByPeers, h.CaughtUpByTimeout, h.RepairedRecords, h.ConflictingResults
	stats := h.store.Stats()
	to.Records = stats.Records
	to.Bytes = stats.Bytes
	to.DroppedResults = stats.DroppedResults
	to.CorruptedRecords = stats.CorruptedRecords
}

// Faults lists what is wrong with a fleet's copies, by how its servers say that they stand; alarm where it must never be. A server that was told
// other terms than most is named, as nobody understands it.
func Faults(of map[string]*Status) (list []string, alarm bool) {
	plans := map[uint64]int{}
	for _, s := range of {
		plans[s.ConfigDigest]++
	}
	most := slices.MaxFunc(slices.Sorted(maps.Keys(plans)), func(a, b uint64) int { return plans[a] - plans[b] })
	for _, name := range slices.Sorted(maps.Keys(of)) {
		s := of[name]
		say := func(is bool, format string, a ...any) {
			if is {
				list = append(list, name+": "+fmt.Sprintf(format, a...))
			}
		}
		say(s.ConfigDigest != most, "it was told other holders, copies, windows or stages than most servers")
		say(s.CatchingUp > 0, "it may not answer for %d slots yet", s.CatchingUp)
		say(s.OutOfSync > 0, "%d slots differ, or are not yet learned", s.OutOfSync)
		say(s.ConflictingResults > 0, "ALARM: %d keys have two results", s.ConflictingResults)
		say(s.CorruptedRecords > 0, "%d records changed in its memory", s.CorruptedRecords)
		alarm = alarm || s.ConflictingResults > 0
	}
	return list, alarm
}
