package replica

import (
	"slices"

	state "swiftcourse/internal/replica"
)

// Verb is what a claimant asks of a holder.
type Verb uint8

const (
	Run  Verb = iota // may this claim run?
	Look             // what is known?
	Say              // this came of the claim
)

// Ask is from a claimant to a holder.
type Ask struct {
	Plan uint64 // digest of the terms that it was told
	Verb Verb
	Key  state.Key
	Try  state.Try // the claim, and with Say what came of it
	Sits []Sitting // the key's holders, in the group's order, as it knows them
}

// Verdict is what a holder answers.
type Verdict uint8

const (
	Granted Verdict = iota // the claim stands here, and no other does
	Held                   // others stand in its way, as the record tells
	Free                   // nobody does
	Noted                  // what was said is entered
	Stale                  // a holder is another one by now, as the sittings tell
	Cold                   // it does not know the key's truth yet
	Full                   // it has no place left
	Other                  // it was told other terms, or does not hold the key
)

func (v Verdict) String() string {
	return [...]string{"granted", "held", "free", "noted", "stale", "cold", "full", "other", "?"}[min(v, 8)]
}

// Answer is a holder's.
type Answer struct {
	Key     state.Key
	Claim   state.Claim // which was asked about
	Verb    Verb
	Verdict Verdict
	Sits    []Sitting
	Tries   []state.Try // of the record, where there is one
}

// Pull asks another holder for what it knows of some slots, in their order, the first from after a key on.
type Pull struct {
	Plan   uint64
	Number uint64  // given once by who asks
	Sit    Sitting // of who asks
	Slots  []int
	After  state.Key
	Begun  bool // After counts
}

// Copy is a record on its way; Left is how long it is still kept, in seconds, as clocks differ.
type Copy struct {
	Record *state.Record
	Left   float64
}

// Part is what a Slice has of one slot.
type Part struct {
	Slot   int
	Warm   bool // the teller knows its truth
	All    bool // nothing of it is left to tell
	Copies []Copy
}

// Slice answers a Pull, as far as it goes.
type Slice struct {
	Plan   uint64
	Number uint64  // of the Pull
	Sit    Sitting // of who tells
	Yours  Sitting // of who asked, as this one knows it
	Parts  []Part
}

// Sums are a holder's sums of the slots that it shares with another: one sum over all of them, and where that is not the other's, each.
type Sums struct {
	Plan  uint64
	Sit   Sitting
	Slots []int
	Sums  []uint64
}

// Letter goes to the holder of that index.
type Letter struct {
	To    int
	Ask   *Ask
	Pull  *Pull
	Sums  *Sums
	Slice *Slice
}

const (
	// sliceBytes is how much of the records one answer to a Pull tells: some tens of packets, a millisecond of a holder's time.
	sliceBytes = 32 << 10
	// maxPulled slots go in one Pull: empty ones cost little, so that a round trip does for many.
	maxPulled = 64
	// pullAgain is after how long a Pull without an answer is repeated: some of the longest delays among servers that hear one another.
	pullAgain = 0.5
	// coldAgain is after how long a holder that was cold itself is asked again.
	coldAgain = 0.25
	// compareEvery is how often a holder tells another one its sums: of three holders each pair has compared within some seconds.
	compareEvery = 1.0
	// maxAged records are forgotten in one go.
	maxAged = 256
)

// learning is how far a slot that is cold, or differs, has been told by the others.
type learning struct {
	told map[int]Sitting // by whom all of it, who was warm
}

// pulling is what is asked of one holder.
type pulling struct {
	wants  map[int]bool // slots
	asked  []int
	number uint64
	last   *Pull // what is under way
	after  state.Key
	begun  bool
	sit    Sitting // of the one that is told from, since the first slice of the slot at hand
	sent   float64 // when; 0 where nothing is under way
	next   float64 // not before
}

// Holder is the part of one server that holds copies.
type Holder struct {
	place   *Place
	me      int
	sits    Sittings
	store   *state.Store
	cold    map[int]*learning
	since   float64 // when it sat down, or last lost its memory
	pulls   map[int]*pulling
	rate    float64 // bytes a second that it takes in to catch up
	compare float64
	turn    int
	numbers uint64
	letters []Letter
	chosen  []int // the others that share a slot

	Aged, Learned int // slots whose truth came by waiting, by being told
	Differed      int // records that a comparison mended
	Alarms        int // keys with two results
}

