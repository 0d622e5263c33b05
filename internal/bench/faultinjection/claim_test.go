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

// retentionWindow is how long replicas keep keys in these tests.
const retentionWindow = 3 * time.Second

// startKeyedFleet starts a fleet with keyed requests and the named replicas, and waits until the
// replicas have caught up. After the test no key may have run twice within the retention window.
func startKeyedFleet(t *testing.T, config Config, replicationFactor int, replicas ...string) (*Fleet, *RunLog) {
	t.Helper()
	config.ExtraSettings += fmt.Sprintf("replica-holders %s\nreplica-copies %d\nreplica-keyed %s\n",
		strings.Join(replicas, " "), replicationFactor, PingClass)
	if !strings.Contains(config.ExtraSettings, "replica-window") {
		config.ExtraSettings += fmt.Sprintf("replica-window %s\n", retentionWindow)
	}
	runLog := NewRunLog()
	config.RunLog = runLog
	f := startFleet(t, config)
	var names []string
	for _, replica := range replicas {
		name, _, _ := strings.Cut(replica, "/")
		names = append(names, name)
	}
	f.await(t, "the replicas have caught up", func() bool { return f.ReplicasCaughtUp(names...) })
	t.Cleanup(func() {
		if n, key := runLog.MaxRunsWithin(retentionWindow); n > 1 {
			t.Errorf("key %s ran %d times within %s, want at most once", key, n, retentionWindow)
		}
	})
	return f, runLog
}

// sendRequest sends an attempt and returns its outcome, followed by the result if it is finished:
// "finished RESULT", "rejected" or "abandoned".
func (f *Fleet) sendRequest(t *testing.T, name, key string, timeout time.Duration) string {
	t.Helper()
	response := f.SendRequest(context.Background(), Attempt{Server: name, ID: NewRequestID(), Key: key,
		Timeout: timeout, AnswerGrace: awaitTimeout})
	if response.Lateness > time.Second || response.Outcome == Unanswered {
		t.Errorf("attempt with key %q at %s: %s %s after its timeout, want an answer at most 1s after it",
			key, name, response.Outcome, response.Lateness)
	}
	return strings.TrimSpace(string(response.Outcome) + " " + response.Result)
}

// finishesWithFirstResult sends an attempt and reports whether it is finished with the result of
// the key's first run.
func (f *Fleet) finishesWithFirstResult(t *testing.T, name, key string, log *RunLog) bool {
	t.Helper()
	return f.sendRequest(t, name, key, 2*time.Second) == "finished "+log.FirstResult(key)
}

func TestClaims_KeyRunsOnceAcrossServers(t *testing.T) {
	f, runLog := startKeyedFleet(t, Config{Servers: 5, Seed: 21}, 3, "n1", "n2/a", "n3/b", "n4/a/2", "n5")
	for i := range 10 {
		key := fmt.Sprint("key", i)
		var attempts sync.WaitGroup
		answers := make([]string, len(f.Names))
		for j, name := range f.Names { // concurrent attempts, one at each server
			attempts.Go(func() { answers[j] = f.sendRequest(t, name, key, 2*time.Second) })
		}
		attempts.Wait()
		f.await(t, key+" finishes with the first result", func() bool {
			return f.finishesWithFirstResult(t, f.Names[i%5], key, runLog)
		})
		for _, a := range answers { // on a busy machine some may be rejected
			if strings.HasPrefix(a, "finished") && a != "finished "+runLog.FirstResult(key) {
				t.Errorf("key %s: answers %q, want the first result %q", key, answers, runLog.FirstResult(key))
			}
		}
		if runLog.RunCount(key) != 1 {
			t.Errorf("key %s ran %d times, want once", key, runLog.RunCount(key))
		}
	}
}

func TestClaims_NoRunsInMinority(t *testing.T) {
	f, runLog := startKeyedFleet(t, Config{Servers: 5, Seed: 22}, 3, "n1", "n2", "n3")
	f.Net.Partition([]string{"n1", "n4"}, []string{"n2", "n3", "n5"})
	for i := range 5 {
		key := fmt.Sprint("cut", i)
		if a := f.sendRequest(t, "n4", key, 1500*time.Millisecond); strings.HasPrefix(a, "finished") ||
			runLog.RunCount(key) != 0 {
			t.Errorf("key %s without a quorum of its replicas: answer %q, %d runs, want no result and no run",
				key, a, runLog.RunCount(key))
		}
		f.await(t, key+" finishes on the majority side", func() bool {
			return f.finishesWithFirstResult(t, "n5", key, runLog)
		})
	}
	f.Net.Heal()
	f.await(t, "fleet diff lists five servers without a difference", func() bool {
		out, err := exec.Command(program, "fleet", "--at", f.controlAddrs["n3"], "diff").CombinedOutput()
		return err == nil && strings.Count(string(out), "\nn") == 5 && !strings.Contains(string(out), ": ")
	})
	f.await(t, "a server of the former minority returns the result", func() bool {
		return f.finishesWithFirstResult(t, "n4", "cut0", runLog)
	})
}

