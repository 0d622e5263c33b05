package main

import (
	"fmt"
	"strings"
)

// maxKnownFailures bounds how many tests may be listed.
const maxKnownFailures = 3

// knownFailure is a line of KNOWN-RED.txt.
type knownFailure struct {
	test  string // package.TestName
	cause string
	issue string
}

// parseList reads the lines of KNOWN-RED.txt: "package.Test, cause, issue". Empty lines and lines
// that begin with # are skipped.
func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		failure, ok := parseLine(line)
		if !ok {
			return nil, fmt.Errorf("line %d: %q is not 'package.Test, cause, issue'", index+1, line)
		}
		list = append(list, failure)
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%d lines, and %d are the most", len(list), maxKnownFailures)
	}
	return list, nil
}

// parseLine splits a line at its first and last comma: the cause may contain commas of its own.
func parseLine(line string) (knownFailure, bool) {
	test, rest, _ := strings.Cut(line, ",")
	lastComma := strings.LastIndex(rest, ",")
	if lastComma < 0 {
		return knownFailure{}, false
	}
	failure := knownFailure{
		test:  strings.TrimSpace(test),
		cause: strings.TrimSpace(rest[:lastComma]),
		issue: strings.TrimSpace(rest[lastComma+1:]),
	}
	valid := strings.Contains(failure.test, ".Test") && failure.cause != "" && failure.issue != ""
	return failure, valid
}
