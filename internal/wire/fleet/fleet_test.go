package fleet

import (
	"math"
	"net/netip"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/judge/audit"
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/judge/member"
	"swiftcourse/internal/judge/plan"
	"swiftcourse/internal/judge/replica"
	"swiftcourse/internal/judge/shared/budget"
	"swiftcourse/internal/judge/shared/counts"
	"swiftcourse/internal/judge/shared/health"
	"swiftcourse/internal/judge/stance"
	"swiftcourse/internal/judge/version"
	state "swiftcourse/internal/replica"
)

func fullOrder() *version.Log {
	o := version.BootstrapLog(&version.Log{}, 7, map[uint64]string{1: "v1", 2: "v2"})
	for _, c := range []version.Command{
		{Kind: version.KindCloseCounters, CounterRows: []version.CounterRow{{ID: 4, Sequence: 2, Cells: countsOf(3)}, {ID: 8}}},
		{Kind: version.KindRegister, Name: "n1", Incarnation: 5}, {Kind: version.KindEject, Name: "n1", Incarnation: 5, Reason: "late", IssuedAt: 3},
		{Kind: version.KindRelease, ExpectedEpoch: o.NewestEpoch(), Text: "a", Digest: version.Digest("a", ""), ID: 9, Author: "x"},
		{Kind: version.KindRelease, ExpectedEpoch: o.NewestEpoch() + 1, Text: "b", Digest: version.Digest("b", ""), Waves: []float64{0.5, 0.9}},
	} {
		if err := o.Apply(&c); err != nil {
			panic(err)
		}
	}
	return o
}

func countsOf(n uint64) []stance.CounterCell {
	return []stance.CounterCell{{}, {CounterKey: stance.CounterKey{Tenant: "acme", Class: "ping"}, RequestCounts: stance.RequestCounts{Received: n, Finished: 1, Rejected: 2, Abandoned: 3}}}
}

