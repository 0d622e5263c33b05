package replica

import (
	"slices"

	"swiftcourse/internal/judge/stance"
	state "swiftcourse/internal/replica"
	"swiftcourse/internal/ring"
)

// Told is how a claim came out.
type Told struct {
	ID     string
	Ruling stance.ClaimVerdict
	Result []byte
	Took   float64 // seconds since it was asked for
}

// phase is where a claim stands.
type phase uint8

const (
	asking    phase = iota // holders are asked to grant it
	following              // another claim of the key is before it; what becomes of that is looked after
	holding                // granted: its task may run
	over
)

// input is what happens to a claim.
type input uint8

const (
	quorum input = iota // most holders granted it
	known               // a result is there
	spoilt              // a run without a result is there
	beaten              // another claim is before it
	freed               // no claim stands in its way any more
	late                // its time to be granted is over
	never               // its task is over and never began
	ended               // its run ended, as the try says
)

// ways is the whole life of a claim; what no row names changes nothing.
var ways = []struct {
	in   phase
	on   input
	next phase
	do   func(*Asker, *claim, float64)
}{
	{asking, quorum, holding, (*Asker).mayRun},
	{asking, known, over, both((*Asker).withdraw, (*Asker).tellKnown)},
	{asking, spoilt, over, both((*Asker).withdraw, (*Asker).tellMayHave)},
	{asking, beaten, following, (*Asker).withdraw},
	{asking, late, over, both((*Asker).withdraw, (*Asker).tellLate)},
	{asking, never, over, (*Asker).withdraw},
	{following, known, over, (*Asker).tellKnown},
	{following, spoilt, over, (*Asker).tellMayHave},
	{following, freed, asking, (*Asker).anew},
	{following, late, over, (*Asker).tellMayHave},
	{following, never, over, nil},
	{holding, never, over, (*Asker).withdraw},
	{holding, ended, over, (*Asker).sayEnd},
}

func both(a, b func(*Asker, *claim, float64)) func(*Asker, *claim, float64) {
	return func(s *Asker, c *claim, now float64) { a(s, c, now); b(s, c, now) }
}

// claim is one task's.
type claim struct {
	id      string
	key     state.Key
	group   []int
	phase   phase
	try     state.Try
	began   float64
	until   float64 // when it has to be told
	giveUp  float64 // when asking is over, unless somebody is followed
	again   float64 // when holders are asked anew
	sits    []Sitting
	grants  []bool        // by the group's order, under sits
	free    []bool        // those who said that nobody stands in the way
	by      []state.Claim // whose claim stands in its way there
	rounds  int
	rivals  bool // another claim was seen
	claimed int  // how often it was claimed
}

// saying is what came of a claim, on its way to the holders.
type saying struct {
	key   state.Key
	try   state.Try
	group []int
	noted []bool
	again float64
	until float64
	told  bool // most holders have it
}

const (
	// maxClaims bounds the claims under way, maxSayings what is still to be said. At 1 ms a claim that is two million a second.
	maxClaims, maxSayings = 2048, 4096
	// askAgain and lookAgain are how often holders are asked again: at once for a packet that was lost, more slowly for a run to end. Both double.
	askAgain, lookAgain, maxAgain = 0.02, 0.05, 0.5
	// leastPatience is for how long holders are waited for at the least, and patience the multiple of what claims typically take: a task whose
	// holders don't answer is told so while its caller has time to go elsewhere.
	leastPatience, patience = 0.25, 8
	// sayAgain and sayFor are how often, and for how long, an end is said to holders that did not note it. After that the comparison of copies has it.
	sayAgain, sayFor = 0.1, 5.0
	// maxRounds of one claim: a storm of holders that come and go must not become one of questions.
	maxRounds = 64
)

// Asker is the part of one server that asks for its tasks.
type Asker struct {
	place   *Place
	sits    Sittings
	life    uint64
	number  uint64
	unix    func() float64
	claims  map[string]*claim
	byTry   map[state.Claim]*claim
	says    map[state.Claim]*saying
	order   []*claim // in the order in which they began, so that a schedule repeats itself
	saying  []*saying
	took    *ring.Ring[ring.Spread]
	letters []Letter
	told    []Told

	Promised, Unpromised int // ends that most holders noted; that they did not in time
}

// NewAsker makes the asker of a life; unix tells the time of day, by which claims are put in order.
func NewAsker(p *Place, sits Sittings, life uint64, unix func() float64, now float64) *Asker {
	return &Asker{place: p, sits: sits, life: life, unix: unix, claims: map[string]*claim{}, byTry: map[state.Claim]*claim{}, says: map[state.Claim]*saying{},
		took: ring.New[ring.Spread](8, 1, now)}
}

// Typical is how long claims lately took, 0 where there were none.
func (s *Asker) Typical(now float64) float64 {
	var all ring.Spread
	s.took.All(now, all.Merge)
	return all.Median()
}

