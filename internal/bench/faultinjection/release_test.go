package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftcourse/internal/fake/balancer"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/wire/rpc"
)

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "swiftcourse-faults-")
	if err == nil {
		program = filepath.Join(folder, "swiftcourse")
		var said []byte
		said, err = exec.Command("go", "build", "-o", folder+"/", "swiftcourse/cmd/swiftcourse",
			"swiftcourse/cmd/swiftcourse-fleet").CombinedOutput()
		os.Stderr.Write(said)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// shortLeases are terms under which a test does not take long.
const shortLeases = "door on\nfleet-lease 2s\nfleet-behind 2s\n"

// patience is far over what anything takes here, so that a busy machine changes no verdict.
const patience = 30 * time.Second

func startFleet(t *testing.T, p Config) *Fleet {
	t.Helper()
	t.Parallel()
	p.Shape, p.ExtraSettings = SmallShape(program), shortLeases+p.ExtraSettings
	if !strings.Contains(p.ExtraSettings, "fleet-wave") {
		p.ExtraSettings += "fleet-wave 500ms\n"
	}
	if p.Voters == 0 {
		p.Voters = 3
	}
	f, err := Start(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if twice := f.ConflictingDigestEpochs(); len(twice) > 0 {
			t.Errorf("two digests in epochs %v", twice)
		}
		if panics := append(f.Events("", "fleet_agent_panic"), f.Events("", "panic")...); len(panics) > 0 {
			t.Errorf("panics: %v", panics)
		}
		f.Close()
	})
	f.await(t, "all act on a first version", func() bool { return f.AllActiveOn(1, f.Names...) })
	return f
}

func (f *Fleet) await(t *testing.T, what string, so func() bool) {
	t.Helper()
	if !WaitUntil(patience, so) {
		var on strings.Builder
		for _, name := range f.Names {
			fmt.Fprintf(&on, "%s on %s", name, f.ActiveEpoch(name))
			if said := f.Events(name, "serving_mode_changed"); len(said) > 0 {
				fmt.Fprintf(&on, ", %s", said[len(said)-1].Fields)
			}
			on.WriteString("; ")
		}
		t.Fatalf("not within %s: %s (%s)", patience, what, on.String())
	}
}

func (f *Fleet) hasLogged(name, event, key, value string) func() bool {
	return func() bool {
		return slices.ContainsFunc(f.Events(name, event), func(s LogEvent) bool { return s.Fields[key] == value })
	}
}

func (f *Fleet) release(t *testing.T, at, text string, waves ...float64) (e release.Epoch) {
	t.Helper()
	f.await(t, "a release by "+at, func() bool {
		var err error
		e, err = f.Release(at, text, waves...)
		return err == nil
	})
	return e
}

func TestRelease_ReachesAllServersAndAuditAgrees(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 1})
	e := f.release(t, "n5", "door-come-back 300ms\n")
	f.await(t, "all act on the release", func() bool { return f.AllActiveOn(e, f.Names...) })
	f.await(t, "the audit knows it", func() bool {
		s, err := f.Status("n4")
		if err != nil || len(s.Audit.Alarms) > 0 || len(s.Audit.Lagging) > 0 || len(s.Audit.Gaps) > 0 {
			return false
		}
		on := 0
		for _, a := range s.Audit.Accounts {
			if n := len(a.Intervals); n > 0 && a.Intervals[n-1].Epoch == e {
				on++
			}
		}
		return on == 5
	})
}

func TestRelease_OnBothSidesOfAPartition(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 2})
	before := f.ActiveEpoch("n1")
	f.Net.Partition([]string{"n1", "n4"}, []string{"n2", "n3", "n5"}) // n1 to n3 vote
	refused := make(chan error, 1)
	go func() {
		_, err := f.Release("n4", "door-come-back 400ms\n")
		refused <- err
	}()
	var e release.Epoch
	f.await(t, "a release where most voters are", func() bool {
		var err error
		e, err = f.Release("n5", "door-come-back 500ms\n")
		return err == nil
	})
	f.await(t, "that side acts on it", func() bool { return f.AllActiveOn(e, "n2", "n3", "n5") })
	if err := <-refused; err == nil {
		t.Error("a release on the cut-off side was done")
	}
	if f.ActiveEpoch("n1") != before || f.ActiveEpoch("n4") != before {
		t.Error("the cut-off side acts on something new")
	}
	f.await(t, "the cut-off side knows that it hears nothing", func() bool {
		said := f.Events("n4", "lease_state_changed")
		return len(said) > 0 && said[len(said)-1].Fields["state"] == "silent"
	})
	f.Net.Heal()
	f.await(t, "all act on the one release", func() bool { return f.AllActiveOn(e, f.Names...) })
}

