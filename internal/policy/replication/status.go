package replication

import (
	"fmt"
	"maps"
	"slices"
)

// Status is the state of one server's replica and of its claims, for operators. The JSON keys
// are those of the control API.
type Status struct {
	ConfigDigest        uint64 `json:"Plan"` // of the server's Config
	IsReplica           bool   `json:"Holder"`
	CatchingUp          int    `json:"Cold"`    // slots for which the replica may not answer yet
	OutOfSync           int    `json:"Differ"`  // slots for which it waits for a peer's records
	CaughtUpByPeers     int    `json:"Learned"` // slots on which it caught up by hearing enough peers
	CaughtUpByTimeout   int    `json:"Aged"`    // slots on which it caught up by waiting until earlier grants were over
	RepairedRecords     int    `json:"Mended"`  // records that differed from a peer's
	ConflictingResults  int    `json:"Alarms"`  // keys with two results
	Records             int    `json:"Records"`
	Bytes               int    `json:"Bytes"`
	DroppedResults      int    `json:"Dropped"`    // results dropped to free memory
	CorruptedRecords    int    `json:"Flipped"`    // records that changed in memory
	ActiveClaims        int    `json:"Claims"`     // claims under way, those of running requests included
	ReplicatedResults   int    `json:"Promised"`   // results that a quorum recorded
	UnreplicatedResults int    `json:"Unpromised"` // results that a quorum did not record in time
}

// FillStatus sets the fields that a coordinator knows.
func (c *Coordinator) FillStatus(status *Status) {
	status.ActiveClaims = c.ActiveClaims()
	status.ReplicatedResults = c.reports.replicatedResults
	status.UnreplicatedResults = c.reports.unreplicatedResults
}

// FillStatus sets the fields that a replica knows.
func (r *Replica) FillStatus(status *Status) {
	status.IsReplica = true
	status.CatchingUp = r.CatchingUp()
	status.OutOfSync = r.OutOfSync()
	status.CaughtUpByPeers = r.catchUp.caughtUpByPeers
	status.CaughtUpByTimeout = r.catchUp.caughtUpByTimeout
	status.RepairedRecords = r.repairedRecords
	status.ConflictingResults = r.conflictingResults
	stats := r.store.Stats()
	status.Records = stats.Records
	status.Bytes = stats.Bytes
	status.DroppedResults = stats.DroppedResults
	status.CorruptedRecords = stats.CorruptedRecords
}

// Faults lists what is wrong with a fleet's replicas, given the status of each server by name.
// A server whose config differs from most servers' is listed, as the others ignore its messages.
// critical reports whether a key has two results, which breaks the package's invariant.
func Faults(statuses map[string]*Status) (faults []string, critical bool) {
	usual := commonDigest(statuses)
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		for _, fault := range statuses[name].faults(usual) {
			faults = append(faults, name+": "+fault)
		}
		critical = critical || statuses[name].ConflictingResults > 0
	}
	return faults, critical
}

// commonDigest returns the config digest that most servers have, the least of those that tie.
func commonDigest(statuses map[string]*Status) uint64 {
	servers := map[uint64]int{}
	for _, status := range statuses {
		servers[status.ConfigDigest]++
	}
	return slices.MaxFunc(slices.Sorted(maps.Keys(servers)), func(a, b uint64) int {
		return servers[a] - servers[b]
	})
}

// faults lists what is wrong with one server.
func (s *Status) faults(usualDigest uint64) (faults []string) {
	if s.ConfigDigest != usualDigest {
		faults = append(faults, "its members, replication factor, window or classes are not those of most servers")
	}
	if s.CatchingUp > 0 {
		faults = append(faults, fmt.Sprintf("catching up on %d slots, for which it may not answer yet", s.CatchingUp))
	}
	if s.OutOfSync > 0 {
		faults = append(faults, fmt.Sprintf("%d slots are out of sync with a peer", s.OutOfSync))
	}
	if s.ConflictingResults > 0 {
		faults = append(faults, fmt.Sprintf("ALARM: %d keys have two results", s.ConflictingResults))
	}
	if s.CorruptedRecords > 0 {
		faults = append(faults, fmt.Sprintf("%d records changed in its memory", s.CorruptedRecords))
	}
	return faults
}
