package main

import (
	"strings"
	"testing"
)

const (
	good = "=== RUN   TestA\n--- PASS: TestA (0.00s)\nPASS\nok  \tm/a\t0.1s\n?   \tm/none\t[no test files]\n"
	bad  = "=== RUN   TestB\n    b_test.go:3: no\n--- FAIL: TestB (0.10s)\n=== RUN   TestC\n--- PASS: TestC (0.00s)\n" +
		"FAIL\nFAIL\tm/b\t0.1s\nFAIL\n"
)

func TestCheck(t *testing.T) {
	const knownB = "m/b.TestB, a race, 33"
	const knownCase = "case: go test -run TestB ./b -rapid.seed=7 | 7 | 1 of 3, 0 may | 42"
	skipped := strings.ReplaceAll(good, "PASS: ", "SKIP: ")
	panicked := "--- FAIL: TestB (0.10s)\npanic: no [recovered]\nFAIL\tm/b\t0.1s\n"
	cases := []struct {
		name   string
		list   string // KNOWN-RED.txt
		output string
		want   string // part of the error; empty where CI passes
	}{
		{"all pass", "", good, ""},
		{"one fails", "", good + bad, "m/b.TestB failed"},
		{"a known one fails", "# why\nm/b.TestB, a race, of two, 33\n", good + bad, ""},
		{"a known one and another", knownB, good + bad + strings.ReplaceAll(bad, "m/b", "m/d"), "m/d.TestB failed"},
		{"a known one passes", "m/a.TestA, a race, 33", good, "m/a.TestA, which has passed"},
		{"a known one is gone", "m/a.TestZ, a race, 33", good, "m/a.TestZ, which has not run"},
		{"a known one is skipped", "m/a.TestA, a race, 33", skipped, "been skipped"},
		{"of another package", "m/a.TestB, a race, 33", good + bad, "m/b.TestB failed"},
		{"a panic", knownB, panicked, "ended before its tests did"},
		{"no build", "", "# m/b\nx.go:1: no\nFAIL\tm/b [build failed]\nFAIL\n", "none of its tests"},
		{"nothing", "", "", "no package"},
		{"four lines", strings.Repeat(knownB+"\n", 4), good + bad, "4 lines"},
		{"a case of another seed", knownCase, good, ""},
		{"a case excuses no test", knownCase, good + bad, "m/b.TestB failed"},
		{"a case without an issue", "case: go test ./b | 7 | 1 of 3 |", good, "line 1"},
		{"a case of too few fields", "case: go test ./b | 7 | 42", good, "line 1"},
		{"three tests and a case", strings.Repeat(knownB+"\n", 3) + knownCase, good + bad, "4 lines"},
		{"no issue", "m/b.TestB, a race", good + bad, "line 1"},
		{"no test", "m/b, a race, 33", good + bad, "line 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			known, err := parseList(c.list)
			if err == nil {
				err = check(known.failures, c.output)
			}
			if (err == nil) != (c.want == "") {
				t.Fatalf("error %v, want %q", err, c.want)
			}
			if err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
