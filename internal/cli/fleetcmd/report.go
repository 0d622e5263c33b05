package fleetcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// report prints the output of a command. It keeps the first write error and prints nothing after it.
type report struct {
	out io.Writer
	err error
}

// linef prints a line.
func (r *report) linef(format string, args ...any) {
	if r.err == nil {
		_, r.err = fmt.Fprintf(r.out, format+"\n", args...)
	}
}

// tablePadding is the minimum number of spaces between the columns of a table.
const tablePadding = 2

// table prints rows of cells under headings. The columns are aligned and printed by end.
type table struct {
	report *report
	writer *tabwriter.Writer
}

// newTable returns a table with the given headings.
func (r *report) newTable(headings ...string) *table {
	t := &table{report: r, writer: tabwriter.NewWriter(r.out, 0, 0, tablePadding, ' ', 0)}
	t.rowf("%s", strings.Join(headings, "\t"))
	return t
}

// rowf adds a row. Tabs separate its cells.
func (t *table) rowf(format string, args ...any) {
	if t.report.err == nil {
		_, t.report.err = fmt.Fprintf(t.writer, format+"\n", args...)
	}
}

// end prints the table.
func (t *table) end() {
	if t.report.err == nil {
		t.report.err = t.writer.Flush()
	}
}

// writeJSON prints a value as JSON on one line.
func writeJSON(out io.Writer, value any) error { return json.NewEncoder(out).Encode(value) }

// writeIndentedJSON prints a value as indented JSON.
func writeIndentedJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// timeFormat is the format of times in UTC, with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000"

// millisecondsPerSecond converts Unix times in seconds for package time.
const millisecondsPerSecond = 1000

// formatTime formats a Unix time. 0 stands for an unknown time.
func formatTime(unixSeconds float64) string {
	if unixSeconds == 0 {
		return "?"
	}
	return time.UnixMilli(int64(unixSeconds * millisecondsPerSecond)).UTC().Format(timeFormat)
}
