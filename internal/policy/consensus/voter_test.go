package consensus

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/release"
)

func TestVoters_BootstrapAndRelease(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprintf("%d voters", size), func(t *testing.T) {
			c := newSimulatedCluster(t, uint64(size), size)
			c.heal()
			if committed, err := c.release("v1", "door on", 5); err != nil || !committed {
				t.Fatalf("release committed: %t, %v", committed, err)
			}
			c.run(1)
			for name, voter := range c.voters {
				if text := voter.ReleaseLog().Current.Text; text != "door on" {
					t.Errorf("%s has %q", name, text)
				}
			}
		})
	}
}

func TestVoters_TwoOperatorsReleaseAtOnce(t *testing.T) {
	c := newSimulatedCluster(t, 11, 3)
	c.heal()
	newest := c.voters["v1"].ReleaseLog().NewestEpoch()
	const firstID, secondID = 1e6, 1e6 + 1
	for i, name := range c.names[:2] {
		command := releaseCommand(name, fmt.Sprint("door-lobby ", i+1), newest)
		command.ID = firstID + uint64(i)
		c.voters[name].Propose(command)
		c.collect(name)
	}
	c.run(3)
	first, second := c.results[firstID], c.results[secondID]
	if len(c.results) != 2 || (first == nil) == (second == nil) {
		t.Fatalf("one of two has to be refused: %v, %v of %d", first, second, len(c.results))
	}
}

func TestVoters_MinorityCommitsNothing(t *testing.T) {
	c := newSimulatedCluster(t, 5, 5)
	c.heal()
	for _, a := range c.names[:2] {
		for _, b := range c.names[2:] {
			c.cut[link{a, b}] = true
			c.cut[link{b, a}] = true
		}
	}
	c.run(4)
	if committed, _ := c.release("v1", "door-lobby 7", 4); committed {
		t.Fatal("two of five voters committed a release")
	}
	if committed, err := c.release("v4", "door-lobby 9", 6); err != nil || !committed {
		t.Fatalf("three of five did not: %t, %v", committed, err)
	}
	if c.voters["v1"].IsLeader(c.now - 1.5) {
		t.Error("a voter in the minority still takes itself for a confirmed leader")
	}
	c.heal()
	c.run(2)
	if text := c.voters["v1"].ReleaseLog().Current.Text; text != "door-lobby 9" {
		t.Errorf("after the partition v1 has %q", text)
	}
}

func TestVoters_OneAndThenAllRestart(t *testing.T) {
	c := newSimulatedCluster(t, 3, 3)
	c.heal()
	if committed, err := c.release("v2", "door on", 5); err != nil || !committed {
		t.Fatal(committed, err)
	}
	c.run(0.5)
	before := c.voters["v1"].ReleaseLog().Current.Epoch
	c.start("v1") // without its log
	c.heal()
	if current := c.voters["v1"].ReleaseLog().Current; current.Text != "door on" || current.Epoch != before {
		t.Errorf("restarted, v1 has %s %q, not %s", current.Epoch, current.Text, before)
	}
	known := c.voters["v3"].ReleaseLog()
	for _, name := range c.names {
		c.start(name)
	}
	c.voters["v2"].ObserveReleaseLog(known) // from a server that is no voter
	c.heal()
	c.run(1)
	for name, voter := range c.voters {
		current := voter.ReleaseLog().Current
		newCluster := current.Epoch > before && current.Epoch.ClusterID() != before.ClusterID()
		if current.Text != "door on" || !newCluster {
			t.Errorf("after all restarted %s has %s %q", name, current.Epoch, current.Text)
		}
	}
	if committed, err := c.release("v3", "door off", 5); err != nil || !committed {
		t.Errorf("release after that: %t, %v", committed, err)
	}
}

func TestVoter_ProposeAsLeaderElsewhere(t *testing.T) {
	c := newSimulatedCluster(t, 9, 3)
	command := &release.Command{Kind: release.KindRegister, Name: "n1", Incarnation: 5}
	if err := c.voters["v1"].ProposeAsLeader(command); !errors.Is(err, ErrNotLeader) {
		t.Errorf("a detached voter answers %v", err)
	}
	c.heal()
	for name, voter := range c.voters {
		err := voter.ProposeAsLeader(command)
		if leads := voter.Leader() == name; leads != (err == nil) || !leads && !errors.Is(err, ErrNotLeader) {
			t.Errorf("%s, which leads: %t, answers %v", name, leads, err)
		}
	}
}

// TestVoters_EpochNamesOneVersion runs random schedules of kills, pauses, partitions, losses and
// releases. Every step checks that no epoch has two digests and no position of the release log two
// states, see checkAgreement; once healed, the voters have to take a release again.
func TestVoters_EpochNamesOneVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "voters")
		c := newSimulatedCluster(t, rapid.Uint64().Draw(t, "seed"), size)
		if rapid.Bool().Draw(t, "settled") {
			c.heal()
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			disturb(t, c, i)
			c.run(rapid.SampledFrom([]float64{0.01, 0.1, 1, 5}).Draw(t, "wait"))
		}
		c.heal()
		committed, err := c.release(c.names[0], "door on", 20)
		if err != nil && !errors.Is(err, release.ErrStaleEpoch) || !committed {
			t.Fatalf("healed, a release committed: %t, with %v: %s", committed, err, c.describe())
		}
	})
}

// disturb draws one step of a schedule.
func disturb(t *rapid.T, c *simulatedCluster, step int) {
	pick := func(label string) string { return rapid.SampledFrom(c.names).Draw(t, label) }
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		c.voters[pick("kill")] = nil
	case 1, 2:
		c.start(pick("restart"))
	case 3:
		c.paused[pick("pause")] = true
	case 4:
		c.resume(pick("resume"))
	case 5:
		c.cut[link{pick("from"), pick("to")}] = true
	case 6:
		clear(c.cut)
	case 7:
		c.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	case 8:
		name := pick("at")
		if voter := c.running(name); voter != nil {
			text := fmt.Sprint("door-lobby ", step+1)
			voter.Propose(releaseCommand(name, text, voter.ReleaseLog().NewestEpoch()))
			c.collect(name)
		}
	}
}
