package keyclaims

import (
	"slices"
	"time"

	"swiftcourse/internal/bench/faultinjection"
	"swiftcourse/internal/replicastore"
)

// verify waits until all replicas agree, and counts the violated invariants.
func (r *experiment) verify() {
	from := time.Now()
	healed := faultinjection.WaitUntil(healTimeout, func() bool {
		r.row.SlotsOutOfSync = r.slotsOutOfSync()
		return r.row.SlotsOutOfSync == 0
	})
	if healed {
		r.row.HealMillis = 1000 * time.Since(from).Seconds()
	}
	r.row.Keys = len(r.keys)
	r.row.MaxRunsPerKey, _ = r.runLog.MaxRunsWithin(retentionWindow)
	for _, disturbed := range r.disturbances {
		r.row.MinorityRuns += r.countMinorityRuns(disturbed)
	}
}

// countMinorityRuns counts the runs that servers in a partitioned minority started although the
// minority had no quorum of the key's replicas.
func (r *experiment) countMinorityRuns(partition disturbance) int {
	settledAt := partition.from.Add(partitionSettle)
	return r.runLog.CountRuns(func(id, key string, at time.Time) bool {
		return slices.Contains(partition.minority, r.serverOfAttempt[id]) && at.After(settledAt) &&
			at.Before(partition.to) && r.replicasAmong(key, partition.minority) < r.placement.Quorum
	})
}

// replicasAmong counts the replicas of a key among the named servers.
func (r *experiment) replicasAmong(key string, names []string) (count int) {
	slot := replicastore.KeyOf(faultinjection.PingClass, key).Slot()
	for _, i := range r.placement.Replicas(slot) {
		if slices.Contains(names, r.placement.Members[i].Name) {
			count++
		}
	}
	return count
}

// slotsOutOfSync counts, over all replicas, the slots that are catching up or out of sync. It
// returns 1 if the status is unavailable or incomplete.
func (r *experiment) slotsOutOfSync() (count int) {
	status, err := r.fleet.Status(r.fleet.Names[0])
	if err != nil || len(status.Replicas) < len(r.fleet.Names) {
		return 1
	}
	for _, replica := range status.Replicas {
		count += replica.CatchingUp + replica.OutOfSync
	}
	return count
}
