package replication

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"swiftcourse/internal/replicastore"
)

// testConfig returns a config with members in three zones. Weights alternate between 1 and 2.
func testConfig(members, replicationFactor int) Config {
	config := Config{ReplicationFactor: replicationFactor, RetentionWindow: 8, MaxClaimDuration: 1}
	for i := range members {
		config.Members = append(config.Members, Member{
			Name:   fmt.Sprintf("n%02d", i),
			Zone:   fmt.Sprint(i % 3),
			Weight: float64(1 + i%2),
		})
	}
	return config
}

func newTestPlacement(t testing.TB, config Config) *Placement {
	t.Helper()
	placement, err := NewPlacement(config)
	if err != nil {
		t.Fatal(err)
	}
	return placement
}

// memberNames returns the names of a slot's replicas.
func memberNames(placement *Placement, slot int) []string {
	var names []string
	for _, member := range placement.Replicas(slot) {
		names = append(names, placement.Members[member].Name)
	}
	return names
}

func TestNewPlacement_IgnoresOrderOfMembers(t *testing.T) {
	placement := newTestPlacement(t, testConfig(12, 3))
	reversed := testConfig(12, 3)
	slices.Reverse(reversed.Members)
	if other := newTestPlacement(t, reversed); other.ConfigDigest != placement.ConfigDigest {
		t.Errorf("digest %x with the members reversed, want %x as in the original order",
			other.ConfigDigest, placement.ConfigDigest)
	}
}

func TestNewPlacement_SpreadsOverZones(t *testing.T) {
	placement := newTestPlacement(t, testConfig(12, 3))
	for slot := range replicastore.SlotCount {
		zones := map[string]bool{}
		for _, member := range placement.Replicas(slot) {
			zones[placement.Members[member].Zone] = true
		}
		if names := memberNames(placement, slot); len(zones) != 3 || len(names) != 3 {
			t.Errorf("slot %d has replicas %v in %d zones, want 3 replicas in 3 zones", slot, names, len(zones))
		}
	}
}

func TestNewPlacement_MovesFewSlotsWhenMemberRemoved(t *testing.T) {
	placement := newTestPlacement(t, testConfig(12, 3))
	smaller := testConfig(12, 3)
	smaller.Members = slices.Delete(smaller.Members, 4, 5)
	without := newTestPlacement(t, smaller)
	moved := 0
	for slot := range replicastore.SlotCount {
		remaining := memberNames(without, slot)
		for _, name := range memberNames(placement, slot) {
			if name != "n04" && !slices.Contains(remaining, name) {
				moved++
			}
		}
	}
	if moved > 3*replicastore.SlotCount/10 {
		t.Errorf("%d of %d replicas moved from members that stayed, want at most %d",
			moved, 3*replicastore.SlotCount, 3*replicastore.SlotCount/10)
	}
}

func TestNewPlacement_BoundsLoadByWeight(t *testing.T) {
	placement := newTestPlacement(t, testConfig(12, 3))
	const totalWeight = 18
	for i, member := range placement.Members {
		slots := len(placement.SlotsOf(i))
		limit := maxLoadFactor*3*replicastore.SlotCount*member.Weight/totalWeight + 1
		if float64(slots) > limit {
			t.Errorf("member %s with weight %g has %d slots, want at most %g", member.Name, member.Weight, slots, limit)
		}
	}
}

func TestNewPlacement_RejectsInvalidConfig(t *testing.T) {
	withMembers := func(members ...Member) Config {
		return Config{Members: members, ReplicationFactor: 1, RetentionWindow: 1, MaxClaimDuration: 1}
	}
	for name, config := range map[string]Config{
		"empty":                       {},
		"replication factor too low":  testConfig(3, 0),
		"replication factor too high": testConfig(3, MaxReplicationFactor+1),
		"name twice":                  withMembers(Member{Name: "a", Weight: 1}, Member{Name: "a", Weight: 1}),
		"no weight":                   withMembers(Member{Name: "a"}),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewPlacement(config)
			var configError *ConfigError
			if !errors.As(err, &configError) {
				t.Errorf("got error %v, want a *ConfigError", err)
			}
		})
	}
}