// NewHolder makes the holder of a life that begins, with nothing but what its store has, which counts as hearsay. Rate is in bytes a second.
func NewHolder(p *Place, me int, sits Sittings, store *state.Store, rate, now float64) *Holder {
	h := &Holder{place: p, me: me, sits: sits, store: store, rate: rate, pulls: map[int]*pulling{}, cold: map[int]*learning{}}
	for _, slot := range p.Slots(me) {
		for _, i := range p.Group(slot) {
			if i != me && h.pulls[i] == nil {
				h.pulls[i] = &pulling{wants: map[int]bool{}}
				h.chosen = append(h.chosen, i)
			}
		}
	}
	slices.Sort(h.chosen)
	h.forget(now, p.Slots(me))
	return h
}

// forget has it learn slots anew: it may not answer for them before.
func (h *Holder) forget(now float64, slots []int) {
	h.since = now
	for _, slot := range slots {
		h.cold[slot] = &learning{told: map[int]Sitting{}}
		for _, i := range h.place.Group(slot) {
			if i != h.me {
				p := h.pulls[i]
				p.wants[slot] = true
				p.sent, p.begun = 0, false // what is under way was asked for from the sitting before
			}
		}
	}
}

// Warm tells whether it may answer for a slot.
func (h *Holder) Warm(slot int) bool { return h.cold[slot] == nil }

// Cold counts the slots for which it may not answer yet.
func (h *Holder) Cold() int { return len(h.cold) }

// hear takes over others' sittings. Where somebody knows a later one at its own place it was taken for gone, or this is a life that began with a
// clock behind: it sits down anew, above that, and with nothing known.
func (h *Holder) hear(now float64, of []int, told []Sitting) {
	mine := h.sits[h.me]
	h.sits.Hear(of, told)
	if late := h.sits[h.me]; late != mine {
		h.sits[h.me] = Sitting{N: late.N + 1, Life: mine.Life}
		h.forget(now, h.place.Slots(h.me))
	}
}

// lost sits down anew as a slot's records can't be trusted: a claimant that counts on what was granted before has to ask again.
func (h *Holder) lost(now float64, slot int) {
	h.sits[h.me].N++
	h.store.Clear(slot)
	h.forget(now, []int{slot})
}

// Read answers a claimant.
func (h *Holder) Read(now float64, q *Ask) Answer {
	a := Answer{Key: q.Key, Claim: q.Try.Claim, Verb: q.Verb, Verdict: Other}
	slot := q.Key.Slot()
	group := h.place.Group(slot)
	if q.Plan != h.place.Digest || !slices.Contains(group, h.me) {
		return a
	}
	h.store.Age(now, maxAged)
	h.hear(now, group, q.Sits)
	r, sound := h.store.Get(q.Key)
	if !sound {
		h.lost(now, slot)
	}
	switch {
	case q.Verb == Say:
		a.Verdict = h.enter(now, r, q)
	case q.Verb == Run && !slices.Equal(q.Sits, h.sits.Of(group)):
		a.Verdict = Stale
	case !h.Warm(slot):
		a.Verdict = Cold
	case q.Verb == Run:
		a.Verdict = h.grant(now, r, q)
	case r.Live() != nil:
		a.Verdict = Held
	default:
		a.Verdict = Free
	}
	a.Sits = h.sits.Of(group)
	if r != nil {
		a.Tries = r.Tries
	}
	return a
}

// grant lets a claim stand where no other does.
func (h *Holder) grant(now float64, r *state.Record, q *Ask) Verdict {
	if r != nil {
		if i := slices.IndexFunc(r.Tries, func(t state.Try) bool { return t.Claim == q.Try.Claim }); i >= 0 {
			if r.Tries[i].State == state.Claimed && r.Live() == &r.Tries[i] && lives(r) == 1 {
				return Granted // asked again
			}
			return Held
		}
		if r.Live() != nil {
			return Held
		}
		if len(r.Tries) >= maxTries { // none is live: the first is forgotten
			short := *r
			short.Tries = r.Tries[1:]
			r = &short
		}
	}
	return h.put(r, &state.Record{Key: q.Key, Until: now + h.place.Longest + h.place.Window, Tries: []state.Try{{Claim: q.Try.Claim}}}, Granted)
}

func lives(r *state.Record) (n int) {
	for i := range r.Tries {
		if r.Tries[i].State.Live() {
			n++
		}
	}
	return n
}

// enter takes what came of a claim, whoever granted it: also while cold, as it is no answer.
func (h *Holder) enter(now float64, r *state.Record, q *Ask) Verdict {
	return h.put(r, &state.Record{Key: q.Key, Until: now + h.place.Window, Tries: []state.Try{q.Try}}, Noted)
}

