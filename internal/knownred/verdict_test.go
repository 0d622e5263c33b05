package main

import (
	"strings"
	"testing"
)

const (
	passing = "=== RUN   TestA\n--- PASS: TestA (0.00s)\nPASS\nok  \tm/a\t0.1s\n?   \tm/none\t[no test files]\n"
	failing = "=== RUN   TestB\n    b_test.go:3: no\n--- FAIL: TestB (0.10s)\n=== RUN   TestC\n" +
		"--- PASS: TestC (0.00s)\nFAIL\nFAIL\tm/b\t0.1s\nFAIL\n"
)

func TestCheck_AppliesKnownFailures(t *testing.T) {
	const knownB = "m/b.TestB, a race, 33"
	const knownCase = "case: go test -run TestB ./b -rapid.seed=7 | 7 | 1 of 3, 0 may | 42"
	skipped := strings.ReplaceAll(passing, "PASS: ", "SKIP: ")
	panicked := "--- FAIL: TestB (0.10s)\npanic: no [recovered]\nFAIL\tm/b\t0.1s\n"
	cases := []struct {
		name   string
		list   string // KNOWN-RED.txt
		output string
		want   string // part of the error; empty where CI passes
	}{
		{"all pass", "", passing, ""},
		{"one test fails", "", passing + failing, "m/b.TestB failed"},
		{"a known failure fails", "# why\nm/b.TestB, a race, of two, 33\n", passing + failing, ""},
		{"a known failure and another test fail", knownB,
			passing + failing + strings.ReplaceAll(failing, "m/b", "m/d"), "m/d.TestB failed"},
		{"a known failure passes", "m/a.TestA, a race, 33", passing, "m/a.TestA as failing, but it has passed"},
		{"a known failure does not run", "m/a.TestZ, a race, 33", passing, "m/a.TestZ as failing, but it has not run"},
		{"a known failure is skipped", "m/a.TestA, a race, 33", skipped, "been skipped"},
		{"a known test name in another package", "m/a.TestB, a race, 33", passing + failing, "m/b.TestB failed"},
		{"a panic", knownB, panicked, "ended before its tests did"},
		{"a package does not build", "", "# m/b\nx.go:1: no\nFAIL\tm/b [build failed]\nFAIL\n", "none of its tests"},
		{"empty output", "", "", "no package"},
		{"four known failures", strings.Repeat(knownB+"\n", 4), passing + failing, "4 lines"},
		{"a known case", knownCase, passing, ""},
		{"a known case does not excuse a test", knownCase, passing + failing, "m/b.TestB failed"},
		{"a case without an issue", "case: go test ./b | 7 | 1 of 3 |", passing, "line 1"},
		{"a case with too few fields", "case: go test ./b | 7 | 42", passing, "line 1"},
		{"three known failures and a case", strings.Repeat(knownB+"\n", 3) + knownCase, passing + failing, "4 lines"},
		{"a known failure without an issue", "m/b.TestB, a race", passing + failing, "line 1"},
		{"a known failure without a test", "m/b, a race, 33", passing + failing, "line 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			known, err := parseList(c.list)
			if err == nil {
				err = check(known.failures, c.output)
			}
			if (err == nil) != (c.want == "") {
				t.Fatalf("error %v, want one that contains %q, or none if that is empty", err, c.want)
			}
			if err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one that contains %q", err, c.want)
			}
		})
	}
}
