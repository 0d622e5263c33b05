package lease

import (
	"encoding/json"
	"fmt"
	"testing"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

func TestGrantor_RolloutInWavesReachesAllServers(t *testing.T) {
	c := newCluster(t, 1, 10, serving.ModeNormal)
	c.run(3)
	c.release("x", 0.1, 0.5)
	c.run(12)
	if c.releaseLog.Next != nil || c.releaseLog.Current.Text != "x" {
		t.Errorf("rollout in progress: %t at wave %d, current text %q; want it finished with text \"x\"",
			c.releaseLog.Next != nil, c.releaseLog.WaveIndex, c.releaseLog.Current.Text)
	}
	c.requireAllLeased(t)
}

func TestGrantor_LaggingServerIsEjectedAndReadmitted(t *testing.T) {
	c := newCluster(t, 2, 8, serving.ModeNormal)
	c.run(3)
	lagging := c.servers[3]
	lagging.blocked = true
	c.release("x")
	c.run(testConfig.CatchUpTimeoutSeconds + 2*testConfig.LeaseSeconds)
	state, reason := lagging.holder.State()
	if state != StateFenced || reason != "it refuses the file" {
		t.Errorf("lagging server: state %s (%q), want %s (\"it refuses the file\")", state, reason, StateFenced)
	}
	if mode := lagging.holder.Snapshot().Mode; mode != serving.ModeOutOfService {
		t.Errorf("lagging server: mode %s, want %s", mode, serving.ModeOutOfService)
	}
	ejection, ejected := ejectionOf(c.releaseLog, lagging.name, lagging.incarnation)
	if !ejected || ejection.Incarnation != lagging.incarnation || ejection.Reason != "it refuses the file" {
		t.Errorf("release log: ejected %t, %+v; want ejection of incarnation %d with the server's reason",
			ejected, ejection, lagging.incarnation)
	}
	if assigned := c.releaseLog.VersionFor(lagging.name).Epoch; assigned != c.releaseLog.Current.Epoch {
		t.Errorf("ejected server: assigned epoch %s, want %s", assigned, c.releaseLog.Current.Epoch)
	}
	lagging.blocked = false
	c.run(3)
	c.requireAllLeased(t)
	if len(c.releaseLog.Ejected) != 0 {
		t.Errorf("after the server caught up: ejected %v, want none", c.releaseLog.Ejected)
	}
}

func TestGrantor_EjectionsLimitedToMaxUnavailable(t *testing.T) {
	c := newCluster(t, 3, 8, serving.ModeNormal)
	c.run(3)
	for _, s := range c.servers[:6] {
		s.blocked = true
	}
	c.release("x")
	c.run(testConfig.CatchUpTimeoutSeconds + 5*testConfig.LeaseSeconds)
	if n := len(c.releaseLog.Ejected); n != 2 {
		t.Errorf("%d of 8 servers are ejected, want 2", n)
	}
}

func TestGrantor_SecondIncarnationWaitsForLeaseEnd(t *testing.T) {
	c := newCluster(t, 4, 3, serving.ModeNormal)
	c.run(3)
	first := c.servers[1]
	second := c.addServer("n1", "elsewhere", serving.ModeNormal)
	c.run(5)
	if state, reason := second.holder.State(); state != StateSuperseded || reason == "" {
		t.Errorf("second incarnation: state %s (%q), want %s with a reason", state, reason, StateSuperseded)
	}
	if state, _ := first.holder.State(); state != StateLeased {
		t.Errorf("first incarnation: state %s, want %s", state, StateLeased)
	}
	first.paused = true // for longer than its lease
	c.run(3 * testConfig.LeaseSeconds)
	if state, _ := second.holder.State(); state != StateLeased {
		t.Errorf("first incarnation paused for three leases: state of the second %s, want %s",
			state, StateLeased)
	}
	first.paused = false
	c.run(2)
	if state, _ := first.holder.State(); state != StateSuperseded {
		t.Errorf("first incarnation after it resumed: state %s, want %s", state, StateSuperseded)
	}
	restarted := c.restartServer(2, serving.ModeNormal)
	restartedAt := c.now
	for c.now < restartedAt+testConfig.LeaseSeconds && restarted.snapshot.State != StateLeased {
		c.run(0.1)
	}
	if took := c.now - restartedAt; took > 2 {
		t.Errorf("a restarted server got its lease after %.1f s, want at most 2 s", took)
	}
}

// While a server was isolated, all voters lost their state and bootstrapped with a lower cluster
// ID. The server never accepts a lower epoch, so the grantor has to raise the cluster ID.
func TestGrantor_ServerAheadOfLogBumpsEpoch(t *testing.T) {
	c := newCluster(t, 8, 4, serving.ModeNormal)
	ahead := c.servers[2]
	ahead.active = release.NewEpoch(50, 3) // the log's cluster ID is 7
	ahead.assigned = ahead.active
	c.run(3 * testConfig.LeaseSeconds)
	c.requireAllLeased(t)
	if epoch := c.releaseLog.Current.Epoch; epoch.ClusterID() <= 50 {
		t.Errorf("current epoch %s, want a cluster ID above 50", epoch)
	}
	if len(c.releaseLog.Ejected) != 0 {
		t.Errorf("ejected %v, want none", c.releaseLog.Ejected)
	}
}

// If all servers may go out of service, no server may lose its permit when the leader changes, not
// even temporarily.
func TestGrantor_PermitsKeptOnLeaderChange(t *testing.T) {
	original := testConfig
	t.Cleanup(func() { testConfig = original })
	testConfig.MaxUnavailableFraction = 1
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5, serving.ModeOutOfService)
		c.run(4 * testConfig.LeaseSeconds)
		c.electLeader()
		for range 100 {
			c.run(0.05)
			for _, s := range c.servers {
				if !s.holder.MayGoOutOfService() {
					t.Fatalf("seed %d: %s lost its permit %.2f s after the leader changed",
						seed, s.name, c.now-4*testConfig.LeaseSeconds)
				}
			}
		}
	}
}

