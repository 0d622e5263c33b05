package fleet

import (
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

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
	state "swiftcourse/internal/replicastore"
)

func fullReleaseLog() *release.Log {
	o := release.BootstrapLog(&release.Log{}, 7, map[uint64]string{1: "v1", 2: "v2"})
	for _, c := range []release.Command{
		{Kind: release.KindCloseCounters, CounterRows: []release.CounterRow{{ID: 4, Sequence: 2, Cells: countsOf(3)}, {ID: 8}}},
		{Kind: release.KindRegister, Name: "n1", Incarnation: 5}, {Kind: release.KindEject, Name: "n1", Incarnation: 5, Reason: "late", IssuedAt: 3},
		{Kind: release.KindRelease, ExpectedEpoch: o.NewestEpoch(), Text: "a", Digest: release.Digest("a", ""), ID: 9, Author: "x"},
		{Kind: release.KindRelease, ExpectedEpoch: o.NewestEpoch() + 1, Text: "b", Digest: release.Digest("b", ""), Waves: []float64{0.5, 0.9}},
	} {
		if err := o.Apply(&c); err != nil {
			panic(err)
		}
	}
	return o
}

func countsOf(n uint64) []serving.CounterCell {
	return []serving.CounterCell{{}, {CounterKey: serving.CounterKey{Tenant: "acme", Class: "ping"}, RequestCounts: serving.RequestCounts{Received: n, Finished: 1, Rejected: 2, Abandoned: 3}}}
}

