package replication

import (
	"slices"

	state "swiftcourse/internal/replicastore"
)

// Operation is what a claimant asks of a holder.
type Operation uint8

const (
	OpClaim  Operation = iota // may this claim run?
	OpQuery                   // what is known?
	OpReport                  // this came of the claim
)

// ClaimRequest is from a claimant to a holder.
type ClaimRequest struct {
	ConfigDigest uint64 // digest of the terms that it was told
	Operation    Operation
	Key          state.Key
	Attempt      state.Attempt // the claim, and with Say what came of it
	Terms        []Term        // the key's holders, in the group's order, as it knows them
}

// ReplyStatus is what a holder answers.
type ReplyStatus uint8

const (
	ReplyGranted    ReplyStatus = iota // the claim stands here, and no other does
	ReplyConflict                      // others stand in its way, as the record tells
	ReplyUnclaimed                     // nobody does
	ReplyRecorded                      // what was said is entered
	ReplyStaleTerm                     // a holder is another one by now, as the sittings tell
	ReplyCatchingUp                    // it does not know the key's truth yet
	ReplyFull                          // it has no place left
	ReplyMisrouted                     // it was told other terms, or does not hold the key
)

func (v ReplyStatus) String() string {
	return [...]string{"granted", "held", "free", "noted", "stale", "cold", "full", "other", "?"}[min(v, 8)]
}

// ClaimReply is a holder's.
type ClaimReply struct {
	Key       state.Key
	ClaimID   state.ClaimID // which was asked about
	Operation Operation
	Status    ReplyStatus
	Terms     []Term
	Attempts  []state.Attempt // of the record, where there is one
}

// PullRequest asks another holder for what it knows of some slots, in their order, the first from after a key on.
type PullRequest struct {
	ConfigDigest uint64
	Sequence     uint64 // given once by who asks
	Term         Term   // of who asks
	Slots        []int
	AfterKey     state.Key
	Resumes      bool // After counts
}

// RecordCopy is a record on its way; Left is how long it is still kept, in seconds, as clocks differ.
type RecordCopy struct {
	Record     *state.Record
	TimeToLive float64
}

// SlotRecords is what a Slice has of one slot.
type SlotRecords struct {
	Slot     int
	CaughtUp bool // the teller knows its truth
	Complete bool // nothing of it is left to tell
	Copies   []RecordCopy
}

// PullReply answers a Pull, as far as it goes.
type PullReply struct {
	ConfigDigest  uint64
	Sequence      uint64 // of the Pull
	Term          Term   // of who tells
	RequesterTerm Term   // of who asked, as this one knows it
	Slots         []SlotRecords
}

// Checksums are a holder's sums of the slots that it shares with another: one sum over all of them, and where that is not the other's, each.
type Checksums struct {
	ConfigDigest uint64
	Term         Term
	Slots        []int
	Values       []uint64
}

// Envelope goes to the holder of that index.
type Envelope struct {
	To        int
	Claim     *ClaimRequest
	Pull      *PullRequest
	Checksums *Checksums
	Slice     *PullReply
}

const (
	// maxPullReplyBytes is how much of the records one answer to a Pull tells: some tens of packets, a millisecond of a holder's time.
	maxPullReplyBytes = 32 << 10
	// maxPullSlots slots go in one Pull: empty ones cost little, so that a round trip does for many.
	maxPullSlots = 64
	// pullRetryInterval is after how long a Pull without an answer is repeated: some of the longest delays among servers that hear one another.
	pullRetryInterval = 0.5
	// catchingUpRetryInterval is after how long a holder that was cold itself is asked again.
	catchingUpRetryInterval = 0.25
	// compareInterval is how often a holder tells another one its sums: of three holders each pair has compared within some seconds.
	compareInterval = 1.0
	// maxExpiredPerCall records are forgotten in one go.
	maxExpiredPerCall = 256
)

// slotCatchUp is how far a slot that is cold, or differs, has been told by the others.
type slotCatchUp struct {
	toldBy map[int]Term // by whom all of it, who was warm
}

// peerSync is what is asked of one holder.
type peerSync struct {
	wanted    map[int]bool // slots
	requested []int
	sequence  uint64
	request   *PullRequest // what is under way
	afterKey  state.Key
	resumes   bool
	peerTerm  Term    // of the one that is told from, since the first slice of the slot at hand
	sentAt    float64 // when; 0 where nothing is under way
	notBefore float64 // not before
}

