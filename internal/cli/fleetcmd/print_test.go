package fleetcmd

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"swiftcourse/internal/cli"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
)

// requireOutput requires the lines of the output, without trailing spaces, to be equal to want.
func requireOutput(t *testing.T, output string, want ...string) {
	t.Helper()
	var lines []string
	for line := range strings.Lines(output) {
		lines = append(lines, strings.TrimRight(line, " \n"))
	}
	if !slices.Equal(lines, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(lines, "\n"), strings.Join(want, "\n"))
	}
}

func TestPrintStatus_ServerNotes(t *testing.T) {
	epoch := release.NewEpoch(1, 2)
	status := &fleet.Status{
		Name:        "n1",
		Incarnation: 0x1f,
		LeaseState:  "acting",
		ActiveEpoch: epoch,
		Leader:      "n2",
		ReleaseLog:  &release.Log{},
		Audit:       audit.Report{NewestEpoch: epoch},
		Servers: []lease.ServerStatus{
			{Name: "n1", Incarnation: 0x1f, SecondsSinceRequest: 0.5, Build: "b", Reported: true},
			{Name: "n2", Incarnation: 0x2f, EjectionReason: "by hand", LaggingSeconds: 9},
			{Name: "n3", Incarnation: 0x3f, LaggingSeconds: 3, BlockedBy: "its limits"},
			{Name: "n4", Incarnation: 0x4f},
		},
	}
	for i := range status.Servers {
		status.Servers[i].ActiveEpoch = epoch
		status.Servers[i].AssignedEpoch = release.NewEpoch(1, 3)
	}
	var out strings.Builder
	if err := printStatus(&out, status); err != nil {
		t.Fatal(err)
	}
	requireOutput(t, out.String(),
		"n1 (incarnation 1f): lease state acting, active epoch 1.2, newest epoch 1.2, leader n2",
		"server  incarnation  active  assigned  heard s ago  build  note",
		"n1      1f           1.2     1.3       0.5          b",
		"n2      2f           1.2     1.3       0.0                 ejected: by hand",
		"n3      3f           1.2     1.3       0.0                 lagging for 3.0 s its limits",
		"n4      4f           1.2     1.3       0.0                 not heard",
	)
}

func TestPrintAudit_IntervalsLaggingServersAndGaps(t *testing.T) {
	epoch := release.NewEpoch(1, 2)
	result := &audit.Report{
		Accounts: []audit.Account{{
			Name:        "n1",
			Incarnation: 0x1f,
			Intervals: []audit.Interval{
				{Epoch: epoch, Digest: "0123456789abcdef", From: 1, Batches: 4, Requests: 5, Reason: "released"},
			},
		}},
		Lagging: []audit.LaggingServer{
			{
				Name:          "n2",
				Incarnation:   0x2f,
				ActiveEpoch:   epoch,
				AssignedEpoch: epoch,
				LagSeconds:    1,
				SilentSeconds: 2,
				Reason:        "silent",
			},
		},
		Gaps: []audit.Gap{{Name: "n3", Incarnation: 0x3f, From: 1.5, To: 2, Reason: "lost"}},
	}
	var out strings.Builder
	if err := printAudit(&out, result); err != nil {
		t.Fatal(err)
	}
	requireOutput(t, out.String(),
		"server  incarnation  epoch  digest        from (own clock)         to  batches  requests  reason",
		"n1      1f           1.2    0123456789ab  1970-01-01T00:00:01.000  ?   4        5         released",
		"lagging: n2 (incarnation 2f) on 1.2, assigned 1.2, for 2.0 s: silent",
		"gap: n3 (incarnation 3f) from 1970-01-01T00:00:01.500 to 1970-01-01T00:00:02.000: lost",
	)
}

func TestPrintReplicas_FaultsAfterTable(t *testing.T) {
	result := &replicaReport{
		Faults: []string{"n2: two results"},
		Servers: map[string]*replication.Status{
			"n2": {
				IsReplica:           true,
				CatchingUp:          1,
				OutOfSync:           2,
				CaughtUpByPeers:     3,
				CaughtUpByTimeout:   4,
				RepairedRecords:     5,
				Records:             6,
				Bytes:               7 << 10,
				DroppedResults:      8,
				ActiveClaims:        9,
				ReplicatedResults:   10,
				UnreplicatedResults: 11,
			},
			"n1": {},
		},
	}
	var out strings.Builder
	if err := printReplicas(&out, result); err != nil {
		t.Fatal(err)
	}
	requireOutput(t, out.String(),
		"server  replica  catching up  out of sync  caught up by peers  by timeout  repaired  "+
			"records  KB  dropped  claims  replicated  unreplicated",
		"n1      false    0            0            0                   0           0         "+
			"0        0   0        0       0           0",
		"n2      true     1            2            3                   4           5         "+
			"6        7   8        9       10          11",
		"n2: two results",
	)
}

