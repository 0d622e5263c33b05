// Package replica decides, free of I/O, clock and chance, who holds what several servers keep of the fleet's state, who may run a key, which copy
// wins, and what one that returns has to learn before it may answer. docs/replication.md has the argument why no key runs twice.
package replica

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	state "swiftcourse/internal/replica"
)

// Member is a server that holds copies, as the operator's file tells it.
type Member struct {
	Name   string
	Zone   string  // copies of a key go to different zones as far as there are some; "" is one too
	Weight float64 // its part of the keys against the others'; over 0
}

// Terms are what all holders and claimants must be told alike.
type Terms struct {
	Members []Member
	Copies  int     // of each key
	Window  float64 // seconds for which a key is kept after its last word: a repeat within it never runs again
	Longest float64 // seconds that a claim may be under way: the longest time limit of a stage that bears keys
}

// MaxMembers and MaxCopies bound a plan, and with it each message's list of sittings.
const (
	MaxMembers = 64
	MaxCopies  = 7
)

// bound is how much over its even part of the slots a holder may get: with a quarter of slack few slots move when one holder more or less is named.
const bound = 1.25

// Place tells who holds which slot. It follows from the terms alone, so all servers that were told the same agree.
type Place struct {
	Terms
	Digest uint64 // of the terms: who was told others is not understood
	Need   int    // holders of a key that have to grant it: most of them
	Learn  int    // warm ones that a cold one has to hear, so that each key that was granted is known to one of them
	groups [state.Slots][]int
	index  map[string]int
}

// NewPlace works out who holds what.
func NewPlace(t Terms) (*Place, error) {
	if len(t.Members) == 0 || len(t.Members) > MaxMembers {
		return nil, fmt.Errorf("%d holders; there may be 1 to %d", len(t.Members), MaxMembers)
	}
	if t.Copies < 1 || t.Copies > MaxCopies || !(t.Window > 0) || !(t.Longest > 0) {
		return nil, fmt.Errorf("%d copies for %g s; there may be 1 to %d, for longer than 0", t.Copies, t.Window, MaxCopies)
	}
	p := &Place{Terms: t, index: map[string]int{}}
	p.Members = slices.SortedFunc(slices.Values(t.Members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	p.Copies = min(t.Copies, len(t.Members))
	text, all := fmt.Sprintf("%d %g %g", p.Copies, t.Window, t.Longest), 0.0
	for i, m := range p.Members {
		if _, twice := p.index[m.Name]; twice || m.Name == "" {
			return nil, fmt.Errorf("holder %q: a name that is there already, or none", m.Name)
		}
		if !(m.Weight > 0) || m.Weight > 1000 {
			return nil, errors.New("a weight is over 0 and at most 1000")
		}
		p.index[m.Name] = i
		all += m.Weight
		text += fmt.Sprintf("\n%q %q %g", m.Name, m.Zone, m.Weight)
	}
	p.Digest = xxhash.Sum64String(text)
	p.Need = p.Copies/2 + 1
	p.Learn = p.Copies - p.Need + 1
	most, has := make([]int, len(p.Members)), make([]int, len(p.Members))
	for i, m := range p.Members {
		most[i] = int(math.Ceil(bound * state.Slots * float64(p.Copies) * m.Weight / all))
	}
	for slot := range p.groups {
		p.groups[slot] = p.draw(slot, func(i int) bool { return has[i] < most[i] })
		for _, i := range p.groups[slot] {
			has[i]++
		}
	}
	return p, nil
}

// draw picks a slot's holders: those that win a weighted draw (rendezvous hashing), of other zones first, that have room.
func (p *Place) draw(slot int, room func(int) bool) (group []int) {
	order := make([]int, len(p.Members))
	score := make([]float64, len(p.Members))
	for i, m := range p.Members {
		order[i] = i
		h := xxhash.Sum64String(fmt.Sprintf("%s/%d", m.Name, slot))
		score[i] = -math.Log((float64(h>>11)+0.5)/(1<<53)) / m.Weight // the least of exponential draws falls to each by its weight
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(score[a], score[b]), cmp.Compare(a, b)) })
	zones := map[string]bool{}
	for _, strict := range []struct{ zone, room bool }{{true, true}, {false, true}, {false, false}} {
		for _, i := range order {
			if len(group) < p.Copies && !slices.Contains(group, i) && (!strict.zone || !zones[p.Members[i].Zone]) && (!strict.room || room(i)) {
				group = append(group, i)
				zones[p.Members[i].Zone] = true
			}
		}
	}
	slices.Sort(group)
	return group
}

// Group lists the holders of a slot by their index among the members. It is not to be changed.
func (p *Place) Group(slot int) []int { return p.groups[slot] }

// Index is a name's among the members, under 0 where it holds nothing.
func (p *Place) Index(name string) int {
	if i, is := p.index[name]; is {
		return i
	}
	return -1
}

// Slots lists what a holder holds.
func (p *Place) Slots(i int) (slots []int) {
	for slot, group := range p.groups {
		if slices.Contains(group, i) {
			slots = append(slots, slot)
		}
	}
	return slots
}

// Sitting is one life of a holder at its place. Of two the higher is the later, whatever order word of them comes in.
type Sitting struct{ N, Life uint64 }

// Compare orders sittings.
func (s Sitting) Compare(o Sitting) int {
	return cmp.Or(cmp.Compare(s.N, o.N), cmp.Compare(s.Life, o.Life))
}

// Sittings are those that a server last heard of, by the members' index.
type Sittings []Sitting

// Hear takes over later ones and tells whether there was one.
func (s Sittings) Hear(of []int, told []Sitting) (news bool) {
	for j, i := range of {
		if j < len(told) && told[j].Compare(s[i]) > 0 {
			s[i], news = told[j], true
		}
	}
	return news
}

// Of lists those of a group.
func (s Sittings) Of(group []int) []Sitting {
	list := make([]Sitting, len(group))
	for j, i := range group {
		list[j] = s[i]
	}
	return list
}
