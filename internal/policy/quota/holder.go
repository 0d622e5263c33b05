package quota

import (
	"cmp"
	"math"
	"slices"
)

// leasedShare is what a server holds of one budget.
type leasedShare struct {
	bound    *Limit
	size     float64 // beyond the floor
	until    float64 // -Inf where none is held
	answer   uint64  // number of the question whose answer gave it
	loop     uint64  // the same of what the serving loop said that it goes by
	loopSize float64
	loopTill float64
	owes     bool // it was put down, and the loop has not said so yet
	demand   float64
	open     float64
	asked    float64 // when it was last asked for, -Inf where it was not
	told     float64 // the demand that was told then
	shrunk   bool    // the loop put it down, and nobody was told yet
	starving bool    // more is asked for than it may use
}

// Allowance is what a server may use of a budget: Part and the floor until Until, the floor alone from then on.
type Allowance struct {
	Name        string
	FleetMax    float64 `json:"Most"` // of the whole fleet
	Floor       float64
	LeasedShare float64 `json:"Part"`
	LeaseExpiry float64 `json:"Till"`
	GrantNumber uint64  `json:"Answer"` // that gave the part, see Use
}

// LimitAt is what may be used at a moment.
func (a *Allowance) LimitAt(now float64) float64 {
	if now < a.LeaseExpiry {
		return a.Floor + a.LeasedShare
	}
	return a.Floor
}

// Holder is a server's own side.
type Holder struct {
	terms  Config
	sum    uint64 // of the terms
	life   uint64
	parts  map[string]*leasedShare
	names  []string // of the parts, in order
	turn   int      // where in names the next question goes on
	number uint64
	sent   [maxSent]struct {
		number uint64
		at     float64
	}
	latest  uint64 // number of the newest answer that counted
	granter uint64 // whose that was
	next    float64
	changed bool
}

const (
	// maxSent bounds the questions whose answer may still come.
	maxSent = 16
	// askSoon is how soon after one another two questions go out when there is news: a hot server has what others leave within a few of them.
	askSoon = 0.1
	// starvedAsk is how often one asks that could use more than it has: others give up what they don't need a few times a second.
	starvedAsk = 0.25
	// renewPart of a lease passes before a part is asked for again: two questions in a row may be lost.
	renewPart = 1.0 / 3
	// news is by how much of a part its demand has to change to be told before that.
	news = 0.2
)

// NewHolder makes the side of a server that has just started: it has the floors.
func NewHolder(life uint64, terms Config, now float64) *Holder {
	h := &Holder{life: life, next: now}
	h.ApplyConfig(terms, now)
	return h
}

// ApplyConfig goes over to new terms. What is held stays until its lease is over, as far as the new bound goes; floors change at once.
func (h *Holder) ApplyConfig(terms Config, now float64) {
	was := h.parts
	terms.Limits = slices.Clone(terms.Limits)
	h.sum = terms.Hash()
	h.terms, h.parts, h.names, h.turn = terms, make(map[string]*leasedShare, len(terms.Limits)), h.names[:0], 0
	for i := range terms.Limits {
		b := &terms.Limits[i]
		p := &leasedShare{bound: b, until: math.Inf(-1), loopTill: math.Inf(-1), asked: math.Inf(-1)}
		if old := was[b.Name]; old != nil && old.bound.Concurrent == b.Concurrent {
			*p = *old
			p.bound = b
			if size := min(p.size, terms.pool(b)); size < p.size {
				p.size = size
			}
		}
		h.parts[b.Name] = p
		h.names = append(h.names, b.Name)
	}
	h.changed, h.next = true, now
}

// RecordUsage tells what was asked for of a budget lately: units a second, or units open and turned away; how many are open; and by which Answer the serving
// loop goes. Nobody is told that a part was put down before the loop says so.
func (h *Holder) RecordUsage(now float64, name string, demand, open float64, answer uint64) {
	p := h.parts[name]
	if p == nil {
		return
	}
	if answer == p.answer {
		p.loop, p.loopSize, p.loopTill = answer, p.size, p.until
		p.shrunk, p.owes = p.shrunk || p.owes, false
	}
	p.demand, p.open = sane(demand, p.bound.Max), sane(open, p.bound.Max)
	p.starving = p.demand > h.may(p, now)
	if h.tell(p, now) {
		h.next = min(h.next, max(now, p.asked+askSoon))
	}
}

func (h *Holder) may(p *leasedShare, now float64) float64 {
	if now < p.until {
		return h.terms.FloorPerServer(p.bound) + p.size
	}
	return h.terms.FloorPerServer(p.bound)
}

