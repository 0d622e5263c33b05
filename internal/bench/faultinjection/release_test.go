package faultinjection

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftcourse/internal/policy/release"
)

func TestRelease_AppliedByAllServersAndAudited(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 1})
	epoch := f.release(t, "n5", "door-come-back 300ms\n")
	f.await(t, "all servers apply the release", func() bool { return f.AllActiveOn(epoch, f.Names...) })
	f.await(t, "the audit shows the release on all servers", func() bool {
		s, err := f.Status("n4")
		if err != nil || len(s.Audit.Alarms) > 0 || len(s.Audit.Lagging) > 0 || len(s.Audit.Gaps) > 0 {
			return false
		}
		active := 0
		for _, a := range s.Audit.Accounts {
			if n := len(a.Intervals); n > 0 && a.Intervals[n-1].Epoch == epoch {
				active++
			}
		}
		return active == 5
	})
}

func TestRelease_OnBothSidesOfPartition(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 2})
	before := f.ActiveEpoch("n1")
	f.Net.Partition([]string{"n1", "n4"}, []string{"n2", "n3", "n5"}) // the voters are n1 to n3
	rejected := make(chan error, 1)
	go func() {
		_, err := f.Release("n4", "door-come-back 400ms\n")
		rejected <- err
	}()
	var epoch release.Epoch
	f.await(t, "a release on the majority side is accepted", func() bool {
		var err error
		epoch, err = f.Release("n5", "door-come-back 500ms\n")
		return err == nil
	})
	f.await(t, "the majority applies the release", func() bool { return f.AllActiveOn(epoch, "n2", "n3", "n5") })
	if err := <-rejected; err == nil {
		t.Error("release on the minority side was accepted, want an error")
	}
	if f.ActiveEpoch("n1") != before || f.ActiveEpoch("n4") != before {
		t.Errorf("minority on epochs %s and %s, want %s on both", f.ActiveEpoch("n1"), f.ActiveEpoch("n4"), before)
	}
	f.await(t, "n4 logs the lease state silent", func() bool {
		changes := f.Events("n4", EventLeaseStateChanged)
		return len(changes) > 0 && changes[len(changes)-1].Fields["state"] == "silent"
	})
	f.Net.Heal()
	f.await(t, "all servers apply the accepted release", func() bool { return f.AllActiveOn(epoch, f.Names...) })
}

func TestRelease_OneWayCutAndLossyNetwork(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 3})
	f.CutIncoming("n5")
	epoch := f.release(t, "n4", "door-come-back 300ms\n")
	f.await(t, "the others apply the release", func() bool { return f.AllActiveOn(epoch, "n1", "n2", "n3", "n4") })
	if f.ActiveEpoch("n5") >= epoch {
		t.Errorf("n5 on epoch %s although it receives nothing, want one before %s", f.ActiveEpoch("n5"), epoch)
	}
	f.SetAllLinks(Link{Loss: 0.2, Duplicate: 0.2, Delay: 5 * time.Millisecond, Jitter: 60 * time.Millisecond})
	epoch = f.release(t, "n1", "door-come-back 350ms\n")
	f.await(t, "all servers apply a release over links that lose, duplicate and reorder", func() bool {
		return f.AllActiveOn(epoch, f.Names...)
	})
}

