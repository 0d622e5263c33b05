package counter

import (
	"encoding/json"
	"testing"

	"swiftcourse/internal/policy/serving"
)

// TestControlAPI_Keys guards the JSON keys that clients of the control API read.
func TestControlAPI_Keys(t *testing.T) {
	summary := Summary{
		Total:                []serving.CounterCell{received("acme", "ping", 1)},
		LastMinute:           []serving.CounterCell{},
		OpenRows:             2,
		LateReports:          []LateReport{{Server: "a", SilentSeconds: 3, RequestsPerSecond: 4}},
		EstimatedMissing:     5,
		Recovering:           true,
		IncompleteRecoveries: 6,
		RejectedReports:      7,
	}
	want := `{"Total":[{"Tenant":"acme","Stage":"ping","Asked":1,"Finished":0,"Rejected":0,"Abandoned":0}],` +
		`"Minute":[],"Rows":2,"Late":[{"Name":"a","Silent":3,"Rate":4}],"Lacks":5,"Cold":true,"Holes":6,"Refused":7}`
	got, err := json.Marshal(summary)
	if err != nil || string(got) != want {
		t.Errorf("json.Marshal() = %s, %v, want %s, nil", got, err, want)
	}
}
