package readiness

import (
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// A server must not report that it is healthy before its executor has started, nor be listed before
// its registry has started. All servers must become ready and listed in the end.
func TestRun_LateDependencyDelaysReadiness(t *testing.T) {
	program := filepath.Join(t.TempDir(), "swiftcourse")
	build := exec.Command("go", "build", "-o", program, "swiftcourse/cmd/swiftcourse")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the server: %v\n%s", err, output)
	}
	const delay = 300 * time.Millisecond
	plan := &Plan{Program: program, Servers: 3, Rounds: 1, Delay: delay, Progress: io.Discard}
	rows, err := plan.Run(context.Background())
	if err != nil || len(rows) != 4 {
		t.Fatalf("got %d rows and error %v, want 4 rows: %+v", len(rows), err, rows)
	}
	for _, row := range rows {
		readyP50 := row.Ready.P50 // the median of the three servers
		if row.Starts != 3 || readyP50 <= 0 || row.Ready.Max < row.Ready.P90 || row.Listed.Max < row.Listed.P50 {
			t.Errorf("got row %+v, want 3 starts, ready P50 over 0 and ascending quantiles", row)
		}
		switch row.LateDependencies {
		case "processor", "processor and roster":
			if readyP50 < delay.Seconds() || row.Listed.P50 < delay.Seconds() {
				t.Errorf("got %+v, want medians of ready and listed of at least %s: the executor starts then",
					row, delay)
			}
		case "roster":
			if row.Listed.P50 < delay.Seconds() {
				t.Errorf("got %+v, want a median of listed of at least %s: the registry starts then", row, delay)
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
		t.Errorf("got %+v, want P50 5, P90 9 and Max 9", s)
	}
}