func TestRelease_OneWayCutAndLossyNetwork(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 3})
	for _, from := range f.Names { // n5 is heard by all and hears nobody
		f.Net.SetLink(from, "n5", Link{Cut: true})
	}
	e := f.release(t, "n4", "door-come-back 300ms\n")
	f.await(t, "the others act on it", func() bool { return f.AllActiveOn(e, "n1", "n2", "n3", "n4") })
	if f.ActiveEpoch("n5") >= e {
		t.Error("n5 acts on what it can't have heard")
	}
	for _, a := range f.Names {
		for _, b := range f.Names {
			f.Net.SetLink(a, b, Link{Loss: 0.2, Duplicate: 0.2, Delay: 5 * time.Millisecond,
				Jitter: 60 * time.Millisecond})
		}
	}
	e = f.release(t, "n1", "door-come-back 350ms\n")
	f.await(t, "all act on a release over a network that loses, doubles and reorders", func() bool {
		return f.AllActiveOn(e, f.Names...)
	})
}

func TestVoters_RestartWithoutState(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 4})
	e := f.release(t, "n1", "door-come-back 300ms\n")
	f.await(t, "all act on it", func() bool { return f.AllActiveOn(e, f.Names...) })
	for _, name := range f.Names[:3] { // one by one
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.await(t, name+" is brought up", func() bool { return f.ActiveEpoch(name) >= e && f.isVoterReady(name) })
	}
	e = f.release(t, "n5", "door-come-back 400ms\n")
	f.await(t, "all act on one after that", func() bool { return f.AllActiveOn(e, f.Names...) })
	for _, name := range f.Names[:3] {
		f.Server(name).Kill()
	}
	for _, name := range f.Names[:3] { // together
		if err := f.Server(name).Restart(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	next := f.release(t, "n2", "door-come-back 450ms\n")
	if next.ClusterID() == e.ClusterID() {
		t.Errorf("founded anew, the epoch is %s after %s", next, e)
	}
	f.await(t, "all act on a release of the new founding", func() bool { return f.AllActiveOn(next, f.Names...) })
}

// isVoterReady tells whether a voter says that it knows the order.
func (f *Fleet) isVoterReady(name string) bool {
	s, err := f.Status(name)
	return err == nil && s.ReleaseLog != nil && s.ReleaseLog.AppliedCount > 0 && len(s.Servers) > 0
}

func TestRelease_ServerThatCannotApplyIsEjected(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 5, ExtraSettingsByName: map[string]string{"n5": "door-prefix-ipv4 16"}})
	e := f.release(t, "n1", "door-prefix-ipv4 24\n") // what the others have already
	f.await(t, "the others act on it", func() bool { return f.AllActiveOn(e, "n1", "n2", "n3", "n4") })
	f.await(t, "the audit tells that n5 is shut out, and why", func() bool {
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
	f.await(t, "n5 is away", f.hasLogged("n5", "serving_mode_changed", "mode", "out_of_service"))
	if f.Server("n5").Registry.Accepting("n5") {
		t.Error("n5 is still on the roster's list")
	}
	if _, err := f.SendCommand("n4", release.Command{Kind: release.KindRollback, Author: "test",
		Reason: "n5"}); err != nil {
		t.Fatal(err)
	}
	f.await(t, "n5 is brought up by what it can apply, and serves", func() bool {
		said := f.Events("n5", "serving_mode_changed")
		return f.ActiveEpoch("n5") > e && said[len(said)-1].Fields["mode"] == "normal" &&
			f.Server("n5").Registry.Accepting("n5")
	})
}

func TestLease_ClockSkewAndDuplicateProcess(t *testing.T) {
	f := startFleet(t, Config{Servers: 4, Seed: 6, ClockByName: map[string]string{"n1": "3600,1",
		"n2": "-3600,1.01", "n3": "0,0.99"}})
	e := f.release(t, "n2", "door-come-back 300ms\n")
	f.await(t, "all act on it", func() bool { return f.AllActiveOn(e, f.Names...) })
	time.Sleep(3 * time.Second) // more than a lease
	for _, name := range f.Names {
		for _, s := range f.Events(name, "lease_state_changed") {
			if s.Fields["state"] != "acting" {
				t.Errorf("%s was %s: %s", name, s.Fields["state"], s.Fields["reason"])
			}
		}
	}
	twin, err := f.StartDuplicate(context.Background(), "n4")
	if err != nil {
		t.Fatal(err)
	}
	defer twin.Kill()
	f.await(t, "the second process is told that its name is taken", f.hasLogged("n4", "lease_state_changed",
		"state", "taken"))
	if s, err := f.Status("n4"); err != nil || s.LeaseState != "acting" {
		t.Errorf("the first process: %+v, %v", s, err)
	}
}

func TestRelease_RollingRestartDuringWaves(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 7})
	e := f.release(t, "n2", "door-come-back 300ms\n", 0.2, 0.6)
	for _, name := range f.Names {
		if err := f.KillAndRestart(context.Background(), name); err != nil {
			t.Fatal(err)
		}
		f.await(t, name+" is back", func() bool { return f.isVoterReady(name) })
	}
	f.await(t, "all act on it", func() bool { return f.AllActiveOn(e, f.Names...) })
	f.await(t, "the audit has holes where lives ended, and no alarm", func() bool {
		s, err := f.Status("n1")
		return err == nil && len(s.Audit.Alarms) == 0 && len(s.Audit.Gaps) >= 1 && len(s.Audit.Accounts) > 5
	})
}

