// Package replication decides, free of I/O, clock and chance, who holds what several servers keep of the fleet's state, who may run a key, which copy
// wins, and what one that returns has to learn before it may answer. docs/replication.md has the argument why no key runs twice.
package replication

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	state "swiftcourse/internal/replicastore"
)

// Member is a server that holds copies, as the operator's file tells it.
type Member struct {
	Name   string
	Zone   string  // copies of a key go to different zones as far as there are some; "" is one too
	Weight float64 // its part of the keys against the others'; over 0
}

// Config are what all holders and claimants must be told alike.
type Config struct {
	Members           []Member
	ReplicationFactor int     // of each key
	RetentionWindow   float64 // seconds for which a key is kept after its last word: a repeat within it never runs again
	MaxClaimDuration  float64 // seconds that a claim may be under way: the longest time limit of a stage that bears keys
}

// MaxMembers and MaxCopies bound a plan, and with it each message's list of sittings.
const (
	MaxMembers           = 64
	MaxReplicationFactor = 7
)

// maxLoadFactor is how much over its even part of the slots a holder may get: with a quarter of slack few slots move when one holder more or less is named.
const maxLoadFactor = 1.25

// Placement tells who holds which slot. It follows from the terms alone, so all servers that were told the same agree.
type Placement struct {
	Config
	ConfigDigest   uint64 // of the terms: who was told others is not understood
	Quorum         int    // holders of a key that have to grant it: most of them
	CatchUpQuorum  int    // warm ones that a cold one has to hear, so that each key that was granted is known to one of them
	replicasBySlot [state.SlotCount][]int
	indexByName    map[string]int
}

// NewPlacement works out who holds what.
func NewPlacement(t Config) (*Placement, error) {
	if len(t.Members) == 0 || len(t.Members) > MaxMembers {
		return nil, fmt.Errorf("%d holders; there may be 1 to %d", len(t.Members), MaxMembers)
	}
	if t.ReplicationFactor < 1 || t.ReplicationFactor > MaxReplicationFactor || !(t.RetentionWindow > 0) || !(t.MaxClaimDuration > 0) {
		return nil, fmt.Errorf("%d copies for %g s; there may be 1 to %d, for longer than 0", t.ReplicationFactor, t.RetentionWindow, MaxReplicationFactor)
	}
	p := &Placement{Config: t, indexByName: map[string]int{}}
	p.Members = slices.SortedFunc(slices.Values(t.Members), func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	p.ReplicationFactor = min(t.ReplicationFactor, len(t.Members))
	text, all := fmt.Sprintf("%d %g %g", p.ReplicationFactor, t.RetentionWindow, t.MaxClaimDuration), 0.0
	for i, m := range p.Members {
		if _, twice := p.indexByName[m.Name]; twice || m.Name == "" {
			return nil, fmt.Errorf("holder %q: a name that is there already, or none", m.Name)
		}
		if !(m.Weight > 0) || m.Weight > 1000 {
			return nil, errors.New("a weight is over 0 and at most 1000")
		}
		p.indexByName[m.Name] = i
		all += m.Weight
		text += fmt.Sprintf("\n%q %q %g", m.Name, m.Zone, m.Weight)
	}
	p.ConfigDigest = xxhash.Sum64String(text)
	p.Quorum = p.ReplicationFactor/2 + 1
	p.CatchUpQuorum = p.ReplicationFactor - p.Quorum + 1
	most, has := make([]int, len(p.Members)), make([]int, len(p.Members))
	for i, m := range p.Members {
		most[i] = int(math.Ceil(maxLoadFactor * state.SlotCount * float64(p.ReplicationFactor) * m.Weight / all))
	}
	for slot := range p.replicasBySlot {
		p.replicasBySlot[slot] = p.selectReplicas(slot, func(i int) bool { return has[i] < most[i] })
		for _, i := range p.replicasBySlot[slot] {
			has[i]++
		}
	}
	return p, nil
}

// selectReplicas picks a slot's holders: those that win a weighted draw (rendezvous hashing), of other zones first, that have room.
func (p *Placement) selectReplicas(slot int, room func(int) bool) (group []int) {
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
			if len(group) < p.ReplicationFactor && !slices.Contains(group, i) && (!strict.zone || !zones[p.Members[i].Zone]) && (!strict.room || room(i)) {
				group = append(group, i)
				zones[p.Members[i].Zone] = true
			}
		}
	}
	slices.Sort(group)
	return group
}

// Replicas lists the holders of a slot by their index among the members. It is not to be changed.
func (p *Placement) Replicas(slot int) []int { return p.replicasBySlot[slot] }

// MemberIndex is a name's among the members, under 0 where it holds nothing.
func (p *Placement) MemberIndex(name string) int {
	if i, is := p.indexByName[name]; is {
		return i
	}
	return -1
}

// SlotsOf lists what a holder holds.
func (p *Placement) SlotsOf(i int) (slots []int) {
	for slot, group := range p.replicasBySlot {
		if slices.Contains(group, i) {
			slots = append(slots, slot)
		}
	}
	return slots
}

// Term is one life of a holder at its place. Of two the higher is the later, whatever order word of them comes in.
type Term struct{ Number, Incarnation uint64 }

// Compare orders sittings.
func (s Term) Compare(o Term) int {
	return cmp.Or(cmp.Compare(s.Number, o.Number), cmp.Compare(s.Incarnation, o.Incarnation))
}

// TermTable are those that a server last heard of, by the members' index.
type TermTable []Term

// Observe takes over later ones and tells whether there was one.
func (s TermTable) Observe(of []int, told []Term) (news bool) {
	for j, i := range of {
		if j < len(told) && told[j].Compare(s[i]) > 0 {
			s[i], news = told[j], true
		}
	}
	return news
}

// Select lists those of a group.
func (s TermTable) Select(group []int) []Term {
	list := make([]Term, len(group))
	for j, i := range group {
		list[j] = s[i]
	}
	return list
}
