package main

import (
	"strings"
	"testing"
)

const (
	good = "=== RUN   TestA\n--- PASS: TestA (0.00s)\nPASS\nok  \tm/a\t0.1s\n?   \tm/none\t[no test files]\n"
	bad  = "=== RUN   TestB\n    b_test.go:3: no\n--- FAIL: TestB (0.10s)\n=== RUN   TestC\n--- PASS: TestC (0.00s)\nFAIL\nFAIL\tm/b\t0.1s\nFAIL\n"
)

func TestVerdicts(t *testing.T) {
	for _, c := range []struct{ name, known, output, says string }{
		{"all pass", "", good, ""},
		{"one fails", "", good + bad, "m/b.TestB failed"},
		{"a known one fails", "# why\nm/b.TestB, a race, of two, 33\n", good + bad, ""},
		{"a known one and another", "m/b.TestB, a race, 33", good + bad + strings.ReplaceAll(bad, "m/b", "m/d"), "m/d.TestB failed"},
		{"a known one passes", "m/a.TestA, a race, 33", good, "m/a.TestA, which has passed"},
		{"a known one is gone", "m/a.TestZ, a race, 33", good, "m/a.TestZ, which has not run"},
		{"a known one is skipped", "m/a.TestA, a race, 33", strings.ReplaceAll(good, "PASS: ", "SKIP: "), "been skipped"},
		{"of another package", "m/a.TestB, a race, 33", good + bad, "m/b.TestB failed"},
		{"a panic", "m/b.TestB, a race, 33", "--- FAIL: TestB (0.10s)\npanic: no [recovered]\nFAIL\tm/b\t0.1s\n", "ended before its tests did"},
		{"no build", "", "# m/b\nx.go:1: no\nFAIL\tm/b [build failed]\nFAIL\n", "none of its tests"},
		{"nothing", "", "", "no package"},
		{"four lines", strings.Repeat("m/b.TestB, a race, 33\n", 4), good + bad, "4 lines"},
		{"no issue", "m/b.TestB, a race", good + bad, "line 1"},
		{"no test", "m/b, a race, 33", good + bad, "line 1"},
	} {
		list, err := readKnown(c.known)
		if err == nil {
			err = judge(list, c.output)
		}
		if (err == nil) != (c.says == "") || err != nil && !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", c.name, err, c.says)
		}
	}
}
