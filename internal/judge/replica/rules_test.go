package replica

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/judge/stance"
	state "swiftcourse/internal/replica"
)

// drawn is a record of some tries, in order, with few values so that copies meet.
func drawn(t *rapid.T, label string) *state.Record {
	r := &state.Record{Until: rapid.Float64Range(0, 9).Draw(t, label+" until")}
	for n := range rapid.IntRange(0, 4).Draw(t, label+" tries") {
		c := state.Claim{At: int64(n), Who: rapid.Uint64Range(1, 2).Draw(t, "who"), N: 1}
		if try := (state.Try{Claim: c, State: state.State(rapid.IntRange(0, 2).Draw(t, "state"))}); rapid.Bool().Draw(t, "ran") {
			try = state.Finish(c, []byte(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "result")))
			if rapid.Bool().Draw(t, "dropped") {
				try.Result = nil
			}
			r.Tries = append(r.Tries, try)
		} else {
			r.Tries = append(r.Tries, try)
		}
	}
	return r
}

func TestMergeIsTheSameInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawn(t, "a"), drawn(t, "b"), drawn(t, "c")
		merge := func(x, y *state.Record) *state.Record { m := Merge(x, y); return &m }
		for _, law := range []struct {
			name string
			x, y *state.Record
		}{
			{"commutative", merge(a, b), merge(b, a)},
			{"associative", merge(a, merge(b, c)), merge(merge(a, b), c)},
			{"idempotent", merge(a, merge(a, b)), merge(a, b)},
			{"with nothing", merge(a, nil), merge(a, a)},
		} {
			if !reflect.DeepEqual(law.x, law.y) {
				t.Fatalf("not %s: %+v, %+v", law.name, law.x, law.y)
			}
		}
		for _, try := range merge(a, b).Tries { // nothing that was known of a claim is unlearned
			for _, of := range [][]state.Try{a.Tries, b.Tries} {
				if i := slices.IndexFunc(of, func(o state.Try) bool { return o.Claim == try.Claim }); i >= 0 && of[i].State > try.State {
					t.Fatalf("%+v became %+v", of[i], try)
				}
			}
		}
	})
}

func terms(n, copies int) Terms {
	t := Terms{Copies: copies, Window: 8, Longest: 1}
	for i := range n {
		t.Members = append(t.Members, Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint(i % 3), Weight: float64(1 + i%2)})
	}
	return t
}

func TestWhoHoldsWhat(t *testing.T) {
	p, err := NewPlace(terms(12, 3))
	if err != nil {
		t.Fatal(err)
	}
	backwards := terms(12, 3)
	slices.Reverse(backwards.Members)
	if same, err := NewPlace(backwards); err != nil || same.Digest != p.Digest {
		t.Errorf("the order in which holders are named counts: %v", err)
	}
	fewer := terms(12, 3)
	fewer.Members = slices.Delete(fewer.Members, 4, 5)
	without, err := NewPlace(fewer)
	if err != nil {
		t.Fatal(err)
	}
	moved := 0
	for slot := range state.Slots {
		zones := map[string]bool{}
		var names, after []string
		for _, i := range p.Group(slot) {
			zones[p.Members[i].Zone] = true
			names = append(names, p.Members[i].Name)
		}
		for _, i := range without.Group(slot) {
			after = append(after, without.Members[i].Name)
		}
		if len(zones) != 3 || len(names) != 3 {
			t.Errorf("slot %d is held by %v, in %d zones", slot, names, len(zones))
		}
		for _, name := range names {
			if name != "n04" && !slices.Contains(after, name) {
				moved++
			}
		}
	}
	if moved > 3*state.Slots/10 {
		t.Errorf("%d of %d places moved that did not have to", moved, 3*state.Slots)
	}
	for i, m := range p.Members {
		if n := len(p.Slots(i)); float64(n) > bound*3*state.Slots*m.Weight/18+1 {
			t.Errorf("%s, of weight %g, holds %d", m.Name, m.Weight, n)
		}
	}
	for _, wrong := range []Terms{{}, terms(3, 0), terms(3, 8), {Members: []Member{{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}, Copies: 1, Window: 1, Longest: 1},
		{Members: []Member{{Name: "a"}}, Copies: 1, Window: 1, Longest: 1}} {
		if _, err := NewPlace(wrong); err == nil {
			t.Errorf("%+v was taken", wrong)
		}
	}
}

// three are warm holders of all slots, each with what it knows of the others.
func three(t testing.TB) (p *Place, holders []*Holder) {
	p, err := NewPlace(terms(3, 3))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		sits := Sittings{{10, 1}, {10, 2}, {10, 3}}
		h := NewHolder(p, i, sits, state.NewStore(200_000, 1<<30), 1e12, 0)
		for slot := range state.Slots {
			h.warm(slot)
		}
		holders = append(holders, h)
	}
	return p, holders
}

