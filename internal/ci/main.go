// Command ci judges what the test command printed: it passes over the tests that KNOWN-RED.txt names, and prints them; it fails on any
// other test that failed, on a line whose test passed or did not run, and on more than three lines.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
)

// maxKnown bounds how many tests may be known to fail.
const maxKnown = 3

// known is a line of KNOWN-RED.txt: a test as package.Name, why it fails, and the issue that it belongs to.
type known struct{ test, cause, issue string }

// readKnown reads the lines, of which those that are empty or begin with # say nothing.
func readKnown(text string) (list []known, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		test, rest, _ := strings.Cut(line, ",")
		at := strings.LastIndex(rest, ",")
		if test = strings.TrimSpace(test); !strings.Contains(test, ".Test") || at < 0 ||
			strings.TrimSpace(rest[:at]) == "" || strings.TrimSpace(rest[at+1:]) == "" {
			return nil, fmt.Errorf("line %d: %q is not 'package.Test, cause, issue'", i+1, line)
		}
		list = append(list, known{test, strings.TrimSpace(rest[:at]), strings.TrimSpace(rest[at+1:])})
	}
	if len(list) > maxKnown {
		return nil, fmt.Errorf("%d lines, and %d are the most", len(list), maxKnown)
	}
	return list, nil
}

var (
	verdictOf = regexp.MustCompile(`^--- (PASS|FAIL|SKIP): (\S+) `)
	packageOf = regexp.MustCompile(`^(ok|FAIL)\s+(\S+)`)
)

// judge reads what go test -v printed of all packages.
func judge(list []known, output string) error {
	var wrong []error
	found := map[string]string{} // verdicts of the listed tests
	var here [][2]string         // verdict and name, of the package that is being read
	panics := ""
	lines := bufio.NewScanner(strings.NewReader(output))
	lines.Buffer(nil, 1<<24)
	packages := 0
	for lines.Scan() {
		line := lines.Text()
		if m := verdictOf.FindStringSubmatch(line); m != nil {
			here = append(here, [2]string{m[1], m[2]})
			continue
		}
		if strings.HasPrefix(line, "panic: ") && panics == "" {
			panics = line
		}
		m := packageOf.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		packages++
		failed := 0
		for _, v := range here {
			name := m[2] + "." + v[1]
			at := slices.IndexFunc(list, func(k known) bool { return k.test == name })
			if v[0] == "FAIL" {
				failed++
			}
			switch {
			case at >= 0:
				found[name] = v[0]
			case v[0] == "FAIL":
				wrong = append(wrong, fmt.Errorf("%s failed", name))
			}
		}
		switch {
		case m[1] == "ok":
		case panics != "":
			wrong = append(wrong, fmt.Errorf("%s ended before its tests did: %s", m[2], panics))
		case failed == 0:
			wrong = append(wrong, fmt.Errorf("%s failed, and none of its tests: %s", m[2], line))
		}
		here, panics = nil, ""
	}
	if err := lines.Err(); err != nil {
		wrong = append(wrong, err)
	}
	if packages == 0 {
		wrong = append(wrong, errors.New("no package was tested"))
	}
	for _, k := range list {
		if v := found[k.test]; v != "FAIL" {
			wrong = append(wrong, fmt.Errorf("KNOWN-RED.txt names %s, which has %s", k.test, map[string]string{"PASS": "passed", "SKIP": "been skipped", "": "not run"}[v]))
		}
	}
	return errors.Join(wrong...)
}

func run(redFile, outputFile string) error {
	text, err := os.ReadFile(redFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	list, err := readKnown(string(text))
	if err != nil {
		return fmt.Errorf("%s: %w", redFile, err)
	}
	output, err := os.ReadFile(outputFile)
	if err != nil {
		return err
	}
	for _, k := range list {
		fmt.Printf("known to fail: %s: %s (issue %s)\n", k.test, k.cause, k.issue)
	}
	return judge(list, string(output))
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: ci KNOWN-RED.txt OUTPUT")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
