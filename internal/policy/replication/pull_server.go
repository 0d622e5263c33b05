package replication

import "swiftcourse/internal/replicastore"

// HandlePull returns the reply to a pull request of member from, or nil if the requester has another
// Config or is not a member. The requester's term is observed before its records are copied, so that
// all later grants are made under that term.
func (r *Replica) HandlePull(now float64, from int, request *PullRequest) *PullReply {
	if request.ConfigDigest != r.placement.ConfigDigest || from < 0 {
		return nil
	}
	r.observeTerm(now, from, request.Term)
	reply := &PullReply{
		ConfigDigest:  r.placement.ConfigDigest,
		Sequence:      request.Sequence,
		Term:          r.ownTerm(),
		RequesterTerm: r.terms[from],
	}
	if reply.RequesterTerm != request.Term {
		return reply // the requester has begun a later term: the request is outdated
	}
	reply.Slots = r.requestedSlots(now, from, request)
	reply.Term = r.ownTerm() // requestedSlots begins a new term if it finds a corrupted record
	return reply
}

// requestedSlots returns the records for a pull request, as many as fit in one reply.
func (r *Replica) requestedSlots(now float64, from int, request *PullRequest) (slots []SlotRecords) {
	remainingBytes := maxPullReplyBytes
	for i, slot := range request.Slots {
		if i == maxPullSlots || remainingBytes <= 0 && i > 0 {
			break
		}
		if !r.placement.replicates(r.self, slot) || !r.placement.replicates(from, slot) {
			continue
		}
		var after *replicastore.Key
		if i == 0 && request.HasAfterKey {
			after = &request.AfterKey
		}
		records, size := r.slotRecords(now, slot, after, remainingBytes)
		remainingBytes -= size
		slots = append(slots, records)
		if !records.Complete {
			break
		}
	}
	return slots
}

// slotRecords returns about maxBytes of the records of a slot, in ascending order of key, and their
// estimated size in a message. If after is not nil, it returns only records of keys above *after.
func (r *Replica) slotRecords(
	now float64, slot int, after *replicastore.Key, maxBytes int,
) (records SlotRecords, size int) {
	scan := r.store.Scan(slot, after, maxBytes)
	if !scan.Intact {
		r.resetSlot(now, slot)
	}
	records = SlotRecords{Slot: slot, CaughtUp: r.CaughtUp(slot), Complete: scan.Complete}
	for _, record := range scan.Records {
		records.Copies = append(records.Copies, RecordCopy{
			Record:     record,
			TimeToLive: max(0, record.ExpiresAt-now),
		})
		size += recordCopyOverheadBytes + attemptCopyOverheadBytes*len(record.Attempts)
		for i := range record.Attempts {
			size += len(record.Attempts[i].Result)
		}
	}
	return records, size
}