// samples has one message of each kind.
func samples() []*Message {
	o, k := fullOrder(), state.KeyOf("s", "k")
	ran := state.NewFinishedAttempt(state.ClaimID{UnixMilli: -3, Incarnation: 4, Sequence: 5}, []byte("r"))
	account := audit.Account{Name: "n1", Life: 5, Started: 1, Seen: 9, Dropped: 2, Intervals: []audit.Interval{{N: 2, Epoch: 3, Digest: "d", From: 1, To: 2,
		Batches: 4, Tasks: 5, Why: "released"}}}
	beat := &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: new(uint64(5)), To: new(uint64(6)), Term: new(uint64(2))}
	return []*Message{
		{Voting: &version.Message{From: 5, Heartbeat: &version.Heartbeat{Name: "v1", Incarnation: 5, ClusterID: 7, NewestClusterID: 7, AppliedCount: 3,
			DetachedVoters: map[string]uint64{"v1": 5}, Voters: map[string]uint64{"v2": 2}}}},
		{Voting: &version.Message{From: 5, To: 6, Bootstrap: &version.Bootstrap{ClusterID: 7, Voters: map[uint64]string{5: "v1"}, ReleaseLog: o}}},
		{Voting: &version.Message{From: 5, To: 6, RequestReleaseLog: true}},
		{Voting: &version.Message{From: 5, To: 6, ReleaseLog: o}},
		{Voting: &version.Message{From: 5, To: 6, ClusterID: 7, Raft: beat}},
		{Question: &member.Request{Name: "n1", Incarnation: 5, Number: 8, Addr: "127.0.0.1:1", ActiveEpoch: 3, BlockedBy: "s", ErrorTally: version.ErrorTally{Completed: 3, Failed: 1},
			Build: "b", MayGoOutOfService: true}},
		{Answer: &member.Reply{Incarnation: 5, Number: 8, Verdict: member.VerdictLagging, Duration: 6, AssignedEpoch: 4, MayGoOutOfService: true, Leader: "v1", Reason: "w"}},
		{Want: 4}, {Version: &o.Current}, {Do: &version.Command{Kind: version.KindAdvanceRollout, ID: 3, Author: "a", ExpectedEpoch: 4, Waves: []float64{0.5}}},
		{Done: &Done{ID: 3, Refused: "no", Newest: 5}}, {Brief: &account}, {Ask: &Ask{Number: 4, Names: []string{"n1"}, Founding: 7, Count: 9}},
		{Told: &Told{Number: 4, Accounts: []audit.Account{account}, Order: o, Standings: []member.ServerStatus{{Name: "n1", Incarnation: 5, ActiveEpoch: 3, AssignedEpoch: 4,
			SecondsSinceHeard: 1, SecondsBehind: 2, BlockedBy: "s", EjectionReason: "o", Build: "b", Reported: true}},
			Copies: &replica.Status{ConfigDigest: 1, IsReplica: true, CatchingUp: 2, OutOfSync: 3, CaughtUpByPeers: 4, CaughtUpByTimeout: 5, RepairedRecords: 6, ConflictingResults: 7, Records: 8, Bytes: 9, DroppedResults: 10,
				CorruptedRecords: 11, ActiveClaims: 12, ReplicatedResults: 13, UnreplicatedResults: 14}}},
		{PlanReport: &plan.Report{Name: "f1", Life: 3, Number: 4, For: 0.5, Holds: plan.Number{Founding: 1, Term: 2, Seq: 3}, Demand: []plan.Demand{{Tenant: "acme", Rate: 2}},
			Workers: []plan.Seen{{Name: "w1", Linked: true, Open: 1, Finished: 2, Rejected: 3, Lost: 4}}}},
		{PlanPart: &plan.Part{Number: plan.Number{Founding: 1, Term: 2, Seq: 3}, For: 3, Answers: 4, Lease: 2, Weights: []plan.Weight{{Name: "w1", Part: 0.5}},
			Rates: []plan.Demand{{Rate: 7}}}},
		{Row: &counts.RowReport{Server: "n1", Incarnation: 5, RowID: 6, Sequence: 3, BaseSequence: 2, Closing: true, FrozenSequence: 1, Cells: countsOf(4), Aggregators: []uint64{7, 8}}},
		{RowHeard: &counts.RowAck{RowID: 6, Sequence: 3, Closed: true, Aggregators: []uint64{7}}}, {AskRows: &counts.RowQuery{Number: 2, Rows: []counts.RowAck{{RowID: 6, Sequence: 1}}, All: true, After: 7, Aggregators: []uint64{7, 9}}},
		{Rows: &counts.RowQueryReply{Number: 2, Recovering: true, More: true, Aggregators: []uint64{1}, Rows: []counts.RowReport{{Server: "n1", Incarnation: 5, RowID: 6, Sequence: 3, Cells: countsOf(4)}}}},
		{Claiming: &replica.ClaimRequest{ConfigDigest: 3, Operation: replica.OpReport, Key: k, Attempt: ran, Terms: []replica.Term{{Number: 4, Incarnation: 5}, {}}}},
		{Claimed: &replica.ClaimReply{Key: k, ClaimID: ran.ClaimID, Operation: replica.OpQuery, Status: replica.ReplyConflict, Terms: []replica.Term{{Number: 4, Incarnation: 5}}, Attempts: []state.Attempt{ran}}},
		{Pull: &replica.PullRequest{ConfigDigest: 3, Sequence: 2, Term: replica.Term{Number: 4, Incarnation: 5}, Slots: []int{0, 255}, AfterKey: k, Resumes: true}},
		{Slice: &replica.PullReply{ConfigDigest: 3, Sequence: 2, Term: replica.Term{Number: 4, Incarnation: 5}, RequesterTerm: replica.Term{Number: 1, Incarnation: 2}, Slots: []replica.SlotRecords{{Slot: 7, CaughtUp: true,
			Copies: []replica.RecordCopy{{Record: &state.Record{Key: k, Attempts: []state.Attempt{ran}}, TimeToLive: 2.5}}}, {Slot: 8, Complete: true}}}},
		{Sums: &replica.Checksums{ConfigDigest: 3, Term: replica.Term{Number: 4, Incarnation: 5}, Slots: []int{9}, Values: []uint64{10}}}, {AskCallers: true},
		{Vouchers: []replica.TrustRecord{{Name: "n1", Incarnation: 5, Sequence: 6, Clients: []door.Earned{{Addr: netip.MustParseAddr("10.0.0.1"), Credit: 3}}}}},
		{Wishes: &budget.Request{Incarnation: 77, Number: 3, ConfigHash: 4, GrantorID: 5, Demands: []budget.Demand{{Name: "calls", Requested: 1.5, InUse: 2, LeasedShare: 3, RemainingSeconds: 0.5, GrantNumber: 2}}}},
		{Health: []health.Report{{Server: "n1", Zone: "z", Incarnation: 5, Sequence: 6, AgeSeconds: 0.5, Tally: health.Tally{Succeeded: 3, Failed: 1, SuccessSeconds: 0.25}}}},
		{Grants: &budget.Reply{Incarnation: 77, Number: 3, GrantorID: 5, Grants: []budget.Grant{{Name: "calls", LeasedShare: 2.5}}}},
	}
}

