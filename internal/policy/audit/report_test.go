package audit

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

// testLog returns a release log with three registered servers.
func testLog(t *testing.T) *release.Log {
	t.Helper()
	log := release.BootstrapLog(&release.Log{}, 7, nil)
	for index, name := range []string{"n1", "n2", "n3"} {
		register := release.Command{Kind: release.KindRegister, Name: name, Incarnation: uint64(index + 1)}
		if err := log.Apply(&register); err != nil {
			t.Fatalf("register %s: error %v, want nil", name, err)
		}
	}
	return log
}

func testAccount(name string, incarnation uint64, started float64, intervals ...Interval) Account {
	return Account{
		Name:        name,
		Incarnation: incarnation,
		Started:     started,
		LastSeen:    started + 10,
		Intervals:   intervals,
	}
}

func TestNewReport_GapsAndLaggingServers(t *testing.T) {
	log := testLog(t)
	epoch := log.Current.Epoch
	interval := Interval{Epoch: epoch, Digest: log.Current.Digest, From: 1, To: 2}
	report := NewReport(Evidence{
		Log: log,
		Servers: []lease.ServerStatus{
			{Name: "n1", Incarnation: 1, ActiveEpoch: epoch, AssignedEpoch: epoch, Reported: true},
			{Name: "n2", Incarnation: 2, AssignedEpoch: epoch, Reported: true, BlockedBy: "its limits"},
			{Name: "n3", Incarnation: 3, AssignedEpoch: epoch},
		},
		Accounts: []Account{
			testAccount("n1", 1, 100, interval),
			testAccount("n1", 9, 50, interval),
			testAccount("n2", 2, 0),
		},
		Responding: map[uint64]bool{1: true, 2: true},
	}, 0)

	if len(report.Alarms) != 0 || len(report.Accounts) != 3 || report.Accounts[0].Incarnation != 9 {
		t.Errorf("report %+v, want no alarms and 3 accounts, the first of incarnation 9", report)
	}
	want := []Gap{
		{Name: "n1", Incarnation: 9, From: 60, To: 100, Reason: "nothing was heard of it after this"},
		{Name: "n3", Incarnation: 3, Reason: "nobody who answered has its account"},
	}
	if !reflect.DeepEqual(report.Gaps, want) {
		t.Errorf("gaps %+v, want %+v", report.Gaps, want)
	}
	var reasons []string
	for _, lagging := range report.Lagging {
		reasons = append(reasons, lagging.Reason)
	}
	wantReasons := []string{"its limits", "not heard since this leader leads"}
	if !reflect.DeepEqual(reasons, wantReasons) {
		t.Errorf("lagging %+v, want reasons %q", report.Lagging, wantReasons)
	}
}

func TestNewReport_AlarmOnTwoDigestsForOneEpoch(t *testing.T) {
	log := testLog(t)
	interval := Interval{Epoch: log.Current.Epoch, Digest: log.Current.Digest, From: 1, To: 2}
	conflicting := interval
	conflicting.Digest = "another"
	report := NewReport(Evidence{
		Log:      log,
		Servers:  []lease.ServerStatus{{Name: "n1", Incarnation: 1}},
		Accounts: []Account{testAccount("n1", 1, 0, interval), testAccount("n2", 2, 0, conflicting)},
	}, 0)
	if len(report.Alarms) != 1 || !strings.Contains(report.Alarms[0], log.Current.Epoch.String()) {
		t.Errorf("alarms %q, want one that names epoch %s", report.Alarms, log.Current.Epoch)
	}
}

func TestNewReport_OmitsIntervalsBeforeSince(t *testing.T) {
	log := testLog(t)
	interval := Interval{Epoch: log.Current.Epoch, Digest: log.Current.Digest, From: 1, To: 2}
	evidence := Evidence{Log: log, Accounts: []Account{testAccount("n1", 1, 0, interval)}}
	report := NewReport(evidence, log.Current.Epoch+1)
	if len(report.Accounts[0].Intervals) != 0 {
		t.Errorf("account %+v, want no intervals", report.Accounts[0])
	}
}

// The keys of the control API must not change; they differ from the names of the Go fields.
func TestReport_JSONKeys(t *testing.T) {
	report := Report{
		Accounts: []Account{{Intervals: []Interval{{}}}},
		Lagging:  []LaggingServer{{}},
		Gaps:     []Gap{{}},
	}
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatalf("encode the report: error %v, want nil", err)
	}
	const want = `{"Newest":0,` +
		`"Accounts":[{"Name":"","Life":0,"Started":0,"Seen":0,"Dropped":0,` +
		`"Intervals":[{"N":0,"Epoch":0,"Digest":"","From":0,"To":0,"Batches":0,"Tasks":0,"Why":""}]}],` +
		`"Behind":[{"Name":"","Life":0,"On":0,"Right":0,"For":0,"Why":"","Absent":0}],` +
		`"Holes":[{"Name":"","Life":0,"From":0,"To":0,"Why":""}],"Alarms":null}`
	if string(text) != want {
		t.Errorf("got %s\nwant %s", text, want)
	}
}
