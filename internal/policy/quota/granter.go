package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// allocation is what a granter knows of one server's part of one budget.
type allocation struct {
	demand float64
	need   float64 // of that, beyond the floor
	heard  float64
	number uint64 // of the latest question
	given  []lease
	used   float64 // the largest that it may lately have used, of what is open
	till   float64 // when what is open under that is surely over
}

// lease is a part that an answer gave, or that a server said another granter had given.
type lease struct {
	number uint64
	part   float64
	until  float64 // when its lease is surely over
}

// counts is the most of the budget that a server may be using beyond its floor.
func (l *allocation) counts(now float64) (most float64) {
	for _, g := range l.given {
		if now <= g.until {
			most = max(most, g.part)
		}
	}
	if now <= l.till {
		most = max(most, l.used)
	}
	return most
}

// limitState is one budget at the granter.
type limitState struct {
	bound   *Limit
	lots    map[uint64]*allocation // by life
	level   float64                // no server's need counts beyond this
	extra   float64                // part of its demand that each has beyond its need
	sum     float64                // of what counts as given out; what is over since the level was found still counts
	levelAt float64
	stale   bool
}

// Grantor is the side of the voter that leads. It belongs to one term: a new leader makes a new one.
type Grantor struct {
	id     uint64
	terms  Config
	sum    uint64 // of the terms
	from   float64
	shares map[string]*limitState
}

const (
	// headroom over what was lately asked for, as a part, so that a server's swings pass without a question.
	headroom = 0.25
	// levelFor is how long a level counts, in seconds: reckoned 20 times a second whatever the number of servers.
	levelFor = 0.05
	// maxBudgetServers bounds the servers of a budget, and maxGiven what is kept of each: questions come a tenth of a second apart, so that a renewed
	// part never loses a grant that may still be taken.
	maxBudgetServers, maxGiven = 4096, 64
)

// NewGrantor makes the side of a leader whose term begins; id is drawn, so that no other granter has it.
func NewGrantor(terms Config, id uint64, now float64) *Grantor {
	g := &Grantor{id: id, from: now, shares: map[string]*limitState{}}
	g.ApplyConfig(terms)
	return g
}

// ApplyConfig goes over to new terms. What was given out counts on.
func (g *Grantor) ApplyConfig(terms Config) {
	was := g.shares
	terms.Limits = slices.Clone(terms.Limits)
	g.sum = terms.Hash()
	g.terms, g.shares = terms, make(map[string]*limitState, len(terms.Limits))
	for i := range terms.Limits {
		b := &terms.Limits[i]
		s := &limitState{bound: b, lots: map[uint64]*allocation{}, levelAt: math.Inf(-1)}
		if old := was[b.Name]; old != nil && old.bound.Concurrent == b.Concurrent {
			s.lots = old.lots
		}
		g.shares[b.Name] = s
	}
}

// whole is a lease as the granter has to count it.
func (g *Grantor) whole() float64 { return g.terms.LeaseSeconds * (1 + maxClockDrift) }

// alone tells whether no granter before this one can give a part any more.
func (g *Grantor) alone(now float64) bool { return now > g.from+leaderLeaseSeconds*(1+maxClockDrift) }

// knows tells whether every part that a granter before this one gave is over, and what was open under it.
func (g *Grantor) knows(now float64, b *Limit) bool {
	return now > g.from+leaderLeaseSeconds*(1+maxClockDrift)+g.whole()+b.LingerSeconds*(1+maxClockDrift)
}

// HandleRequest answers a question; nil where it is none of this granter's: it does not know yet, or goes by other terms. confirmed tells that a majority
// confirmed the leader within ConfirmedFor.
func (g *Grantor) HandleRequest(now float64, q *Request, confirmed bool) *Reply {
	if !confirmed || !g.alone(now) || q.Incarnation == 0 || q.Number == 0 || q.ConfigHash != g.sum || len(q.Demands) > MaxEntries {
		return nil
	}
	a := &Reply{Incarnation: q.Incarnation, Number: q.Number, GrantorID: g.id}
	if q.GrantorID != g.id {
		// Until it has heard this granter, what it says it holds may be long over, and given to another one by the granter before.
		return a
	}
	for i := range q.Demands {
		w := &q.Demands[i]
		s := g.shares[w.Name]
		if s == nil {
			continue
		}
		if l := s.lots[q.Incarnation]; l != nil && q.Number <= l.number {
			return nil // late or doubled: a second answer without grants would be taken for the first
		}
		if part, ok := g.grant(now, s, q, w); ok {
			a.Grants = append(a.Grants, Grant{w.Name, part})
		}
	}
	return a
}

