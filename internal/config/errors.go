package config

import (
	"fmt"
	"strings"
)

// FieldError reports an unknown key, or a key whose value is missing, malformed or out of range.
type FieldError struct {
	Source string // name of the operator's file or release; "" for the platform's configuration
	Line   int    // line number in Source, counted from 1; 0 if the key is on no line
	Key    string // for example "limits.cores" or "door-reserve"
	Value  any    // the invalid value; nil to leave it out of the message
	Reason string // what is wrong and which values are valid
}

// Error returns one line with the source, the line number, the key, the value and the reason.
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
