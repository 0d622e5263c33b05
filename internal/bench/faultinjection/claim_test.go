package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftcourse/internal/fleet"
)

// retentionWindow is how long keys are kept in these tests.
const retentionWindow = 3 * time.Second

// startKeyedFleet starts a fleet whose requests have keys, with the named replicas, and waits until
// all replicas have caught up.
func startKeyedFleet(t *testing.T, p Config, copies int, holders ...string) (*Fleet, *RunLog) {
	t.Helper()
	p.ExtraSettings += fmt.Sprintf("replica-holders %s\nreplica-copies %d\nreplica-keyed %s\n",
		strings.Join(holders, " "), copies, PingClass)
	if !strings.Contains(p.ExtraSettings, "replica-window") {
		p.ExtraSettings += fmt.Sprintf("replica-window %s\n", retentionWindow)
	}
	ledger := NewRunLog()
	p.RunLog = ledger
	f := startFleet(t, p)
	var names []string
	for _, holder := range holders {
		name, _, _ := strings.Cut(holder, "/")
		names = append(names, name)
	}
	f.await(t, "holders may answer", func() bool { return f.ReplicasCaughtUp(names...) })
	t.Cleanup(func() {
		if n, key := ledger.MaxRunsWithin(retentionWindow); n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	})
	return f, ledger
}

// sendRequest gives a try's answer in words: "finished RESULT", "rejected" or "abandoned".
func (f *Fleet) sendRequest(t *testing.T, name, key string, wait time.Duration) string {
	t.Helper()
	a := f.SendRequest(context.Background(), Attempt{Server: name, ID: NewRequestID(), Key: key,
		Timeout: wait, Patience: patience})
	if a.Lateness > time.Second || a.Outcome == Unanswered {
		t.Errorf("%s at %s is %s, %s after its due moment", key, name, a.Outcome, a.Lateness)
	}
	return strings.TrimSpace(string(a.Outcome) + " " + a.Result)
}

// finishesWithFirstResult tells whether a try has the result of the key's first run.
func (f *Fleet) finishesWithFirstResult(t *testing.T, name, key string, l *RunLog) bool {
	t.Helper()
	return f.sendRequest(t, name, key, 2*time.Second) == "finished "+l.FirstResult(key)
}

func TestClaims_KeyRunsOnceAcrossServers(t *testing.T) {
	f, ledger := startKeyedFleet(t, Config{Servers: 5, Seed: 21}, 3, "n1", "n2/a", "n3/b", "n4/a/2", "n5")
	for i := range 10 {
		key := fmt.Sprint("key", i)
		var wait sync.WaitGroup
		answers := make([]string, len(f.Names))
		for j, name := range f.Names { // all at once, each at another server
			wait.Go(func() { answers[j] = f.sendRequest(t, name, key, 2*time.Second) })
		}
		wait.Wait()
		f.await(t, key+" is finished wherever it is tried", func() bool {
			return f.finishesWithFirstResult(t, f.Names[i%5], key, ledger)
		})
		for _, a := range answers { // on a machine that is very busy some are turned away
			if strings.HasPrefix(a, "finished") && a != "finished "+ledger.FirstResult(key) {
				t.Errorf("%s: %q, and the run came to %q", key, answers, ledger.FirstResult(key))
			}
		}
		if ledger.RunCount(key) != 1 {
			t.Errorf("%s ran %d times", key, ledger.RunCount(key))
		}
	}
}

func TestClaims_MinorityRunsNothing(t *testing.T) {
	f, ledger := startKeyedFleet(t, Config{Servers: 5, Seed: 22}, 3, "n1", "n2", "n3")
	f.Net.Partition([]string{"n1", "n4"}, []string{"n2", "n3", "n5"})
	for i := range 5 {
		key := fmt.Sprint("cut", i)
		if a := f.sendRequest(t, "n4", key, 1500*time.Millisecond); strings.HasPrefix(a, "finished") ||
			ledger.RunCount(key) != 0 {
			t.Errorf("where most holders can't be heard, %s is %s and ran %d times", key, a, ledger.RunCount(key))
		}
		f.await(t, key+" is finished where most holders are", func() bool {
			return f.finishesWithFirstResult(t, "n5", key, ledger)
		})
	}
	f.Net.Heal()
	f.await(t, "the operators' words find nothing wrong", func() bool {
		out, err := exec.Command(program, "fleet", "--at", f.controlAddrs["n3"], "diff").CombinedOutput()
		return err == nil && strings.Count(string(out), "\nn") == 5 && !strings.Contains(string(out), ": ")
	})
	f.await(t, "the cut-off side knows what came of a key", func() bool {
		return f.finishesWithFirstResult(t, "n4", "cut0", ledger)
	})
}

