package version

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func releaseOf(o *Order, text string, waves ...float64) *Command {
	return &Command{Kind: Release, Author: "a", On: o.Newest(), Text: text, Digest: Digest(text, ""), Waves: waves}
}

func founded(names int) *Order {
	o := Found(&Order{}, 7, map[uint64]string{1: "v1"})
	for i := range names {
		_ = o.Apply(&Command{Kind: Hold, Name: fmt.Sprint("n", i), Life: uint64(i + 1)})
	}
	return o
}

func TestWavesWidenAndRollBack(t *testing.T) {
	o := founded(20)
	if err := o.Apply(releaseOf(o, "door on", 0.01, 0.5)); err != nil {
		t.Fatal(err)
	}
	on := func() (n int) {
		for name := range o.Holds {
			if o.For(name).Text == "door on" {
				n++
			}
		}
		return n
	}
	if n := on(); n != 1 {
		t.Errorf("%d servers in a first wave of 1%% of 20", n)
	}
	if err := o.Apply(releaseOf(o, "door off")); err != ErrOnWay {
		t.Errorf("a second release on the way: %v", err)
	}
	widen := &Command{Kind: Widen, On: o.Newest()}
	if err := o.Apply(widen); err != nil || on() != 10 {
		t.Errorf("%d servers in a wave of half of 20, %v", on(), err)
	}
	first := o.Newest()
	if err := o.Apply(&Command{Kind: Revert, On: first, Author: "b", Why: "harm"}); err != nil || on() != 0 || o.Newest() <= first {
		t.Errorf("rolled back: %d on it, %s, %v", on(), o.Newest(), err)
	}
	if err := o.Apply(widen); err != ErrStale {
		t.Errorf("a wave of what is over: %v", err)
	}
	for _, text := range []string{"door-lobby 3", "door-lobby 4"} {
		if err := o.Apply(releaseOf(o, text)); err != nil {
			t.Fatal(err)
		}
	}
	if err := o.Apply(&Command{Kind: Revert, On: o.Newest(), Why: "no"}); err != nil || o.Base.Text != "door-lobby 3" {
		t.Errorf("a settled release rolled back: %q, %v", o.Base.Text, err)
	}
	if fate := o.Past[len(o.Past)-1].Fate; fate != "rolled back: no" {
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
			c := &Command{Kind: Kind(rapid.IntRange(0, int(kinds)).Draw(t, "kind")), Author: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "by"),
				ID: uint64(rapid.IntRange(0, 3).Draw(t, "id")), Name: rapid.SampledFrom([]string{"", "n0", "n1", "n9"}).Draw(t, "name"),
				Life: uint64(rapid.IntRange(0, 3).Draw(t, "life")), Was: uint64(rapid.IntRange(0, 12).Draw(t, "was")),
				Text:  rapid.SampledFrom([]string{"", "x", "y", strings.Repeat("z", maxText+1)}).Draw(t, "text"),
				Waves: rapid.SampledFrom([][]float64{nil, {0.5}, {0.01, 0.5, 1}, {0.5, 0.1}}).Draw(t, "waves")}
			c.Digest = Digest(c.Text, "")
			switch epoch.Draw(t, "on") {
			case "newest":
				c.On = o.Newest()
			case "base":
				c.On = o.Base.Epoch
			case "next":
				c.On = o.Newest() + 1
			}
			before := o.Clone()
			err := o.Apply(c)
			if again := copy.Apply(c); again != err || !reflect.DeepEqual(o, copy) {
				t.Fatalf("a copy differs after %+v: %v, %v", c, err, again)
			}
			if before.Count++; err != nil && !reflect.DeepEqual(before, o) {
				t.Fatalf("refused by %v, it changed all the same: %+v", err, c)
			}
			for _, v := range []*Version{&o.Base, o.Next} {
				if v != nil {
					if was, seen := digests[v.Epoch]; seen && was != v.Digest || !v.Whole() {
						t.Fatalf("epoch %s: %s and %s", v.Epoch, was, v.Digest)
					}
					digests[v.Epoch] = v.Digest
				}
			}
			for _, name := range []string{"n0", "n1", "n2", "n9", "unheld"} {
				e := o.For(name).Epoch
				if e < on[name] {
					t.Fatalf("%s goes back from %s to %s by %+v", name, on[name], e, c)
				}
				on[name] = e
			}
			if len(o.Past) > maxPast || len(o.Done) > maxPast {
				t.Fatalf("%d past, %d done", len(o.Past), len(o.Done))
			}
		}
	})
}

