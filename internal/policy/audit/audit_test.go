package audit

import (
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

func TestAnAuditTellsHolesAndAlarms(t *testing.T) {
	o := release.BootstrapLog(&release.Log{}, 7, nil)
	for i, name := range []string{"n1", "n2", "n3"} {
		_ = o.Apply(&release.Command{Kind: release.KindRegister, Name: name, Incarnation: uint64(i + 1)})
	}
	first := o.Current
	on := func(name string, life uint64, started float64, list ...Interval) Account {
		return Account{Name: name, Life: life, Started: started, Seen: started + 10, Intervals: list}
	}
	good := Interval{Epoch: first.Epoch, Digest: first.Digest, From: 1, To: 2}
	standings := []lease.ServerStatus{{Name: "n1", Incarnation: 1, ActiveEpoch: first.Epoch, AssignedEpoch: first.Epoch, Reported: true},
		{Name: "n2", Incarnation: 2, ActiveEpoch: 0, AssignedEpoch: first.Epoch, Reported: true, BlockedBy: "its limits"}, {Name: "n3", Incarnation: 3, AssignedEpoch: first.Epoch}}
	r := Make(o, standings, []Account{on("n1", 1, 100, good), on("n1", 9, 50, good), on("n2", 2, 0)}, map[uint64]bool{1: true, 2: true}, 0)
	if len(r.Alarms) != 0 || len(r.Accounts) != 3 || r.Accounts[0].Life != 9 {
		t.Errorf("%+v", r)
	}
	want := []Hole{{Name: "n1", Life: 9, From: 60, To: 100, Why: "nothing was heard of it after this"},
		{Name: "n3", Life: 3, Why: "nobody who answered has its account"}}
	if !reflect.DeepEqual(r.Holes, want) {
		t.Errorf("holes %+v", r.Holes)
	}
	if len(r.Behind) != 2 || r.Behind[0].Why != "its limits" || r.Behind[1].Why != "not heard since this leader leads" {
		t.Errorf("behind %+v", r.Behind)
	}
	bad := good
	bad.Digest = "another"
	r = Make(o, standings, []Account{on("n1", 1, 0, good), on("n2", 2, 0, bad)}, nil, 0)
	if len(r.Alarms) != 1 || !strings.Contains(r.Alarms[0], first.Epoch.String()) {
		t.Errorf("alarms %v", r.Alarms)
	}
	if r = Make(o, nil, []Account{on("n1", 1, 0, good)}, nil, first.Epoch+1); len(r.Accounts[0].Intervals) != 0 {
		t.Error("what was before is still there")
	}
}

// TestWhateverComesFirstTheBookIsTheSame: a life's account that is told in parts, doubled, in any order, comes to one and the same, with
// everything that was told in it or counted as dropped.
func TestWhateverComesFirstTheBookIsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		life := NewBook("n1", 5, 0)
		var told []Account
		n := rapid.IntRange(1, 12).Draw(t, "intervals")
		for i := range n {
			life.Begin(float64(10*i), release.Epoch(i+1), "d", "released")
			life.Count(float64(10*i+5), 1, 2)
			if rapid.Bool().Draw(t, "brief") {
				told = append(told, life.Brief())
			}
		}
		told = append(told, life.Own())
		order := rapid.Permutation(append(told, told...)).Draw(t, "order")
		b := NewBook("other", 1, 0)
		for _, a := range order {
			b.Hear(a)
		}
		heard := b.Heard([]string{"n1"})
		if len(heard) != 1 || !reflect.DeepEqual(heard[0], life.Own()) {
			t.Fatalf("heard %+v, not %+v", heard, life.Own())
		}
	})
}

func TestTheBookIsBounded(t *testing.T) {
	b := NewBook("me", 1, 0)
	for i := range 3 * maxIntervals {
		b.Begin(float64(i), release.Epoch(i+1), "d", "")
	}
	if own := b.Own(); len(own.Intervals) != maxIntervals || own.Dropped != 2*maxIntervals {
		t.Errorf("%d kept, %d dropped", len(own.Intervals), own.Dropped)
	}
	for life := range uint64(10) {
		b.Hear(Account{Name: "n", Life: life + 1, Seen: float64(life)})
	}
	if heard := b.Heard(nil); len(heard) != maxLives || heard[len(heard)-1].Life != 10 {
		t.Errorf("%d lives of one name, %+v", len(heard), heard)
	}
	for i := range maxNames + 100 {
		b.Hear(Account{Name: "n" + strings.Repeat("x", i%100) + string(rune('0'+i/100)), Life: 1})
	}
	if len(b.others) > maxNames {
		t.Errorf("%d names", len(b.others))
	}
	b.Forget(func(name string) bool { return name == "n" })
	if heard := b.Heard(nil); len(heard) != maxLives {
		t.Errorf("%d accounts are left", len(heard))
	}
}