// put merges a record into the one that is held.
func (h *Holder) put(old, told *state.Record, well Verdict) Verdict {
	m := *told
	if old != nil {
		m = Merge(old, told)
	}
	if Two(&m) && !Two(old) {
		h.Alarms++
	}
	if !h.store.Put(m) {
		return Full
	}
	return well
}

// Pulled answers another holder, who is known to sit there from then on: what is granted after it counts on its new sitting.
func (h *Holder) Pulled(now float64, from int, q *Pull) *Slice {
	if q.Plan != h.place.Digest || from < 0 {
		return nil
	}
	h.hear(now, []int{from}, []Sitting{q.Sit})
	s := &Slice{Plan: h.place.Digest, Number: q.Number, Sit: h.sits[h.me], Yours: h.sits[from]}
	if s.Yours != q.Sit {
		return s // a later one sits there
	}
	left := sliceBytes
	for n, slot := range q.Slots {
		if n == maxPulled || left <= 0 && n > 0 {
			break
		}
		group := h.place.Group(slot)
		if !slices.Contains(group, h.me) || !slices.Contains(group, from) {
			continue
		}
		list, all, sound := h.store.Slice(slot, q.After, n > 0 || !q.Begun, left)
		if !sound {
			h.lost(now, slot)
		}
		p := Part{Slot: slot, Warm: h.Warm(slot), All: all}
		for _, r := range list {
			p.Copies = append(p.Copies, Copy{Record: r, Left: max(0, r.Until-now)})
			left -= 64 + 48*len(r.Tries)
			for i := range r.Tries {
				left -= len(r.Tries[i].Result)
			}
		}
		s.Parts = append(s.Parts, p)
		if !all {
			break
		}
	}
	s.Sit = h.sits[h.me]
	return s
}

// Told takes in what another holder knows. Bytes is the size of its message.
func (h *Holder) Told(now float64, from int, s *Slice, bytes int) {
	p := h.pulls[from]
	if p == nil || s.Plan != h.place.Digest || p.sent == 0 || s.Number != p.number {
		return // also a late one, told before the teller knew that this one sits here
	}
	if mine := h.sits[h.me]; s.Yours.Compare(mine) > 0 {
		h.hear(now, []int{h.me}, []Sitting{s.Yours})
		p.sent, p.begun = 0, false
		return
	}
	if p.begun && s.Sit != p.sit { // it is another by now: the slot at hand from its beginning
		p.begun = false
		p.sent, p.next = 0, now
		h.hear(now, []int{from}, []Sitting{s.Sit})
		return
	}
	h.hear(now, []int{from}, []Sitting{s.Sit})
	p.sent, p.next = 0, now+float64(bytes)/h.rate
	if len(s.Parts) == 0 {
		p.next = now + coldAgain
		return
	}
	for _, part := range s.Parts {
		if !slices.Contains(p.asked, part.Slot) {
			continue
		}
		for _, c := range part.Copies {
			h.takeOver(now, part.Slot, c)
		}
		if !part.All {
			if n := len(part.Copies); n > 0 {
				p.after, p.begun, p.sit = part.Copies[n-1].Record.Key, true, s.Sit
			}
			continue
		}
		p.begun = false
		if !part.Warm && h.cold[part.Slot] != nil {
			p.next = max(p.next, now+coldAgain) // it stays wanted: the other may know it by then
			continue
		}
		delete(p.wants, part.Slot)
		if l := h.cold[part.Slot]; l != nil {
			if l.told[from] = s.Sit; len(l.told) >= h.place.Learn {
				h.warm(part.Slot)
				h.Learned++
			}
		}
	}
}

func (h *Holder) warm(slot int) {
	delete(h.cold, slot)
	for _, i := range h.place.Group(slot) {
		if i != h.me {
			delete(h.pulls[i].wants, slot)
		}
	}
}

// takeOver merges a copy.
func (h *Holder) takeOver(now float64, slot int, c Copy) {
	if c.Record.Key.Slot() != slot || !(c.Left > 0) {
		return
	}
	// A copy is never kept longer than a fresh one would be, whatever its teller's clock or a late message makes of it.
	c.Record.Until = now + min(c.Left, h.place.Longest+h.place.Window)
	old, sound := h.store.Get(c.Record.Key)
	if !sound {
		h.lost(now, slot)
		return
	}
	if old != nil {
		if m := Merge(old, c.Record); same(&m, old) {
			return
		}
	}
	if h.cold[slot] == nil {
		h.Differed++
	}
	h.put(old, c.Record, Noted)
}

