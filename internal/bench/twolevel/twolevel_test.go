package twolevel

import (
	"errors"
	"strconv"
	"testing"

	"swiftcourse/internal/bench/faultinjection"
)

func TestPlanTerm_Before(t *testing.T) {
	tests := []struct {
		name        string
		first, then planTerm
		before      bool
	}{
		{"same", planTerm{1, 2}, planTerm{1, 2}, false},
		{"earlier term", planTerm{1, 1}, planTerm{1, 2}, true},
		{"later term", planTerm{1, 3}, planTerm{1, 2}, false},
		{"earlier cluster", planTerm{1, 9}, planTerm{2, 1}, true},
		{"later cluster", planTerm{2, 1}, planTerm{1, 9}, false},
	}
	for _, test := range tests {
		if got := test.first.before(test.then); got != test.before {
			t.Errorf("%s: before is %t, want %t", test.name, got, test.before)
		}
	}
}

func TestParsePlanTerm(t *testing.T) {
	fields := map[string]string{"cluster_id": "7", "term": "3"}
	term, err := parsePlanTerm(faultinjection.LogEvent{Fields: fields})
	if err != nil || term != (planTerm{7, 3}) {
		t.Errorf("term is %v, error %v, want {7 3} and no error", term, err)
	}
	for _, key := range []string{"cluster_id", "term"} {
		incomplete := map[string]string{"cluster_id": "7", "term": "3"}
		delete(incomplete, key)
		if _, err := parsePlanTerm(faultinjection.LogEvent{Fields: incomplete}); !errors.Is(err, strconv.ErrSyntax) {
			t.Errorf("without %s: error is %v, want %v", key, err, strconv.ErrSyntax)
		}
	}
}

func TestForwarderShare_SumsToOne(t *testing.T) {
	for n := 1; n <= 8; n++ {
		sum := 0.0
		for i := range n {
			sum += forwarderShare(i, n)
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("the shares of %d forwarders add up to %g, want 1", n, sum)
		}
	}
}

func TestRow_Violations(t *testing.T) {
	good := Row{FinishedShare: 0.96, FinishedShareNoKills: 1}
	if n := good.Violations(); n != 0 {
		t.Errorf("%d violations of a good row, want 0", n)
	}
	bad := Row{StalePlans: 1, LateAnswers: 2, RepeatedRuns: 3, Unanswered: 4,
		FinishedShare: 0.9, FinishedShareNoKills: 1}
	if n := bad.Violations(); n != 5 {
		t.Errorf("%d violations, want 5", n)
	}
}
