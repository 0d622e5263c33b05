// Command knownred decides whether CI passes on the output of the test command. It passes over the
// tests that KNOWN-RED.txt lists and prints them; it fails on any other test that failed, on a
// listed test that passed or did not run, and on more than three lines. A line that begins with
// "case:" names a failure with another seed than CI's: it is printed and excuses no test.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: knownred KNOWN-RED.txt OUTPUT")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run checks the file with the test output against the list; a list that does not exist is an empty one.
func run(listFile, outputFile string) error {
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	known, err := parseList(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	output, err := os.ReadFile(outputFile)
	if err != nil {
		return err
	}
	for _, failure := range known.failures {
		fmt.Printf("known to fail: %s: %s (issue %s)\n", failure.test, failure.cause, failure.issue)
	}
	for _, failing := range known.cases {
		fmt.Printf("known to fail with seed %s, not run here: %s: %s (issue %s)\n",
			failing.seed, failing.command, failing.seen, failing.issue)
	}
	return check(known.failures, string(output))
}
