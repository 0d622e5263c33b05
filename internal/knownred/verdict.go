package main

import (
	"bufio"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// maxOutputLine bounds a line of the test command's output, in bytes.
const maxOutputLine = 1 << 24

var (
	testLine    = regexp.MustCompile(`^--- (PASS|FAIL|SKIP): (\S+) `)
	packageLine = regexp.MustCompile(`^(ok|FAIL)\s+(\S+)`)
)

// verdict is the outcome of a test as `go test -v` prints it; the empty verdict is that of a test
// that was not run.
type verdict string

const (
	verdictPass   verdict = "PASS"
	verdictFail   verdict = "FAIL"
	verdictSkip   verdict = "SKIP"
	verdictNotRun verdict = ""
)

// String says what became of the test.
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

// testResult is one test of the package whose output is being read.
type testResult struct {
	name    string
	verdict verdict
}

// outputReader collects what is wrong in the output of `go test -v` over several packages.
type outputReader struct {
	known    []knownFailure
	verdicts map[string]verdict // of the known failures, by package.TestName
	problems []error
	packages int

	// Of the package that is being read; its name stands at the end of its output.
	results   []testResult
	panicLine string
}

// check reads what `go test -v` printed of all packages. It returns an error that joins each test
// that failed and is not known to, each known failure that passed or did not run, and each package
// that ended without a failed test.
func check(known []knownFailure, output string) error {
	reader := outputReader{known: known, verdicts: map[string]verdict{}}
	lines := bufio.NewScanner(strings.NewReader(output))
	lines.Buffer(nil, maxOutputLine)
	for lines.Scan() {
		reader.readLine(lines.Text())
	}
	if err := lines.Err(); err != nil {
		reader.problems = append(reader.problems, err)
	}
	if reader.packages == 0 {
		reader.problems = append(reader.problems, errors.New("no package was tested"))
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

// endPackage judges the results of a package once its name and verdict are read.
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
		r.problems = append(r.problems, fmt.Errorf("%s ended before its tests did: %s", name, r.panicLine))
	case failures == 0:
		r.problems = append(r.problems, fmt.Errorf("%s failed, and none of its tests: %s", name, line))
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

// checkKnown reports each known failure that did not fail, so that its line is taken out.
func (r *outputReader) checkKnown() {
	for _, failure := range r.known {
		if found := r.verdicts[failure.test]; found != verdictFail {
			r.problems = append(r.problems, fmt.Errorf("KNOWN-RED.txt names %s, which has %s", failure.test, found))
		}
	}
}