func TestEveryKindComesBackAsItWent(t *testing.T) {
	for i, m := range samples() {
		m.From, m.Life = "n9", 77
		b, err := Put(m)
		if err != nil {
			t.Fatalf("sample %d: %v", i, err)
		}
		back, err := Read(b)
		if err != nil {
			t.Fatalf("sample %d: %v", i, err)
		}
		if m.Voting != nil && m.Voting.Raft != nil {
			if !proto.Equal(m.Voting.Raft, back.Voting.Raft) {
				t.Errorf("the library's own message differs: %v", back.Voting.Raft)
			}
			continue
		}
		if !reflect.DeepEqual(m, back) {
			t.Errorf("sample %d: %+v is not %+v", i, back, m)
		}
	}
}

func TestWhatIsOverItsBoundsIsRefused(t *testing.T) {
	long := strings.Repeat("x", maxWord+1)
	many := map[string]uint64{}
	for i := range maxShortList + 1 {
		many[strings.Repeat("y", i%200)+string(rune('a'+i%26))+strings.Repeat("z", i/200)] = 1
	}
	for i, m := range []*Message{
		{From: long, Want: 3},
		{Question: &member.Request{Name: long}},
		{Question: &member.Request{ErrorTally: version.ErrorTally{Completed: math.NaN()}}},
		{Question: &member.Request{ErrorTally: version.ErrorTally{Completed: 1, Failed: 2}}},
		{Question: &member.Request{ErrorTally: version.ErrorTally{Completed: -1, Failed: -1}}},
		{Answer: &member.Reply{Duration: math.Inf(1)}},
		{Version: &version.Version{Text: strings.Repeat("t", maxText+1)}},
		{Do: &version.Command{IssuedAt: math.Inf(-1)}},
		{Do: &version.Command{Waves: make([]float64, maxShortList+1)}},
		{Brief: &audit.Account{Intervals: make([]audit.Interval, maxShortList+1)}},
		{Ask: &Ask{Names: make([]string, maxLongList+1)}},
		{Voting: &version.Message{Heartbeat: &version.Heartbeat{Name: "v", DetachedVoters: many}}},
		{Wishes: &budget.Request{Demands: make([]budget.Demand, budget.MaxEntries+1)}},
		{Wishes: &budget.Request{Demands: []budget.Demand{{Name: "calls", Requested: -1}}}},
		{Wishes: &budget.Request{Demands: []budget.Demand{{Name: long}}}},
		{Grants: &budget.Reply{Grants: []budget.Grant{{Name: "calls", LeasedShare: math.NaN()}}}},
		{Health: make([]health.Report, health.MaxReports+1)},
		{Health: []health.Report{{AgeSeconds: -1}}},
		{Voting: &version.Message{From: 1, To: 2, Raft: &raftpb.Message{Type: raftpb.MsgHeartbeat.Enum(), From: new(uint64(9)), To: new(uint64(2))}}},
	} {
		b, err := Put(m)
		if err != nil {
			t.Fatalf("case %d: %v", i, err)
		}
		if back, err := Read(b); err == nil {
			t.Errorf("case %d was read: %+v", i, back)
		}
	}
	if _, err := Read(make([]byte, MaxPacket+1)); err == nil {
		t.Error("a packet over the bound was read")
	}
	if _, err := Put(&Message{}); err == nil {
		t.Error("a message that says nothing was written")
	}
}

// FuzzRead: any bytes are refused or read as something that can be written again.
func FuzzRead(f *testing.F) {
	for _, m := range samples() {
		b, err := Put(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Read(b)
		if err != nil {
			return
		}
		again, err := Put(m)
		if err != nil {
			t.Fatalf("%+v was read and can't be written: %v", m, err)
		}
		if _, err := Read(again); err != nil {
			t.Fatalf("%+v was read, and not again: %v", m, err)
		}
	})
}
