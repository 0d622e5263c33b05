package replication

import (
	"slices"

	"swiftcourse/internal/replicastore"
)

// maxExpiredRecordsPerCall bounds the expired records that one call removes.
const maxExpiredRecordsPerCall = 256

// RecordStore holds a replica's records. See *replicastore.Store, which implements it, for the
// contract of each method.
type RecordStore interface {
	Get(key replicastore.Key) (record *replicastore.Record, intact bool)
	Put(record replicastore.Record) bool
	Scan(slot int, after *replicastore.Key, maxBytes int) replicastore.ScanResult
	ClearSlot(slot int)
	Checksum(slot int) uint64
	Expire(now float64, limit int) (removed int)
	NextExpiry() float64
	Stats() replicastore.Stats
}

// ReplicaConfig holds the arguments of NewReplica.
type ReplicaConfig struct {
	Placement   *Placement
	Self        int       // this server's member index
	Terms       TermTable // shared with the server's Coordinator; must contain the replica's own term
	Store       RecordStore
	CatchUpRate float64 // limit on the records pulled from each peer, in bytes per second
}

// Replica holds one server's copies of the records of keys and grants claims of the keys.
type Replica struct {
	placement   *Placement
	self        int
	terms       TermTable
	store       RecordStore
	catchUpRate float64

	outbox             outbox
	catchUp            catchUpState
	nextCompareAt      float64 // when the next checksums are sent, in seconds
	comparisonCount    int     // number of comparisons, to select the peers in round-robin order
	repairedRecords    int     // records changed by a copy from a peer after catch-up
	conflictingResults int     // keys with two results
}

// NewReplica returns a replica that is catching up on all its slots. It grants no claims and answers
// no queries in a slot until it has caught up on it, because the other replicas may have granted
// claims that its store lacks.
func NewReplica(config ReplicaConfig, now float64) *Replica {
	replica := &Replica{
		placement:   config.Placement,
		self:        config.Self,
		terms:       config.Terms,
		store:       config.Store,
		catchUpRate: config.CatchUpRate,
		catchUp:     catchUpState{slots: map[int]*slotProgress{}, peers: map[int]*peerSync{}},
	}
	slots := replica.placement.SlotsOf(replica.self)
	for _, slot := range slots {
		for _, member := range replica.otherReplicas(slot) {
			if replica.catchUp.peers[member] == nil {
				replica.catchUp.peers[member] = &peerSync{wantedSlots: map[int]bool{}}
				replica.catchUp.sortedPeers = append(replica.catchUp.sortedPeers, member)
			}
		}
	}
	slices.Sort(replica.catchUp.sortedPeers)
	replica.startCatchUp(now, slots)
	return replica
}

// otherReplicas returns the replicas of a slot except this one.
func (r *Replica) otherReplicas(slot int) []int {
	var others []int
	for _, member := range r.placement.Replicas(slot) {
		if member != r.self {
			others = append(others, member)
		}
	}
	return others
}

// ownTerm returns the replica's current term.
func (r *Replica) ownTerm() Term { return r.terms[r.self] }

// observeTerms adopts those terms of a message that are later than the known ones. A message has a
// later term of this replica if the replica was replaced or if its process started with a clock that
// is behind. The replica then begins a term above the observed one and catches up on all its slots.
func (r *Replica) observeTerms(now float64, members []int, terms []Term) {
	before := r.ownTerm()
	r.terms.Observe(members, terms)
	if after := r.ownTerm(); after != before {
		r.terms[r.self] = Term{Number: after.Number + 1, Incarnation: before.Incarnation}
		r.startCatchUp(now, r.placement.SlotsOf(r.self))
	}
}

// observeTerm calls observeTerms with the term of one member.
func (r *Replica) observeTerm(now float64, member int, term Term) {
	r.observeTerms(now, []int{member}, []Term{term})
}

// resetSlot discards the records of a slot in which a record was corrupted, and begins a new term so
// that grants of the previous term no longer count.
func (r *Replica) resetSlot(now float64, slot int) {
	r.terms[r.self].Number++
	r.store.ClearSlot(slot)
	r.startCatchUp(now, []int{slot})
}

// Maintain removes expired records, pulls missing records from peers and compares checksums with
// them.
func (r *Replica) Maintain(now float64) {
	r.store.Expire(now, maxExpiredRecordsPerCall)
	r.maintainCatchUp(now)
	r.maintainComparison(now)
}

// NextWakeup returns when Maintain must next be called, in seconds.
func (r *Replica) NextWakeup(now float64) float64 {
	return min(r.nextCompareAt, r.store.NextExpiry(), r.nextCatchUpWakeup(now))
}

// TakeOutbox returns the messages to send and empties the outbox.
func (r *Replica) TakeOutbox() []Envelope { return r.outbox.take() }

// Checksum returns the replica's checksum of a slot.
func (r *Replica) Checksum(slot int) uint64 { return r.store.Checksum(slot) }
