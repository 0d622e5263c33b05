package replication

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
)

// TestStatus_JSONKeys guards the JSON keys that programs read from the control API.
func TestStatus_JSONKeys(t *testing.T) {
	text, err := json.Marshal(Status{ConfigDigest: 1, IsReplica: true, CatchingUp: 2, OutOfSync: 3,
		CaughtUpByPeers: 4, CaughtUpByTimeout: 5, RepairedRecords: 6, ConflictingResults: 7, Records: 8, Bytes: 9,
		DroppedResults: 10, CorruptedRecords: 11, ActiveClaims: 12, ReplicatedResults: 13, UnreplicatedResults: 14})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Plan":1,"Holder":true,"Cold":2,"Differ":3,"Learned":4,"Aged":5,"Mended":6,"Alarms":7,` +
		`"Records":8,"Bytes":9,"Dropped":10,"Flipped":11,"Claims":12,"Promised":13,"Unpromised":14}`
	if string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}

func TestFaults_ListsFaultsOfEachServer(t *testing.T) {
	statuses := map[string]*Status{
		"n1": {ConfigDigest: 7},
		"n2": {ConfigDigest: 7, CatchingUp: 2, OutOfSync: 3, CorruptedRecords: 1},
		"n3": {ConfigDigest: 8},
	}
	faults, critical := Faults(statuses)
	if critical || len(faults) != 4 {
		t.Errorf("critical %t, want false; got %d faults, want 4: %q", critical, len(faults), faults)
	}
	for _, prefix := range []string{"n2: catching up on 2 slots", "n2: 3 slots", "n2: 1 records", "n3: its members"} {
		if !slices.ContainsFunc(faults, func(fault string) bool { return strings.HasPrefix(fault, prefix) }) {
			t.Errorf("no fault begins with %q, got %q", prefix, faults)
		}
	}
	statuses["n1"].ConflictingResults = 1
	if _, critical := Faults(statuses); !critical {
		t.Error("critical is false with a key that has two results, want true")
	}
}
