package main

import (
	"bufio"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// maxOutputLineBytes is the maximum length of a line of the test command's output.
const maxOutputLineBytes = 1 << 24

var (
	testLine    = regexp.MustCompile(`^--- (PASS|FAIL|SKIP): (\S+) `)
	packageLine = regexp.MustCompile(`^(ok|FAIL)\s+(\S+)`)
)

// verdict is the result of a test as `go test -v` prints it. It is empty for a test that did not
// run.
type verdict string

const (
	verdictPass   verdict = "PASS"
	verdictFail   verdict = "FAIL"
	verdictSkip   verdict = "SKIP"
	verdictNotRun verdict = ""
)

// String returns the verdict as a participle, for a sentence such as "the test has passed".
func (v verdict) String() string {
	switch v {
	case verdictPass:
		return "passed"
	case verdictFail:
		return "failed"
	case verdictSkip:
		return "been skipped"
	case verdictNotRun:
		return "not run"
	}
	return string(v)
}

// testResult is the result of one test.
type testResult struct {
	name    string
	verdict verdict
}

// outputReader reads the output of `go test -v` for several packages and collects the reasons for
// CI to fail.
type outputReader struct {
	known    []knownFailure
	verdicts map[string]verdict // verdicts of the tests in known, by package.TestName
	problems []error
	packages int // number of packages read

	// The state of the package that is being read, whose name is known only at the end of its
	// output.
	results   []testResult
	panicLine string
}

// check reads the output of `go test -v` for all packages. The error that it returns joins an error
// for each failed test that is not a known failure, each known failure that passed, was skipped or
// did not run, and each package that panicked or that failed without a failed test.
func check(known []knownFailure, output string) error {
	reader := outputReader{known: known, verdicts: map[string]verdict{}}
	lines := bufio.NewScanner(strings.NewReader(output))
	lines.Buffer(nil, maxOutputLineBytes)
	for lines.Scan() {
		reader.readLine(lines.Text())
	}
	if err := lines.Err(); err != nil {
		reader.problems = append(reader.problems, err)
	}
	if reader.packages == 0 {
		reader.problems = append(reader.problems, errors.New("the test output names no package: no package was tested"))
	}
	reader.checkKnown()
	return errors.Join(reader.problems...)
}

func (r *outputReader) readLine(line string) {
	if match := testLine.FindStringSubmatch(line); match != nil {
		r.results = append(r.results, testResult{name: match[2], verdict: verdict(match[1])})
		return
	}
	if strings.HasPrefix(line, "panic: ") && r.panicLine == "" {
		r.panicLine = line
	}
	if match := packageLine.FindStringSubmatch(line); match != nil {
		r.endPackage(match[2], match[1] == "ok", line)
	}
}

// endPackage evaluates the results of a package once its name and result are read.
func (r *outputReader) endPackage(name string, passed bool, line string) {
	r.packages++
	failures := 0
	for _, result := range r.results {
		test := name + "." + result.name
		if result.verdict == verdictFail {
			failures++
		}
		switch {
		case r.isKnown(test):
			r.verdicts[test] = result.verdict
		case result.verdict == verdictFail:
			r.problems = append(r.problems, fmt.Errorf("%s failed", test))
		}
	}
	switch {
	case passed:
	case r.panicLine != "":
		r.problems = append(r.problems, fmt.Errorf("%s panicked and ended before its tests did: %s", name, r.panicLine))
	case failures == 0:
		r.problems = append(r.problems, fmt.Errorf("%s failed, but none of its tests did: %s", name, line))
	}
	r.results = nil
	r.panicLine = ""
}

func (r *outputReader) isKnown(test string) bool {
	for _, failure := range r.known {
		if failure.test == test {
			return true
		}
	}
	return false
}

// checkKnown reports each known failure that did not fail, so that its line is removed from the
// list.
func (r *outputReader) checkKnown() {
	for _, failure := range r.known {
		if found := r.verdicts[failure.test]; found != verdictFail {
			r.problems = append(r.problems,
				fmt.Errorf("KNOWN-RED.txt lists %s as failing, but it has %s", failure.test, found))
		}
	}
}
