package release

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func releaseOf(o *Log, text string, waves ...float64) *Command {
	return &Command{Kind: KindRelease, Author: "a", ExpectedEpoch: o.NewestEpoch(), Text: text, Digest: Digest(text, ""), Waves: waves}
}

func founded(names int) *Log {
	o := BootstrapLog(&Log{}, 7, map[uint64]string{1: "v1"})
	for i := range names {
		_ = o.Apply(&Command{Kind: KindRegister, Name: fmt.Sprint("n", i), Incarnation: uint64(i + 1)})
	}
	return o
}

func TestWavesWidenAndRollBack(t *testing.T) {
	o := founded(20)
	if err := o.Apply(releaseOf(o, "door on", 0.01, 0.5)); err != nil {
		t.Fatal(err)
	}
	on := func() (n int) {
		for name := range o.Members {
			if o.VersionFor(name).Text == "door on" {
				n++
			}
		}
		return n
	}
	if n := on(); n != 1 {
		t.Errorf("%d servers in a first wave of 1%% of 20", n)
	}
	if err := o.Apply(releaseOf(o, "door off")); err != ErrRolloutInProgress {
		t.Errorf("a second release on the way: %v", err)
	}
	widen := &Command{Kind: KindAdvanceRollout, ExpectedEpoch: o.NewestEpoch()}
	if err := o.Apply(widen); err != nil || on() != 10 {
		t.Errorf("%d servers in a wave of half of 20, %v", on(), err)
	}
	first := o.NewestEpoch()
	if err := o.Apply(&Command{Kind: KindRollback, ExpectedEpoch: first, Author: "b", Reason: "harm"}); err != nil || on() != 0 || o.NewestEpoch() <= first {
		t.Errorf("rolled back: %d on it, %s, %v", on(), o.NewestEpoch(), err)
	}
	if err := o.Apply(widen); err != ErrStaleEpoch {
		t.Errorf("a wave of what is over: %v", err)
	}
	for _, text := range []string{"door-lobby 3", "door-lobby 4"} {
		if err := o.Apply(releaseOf(o, text)); err != nil {
			t.Fatal(err)
		}
	}
	if err := o.Apply(&Command{Kind: KindRollback, ExpectedEpoch: o.NewestEpoch(), Reason: "no"}); err != nil || o.Current.Text != "door-lobby 3" {
		t.Errorf("a settled release rolled back: %q, %v", o.Current.Text, err)
	}
	if fate := o.History[len(o.History)-1].Outcome; fate != "rolled back: no" {
		t.Errorf("its fate is %q", fate)
	}
}

// TestOrderKeepsItsWord: whatever is asked, no server's version goes back, no epoch has two digests, what is refused changes nothing but
// the count, every bound holds, and a copy that applied the same commands is equal.
func TestOrderKeepsItsWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := founded(rapid.IntRange(0, 6).Draw(t, "names"))
		copy := o.Clone()
		digests, on := map[Epoch]string{}, map[string]Epoch{}
		epoch := rapid.SampledFrom([]string{"newest", "base", "next", "wrong"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := &Command{Kind: Kind(rapid.IntRange(0, int(kindCount)).Draw(t, "kind")), Author: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "by"),
				ID: uint64(rapid.IntRange(0, 3).Draw(t, "id")), Name: rapid.SampledFrom([]string{"", "n0", "n1", "n9"}).Draw(t, "name"),
				Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "life")), Previous: uint64(rapid.IntRange(0, 12).Draw(t, "was")),
				Text:  rapid.SampledFrom([]string{"", "x", "y", strings.Repeat("z", maxText+1)}).Draw(t, "text"),
				Waves: rapid.SampledFrom([][]float64{nil, {0.5}, {0.01, 0.5, 1}, {0.5, 0.1}}).Draw(t, "waves")}
			c.Digest = Digest(c.Text, "")
			switch epoch.Draw(t, "on") {
			case "newest":
				c.ExpectedEpoch = o.NewestEpoch()
			case "base":
				c.ExpectedEpoch = o.Current.Epoch
			case "next":
				c.ExpectedEpoch = o.NewestEpoch() + 1
			}
			before := o.Clone()
			err := o.Apply(c)
			if again := copy.Apply(c); again != err || !reflect.DeepEqual(o, copy) {
				t.Fatalf("a copy differs after %+v: %v, %v", c, err, again)
			}
			if before.AppliedCount++; err != nil && !reflect.DeepEqual(before, o) {
				t.Fatalf("refused by %v, it changed all the same: %+v", err, c)
			}
			for _, v := range []*Version{&o.Current, o.Next} {
				if v != nil {
					if was, seen := digests[v.Epoch]; seen && was != v.Digest || !v.DigestMatches() {
						t.Fatalf("epoch %s: %s and %s", v.Epoch, was, v.Digest)
					}
					digests[v.Epoch] = v.Digest
				}
			}
			for _, name := range []string{"n0", "n1", "n2", "n9", "unheld"} {
				e := o.VersionFor(name).Epoch
				if e < on[name] {
					t.Fatalf("%s goes back from %s to %s by %+v", name, on[name], e, c)
				}
				on[name] = e
			}
			if len(o.History) > maxPast || len(o.LastCommandIDs) > maxPast {
				t.Fatalf("%d past, %d done", len(o.History), len(o.LastCommandIDs))
			}
		}
	})
}