func TestReplicas_RestartOneByOne(t *testing.T) {
	f, ledger := startKeyedFleet(t, Config{Servers: 4, Seed: 23, ExtraSettings: "replica-window 15s\n"}, 3,
		"n1", "n2", "n3")
	f.await(t, "it is finished", func() bool { return f.finishesWithFirstResult(t, "n4", "kept", ledger) })
	for _, name := range []string{"n1", "n2", "n3"} { // in the end nobody is left who granted it
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.await(t, name+" has learned what it missed", func() bool { return f.ReplicasCaughtUp(name) })
		if s := f.Events(name, "replica_status_changed"); s[len(s)-1].Fields["caught_up_by_peers"] == "0" {
			t.Errorf("%s did not learn it from others: %v", name, s[len(s)-1].Fields)
		}
	}
	f.await(t, "its result is there", func() bool { return f.finishesWithFirstResult(t, "n4", "kept", ledger) })
	if n := ledger.RunCount("kept"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

func TestReplicas_ThreeOfFiveRestartTogether(t *testing.T) {
	f, ledger := startKeyedFleet(t, Config{Servers: 5, Seed: 24}, 5, "n1", "n2", "n3", "n4", "n5")
	f.await(t, "it is finished", func() bool { return f.finishesWithFirstResult(t, "n5", "before", ledger) })
	var wait sync.WaitGroup
	for _, name := range []string{"n1", "n2", "n3"} {
		f.Server(name).Kill()
	}
	back := time.Now()
	for _, name := range []string{"n1", "n2", "n3"} {
		wait.Go(func() {
			if err := f.Restart(context.Background(), name); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	for time.Since(back) < retentionWindow-time.Second { // nobody can tell what ran, so nothing runs
		for _, key := range []string{"before", "new"} {
			a := f.sendRequest(t, "n4", key, 500*time.Millisecond)
			if ledger.RunCount("new") > 0 || strings.HasPrefix(a, "finished") &&
				a != "finished "+ledger.FirstResult(key) {
				t.Errorf("%s is %s before the window is over", key, a)
			}
		}
	}
	f.await(t, "they say that it is past", func() bool { return f.ReplicasCaughtUp("n1", "n2", "n3") })
	for _, name := range []string{"n1", "n2", "n3"} {
		if s := f.Events(name, "replica_status_changed"); s[len(s)-1].Fields["caught_up_by_timeout"] == "0" {
			t.Errorf("%s claims to have learned what nobody knew: %v", name, s[len(s)-1].Fields)
		}
	}
	f.await(t, "a new key runs", func() bool { return f.finishesWithFirstResult(t, "n4", "after", ledger) })
}

func TestClaims_ServerDiesDuringRun(t *testing.T) {
	f, ledger := startKeyedFleet(t, Config{Servers: 4, Seed: 25, RunSeconds: 0.5,
		ExtraSettings: "replica-window 15s\n"}, 3, "n1", "n2", "n3")
	go f.sendRequest(t, "n4", "half", 2*time.Second)
	f.await(t, "it runs", func() bool { return ledger.RunCount("half") == 1 })
	f.Server("n4").Kill()
	for _, name := range []string{"n1", "n2", "n3"} {
		f.await(t, "what may have run is abandoned at "+name, func() bool {
			return f.sendRequest(t, name, "half", time.Second) == "abandoned"
		})
	}
	if err := f.Restart(context.Background(), "n4"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n4 serves", func() bool {
		return strings.HasPrefix(f.sendRequest(t, "n4", "other", time.Second), "finished")
	})
	f.await(t, "it is so at n4 too", func() bool { return f.sendRequest(t, "n4", "half", time.Second) == "abandoned" })
	if n := ledger.RunCount("half"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// TestClaims_ProcessesCrashAtEachTracePoint has each of several servers die at another point of its
// claims and copies, again and again, under repeats of keys.
func TestClaims_ProcessesCrashAtEachTracePoint(t *testing.T) {
	for part := range 2 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			die := map[string]string{}
			for i := range 6 {
				// after 8 seconds: the first start is not what is tried
				die[fmt.Sprint("n", i+2)] = fleet.TracePoints[6*part+i] + ",3,8"
			}
			f, ledger := startKeyedFleet(t, Config{Servers: 7, Seed: 26 + uint64(part),
				ExtraSettings: "fleet-forget 2s\n", CrashPointByName: die}, 5, "n1", "n2", "n3", "n4", "n5", "n6", "n7")
			chance := rand.New(rand.NewPCG(uint64(part), 3))
			deaths, finished := 0, 0
			for i := 0; i < 40 || deaths < 4 && i < 200; i++ {
				key := fmt.Sprint("key", i)
				for range 3 {
					if f.finishesWithKnownResult(t, f.Names[chance.IntN(7)], key, ledger) {
						finished++
					}
				}
				deaths += f.restartDead(t)
			}
			if deaths < 4 || finished == 0 {
				t.Errorf("%d deaths, %d tasks finished: nothing was shown", deaths, finished)
			}
		})
	}
}

// finishesWithKnownResult reports whether an attempt is finished, and fails the test if its result is
// not that of the key's first run.
func (f *Fleet) finishesWithKnownResult(t *testing.T, name, key string, log *RunLog) bool {
	t.Helper()
	answer := f.sendRequest(t, name, key, time.Second)
	if !strings.HasPrefix(answer, "finished") {
		return false
	}
	if answer != "finished "+log.FirstResult(key) {
		t.Errorf("%s: %s, not %s", key, answer, log.FirstResult(key))
	}
	return true
}

// restartDead restarts the processes that have died, and counts them.
func (f *Fleet) restartDead(t *testing.T) (deaths int) {
	t.Helper()
	for _, server := range f.Servers {
		if server.Alive() {
			continue
		}
		deaths++
		if err := f.Restart(context.Background(), server.Name); err != nil {
			t.Fatal(err)
		}
	}
	return deaths
}

// TestTrust_RestartedServerLearnsTrustedClients: clients that earned their trust are
// known there again before they come back.
func TestTrust_RestartedServerLearnsTrustedClients(t *testing.T) {
	f := startFleet(t, Config{Servers: 3, Seed: 28, ExtraSettings: "replica-callers on\n"})
	for range 5 { // one a second counts
		if a := f.sendRequest(t, "n1", "", time.Second); !strings.HasPrefix(a, "finished") {
			t.Fatalf("a task is %s", a)
		}
		time.Sleep(time.Second)
	}
	f.await(t, "the others are told", func() bool {
		return len(f.Events("n2", "fleet_trusted_clients"))+len(f.Events("n3", "fleet_trusted_clients")) == 2
	})
	before := len(f.Events("n1", "fleet_trusted_clients"))
	if err := f.KillAndRestart(context.Background(), "n1"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n1 is told", func() bool { return len(f.Events("n1", "fleet_trusted_clients")) > before })
	if said := f.Events("n1", "fleet_trusted_clients"); said[len(said)-1].Fields["clients"] != "1" {
		t.Errorf("it was told %v", said)
	}
}

// TestClaims_DrainingServerReplicatesFirst: its answer is out, and what its holders should hear is
// lost for most of its drain.
func TestClaims_DrainingServerReplicatesFirst(t *testing.T) {
	f, ledger := startKeyedFleet(t, Config{Servers: 4, Seed: 29, RunSeconds: 0.3}, 3, "n1", "n2", "n3")
	go f.sendRequest(t, "n4", "last", 2*time.Second)
	f.await(t, "it runs", func() bool { return ledger.RunCount("last") == 1 })
	f.Net.Partition([]string{"n4"}, []string{"n1", "n2", "n3"})
	heal := time.AfterFunc(1500*time.Millisecond, f.Net.Heal)
	defer heal.Stop()
	if _, err := f.Server("n4").Drain(); err != nil {
		t.Fatal(err)
	}
	f.Net.Heal()
	f.await(t, "its successor has the result", func() bool {
		return f.finishesWithFirstResult(t, "n1", "last", ledger) && ledger.RunCount("last") == 1
	})
}
