// Package report prints the rows of an experiment: a table for people, and a JSON array for programs.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// filePermissions are those of report files.
const filePermissions = 0o644

// WriteTable writes rows below a line of column names, aligned to the right.
func WriteTable(out io.Writer, columns []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{columns}, rows...) {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// WriteJSON writes rows to a file as an indented JSON array; no rows give an empty one.
func WriteJSON[T any](path string, rows []T) error {
	if rows == nil {
		rows = []T{}
	}
	text, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, append(text, '\n'), filePermissions); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