// Replica is the part of one server that holds copies.
type Replica struct {
	placement     *Placement
	self          int
	terms         TermTable
	store         *state.Store
	catchingUp    map[int]*slotCatchUp
	catchUpSince  float64 // when it sat down, or last lost its memory
	peers         map[int]*peerSync
	catchUpRate   float64 // bytes a second that it takes in to catch up
	nextCompareAt float64
	compareTurn   int
	lastSequence  uint64
	outbox        []Envelope
	peerOrder     []int // the others that share a slot

	CaughtUpByTimeout, CaughtUpByPeers int // slots whose truth came by waiting, by being told
	RepairedRecords                    int // records that a comparison mended
	ConflictingResults                 int // keys with two results
}

// NewReplica makes the holder of a life that begins, with nothing but what its store has, which counts as hearsay. Rate is in bytes a second.
func NewReplica(p *Placement, me int, sits TermTable, store *state.Store, rate, now float64) *Replica {
	h := &Replica{placement: p, self: me, terms: sits, store: store, catchUpRate: rate, peers: map[int]*peerSync{}, catchingUp: map[int]*slotCatchUp{}}
	for _, slot := range p.SlotsOf(me) {
		for _, i := range p.Replicas(slot) {
			if i != me && h.peers[i] == nil {
				h.peers[i] = &peerSync{wanted: map[int]bool{}}
				h.peerOrder = append(h.peerOrder, i)
			}
		}
	}
	slices.Sort(h.peerOrder)
	h.startCatchUp(now, p.SlotsOf(me))
	return h
}

// startCatchUp has it learn slots anew: it may not answer for them before.
func (h *Replica) startCatchUp(now float64, slots []int) {
	h.catchUpSince = now
	for _, slot := range slots {
		h.catchingUp[slot] = &slotCatchUp{toldBy: map[int]Term{}}
		for _, i := range h.placement.Replicas(slot) {
			if i != h.self {
				p := h.peers[i]
				p.wanted[slot] = true
				p.sentAt, p.resumes = 0, false // what is under way was asked for from the sitting before
			}
		}
	}
}

// CaughtUp tells whether it may answer for a slot.
func (h *Replica) CaughtUp(slot int) bool { return h.catchingUp[slot] == nil }

// CatchingUp counts the slots for which it may not answer yet.
func (h *Replica) CatchingUp() int { return len(h.catchingUp) }

// observeTerms takes over others' sittings. Where somebody knows a later one at its own place it was taken for gone, or this is a life that began with a
// clock behind: it sits down anew, above that, and with nothing known.
func (h *Replica) observeTerms(now float64, of []int, told []Term) {
	mine := h.terms[h.self]
	h.terms.Observe(of, told)
	if late := h.terms[h.self]; late != mine {
		h.terms[h.self] = Term{Number: late.Number + 1, Incarnation: mine.Incarnation}
		h.startCatchUp(now, h.placement.SlotsOf(h.self))
	}
}

// resetSlot sits down anew as a slot's records can't be trusted: a claimant that counts on what was granted before has to ask again.
func (h *Replica) resetSlot(now float64, slot int) {
	h.terms[h.self].Number++
	h.store.ClearSlot(slot)
	h.startCatchUp(now, []int{slot})
}

// HandleClaim answers a claimant.
func (h *Replica) HandleClaim(now float64, q *ClaimRequest) ClaimReply {
	a := ClaimReply{Key: q.Key, ClaimID: q.Attempt.ClaimID, Operation: q.Operation, Status: ReplyMisrouted}
	slot := q.Key.Slot()
	group := h.placement.Replicas(slot)
	if q.ConfigDigest != h.placement.ConfigDigest || !slices.Contains(group, h.self) {
		return a
	}
	h.store.Expire(now, maxExpiredPerCall)
	h.observeTerms(now, group, q.Terms)
	r, sound := h.store.Get(q.Key)
	if !sound {
		h.resetSlot(now, slot)
	}
	switch {
	case q.Operation == OpReport:
		a.Status = h.recordReport(now, r, q)
	case q.Operation == OpClaim && !slices.Equal(q.Terms, h.terms.Select(group)):
		a.Status = ReplyStaleTerm
	case !h.CaughtUp(slot):
		a.Status = ReplyCatchingUp
	case q.Operation == OpClaim:
		a.Status = h.grant(now, r, q)
	case r.BlockingAttempt() != nil:
		a.Status = ReplyConflict
	default:
		a.Status = ReplyUnclaimed
	}
	a.Terms = h.terms.Select(group)
	if r != nil {
		a.Attempts = r.Attempts
	}
	return a
}

