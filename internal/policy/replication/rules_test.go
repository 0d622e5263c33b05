package replication

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/serving"
	state "swiftcourse/internal/replicastore"
)

// drawRecord is a record of some tries, in order, with few values so that copies meet.
func drawRecord(t *rapid.T, label string) *state.Record {
	r := &state.Record{ExpiresAt: rapid.Float64Range(0, 9).Draw(t, label+" until")}
	for n := range rapid.IntRange(0, 4).Draw(t, label+" tries") {
		c := state.ClaimID{UnixMilli: int64(n), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "who"), Sequence: 1}
		if try := (state.Attempt{ClaimID: c, State: state.State(rapid.IntRange(0, 2).Draw(t, "state"))}); rapid.Bool().Draw(t, "ran") {
			try = state.NewFinishedAttempt(c, []byte(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "result")))
			if rapid.Bool().Draw(t, "dropped") {
				try.Result = nil
			}
			r.Attempts = append(r.Attempts, try)
		} else {
			r.Attempts = append(r.Attempts, try)
		}
	}
	return r
}

func TestMerge_IndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
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
		for _, try := range merge(a, b).Attempts { // nothing that was known of a claim is unlearned
			for _, of := range [][]state.Attempt{a.Attempts, b.Attempts} {
				if i := slices.IndexFunc(of, func(o state.Attempt) bool { return o.ClaimID == try.ClaimID }); i >= 0 && of[i].State > try.State {
					t.Fatalf("%+v became %+v", of[i], try)
				}
			}
		}
	})
}

func testConfig(n, copies int) Config {
	t := Config{ReplicationFactor: copies, RetentionWindow: 8, MaxClaimDuration: 1}
	for i := range n {
		t.Members = append(t.Members, Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint(i % 3), Weight: float64(1 + i%2)})
	}
	return t
}