// grant reckons one part.
func (g *Grantor) grant(now float64, s *limitState, q *Request, w *Demand) (part float64, ok bool) {
	pool, floor := g.terms.pool(s.bound), g.terms.FloorPerServer(s.bound)
	l := s.lots[q.Incarnation]
	if l == nil {
		if len(s.lots) >= maxBudgetServers {
			g.tend(now, s)
		}
		if len(s.lots) >= maxBudgetServers {
			return 0, false
		}
		l = &allocation{till: math.Inf(-1)}
		s.lots[q.Incarnation] = l
	}
	l.number, l.heard = q.Number, now
	if demand := sane(w.Requested, s.bound.Max); demand != l.demand {
		l.demand, l.need, s.stale = demand, max(0, demand-floor), true
	}
	g.level(now, s, pool)
	before := l.counts(now)
	defer func() { s.sum += l.counts(now) - before }()
	others := max(0, s.sum-before)
	known := g.knows(now, s.bound)
	if !known && w.GrantNumber != 0 && w.RemainingSeconds > 0 && !slices.ContainsFunc(l.given, func(x lease) bool { return x.number == w.GrantNumber }) {
		// Given by another granter, or by this process in an earlier term. It counts until its lease is over, never for more than what the pool
		// leaves: a server that says it has all of it takes nothing from those that are known.
		l.given = append(l.given, lease{w.GrantNumber, min(sane(w.LeasedShare, pool), max(0, pool-others)), now + min(sane(w.RemainingSeconds, math.MaxFloat64), g.terms.LeaseSeconds)*(1+maxClockDrift) + s.bound.LingerSeconds*(1+maxClockDrift)})
	}
	g.settle(now, s, l, w, floor)
	target := min(l.need, s.level) + s.extra*l.demand
	free := max(0, pool-others)
	if !known { // what others hold is not known: nobody gets more than it has
		free = min(free, l.counts(now))
	}
	part = min(target, free)
	if len(l.given) >= maxGiven {
		l.given = slices.DeleteFunc(l.given, func(x lease) bool { return now > x.until })
		if len(l.given) >= maxGiven {
			return 0, false
		}
	}
	l.given = append(l.given, lease{q.Number, part, now + g.whole() + s.bound.LingerSeconds*(1+maxClockDrift)})
	return part, true
}

// settle drops what a server can't be using any more: what answers before the one that it goes by gave. Of what is open as much counts on as
// it says is open, and where it says less than it may have opened meanwhile, that counts until it is surely over.
func (g *Grantor) settle(now float64, s *limitState, l *allocation, w *Demand, floor float64) {
	was := l.counts(now)
	l.given = slices.DeleteFunc(l.given, func(x lease) bool { return x.number < w.GrantNumber || now > x.until })
	if !s.bound.Concurrent {
		return
	}
	l.used, l.till = min(was, max(0, sane(w.InUse, s.bound.Max)-floor)), now+s.bound.LingerSeconds*(1+maxClockDrift)
}

// level finds what is given out, up to what needs can be met, all alike, and what is left beyond them.
func (g *Grantor) level(now float64, s *limitState, pool float64) {
	if now < s.levelAt+levelFor && !(s.stale && len(s.lots) <= 64) {
		return
	}
	s.levelAt, s.stale = now, false
	g.tend(now, s)
	needs := make([]float64, 0, len(s.lots))
	left, demand := pool, 0.0
	s.sum = 0
	for _, l := range s.lots {
		s.sum += l.counts(now)
		if l.need > 0 {
			needs = append(needs, l.need)
		}
		demand += l.demand
	}
	slices.Sort(needs)
	s.level, s.extra = pool, 0
	for i, need := range needs {
		if even := left / float64(len(needs)-i); need > even {
			s.level = even
			return
		}
		left -= need
	}
	if demand > 0 {
		s.extra = min(headroom, left/demand)
	}
}

// tend forgets servers that hold nothing and say nothing.
func (g *Grantor) tend(now float64, s *limitState) {
	for life, l := range s.lots {
		if now <= l.heard+g.whole()+s.bound.LingerSeconds*(1+maxClockDrift) {
			continue
		}
		l.demand, l.need = 0, 0
		if l.counts(now) == 0 {
			delete(s.lots, life)
		}
	}
}

// LimitStatus is how one budget stands, for people.
type LimitStatus struct {
	Name               string
	Max                float64 `json:"Most"`
	Leased             float64 `json:"Given"` // that counts as given out, floors not among it
	Pool               float64 // of which it is given
	Servers            int     // that are known to hold a part, or to want one
	Wanted             float64 // beyond the floors
	PriorLeasesExpired bool    `json:"Known"` // all that was given before this leader is over
}

// Status lists how budgets stand that anybody holds or wants, by name, at most so many.
func (g *Grantor) Status(now float64, most int) (list []LimitStatus) {
	for _, name := range slices.Sorted(maps.Keys(g.shares)) {
		s := g.shares[name]
		a := LimitStatus{Name: name, Max: s.bound.Max, Pool: g.terms.pool(s.bound), Servers: len(s.lots), PriorLeasesExpired: g.knows(now, s.bound)}
		for _, l := range s.lots {
			a.Leased += l.counts(now)
			a.Wanted += l.need
		}
		if a.Servers > 0 && len(list) < most {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b LimitStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
