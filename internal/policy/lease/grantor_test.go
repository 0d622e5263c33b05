package lease

import (
	"encoding/json"
	"fmt"
	"testing"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

func TestGrantor_RolloutReachesAllInWaves(t *testing.T) {
	c := newCluster(t, 1, 10, serving.ModeNormal)
	c.run(3)
	c.release("x", 0.1, 0.5)
	c.run(12)
	if c.releaseLog.Next != nil || c.releaseLog.Current.Text != "x" {
		t.Errorf("the release is still in progress, wave %d", c.releaseLog.WaveIndex)
	}
	c.requireAllLeased(t)
}

func TestGrantor_LaggingServerIsEjectedAndReadmitted(t *testing.T) {
	c := newCluster(t, 2, 8, serving.ModeNormal)
	c.run(3)
	lagging := c.servers[3]
	lagging.blocked = true
	c.release("x")
	c.run(testConfig.CatchUpTimeout + 2*testConfig.Duration)
	state, reason := lagging.holder.State()
	if state != StateFenced || reason != "it refuses the file" {
		t.Errorf("it is %s: %q", state, reason)
	}
	if mode := lagging.holder.Snapshot().Mode; mode != serving.ModeOutOfService {
		t.Errorf("it serves in mode %s", mode)
	}
	ejection, ejected := ejectionOf(c.releaseLog, lagging.name, lagging.incarnation)
	if !ejected || ejection.Incarnation != lagging.incarnation || ejection.Reason != "it refuses the file" {
		t.Errorf("the release log has the ejection %+v, %t", ejection, ejected)
	}
	if assigned := c.releaseLog.VersionFor(lagging.name).Epoch; assigned != c.releaseLog.Current.Epoch {
		t.Errorf("it is assigned %s, not %s", assigned, c.releaseLog.Current.Epoch)
	}
	lagging.blocked = false
	c.run(3)
	c.requireAllLeased(t)
	if len(c.releaseLog.Ejected) != 0 {
		t.Error("it is still ejected")
	}
}

func TestGrantor_LaggingServersStayWithinMaxUnavailable(t *testing.T) {
	c := newCluster(t, 3, 8, serving.ModeNormal)
	c.run(3)
	for _, s := range c.servers[:6] {
		s.blocked = true
	}
	c.release("x")
	c.run(testConfig.CatchUpTimeout + 5*testConfig.Duration)
	if n := len(c.releaseLog.Ejected); n != 2 {
		t.Errorf("%d of 8 are ejected, 2 may be", n)
	}
}

func TestGrantor_SecondIncarnationWaitsForLeaseEnd(t *testing.T) {
	c := newCluster(t, 4, 3, serving.ModeNormal)
	c.run(3)
	first := c.servers[1]
	second := c.addServer("n1", "elsewhere", serving.ModeNormal)
	c.run(5)
	if state, reason := second.holder.State(); state != StateSuperseded || reason == "" {
		t.Errorf("the second is %s: %q", state, reason)
	}
	if state, _ := first.holder.State(); state != StateLeased {
		t.Errorf("the first is %s", state)
	}
	first.paused = true // for longer than its lease
	c.run(3 * testConfig.Duration)
	if state, _ := second.holder.State(); state != StateLeased {
		t.Errorf("the first was silent for three leases, and the second is %s", state)
	}
	first.paused = false
	c.run(2)
	if state, _ := first.holder.State(); state != StateSuperseded {
		t.Errorf("resumed, the first is %s", state)
	}
	restarted := c.restartServer(2, serving.ModeNormal)
	restartedAt := c.now
	for c.now < restartedAt+testConfig.Duration && restarted.snapshot.State != StateLeased {
		c.run(0.1)
	}
	if took := c.now - restartedAt; took > 2 {
		t.Errorf("a restarted server has a lease after %.1f s", took)
	}
}

// TestGrantor_ServerAheadOfBootstrappedLog: all voters lost their state while a server was
// isolated, and bootstrapped under a lower cluster identity.
func TestGrantor_ServerAheadOfBootstrappedLog(t *testing.T) {
	c := newCluster(t, 8, 4, serving.ModeNormal)
	ahead := c.servers[2]
	ahead.active = release.NewEpoch(50, 3) // the log's cluster identity is 7
	ahead.assigned = ahead.active
	c.run(3 * testConfig.Duration)
	c.requireAllLeased(t)
	if epoch := c.releaseLog.Current.Epoch; epoch.ClusterID() <= 50 {
		t.Errorf("epochs go on from %s", epoch)
	}
	if len(c.releaseLog.Ejected) != 0 {
		t.Errorf("ejected: %v", c.releaseLog.Ejected)
	}
}

// TestGrantor_OutOfServicePermitOutlivesLeader: where all may go out of service, a new leader takes
// the permission from nobody, also not for a moment.
func TestGrantor_OutOfServicePermitOutlivesLeader(t *testing.T) {
	restore := testConfig
	t.Cleanup(func() { testConfig = restore })
	testConfig.MaxUnavailable = 1
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5, serving.ModeOutOfService)
		c.run(4 * testConfig.Duration)
		c.electLeader()
		for range 100 {
			c.run(0.05)
			for _, s := range c.servers {
				if !s.holder.MayGoOutOfService() {
					t.Fatalf("seed %d: %s lost its permission %.2f s after the leader changed",
						seed, s.name, c.now-4*testConfig.Duration)
				}
			}
		}
	}
}

