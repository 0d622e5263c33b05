package replication

import "swiftcourse/internal/replicastore"

// Operation is what a coordinator asks of a replica.
type Operation uint8

// The operations of a ClaimRequest. Their values go on the wire.
const (
	OpClaim  Operation = iota // grant the claim
	OpQuery                   // return what is known of the key
	OpReport                  // record the outcome of the claim
)

// ClaimRequest goes from a coordinator to a replica.
type ClaimRequest struct {
	ConfigDigest uint64 // of the coordinator's Config
	Operation    Operation
	Key          replicastore.Key
	Attempt      replicastore.Attempt // the claim, and for OpReport its outcome
	Terms        []Term               // of the key's replicas as the coordinator knows them, in the placement's order
}

// ReplyStatus is a replica's answer to a ClaimRequest.
type ReplyStatus uint8

// The statuses of a ClaimReply. Their values go on the wire.
const (
	ReplyGranted    ReplyStatus = iota // the claim is granted, and no other is
	ReplyConflict                      // other claims block it; the reply has them
	ReplyUnclaimed                     // no claim blocks the key
	ReplyRecorded                      // the report is recorded
	ReplyStaleTerm                     // a replica has begun a later term; the reply has it
	ReplyCatchingUp                    // the replica has not caught up yet on the key's slot
	ReplyFull                          // the replica's store is full
	ReplyMisrouted                     // the configs differ, or the replica does not hold the key
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

// String returns the status's name.
func (s ReplyStatus) String() string {
	if int(s) < len(replyStatusNames) {
		return replyStatusNames[s]
	}
	return "unknown"
}

// ClaimReply is a replica's reply to a ClaimRequest.
type ClaimReply struct {
	Key       replicastore.Key
	ClaimID   replicastore.ClaimID // of the request
	Operation Operation            // of the request
	Status    ReplyStatus
	Terms     []Term                 // of the key's replicas as this replica knows them, in the placement's order
	Attempts  []replicastore.Attempt // of the key's record, where there is one
}

// PullRequest asks another replica for its records of some slots, in the order of Slots.
type PullRequest struct {
	ConfigDigest uint64
	Sequence     uint64 // used once by the requester; a retry has the same
	Term         Term   // of the requester
	Slots        []int
	AfterKey     replicastore.Key // with Resumes, the last key received of the first slot
	Resumes      bool
}

// RecordCopy is a record on its way to another replica.
type RecordCopy struct {
	Record     *replicastore.Record
	TimeToLive float64 // seconds until it expires; sent in place of a time, as clocks differ
}

// SlotRecords are the records of one slot in a PullReply.
type SlotRecords struct {
	Slot     int
	CaughtUp bool // the sender may answer for the slot
	Complete bool // the sender has no more records of the slot
	Copies   []RecordCopy
}

// PullReply answers a PullRequest, as far as fits in one reply.
type PullReply struct {
	ConfigDigest  uint64
	Sequence      uint64 // of the request
	Term          Term   // of the sender
	RequesterTerm Term   // as the sender knows it
	Slots         []SlotRecords
}

// Checksums are a replica's checksums of the slots that it shares with the receiver. Without
// Slots there is one value, the XOR over all of them; a receiver with another one replies with
// its own for each slot.
type Checksums struct {
	ConfigDigest uint64
	Term         Term // of the sender
	Slots        []int
	Values       []uint64
}

// Envelope holds one message for the member with index To; the other message fields are nil.
type Envelope struct {
	To        int
	Claim     *ClaimRequest
	Pull      *PullRequest
	Checksums *Checksums
}

// outbox collects envelopes in the order in which they are to be sent.
type outbox []Envelope

func (o *outbox) add(envelope Envelope) { *o = append(*o, envelope) }

func (o *outbox) take() []Envelope {
	envelopes := *o
	*o = nil
	return envelopes
}
