package release

import (
	"errors"
	"testing"
)

// countDoorOn counts the registered servers that act on the text "door on".
func countDoorOn(log *Log) int {
	servers := 0
	for name := range log.Members {
		if log.VersionFor(name).Text == "door on" {
			servers++
		}
	}
	return servers
}

func TestRollout_AdvancesAndRollsBack(t *testing.T) {
	log := bootstrapped(20)
	if err := log.Apply(releaseCommand(log, "door on", 0.01, 0.5)); err != nil {
		t.Fatal(err)
	}
	if n := countDoorOn(log); n != 1 {
		t.Errorf("%d servers in a first wave of 1%% of 20", n)
	}
	if err := log.Apply(releaseCommand(log, "door off")); !errors.Is(err, ErrRolloutInProgress) {
		t.Errorf("a second release during the rollout: %v", err)
	}
	advance := &Command{Kind: KindAdvanceRollout, ExpectedEpoch: log.NewestEpoch()}
	if err := log.Apply(advance); err != nil || countDoorOn(log) != 10 {
		t.Errorf("%d servers in a wave of half of 20, %v", countDoorOn(log), err)
	}
	first := log.NewestEpoch()
	rollback := &Command{Kind: KindRollback, ExpectedEpoch: first, Author: "b", Reason: "harm"}
	if err := log.Apply(rollback); err != nil || countDoorOn(log) != 0 || log.NewestEpoch() <= first {
		t.Errorf("rolled back: %d on it, %s, %v", countDoorOn(log), log.NewestEpoch(), err)
	}
	if err := log.Apply(advance); !errors.Is(err, ErrStaleEpoch) {
		t.Errorf("a wave of what is over: %v", err)
	}
	for _, text := range []string{"door-lobby 3", "door-lobby 4"} {
		if err := log.Apply(releaseCommand(log, text)); err != nil {
			t.Fatal(err)
		}
	}
	rollback = &Command{Kind: KindRollback, ExpectedEpoch: log.NewestEpoch(), Reason: "no"}
	if err := log.Apply(rollback); err != nil || log.Current.Text != "door-lobby 3" {
		t.Errorf("a release in force rolled back: %q, %v", log.Current.Text, err)
	}
	if outcome := log.History[len(log.History)-1].Outcome; outcome != "rolled back: no" {
		t.Errorf("its outcome is %q", outcome)
	}
}