// TestAllShortOrders plays every sequence of five out of a handful of commands by two operators who each know what was newest at some time.
func TestAllShortOrders(t *testing.T) {
	played := 0
	var play func(o *Log, knows [2]Epoch, given map[Epoch]string, depth int)
	play = func(o *Log, knows [2]Epoch, given map[Epoch]string, depth int) {
		if depth == 0 {
			played++
			return
		}
		for who := range 2 {
			for kind := range 4 {
				next, epochs := o.Clone(), knows
				text := fmt.Sprint("door-lobby ", who+1)
				var c *Command
				switch kind {
				case 0:
					c = &Command{Kind: KindRelease, Text: text, Digest: Digest(text, "")}
				case 1:
					c = &Command{Kind: KindRelease, Text: text, Digest: Digest(text, ""), Waves: []float64{0.5}}
				case 2:
					c = &Command{Kind: KindAdvanceRollout}
				case 3:
					c = &Command{Kind: KindRollback}
				}
				c.ExpectedEpoch, c.Author = knows[who], fmt.Sprint(who)
				err := next.Apply(c)
				if stale := knows[who] != o.NewestEpoch(); stale != (err == ErrStaleEpoch) {
					t.Fatalf("on %s while %s is newest: %v", knows[who], o.NewestEpoch(), err)
				}
				if err != nil {
					epochs[who] = next.NewestEpoch() // it looks
				}
				seen := map[Epoch]string{}
				for e, d := range given {
					seen[e] = d
				}
				for _, v := range []*Version{&next.Current, next.Next} {
					if v != nil {
						if d, was := seen[v.Epoch]; was && d != v.Digest {
							t.Fatalf("epoch %s has two digests", v.Epoch)
						}
						seen[v.Epoch] = v.Digest
					}
				}
				if next.VersionFor("n0").Epoch < o.VersionFor("n0").Epoch || next.NewestEpoch() < o.NewestEpoch() {
					t.Fatal("an epoch went back")
				}
				play(next, epochs, seen, depth-1)
			}
		}
	}
	o := founded(2)
	play(o, [2]Epoch{o.NewestEpoch(), o.NewestEpoch()}, map[Epoch]string{}, 5)
	if played != 32768 {
		t.Errorf("%d sequences of five out of eight", played)
	}
}

func TestNamesAndThoseShutOut(t *testing.T) {
	o := founded(1) // n0 is life 1's
	for i, step := range []struct {
		c    Command
		want error
	}{
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 2}, ErrNameTaken},
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 2, Previous: 1}, nil},
		{Command{Kind: KindEject, Name: "n0", Incarnation: 1, Reason: "late"}, ErrUnknownName},
		{Command{Kind: KindEject, Name: "n0", Incarnation: 2, Reason: "late"}, nil},
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 3, Previous: 2}, nil}, // another life is not shut out
		{Command{Kind: KindReadmit, Name: "n0"}, ErrUnknownName},
		{Command{Kind: KindEject, Name: "n0", Reason: "by an operator"}, nil},
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 4, Previous: 3}, nil}, // every life is
		{Command{Kind: KindReadmit, Name: "n0"}, nil},
		{Command{Kind: KindUnregister, Name: "n0", Incarnation: 3}, ErrUnknownName},
		{Command{Kind: KindUnregister, Name: "n0", Incarnation: 4}, nil},
		{Command{Kind: KindRegister, Name: "n0", Incarnation: 1}, nil},
	} {
		if err := o.Apply(&step.c); err != step.want {
			t.Fatalf("step %d, %+v: %v, not %v", i, step.c, err, step.want)
		}
	}
	for i := range maxNames + 10 {
		_ = o.Apply(&Command{Kind: KindRegister, Name: fmt.Sprint("m", i), Incarnation: 1})
	}
	if len(o.Members) != maxNames {
		t.Errorf("%d names are held", len(o.Members))
	}
}

func TestEpochsAreReadAsWritten(t *testing.T) {
	for _, e := range []Epoch{0, 1, NewEpoch(3, 17), NewEpoch(1<<32-1, 1<<32-1)} {
		if got, err := ParseEpoch(e.String()); err != nil || got != e {
			t.Errorf("%s came back as %s, %v", e, got, err)
		}
	}
	for _, text := range []string{"", "3", "3.", ".1", "3.1.2", "-1.2", "4294967296.1"} {
		if e, err := ParseEpoch(text); err == nil {
			t.Errorf("%q is %s", text, e)
		}
	}
}

func TestHarmIsToldFromNoise(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	draw := func(n int, share float64) (toll ErrorTally) {
		for range n {
			toll.Completed++
			if chance.Float64() < share {
				toll.Failed++
			}
		}
		return toll
	}
	falls, found := 0, 0
	for range 2000 {
		if HarmConfidence(draw(300, 0.10), draw(3000, 0.10)) > 0.9999 {
			falls++
		}
		if HarmConfidence(draw(300, 0.30), draw(3000, 0.10)) > 0.9999 {
			found++
		}
	}
	if falls > 3 || found < 1990 {
		t.Errorf("of 2000 each, %d good releases and %d bad ones were told as harm", falls, found)
	}
	if sure := HarmConfidence(ErrorTally{99, 99}, ErrorTally{1000, 0}); sure != 0 {
		t.Errorf("99 tasks are enough to be %g sure", sure)
	}
	if sure := HarmConfidence(ErrorTally{1e6, 1.1e5}, ErrorTally{1e6, 1e5}); sure != 0 {
		t.Errorf("one in a hundred more is %g sure to be worth a halt", sure)
	}
}

func BenchmarkApplyRelease(b *testing.B) {
	o := founded(1000)
	text := strings.Repeat("door-known 10.1.0.0/16\n", 40)
	for b.Loop() {
		_ = o.Apply(releaseOf(o, text, 0.01, 0.1))
		_ = o.Apply(&Command{Kind: KindRollback, ExpectedEpoch: o.NewestEpoch()})
	}
}

func BenchmarkForAThousandServers(b *testing.B) {
	o := founded(1000)
	_ = o.Apply(releaseOf(o, "x", 0.5))
	for b.Loop() {
		o.VersionFor("n123")
	}
}
