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
				t.Fatalf("release: committed %t, error %v; want true and no error", committed, err)
			}
			c.run(1)
			for name, voter := range c.voters {
				if text := voter.ReleaseLog().Current.Text; text != "door on" {
					t.Errorf("%s: current text %q, want %q", name, text, "door on")
				}
			}
		})
	}
}

func TestVoters_OneOfTwoConcurrentReleasesRefused(t *testing.T) {
	c := newSimulatedCluster(t, 11, 3)
	c.heal()
	newest := c.voters["v1"].ReleaseLog().NewestEpoch()
	const firstID, secondID = 1e6, 1e6 + 1
	for i, name := range c.names[:2] {
		command := releaseCommand(name, fmt.Sprint("door-lobby ", i+1), newest)
		command.ID = firstID + uint64(i)
		c.voters[name].Propose(command)
		c.takeOutput(name)
	}
	c.run(3)
	first, second := c.results[firstID], c.results[secondID]
	if len(c.results) != 2 || (first == nil) == (second == nil) {
		t.Fatalf("%d results with errors %v and %v, want 2 results of which one has an error",
			len(c.results), first, second)
	}
}

func TestVoters_MinorityCommitsNothing(t *testing.T) {
	c := newSimulatedCluster(t, 5, 5)
	c.heal()
	for _, a := range c.names[:2] {
		for _, b := range c.names[2:] {
			c.disconnected[link{a, b}] = true
			c.disconnected[link{b, a}] = true
		}
	}
	c.run(4)
	if committed, _ := c.release("v1", "door-lobby 7", 4); committed {
		t.Fatal("a release was committed in a partition of two of five voters, want none committed")
	}
	if committed, err := c.release("v4", "door-lobby 9", 6); err != nil || !committed {
		t.Fatalf("release in a partition of three of five voters: committed %t, error %v; want true and no error",
			committed, err)
	}
	if c.voters["v1"].IsLeader(c.now - 1.5) {
		t.Error("v1, in the minority, counts as a leader confirmed in the last 1.5 s; want it not to")
	}
	c.heal()
	c.run(2)
	if text := c.voters["v1"].ReleaseLog().Current.Text; text != "door-lobby 9" {
		t.Errorf("after the partition: text of v1 is %q, want %q", text, "door-lobby 9")
	}
}

func TestVoters_ReleaseSurvivesRestartOfOneAndOfAll(t *testing.T) {
	c := newSimulatedCluster(t, 3, 3)
	c.heal()
	if committed, err := c.release("v2", "door on", 5); err != nil || !committed {
		t.Fatalf("release: committed %t, error %v; want true and no error", committed, err)
	}
	c.run(0.5)
	before := c.voters["v1"].ReleaseLog().Current.Epoch
	c.start("v1") // with an empty log
	c.heal()
	if current := c.voters["v1"].ReleaseLog().Current; current.Text != "door on" || current.Epoch != before {
		t.Errorf("v1 after its restart: epoch %s with text %q, want %s with %q",
			current.Epoch, current.Text, before, "door on")
	}
	known := c.voters["v3"].ReleaseLog()
	for _, name := range c.names {
		c.start(name)
	}
	c.voters["v2"].ObserveReleaseLog(known) // as if from a server that is not a voter
	c.heal()
	c.run(1)
	for name, voter := range c.voters {
		current := voter.ReleaseLog().Current
		newCluster := current.Epoch > before && current.Epoch.ClusterID() != before.ClusterID()
		if current.Text != "door on" || !newCluster {
			t.Errorf("%s after all restarted: epoch %s with text %q, want %q in a cluster after that of %s",
				name, current.Epoch, current.Text, "door on", before)
		}
	}
	if committed, err := c.release("v3", "door off", 5); err != nil || !committed {
		t.Errorf("release after all restarted: committed %t, error %v; want true and no error", committed, err)
	}
}

func TestVoter_ProposeAsLeaderFailsAtOtherVoters(t *testing.T) {
	c := newSimulatedCluster(t, 9, 3)
	command := &release.Command{Kind: release.KindRegister, Name: "n1", Incarnation: 5}
	if err := c.voters["v1"].ProposeAsLeader(command); !errors.Is(err, ErrNotLeader) {
		t.Errorf("detached voter: error %v, want %v", err, ErrNotLeader)
	}
	c.heal()
	for name, voter := range c.voters {
		err := voter.ProposeAsLeader(command)
		if leads := voter.Leader() == name; leads != (err == nil) || !leads && !errors.Is(err, ErrNotLeader) {
			t.Errorf("%s, leader %t: error %v; want nil at the leader, %v elsewhere",
				name, leads, err, ErrNotLeader)
		}
	}
}

// TestVoters_RandomFaultSchedules runs random schedules of kills, pauses, partitions, message
// losses and releases. It checks throughout that no epoch has two digests and no position of the
// release log has two states, see checkAgreement. Once all faults have ended, a release has to be
// committed.
func TestVoters_RandomFaultSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "voters")
		c := newSimulatedCluster(t, rapid.Uint64().Draw(t, "seed"), size)
		if rapid.Bool().Draw(t, "settled") {
			c.heal()
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			applyRandomStep(t, c, i)
			c.run(rapid.SampledFrom([]float64{0.01, 0.1, 1, 5}).Draw(t, "wait"))
		}
		c.heal()
		committed, err := c.release(c.names[0], "door on", 20)
		if err != nil && !errors.Is(err, release.ErrStaleEpoch) || !committed {
			t.Fatalf("release after all faults ended: committed %t, error %v; want true and nil or %q: %s",
				committed, err, release.ErrStaleEpoch, c.describe())
		}
	})
}

// applyRandomStep draws one step of a schedule, a fault or a release, and applies it to the
// cluster.
func applyRandomStep(t *rapid.T, c *simulatedCluster, step int) {
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
		c.disconnected[link{pick("from"), pick("to")}] = true
	case 6:
		clear(c.disconnected)
	case 7:
		c.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
	case 8:
		name := pick("at")
		if voter := c.runningVoter(name); voter != nil {
			text := fmt.Sprint("door-lobby ", step+1)
			voter.Propose(releaseCommand(name, text, voter.ReleaseLog().NewestEpoch()))
			c.takeOutput(name)
		}
	}
}
