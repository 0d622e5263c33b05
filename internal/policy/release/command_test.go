package release

import "testing"

// TestKind_String: operators find commands in the log by these names.
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
			t.Errorf("kind %d is %q, not %q", number, got, want)
		}
	}
}
