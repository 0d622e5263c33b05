package fleet

import (
	"errors"
	"testing"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	wire "swiftcourse/internal/wire/fleet"
)

const bootstrapSeconds = 20 // a cluster is bootstrapped, and all have their lease

func TestAgent_AppliesReleaseEverywhere(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	c.run(bootstrapSeconds)
	c.leader()
	result := c.release(c.agents["n1"], "text of the release\n")
	if result.RejectReason != "" {
		t.Fatalf("the release was rejected: %s", result.RejectReason)
	}
	for _, name := range c.names() {
		a := c.agents[name]
		snapshot, active := a.ServingState()
		if active.Epoch != result.NewestEpoch || a.applied[len(a.applied)-1] != "text of the release\n" {
			t.Errorf("%s serves %s, want %s; it applied %q", name, active.Epoch, result.NewestEpoch, a.applied)
		}
		if snapshot.State != lease.StateLeased || a.published != snapshot.Directive {
			t.Errorf("%s is %s, and published %+v", name, snapshot.State, a.published)
		}
	}
}

func TestAgent_ReportsVersionThatCannotBeApplied(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.run(bootstrapSeconds)
	behind := c.agents["n1"]
	_, before := behind.ServingState()
	behind.applyErr = errors.New("its limits differ")
	c.release(c.leader(), "text\n")
	if _, active := behind.ServingState(); active.Epoch != before.Epoch {
		t.Fatalf("it serves %s after it could not be applied", active.Epoch)
	}
	for _, server := range c.leader().serverStatuses(c.now) {
		if server.Name == "n1" && server.BlockedBy != "its limits differ" {
			t.Errorf("the leader knows of n1: %+v", server)
		}
	}
	// Once it can be applied it is, without another release.
	behind.applyErr = nil
	c.run(20)
	if _, active := behind.ServingState(); active.Epoch == before.Epoch {
		t.Error("it was never applied")
	}
}

func TestAgent_LeaseExpiresWithoutLeader(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.run(bootstrapSeconds)
	c.detached["n1"] = true
	c.run(10)
	if snapshot, _ := c.agents["n1"].ServingState(); snapshot.State != lease.StateExpired {
		t.Errorf("a detached server is %s", snapshot.State)
	}
	delete(c.detached, "n1")
	c.run(10)
	if snapshot, _ := c.agents["n1"].ServingState(); snapshot.State != lease.StateLeased {
		t.Errorf("a server that returned is %s", snapshot.State)
	}
}

func TestAgent_LeadershipMovesWhenLeaderIsDetached(t *testing.T) {
	c := newTestCluster(t, 3, 0)
	c.run(bootstrapSeconds)
	first := c.leader()
	c.detached[first.name] = true
	c.run(20)
	if first.isConfirmedLeader(c.now) {
		t.Error("a detached leader is confirmed")
	}
	if second := c.leader(); second == first {
		t.Error("the detached leader leads")
	}
}

func TestSubmitCommand_RejectedWithoutMajority(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.run(bootstrapSeconds)
	for name := range c.voters {
		c.detached[name] = true
	}
	result := c.release(c.agents["n1"], "text\n")
	if result.RejectReason != reasonNoMajority {
		t.Errorf("rejected for %q, want %q", result.RejectReason, reasonNoMajority)
	}
}

func TestSubmitCommand_RejectsTooMany(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	a := c.agents["v1"]
	var reasons []string
	for range maxPendingCommands + 1 {
		a.SubmitCommand(c.now, release.Command{Kind: release.KindRollback}, func(result wire.CommandResult) {
			reasons = append(reasons, result.RejectReason)
		})
	}
	if len(reasons) != 1 || reasons[0] != reasonTooManyCommands {
		t.Errorf("rejected for %q, want one %q", reasons, reasonTooManyCommands)
	}
}

func TestStartAudit_CollectsAllMembers(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	c.run(bootstrapSeconds)
	var results []*auditResult
	auditor := c.agents["n2"]
	auditor.startAudit(c.now, func(result *auditResult) { results = append(results, result) })
	auditor.turn()
	c.run(1)
	if len(results) != 1 {
		t.Fatalf("an audit that all answered ended %d times within a second, want once", len(results))
	}
	result := results[0]
	for _, name := range c.names() {
		if incarnation := c.agents[name].Incarnation(); !result.responding[incarnation] {
			t.Errorf("%s is not known to be alive", name)
		}
	}
	if result.releaseLog == nil || len(result.servers) != len(c.agents) {
		t.Errorf("release log %v, %d servers", result.releaseLog, len(result.servers))
	}
}

func TestStartAudit_EndsWithoutVoters(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	c.run(bootstrapSeconds)
	for name := range c.voters {
		c.detached[name] = true
	}
	var results []*auditResult
	auditor := c.agents["n2"]
	auditor.startAudit(c.now, func(result *auditResult) { results = append(results, result) })
	auditor.turn()
	c.run(auditTimeout + 1)
	if len(results) != 1 || results[0].releaseLog != nil {
		t.Errorf("an audit without voters ended with %+v", results)
	}
}

// Messages of components that are off, and of consensus at a process that does not vote, change
// nothing.
func TestHandleMessage_DropsKindsWithoutHandler(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	a := c.agents["n1"]
	for _, message := range []*wire.Envelope{
		{},
		{TrustRequest: true},
		{TrustRecords: []replication.TrustRecord{}},
		{ClaimRequest: &replication.ClaimRequest{}},
		{Checksums: &replication.Checksums{}},
	} {
		a.HandleMessage(c.now, message)
	}
	if len(c.inFlight) != 0 {
		t.Errorf("%d messages were sent", len(c.inFlight))
	}
	if a.ReplicationStatus() != nil || a.CounterStatus(c.now) != nil {
		t.Error("a component that is off has a status")
	}
}
