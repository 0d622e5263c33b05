package main

import (
	"fmt"
	"strings"
)

const (
	// maxKnownFailures bounds the lines of the list, of both forms together.
	maxKnownFailures = 3
	// casePrefix begins the line of a known case.
	casePrefix = "case:"
	// caseSeparator separates the fields of a known case; a command may contain commas.
	caseSeparator = "|"
	// caseFields is the number of fields of a known case.
	caseFields = 4
)

// knownList is the content of KNOWN-RED.txt.
type knownList struct {
	failures []knownFailure
	cases    []knownCase
}

// knownFailure is a line of KNOWN-RED.txt.
type knownFailure struct {
	test  string // package.TestName
	cause string
	issue string
}

// knownCase is a failure that the tests do not show with the seed that CI draws from. It is printed
// and has no effect on the verdict.
type knownCase struct {
	command string // shows the failure
	seed    string
	seen    string // what the command reports
	issue   string
}

// parseList reads the lines of KNOWN-RED.txt: "package.Test, cause, issue" for a known failure, or
// "case: command | seed | what was seen | issue" for a known case. Empty lines and lines that begin
// with # are skipped.
func parseList(text string) (knownList, error) {
	var list knownList
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if rest, isCase := strings.CutPrefix(line, casePrefix); isCase {
			known, ok := parseCase(rest)
			if !ok {
				return knownList{}, fmt.Errorf("line %d: %q is not 'case: command | seed | what was seen | issue'",
					index+1, line)
			}
			list.cases = append(list.cases, known)
			continue
		}
		failure, ok := parseLine(line)
		if !ok {
			return knownList{}, fmt.Errorf("line %d: %q is not 'package.Test, cause, issue'", index+1, line)
		}
		list.failures = append(list.failures, failure)
	}
	if count := len(list.failures) + len(list.cases); count > maxKnownFailures {
		return knownList{}, fmt.Errorf("%d lines, and %d are the most", count, maxKnownFailures)
	}
	return list, nil
}

// parseCase splits the line of a known case, without its prefix, into fields that are not empty.
func parseCase(line string) (knownCase, bool) {
	fields := strings.Split(line, caseSeparator)
	if len(fields) != caseFields {
		return knownCase{}, false
	}
	for i, field := range fields {
		fields[i] = strings.TrimSpace(field)
		if fields[i] == "" {
			return knownCase{}, false
		}
	}
	return knownCase{command: fields[0], seed: fields[1], seen: fields[2], issue: fields[3]}, true
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
