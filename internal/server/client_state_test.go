package server

import (
	"fmt"
	"testing"
)

// Every event in every state: what is not listed here is illegal and changes nothing.
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
		t.Error("a value that is none has a name")
	}
}
