package replication

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"swiftcourse/internal/replicastore"
)

// Bounds of a Config. They also bound the list of terms in each message.
const (
	MaxMembers           = 64
	MaxReplicationFactor = 7
)

// maxMemberWeight is the maximum weight of a member.
const maxMemberWeight = 1000

// maxLoadFactor is the maximum ratio of a member's slots to its share by weight. The margin above 1
// keeps most slots in place when a member is added or removed.
const maxLoadFactor = 1.25

// Member is a server that replicates keys, as listed in the operator's settings.
type Member struct {
	Name   string
	Zone   string  // a key's replicas are spread over zones; "" is a zone like any other
	Weight float64 // greater than 0; the share of keys is proportional to it
}

// Config holds the settings that must be equal on all replicas and coordinators.
type Config struct {
	Members           []Member
	ReplicationFactor int     // number of replicas of each key
	RetentionWindow   float64 // seconds within which a repeated request does not run again
	MaxClaimDuration  float64 // seconds that a claim may last: the longest hard deadline of keyed classes
}

// ConfigError reports an invalid setting of a Config.
type ConfigError struct {
	Field  string // name of the setting, for operators
	Value  any
	Reason string // the rule that Value violates, such as "must be 1 to 64"
}

// Error returns "FIELD VALUE: REASON".
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s %v: %s", e.Field, e.Value, e.Reason)
}

// validate returns a *ConfigError for the first invalid setting, nil if there is none.
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
		return &ConfigError{Field: "retention window", Value: c.RetentionWindow, Reason: "must be more than 0 seconds"}
	}
	if !(c.MaxClaimDuration > 0) {
		return &ConfigError{
			Field:  "maximum claim duration",
			Value:  c.MaxClaimDuration,
			Reason: "must be more than 0 seconds",
		}
	}
	names := map[string]bool{}
	for _, member := range c.Members {
		if member.Name == "" || names[member.Name] {
			name := fmt.Sprintf("%q", member.Name)
			return &ConfigError{Field: "member name", Value: name, Reason: "must be unique and not empty"}
		}
		if !(member.Weight > 0) || member.Weight > maxMemberWeight {
			reason := fmt.Sprintf("must be more than 0 and at most %d", maxMemberWeight)
			return &ConfigError{Field: "weight of member " + member.Name, Value: member.Weight, Reason: reason}
		}
		names[member.Name] = true
	}
	return nil
}

// digest returns a hash of the Config; servers compare it to detect different settings.
func (c *Config) digest() uint64 {
	text := fmt.Sprintf("%d %g %g", c.ReplicationFactor, c.RetentionWindow, c.MaxClaimDuration)
	for _, member := range c.Members {
		text += fmt.Sprintf("\n%q %q %g", member.Name, member.Zone, member.Weight)
	}
	return xxhash.Sum64String(text)
}

// Placement assigns each slot to the members that replicate it. The assignment depends only on the
// Config, so servers with equal Configs compute the same one. A Placement is immutable.
type Placement struct {
	Config
	ConfigDigest   uint64 // digest of the Config; messages with a different one are not processed
	Quorum         int    // number of replicas that must grant a claim: a majority
	CatchUpQuorum  int    // number of caught-up replicas whose records together include every granted claim
	replicasBySlot [replicastore.SlotCount][]int
	indexByName    map[string]int
}

// NewPlacement returns the placement for a config, or a *ConfigError if the config is invalid. The
// order of the members does not matter.
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

// assignSlots selects the replicas of each slot and limits the load of members by maxLoadFactor.
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

// selectionPass lists the conditions for selecting a member in one pass over the ranking.
type selectionPass struct {
	newZone      bool // the member's zone has no replica of the slot yet
	freeCapacity bool // the member has fewer slots than its capacity
}

// selectionPasses are ordered from strict to lax. The last pass has no conditions, so that
// ReplicationFactor members are always found.
var selectionPasses = []selectionPass{
	{newZone: true, freeCapacity: true},
	{freeCapacity: true},
	{},
}

// selectReplicas returns the member indexes of a slot's replicas in ascending order. It takes the
// members in the order of their rank for the slot and prefers those that meet the stricter
// conditions of selectionPasses.
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
				require.freeCapacity && !hasRoom(member) {
				continue
			}
			selected = append(selected, member)
			usedZones[zone] = true
		}
	}
	slices.Sort(selected)
	return selected
}

// rankMembers returns the member indexes in the order of weighted rendezvous hashing for a slot.
func (p *Placement) rankMembers(slot int) []int {
	ranking := make([]int, len(p.Members))
	score := make([]float64, len(p.Members))
	for i, member := range p.Members {
		ranking[i] = i
		hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", member.Name, slot))
		uniform := (float64(hash>>11) + 0.5) / (1 << 53) // in (0, 1)
		// The score is an exponential variate with rate Weight, so the probability that a member has
		// the lowest score is proportional to its weight.
		score[i] = -math.Log(uniform) / member.Weight
	}
	slices.SortFunc(ranking, func(a, b int) int {
		return cmp.Or(cmp.Compare(score[a], score[b]), cmp.Compare(a, b))
	})
	return ranking
}

// Replicas returns the member indexes of a slot's replicas in ascending order. The caller must not
// modify the slice.
func (p *Placement) Replicas(slot int) []int { return p.replicasBySlot[slot] }

// MemberIndex returns the member index of the named server, or -1 if it is not a member.
func (p *Placement) MemberIndex(name string) int {
	if i, found := p.indexByName[name]; found {
		return i
	}
	return -1
}

// SlotsOf returns the slots that a member replicates, in ascending order.
func (p *Placement) SlotsOf(member int) (slots []int) {
	for slot, replicas := range p.replicasBySlot {
		if slices.Contains(replicas, member) {
			slots = append(slots, slot)
		}
	}
	return slots
}

// replicates reports whether a member is a replica of a slot.
func (p *Placement) replicates(member, slot int) bool {
	return slices.Contains(p.replicasBySlot[slot], member)
}
