package replication

import (
	"slices"

	"swiftcourse/internal/replicastore"
)

// HandleClaim executes a coordinator's request and returns the reply.
func (r *Replica) HandleClaim(now float64, request *ClaimRequest) ClaimReply {
	reply := ClaimReply{
		Key:       request.Key,
		ClaimID:   request.Attempt.ClaimID,
		Operation: request.Operation,
		Status:    ReplyMisrouted,
	}
	slot := request.Key.Slot()
	if request.ConfigDigest != r.placement.ConfigDigest || !r.placement.replicates(r.self, slot) {
		return reply
	}
	replicas := r.placement.Replicas(slot)
	r.store.Expire(now, maxExpiredRecordsPerCall)
	r.observeTerms(now, replicas, request.Terms)
	record, intact := r.store.Get(request.Key)
	if !intact {
		r.resetSlot(now, slot)
	}
	reply.Status = r.execute(now, record, request)
	reply.Terms = r.terms.Select(replicas)
	if record != nil {
		reply.Attempts = record.Attempts
	}
	return reply
}

// execute executes a request; record is the key's record, nil if there is none. Reports are also
// recorded while the replica is catching up, because the reply to a report says nothing about other
// claims of the key.
func (r *Replica) execute(now float64, record *replicastore.Record, request *ClaimRequest) ReplyStatus {
	slot := request.Key.Slot()
	switch {
	case request.Operation == OpReport:
		return r.recordReport(now, record, request)
	case request.Operation == OpClaim && !slices.Equal(request.Terms, r.terms.Select(r.placement.Replicas(slot))):
		return ReplyStaleTerm
	case !r.CaughtUp(slot):
		return ReplyCatchingUp
	case request.Operation == OpClaim:
		return r.grant(now, record, request)
	case record.BlockingAttempt() != nil:
		return ReplyConflict
	default:
		return ReplyUnclaimed
	}
}

// grant grants a claim if no other claim blocks it. Granting the same claim again has no effect.
func (r *Replica) grant(now float64, record *replicastore.Record, request *ClaimRequest) ReplyStatus {
	if record != nil {
		known := slices.IndexFunc(record.Attempts, func(attempt replicastore.Attempt) bool {
			return attempt.ClaimID == request.Attempt.ClaimID
		})
		switch {
		case known >= 0 && isOnlyBlockingClaim(record, known):
			return ReplyGranted
		case known >= 0 || record.BlockingAttempt() != nil:
			return ReplyConflict
		}
		record = withRoomForAttempt(record)
	}
	claimed := &replicastore.Record{
		Key:       request.Key,
		ExpiresAt: now + r.placement.MaxClaimDuration + r.placement.RetentionWindow,
		Attempts:  []replicastore.Attempt{{ClaimID: request.Attempt.ClaimID}},
	}
	if !r.mergeIntoStore(record, claimed) {
		return ReplyFull
	}
	return ReplyGranted
}

// withRoomForAttempt returns a record to which an attempt can be added without exceeding
// maxAttemptsPerRecord, by removing the first attempt if necessary. All attempts of the given
// record must be withdrawn.
func withRoomForAttempt(record *replicastore.Record) *replicastore.Record {
	if len(record.Attempts) < maxAttemptsPerRecord {
		return record
	}
	shortened := *record
	shortened.Attempts = record.Attempts[1:]
	return &shortened
}

// isOnlyBlockingClaim reports whether the attempt at index is claimed and no other attempt blocks
// the key.
func isOnlyBlockingClaim(record *replicastore.Record, index int) bool {
	if record.Attempts[index].State != replicastore.StateClaimed {
		return false
	}
	for i := range record.Attempts {
		if i != index && record.Attempts[i].State.Blocks() {
			return false
		}
	}
	return true
}

// recordReport records the outcome of a claim, even if this replica did not grant the claim.
func (r *Replica) recordReport(now float64, record *replicastore.Record, request *ClaimRequest) ReplyStatus {
	reported := &replicastore.Record{
		Key:       request.Key,
		ExpiresAt: now + r.placement.RetentionWindow,
		Attempts:  []replicastore.Attempt{request.Attempt},
	}
	if !r.mergeIntoStore(record, reported) {
		return ReplyFull
	}
	return ReplyRecorded
}

// mergeIntoStore merges a received record with the stored one, which may be nil, and stores the
// result. It reports whether the store accepted it; a full store refuses new keys.
func (r *Replica) mergeIntoStore(stored, received *replicastore.Record) bool {
	merged := *received
	if stored != nil {
		merged = Merge(stored, received)
	}
	if hasConflictingResults(&merged) && !hasConflictingResults(stored) {
		r.conflictingResults++
	}
	return r.store.Put(merged)
}