func TestReplicas_RestartOneByOne(t *testing.T) {
	f, runLog := startKeyedFleet(t, Config{Servers: 4, Seed: 23, ExtraSettings: "replica-window 15s\n"}, 3,
		"n1", "n2", "n3")
	f.await(t, "the key finishes", func() bool { return f.finishesWithFirstResult(t, "n4", "kept", runLog) })
	for _, name := range []string{"n1", "n2", "n3"} { // afterwards no process is left that granted the claim
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.await(t, name+" has caught up", func() bool { return f.ReplicasCaughtUp(name) })
		if s := f.Events(name, EventReplicaStatusChanged); s[len(s)-1].Fields["caught_up_by_peers"] == "0" {
			t.Errorf("%s caught up no slot from its peers, want at least one: %v", name, s[len(s)-1].Fields)
		}
	}
	f.await(t, "the result is retained", func() bool { return f.finishesWithFirstResult(t, "n4", "kept", runLog) })
	if n := runLog.RunCount("kept"); n != 1 {
		t.Errorf("the key ran %d times, want once", n)
	}
}

func TestReplicas_ThreeOfFiveRestartTogether(t *testing.T) {
	f, runLog := startKeyedFleet(t, Config{Servers: 5, Seed: 24}, 5, "n1", "n2", "n3", "n4", "n5")
	f.await(t, "the key finishes", func() bool { return f.finishesWithFirstResult(t, "n5", "before", runLog) })
	var restarts sync.WaitGroup
	for _, name := range []string{"n1", "n2", "n3"} {
		f.Server(name).Kill()
	}
	killedAt := time.Now()
	for _, name := range []string{"n1", "n2", "n3"} {
		restarts.Go(func() {
			if err := f.Restart(context.Background(), name); err != nil {
				t.Error(err)
			}
		})
	}
	restarts.Wait()
	for time.Since(killedAt) < retentionWindow-time.Second { // the replicas lost their records, so no key may run
		for _, key := range []string{"before", "new"} {
			a := f.sendRequest(t, "n4", key, 500*time.Millisecond)
			if runLog.RunCount("new") > 0 || strings.HasPrefix(a, "finished") &&
				a != "finished "+runLog.FirstResult(key) {
				t.Errorf("key %s before the end of the retention window: answer %q, %d runs of a new key, want no run",
					key, a, runLog.RunCount("new"))
			}
		}
	}
	f.await(t, "the replicas have caught up by timeout", func() bool { return f.ReplicasCaughtUp("n1", "n2", "n3") })
	for _, name := range []string{"n1", "n2", "n3"} {
		if s := f.Events(name, EventReplicaStatusChanged); s[len(s)-1].Fields["caught_up_by_timeout"] == "0" {
			t.Errorf("%s caught up no slot by timeout, want at least one: %v", name, s[len(s)-1].Fields)
		}
	}
	f.await(t, "a new key runs", func() bool { return f.finishesWithFirstResult(t, "n4", "after", runLog) })
}

func TestClaims_ServerDiesDuringRun(t *testing.T) {
	f, runLog := startKeyedFleet(t, Config{Servers: 4, Seed: 25, RunSeconds: 0.5,
		ExtraSettings: "replica-window 15s\n"}, 3, "n1", "n2", "n3")
	go f.sendRequest(t, "n4", "half", 2*time.Second)
	f.await(t, "the run of the key starts", func() bool { return runLog.RunCount("half") == 1 })
	f.Server("n4").Kill()
	for _, name := range []string{"n1", "n2", "n3"} {
		f.await(t, "the key with an unknown outcome is abandoned at "+name, func() bool {
			return f.sendRequest(t, name, "half", time.Second) == "abandoned"
		})
	}
	if err := f.Restart(context.Background(), "n4"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n4 serves", func() bool {
		return strings.HasPrefix(f.sendRequest(t, "n4", "other", time.Second), "finished")
	})
	f.await(t, "the key is abandoned at the restarted n4", func() bool {
		return f.sendRequest(t, "n4", "half", time.Second) == "abandoned"
	})
	if n := runLog.RunCount("half"); n != 1 {
		t.Errorf("the key ran %d times, want once", n)
	}
}

