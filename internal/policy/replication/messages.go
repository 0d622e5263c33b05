package replication

import "swiftcourse/internal/replicastore"

// Operation is the operation that a coordinator requests from a replica.
type Operation uint8

// Operations of a ClaimRequest. The values are part of the wire format.
const (
	OpClaim  Operation = iota // grant the claim
	OpQuery                   // return the key's record
	OpReport                  // record the outcome of the claim
)

// ClaimRequest is a request of a coordinator to a replica.
type ClaimRequest struct {
	ConfigDigest uint64 // digest of the coordinator's Config
	Operation    Operation
	Key          replicastore.Key
	Attempt      replicastore.Attempt // the claim; for OpReport with its outcome
	Terms        []Term               // terms of the key's replicas known to the coordinator, in replica order
}

// ReplyStatus is the result of a ClaimRequest.
type ReplyStatus uint8

// Statuses of a ClaimReply. The values are part of the wire format.
const (
	ReplyGranted    ReplyStatus = iota // the replica grants the claim, and no other claim blocks the key
	ReplyConflict                      // other claims block the claim; Attempts lists them
	ReplyUnclaimed                     // no claim blocks the key
	ReplyRecorded                      // the replica recorded the report
	ReplyStaleTerm                     // a replica of the key has begun a later term; Terms lists it
	ReplyCatchingUp                    // the replica has not caught up on the key's slot yet
	ReplyFull                          // the replica's store is full
	ReplyMisrouted                     // the Config digests differ, or this member does not replicate the key
)

var replyStatusNames = [...]string{
	ReplyGranted:    "granted",
	ReplyConflict:   "conflict",
	ReplyUnclaimed:  "unclaimed",
	ReplyRecorded:   "recorded",
	ReplyStaleTerm:  "stale_term",
	ReplyCatchingUp: "catching_up",
	ReplyFull:       "full",
	ReplyMisrouted:  "misrouted",
}

// String returns the name of the status, "unknown" for an undefined value.
func (s ReplyStatus) String() string {
	if int(s) < len(replyStatusNames) {
		return replyStatusNames[s]
	}
	return "unknown"
}

// ClaimReply is a replica's reply to a ClaimRequest.
type ClaimReply struct {
	Key       replicastore.Key
	ClaimID   replicastore.ClaimID // copied from the request
	Operation Operation            // copied from the request
	Status    ReplyStatus
	Terms     []Term                 // terms of the key's replicas known to this replica, in replica order
	Attempts  []replicastore.Attempt // attempts in the key's record, empty if there is none
}

// PullRequest requests the records of some slots from another replica, in the order of Slots.
type PullRequest struct {
	ConfigDigest uint64
	Sequence     uint64 // unique for each request of the requester; a retry repeats it
	Term         Term   // the requester's term
	Slots        []int
	AfterKey     replicastore.Key // last key received of the first slot, valid if Resumes is set
	HasAfterKey  bool             // the first slot continues after AfterKey
}

// RecordCopy is a record that is sent to another replica.
type RecordCopy struct {
	Record     *replicastore.Record
	TimeToLive float64 // seconds until the record expires; a duration, because the clocks of servers differ
}

// SlotRecords are the records of one slot in a PullReply.
type SlotRecords struct {
	Slot     int
	CaughtUp bool // the sender has caught up on the slot
	Complete bool // the sender has no more records of the slot
	Copies   []RecordCopy
}

// PullReply is the reply to a PullRequest, with as many records as fit in one reply.
type PullReply struct {
	ConfigDigest  uint64
	Sequence      uint64 // copied from the request
	Term          Term   // the sender's term
	RequesterTerm Term   // the requester's latest term known to the sender
	Slots         []SlotRecords
}

// Checksums carries a replica's checksums of the slots that it shares with the receiver. If Slots
// is empty, Values holds one combined checksum, the XOR over all shared slots; a receiver whose
// combined checksum differs replies with its checksum of each slot.
type Checksums struct {
	ConfigDigest uint64
	Term         Term // the sender's term
	Slots        []int
	Values       []uint64 // one for each of Slots, or the combined checksum
}

// Envelope holds one message for member To. Exactly one of the message fields is not nil.
type Envelope struct {
	To        int
	Claim     *ClaimRequest
	Pull      *PullRequest
	Checksums *Checksums
}

// outbox holds the envelopes to send, in order.
type outbox []Envelope

func (o *outbox) add(envelope Envelope) { *o = append(*o, envelope) }

func (o *outbox) take() []Envelope {
	envelopes := *o
	*o = nil
	return envelopes
}
