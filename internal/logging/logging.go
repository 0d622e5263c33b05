// Package logging sets up the structured log, which log/slog writes as lines of key=value pairs.
//
// The message of a log call is the name of an event, in snake_case, and is written with the key
// "event". Any goroutine may log. Only the start of a program and tests call SetOutput.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
)

// eventKey is the key of the event's name in a line.
const eventKey = "event"

// SetOutput makes slog's default logger write to out. A line has the time in UTC, the level if it
// is not INFO, the event's name and its attributes.
func SetOutput(out io.Writer) {
	options := &slog.HandlerOptions{ReplaceAttr: replaceAttribute}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, options)))
}

// replaceAttribute changes the time, level and message that slog adds to each line. These are in no
// group, so it leaves attributes in groups unchanged even if their keys are the same.
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

// FormatDecimal formats x with the given number of digits after the decimal point.
func FormatDecimal(x float64, digits int) string { return fmt.Sprintf("%.*f", digits, x) }
