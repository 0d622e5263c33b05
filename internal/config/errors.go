package config

import (
	"fmt"
	"strings"
)

// FieldError reports a key that is unknown, or whose value is missing, malformed or out of its range.
type FieldError struct {
	Source string // operator's file or release that has the key; "" for the platform's configuration
	Line   int    // of Source, from 1; 0 where the key is on no line
	Key    string // such as "limits.cores" or "door-reserve"
	Value  any    // the value that is wrong; nil to leave it out of the message
	Reason string // what is wrong and, for a key of Source, what is expected
}

// Error returns the source and line, the key, the value and the reason, on one line.
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