// TestGrantor_RestartedServerGetsItsNameFromNewLeader: the new leader knows nothing of the earlier
// incarnation but, of a voter, where it listened.
func TestGrantor_RestartedServerGetsItsNameFromNewLeader(t *testing.T) {
	c := newCluster(t, 11, 3, serving.ModeNormal)
	c.run(2 * testConfig.Duration)
	c.electLeader()
	c.run(0.5)
	for i := range 2 { // the first is a voter
		c.restartServer(i, serving.ModeNormal)
	}
	c.run(1.5)
	if state, reason := c.servers[0].holder.State(); state != StateLeased {
		t.Errorf("1.5 s after its restart the voter is %s: %s", state, reason)
	}
	c.run(2 * testConfig.Duration)
	c.requireAllLeased(t)
}

// TestGrantor_LateRequestOfEndedIncarnation: the request comes from the address at which the
// successor listens, which has the lease, and must not take the name from it.
func TestGrantor_LateRequestOfEndedIncarnation(t *testing.T) {
	for _, leaderChanges := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader changes %t", leaderChanges), func(t *testing.T) {
			c := newCluster(t, 12, 3, serving.ModeNormal)
			c.run(testConfig.Duration)
			for i := range 2 { // the first is a voter
				ended := c.servers[i]
				late := ended.holder.NewRequest(ended.clock(c.now))
				successor := c.restartServer(i, serving.ModeNormal)
				c.run(testConfig.Duration)
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
					t.Errorf("%s: the name went from incarnation %d to %d, which has ended",
						ended.name, successor.incarnation, owner)
				}
			}
		})
	}
}

func BenchmarkGrantor_HandleRequestOfThousandServers(b *testing.B) {
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

// TestServerStatus_JSONKeys: the control API's keys are older than the fields' names and stay.
func TestServerStatus_JSONKeys(t *testing.T) {
	status := ServerStatus{
		Name:              "n1",
		Incarnation:       5,
		ActiveEpoch:       3,
		AssignedEpoch:     4,
		SecondsSinceHeard: 1.5,
		SecondsBehind:     2.5,
		BlockedBy:         "s",
		EjectionReason:    "o",
		Build:             "b",
		Reported:          true,
	}
	const want = `{"Name":"n1","Life":5,"Epoch":3,"Right":4,"Heard":1.5,"Behind":2.5,` +
		`"Stuck":"s","Out":"o","Build":"b","Known":true}`
	got, err := json.Marshal(status)
	if err != nil || string(got) != want {
		t.Errorf("%s, %v; want %s", got, err, want)
	}
}
