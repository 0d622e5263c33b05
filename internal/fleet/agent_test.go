package fleet

import (
	"errors"
	"testing"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	wire "swiftcourse/internal/wire/fleet"
)

const bootstrapSeconds = 20 // enough for a cluster to be bootstrapped and for all servers to get a lease

func TestAgent_AppliesReleaseEverywhere(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	c.run(bootstrapSeconds)
	c.leader()
	result := c.release(c.agents["n1"], "text of the release\n")
	if result.RejectReason != "" {
		t.Fatalf("release rejected: %q, want it applied", result.RejectReason)
	}
	for _, name := range c.names() {
		a := c.agents[name]
		snapshot, active := a.ServingState()
		if active.Epoch != result.NewestEpoch || a.applied[len(a.applied)-1] != "text of the release\n" {
			t.Errorf("%s: active epoch %s, applied texts %q, want epoch %s and the released text last",
				name, active.Epoch, a.applied, result.NewestEpoch)
		}
		if snapshot.State != lease.StateLeased || a.published != snapshot.Directive {
			t.Errorf("%s: state %s, published %+v, want state %s and %+v",
				name, snapshot.State, a.published, lease.StateLeased, snapshot.Directive)
		}
	}
}

func TestAgent_ReportsAndRetriesFailedApply(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.run(bootstrapSeconds)
	server := c.agents["n1"]
	_, before := server.ServingState()
	server.applyErr = errors.New("its limits differ")
	c.release(c.leader(), "text\n")
	if _, active := server.ServingState(); active.Epoch != before.Epoch {
		t.Fatalf("active epoch %s after applying the release failed, want %s", active.Epoch, before.Epoch)
	}
	for _, status := range c.leader().serverStatuses(c.now) {
		if status.Name == "n1" && status.BlockedBy != "its limits differ" {
			t.Errorf("the leader's status of n1 is %+v, want the error of Apply in BlockedBy", status)
		}
	}
	// The server retries the version, without another release, until it can be applied.
	server.applyErr = nil
	c.run(20)
	if _, active := server.ServingState(); active.Epoch == before.Epoch {
		t.Errorf("active epoch is still %s after Apply no longer fails, want the released one", before.Epoch)
	}
}

func TestAgent_LeaseExpiresWithoutLeader(t *testing.T) {
	c := newTestCluster(t, 3, 1)
	c.run(bootstrapSeconds)
	c.detached["n1"] = true
	c.run(10)
	if snapshot, _ := c.agents["n1"].ServingState(); snapshot.State != lease.StateExpired {
		t.Errorf("state of a detached server is %s, want %s", snapshot.State, lease.StateExpired)
	}
	delete(c.detached, "n1")
	c.run(10)
	if snapshot, _ := c.agents["n1"].ServingState(); snapshot.State != lease.StateLeased {
		t.Errorf("state of a reattached server is %s, want %s", snapshot.State, lease.StateLeased)
	}
}

func TestAgent_LeadershipMovesWhenLeaderIsDetached(t *testing.T) {
	c := newTestCluster(t, 3, 0)
	c.run(bootstrapSeconds)
	first := c.leader()
	c.detached[first.name] = true
	c.run(20)
	if first.isConfirmedLeader(c.now) {
		t.Errorf("detached leader %s is still the confirmed leader", first.name)
	}
	if second := c.leader(); second == first {
		t.Errorf("leader is still the detached %s, want another one", first.name)
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
		t.Errorf("reject reason %q, want %q", result.RejectReason, reasonNoMajority)
	}
}

func TestSubmitCommand_RejectsBeyondMaxPending(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	a := c.agents["v1"]
	var reasons []string
	for range maxPendingCommands + 1 {
		a.SubmitCommand(c.now, release.Command{Kind: release.KindRollback}, func(result wire.CommandResult) {
			reasons = append(reasons, result.RejectReason)
		})
	}
	if len(reasons) != 1 || reasons[0] != reasonTooManyCommands {
		t.Errorf("reject reasons %q, want exactly one %q", reasons, reasonTooManyCommands)
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
		t.Fatalf("audit called done %d times within a second, want once", len(results))
	}
	result := results[0]
	for _, name := range c.names() {
		if incarnation := c.agents[name].Incarnation(); !result.responding[incarnation] {
			t.Errorf("incarnation %x of %s is not among the responding ones", incarnation, name)
		}
	}
	if result.releaseLog == nil || len(result.servers) != len(c.agents) {
		t.Errorf("release log %v and %d server statuses, want a log and %d statuses",
			result.releaseLog, len(result.servers), len(c.agents))
	}
}

func TestStartAudit_EndsAtTimeoutWithoutVoters(t *testing.T) {
	c := newTestCluster(t, 3, 2)
	c.run(bootstrapSeconds)
	for name := range c.voters {
		c.detached[name] = true
	}
	var results []*auditResult
	auditor := c.agents["n2"]
	auditor.startAudit(c.now, func(result *auditResult) { results = append(results, result) })
	auditor.turn()
	c.run(auditTimeoutSeconds + 1)
	if len(results) != 1 || results[0].releaseLog != nil {
		t.Errorf("audit results %+v, want one without a release log", results)
	}
}

// An empty message and messages for disabled components have no effect.
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
		t.Errorf("%d messages were sent, want none", len(c.inFlight))
	}
	if a.ReplicationStatus() != nil || a.CounterStatus(c.now) != nil {
		t.Errorf("replication status %+v, counter status %+v, want nil for disabled components",
			a.ReplicationStatus(), a.CounterStatus(c.now))
	}
}