func TestRelease_FifteenProcesses(t *testing.T) {
	f := startFleet(t, Config{Servers: 15, Voters: 5, Seed: 8})
	f.Net.Partition(f.Names[:7], f.Names[7:]) // all voters on one side
	e := f.release(t, "n3", "door-come-back 300ms\n")
	f.await(t, "the side of the voters acts on it", func() bool { return f.AllActiveOn(e, f.Names[:7]...) })
	f.Net.Heal()
	f.await(t, "all act on it", func() bool { return f.AllActiveOn(e, f.Names...) })
}

// TestLease_PausedServerResumesAfterExpiry: it was stopped with tasks on their way to it and an old
// version. Before it has heard anything it knows that its lease is over: what had not begun is
// rejected, and it takes nothing in until it hears its leader again, which is after the answers
// here.
func TestLease_PausedServerResumesAfterExpiry(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 9, ExtraSettings: "fleet-silent leave\nfleet-most-out 100%\n"})
	f.await(t, "n5 may leave", func() bool { s, err := f.Status("n5"); return err == nil && s.MayGoOutOfService })
	c, answers := f.dialBalancer(t, "n5")
	if err := f.Pause("n5"); err != nil {
		t.Fatal(err)
	}
	e := f.release(t, "n1", "door-come-back 300ms\n")
	f.await(t, "the others act on it", func() bool { return f.AllActiveOn(e, "n1", "n2", "n3", "n4") })
	time.Sleep(3 * time.Second) // more than a lease
	const tasks = 8
	for i := range tasks {
		m := &rpc.Message{Number: c.NextNumber(), ID: fmt.Sprintf("%016x", i+1), Class: PingClass, Client: 1,
			ArrivedAt: float64(time.Now().UnixMilli()) / 1000, Timeout: 1.5,
			Memory: 1, Priority: 0.5}
		if err := c.SendRequest(m); err != nil {
			t.Fatal(err)
		}
	}
	f.Net.Partition([]string{"n1", "n2", "n3", "n4"}, []string{"n5"})
	if err := f.Resume("n5"); err != nil {
		t.Fatal(err)
	}
	rejected := 0
	for range tasks {
		select {
		case a := <-answers:
			if a.Kind == rpc.ResponseRejected {
				rejected++
			}
		case <-time.After(patience):
			t.Fatal("a task has no answer")
		}
	}
	if rejected != tasks {
		t.Errorf("woken, it took in %d of %d tasks on the old version", tasks-rejected, tasks)
	}
	f.await(t, "it says that it was away", f.hasLogged("n5", "serving_mode_changed", "mode", "out_of_service"))
	f.Net.Heal()
	f.await(t, "n5 is brought up and serves", func() bool {
		said := f.Events("n5", "serving_mode_changed")
		return f.ActiveEpoch("n5") >= e && said[len(said)-1].Fields["mode"] == "normal"
	})
}

// dialBalancer opens a connection to a server, whose answers come on a channel.
func (f *Fleet) dialBalancer(t *testing.T, name string) (*balancer.Conn, <-chan rpc.Response) {
	t.Helper()
	answers := make(chan rpc.Response, 64)
	c, err := balancer.Dial(context.Background(), f.Server(name).Addr, func(a rpc.Response) {
		if a.Kind == rpc.ResponseFinished || a.Kind == rpc.ResponseRejected || a.Kind == rpc.ResponseFailed {
			answers <- a
		}
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, answers
}

// TestRelease_HarmfulWaveIsRolledBack: the servers of its first wave reject what the others finish.
func TestRelease_HarmfulWaveIsRolledBack(t *testing.T) {
	f := startFleet(t, Config{Servers: 5, Seed: 10, ExtraSettings: "door-arrivals-per-address 0\nfleet-wave 1m\n"})
	f.release(t, "n1", "door-per-address 1\n", 0.3)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var callers sync.WaitGroup
	for _, s := range f.Servers {
		for range 12 { // each a connection of its own for each task, so that connection limits apply
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					sendOnce(ctx, s.Addr)
				}
			})
		}
	}
	f.await(t, "it is rolled back", f.hasLogged("", "command_finished", "command", "rollback"))
	stop()
	callers.Wait()
	f.await(t, "all act on the version after it", func() bool {
		s, err := f.Status("n1")
		return err == nil && s.ReleaseLog.Next == nil && s.ReleaseLog.Current.Text == "" &&
			f.AllActiveOn(s.ReleaseLog.Current.Epoch, f.Names...)
	})
}

