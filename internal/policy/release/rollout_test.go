package release

import (
	"errors"
	"testing"
)

// countServersOnRelease returns the number of registered servers whose version has the text "door
// on", which the test releases first.
func countServersOnRelease(log *Log) int {
	servers := 0
	for name := range log.Members {
		if log.VersionFor(name).Text == "door on" {
			servers++
		}
	}
	return servers
}

func TestRollout_AdvancesAndRollsBack(t *testing.T) {
	log := newBootstrappedLog(20)
	if err := log.Apply(releaseCommand(log, "door on", 0.01, 0.5)); err != nil {
		t.Fatalf("release in waves: error %v, want nil", err)
	}
	if n := countServersOnRelease(log); n != 1 {
		t.Errorf("%d servers in a first wave of 1%% of 20 servers, want 1", n)
	}
	if err := log.Apply(releaseCommand(log, "door off")); !errors.Is(err, ErrRolloutInProgress) {
		t.Errorf("second release during the rollout: error %v, want %v", err, ErrRolloutInProgress)
	}
	advance := &Command{Kind: KindAdvanceRollout, ExpectedEpoch: log.NewestEpoch()}
	if err := log.Apply(advance); err != nil || countServersOnRelease(log) != 10 {
		t.Errorf("%d servers in a wave of half of 20 servers, error %v; want 10 and no error",
			countServersOnRelease(log), err)
	}
	first := log.NewestEpoch()
	rollback := &Command{Kind: KindRollback, ExpectedEpoch: first, Author: "b", Reason: "harm"}
	if err := log.Apply(rollback); err != nil || countServersOnRelease(log) != 0 || log.NewestEpoch() <= first {
		t.Errorf("after rollback: %d servers on the release, newest epoch %s, error %v; want 0, above %s, nil",
			countServersOnRelease(log), log.NewestEpoch(), err, first)
	}
	if err := log.Apply(advance); !errors.Is(err, ErrStaleEpoch) {
		t.Errorf("advance of a rollout that was rolled back: error %v, want %v", err, ErrStaleEpoch)
	}
	for _, text := range []string{"door-lobby 3", "door-lobby 4"} {
		if err := log.Apply(releaseCommand(log, text)); err != nil {
			t.Fatalf("release of %q to all servers: error %v, want nil", text, err)
		}
	}
	rollback = &Command{Kind: KindRollback, ExpectedEpoch: log.NewestEpoch(), Reason: "no"}
	if err := log.Apply(rollback); err != nil || log.Current.Text != "door-lobby 3" {
		t.Errorf("rollback of the current version: text %q, error %v; want %q and no error",
			log.Current.Text, err, "door-lobby 3")
	}
	if outcome := log.History[len(log.History)-1].Outcome; outcome != "rolled back: no" {
		t.Errorf("outcome in the history: %q, want %q", outcome, "rolled back: no")
	}
}