func TestVoters_RestartWithoutState(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 4})
	epoch := f.release(t, "n1", "door-come-back 300ms\n")
	f.await(t, "all servers apply the release", func() bool { return f.AllActiveOn(epoch, f.Names...) })
	for _, name := range f.Names[:3] { // one by one
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.await(t, name+" has caught up", func() bool { return f.ActiveEpoch(name) >= epoch && f.isVoterReady(name) })
	}
	epoch = f.release(t, "n5", "door-come-back 400ms\n")
	f.await(t, "all apply a release after the restarts", func() bool { return f.AllActiveOn(epoch, f.Names...) })
	for _, name := range f.Names[:3] {
		f.Server(name).Kill()
	}
	for _, name := range f.Names[:3] { // together
		if err := f.Server(name).Restart(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	next := f.release(t, "n2", "door-come-back 450ms\n")
	if next.ClusterID() == epoch.ClusterID() {
		t.Errorf("cluster ID of epoch %s is that of epoch %s from before the restart, want a new one", next, epoch)
	}
	f.await(t, "all servers apply a release of the new cluster", func() bool { return f.AllActiveOn(next, f.Names...) })
}

// isVoterReady reports whether a voter has applied entries of the release log and lists servers.
func (f *Fleet) isVoterReady(name string) bool {
	s, err := f.Status(name)
	return err == nil && s.ReleaseLog != nil && s.ReleaseLog.AppliedCount > 0 && len(s.Servers) > 0
}

func TestRelease_ServerThatCannotApplyIsEjected(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 5, ExtraSettingsByName: map[string]string{"n5": "door-prefix-ipv4 16"}})
	epoch := f.release(t, "n1", "door-prefix-ipv4 24\n") // the value that the other servers have
	f.await(t, "the others apply the release", func() bool { return f.AllActiveOn(epoch, "n1", "n2", "n3", "n4") })
	f.await(t, "the audit shows the ejection of n5 with its reason", func() bool {
		s, err := f.Status("n2")
		if err != nil {
			return false
		}
		for _, b := range s.Audit.Lagging {
			if b.Name == "n5" && strings.HasPrefix(b.Reason, "ejected: ") && strings.Contains(b.Reason,
				"can't be changed while serving") {
				return true
			}
		}
		return false
	})
	f.await(t, "n5 is out of service", f.hasLogged("n5", EventServingModeChanged, "mode", "out_of_service"))
	if f.Server("n5").Registry.Accepting("n5") {
		t.Error("the ejected n5 is registered as accepting, want not accepting")
	}
	if _, err := f.SendCommand("n4", release.Command{Kind: release.KindRollback, Author: "test",
		Reason: "n5"}); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n5 applies the rollback and serves", func() bool {
		return f.ActiveEpoch("n5") > epoch && f.LastEvent("n5", EventServingModeChanged).Fields["mode"] == "normal" &&
			f.Server("n5").Registry.Accepting("n5")
	})
}

func TestRelease_RollingRestartDuringWaves(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 7})
	epoch := f.release(t, "n2", "door-come-back 300ms\n", 0.2, 0.6)
	for _, name := range f.Names {
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.await(t, name+" is ready", func() bool { return f.isVoterReady(name) })
	}
	f.await(t, "all servers apply the release", func() bool { return f.AllActiveOn(epoch, f.Names...) })
	f.await(t, "the audit has gaps for ended incarnations and no alarm", func() bool {
		s, err := f.Status("n1")
		return err == nil && len(s.Audit.Alarms) == 0 && len(s.Audit.Gaps) >= 1 && len(s.Audit.Accounts) > 5
	})
}

func TestRelease_FifteenProcesses(t *testing.T) {
	f := startFleet(t, Config{Servers: 15, Voters: 5, Seed: 8})
	f.Net.Partition(f.Names[:7], f.Names[7:]) // all voters are on the first side
	epoch := f.release(t, "n3", "door-come-back 300ms\n")
	f.await(t, "the voters' side applies the release", func() bool { return f.AllActiveOn(epoch, f.Names[:7]...) })
	f.Net.Heal()
	f.await(t, "all servers apply the release", func() bool { return f.AllActiveOn(epoch, f.Names...) })
}

