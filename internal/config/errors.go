package config

import (
	"fmt"
	"strings"
)

// FieldError reports a key that is unknown, missing, malformed or out of its range.
type FieldError struct {
	Source string // operator's file or release that the key stands in; "" for the platform's configuration
	Line   int    // of Source, from 1; 0 where the key stands on no line
	Key    string // such as "limits.cores" or "door-reserve"
	Value  any    // as it was given; nil where there is none
	Reason string // what is wrong, and where it helps what is expected
}

// Error returns the place, the key, the value and the reason on one line.
func (e *FieldError) Error() string {
	var text strings.Builder
	if e.Source != "" {
		text.WriteString(e.Source)
		if e.Line > 0 {
			fmt.Fprintf(&text, ":%d", e.Line)
		}
		text.WriteString(": ")
	}
	text.WriteString(e.Key)
	text.WriteString(": ")
	switch value := e.Value.(type) {
	case nil:
	case string:
		fmt.Fprintf(&text, "%q ", value)
	default:
		fmt.Fprintf(&text, "%v ", value)
	}
	text.WriteString(e.Reason)
	return text.String()
}
