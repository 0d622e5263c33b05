package readiness

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestRun_LateDependencyDelaysReadiness: no server is ready before its executor has started, nor listed before its
// registry has; and all are in the end.
func TestRun_LateDependencyDelaysReadiness(t *testing.T) {
	program := filepath.Join(t.TempDir(), "swiftcourse")
	build := exec.Command("go", "build", "-o", program, "swiftcourse/cmd/swiftcourse")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	const delay = 300 * time.Millisecond
	plan := &Plan{Program: program, Servers: 3, Rounds: 1, Delay: delay, Progress: io.Discard}
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
			if first < delay.Seconds() || row.Listed.P50 < delay.Seconds() {
				t.Errorf("ready before the executor: %+v", row)
			}
		case "roster":
			if row.Listed.P50 < delay.Seconds() {
				t.Errorf("listed before the registry: %+v", row)
			}
		}
	}
}

func TestNewSpread(t *testing.T) {
	var times []float64
	for i := range 10 {
		times = append(times, float64(9-i))
	}
	if s := newSpread(times); s != (Spread{5, 9, 9}) {
		t.Errorf("%+v", s)
	}
}