// sampleEnvelopes has one message of each kind.
func sampleEnvelopes() []*Envelope {
	o, k := fullReleaseLog(), state.KeyOf("s", "k")
	ran := state.NewFinishedAttempt(state.ClaimID{UnixMilli: -3, Incarnation: 4, Sequence: 5}, []byte("r"))
	account := audit.Account{Name: "n1", Incarnation: 5, Started: 1, LastSeen: 9, DroppedIntervals: 2, Intervals: []audit.Interval{{Index: 2, Epoch: 3, Digest: "d", From: 1, To: 2,
		Batches: 4, Requests: 5, Reason: "released"}}}
	beat := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: new(uint64(5)), To: new(uint64(6)), Term: new(uint64(2))}
	return []*Envelope{
		{Consensus: &consensus.Message{From: 5, Heartbeat: &consensus.Heartbeat{Name: "v1", Incarnation: 5, ClusterID: 7, NewestClusterID: 7, AppliedCount: 3,
			DetachedVoters: map[string]uint64{"v1": 5}, Voters: map[string]uint64{"v2": 2}}}},
		{Consensus: &consensus.Message{From: 5, To: 6, Bootstrap: &consensus.Bootstrap{ClusterID: 7, Voters: map[uint64]string{5: "v1"}, ReleaseLog: o}}},
		{Consensus: &consensus.Message{From: 5, To: 6, RequestReleaseLog: true}},
		{Consensus: &consensus.Message{From: 5, To: 6, ReleaseLog: o}},
		{Consensus: &consensus.Message{From: 5, To: 6, ClusterID: 7, Raft: beat}},
		{LeaseRequest: &lease.Request{Name: "n1", Incarnation: 5, Number: 8, Addr: "127.0.0.1:1", ActiveEpoch: 3, BlockedBy: "s", ErrorTally: release.ErrorTally{Completed: 3, Failed: 1},
			Build: "b", MayGoOutOfService: true}},
		{LeaseReply: &lease.Reply{Incarnation: 5, Number: 8, Verdict: lease.VerdictLagging, Duration: 6, AssignedEpoch: 4, MayGoOutOfService: true, Leader: "v1", Reason: "w"}},
		{VersionRequest: 4}, {Version: &o.Current}, {Command: &release.Command{Kind: release.KindAdvanceRollout, ID: 3, Author: "a", ExpectedEpoch: 4, Waves: []float64{0.5}}},
		{CommandResult: &CommandResult{ID: 3, RejectReason: "no", NewestEpoch: 5}}, {AccountSummary: &account}, {StateRequest: &StateRequest{RequestID: 4, Names: []string{"n1"}, ClusterID: 7, AppliedCount: 9}},
		{StateReply: &StateReply{RequestID: 4, Accounts: []audit.Account{account}, ReleaseLog: o, Servers: []lease.ServerStatus{{Name: "n1", Incarnation: 5, ActiveEpoch: 3, AssignedEpoch: 4,
			SecondsSinceHeard: 1, SecondsBehind: 2, BlockedBy: "s", EjectionReason: "o", Build: "b", Reported: true}},
			Replication: &replication.Status{ConfigDigest: 1, IsReplica: true, CatchingUp: 2, OutOfSync: 3, CaughtUpByPeers: 4, CaughtUpByTimeout: 5, RepairedRecords: 6, ConflictingResults: 7, Records: 8, Bytes: 9, DroppedResults: 10,
				CorruptedRecords: 11, ActiveClaims: 12, ReplicatedResults: 13, UnreplicatedResults: 14}}},
		{ForwarderReport: &loadplan.Report{Name: "f1", Incarnation: 3, Sequence: 4, IntervalSeconds: 0.5, CurrentVersion: loadplan.Version{ClusterID: 1, Term: 2, Sequence: 3}, Demand: []loadplan.TenantRate{{Tenant: "acme", Rate: 2}},
			Workers: []loadplan.WorkerStats{{Name: "w1", Connected: true, InFlight: 1, Finished: 2, Rejected: 3, Lost: 4}}}},
		{PlanShare: &loadplan.Assignment{Version: loadplan.Version{ClusterID: 1, Term: 2, Sequence: 3}, Incarnation: 3, ReportSequence: 4, LeaseSeconds: 2, Weights: []loadplan.WorkerWeight{{Name: "w1", Weight: 0.5}},
			RateLimits: []loadplan.TenantRate{{Rate: 7}}}},
		{CounterReport: &counter.RowReport{Server: "n1", Incarnation: 5, RowID: 6, Sequence: 3, BaseSequence: 2, Closing: true, FrozenSequence: 1, Cells: countsOf(4), Aggregators: []uint64{7, 8}}},
		{CounterAck: &counter.RowAck{RowID: 6, Sequence: 3, Closed: true, Aggregators: []uint64{7}}}, {CounterSyncRequest: &counter.RowQuery{Number: 2, Rows: []counter.RowAck{{RowID: 6, Sequence: 1}}, All: true, After: 7, Aggregators: []uint64{7, 9}}},
		{CounterSyncReply: &counter.RowQueryReply{Number: 2, Recovering: true, More: true, Aggregators: []uint64{1}, Rows: []counter.RowReport{{Server: "n1", Incarnation: 5, RowID: 6, Sequence: 3, Cells: countsOf(4)}}}},
		{ClaimRequest: &replication.ClaimRequest{ConfigDigest: 3, Operation: replication.OpReport, Key: k, Attempt: ran, Terms: []replication.Term{{Number: 4, Incarnation: 5}, {}}}},
		{ClaimReply: &replication.ClaimReply{Key: k, ClaimID: ran.ClaimID, Operation: replication.OpQuery, Status: replication.ReplyConflict, Terms: []replication.Term{{Number: 4, Incarnation: 5}}, Attempts: []state.Attempt{ran}}},
		{PullRequest: &replication.PullRequest{ConfigDigest: 3, Sequence: 2, Term: replication.Term{Number: 4, Incarnation: 5}, Slots: []int{0, 255}, AfterKey: k, Resumes: true}},
		{PullReply: &replication.PullReply{ConfigDigest: 3, Sequence: 2, Term: replication.Term{Number: 4, Incarnation: 5}, RequesterTerm: replication.Term{Number: 1, Incarnation: 2}, Slots: []replication.SlotRecords{{Slot: 7, CaughtUp: true,
			Copies: []replication.RecordCopy{{Record: &state.Record{Key: k, Attempts: []state.Attempt{ran}}, TimeToLive: 2.5}}}, {Slot: 8, Complete: true}}}},
		{Checksums: &replication.Checksums{ConfigDigest: 3, Term: replication.Term{Number: 4, Incarnation: 5}, Slots: []int{9}, Values: []uint64{10}}}, {TrustRequest: true},
		{TrustRecords: []replication.TrustRecord{{Name: "n1", Incarnation: 5, Sequence: 6, Clients: []connlimit.Earned{{Addr: netip.MustParseAddr("10.0.0.1"), Credit: 3}}}}},
		{QuotaRequest: &quota.Request{Incarnation: 77, Number: 3, ConfigHash: 4, GrantorID: 5, Demands: []quota.Demand{{Name: "calls", Requested: 1.5, InUse: 2, LeasedShare: 3, RemainingSeconds: 0.5, GrantNumber: 2}}}},
		{HealthReports: []circuitbreaker.Report{{Server: "n1", Zone: "z", Incarnation: 5, Sequence: 6, AgeSeconds: 0.5, Tally: circuitbreaker.Tally{Succeeded: 3, Failed: 1, SuccessSeconds: 0.25}}}},
		{QuotaReply: &quota.Reply{Incarnation: 77, Number: 3, GrantorID: 5, Grants: []quota.Grant{{Name: "calls", LeasedShare: 2.5}}}},
	}
}

