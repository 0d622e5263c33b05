package main

import (
	"fmt"
	"strings"
)

const (
	// maxKnownFailures is the maximum number of entries in the list, of both forms together.
	maxKnownFailures = 3
	// casePrefix is the beginning of a line with a known case.
	casePrefix = "case:"
	// caseSeparator separates the fields of a known case. It is not a comma, as commands may
	// contain commas.
	caseSeparator = "|"
	// caseFields is the number of fields of a known case.
	caseFields = 4
)

// knownList is the content of KNOWN-RED.txt.
type knownList struct {
	failures []knownFailure
	cases    []knownCase
}

// knownFailure is an entry of KNOWN-RED.txt for a test that fails in CI.
type knownFailure struct {
	test  string // package.TestName
	cause string
	issue string // number of the issue
}

// knownCase is an entry of KNOWN-RED.txt for a failure that occurs with another seed than CI's. It
// is printed and has no effect on the result of CI.
type knownCase struct {
	command  string // reproduces the failure
	seed     string
	observed string // what the command reports
	issue    string
}

// parseList parses KNOWN-RED.txt. A line has the form "package.Test, cause, issue" for a known
// failure, or "case: command | seed | what was seen | issue" for a known case. Empty lines and
// lines that begin with # are skipped.
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
				return knownList{}, fmt.Errorf(
					"line %d: %q is not of the form 'case: command | seed | what was seen | issue'", index+1, line)
			}
			list.cases = append(list.cases, known)
			continue
		}
		failure, ok := parseLine(line)
		if !ok {
			return knownList{}, fmt.Errorf("line %d: %q is not of the form 'package.Test, cause, issue'", index+1, line)
		}
		list.failures = append(list.failures, failure)
	}
	if count := len(list.failures) + len(list.cases); count > maxKnownFailures {
		return knownList{}, fmt.Errorf("%d lines with failures or cases, at most %d allowed", count, maxKnownFailures)
	}
	return list, nil
}

// parseCase parses the line of a known case, without its prefix. It returns false if the number of
// fields is wrong or a field is empty.
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
	return knownCase{command: fields[0], seed: fields[1], observed: fields[2], issue: fields[3]}, true
}

// parseLine parses the line of a known failure. It splits the line at its first and last commas, as
// the cause may contain commas.
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