// Begin claims a key for a task, which has to be told by until. It is refused at once where less is left than claims typically take, as a task is
// where less is left than a run.
func (s *Asker) Begin(now float64, id string, key state.Key, until float64) {
	typical := s.Typical(now)
	if s.claims[id] != nil || len(s.claims) >= maxClaims || until-now <= typical {
		s.told = append(s.told, Told{ID: id, Ruling: stance.ClaimNoQuorum})
		return
	}
	c := &claim{id: id, key: key, group: s.place.Group(key.Slot()), began: now, until: min(until, now+s.place.Longest)}
	s.claims[id] = c
	s.order = append(s.order, c)
	c.giveUp = min(c.until, now+max(leastPatience, patience*typical))
	s.anew(c, now)
}

// step feeds one input to a claim.
func (s *Asker) step(c *claim, on input, now float64) {
	for _, w := range ways {
		if w.in != c.phase || w.on != on {
			continue
		}
		c.phase = w.next
		if w.do != nil {
			w.do(s, c, now)
		}
		if c.phase == over {
			delete(s.claims, c.id)
			delete(s.byTry, c.try.Claim)
		}
		return
	}
}

// anew claims the key under a number that was never used.
func (s *Asker) anew(c *claim, now float64) {
	delete(s.byTry, c.try.Claim)
	s.number++
	c.try = state.Try{Claim: state.Claim{At: int64(s.unix() * 1000), Who: s.life, N: s.number}}
	s.byTry[c.try.Claim] = c
	c.claimed++
	c.giveUp = max(c.giveUp, min(c.until, now+leastPatience))
	s.under(c)
	s.ask(c, now)
}

// under begins to count grants anew, under the sittings as they are known now.
func (s *Asker) under(c *claim) {
	c.sits = s.sits.Of(c.group)
	c.grants, c.free, c.by = make([]bool, len(c.group)), make([]bool, len(c.group)), make([]state.Claim, len(c.group))
}

// ask asks the holders that did not answer.
func (s *Asker) ask(c *claim, now float64) {
	verb, pause := Run, askAgain
	if c.phase == following {
		verb, pause = Look, lookAgain
		clear(c.free)
	}
	c.again = now + min(maxAgain, pause*float64(int(1)<<min(c.rounds, 5)))
	if c.rounds++; c.rounds > maxRounds {
		c.again = c.until
	}
	for j, i := range c.group {
		if verb == Look || !c.grants[j] {
			s.letters = append(s.letters, Letter{To: i, Ask: &Ask{Plan: s.place.Digest, Verb: verb, Key: c.key, Try: c.try, Sits: c.sits}})
		}
	}
}

// Read takes a holder's answer in.
func (s *Asker) Read(now float64, from int, a *Answer) {
	if a.Verb == Say {
		s.noted(from, a)
		return
	}
	c := s.byTry[a.Claim]
	if c == nil || c.key != a.Key || c.phase == holding || (a.Verb == Look) != (c.phase == following) {
		return
	}
	j := slices.Index(c.group, from)
	if j < 0 {
		return
	}
	news := s.sits.Hear(c.group, a.Sits)
	r := &state.Record{Key: a.Key, Tries: a.Tries}
	if t := r.Ended(); t != nil {
		if t.Result == nil { // dropped there; another may have it
			c.rivals = true
		} else {
			s.tellWith(c, t.Result, now)
			return
		}
	}
	if t := r.Live(); t != nil && t.Claim != c.try.Claim {
		c.rivals = true
		if t.State == state.Spoilt {
			s.step(c, spoilt, now)
			return
		}
	}
	switch {
	case c.phase == following:
		if c.free[j] = a.Verdict == Free; trues(c.free) >= s.place.Need {
			s.step(c, freed, now)
		}
	case a.Verdict == Granted && slices.Equal(a.Sits, c.sits):
		if c.grants[j] = true; trues(c.grants) >= s.place.Need {
			s.step(c, quorum, now)
		}
	case a.Verdict == Held:
		// The earlier claim stays, the later gives way, so that of two each with a part of the holders one comes through. A later one that
		// too many hold to let this one through has run, or may.
		t := r.Live()
		if t == nil {
			return
		}
		c.by[j] = t.Claim
		if t.Claim.Compare(c.try.Claim) < 0 || c.heldBy(t.Claim) > len(c.group)-s.place.Need {
			s.step(c, beaten, now)
		}
	case news && c.rounds < maxRounds:
		s.under(c)
		s.ask(c, now)
	}
}

// heldBy counts the holders at which a claim stands in the way of this one.
func (c *claim) heldBy(other state.Claim) (n int) {
	for _, o := range c.by {
		if o == other {
			n++
		}
	}
	return n
}

func trues(list []bool) (n int) {
	for _, b := range list {
		if b {
			n++
		}
	}
	return n
}

// tellWith ends a claim with a result that a holder has.
func (s *Asker) tellWith(c *claim, result []byte, now float64) {
	c.try.Result = result
	s.step(c, known, now)
}

func (s *Asker) tell(c *claim, r stance.ClaimVerdict, now float64) {
	s.told = append(s.told, Told{ID: c.id, Ruling: r, Result: c.try.Result, Took: now - c.began})
}