// Compared holds another's sums against its own, and has what differs told.
func (h *Holder) Compared(now float64, from int, s *Sums) {
	p := h.pulls[from]
	if p == nil || s.Plan != h.place.Digest {
		return
	}
	h.hear(now, []int{from}, []Sitting{s.Sit})
	if len(s.Slots) == 0 {
		if mine := h.sums(from); len(mine.Slots) > 0 && len(s.Sums) == 1 && s.Sums[0] != total(mine) {
			h.letters = append(h.letters, Letter{To: from, Sums: mine})
		}
		return
	}
	for n, slot := range s.Slots {
		if n < len(s.Sums) && slices.Contains(h.place.Group(slot), h.me) && h.store.Sum(slot) != s.Sums[n] {
			p.wants[slot] = true
		}
	}
}

// Differs lists the slots of which it waits to be told by another.
func (h *Holder) Differs() int {
	slots := map[int]bool{}
	for _, p := range h.pulls {
		for slot := range p.wants {
			slots[slot] = true
		}
	}
	return len(slots)
}

// Due does what is due: catching up, comparing, forgetting.
func (h *Holder) Due(now float64) {
	h.store.Age(now, maxAged)
	if len(h.cold) > 0 && now >= h.since+h.place.Window+2*h.place.Longest {
		for slot := range h.cold { // whatever was granted before it sat down is past
			h.warm(slot)
			h.Aged++
		}
	}
	for _, i := range h.chosen {
		p := h.pulls[i]
		if len(p.wants) == 0 || now < p.next || p.sent > 0 && now < p.sent+pullAgain {
			continue
		}
		h.pull(now, i, p)
	}
	if now >= h.compare && len(h.chosen) > 0 {
		h.compare = now + compareEvery
		h.turn++
		i := h.chosen[h.turn%len(h.chosen)]
		if s := h.sums(i); len(s.Slots) > 0 {
			h.letters = append(h.letters, Letter{To: i, Sums: &Sums{Plan: s.Plan, Sit: s.Sit, Sums: []uint64{total(s)}}})
		}
	}
}

// sums lists those of the slots that it shares with another, as far as it knows their truth.
func (h *Holder) sums(with int) *Sums {
	s := &Sums{Plan: h.place.Digest, Sit: h.sits[h.me]}
	for _, slot := range h.place.Slots(h.me) {
		if h.Warm(slot) && slices.Contains(h.place.Group(slot), with) {
			s.Slots, s.Sums = append(s.Slots, slot), append(s.Sums, h.store.Sum(slot))
		}
	}
	return s
}

// total is one sum over all: 0 where there is nothing.
func total(s *Sums) (all uint64) {
	for _, sum := range s.Sums {
		all ^= sum
	}
	return all
}

// pull asks for what is wanted, or once more for what is under way: by the same number, so that an answer that takes long is heeded all the same.
func (h *Holder) pull(now float64, to int, p *pulling) {
	if p.sent > 0 {
		p.sent = now
		h.letters = append(h.letters, Letter{To: to, Pull: p.last})
		return
	}
	asked := make([]int, 0, len(p.wants))
	for slot := range p.wants {
		asked = append(asked, slot)
	}
	slices.Sort(asked)
	if p.begun {
		if at := slices.Index(asked, p.after.Slot()); at >= 0 {
			asked = slices.Concat(asked[at:at+1], asked[:at], asked[at+1:]) // the slot at hand first
		} else {
			p.begun = false
		}
	}
	p.asked = asked[:min(len(asked), maxPulled)]
	h.numbers++
	p.sent, p.number = now, h.numbers
	p.last = &Pull{Plan: h.place.Digest, Number: p.number, Sit: h.sits[h.me], Slots: p.asked, After: p.after, Begun: p.begun}
	h.letters = append(h.letters, Letter{To: to, Pull: p.last})
}

// Next is when Due is to be called.
func (h *Holder) Next(now float64) float64 {
	next := min(h.compare, h.store.Next())
	if len(h.cold) > 0 {
		next = min(next, h.since+h.place.Window+2*h.place.Longest)
	}
	for _, p := range h.pulls {
		if len(p.wants) == 0 {
			continue
		}
		if p.sent > 0 {
			next = min(next, p.sent+pullAgain)
		} else {
			next = min(next, max(now, p.next))
		}
	}
	return next
}

// Letters takes what there is to send.
func (h *Holder) Letters() []Letter {
	l := h.letters
	h.letters = nil
	return l
}

// Sums is this holder's sum of a slot, for those who compare copies from outside.
func (h *Holder) Sum(slot int) uint64 { return h.store.Sum(slot) }
