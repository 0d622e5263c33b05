package release

import (
	"encoding/json"
	"testing"

	"swiftcourse/internal/policy/serving"
)

// The control API encodes logs and decodes commands with the keys below. They must not change; some
// differ from the names of the Go fields.

const (
	versionJSON = `{"Epoch":1,"Digest":"d","Author":"a","At":2,"Text":"t","Build":"b"}`
	cellsJSON   = `[{"Tenant":"x","Stage":"y","Asked":1,"Finished":2,"Rejected":3,"Abandoned":4}]`
)

// counterCells returns the cells of cellsJSON.
func counterCells() []serving.CounterCell {
	return []serving.CounterCell{{
		CounterKey:    serving.CounterKey{Tenant: "x", Class: "y"},
		RequestCounts: serving.RequestCounts{Received: 1, Finished: 2, Rejected: 3, Abandoned: 4},
	}}
}

func checkJSON(t *testing.T, value any, want string) {
	t.Helper()
	got, err := json.Marshal(value)
	if err != nil || string(got) != want {
		t.Errorf("got error %v and\n%s\nwant\n%s", err, got, want)
	}
}

func TestLog_JSONKeys(t *testing.T) {
	version := Version{Epoch: 1, Digest: "d", Author: "a", ReleasedAt: 2, Text: "t", Build: "b"}
	ejection := Ejection{Incarnation: 9, Author: "a", Reason: "r", Epoch: 10, EjectedAt: 11}
	log := &Log{
		AppliedCount:   3,
		Current:        version,
		Previous:       &version,
		Next:           &version,
		Waves:          []float64{0.5},
		WaveIndex:      4,
		WaveLimit:      5,
		History:        []HistoryEntry{{Epoch: 6, Digest: "d", Author: "a", ReleasedAt: 7, Outcome: "o"}},
		Members:        map[string]uint64{"n": 8},
		Ejected:        map[string]Ejection{"n": ejection},
		LastCommandIDs: map[string]uint64{"a": 12},
		Voters:         map[uint64]string{13: "v"},
		ClosedRows:     []CounterRow{{ID: 14, Sequence: 15}},
		ClosedTotals:   counterCells(),
	}
	checkJSON(t, log, `{"Count":3,"Base":`+versionJSON+`,"Prior":`+versionJSON+`,"Next":`+versionJSON+
		`,"Waves":[0.5],"Wave":4,"Upto":5,`+
		`"Past":[{"Epoch":6,"Digest":"d","Author":"a","At":7,"Fate":"o"}],"Holds":{"n":8},`+
		`"Out":{"n":{"Life":9,"By":"a","Why":"r","On":10,"At":11}},"Done":{"a":12},"Seats":{"13":"v"},`+
		`"Over":[{"Row":14,"Number":15,"Cells":null}],"Sums":`+cellsJSON+`}`)
}

func TestCommand_JSONKeys(t *testing.T) {
	command := &Command{
		Kind:          KindCloseCounters,
		ID:            1,
		Author:        "a",
		IssuedAt:      2,
		ExpectedEpoch: 3,
		Text:          "t",
		Build:         "b",
		Digest:        "d",
		Waves:         []float64{0.5},
		Name:          "n",
		Incarnation:   4,
		Previous:      5,
		Reason:        "r",
		CounterRows:   []CounterRow{{ID: 6, Sequence: 7, Cells: counterCells()}},
	}
	checkJSON(t, command, `{"Kind":8,"ID":1,"Author":"a","At":2,"On":3,"Text":"t","Build":"b","Digest":"d",`+
		`"Waves":[0.5],"Name":"n","Life":4,"Was":5,"Why":"r",`+
		`"Rows":[{"Row":6,"Number":7,"Cells":`+cellsJSON+`}]}`)
}
