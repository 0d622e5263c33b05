package admission

import (
	"fmt"
	"strconv"
	"testing"
)

// Every value of an enumeration has a unique name; a number after the last value is printed as
// that number.
func TestEnumString_UniqueNamePerValue(t *testing.T) {
	cases := map[string]struct {
		last int
		name func(value int) fmt.Stringer
	}{
		"Idempotency":  {int(AtMostOnce), func(v int) fmt.Stringer { return Idempotency(v) }},
		"Downstream":   {int(ServerTier), func(v int) fmt.Stringer { return Downstream(v) }},
		"Preemption":   {int(PreemptByPause), func(v int) fmt.Stringer { return Preemption(v) }},
		"Backpressure": {int(BackpressureWeight), func(v int) fmt.Stringer { return Backpressure(v) }},
		"EventKind":    {int(AllowanceChanged), func(v int) fmt.Stringer { return EventKind(v) }},
		"Outcome":      {int(NeverStarted), func(v int) fmt.Stringer { return Outcome(v) }},
		"ActionKind":   {int(LogLine), func(v int) fmt.Stringer { return ActionKind(v) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			seen := map[string]bool{}
			for value := 0; value <= c.last; value++ {
				text := c.name(value).String()
				if text == strconv.Itoa(value) || seen[text] {
					t.Errorf("value %d is printed as %q, want a unique name", value, text)
				}
				seen[text] = true
			}
			if text := c.name(c.last + 1).String(); text != strconv.Itoa(c.last+1) {
				t.Errorf("number %d after the last value is printed as %q, want the number", c.last+1, text)
			}
		})
	}
}