func TestEnvelope_RoundTrip(t *testing.T) {
	for i, m := range sampleEnvelopes() {
		m.From, m.Incarnation = "n9", 77
		b, err := Encode(m)
		if err != nil {
			t.Fatalf("sample %d: %v", i, err)
		}
		back, err := Decode(b)
		if err != nil {
			t.Fatalf("sample %d: %v", i, err)
		}
		if m.Consensus != nil && m.Consensus.Raft != nil {
			if !proto.Equal(m.Consensus.Raft, back.Consensus.Raft) {
				t.Errorf("the library's own message differs: %v", back.Consensus.Raft)
			}
			continue
		}
		if !reflect.DeepEqual(m, back) {
			t.Errorf("sample %d: %+v is not %+v", i, back, m)
		}
	}
}

func TestDecode_RejectsOutOfBounds(t *testing.T) {
	long := strings.Repeat("x", maxName+1)
	many := map[string]uint64{}
	for i := range maxListEntries + 1 {
		many[strings.Repeat("y", i%200)+string(rune('a'+i%26))+strings.Repeat("z", i/200)] = 1
	}
	for i, m := range []*Envelope{
		{From: long, VersionRequest: 3},
		{LeaseRequest: &lease.Request{Name: long}},
		{LeaseRequest: &lease.Request{ErrorTally: release.ErrorTally{Completed: math.NaN()}}},
		{LeaseRequest: &lease.Request{ErrorTally: release.ErrorTally{Completed: 1, Failed: 2}}},
		{LeaseRequest: &lease.Request{ErrorTally: release.ErrorTally{Completed: -1, Failed: -1}}},
		{LeaseReply: &lease.Reply{Duration: math.Inf(1)}},
		{Version: &release.Version{Text: strings.Repeat("t", maxText+1)}},
		{Command: &release.Command{IssuedAt: math.Inf(-1)}},
		{Command: &release.Command{Waves: make([]float64, maxListEntries+1)}},
		{AccountSummary: &audit.Account{Intervals: make([]audit.Interval, maxListEntries+1)}},
		{StateRequest: &StateRequest{Names: make([]string, maxMapEntries+1)}},
		{Consensus: &consensus.Message{Heartbeat: &consensus.Heartbeat{Name: "v", DetachedVoters: many}}},
		{QuotaRequest: &quota.Request{Demands: make([]quota.Demand, quota.MaxEntries+1)}},
		{QuotaRequest: &quota.Request{Demands: []quota.Demand{{Name: "calls", Requested: -1}}}},
		{QuotaRequest: &quota.Request{Demands: []quota.Demand{{Name: long}}}},
		{QuotaReply: &quota.Reply{Grants: []quota.Grant{{Name: "calls", LeasedShare: math.NaN()}}}},
		{HealthReports: make([]circuitbreaker.Report, circuitbreaker.MaxReports+1)},
		{HealthReports: []circuitbreaker.Report{{AgeSeconds: -1}}},
		{Consensus: &consensus.Message{From: 1, To: 2, Raft: &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: new(uint64(9)), To: new(uint64(2))}}},
	} {
		b, err := Encode(m)
		if err != nil {
			t.Fatalf("case %d: %v", i, err)
		}
		if back, err := Decode(b); err == nil {
			t.Errorf("case %d was read: %+v", i, back)
		}
	}
	if _, err := Decode(make([]byte, MaxPacket+1)); err == nil {
		t.Error("a packet over the bound was read")
	}
	if _, err := Encode(&Envelope{}); err == nil {
		t.Error("a message that says nothing was written")
	}
}

// FuzzDecode: any bytes are refused or read as something that can be written again.
func FuzzDecode(f *testing.F) {
	for _, m := range sampleEnvelopes() {
		b, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatalf("%+v was read and can't be written: %v", m, err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("%+v was read, and not again: %v", m, err)
		}
	})
}
