package release

import "testing"

// Operators search the log events by these names, so they must not change.
func TestKind_String(t *testing.T) {
	names := []string{
		"release",
		"advance_rollout",
		"rollback",
		"register",
		"eject",
		"readmit",
		"unregister",
		"bump_epoch",
		"close_counters",
		"kind 9",
	}
	for number, want := range names {
		if got := Kind(number).String(); got != want {
			t.Errorf("kind %d: got %q, want %q", number, got, want)
		}
	}
}