// A release whose first wave makes servers reject requests that the other servers finish must be
// rolled back.
func TestRelease_HarmfulWaveIsRolledBack(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 10, ExtraSettings: "door-arrivals-per-address 0\nfleet-wave 1m\n"})
	f.release(t, "n1", "door-per-address 1\n", 0.3)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for _, s := range f.Servers {
		for range 12 { // a new connection for each request, so that the connection limit applies
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					sendOnce(ctx, s.Addr)
				}
			})
		}
	}
	f.await(t, "the release is rolled back", f.hasLogged("", EventCommandFinished, "command", "rollback"))
	stop()
	callers.Wait()
	f.await(t, "all servers apply the version of the rollback", func() bool {
		s, err := f.Status("n1")
		return err == nil && s.ReleaseLog.Next == nil && s.ReleaseLog.Current.Text == "" &&
			f.AllActiveOn(s.ReleaseLog.Current.Epoch, f.Names...)
	})
}

// Each command of the fleet program succeeds and prints its result.
func TestOperatorCommands(t *testing.T) {
	f := startFleet(t, Config{Servers: 3, Seed: 11})
	file := filepath.Join(t.TempDir(), "released")
	if err := os.WriteFile(file, []byte("# slower\ndoor-come-back   300ms\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	run := func(want string, args ...string) bool {
		out, err := exec.Command(program, append([]string{"fleet", "--at", f.controlAddrs["n2"]},
			args...)...).CombinedOutput()
		return err == nil && strings.Contains(string(out), want)
	}
	for _, step := range []struct {
		want string
		args []string
	}{
		{"active epoch", []string{"status"}},
		{"done; newest", []string{"release", file}},
		{"done; newest", []string{"rollback", "by a test"}},
		{"done; newest", []string{"evict", "n3", "by a test"}},
		{"ejected: by a test", []string{"status"}},
		{"done; newest", []string{"admit", "n3"}},
		{`"Why": "released"`, []string{"audit", "--json"}},
	} {
		f.await(t, "output of "+strings.Join(step.args, " ")+" has "+step.want, func() bool {
			return run(step.want, step.args...)
		})
	}
	s, err := f.Status("n1")
	if err != nil || len(s.ReleaseLog.History) < 2 ||
		s.ReleaseLog.History[len(s.ReleaseLog.History)-1].Outcome != "rolled back: by a test" ||
		s.ReleaseLog.Current.Text != "" {
		t.Errorf("status %+v, error %v, want the rollback last in the history and an empty current text",
			s, err)
	}
	if run("", "release", program) {
		t.Error("a binary file was released, want an error")
	}
}

// The state of a restarted replica must be read from the log events since its restart only.
// Otherwise a test would continue before the replica has caught up again.
func TestFleet_EventsOfEarlierIncarnationAreIgnored(t *testing.T) {
	f := &Fleet{firstEventIndex: map[string]int{}}
	for _, line := range []string{"event=fleet_started", "event=replica_status_changed catching_up=256",
		"event=replica_status_changed catching_up=0", "event=config_applied epoch=1.7"} {
		f.recordLine("n1", line)
	}
	if !f.ReplicasCaughtUp("n1") || f.ActiveEpoch("n1") != release.NewEpoch(1, 7) {
		t.Errorf("before the restart: caught up %v, epoch %s, want true and 1.7",
			f.ReplicasCaughtUp("n1"), f.ActiveEpoch("n1"))
	}
	f.firstEventIndex["n1"] = len(f.events)
	if f.ReplicasCaughtUp("n1") || f.ActiveEpoch("n1") != 0 || f.LastEvent("n1", EventFleetStarted).Event != "" {
		t.Errorf("after the restart, without events: caught up %v, epoch %s, want false, 0 and no last event",
			f.ReplicasCaughtUp("n1"), f.ActiveEpoch("n1"))
	}
	f.recordLine("n1", "event=replica_status_changed catching_up=256")
	f.recordLine("n2", "event=replica_status_changed catching_up=0")
	if f.ReplicasCaughtUp("n1") {
		t.Error("caught up is true after catching_up=256, want false")
	}
	f.recordLine("n1", "event=replica_status_changed catching_up=0")
	if !f.ReplicasCaughtUp("n1", "n2") {
		t.Error("caught up is false after catching_up=0, want true")
	}
}