// Each of six servers crashes repeatedly at a different trace point of claims and replication,
// while every key is attempted three times. A crash between two steps must not lead to a second
// run. Each of the two subtests covers six trace points.
func TestClaims_ProcessesCrashAtEachTracePoint(t *testing.T) {
	for half := range 2 {
		t.Run(fmt.Sprint(half), func(t *testing.T) {
			crashPoints := map[string]string{}
			for i := range 6 {
				// active from 8 seconds after the start: the first start is not tested
				crashPoints[fmt.Sprint("n", i+2)] = fleet.TracePoints[6*half+i] + ",3,8"
			}
			f, runLog := startKeyedFleet(t, Config{Servers: 7, Seed: 26 + uint64(half),
				ExtraSettings: "fleet-forget 2s\n", CrashPointByName: crashPoints}, 5,
				"n1", "n2", "n3", "n4", "n5", "n6", "n7")
			random := rand.New(rand.NewPCG(uint64(half), 3))
			deaths, finished := 0, 0
			for i := 0; i < 40 || deaths < 4 && i < 200; i++ {
				key := fmt.Sprint("key", i)
				for range 3 {
					if f.finishesWithKnownResult(t, f.Names[random.IntN(7)], key, runLog) {
						finished++
					}
				}
				deaths += f.restartDead(t)
			}
			if deaths < 4 || finished == 0 {
				t.Errorf("%d crashes and %d finished requests, want at least 4 and 1", deaths, finished)
			}
		})
	}
}

// finishesWithKnownResult sends an attempt and reports whether it is finished. It fails the test if
// the result is not that of the key's first run.
func (f *Fleet) finishesWithKnownResult(t *testing.T, name, key string, log *RunLog) bool {
	t.Helper()
	answer := f.sendRequest(t, name, key, time.Second)
	if !strings.HasPrefix(answer, "finished") {
		return false
	}
	if answer != "finished "+log.FirstResult(key) {
		t.Errorf("key %s: answer %q, want the first result %q", key, answer, log.FirstResult(key))
	}
	return true
}

// restartDead restarts the processes that have crashed, and returns their number.
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

// A restarted server must receive the trusted clients from its peers, before the clients reconnect.
func TestTrust_RestartedServerLearnsTrustedClients(t *testing.T) {
	f := startFleet(t, Config{Servers: 3, Seed: 28, ExtraSettings: "replica-callers on\n"})
	for range 5 { // at most one request per second counts towards trust
		if a := f.sendRequest(t, "n1", "", time.Second); !strings.HasPrefix(a, "finished") {
			t.Fatalf("answer %q, want a finished request", a)
		}
		time.Sleep(time.Second)
	}
	f.await(t, "n2 and n3 learn the trusted client", func() bool {
		return len(f.Events("n2", EventTrustedClients))+len(f.Events("n3", EventTrustedClients)) == 2
	})
	before := len(f.Events("n1", EventTrustedClients))
	if err := f.KillAndRestart(context.Background(), "n1"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n1 learns the trusted client", func() bool {
		return len(f.Events("n1", EventTrustedClients)) > before
	})
	if events := f.Events("n1", EventTrustedClients); events[len(events)-1].Fields["clients"] != "1" {
		t.Errorf("events of n1 %v, want clients=1 in the last", events)
	}
}

// A draining server must not exit before the result of a finished key is replicated, even if the
// replicas are unreachable for most of the drain.
func TestClaims_DrainWaitsForReplication(t *testing.T) {
	f, runLog := startKeyedFleet(t, Config{Servers: 4, Seed: 29, RunSeconds: 0.3}, 3, "n1", "n2", "n3")
	go f.sendRequest(t, "n4", "last", 2*time.Second)
	f.await(t, "the run of the key starts", func() bool { return runLog.RunCount("last") == 1 })
	f.Net.Partition([]string{"n4"}, []string{"n1", "n2", "n3"})
	heal := time.AfterFunc(1500*time.Millisecond, f.Net.Heal)
	defer heal.Stop()
	if _, err := f.Server("n4").Drain(); err != nil {
		t.Fatal(err)
	}
	f.Net.Heal()
	f.await(t, "another server returns the result", func() bool {
		return f.finishesWithFirstResult(t, "n1", "last", runLog) && runLog.RunCount("last") == 1
	})
}
