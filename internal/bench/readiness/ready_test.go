package readiness

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestWhoIsLateIsWaitedFor: no server is ready before its processor is there, nor listed before its roster is; and all are in the end.
func TestWhoIsLateIsWaitedFor(t *testing.T) {
	program := filepath.Join(t.TempDir(), "swiftcourse")
	if said, err := exec.Command("go", "build", "-o", program, "swiftcourse/cmd/swiftcourse").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, said)
	}
	const late = 300 * time.Millisecond
	plan := &Plan{Program: program, Servers: 3, Rounds: 1, Delay: late, Progress: io.Discard}
	rows, err := plan.Run(context.Background())
	if err != nil || len(rows) != 4 {
		t.Fatal(rows, err)
	}
	for _, row := range rows {
		first := row.Ready.P50 // of three
		if row.Starts != 3 || first <= 0 || row.Ready.Max < row.Ready.P90 || row.Listed.Max < row.Listed.P50 {
			t.Errorf("%+v", row)
		}
		switch row.Late {
		case "processor", "processor and roster":
			if first < late.Seconds() || row.Listed.P50 < late.Seconds() {
				t.Errorf("ready before the processor: %+v", row)
			}
		case "roster":
			if row.Listed.P50 < late.Seconds() {
				t.Errorf("listed before the roster: %+v", row)
			}
		}
	}
}

func TestSpread(t *testing.T) {
	var times []float64
	for i := range 10 {
		times = append(times, float64(9-i))
	}
	if s := spread(times); s != (Spread{5, 9, 9}) {
		t.Errorf("%+v", s)
	}
}