// grant lets a claim stand where no other does.
func (h *Replica) grant(now float64, r *state.Record, q *ClaimRequest) ReplyStatus {
	if r != nil {
		if i := slices.IndexFunc(r.Attempts, func(t state.Attempt) bool { return t.ClaimID == q.Attempt.ClaimID }); i >= 0 {
			if r.Attempts[i].State == state.StateClaimed && r.BlockingAttempt() == &r.Attempts[i] && countBlocking(r) == 1 {
				return ReplyGranted // asked again
			}
			return ReplyConflict
		}
		if r.BlockingAttempt() != nil {
			return ReplyConflict
		}
		if len(r.Attempts) >= maxAttempts { // none is live: the first is forgotten
			short := *r
			short.Attempts = r.Attempts[1:]
			r = &short
		}
	}
	return h.mergeIntoStore(r, &state.Record{Key: q.Key, ExpiresAt: now + h.placement.MaxClaimDuration + h.placement.RetentionWindow, Attempts: []state.Attempt{{ClaimID: q.Attempt.ClaimID}}}, ReplyGranted)
}

func countBlocking(r *state.Record) (n int) {
	for i := range r.Attempts {
		if r.Attempts[i].State.Blocks() {
			n++
		}
	}
	return n
}

// recordReport takes what came of a claim, whoever granted it: also while cold, as it is no answer.
func (h *Replica) recordReport(now float64, r *state.Record, q *ClaimRequest) ReplyStatus {
	return h.mergeIntoStore(r, &state.Record{Key: q.Key, ExpiresAt: now + h.placement.RetentionWindow, Attempts: []state.Attempt{q.Attempt}}, ReplyRecorded)
}

// mergeIntoStore merges a record into the one that is held.
func (h *Replica) mergeIntoStore(old, told *state.Record, well ReplyStatus) ReplyStatus {
	m := *told
	if old != nil {
		m = Merge(old, told)
	}
	if HasConflictingResults(&m) && !HasConflictingResults(old) {
		h.ConflictingResults++
	}
	if !h.store.Put(m) {
		return ReplyFull
	}
	return well
}

// HandlePull answers another holder, who is known to sit there from then on: what is granted after it counts on its new sitting.
func (h *Replica) HandlePull(now float64, from int, q *PullRequest) *PullReply {
	if q.ConfigDigest != h.placement.ConfigDigest || from < 0 {
		return nil
	}
	h.observeTerms(now, []int{from}, []Term{q.Term})
	s := &PullReply{ConfigDigest: h.placement.ConfigDigest, Sequence: q.Sequence, Term: h.terms[h.self], RequesterTerm: h.terms[from]}
	if s.RequesterTerm != q.Term {
		return s // a later one sits there
	}
	left := maxPullReplyBytes
	for n, slot := range q.Slots {
		if n == maxPullSlots || left <= 0 && n > 0 {
			break
		}
		group := h.placement.Replicas(slot)
		if !slices.Contains(group, h.self) || !slices.Contains(group, from) {
			continue
		}
		var after *state.Key
		if n == 0 && q.Resumes {
			after = &q.AfterKey
		}
		scan := h.store.Scan(slot, after, left)
		if !scan.Intact {
			h.resetSlot(now, slot)
		}
		p := SlotRecords{Slot: slot, CaughtUp: h.CaughtUp(slot), Complete: scan.Complete}
		for _, r := range scan.Records {
			p.Copies = append(p.Copies, RecordCopy{Record: r, TimeToLive: max(0, r.ExpiresAt-now)})
			left -= 64 + 48*len(r.Attempts)
			for i := range r.Attempts {
				left -= len(r.Attempts[i].Result)
			}
		}
		s.Slots = append(s.Slots, p)
		if !scan.Complete {
			break
		}
	}
	s.Term = h.terms[h.self]
	return s
}

