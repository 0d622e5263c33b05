// Package report prints what an experiment found: a table for people, and an array of rows in JSON for programs.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// WriteTable prints rows under their heads, figures to the right.
func WriteTable(out io.Writer, heads []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{heads}, rows...) {
		for _, cell := range row {
			fmt.Fprint(w, cell, "\t")
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// WriteJSON writes rows as an array to a file.
func WriteJSON[T any](path string, rows []T) error {
	if rows == nil {
		rows = []T{}
	}
	text, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