func TestPrintQuotas(t *testing.T) {
	held := []quota.Allowance{{Name: "calls", Floor: 1, LeasedShare: 2.5, LeaseExpiry: 14}}
	granted := []quota.LimitStatus{
		{Name: "calls", Max: 9, Leased: 3, Pool: 8, Wanted: 4, Servers: 5},
		{Name: "tenant/a", PriorLeasesExpired: true},
	}
	for _, c := range []struct {
		name   string
		status fleet.QuotaStatus
		want   []string
	}{
		{"a holder names the leader", fleet.QuotaStatus{Now: 10, Leader: "n2", Held: held}, []string{
			"held here  floor  leased  for s",
			"calls      1.00   2.50    4.0",
			"all grants are known to the leader, n2",
		}},
		{"grants at the leader", fleet.QuotaStatus{Now: 10, IsLeader: true, Held: held, Granted: granted}, []string{
			"held here               floor  leased  for s",
			"calls                   1.00   2.50    4.0",
			"granted by this server  quota  leased  pool  demand  servers  note",
			"calls                   9.00   3.00    8.00  4.00    5        " +
				"leases of the leader before may not have expired: no share grows",
			"tenant/a                0.00   0.00    0.00  0.00    0",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			if err := printQuotas(&out, &c.status); err != nil {
				t.Fatal(err)
			}
			requireOutput(t, out.String(), c.want...)
		})
	}
}

// testCells are the counters of two tenants.
var testCells = []serving.CounterCell{
	{
		CounterKey:    serving.CounterKey{Tenant: "a", Class: "pay"},
		RequestCounts: serving.RequestCounts{Received: 10, Finished: 4, Rejected: 2, Abandoned: 1},
	},
	{
		CounterKey:    serving.CounterKey{Tenant: "b", Class: "pay"},
		RequestCounts: serving.RequestCounts{Received: 1, Finished: 2},
	},
}

func TestPrintCounters_SingleServer(t *testing.T) {
	status := &fleet.CounterStatus{CurrentRow: testCells, Aggregators: []string{"n1", "n2"}}
	var out strings.Builder
	if err := printCounters(&out, status); err != nil {
		t.Fatal(err)
	}
	requireOutput(t, out.String(),
		"tenant  class  received  finished  rejected  abandoned  open or cancelled  a second, lately",
		"a       pay    10        4         2         1          3                  0.0",
		"b       pay    1         2         0         0          -1                 0.0",
		"        all    11        6         2         1          2                  0.0",
		"counted by this server since its start",
		"the counters of all servers are known to n1, n2",
	)
}

func TestPrintCounters_Fleet(t *testing.T) {
	status := &fleet.CounterStatus{Totals: &counter.Summary{
		Total: testCells,
		LastMinute: []serving.CounterCell{
			{CounterKey: testCells[0].CounterKey, RequestCounts: serving.RequestCounts{Received: 60}},
			{CounterKey: testCells[1].CounterKey, RequestCounts: serving.RequestCounts{Received: 30}},
		},
		OpenRows:             3,
		EstimatedMissing:     7,
		LateReports:          []counter.LateReport{{Server: "n3", SilentSeconds: 5, RequestsPerSecond: 1.5}},
		Recovering:           true,
		IncompleteRecoveries: 2,
		RejectedReports:      4,
	}}
	var out strings.Builder
	if err := printCounters(&out, status); err != nil {
		t.Fatal(err)
	}
	requireOutput(t, out.String(),
		"tenant  class  received  finished  rejected  abandoned  open or cancelled  a second, lately",
		"a       pay    10        4         2         1          3                  1.0",
		"b       pay    1         2         0         0          -1                 0.5",
		"        all    11        6         2         1          2                  1.5",
		"counted by all servers since the fleet was bootstrapped",
		"3 incarnations report; about 7 requests may have come since their last reports",
		"n3 has not reported for 5 s; it received 1.5 requests a second",
		"this aggregator is recovering, and may not know all that the others know",
		"2 times it started without enough others to recover from: "+
			"counters of servers that were gone by then may be missing",
		"4 reports could not be true, and were rejected",
	)
}