// catchUp has one holder learn from the others until it may answer, or nobody tells it more.
func catchUp(now float64, h *Holder, others ...*Holder) {
	for range 100_000 {
		h.Due(now)
		letters := h.Letters()
		if len(letters) == 0 {
			return
		}
		for _, l := range letters {
			for _, o := range others {
				if o.me == l.To && l.Pull != nil {
					h.Told(now, o.me, o.Pulled(now, h.me, l.Pull), 1)
				}
			}
		}
		now += 1e-6
	}
}

var (
	key    = state.KeyOf("ping", "k")
	first  = state.Try{Claim: state.Claim{At: 1, Who: 7, N: 1}}
	second = state.Try{Claim: state.Claim{At: 2, Who: 8, N: 1}}
)

func ask(p *Place, try state.Try, sits []Sitting) *Ask {
	return &Ask{Plan: p.Digest, Verb: Run, Key: key, Try: try, Sits: sits}
}

// TestASittingFencesWhatWasGrantedBefore: a claimant has the word of a holder that dies, and asks the next one after the dead one's successor has learned.
func TestASittingFencesWhatWasGrantedBefore(t *testing.T) {
	p, h := three(t)
	before := []Sitting{{10, 1}, {10, 2}, {10, 3}}
	if a := h[0].Read(1, ask(p, first, before)); a.Verdict != Granted {
		t.Fatalf("it is %s", a.Verdict)
	}
	back := NewHolder(p, 0, Sittings{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(100, 1<<20), 1e9, 1)
	if a := back.Read(1, ask(p, second, []Sitting{{11, 4}, {10, 2}, {10, 3}})); a.Verdict != Cold {
		t.Errorf("cold, it is %s", a.Verdict)
	}
	catchUp(1, back, h[1], h[2])
	if !back.Warm(key.Slot()) {
		t.Fatal("it learned nothing")
	}
	for _, o := range h[1:] {
		if a := o.Read(1.5, ask(p, first, before)); a.Verdict != Stale {
			t.Errorf("what counts on the dead one is %s at %d", a.Verdict, o.me)
		}
	}
	now := []Sitting{{11, 4}, {10, 2}, {10, 3}}
	for _, o := range []*Holder{back, h[1]} {
		if a := o.Read(1.6, ask(p, second, now)); a.Verdict != Granted {
			t.Errorf("the second claim is %s at %d", a.Verdict, o.me)
		}
	}
	for _, o := range []*Holder{back, h[1]} {
		if a := o.Read(1.7, ask(p, first, now)); a.Verdict != Held {
			t.Errorf("the first claim, asked again, is %s at %d", a.Verdict, o.me)
		}
	}
}

// TestAFlippedBitFences: a holder that lost a record is another one from then on.
func TestAFlippedBitFences(t *testing.T) {
	p, h := three(t)
	sits := []Sitting{{10, 1}, {10, 2}, {10, 3}}
	h[0].Read(1, ask(p, first, sits))
	h[0].store.Flip(key)
	a := h[0].Read(1.1, ask(p, second, sits))
	if a.Verdict != Stale || a.Sits[0].N != 11 || h[0].Warm(key.Slot()) || !h[0].Warm(key.Slot()^1) {
		t.Fatalf("it is %s, %v", a.Verdict, a.Sits)
	}
	catchUp(2, h[0], h[1], h[2])
	if a := h[1].Read(2, ask(p, first, sits)); a.Verdict != Stale {
		t.Errorf("what counts on the lost record is %s", a.Verdict)
	}
}

// TestALateSliceTeachesNothing: what was told to the sitting before, or twice, does not make this one warm.
func TestALateSliceTeachesNothing(t *testing.T) {
	p, h := three(t)
	cold := NewHolder(p, 0, Sittings{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(100, 1<<20), 1e9, 1)
	cold.Due(1)
	var late []*Slice
	for _, l := range cold.Letters() {
		late = append(late, h[l.To].Pulled(1, 0, l.Pull))
	}
	cold.hear(1, []int{0}, []Sitting{{20, 9}}) // it was taken for gone: it sits down anew
	if cold.sits[0].N != 21 {
		t.Fatalf("it sits at %v", cold.sits[0])
	}
	cold.Due(2)
	if again := cold.Letters(); len(again) == 0 || again[0].Pull.Number == late[0].Number {
		t.Errorf("sat down anew, it asks %+v", again)
	}
	for i, s := range late {
		cold.Told(2, i+1, s, 1)
		cold.Told(2, i+1, s, 1)
	}
	if n := len(p.Slots(0)); cold.Cold() != n {
		t.Errorf("%d of %d slots are cold", cold.Cold(), n)
	}
}

// TestCatchUpGoesOnWhereItWasCut also has the teller replaced in the middle of a slot.
func TestCatchUpGoesOnWhereItWasCut(t *testing.T) {
	p, h := three(t)
	fill(h[1:], 3000, 40)
	back := NewHolder(p, 0, Sittings{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(10_000, 1<<24), 1e9, 1)
	now, lost := 1.0, 0
	for n := 0; back.Cold() > 0 && n < 10_000; n++ {
		back.Due(now)
		for _, l := range back.Letters() {
			if l.Pull == nil {
				continue
			}
			if s := h[l.To].Pulled(now, 0, l.Pull); n%3 > 0 {
				back.Told(now, l.To, s, 1)
			} else {
				lost++
			}
			if n == 4 {
				h[1].lost(now, 200)
				catchUp(now, h[1], h[2])
			}
		}
		now += 0.05
	}
	if back.store.Len() != 3000 || lost == 0 {
		t.Errorf("%d records, %d slices lost", back.store.Len(), lost)
	}
	for slot := range state.Slots {
		if back.Sum(slot) != h[2].Sum(slot) {
			t.Fatalf("slot %d differs", slot)
		}
	}
}

// fill enters keys that ran.
func fill(holders []*Holder, n, result int) {
	for i := range n {
		k := state.KeyOf("ping", fmt.Sprint(i))
		r := state.Record{Key: k, Until: 1e9, Tries: []state.Try{state.Finish(state.Claim{At: int64(i), Who: 1, N: uint64(i)}, make([]byte, result))}}
		for _, h := range holders {
			h.store.Put(r)
		}
	}
}

func BenchmarkGrantAndEnd(b *testing.B) {
	p, holders := three(b)
	h, sits := holders[0], []Sitting{{10, 1}, {10, 2}, {10, 3}}
	q := ask(p, first, sits)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		q.Key = state.KeyOf("ping", fmt.Sprint(n))
		q.Verb, q.Try = Run, first
		h.Read(float64(n)*1e-4, q)
		q.Verb, q.Try = Say, state.Finish(first.Claim, nil)
		h.Read(float64(n)*1e-4, q)
	}
}

// BenchmarkCatchUp has a cold holder told 100,000 records of 100 bytes by two others; BenchmarkPlainCopy is the same bytes, copied.
func BenchmarkCatchUp(b *testing.B) {
	p, h := three(b)
	fill(h[1:], 100_000, 100)
	for b.Loop() {
		back := NewHolder(p, 0, Sittings{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(200_000, 1<<30), 1e12, 1)
		catchUp(1, back, h[1], h[2])
		if back.Cold() > 0 || back.store.Len() != 100_000 {
			b.Fatalf("%d cold, %d records", back.Cold(), back.store.Len())
		}
	}
}

func BenchmarkPlainCopy(b *testing.B) {
	from := make([][]byte, 100_000)
	for i := range from {
		from[i] = make([]byte, 200)
	}
	for b.Loop() {
		to := make([][]byte, 0, len(from))
		for _, r := range from {
			to = append(to, slices.Clone(r))
		}
		if len(to) != len(from) {
			b.Fatal("short")
		}
	}
}

// TestGrantsCountUnderOneListOfSittings: one that was given before a holder was replaced does not add to those given after.
func TestGrantsCountUnderOneListOfSittings(t *testing.T) {
	p, err := NewPlace(terms(3, 3))
	if err != nil {
		t.Fatal(err)
	}
	s := NewAsker(p, make(Sittings, 3), 7, func() float64 { return 1 }, 0)
	s.Begin(0, "t", key, 1)
	claim := s.Letters()[0].Ask.Try.Claim
	say := func(from int, v Verdict, sits ...Sitting) {
		s.Read(0.01, from, &Answer{Key: key, Claim: claim, Verdict: v, Sits: sits})
	}
	before, after := []Sitting{{10, 1}, {10, 2}, {10, 3}}, []Sitting{{11, 4}, {10, 2}, {10, 3}}
	say(0, Stale, before...)
	say(0, Granted, before...)
	say(1, Stale, after...)
	say(1, Granted, after...)
	say(0, Granted, before...) // the dead one's word, once more
	say(2, Granted, before...)
	if told := s.Rulings(); len(told) > 0 {
		t.Fatalf("told %v by one holder under each list", told)
	}
	say(2, Granted, after...)
	if told := s.Rulings(); len(told) != 1 || told[0].Ruling != stance.ClaimGranted {
		t.Errorf("told %v", told)
	}
}

// TestATellerThatIsReplacedInTheMiddleTellsItAllAgain: what came after its first half may be less than there was.
func TestATellerThatIsReplacedInTheMiddleTellsItAllAgain(t *testing.T) {
	_, h := three(t)
	slot := key.Slot()
	for n := 0; n < 40; n++ { // too much for one slice
		k := key
		k[15] = byte(n)
		h[1].store.Put(state.Record{Key: k, Until: 1e9, Tries: []state.Try{state.Finish(state.Claim{At: 1, Who: 1, N: uint64(n)}, make([]byte, 4000))}})
	}
	back := NewHolder(h[0].place, 0, Sittings{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(10_000, 1<<24), 1e9, 1)
	told := func() *Slice {
		back.pull(1, 1, back.pulls[1])
		letters := back.Letters()
		return h[1].Pulled(1, 0, letters[len(letters)-1].Pull)
	}
	back.pulls[1].wants = map[int]bool{slot: true}
	told()
	s := told() // asked again, the answer to either counts
	if back.Told(1, 1, s, 1); back.numbers != 1 {
		t.Errorf("%d numbers for one question", back.numbers)
	}
	if !back.pulls[1].begun || s.Parts[0].All {
		t.Fatal("it came in one")
	}
	h[1].sits[1] = Sitting{12, 9}
	back.Told(1, 1, told(), 1)
	if back.pulls[1].begun || len(back.cold[slot].told) > 0 {
		t.Error("it goes on with another teller where the first one was")
	}
}

// TestWordsOnCallers: whatever order words come in, and however often, they come to the same; one that lies fills its own part and no other's.
func TestWordsOnCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []Voucher
		for i := range rapid.IntRange(1, 6).Draw(t, "words") {
			w := Voucher{Name: fmt.Sprint("n", i%3), Life: rapid.Uint64Range(1, 2).Draw(t, "life"), Number: uint64(i)}
			for j := range rapid.IntRange(0, 8).Draw(t, "callers") {
				w.Earned = append(w.Earned, door.Earned{Addr: netip.AddrFrom4([4]byte{10, 0, byte(i % 2), byte(j)}), Credit: float64(1 + j)})
			}
			words = append(words, w)
		}
		one, other := NewVouchers(60), NewVouchers(60)
		for _, w := range words {
			one.Hear(1, w)
		}
		for _, w := range rapid.Permutation(append(words, words...)).Draw(t, "order") {
			other.Hear(2, w)
		}
		most := rapid.IntRange(0, 20).Draw(t, "most")
		a, b := one.Merged(3, most), other.Merged(3, most)
		if !slices.Equal(a, b) || len(a) > most {
			t.Fatalf("%v, %v, of %d", a, b, most)
		}
	})
	v := NewVouchers(60)
	honest := netip.MustParseAddr("10.0.0.1")
	lies := Voucher{Name: "liar", Life: 1, Number: 1}
	for i := range 2 * MaxEarned {
		lies.Earned = append(lies.Earned, door.Earned{Addr: netip.AddrFrom4([4]byte{11, 0, byte(i >> 8), byte(i)}), Credit: 1e9})
	}
	v.Hear(1, lies)
	v.Hear(1, Voucher{Name: "honest", Life: 1, Number: 1, Earned: []door.Earned{{Addr: honest, Credit: 3}}})
	list := v.Merged(2, 10)
	if !slices.ContainsFunc(list, func(e door.Earned) bool { return e.Addr == honest }) || len(list) != 10 {
		t.Errorf("ten places went to %v", list)
	}
	if len(v.Merged(62, 10)) != 0 {
		t.Error("words of a minute ago are still heeded")
	}
}
