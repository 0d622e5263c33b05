package audit

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/release"
)

// Reports of one account arrive duplicated and in any order, some with only the latest intervals.
// The merged account has to equal the original: each interval is kept or counted as dropped.
func TestTrail_MergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewTrail("n1", 5, 0)
		var reports []Account
		count := rapid.IntRange(1, 12).Draw(t, "intervals")
		for i := range count {
			source.BeginInterval(float64(10*i), release.Epoch(i+1), "d", "released")
			source.Record(float64(10*i+5), 1, 2)
			if rapid.Bool().Draw(t, "summary") {
				reports = append(reports, source.Summary())
			}
		}
		reports = append(reports, source.Account())
		receiver := NewTrail("other", 1, 0)
		for _, report := range rapid.Permutation(append(reports, reports...)).Draw(t, "order") {
			receiver.Merge(report)
		}
		received := receiver.Accounts([]string{"n1"})
		if len(received) != 1 || !reflect.DeepEqual(received[0], source.Account()) {
			t.Fatalf("merged accounts %+v, want one equal to %+v", received, source.Account())
		}
	})
}

func TestTrail_SizeLimits(t *testing.T) {
	trail := NewTrail("me", 1, 0)
	for i := range 3 * maxIntervals {
		trail.BeginInterval(float64(i), release.Epoch(i+1), "d", "")
	}
	own := trail.Account()
	if len(own.Intervals) != maxIntervals || own.DroppedIntervals != 2*maxIntervals {
		t.Errorf("%d intervals kept and %d dropped, want %d and %d",
			len(own.Intervals), own.DroppedIntervals, maxIntervals, 2*maxIntervals)
	}
	for incarnation := range uint64(10) {
		trail.Merge(Account{Name: "n", Incarnation: incarnation + 1, LastSeen: float64(incarnation)})
	}
	accounts := trail.Accounts(nil)
	if len(accounts) != maxIncarnations || accounts[len(accounts)-1].Incarnation != 10 {
		t.Errorf("%d accounts of one name, want %d and the last of incarnation 10: %+v",
			len(accounts), maxIncarnations, accounts)
	}
	for i := range maxServers + 100 {
		name := "n" + strings.Repeat("x", i%100) + string(rune('0'+i/100))
		trail.Merge(Account{Name: name, Incarnation: 1})
	}
	if len(trail.others) > maxServers {
		t.Errorf("accounts of %d names, want at most %d", len(trail.others), maxServers)
	}
	trail.RemoveUnregistered(func(name string) bool { return name == "n" })
	if accounts := trail.Accounts(nil); len(accounts) != maxIncarnations {
		t.Errorf("%d accounts after Forget, want %d", len(accounts), maxIncarnations)
	}
}
