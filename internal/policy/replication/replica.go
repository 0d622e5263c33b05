package replication

import (
	"slices"

	"swiftcourse/internal/replicastore"
)

// maxExpiredPerCall bounds how many records one call forgets.
const maxExpiredPerCall = 256

// RecordStore holds a replica's records; *replicastore.Store implements it, and documents the
// methods.
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
	Terms       TermTable // shared with the server's Coordinator; holds the replica's own term already
	Store       RecordStore
	CatchUpRate float64 // bytes a second of peers' records that it may receive
}

// Replica holds one server's copies of the keys' records, and grants claims on them.
type Replica struct {
	placement   *Placement
	self        int
	terms       TermTable
	store       RecordStore
	catchUpRate float64

	outbox             outbox
	catchUp            catchUpState
	nextCompareAt      float64 // seconds
	compareTurn        int     // counts comparisons, to take the peers in turns
	repairedRecords    int     // that differed from another replica's
	conflictingResults int     // keys with two results
}

// NewReplica returns a replica that has just started. It answers for no slot before it has caught up:
// others may have granted claims that its store does not have.
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
				replica.catchUp.peers[member] = &peerSync{wanted: map[int]bool{}}
				replica.catchUp.peerOrder = append(replica.catchUp.peerOrder, member)
			}
		}
	}
	slices.Sort(replica.catchUp.peerOrder)
	replica.startCatchUp(now, slots)
	return replica
}

// otherReplicas lists the replicas of a slot but this one.
func (r *Replica) otherReplicas(slot int) []int {
	var others []int
	for _, member := range r.placement.Replicas(slot) {
		if member != r.self {
			others = append(others, member)
		}
	}
	return others
}

// ownTerm returns the replica's term.
func (r *Replica) ownTerm() Term { return r.terms[r.self] }

// observeTerms adopts the later terms that a message has. Another server knows a later term of this
// replica if the replica was replaced, or if its process started with a clock that is behind: then
// it begins a term above that one, and answers for no slot before it has caught up.
func (r *Replica) observeTerms(now float64, members []int, terms []Term) {
	before := r.ownTerm()
	r.terms.Observe(members, terms)
	if after := r.ownTerm(); after != before {
		r.terms[r.self] = Term{Number: after.Number + 1, Incarnation: before.Incarnation}
		r.startCatchUp(now, r.placement.SlotsOf(r.self))
	}
}

// observeTerm is observeTerms for one member.
func (r *Replica) observeTerm(now float64, member int, term Term) {
	r.observeTerms(now, []int{member}, []Term{term})
}

// resetSlot discards a slot after a corrupted record and begins a new term, so that coordinators
// have to ask again for claims that were granted before.
func (r *Replica) resetSlot(now float64, slot int) {
	r.terms[r.self].Number++
	r.store.ClearSlot(slot)
	r.startCatchUp(now, []int{slot})
}

// Maintain asks peers for missing records, compares with them, and forgets expired records.
func (r *Replica) Maintain(now float64) {
	r.store.Expire(now, maxExpiredPerCall)
	r.maintainCatchUp(now)
	r.maintainComparison(now)
}

// NextWakeup returns when Maintain is to be called, in seconds.
func (r *Replica) NextWakeup(now float64) float64 {
	return min(r.nextCompareAt, r.store.NextExpiry(), r.nextCatchUpWakeup(now))
}

// TakeOutbox returns the messages to send, and forgets them.
func (r *Replica) TakeOutbox() []Envelope { return r.outbox.take() }

// Checksum returns the replica's checksum of a slot.
func (r *Replica) Checksum(slot int) uint64 { return r.store.Checksum(slot) }
