package replication

import (
	"slices"

	"swiftcourse/internal/replicastore"
)

// HandleClaim answers a coordinator's request.
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
	r.store.Expire(now, maxExpiredPerCall)
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

// execute carries out a request, given the key's record, nil if there is none. A report is recorded
// also while the replica catches up, as its reply makes no statement on the key.
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

// grant grants a claim if no other blocks it. To grant the same claim again has no effect.
func (r *Replica) grant(now float64, record *replicastore.Record, request *ClaimRequest) ReplyStatus {
	if record != nil {
		known := slices.IndexFunc(record.Attempts, func(attempt replicastore.Attempt) bool {
			return attempt.ClaimID == request.Attempt.ClaimID
		})
		switch {
		case known >= 0 && isOnlyClaim(record, known):
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

// withRoomForAttempt returns the record of a key whose attempts are all withdrawn, without the
// first of them if there are too many.
func withRoomForAttempt(record *replicastore.Record) *replicastore.Record {
	if len(record.Attempts) < maxAttempts {
		return record
	}
	shortened := *record
	shortened.Attempts = record.Attempts[1:]
	return &shortened
}

// isOnlyClaim reports whether the attempt with that index is claimed, and no other blocks the key.
func isOnlyClaim(record *replicastore.Record, index int) bool {
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

// recordReport records the outcome of a claim, whichever replicas granted it.
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

// mergeIntoStore merges a record into the stored one, nil if there is none. It reports false if the
// store has no room.
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
