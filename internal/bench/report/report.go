// Package report writes the rows of an experiment as a text table and as a JSON array.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// filePermissions are the permissions of report files.
const filePermissions = 0o644

// WriteTable writes a right-aligned table with a line of column heads.
func WriteTable(out io.Writer, columns []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{columns}, rows...) {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

// WriteJSON writes rows to a file as an indented JSON array, which is empty if there are no rows.
func WriteJSON[T any](path string, rows []T) error {
	if rows == nil {
		rows = []T{}
	}
	text, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the rows for %s: %w", path, err)
	}
	if err := os.WriteFile(path, append(text, '\n'), filePermissions); err != nil {
		return fmt.Errorf("write the JSON report: %w", err)
	}
	return nil
}
