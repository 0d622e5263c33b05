package replication

import "swiftcourse/internal/replicastore"

// HandlePull answers a pull request of the member with index from, nil if it can't be answered.
// The requester's term is observed first, so that later grants are made under that term.
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
		return reply // the requester has begun a later term
	}
	reply.Slots = r.requestedSlots(now, from, request)
	reply.Term = r.ownTerm() // a corrupted record may have begun a new one
	return reply
}

// requestedSlots copies the records that a pull request asks for, as far as fits in one reply.
func (r *Replica) requestedSlots(now float64, from int, request *PullRequest) (slots []SlotRecords) {
	left := maxPullReplyBytes
	for i, slot := range request.Slots {
		if i == maxPullSlots || left <= 0 && i > 0 {
			break
		}
		if !r.placement.replicates(r.self, slot) || !r.placement.replicates(from, slot) {
			continue
		}
		var after *replicastore.Key
		if i == 0 && request.Resumes {
			after = &request.AfterKey
		}
		records, size := r.slotRecords(now, slot, after, left)
		left -= size
		slots = append(slots, records)
		if !records.Complete {
			break
		}
	}
	return slots
}

// slotRecords copies the records of a slot after a key, for about maxBytes, and returns their
// estimated size in a message.
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
		size += recordCopyOverhead + attemptCopyOverhead*len(record.Attempts)
		for i := range record.Attempts {
			size += len(record.Attempts[i].Result)
		}
	}
	return records, size
}