// tell tells whether a budget is due to be spoken of.
func (h *Holder) tell(p *leasedShare, now float64) bool {
	held := now < p.until
	wants := p.demand > h.terms.FloorPerServer(p.bound)
	switch {
	case now < p.asked+askSoon:
		return false
	case p.shrunk, p.starving && wants && (now >= p.asked+starvedAsk || p.demand > (1+news)*p.told):
		return true
	case !held && !wants:
		return false
	case now >= p.asked+renewPart*h.terms.LeaseSeconds:
		return true
	}
	spare := h.may(p, now) - (1+headroom)*p.demand
	return held && p.size > 0 && spare > news*p.size && p.demand < (1-news)*p.told // others may want it
}

// NextWakeup is when Ask is to be called.
func (h *Holder) NextWakeup() float64 { return h.next }

// NextRequest makes the next question; nil where there is nothing to say.
func (h *Holder) NextRequest(now float64) *Request {
	h.next = math.Inf(1)
	var due []string
	for i := range h.names {
		name := h.names[(h.turn+i)%len(h.names)]
		p := h.parts[name]
		if h.tell(p, now) {
			if len(due) == MaxEntries {
				h.turn = (h.turn + i) % len(h.names)
				h.next = now
				break
			}
			due = append(due, name)
		} else if now < p.until || p.demand > h.terms.FloorPerServer(p.bound) {
			h.next = min(h.next, max(now+askSoon, p.asked+renewPart*h.terms.LeaseSeconds))
		}
	}
	if due == nil {
		return nil
	}
	h.number++
	h.sent[h.number%maxSent].number, h.sent[h.number%maxSent].at = h.number, now
	q := &Request{Incarnation: h.life, Number: h.number, ConfigHash: h.sum, GrantorID: h.granter}
	for _, name := range due {
		p := h.parts[name]
		w := Demand{Name: name, Requested: p.demand, InUse: p.open}
		if now < p.until {
			w.LeasedShare, w.RemainingSeconds, w.GrantNumber = p.size, p.until-now, p.loop
			if now < p.loopTill {
				w.LeasedShare = max(w.LeasedShare, p.loopSize)
			}
		}
		p.asked, p.told, p.shrunk = now, p.demand, false
		q.Demands = append(q.Demands, w)
	}
	h.next = min(h.next, now+askSoon)
	return q
}

// HandleReply takes an answer. One to an earlier life, to a question that is not waited for, or older than one that counted changes nothing.
func (h *Holder) HandleReply(now float64, a *Reply) {
	w := h.sent[a.Number%maxSent]
	if a.Incarnation != h.life || a.Number == 0 || w.number != a.Number || a.Number <= h.latest {
		return
	}
	h.latest = a.Number
	if a.GrantorID != h.granter { // it wants to hear again, now that it is heard
		h.granter, h.next = a.GrantorID, now
		for _, p := range h.parts {
			if now < p.until {
				p.asked = math.Inf(-1)
			}
		}
	}
	for _, g := range a.Grants {
		p := h.parts[g.Name]
		if p == nil || a.Number <= p.answer {
			continue
		}
		size, until := sane(g.LeasedShare, h.terms.pool(p.bound)), w.at+h.terms.LeaseSeconds
		if now < p.until && size < p.size {
			p.owes = true
		}
		p.size, p.until, p.answer = size, until, a.Number
		p.starving = p.demand > h.may(p, now)
		h.changed = true
	}
}

// ActiveLeases lists the budgets of which a part is held at this moment.
func (h *Holder) ActiveLeases(now float64) (list []Allowance) {
	for _, name := range h.names {
		if p := h.parts[name]; now < p.until {
			list = append(list, Allowance{Name: name, FleetMax: p.bound.Max, Floor: h.terms.FloorPerServer(p.bound), LeasedShare: p.size, LeaseExpiry: p.until, GrantNumber: p.answer})
		}
	}
	return list
}

// TakeChanges lists what may be used where that changed since the last call, nil where it did not.
func (h *Holder) TakeChanges() []Allowance {
	if !h.changed {
		return nil
	}
	h.changed = false
	list := make([]Allowance, 0, len(h.names))
	for _, name := range h.names {
		p := h.parts[name]
		list = append(list, Allowance{Name: name, FleetMax: p.bound.Max, Floor: h.terms.FloorPerServer(p.bound), LeasedShare: p.size, LeaseExpiry: p.until, GrantNumber: p.answer})
	}
	slices.SortFunc(list, func(a, b Allowance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
