// Package logging is what the server tells of itself: structured log lines, as text of key=value words.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"
)

// SetOutput has all log lines written to out from now on: a time, the event's name, and what belongs to it. The level is there
// where it is not that of everyday.
func SetOutput(out io.Writer) {
	slog.SetDefault(slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			switch {
			case len(groups) > 0:
			case a.Key == slog.LevelKey && a.Value.Any() == slog.LevelInfo:
				return slog.Attr{}
			case a.Key == slog.MessageKey:
				a.Key = "event"
			case a.Key == slog.TimeKey:
				a.Value = slog.TimeValue(a.Value.Time().UTC())
			}
			return a
		}})))
}

// Fatal writes a line and ends the process.
func Fatal(event string, args ...any) {
	slog.Error(event, args...)
	os.Exit(1)
}

// FormatDecimal keeps so many digits after the point, for a line that people read.
func FormatDecimal(x float64, digits int) string { return fmt.Sprintf("%.*f", digits, x) }