func (s *Asker) mayRun(c *claim, now float64) {
	s.took.At(now).Add(now - c.began)
	s.tell(c, stance.ClaimGranted, now)
}
func (s *Asker) tellKnown(c *claim, now float64)   { s.tell(c, stance.ClaimCached, now) }
func (s *Asker) tellMayHave(c *claim, now float64) { s.tell(c, stance.ClaimOutcomeUnknown, now) }

// tellLate tells that no quorum came. Where another claim was seen its task may run: then nobody should try it again at once.
func (s *Asker) tellLate(c *claim, now float64) {
	if c.rivals {
		s.tell(c, stance.ClaimOutcomeUnknown, now)
		return
	}
	s.tell(c, stance.ClaimNoQuorum, now)
}

// withdraw has the holders know that a claim never ran: it is told to no task any more, and one that would come with it later is not heeded.
func (s *Asker) withdraw(c *claim, now float64) {
	s.say(c, state.Try{Claim: c.try.Claim, State: state.Withdrawn}, now)
}

func (s *Asker) sayEnd(c *claim, now float64) { s.say(c, c.try, now) }

func (s *Asker) say(c *claim, t state.Try, now float64) {
	if len(s.saying) >= maxSayings { // the oldest goes unsaid: its claim stands as one that may have run
		s.quit(s.saying[0])
	}
	w := &saying{key: c.key, try: t, group: c.group, noted: make([]bool, len(c.group)), until: now + sayFor}
	s.says[t.Claim] = w
	s.saying = append(s.saying, w)
	s.put(w, now)
}

func (s *Asker) put(w *saying, now float64) {
	w.again = now + sayAgain
	for j, i := range w.group {
		if !w.noted[j] {
			s.letters = append(s.letters, Letter{To: i, Ask: &Ask{Plan: s.place.Digest, Verb: Say, Key: w.key, Try: w.try, Sits: s.sits.Of(w.group)}})
		}
	}
}

func (s *Asker) noted(from int, a *Answer) {
	w := s.says[a.Claim]
	if w == nil || a.Verdict != Noted && a.Verdict != Full {
		return
	}
	j := slices.Index(w.group, from)
	if j < 0 {
		return
	}
	s.sits.Hear(w.group, a.Sits)
	w.noted[j] = a.Verdict == Noted
	n := trues(w.noted)
	if n >= s.place.Need && !w.told {
		w.told = true
		if w.try.State == state.Finished {
			s.Promised++
		}
	}
	if n == len(w.group) {
		s.quit(w)
	}
}

func (s *Asker) quit(w *saying) {
	if !w.told && w.try.State == state.Finished {
		s.Unpromised++
	}
	delete(s.says, w.try.Claim)
	s.saying = slices.DeleteFunc(s.saying, func(o *saying) bool { return o == w })
}

// Never tells that a task that was granted its run is over, and never began.
func (s *Asker) Never(now float64, id string) {
	if c := s.claims[id]; c != nil {
		s.step(c, never, now)
	}
}

// Ended tells that a run ended, with a result or without one.
func (s *Asker) Ended(now float64, id string, well bool, result []byte) {
	c := s.claims[id]
	if c == nil {
		return
	}
	if c.try = (state.Try{Claim: c.try.Claim, State: state.Spoilt}); well {
		c.try = state.Finish(c.try.Claim, result)
	}
	s.step(c, ended, now)
}

// Due does what is due.
func (s *Asker) Due(now float64) {
	s.order = slices.DeleteFunc(s.order, func(c *claim) bool { return c.phase == over })
	for _, c := range s.order {
		switch {
		case c.phase == holding || c.phase == over:
		case now >= c.until, c.phase == asking && now >= c.giveUp:
			s.step(c, late, now)
		case now >= c.again:
			if c.phase == asking && !slices.Equal(c.sits, s.sits.Of(c.group)) {
				s.under(c)
			}
			s.ask(c, now)
		}
	}
	for _, w := range slices.Clone(s.saying) {
		switch {
		case now >= w.until:
			s.quit(w)
		case now >= w.again:
			s.put(w, now)
		}
	}
}

// Next is when Due is to be called.
func (s *Asker) Next() float64 {
	next := 1e18
	for _, c := range s.order {
		switch c.phase {
		case asking:
			next = min(next, c.again, c.giveUp)
		case following:
			next = min(next, c.again, c.until)
		}
	}
	for _, w := range s.saying {
		next = min(next, w.again)
	}
	return next
}

// Letters takes what there is to send, and Rulings what there is to tell.
func (s *Asker) Letters() []Letter {
	l := s.letters
	s.letters = nil
	return l
}

// Rulings takes how claims came out.
func (s *Asker) Rulings() []Told {
	t := s.told
	s.told = nil
	return t
}

// Saying counts the ends that not all holders have noted and that are still said to them.
func (s *Asker) Saying() int { return len(s.saying) }

// Len counts the claims under way, those of running tasks included.
func (s *Asker) Len() int { return len(s.claims) }