func TestNewPlacement(t *testing.T) {
	p, err := NewPlacement(testConfig(12, 3))
	if err != nil {
		t.Fatal(err)
	}
	backwards := testConfig(12, 3)
	slices.Reverse(backwards.Members)
	if same, err := NewPlacement(backwards); err != nil || same.ConfigDigest != p.ConfigDigest {
		t.Errorf("the order in which holders are named counts: %v", err)
	}
	fewer := testConfig(12, 3)
	fewer.Members = slices.Delete(fewer.Members, 4, 5)
	without, err := NewPlacement(fewer)
	if err != nil {
		t.Fatal(err)
	}
	moved := 0
	for slot := range state.SlotCount {
		zones := map[string]bool{}
		var names, after []string
		for _, i := range p.Replicas(slot) {
			zones[p.Members[i].Zone] = true
			names = append(names, p.Members[i].Name)
		}
		for _, i := range without.Replicas(slot) {
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
	if moved > 3*state.SlotCount/10 {
		t.Errorf("%d of %d places moved that did not have to", moved, 3*state.SlotCount)
	}
	for i, m := range p.Members {
		if n := len(p.SlotsOf(i)); float64(n) > maxLoadFactor*3*state.SlotCount*m.Weight/18+1 {
			t.Errorf("%s, of weight %g, holds %d", m.Name, m.Weight, n)
		}
	}
	for _, wrong := range []Config{{}, testConfig(3, 0), testConfig(3, 8), {Members: []Member{{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}, ReplicationFactor: 1, RetentionWindow: 1, MaxClaimDuration: 1},
		{Members: []Member{{Name: "a"}}, ReplicationFactor: 1, RetentionWindow: 1, MaxClaimDuration: 1}} {
		if _, err := NewPlacement(wrong); err == nil {
			t.Errorf("%+v was taken", wrong)
		}
	}
}

// threeCaughtUpReplicas are warm holders of all slots, each with what it knows of the others.
func threeCaughtUpReplicas(t testing.TB) (p *Placement, holders []*Replica) {
	p, err := NewPlacement(testConfig(3, 3))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		sits := TermTable{{10, 1}, {10, 2}, {10, 3}}
		h := NewReplica(p, i, sits, state.NewStore(200_000, 1<<30), 1e12, 0)
		for slot := range state.SlotCount {
			h.markCaughtUp(slot)
		}
		holders = append(holders, h)
	}
	return p, holders
}

// catchUp has one holder learn from the others until it may answer, or nobody tells it more.
func catchUp(now float64, h *Replica, others ...*Replica) {
	for range 100_000 {
		h.Maintain(now)
		letters := h.TakeOutbox()
		if len(letters) == 0 {
			return
		}
		for _, l := range letters {
			for _, o := range others {
				if o.self == l.To && l.Pull != nil {
					h.HandlePullReply(now, o.self, o.HandlePull(now, h.self, l.Pull), 1)
				}
			}
		}
		now += 1e-6
	}
}

var (
	testKey       = state.KeyOf("ping", "k")
	firstAttempt  = state.Attempt{ClaimID: state.ClaimID{UnixMilli: 1, Incarnation: 7, Sequence: 1}}
	secondAttempt = state.Attempt{ClaimID: state.ClaimID{UnixMilli: 2, Incarnation: 8, Sequence: 1}}
)

func claimRequest(p *Placement, try state.Attempt, sits []Term) *ClaimRequest {
	return &ClaimRequest{ConfigDigest: p.ConfigDigest, Operation: OpClaim, Key: testKey, Attempt: try, Terms: sits}
}

// TestReplica_NewTermFencesEarlierGrants: a claimant has the word of a holder that dies, and asks the next one after the dead one's successor has learned.
func TestReplica_NewTermFencesEarlierGrants(t *testing.T) {
	p, h := threeCaughtUpReplicas(t)
	before := []Term{{10, 1}, {10, 2}, {10, 3}}
	if a := h[0].HandleClaim(1, claimRequest(p, firstAttempt, before)); a.Status != ReplyGranted {
		t.Fatalf("it is %s", a.Status)
	}
	back := NewReplica(p, 0, TermTable{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(100, 1<<20), 1e9, 1)
	if a := back.HandleClaim(1, claimRequest(p, secondAttempt, []Term{{11, 4}, {10, 2}, {10, 3}})); a.Status != ReplyCatchingUp {
		t.Errorf("cold, it is %s", a.Status)
	}
	catchUp(1, back, h[1], h[2])
	if !back.CaughtUp(testKey.Slot()) {
		t.Fatal("it learned nothing")
	}
	for _, o := range h[1:] {
		if a := o.HandleClaim(1.5, claimRequest(p, firstAttempt, before)); a.Status != ReplyStaleTerm {
			t.Errorf("what counts on the dead one is %s at %d", a.Status, o.self)
		}
	}
	now := []Term{{11, 4}, {10, 2}, {10, 3}}
	for _, o := range []*Replica{back, h[1]} {
		if a := o.HandleClaim(1.6, claimRequest(p, secondAttempt, now)); a.Status != ReplyGranted {
			t.Errorf("the second claim is %s at %d", a.Status, o.self)
		}
	}
	for _, o := range []*Replica{back, h[1]} {
		if a := o.HandleClaim(1.7, claimRequest(p, firstAttempt, now)); a.Status != ReplyConflict {
			t.Errorf("the first claim, asked again, is %s at %d", a.Status, o.self)
		}
	}
}

// TestReplica_CorruptedRecordStartsNewTerm: a holder that lost a record is another one from then on.
func TestReplica_CorruptedRecordStartsNewTerm(t *testing.T) {
	p, h := threeCaughtUpReplicas(t)
	sits := []Term{{10, 1}, {10, 2}, {10, 3}}
	h[0].HandleClaim(1, claimRequest(p, firstAttempt, sits))
	h[0].store.FlipBit(testKey)
	a := h[0].HandleClaim(1.1, claimRequest(p, secondAttempt, sits))
	if a.Status != ReplyStaleTerm || a.Terms[0].Number != 11 || h[0].CaughtUp(testKey.Slot()) || !h[0].CaughtUp(testKey.Slot()^1) {
		t.Fatalf("it is %s, %v", a.Status, a.Terms)
	}
	catchUp(2, h[0], h[1], h[2])
	if a := h[1].HandleClaim(2, claimRequest(p, firstAttempt, sits)); a.Status != ReplyStaleTerm {
		t.Errorf("what counts on the lost record is %s", a.Status)
	}
}

// TestReplica_LatePullReplyIgnored: what was told to the sitting before, or twice, does not make this one warm.
func TestReplica_LatePullReplyIgnored(t *testing.T) {
	p, h := threeCaughtUpReplicas(t)
	cold := NewReplica(p, 0, TermTable{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(100, 1<<20), 1e9, 1)
	cold.Maintain(1)
	var late []*PullReply
	for _, l := range cold.TakeOutbox() {
		late = append(late, h[l.To].HandlePull(1, 0, l.Pull))
	}
	cold.observeTerms(1, []int{0}, []Term{{20, 9}}) // it was taken for gone: it sits down anew
	if cold.terms[0].Number != 21 {
		t.Fatalf("it sits at %v", cold.terms[0])
	}
	cold.Maintain(2)
	if again := cold.TakeOutbox(); len(again) == 0 || again[0].Pull.Sequence == late[0].Sequence {
		t.Errorf("sat down anew, it asks %+v", again)
	}
	for i, s := range late {
		cold.HandlePullReply(2, i+1, s, 1)
		cold.HandlePullReply(2, i+1, s, 1)
	}
	if n := len(p.SlotsOf(0)); cold.CatchingUp() != n {
		t.Errorf("%d of %d slots are cold", cold.CatchingUp(), n)
	}
}

// TestReplica_CatchUpResumesAfterLoss also has the teller replaced in the middle of a slot.
func TestReplica_CatchUpResumesAfterLoss(t *testing.T) {
	p, h := threeCaughtUpReplicas(t)
	fillStores(h[1:], 3000, 40)
	back := NewReplica(p, 0, TermTable{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(10_000, 1<<24), 1e9, 1)
	now, lost := 1.0, 0
	for n := 0; back.CatchingUp() > 0 && n < 10_000; n++ {
		back.Maintain(now)
		for _, l := range back.TakeOutbox() {
			if l.Pull == nil {
				continue
			}
			if s := h[l.To].HandlePull(now, 0, l.Pull); n%3 > 0 {
				back.HandlePullReply(now, l.To, s, 1)
			} else {
				lost++
			}
			if n == 4 {
				h[1].resetSlot(now, 200)
				catchUp(now, h[1], h[2])
			}
		}
		now += 0.05
	}
	if back.store.Stats().Records != 3000 || lost == 0 {
		t.Errorf("%d records, %d slices lost", back.store.Stats().Records, lost)
	}
	for slot := range state.SlotCount {
		if back.Checksum(slot) != h[2].Checksum(slot) {
			t.Fatalf("slot %d differs", slot)
		}
	}
}

// fillStores enters keys that ran.
func fillStores(holders []*Replica, n, result int) {
	for i := range n {
		k := state.KeyOf("ping", fmt.Sprint(i))
		r := state.Record{Key: k, ExpiresAt: 1e9, Attempts: []state.Attempt{state.NewFinishedAttempt(state.ClaimID{UnixMilli: int64(i), Incarnation: 1, Sequence: uint64(i)}, make([]byte, result))}}
		for _, h := range holders {
			h.store.Put(r)
		}
	}
}

func BenchmarkGrantAndEnd(b *testing.B) {
	p, holders := threeCaughtUpReplicas(b)
	h, sits := holders[0], []Term{{10, 1}, {10, 2}, {10, 3}}
	q := claimRequest(p, firstAttempt, sits)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		q.Key = state.KeyOf("ping", fmt.Sprint(n))
		q.Operation, q.Attempt = OpClaim, firstAttempt
		h.HandleClaim(float64(n)*1e-4, q)
		q.Operation, q.Attempt = OpReport, state.NewFinishedAttempt(firstAttempt.ClaimID, nil)
		h.HandleClaim(float64(n)*1e-4, q)
	}
}

// BenchmarkCatchUp has a cold holder told 100,000 records of 100 bytes by two others; BenchmarkPlainCopy is the same bytes, copied.
func BenchmarkCatchUp(b *testing.B) {
	p, h := threeCaughtUpReplicas(b)
	fillStores(h[1:], 100_000, 100)
	for b.Loop() {
		back := NewReplica(p, 0, TermTable{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(200_000, 1<<30), 1e12, 1)
		catchUp(1, back, h[1], h[2])
		if back.CatchingUp() > 0 || back.store.Stats().Records != 100_000 {
			b.Fatalf("%d cold, %d records", back.CatchingUp(), back.store.Stats().Records)
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

// TestCoordinator_GrantsCountUnderOneTermList: one that was given before a holder was replaced does not add to those given after.
func TestCoordinator_GrantsCountUnderOneTermList(t *testing.T) {
	p, err := NewPlacement(testConfig(3, 3))
	if err != nil {
		t.Fatal(err)
	}
	s := NewCoordinator(p, make(TermTable, 3), 7, func() float64 { return 1 }, 0)
	s.StartClaim(0, "t", testKey, 1)
	claim := s.TakeOutbox()[0].Claim.Attempt.ClaimID
	say := func(from int, v ReplyStatus, sits ...Term) {
		s.HandleReply(0.01, from, &ClaimReply{Key: testKey, ClaimID: claim, Status: v, Terms: sits})
	}
	before, after := []Term{{10, 1}, {10, 2}, {10, 3}}, []Term{{11, 4}, {10, 2}, {10, 3}}
	say(0, ReplyStaleTerm, before...)
	say(0, ReplyGranted, before...)
	say(1, ReplyStaleTerm, after...)
	say(1, ReplyGranted, after...)
	say(0, ReplyGranted, before...) // the dead one's word, once more
	say(2, ReplyGranted, before...)
	if told := s.TakeOutcomes(); len(told) > 0 {
		t.Fatalf("told %v by one holder under each list", told)
	}
	say(2, ReplyGranted, after...)
	if told := s.TakeOutcomes(); len(told) != 1 || told[0].Verdict != serving.ClaimGranted {
		t.Errorf("told %v", told)
	}
}

// TestReplica_PeerReplacedMidSlotRestartsSlot: what came after its first half may be less than there was.
func TestReplica_PeerReplacedMidSlotRestartsSlot(t *testing.T) {
	_, h := threeCaughtUpReplicas(t)
	slot := testKey.Slot()
	for n := 0; n < 40; n++ { // too much for one slice
		k := testKey
		k[15] = byte(n)
		h[1].store.Put(state.Record{Key: k, ExpiresAt: 1e9, Attempts: []state.Attempt{state.NewFinishedAttempt(state.ClaimID{UnixMilli: 1, Incarnation: 1, Sequence: uint64(n)}, make([]byte, 4000))}})
	}
	back := NewReplica(h[0].placement, 0, TermTable{{11, 4}, {10, 2}, {10, 3}}, state.NewStore(10_000, 1<<24), 1e9, 1)
	told := func() *PullReply {
		back.sendPull(1, 1, back.peers[1])
		letters := back.TakeOutbox()
		return h[1].HandlePull(1, 0, letters[len(letters)-1].Pull)
	}
	back.peers[1].wanted = map[int]bool{slot: true}
	told()
	s := told() // asked again, the answer to either counts
	if back.HandlePullReply(1, 1, s, 1); back.lastSequence != 1 {
		t.Errorf("%d numbers for one question", back.lastSequence)
	}
	if !back.peers[1].resumes || s.Slots[0].Complete {
		t.Fatal("it came in one")
	}
	h[1].terms[1] = Term{12, 9}
	back.HandlePullReply(1, 1, told(), 1)
	if back.peers[1].resumes || len(back.catchingUp[slot].toldBy) > 0 {
		t.Error("it goes on with another teller where the first one was")
	}
}

// TestTrustTable_MergedClients: whatever order words come in, and however often, they come to the same; one that lies fills its own part and no other's.
func TestTrustTable_MergedClients(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []TrustRecord
		for i := range rapid.IntRange(1, 6).Draw(t, "words") {
			w := TrustRecord{Name: fmt.Sprint("n", i%3), Incarnation: rapid.Uint64Range(1, 2).Draw(t, "life"), Sequence: uint64(i)}
			for j := range rapid.IntRange(0, 8).Draw(t, "callers") {
				w.Clients = append(w.Clients, connlimit.Earned{Addr: netip.AddrFrom4([4]byte{10, 0, byte(i % 2), byte(j)}), Credit: float64(1 + j)})
			}
			words = append(words, w)
		}
		one, other := NewTrustTable(60), NewTrustTable(60)
		for _, w := range words {
			one.Observe(1, w)
		}
		for _, w := range rapid.Permutation(append(words, words...)).Draw(t, "order") {
			other.Observe(2, w)
		}
		most := rapid.IntRange(0, 20).Draw(t, "most")
		a, b := one.MergedClients(3, most), other.MergedClients(3, most)
		if !slices.Equal(a, b) || len(a) > most {
			t.Fatalf("%v, %v, of %d", a, b, most)
		}
	})
	v := NewTrustTable(60)
	honest := netip.MustParseAddr("10.0.0.1")
	lies := TrustRecord{Name: "liar", Incarnation: 1, Sequence: 1}
	for i := range 2 * MaxTrustedClients {
		lies.Clients = append(lies.Clients, connlimit.Earned{Addr: netip.AddrFrom4([4]byte{11, 0, byte(i >> 8), byte(i)}), Credit: 1e9})
	}
	v.Observe(1, lies)
	v.Observe(1, TrustRecord{Name: "honest", Incarnation: 1, Sequence: 1, Clients: []connlimit.Earned{{Addr: honest, Credit: 3}}})
	list := v.MergedClients(2, 10)
	if !slices.ContainsFunc(list, func(e connlimit.Earned) bool { return e.Addr == honest }) || len(list) != 10 {
		t.Errorf("ten places went to %v", list)
	}
	if len(v.MergedClients(62, 10)) != 0 {
		t.Error("words of a minute ago are still heeded")
	}
}
