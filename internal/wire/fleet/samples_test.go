package fleet

import (
	"net/netip"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/circuitbreaker"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/consensus"
	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

// sampleEnvelopes returns at least one message of each kind; together they have all fields set.
// testdata/envelopes.hex has their encoded form in the same order.
func sampleEnvelopes(tb testing.TB) []*Envelope {
	tb.Helper()
	log := sampleReleaseLog(tb)
	var samples []*Envelope
	samples = append(samples, sampleConsensus(log)...)
	samples = append(samples, sampleControl(log)...)
	samples = append(samples, sampleLoadPlan()...)
	samples = append(samples, sampleCounters()...)
	samples = append(samples, sampleReplication()...)
	return append(samples, sampleShared()...)
}

// sampleReleaseLog returns a release log with closed counter rows, an ejection and a rollout.
func sampleReleaseLog(tb testing.TB) *release.Log {
	tb.Helper()
	log := release.BootstrapLog(&release.Log{}, 7, map[uint64]string{1: "v1", 2: "v2"})
	newest := log.NewestEpoch()
	closed := []release.CounterRow{{ID: 4, Sequence: 2, Cells: sampleCells(3)}, {ID: 8}}
	for _, command := range []release.Command{
		{Kind: release.KindCloseCounters, CounterRows: closed},
		{Kind: release.KindRegister, Name: "n1", Incarnation: 5},
		{Kind: release.KindEject, Name: "n1", Incarnation: 5, Reason: "late", IssuedAt: 3},
		{
			Kind:          release.KindRelease,
			ExpectedEpoch: newest,
			Text:          "a",
			Digest:        release.Digest("a", ""),
			ID:            9,
			Author:        "x",
		},
		{
			Kind:          release.KindRelease,
			ExpectedEpoch: newest + 1,
			Text:          "b",
			Digest:        release.Digest("b", ""),
			Waves:         []float64{0.5, 0.9},
		},
	} {
		if err := log.Apply(&command); err != nil {
			tb.Fatal(err)
		}
	}
	return log
}

func sampleCells(received uint64) []serving.CounterCell {
	return []serving.CounterCell{
		{},
		{
			CounterKey: serving.CounterKey{Tenant: "acme", Class: "ping"},
			RequestCounts: serving.RequestCounts{
				Received:  received,
				Finished:  1,
				Rejected:  2,
				Abandoned: 3,
			},
		},
	}
}

func sampleConsensus(log *release.Log) []*Envelope {
	heartbeat := &consensus.Heartbeat{
		Name:            "v1",
		Incarnation:     5,
		ClusterID:       7,
		NewestClusterID: 7,
		AppliedCount:    3,
		DetachedVoters:  map[string]uint64{"v1": 5},
		Voters:          map[string]uint64{"v2": 2},
	}
	bootstrap := &consensus.Bootstrap{
		ClusterID:  7,
		Voters:     map[uint64]string{5: "v1"},
		ReleaseLog: log,
	}
	raft := &raftpb.Message{
		Type: raftpb.MsgHeartbeat.Enum(),
		From: new(uint64(5)),
		To:   new(uint64(6)),
		Term: new(uint64(2)),
	}
	return []*Envelope{
		{Consensus: &consensus.Message{From: 5, Heartbeat: heartbeat}},
		{Consensus: &consensus.Message{From: 5, To: 6, Bootstrap: bootstrap}},
		{Consensus: &consensus.Message{From: 5, To: 6, RequestReleaseLog: true}},
		{Consensus: &consensus.Message{From: 5, To: 6, ReleaseLog: log}},
		{Consensus: &consensus.Message{From: 5, To: 6, ClusterID: 7, Raft: raft}},
	}
}

func sampleAccount() audit.Account {
	return audit.Account{
		Name:             "n1",
		Incarnation:      5,
		Started:          1,
		LastSeen:         9,
		DroppedIntervals: 2,
		Intervals: []audit.Interval{{
			Index:    2,
			Epoch:    3,
			Digest:   "d",
			From:     1,
			To:       2,
			Batches:  4,
			Requests: 5,
			Reason:   "released",
		}},
	}
}

// sampleControl returns messages about leases, releases and audits.
func sampleControl(log *release.Log) []*Envelope {
	account := sampleAccount()
	return []*Envelope{
		{LeaseRequest: &lease.Request{
			Name:              "n1",
			Incarnation:       5,
			Number:            8,
			Addr:              "127.0.0.1:1",
			ActiveEpoch:       3,
			BlockedBy:         "s",
			ErrorTally:        release.ErrorTally{Completed: 3, Failed: 1},
			Build:             "b",
			MayGoOutOfService: true,
		}},
		{LeaseReply: &lease.Reply{
			Incarnation:       5,
			Number:            8,
			Verdict:           lease.VerdictLagging,
			LeaseSeconds:      6,
			AssignedEpoch:     4,
			MayGoOutOfService: true,
			Leader:            "v1",
			Reason:            "w",
		}},
		{VersionRequest: 4},
		{Version: &log.Current},
		{Command: &release.Command{
			Kind:          release.KindAdvanceRollout,
			ID:            3,
			Author:        "a",
			ExpectedEpoch: 4,
			Waves:         []float64{0.5},
		}},
		{CommandResult: &CommandResult{ID: 3, RejectReason: "no", NewestEpoch: 5}},
		{AccountSummary: &account},
		{StateRequest: &StateRequest{RequestID: 4, Names: []string{"n1"}, ClusterID: 7, AppliedCount: 9}},
		{StateReply: &StateReply{
			RequestID:   4,
			Accounts:    []audit.Account{account},
			ReleaseLog:  log,
			Servers:     []lease.ServerStatus{sampleServerStatus()},
			Replication: sampleReplicationStatus(),
		}},
	}
}

func sampleServerStatus() lease.ServerStatus {
	return lease.ServerStatus{
		Name:                "n1",
		Incarnation:         5,
		ActiveEpoch:         3,
		AssignedEpoch:       4,
		SecondsSinceRequest: 1,
		LaggingSeconds:      2,
		BlockedBy:           "s",
		EjectionReason:      "o",
		Build:               "b",
		Reported:            true,
	}
}

func sampleReplicationStatus() *replication.Status {
	return &replication.Status{
		ConfigDigest:        1,
		IsReplica:           true,
		CatchingUp:          2,
		OutOfSync:           3,
		CaughtUpByPeers:     4,
		CaughtUpByTimeout:   5,
		RepairedRecords:     6,
		ConflictingResults:  7,
		Records:             8,
		Bytes:               9,
		DroppedResults:      10,
		CorruptedRecords:    11,
		ActiveClaims:        12,
		ReplicatedResults:   13,
		UnreplicatedResults: 14,
	}
}

func sampleLoadPlan() []*Envelope {
	version := loadplan.Version{ClusterID: 1, Term: 2, Sequence: 3}
	return []*Envelope{
		{ForwarderReport: &loadplan.Report{
			Name:            "f1",
			Incarnation:     3,
			Sequence:        4,
			IntervalSeconds: 0.5,
			CurrentVersion:  version,
			Demand:          []loadplan.TenantRate{{Tenant: "acme", Rate: 2}},
			Workers: []loadplan.WorkerStats{{
				Name:      "w1",
				Connected: true,
				InFlight:  1,
				Finished:  2,
				Rejected:  3,
				Lost:      4,
			}},
		}},
		{PlanAssignment: &loadplan.Assignment{
			Version:        version,
			Incarnation:    3,
			ReportSequence: 4,
			LeaseSeconds:   2,
			Weights:        []loadplan.WorkerWeight{{Name: "w1", Weight: 0.5}},
			RateLimits:     []loadplan.TenantRate{{Rate: 7}},
		}},
	}
}

func sampleCounters() []*Envelope {
	return []*Envelope{
		{CounterReport: &counter.RowReport{
			Server:         "n1",
			Incarnation:    5,
			RowID:          6,
			Sequence:       3,
			BaseSequence:   2,
			Frozen:         true,
			FrozenSequence: 1,
			Cells:          sampleCells(4),
			Aggregators:    []uint64{7, 8},
		}},
		{CounterAck: &counter.RowAck{RowID: 6, Sequence: 3, Closed: true, Aggregators: []uint64{7}}},
		{CounterSyncRequest: &counter.RowQuery{
			Number:      2,
			Rows:        []counter.RowAck{{RowID: 6, Sequence: 1}},
			AllRows:     true,
			AfterRowID:  7,
			Aggregators: []uint64{7, 9},
		}},
		{CounterSyncReply: &counter.RowQueryReply{
			Number:      2,
			Recovering:  true,
			More:        true,
			Aggregators: []uint64{1},
			Rows: []counter.RowReport{{
				Server:      "n1",
				Incarnation: 5,
				RowID:       6,
				Sequence:    3,
				Cells:       sampleCells(4),
			}},
		}},
	}
}

func sampleReplication() []*Envelope {
	key := replicastore.KeyOf("s", "k")
	claimID := replicastore.ClaimID{UnixMilli: -3, Incarnation: 4, Sequence: 5}
	finished := replicastore.NewFinishedAttempt(claimID, []byte("r"))
	term := replication.Term{Number: 4, Incarnation: 5}
	record := &replicastore.Record{Key: key, Attempts: []replicastore.Attempt{finished}}
	return []*Envelope{
		{ClaimRequest: &replication.ClaimRequest{
			ConfigDigest: 3,
			Operation:    replication.OpReport,
			Key:          key,
			Attempt:      finished,
			Terms:        []replication.Term{term, {}},
		}},
		{ClaimReply: &replication.ClaimReply{
			Key:       key,
			ClaimID:   claimID,
			Operation: replication.OpQuery,
			Status:    replication.ReplyConflict,
			Terms:     []replication.Term{term},
			Attempts:  []replicastore.Attempt{finished},
		}},
		{PullRequest: &replication.PullRequest{
			ConfigDigest: 3,
			Sequence:     2,
			Term:         term,
			Slots:        []int{0, 255},
			AfterKey:     key,
			HasAfterKey:  true,
		}},
		{PullReply: &replication.PullReply{
			ConfigDigest:  3,
			Sequence:      2,
			Term:          term,
			RequesterTerm: replication.Term{Number: 1, Incarnation: 2},
			Slots: []replication.SlotRecords{
				{
					Slot:     7,
					CaughtUp: true,
					Copies:   []replication.RecordCopy{{Record: record, TimeToLive: 2.5}},
				},
				{Slot: 8, Complete: true},
			},
		}},
		{Checksums: &replication.Checksums{
			ConfigDigest: 3,
			Term:         term,
			Slots:        []int{9},
			Values:       []uint64{10},
		}},
	}
}

// sampleShared returns messages about trusted clients, quotas and the health of the downstream
// service.
func sampleShared() []*Envelope {
	client := connlimit.TrustedClient{Addr: netip.MustParseAddr("10.0.0.1"), Credit: 3}
	return []*Envelope{
		{TrustRequest: true},
		{TrustRecords: []replication.TrustRecord{{
			Name:        "n1",
			Incarnation: 5,
			Sequence:    6,
			Clients:     []connlimit.TrustedClient{client},
		}}},
		{QuotaRequest: &quota.Request{
			Incarnation: 77,
			Number:      3,
			ConfigHash:  4,
			GrantorID:   5,
			Demands: []quota.Demand{{
				Name:             "calls",
				Requested:        1.5,
				InUse:            2,
				LeasedShare:      3,
				RemainingSeconds: 0.5,
				GrantNumber:      2,
			}},
		}},
		{HealthReports: []circuitbreaker.Report{{
			Server:      "n1",
			Zone:        "z",
			Incarnation: 5,
			Sequence:    6,
			AgeSeconds:  0.5,
			Tally:       circuitbreaker.Tally{Succeeded: 3, Failed: 1, SuccessSeconds: 0.25},
		}}},
		{QuotaReply: &quota.Reply{
			Incarnation: 77,
			Number:      3,
			GrantorID:   5,
			Grants:      []quota.Grant{{Name: "calls", LeasedShare: 2.5}},
		}},
	}
}
