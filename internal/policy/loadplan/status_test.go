package loadplan

import (
	"encoding/json"
	"testing"
)

// The JSON keys differ from the Go field names. Clients of the control API depend on the keys, so
// renaming a field must not change them.
func TestStatus_JSONKeys(t *testing.T) {
	earlier := Version{ClusterID: 1, Term: 2, Sequence: 2}
	status := Status{
		Version:        Version{ClusterID: 1, Term: 2, Sequence: 3},
		Forwarders:     []ForwarderStatus{{Name: "f1", ReportAgeSeconds: 0.25, Demand: 10, Version: earlier}},
		Workers:        []WorkerStatus{{Name: "w1", Capacity: 4, LastConnectedAgeSeconds: 0.5}},
		AdmittedRate:   6,
		Fallbacks:      7,
		InvalidReports: 8,
	}
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Number":{"Founding":1,"Term":2,"Seq":3},` +
		`"Forwarders":[{"Name":"f1","Heard":0.25,"Demand":10,"Holds":{"Founding":1,"Term":2,"Seq":2}}],` +
		`"Workers":[{"Name":"w1","Can":4,"Seen":0.5}],` +
		`"Bound":6,"Fallbacks":7,"Refused":8}`
	if string(text) != want {
		t.Errorf("status JSON is %s\nwant %s", text, want)
	}
}
