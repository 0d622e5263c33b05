package server

import (
	"fmt"
	"testing"
)

// Checks every event in every state. Pairs that are not listed are illegal and leave the state as it
// is.
func TestConnState_Transitions(t *testing.T) {
	legal := map[string]connState{
		"closed opened":          connReading,
		"reading protocol_error": connMuted,
		"reading graceful_close": connLingering,
		"reading ended":          connClosed,
		"muted graceful_close":   connLingering,
		"muted ended":            connClosed,
		"lingering ended":        connClosed,
	}
	for from := range connStateCount {
		for event := range connEventCount {
			name := fmt.Sprint(from, " ", event)
			t.Run(name, func(t *testing.T) {
				next, isLegal := legal[name]
				if !isLegal {
					next = from
				}
				state := from
				if advanced := state.advance(event); advanced != isLegal || state != next {
					t.Errorf("legal %t, next %s; want %t, %s", advanced, state, isLegal, next)
				}
			})
		}
	}
	if connStateCount.String() != "unknown" || connEventCount.String() != "unknown" {
		t.Errorf("out of range values are named %q and %q, want \"unknown\"", connStateCount, connEventCount)
	}
}