// sendOnce sends one request on a connection of its own, and waits for its end.
func sendOnce(ctx context.Context, addr string) {
	done := make(chan struct{}, 1)
	c, err := balancer.Dial(ctx, addr, func(rpc.Response) {
		select {
		case done <- struct{}{}:
		default:
		}
	}, nil)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer c.Close()
	m := &rpc.Message{Number: c.NextNumber(), ID: fmt.Sprintf("%016x", rand.Uint64()), Class: PingClass,
		Client: 1, ArrivedAt: float64(time.Now().UnixMilli()) / 1000,
		Timeout: 1, Memory: 1, Priority: 0.5}
	if c.SendRequest(m) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(time.Second):
	}
}

// TestOperatorCommands: the plain program becomes the fleet's, and its words do what they say.
func TestOperatorCommands(t *testing.T) {
	f := startFleet(t, Config{Servers: 3, Seed: 11})
	file := filepath.Join(t.TempDir(), "released")
	if err := os.WriteFile(file, []byte("# slower\ndoor-come-back   300ms\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	say := func(want string, words ...string) bool {
		out, err := exec.Command(program, append([]string{"fleet", "--at", f.controlAddrs["n2"]},
			words...)...).CombinedOutput()
		return err == nil && strings.Contains(string(out), want)
	}
	for _, step := range []struct {
		want  string
		words []string
	}{
		{"active epoch", []string{"status"}},
		{"done; newest", []string{"release", file}},
		{"done; newest", []string{"rollback", "by a test"}},
		{"done; newest", []string{"evict", "n3", "by a test"}},
		{"ejected: by a test", []string{"status"}},
		{"done; newest", []string{"admit", "n3"}},
		{`"Why": "released"`, []string{"audit", "--json"}},
	} {
		f.await(t, strings.Join(step.words, " "), func() bool { return say(step.want, step.words...) })
	}
	s, err := f.Status("n1")
	if err != nil || len(s.ReleaseLog.History) < 2 ||
		s.ReleaseLog.History[len(s.ReleaseLog.History)-1].Outcome != "rolled back: by a test" ||
		s.ReleaseLog.Current.Text != "" {
		t.Errorf("%+v, %v", s, err)
	}
	if say("", "release", program) {
		t.Error("a file that is none of settings was released")
	}
}

// TestFleet_EventsOfEarlierIncarnationAreIgnored: a replica that was restarted has caught up, and acts
// on a version, once it says so itself; what it said before its end is no word of it.
func TestFleet_EventsOfEarlierIncarnationAreIgnored(t *testing.T) {
	f := &Fleet{firstEvent: map[string]int{}}
	for _, line := range []string{"event=fleet_started", "event=replica_status_changed catching_up=256",
		"event=replica_status_changed catching_up=0", "event=config_applied epoch=1.7"} {
		f.recordLine("n1", line)
	}
	if !f.ReplicasCaughtUp("n1") || f.ActiveEpoch("n1") != release.NewEpoch(1, 7) {
		t.Errorf("before its end: warm %v, on %s", f.ReplicasCaughtUp("n1"), f.ActiveEpoch("n1"))
	}
	f.firstEvent["n1"] = len(f.events)
	if f.ReplicasCaughtUp("n1") || f.ActiveEpoch("n1") != 0 || f.LastEvent("n1", "fleet_started").Event != "" {
		t.Errorf("started again and silent: warm %v, on %s", f.ReplicasCaughtUp("n1"), f.ActiveEpoch("n1"))
	}
	f.recordLine("n1", "event=replica_status_changed catching_up=256")
	f.recordLine("n2", "event=replica_status_changed catching_up=0")
	if f.ReplicasCaughtUp("n1") {
		t.Error("warm while it says that it is cold")
	}
	f.recordLine("n1", "event=replica_status_changed catching_up=0")
	if !f.ReplicasCaughtUp("n1", "n2") {
		t.Error("not warm though it says so")
	}
}