// HandlePullReply takes in what another holder knows. Bytes is the size of its message.
func (h *Replica) HandlePullReply(now float64, from int, s *PullReply, bytes int) {
	p := h.peers[from]
	if p == nil || s.ConfigDigest != h.placement.ConfigDigest || p.sentAt == 0 || s.Sequence != p.sequence {
		return // also a late one, told before the teller knew that this one sits here
	}
	if mine := h.terms[h.self]; s.RequesterTerm.Compare(mine) > 0 {
		h.observeTerms(now, []int{h.self}, []Term{s.RequesterTerm})
		p.sentAt, p.resumes = 0, false
		return
	}
	if p.resumes && s.Term != p.peerTerm { // it is another by now: the slot at hand from its beginning
		p.resumes = false
		p.sentAt, p.notBefore = 0, now
		h.observeTerms(now, []int{from}, []Term{s.Term})
		return
	}
	h.observeTerms(now, []int{from}, []Term{s.Term})
	p.sentAt, p.notBefore = 0, now+float64(bytes)/h.catchUpRate
	if len(s.Slots) == 0 {
		p.notBefore = now + catchingUpRetryInterval
		return
	}
	for _, part := range s.Slots {
		if !slices.Contains(p.requested, part.Slot) {
			continue
		}
		for _, c := range part.Copies {
			h.mergeCopy(now, part.Slot, c)
		}
		if !part.Complete {
			if n := len(part.Copies); n > 0 {
				p.afterKey, p.resumes, p.peerTerm = part.Copies[n-1].Record.Key, true, s.Term
			}
			continue
		}
		p.resumes = false
		if !part.CaughtUp && h.catchingUp[part.Slot] != nil {
			p.notBefore = max(p.notBefore, now+catchingUpRetryInterval) // it stays wanted: the other may know it by then
			continue
		}
		delete(p.wanted, part.Slot)
		if l := h.catchingUp[part.Slot]; l != nil {
			if l.toldBy[from] = s.Term; len(l.toldBy) >= h.placement.CatchUpQuorum {
				h.markCaughtUp(part.Slot)
				h.CaughtUpByPeers++
			}
		}
	}
}

func (h *Replica) markCaughtUp(slot int) {
	delete(h.catchingUp, slot)
	for _, i := range h.placement.Replicas(slot) {
		if i != h.self {
			delete(h.peers[i].wanted, slot)
		}
	}
}

// mergeCopy merges a copy.
func (h *Replica) mergeCopy(now float64, slot int, c RecordCopy) {
	if c.Record.Key.Slot() != slot || !(c.TimeToLive > 0) {
		return
	}
	// A copy is never kept longer than a fresh one would be, whatever its teller's clock or a late message makes of it.
	c.Record.ExpiresAt = now + min(c.TimeToLive, h.placement.MaxClaimDuration+h.placement.RetentionWindow)
	old, sound := h.store.Get(c.Record.Key)
	if !sound {
		h.resetSlot(now, slot)
		return
	}
	if old != nil {
		if m := Merge(old, c.Record); sameAttempts(&m, old) {
			return
		}
	}
	if h.catchingUp[slot] == nil {
		h.RepairedRecords++
	}
	h.mergeIntoStore(old, c.Record, ReplyRecorded)
}

// HandleChecksums holds another's sums against its own, and has what differs told.
func (h *Replica) HandleChecksums(now float64, from int, s *Checksums) {
	p := h.peers[from]
	if p == nil || s.ConfigDigest != h.placement.ConfigDigest {
		return
	}
	h.observeTerms(now, []int{from}, []Term{s.Term})
	if len(s.Slots) == 0 {
		if mine := h.sharedChecksums(from); len(mine.Slots) > 0 && len(s.Values) == 1 && s.Values[0] != combineChecksums(mine) {
			h.outbox = append(h.outbox, Envelope{To: from, Checksums: mine})
		}
		return
	}
	for n, slot := range s.Slots {
		if n < len(s.Values) && slices.Contains(h.placement.Replicas(slot), h.self) && h.store.Checksum(slot) != s.Values[n] {
			p.wanted[slot] = true
		}
	}
}

// OutOfSync lists the slots of which it waits to be told by another.
func (h *Replica) OutOfSync() int {
	slots := map[int]bool{}
	for _, p := range h.peers {
		for slot := range p.wanted {
			slots[slot] = true
		}
	}
	return len(slots)
}