func TestPrintPlanner_OverCapacity(t *testing.T) {
	version := loadplan.Version{ClusterID: 1, Term: 2, Sequence: 3}
	planner := &loadplan.Status{
		Version:        version,
		Forwarders:     []loadplan.ForwarderStatus{{Name: "f1", ReportAgeSeconds: 0.2, Demand: 50, Version: version}},
		Workers:        []loadplan.WorkerStatus{{Name: "w1", Capacity: 40, LastConnectedAgeSeconds: 0.1}},
		AdmittedRate:   40,
		Fallbacks:      5,
		InvalidReports: 6,
	}
	var out strings.Builder
	if err := printPlanner(&out, "p1", planner); err != nil {
		t.Fatal(err)
	}
	requireOutput(t, out.String(),
		"forwarder  heard s ago  demand a second    plan",
		"f1         0.2          50.0               1.2.3",
		"worker     seen s ago   capacity a second",
		"w1         0.1          40.0",
		"demand is over the workers' capacity: 40.0 requests a second are admitted",
		"p1 leads the planners, its plan is 1.2.3; 5 plans by the fallback, 6 reports rejected",
	)
}

func TestPrintCurrentPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		status fleet.LoadPlanStatus
		want   []string
	}{
		{"no plan", fleet.LoadPlanStatus{Leader: "p1"}, []string{"the planners' leader is p1"}},
		{"a plan", fleet.LoadPlanStatus{
			Name:                "f1",
			Leader:              "p1",
			Current:             loadplan.Version{ClusterID: 1, Term: 2, Sequence: 3},
			FreshSeconds:        -1.5,
			RejectedAssignments: 2,
		}, []string{"f1 follows plan 1.2.3, fresh for -1.5 s; 2 assignments were stale", "the planners' leader is p1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out strings.Builder
			if err := printCurrentPlan(&out, &c.status); err != nil {
				t.Fatal(err)
			}
			requireOutput(t, out.String(), c.want...)
		})
	}
}

func TestRaiseAlarms_ReturnsErrAlarm(t *testing.T) {
	var alarms strings.Builder
	s := &session{alarms: &alarms}
	if err := s.raiseAlarms(&fleet.Status{}); err != nil {
		t.Errorf("error %v without an alarm, want none", err)
	}
	err := s.raiseAlarms(&fleet.Status{Audit: audit.Report{Alarms: []string{"two digests"}}})
	if !errors.Is(err, cli.ErrAlarm) {
		t.Errorf("error %v, want ErrAlarm", err)
	}
	requireOutput(t, alarms.String(), "ALARM: two digests")
}

var errBroken = errors.New("broken pipe")

// brokenWriter is an output on which every write fails.
type brokenWriter struct{}

func (brokenWriter) Write([]byte) (int, error) { return 0, errBroken }

func TestPrint_ReturnsWriteError(t *testing.T) {
	for _, c := range []struct {
		name  string
		print func(out io.Writer) error
	}{
		{"lines", func(out io.Writer) error { return printCurrentPlan(out, &fleet.LoadPlanStatus{}) }},
		{"a table", func(out io.Writer) error { return printQuotas(out, &fleet.QuotaStatus{IsLeader: true}) }},
		{"JSON", func(out io.Writer) error { return writeIndentedJSON(out, 1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := c.print(brokenWriter{}); !errors.Is(err, errBroken) {
				t.Errorf("error %v, want %v", err, errBroken)
			}
		})
	}
}

func TestParseWaves(t *testing.T) {
	waves, err := parseWaves([]string{"1%", "12.5%", "100%"})
	if err != nil || !slices.Equal(waves, []float64{0.01, 0.125}) {
		t.Errorf("waves %v, error %v; want [0.01 0.125], no error", waves, err)
	}
	for _, text := range []string{"1", "%", "half%"} {
		var flagError *FlagError
		if _, err := parseWaves([]string{text}); !errors.As(err, &flagError) || flagError.Value != text {
			t.Errorf("error %v, want a *FlagError with the value %q", err, text)
		}
	}
}