// TestAllShortOrders plays every sequence of five out of a handful of commands by two operators who each know what was newest at some time.
func TestAllShortOrders(t *testing.T) {
	played := 0
	var play func(o *Order, knows [2]Epoch, given map[Epoch]string, depth int)
	play = func(o *Order, knows [2]Epoch, given map[Epoch]string, depth int) {
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
					c = &Command{Kind: Release, Text: text, Digest: Digest(text, "")}
				case 1:
					c = &Command{Kind: Release, Text: text, Digest: Digest(text, ""), Waves: []float64{0.5}}
				case 2:
					c = &Command{Kind: Widen}
				case 3:
					c = &Command{Kind: Revert}
				}
				c.On, c.Author = knows[who], fmt.Sprint(who)
				err := next.Apply(c)
				if stale := knows[who] != o.Newest(); stale != (err == ErrStale) {
					t.Fatalf("on %s while %s is newest: %v", knows[who], o.Newest(), err)
				}
				if err != nil {
					epochs[who] = next.Newest() // it looks
				}
				seen := map[Epoch]string{}
				for e, d := range given {
					seen[e] = d
				}
				for _, v := range []*Version{&next.Base, next.Next} {
					if v != nil {
						if d, was := seen[v.Epoch]; was && d != v.Digest {
							t.Fatalf("epoch %s has two digests", v.Epoch)
						}
						seen[v.Epoch] = v.Digest
					}
				}
				if next.For("n0").Epoch < o.For("n0").Epoch || next.Newest() < o.Newest() {
					t.Fatal("an epoch went back")
				}
				play(next, epochs, seen, depth-1)
			}
		}
	}
	o := founded(2)
	play(o, [2]Epoch{o.Newest(), o.Newest()}, map[Epoch]string{}, 5)
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
		{Command{Kind: Hold, Name: "n0", Life: 2}, ErrTaken},
		{Command{Kind: Hold, Name: "n0", Life: 2, Was: 1}, nil},
		{Command{Kind: Shut, Name: "n0", Life: 1, Why: "late"}, ErrNoName},
		{Command{Kind: Shut, Name: "n0", Life: 2, Why: "late"}, nil},
		{Command{Kind: Hold, Name: "n0", Life: 3, Was: 2}, nil}, // another life is not shut out
		{Command{Kind: Admit, Name: "n0"}, ErrNoName},
		{Command{Kind: Shut, Name: "n0", Why: "by an operator"}, nil},
		{Command{Kind: Hold, Name: "n0", Life: 4, Was: 3}, nil}, // every life is
		{Command{Kind: Admit, Name: "n0"}, nil},
		{Command{Kind: Forget, Name: "n0", Life: 3}, ErrNoName},
		{Command{Kind: Forget, Name: "n0", Life: 4}, nil},
		{Command{Kind: Hold, Name: "n0", Life: 1}, nil},
	} {
		if err := o.Apply(&step.c); err != step.want {
			t.Fatalf("step %d, %+v: %v, not %v", i, step.c, err, step.want)
		}
	}
	for i := range maxNames + 10 {
		_ = o.Apply(&Command{Kind: Hold, Name: fmt.Sprint("m", i), Life: 1})
	}
	if len(o.Holds) != maxNames {
		t.Errorf("%d names are held", len(o.Holds))
	}
}

func TestEpochsAreReadAsWritten(t *testing.T) {
	for _, e := range []Epoch{0, 1, At(3, 17), At(1<<32-1, 1<<32-1)} {
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
	draw := func(n int, share float64) (toll Toll) {
		for range n {
			toll.Ended++
			if chance.Float64() < share {
				toll.Harmed++
			}
		}
		return toll
	}
	falls, found := 0, 0
	for range 2000 {
		if Harm(draw(300, 0.10), draw(3000, 0.10)) > 0.9999 {
			falls++
		}
		if Harm(draw(300, 0.30), draw(3000, 0.10)) > 0.9999 {
			found++
		}
	}
	if falls > 3 || found < 1990 {
		t.Errorf("of 2000 each, %d good releases and %d bad ones were told as harm", falls, found)
	}
	if sure := Harm(Toll{99, 99}, Toll{1000, 0}); sure != 0 {
		t.Errorf("99 tasks are enough to be %g sure", sure)
	}
	if sure := Harm(Toll{1e6, 1.1e5}, Toll{1e6, 1e5}); sure != 0 {
		t.Errorf("one in a hundred more is %g sure to be worth a halt", sure)
	}
}

func BenchmarkApplyRelease(b *testing.B) {
	o := founded(1000)
	text := strings.Repeat("door-known 10.1.0.0/16\n", 40)
	for b.Loop() {
		_ = o.Apply(releaseOf(o, text, 0.01, 0.1))
		_ = o.Apply(&Command{Kind: Revert, On: o.Newest()})
	}
}

func BenchmarkForAThousandServers(b *testing.B) {
	o := founded(1000)
	_ = o.Apply(releaseOf(o, "x", 0.5))
	for b.Loop() {
		o.For("n123")
	}
}