// Maintain does what is due: catching up, comparing, forgetting.
func (h *Replica) Maintain(now float64) {
	h.store.Expire(now, maxExpiredPerCall)
	if len(h.catchingUp) > 0 && now >= h.catchUpSince+h.placement.RetentionWindow+2*h.placement.MaxClaimDuration {
		for slot := range h.catchingUp { // whatever was granted before it sat down is past
			h.markCaughtUp(slot)
			h.CaughtUpByTimeout++
		}
	}
	for _, i := range h.peerOrder {
		p := h.peers[i]
		if len(p.wanted) == 0 || now < p.notBefore || p.sentAt > 0 && now < p.sentAt+pullRetryInterval {
			continue
		}
		h.sendPull(now, i, p)
	}
	if now >= h.nextCompareAt && len(h.peerOrder) > 0 {
		h.nextCompareAt = now + compareInterval
		h.compareTurn++
		i := h.peerOrder[h.compareTurn%len(h.peerOrder)]
		if s := h.sharedChecksums(i); len(s.Slots) > 0 {
			h.outbox = append(h.outbox, Envelope{To: i, Checksums: &Checksums{ConfigDigest: s.ConfigDigest, Term: s.Term, Values: []uint64{combineChecksums(s)}}})
		}
	}
}

// sharedChecksums lists those of the slots that it shares with another, as far as it knows their truth.
func (h *Replica) sharedChecksums(with int) *Checksums {
	s := &Checksums{ConfigDigest: h.placement.ConfigDigest, Term: h.terms[h.self]}
	for _, slot := range h.placement.SlotsOf(h.self) {
		if h.CaughtUp(slot) && slices.Contains(h.placement.Replicas(slot), with) {
			s.Slots, s.Values = append(s.Slots, slot), append(s.Values, h.store.Checksum(slot))
		}
	}
	return s
}

// combineChecksums is one sum over all: 0 where there is nothing.
func combineChecksums(s *Checksums) (all uint64) {
	for _, sum := range s.Values {
		all ^= sum
	}
	return all
}

// sendPull asks for what is wanted, or once more for what is under way: by the same number, so that an answer that takes long is heeded all the same.
func (h *Replica) sendPull(now float64, to int, p *peerSync) {
	if p.sentAt > 0 {
		p.sentAt = now
		h.outbox = append(h.outbox, Envelope{To: to, Pull: p.request})
		return
	}
	asked := make([]int, 0, len(p.wanted))
	for slot := range p.wanted {
		asked = append(asked, slot)
	}
	slices.Sort(asked)
	if p.resumes {
		if at := slices.Index(asked, p.afterKey.Slot()); at >= 0 {
			asked = slices.Concat(asked[at:at+1], asked[:at], asked[at+1:]) // the slot at hand first
		} else {
			p.resumes = false
		}
	}
	p.requested = asked[:min(len(asked), maxPullSlots)]
	h.lastSequence++
	p.sentAt, p.sequence = now, h.lastSequence
	p.request = &PullRequest{ConfigDigest: h.placement.ConfigDigest, Sequence: p.sequence, Term: h.terms[h.self], Slots: p.requested, AfterKey: p.afterKey, Resumes: p.resumes}
	h.outbox = append(h.outbox, Envelope{To: to, Pull: p.request})
}

// NextWakeup is when Due is to be called.
func (h *Replica) NextWakeup(now float64) float64 {
	next := min(h.nextCompareAt, h.store.NextExpiry())
	if len(h.catchingUp) > 0 {
		next = min(next, h.catchUpSince+h.placement.RetentionWindow+2*h.placement.MaxClaimDuration)
	}
	for _, p := range h.peers {
		if len(p.wanted) == 0 {
			continue
		}
		if p.sentAt > 0 {
			next = min(next, p.sentAt+pullRetryInterval)
		} else {
			next = min(next, max(now, p.notBefore))
		}
	}
	return next
}

// TakeOutbox takes what there is to send.
func (h *Replica) TakeOutbox() []Envelope {
	l := h.outbox
	h.outbox = nil
	return l
}

// Sums is this holder's sum of a slot, for those who compare copies from outside.
func (h *Replica) Checksum(slot int) uint64 { return h.store.Checksum(slot) }
