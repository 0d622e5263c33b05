// Package logging sets up the structured log: lines of key=value words, written by log/slog.
//
// An event's name stands under the key "event" and is in snake_case. Any goroutine may log; only a
// program's start and tests call SetOutput.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
)

// eventKey is the key of an event's name.
const eventKey = "event"

// SetOutput has all log lines written to out from now on: the time in UTC, the event's name and its
// attributes. The level is written where it is not the usual one, which is info.
func SetOutput(out io.Writer) {
	options := &slog.HandlerOptions{ReplaceAttr: replaceAttribute}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, options)))
}

// replaceAttribute changes the attributes that slog itself adds to a line.
func replaceAttribute(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.LevelKey:
		if a.Value.Any() == slog.LevelInfo {
			return slog.Attr{}
		}
	case slog.MessageKey:
		a.Key = eventKey
	case slog.TimeKey:
		a.Value = slog.TimeValue(a.Value.Time().UTC())
	}
	return a
}

// Fatal logs an event as an error and ends the process with status 1.
func Fatal(event string, args ...any) {
	slog.Error(event, args...)
	os.Exit(1)
}

// FormatDecimal returns x with a number of digits after the point, for a line that people read.
func FormatDecimal(x float64, digits int) string { return fmt.Sprintf("%.*f", digits, x) }
