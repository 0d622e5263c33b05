package replication

import (
	"fmt"
	"maps"
	"slices"
)

// Status is the state of one server's replica and claims, for operators. The control API returns it
// with these JSON keys.
type Status struct {
	ConfigDigest        uint64 `json:"Plan"` // digest of the server's Config
	IsReplica           bool   `json:"Holder"`
	CatchingUp          int    `json:"Cold"`    // slots on which the replica has not caught up yet
	OutOfSync           int    `json:"Differ"`  // slots that the replica still has to pull from a peer
	CaughtUpByPeers     int    `json:"Learned"` // slots caught up with the records of enough peers
	CaughtUpByTimeout   int    `json:"Aged"`    // slots caught up by waiting until earlier grants had expired
	RepairedRecords     int    `json:"Mended"`  // records changed by a copy from a peer after catch-up
	ConflictingResults  int    `json:"Alarms"`  // keys with two results
	Records             int    `json:"Records"`
	Bytes               int    `json:"Bytes"`
	DroppedResults      int    `json:"Dropped"`    // results dropped to free memory
	CorruptedRecords    int    `json:"Flipped"`    // records removed because their CRC did not match
	ActiveClaims        int    `json:"Claims"`     // claims under way, including those of running requests
	ReplicatedResults   int    `json:"Promised"`   // results recorded by a quorum
	UnreplicatedResults int    `json:"Unpromised"` // results not recorded by a quorum in time
}

// FillStatus sets the fields of status that describe the coordinator's claims and reports.
func (c *Coordinator) FillStatus(status *Status) {
	status.ActiveClaims = c.ActiveClaims()
	status.ReplicatedResults = c.reports.replicatedResults
	status.UnreplicatedResults = c.reports.unreplicatedResults
}

// FillStatus sets the fields of status that describe the replica.
func (r *Replica) FillStatus(status *Status) {
	status.IsReplica = true
	status.CatchingUp = r.CatchingUpSlots()
	status.OutOfSync = r.OutOfSyncSlots()
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

// Faults describes the faults of a fleet's replicas, given the status of each server by name. It
// includes servers whose Config differs from that of most servers, because the others ignore their
// messages. critical reports whether a key has two results, which violates the package's invariant.
func Faults(statuses map[string]*Status) (faults []string, critical bool) {
	common := mostCommonDigest(statuses)
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		for _, fault := range statuses[name].faults(common) {
			faults = append(faults, name+": "+fault)
		}
		critical = critical || statuses[name].ConflictingResults > 0
	}
	return faults, critical
}

// mostCommonDigest returns the most frequent config digest, the lowest of them in a tie.
func mostCommonDigest(statuses map[string]*Status) uint64 {
	serversByDigest := map[uint64]int{}
	for _, status := range statuses {
		serversByDigest[status.ConfigDigest]++
	}
	return slices.MaxFunc(slices.Sorted(maps.Keys(serversByDigest)), func(a, b uint64) int {
		return serversByDigest[a] - serversByDigest[b]
	})
}

// faults describes the faults of one server. commonDigest is the config digest of most servers.
func (s *Status) faults(commonDigest uint64) (faults []string) {
	if s.ConfigDigest != commonDigest {
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
