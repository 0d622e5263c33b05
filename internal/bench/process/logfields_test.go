package process

import "testing"

func TestParseFields(t *testing.T) {
	fields := ParseLogFields("time=2026 event=statistics  timers=5 turn_ms=0.25 word mode=normal empty=")
	if fields["event"] != "statistics" || fields["mode"] != "normal" || len(fields) != 6 {
		t.Errorf("got fields %v, want 6 with event=statistics and mode=normal", fields)
	}
	numbers := map[string]float64{"timers": 5, "turn_ms": 0.25, "mode": 0, "empty": 0, "absent": 0}
	for key, want := range numbers {
		if got := fields.Number(key); got != want {
			t.Errorf("field %s: got number %g, want %g", key, got, want)
		}
	}
}
