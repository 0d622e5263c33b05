package fleetcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// report prints what a command shows. It keeps the first error of the output, and prints nothing
// after it.
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

// tablePadding is the least space between the columns of a table.
const tablePadding = 2

// table prints lines of cells under headings, in columns that are aligned once it ends.
type table struct {
	report *report
	writer *tabwriter.Writer
}

// newTable begins a table.
func (r *report) newTable(headings ...string) *table {
	t := &table{report: r, writer: tabwriter.NewWriter(r.out, 0, 0, tablePadding, ' ', 0)}
	t.rowf("%s", strings.Join(headings, "\t"))
	return t
}

// rowf adds a row, whose cells are divided by tabs.
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

// writeJSON prints a value on one line.
func writeJSON(out io.Writer, value any) error { return json.NewEncoder(out).Encode(value) }

// writeIndentedJSON prints a value for people.
func writeIndentedJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// timeFormat shows milliseconds, of UTC.
const timeFormat = "2006-01-02T15:04:05.000"

// millisecondsPerSecond converts seconds of the Unix clock for package time.
const millisecondsPerSecond = 1000

// formatTime returns a time of day for a report; 0 is one that is not known.
func formatTime(unixSeconds float64) string {
	if unixSeconds == 0 {
		return "?"
	}
	return time.UnixMilli(int64(unixSeconds * millisecondsPerSecond)).UTC().Format(timeFormat)
}