// A server restarts just after the leader changed. The new leader has no record of the earlier
// incarnation and knows the addresses of the voters only, so a restarted voter regains its name
// sooner than another server.
func TestGrantor_RestartedServerRegainsNameAfterLeaderChange(t *testing.T) {
	c := newCluster(t, 11, 3, serving.ModeNormal)
	c.run(2 * testConfig.LeaseSeconds)
	c.electLeader()
	c.run(0.5)
	for i := range 2 { // the first is a voter
		c.restartServer(i, serving.ModeNormal)
	}
	c.run(1.5)
	if state, reason := c.servers[0].holder.State(); state != StateLeased {
		t.Errorf("1.5 s after the restart of the voter: state %s (%s), want %s", state, reason, StateLeased)
	}
	c.run(2 * testConfig.LeaseSeconds)
	c.requireAllLeased(t)
}

// A delayed request of an incarnation that has ended gives the address at which the restarted
// server listens. It must not take the name from the restarted server, which has the lease.
func TestGrantor_DelayedRequestOfEndedIncarnation(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader changes %t", leaderChanges), func(t *testing.T) {
			c := newCluster(t, 12, 3, serving.ModeNormal)
			c.run(testConfig.LeaseSeconds)
			for i := range 2 { // the first is a voter
				ended := c.servers[i]
				late := ended.holder.NewRequest(ended.clock(c.now))
				successor := c.restartServer(i, serving.ModeNormal)
				c.run(testConfig.LeaseSeconds)
				if leaderChanges {
					c.electLeader()
					c.run(0.5)
				}
				for range 3 {
					_, commands := c.leader.grantor.HandleRequest(c.now, &late, c.releaseLog, true)
					c.propose(commands)
					c.run(0.3)
				}
				if owner := c.releaseLog.Members[ended.name]; owner != successor.incarnation {
					t.Errorf("%s: the owner is incarnation %d, want %d, the restarted server",
						ended.name, owner, successor.incarnation)
				}
			}
		})
	}
}

func BenchmarkGrantor_HandleRequest1000Servers(b *testing.B) {
	releaseLog := release.BootstrapLog(&release.Log{}, 7, nil)
	grantor := NewGrantor(testConfig, testVoterAddrs, 0)
	for i := range 1000 {
		_ = releaseLog.Apply(&release.Command{
			Kind:        release.KindRegister,
			Name:        fmt.Sprint("n", i),
			Incarnation: 1,
		})
	}
	request := Request{Name: "n7", Incarnation: 1, Addr: "a", ActiveEpoch: releaseLog.Current.Epoch}
	b.ReportAllocs()
	for b.Loop() {
		request.Number++
		grantor.HandleRequest(float64(request.Number)/1000, &request, releaseLog, true)
	}
}

// The keys of the control API must not change; they differ from the names of the Go fields.
func TestServerStatus_JSONKeys(t *testing.T) {
	status := ServerStatus{
		Name:                "n1",
		Incarnation:         5,
		ActiveEpoch:         3,
		AssignedEpoch:       4,
		SecondsSinceRequest: 1.5,
		LaggingSeconds:      2.5,
		BlockedBy:           "s",
		EjectionReason:      "o",
		Build:               "b",
		Reported:            true,
	}
	const want = `{"Name":"n1","Life":5,"Epoch":3,"Right":4,"Heard":1.5,"Behind":2.5,` +
		`"Stuck":"s","Out":"o","Build":"b","Known":true}`
	got, err := json.Marshal(status)
	if err != nil || string(got) != want {
		t.Errorf("got %s, error %v; want %s", got, err, want)
	}
}
