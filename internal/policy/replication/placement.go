package replication

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"swiftcourse/internal/replicastore"
)

// Bounds of a Config, and with it of the list of terms that each message carries.
const (
	MaxMembers           = 64
	MaxReplicationFactor = 7
)

// maxWeight bounds a member's weight.
const maxWeight = 1000

// maxLoadFactor bounds the slots of a member, relative to its share by weight. The margin keeps most
// slots in place when a member is added or removed.
const maxLoadFactor = 1.25

// Member is a server that holds replicas, as the operator's settings list it.
type Member struct {
	Name   string
	Zone   string  // replicas of a key go to different zones where there are several; "" is a zone too
	Weight float64 // share of the keys relative to the other members, over 0
}

// Config is what all replicas and coordinators must agree on.
type Config struct {
	Members           []Member
	ReplicationFactor int     // replicas of each key
	RetentionWindow   float64 // seconds that a key is remembered: a repeat within it never runs again
	MaxClaimDuration  float64 // seconds that a claim may be under way: the longest hard deadline of keyed classes
}

// ConfigError reports a setting of a Config that NewPlacement does not accept.
type ConfigError struct {
	Field  string // the setting's name, for operators
	Value  any
	Reason string // completes the sentence: FIELD VALUE: must be ...
}

// Error returns the setting, its value and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s %v: %s", e.Field, e.Value, e.Reason)
}

// validate returns a *ConfigError for the first setting that is out of bounds.
func (c *Config) validate() error {
	if count := len(c.Members); count == 0 || count > MaxMembers {
		reason := fmt.Sprintf("must be 1 to %d", MaxMembers)
		return &ConfigError{Field: "number of members", Value: count, Reason: reason}
	}
	if c.ReplicationFactor < 1 || c.ReplicationFactor > MaxReplicationFactor {
		reason := fmt.Sprintf("must be 1 to %d", MaxReplicationFactor)
		return &ConfigError{Field: "replication factor", Value: c.ReplicationFactor, Reason: reason}
	}
	if !(c.RetentionWindow > 0) {
		return &ConfigError{Field: "retention window", Value: c.RetentionWindow, Reason: "must be over 0 seconds"}
	}
	if !(c.MaxClaimDuration > 0) {
		return &ConfigError{Field: "longest claim", Value: c.MaxClaimDuration, Reason: "must be over 0 seconds"}
	}
	names := map[string]bool{}
	for _, member := range c.Members {
		if member.Name == "" || names[member.Name] {
			name := fmt.Sprintf("%q", member.Name)
			return &ConfigError{Field: "member name", Value: name, Reason: "is empty or listed twice"}
		}
		if !(member.Weight > 0) || member.Weight > maxWeight {
			reason := fmt.Sprintf("must be over 0 and at most %d", maxWeight)
			return &ConfigError{Field: "weight of member " + member.Name, Value: member.Weight, Reason: reason}
		}
		names[member.Name] = true
	}
	return nil
}

// digest returns a hash that is the same for servers with the same Config.
func (c *Config) digest() uint64 {
	text := fmt.Sprintf("%d %g %g", c.ReplicationFactor, c.RetentionWindow, c.MaxClaimDuration)
	for _, member := range c.Members {
		text += fmt.Sprintf("\n%q %q %g", member.Name, member.Zone, member.Weight)
	}
	return xxhash.Sum64String(text)
}

// Placement assigns each slot to the members that replicate it. It is a function of the Config, so
// all servers with the same Config agree. It is immutable.
type Placement struct {
	Config
	ConfigDigest   uint64 // of the Config; messages with another digest are ignored
	Quorum         int    // replicas of a key that must grant a claim: a majority
	CatchUpQuorum  int    // caught-up replicas whose records a replica needs to have every granted claim
	replicasBySlot [replicastore.SlotCount][]int
	indexByName    map[string]int
}

// NewPlacement assigns the slots to the members. The order in which the members are listed does
// not matter. It returns a *ConfigError if the config is invalid.
func NewPlacement(config Config) (*Placement, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config.Members = slices.SortedFunc(slices.Values(config.Members), func(a, b Member) int {
		return cmp.Compare(a.Name, b.Name)
	})
	config.ReplicationFactor = min(config.ReplicationFactor, len(config.Members))
	quorum := config.ReplicationFactor/2 + 1
	p := &Placement{
		Config:        config,
		ConfigDigest:  config.digest(),
		Quorum:        quorum,
		CatchUpQuorum: config.ReplicationFactor - quorum + 1,
		indexByName:   map[string]int{},
	}
	for i, member := range p.Members {
		p.indexByName[member.Name] = i
	}
	p.assignSlots()
	return p, nil
}

// assignSlots selects the replicas of each slot, and keeps members to their maximum load.
func (p *Placement) assignSlots() {
	totalWeight := 0.0
	for _, member := range p.Members {
		totalWeight += member.Weight
	}
	capacity := make([]int, len(p.Members))
	for i, member := range p.Members {
		share := maxLoadFactor * replicastore.SlotCount * float64(p.ReplicationFactor) * member.Weight / totalWeight
		capacity[i] = int(math.Ceil(share))
	}
	load := make([]int, len(p.Members))
	hasRoom := func(member int) bool { return load[member] < capacity[member] }
	for slot := range p.replicasBySlot {
		p.replicasBySlot[slot] = p.selectReplicas(slot, hasRoom)
		for _, member := range p.replicasBySlot[slot] {
			load[member]++
		}
	}
}

// selectionPass is what a member must meet to be selected in one pass over the ranking.
type selectionPass struct {
	newZone bool // no replica of the slot is in its zone yet
	room    bool // it has fewer slots than its capacity
}

// selectionPasses go from strict to lax, so that ReplicationFactor members are always found.
var selectionPasses = []selectionPass{
	{newZone: true, room: true},
	{room: true},
	{},
}

// selectReplicas returns the replicas of a slot, by index in ascending order: the members that
// rank first for it, those of different zones with room before others.
func (p *Placement) selectReplicas(slot int, hasRoom func(member int) bool) []int {
	ranking := p.rankMembers(slot)
	usedZones := map[string]bool{}
	var selected []int
	for _, require := range selectionPasses {
		for _, member := range ranking {
			if len(selected) == p.ReplicationFactor {
				break
			}
			zone := p.Members[member].Zone
			if slices.Contains(selected, member) ||
				require.newZone && usedZones[zone] ||
				require.room && !hasRoom(member) {
				continue
			}
			selected = append(selected, member)
			usedZones[zone] = true
		}
	}
	slices.Sort(selected)
	return selected
}

// rankMembers orders the members for a slot by weighted rendezvous hashing.
func (p *Placement) rankMembers(slot int) []int {
	ranking := make([]int, len(p.Members))
	score := make([]float64, len(p.Members))
	for i, member := range p.Members {
		ranking[i] = i
		hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", member.Name, slot))
		uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1)
		// An exponential variate with rate Weight: the least one is a member's with a probability in
		// proportion to its weight.
		score[i] = -math.Log(uniform) / member.Weight
	}
	slices.SortFunc(ranking, func(a, b int) int {
		return cmp.Or(cmp.Compare(score[a], score[b]), cmp.Compare(a, b))
	})
	return ranking
}

// Replicas returns the indexes of a slot's replicas among the members, in ascending order.
// The caller must not change it.
func (p *Placement) Replicas(slot int) []int { return p.replicasBySlot[slot] }

// MemberIndex returns the index of the named server among the members, -1 if it is none.
func (p *Placement) MemberIndex(name string) int {
	if i, found := p.indexByName[name]; found {
		return i
	}
	return -1
}

// SlotsOf lists the slots that a member replicates.
func (p *Placement) SlotsOf(member int) (slots []int) {
	for slot, replicas := range p.replicasBySlot {
		if slices.Contains(replicas, member) {
			slots = append(slots, slot)
		}
	}
	return slots
}

// replicates reports whether a member is one of a slot's replicas.
func (p *Placement) replicates(member, slot int) bool {
	return slices.Contains(p.replicasBySlot[slot], member)
}
