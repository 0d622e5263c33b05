package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/release"
)

var terms = Config{Duration: 3, CatchUpTimeout: 5, MaxUnavailable: 0.25, ForgetAfter: 60}

// homes are of the first server alone, so that the drawn schedules have names with a home and names without.
var homes = map[string]string{"n0": "addr0"}

// fleet plays servers and a leader in simulated time. The order is one, as the voters make it; a leader that is followed by another one knows
// it as it was then, and goes on answering for as long as its last confirmation counts.
type fleet struct {
	t       interface{ Fatalf(string, ...any) }
	chance  *rand.Rand
	now     float64
	order   *release.Log
	leader  *boss
	old     *boss
	servers []*served
	mail    []letter
	log     []letter // what the leader asked for, in its order
	lives   uint64
	loss    float64
	slow    float64 // commands to be carried out, at most
	deaf    bool    // nobody hears a leader
}

type boss struct {
	ledger *Grantor
	order  *release.Log // as it knows it; nil for the newest
	until  float64      // when its last confirmation is over
}

type served struct {
	self    *Holder
	name    string
	life    uint64
	addr    string
	rate    float64 // of its clock, which began at some time
	off     float64
	asleep  bool
	refuses bool // it can't apply what is released
	acts    release.Epoch
	heard   release.Epoch
	cut     bool
	view    Snapshot // what its loop goes by, which it may read long after
}

type letter struct {
	at float64
	do func()
}

func newFleet(t interface{ Fatalf(string, ...any) }, seed uint64, n int, silent Mode) *fleet {
	f := &fleet{t: t, chance: rand.New(rand.NewPCG(seed, 3)), slow: 0.1}
	f.order = release.BootstrapLog(&release.Log{}, 7, map[uint64]string{1: "v"})
	f.lead()
	for i := range n {
		f.add(fmt.Sprint("n", i), fmt.Sprint("addr", i), silent)
	}
	return f
}

func (f *fleet) add(name, addr string, silent Mode) *served {
	f.lives++
	s := &served{name: name, life: f.lives, addr: addr, rate: 0.99 + 0.02*f.chance.Float64(), off: 1e4 * f.chance.Float64()}
	s.self = NewHolder(name, s.life, addr, "", silent, terms.Duration, s.clock(f.now))
	f.servers = append(f.servers, s)
	return s
}

func (s *served) clock(now float64) float64 { return s.off + s.rate*now }

func (f *fleet) lead() {
	if f.leader != nil {
		for _, c := range f.log[:f.chance.IntN(len(f.log)+1)] { // the rest went with it
			c.do()
		}
		f.log = nil
		f.old = &boss{f.leader.ledger, f.order.Clone(), f.now + LeaderConfirmationWindow}
	}
	f.leader = &boss{ledger: NewGrantor(terms, homes, f.now)}
}

func (f *fleet) commit(commands []release.Command) {
	for _, c := range commands {
		ledger := f.leader.ledger
		f.log = append(f.log, letter{f.now + 0.02 + f.slow*f.chance.Float64(), func() {
			_ = f.order.Apply(&c)
			ledger.HandleCommandResult(&c)
		}})
	}
}

func (f *fleet) send(do func()) {
	for range 1 + f.chance.IntN(8)/7 {
		if f.chance.Float64() >= f.loss {
			f.mail = append(f.mail, letter{f.now + 0.2*f.chance.ExpFloat64(), do})
		}
	}
}

func (f *fleet) ask(s *served) {
	q := s.self.NewRequest(s.clock(f.now))
	to := f.leader
	if f.old != nil && f.now < f.old.until && f.chance.IntN(2) == 0 {
		to = f.old
	}
	if s.cut || f.deaf {
		return
	}
	f.send(func() {
		o := to.order
		if o == nil || to == f.leader {
			o = f.order
		}
		a, commands := to.ledger.HandleRequest(f.now, &q, o, to == f.leader || f.now < to.until)
		if to == f.leader {
			f.commit(commands)
		}
		f.send(func() {
			if !s.asleep && !s.cut && !f.deaf {
				s.self.HandleReply(s.clock(f.now), &a)
				s.heard = max(s.heard, a.AssignedEpoch)
				s.view = s.self.Snapshot()
			}
		})
	})
}

func (f *fleet) run(seconds float64) {
	for end := f.now + seconds; f.now < end; {
		f.now += 0.02
		for len(f.log) > 0 && f.log[0].at <= f.now {
			f.log[0].do()
			f.log = f.log[1:]
		}
		mail := f.mail
		f.mail = nil
		for _, m := range mail {
			if m.at <= f.now {
				m.do()
			} else {
				f.mail = append(f.mail, m)
			}
		}
		f.commit(f.leader.ledger.Maintain(f.now, f.order, release.RolloutPolicy{WaveSeconds: 1, HaltConfidence: 0.9999}))
		for _, s := range f.servers {
			if s.asleep {
				continue
			}
			now := s.clock(f.now)
			if s.heard > s.acts && !s.refuses {
				s.acts = s.heard
			}
			stuck := ""
			if s.refuses && s.heard > s.acts {
				stuck = "it refuses the file"
			}
			s.self.SetActiveEpoch(s.acts, stuck)
			s.self.Expire(now)
			if s.self.NextWakeup() <= now {
				f.ask(s)
			}
			s.view = s.self.Snapshot()
		}
		f.check()
	}
}

// check looks at what every loop would do this moment, also those whose keeper is stopped.
func (f *fleet) check() {
	acting := map[string]uint64{}
	away := 0
	for _, s := range f.servers {
		stance := s.view.ModeAt(s.clock(f.now))
		leased := s.view.State == StateLeased && s.clock(f.now) < s.view.ChangesAt
		if leased {
			if other := acting[s.name]; other != 0 {
				f.t.Fatalf("%s: lives %d and %d both have a lease at %.2f", s.name, other, s.life, f.now)
			}
			acting[s.name] = s.life
			if out, is := f.order.Ejected[s.name]; is && out.Incarnation == s.life {
				f.t.Fatalf("%s acts while it is shut out at %.2f", s.name, f.now)
			}
		}
		if stance == ModeOutOfService && !s.refuses && s.view.State == StateExpired && f.order.Members[s.name] == s.life { // else its name is another's
			away++
		}
	}
	if most := int(terms.MaxUnavailable * float64(max(len(f.order.Members), len(f.servers)))); away > most {
		f.t.Fatalf("%d of %d are off the roster for want of talk, %d may be", away, len(f.servers), most)
	}
}

func (f *fleet) release(text string, waves ...float64) {
	_ = f.order.Apply(&release.Command{Kind: release.KindRelease, ExpectedEpoch: f.order.NewestEpoch(), Text: text, Digest: release.Digest(text, ""), Waves: waves})
}

func (f *fleet) allActing(t *testing.T) {
	t.Helper()
	for _, s := range f.servers {
		if state, _, why := s.self.State(); state != StateLeased || s.acts != f.order.VersionFor(s.name).Epoch {
			t.Errorf("%s is %s on %s, not acting on %s: %s", s.name, state, s.acts, f.order.VersionFor(s.name).Epoch, why)
		}
	}
}

func TestAReleaseGoesInWavesToAll(t *testing.T) {
	f := newFleet(t, 1, 10, ModeNormal)
	f.run(3)
	f.release("x", 0.1, 0.5)
	f.run(12)
	if f.order.Next != nil || f.order.Current.Text != "x" {
		t.Errorf("the release is still on its way, wave %d", f.order.WaveIndex)
	}
	f.allActing(t)
}

func TestAStragglerIsShutOutAndBroughtUp(t *testing.T) {
	f := newFleet(t, 2, 8, ModeNormal)
	f.run(3)
	late := f.servers[3]
	late.refuses = true
	f.release("x")
	f.run(terms.CatchUpTimeout + 2*terms.Duration)
	if state, _, why := late.self.State(); state != StateFenced || why != "it refuses the file" || late.self.Snapshot().Mode != ModeOutOfService {
		t.Errorf("it is %s: %q", state, why)
	}
	if _, out := f.order.Ejected[late.name]; !out {
		t.Error("the order does not know of it")
	}
	if right, why := CheckReporter(f.order, late.name, late.life, late.acts); why != "it is shut out" || right != f.order.Current.Epoch {
		t.Errorf("its word: %s, %q", right, why)
	}
	late.refuses = false
	f.run(3)
	f.allActing(t)
	if len(f.order.Ejected) != 0 {
		t.Error("it is still out")
	}
}

func TestMoreStragglersThanMayBeOut(t *testing.T) {
	f := newFleet(t, 3, 8, ModeNormal)
	f.run(3)
	for _, s := range f.servers[:6] {
		s.refuses = true
	}
	f.release("x")
	f.run(terms.CatchUpTimeout + 5*terms.Duration)
	if n := len(f.order.Ejected); n != 2 {
		t.Errorf("%d of 8 are shut out, 2 may be", n)
	}
}

func TestASecondProcessOfOneName(t *testing.T) {
	f := newFleet(t, 4, 3, ModeNormal)
	f.run(3)
	twin := f.add("n1", "elsewhere", ModeNormal)
	f.run(5)
	if state, _, why := twin.self.State(); state != StateSuperseded || why == "" {
		t.Errorf("the second is %s: %q", state, why)
	}
	if state, _, _ := f.servers[1].self.State(); state != StateLeased {
		t.Errorf("the first is %s", state)
	}
	f.servers[1].asleep = true // for longer than its lease
	f.run(3 * terms.Duration)
	if state, _, _ := twin.self.State(); state != StateLeased {
		t.Errorf("the first said nothing for three leases, and the second is %s", state)
	}
	f.servers[1].asleep = false
	f.run(2)
	if state, _, _ := f.servers[1].self.State(); state != StateSuperseded {
		t.Errorf("awake, the first is %s", state)
	}
	cold := f.add("n2", f.servers[2].addr, ModeNormal) // a restart: nobody else can listen there
	f.servers[2] = cold
	f.servers = f.servers[:len(f.servers)-1]
	at := f.now
	for f.now < at+terms.Duration && cold.view.State != StateLeased {
		f.run(0.1)
	}
	if took := f.now - at; took > 2 {
		t.Errorf("a server that returned cold acts after %.1f s", took)
	}
}

func TestSilenceTakesFewOffTheRoster(t *testing.T) {
	for _, silent := range []Mode{FallbackNormal, FallbackSafeDefaults, FallbackOutOfService} {
		f := newFleet(t, 5, 8, silent)
		f.run(3 * terms.Duration)
		f.deaf = true
		f.run(3 * terms.Duration)
		stances := map[Mode]int{}
		for _, s := range f.servers {
			stances[s.view.ModeAt(s.clock(f.now))]++
		}
		want := map[Mode]map[Mode]int{FallbackNormal: {ModeNormal: 8}, FallbackSafeDefaults: {ModeSafeDefaults: 8}, FallbackOutOfService: {ModeOutOfService: 2, ModeSafeDefaults: 6}}[silent]
		if fmt.Sprint(stances) != fmt.Sprint(want) {
			t.Errorf("%s: %v, not %v", silent, stances, want)
		}
	}
}

func TestAnOldAnswerChangesNothing(t *testing.T) {
	s := NewHolder("n", 9, "a", "", ModeNormal, 3, 100)
	first, second := s.NewRequest(100), s.NewRequest(101)
	lease := func(q Request, verdict Verdict) *Reply {
		return &Reply{Incarnation: 9, Number: q.Number, Verdict: verdict, Duration: 3, AssignedEpoch: 5}
	}
	for _, step := range []struct {
		what  string
		a     *Reply
		at    float64
		state State
	}{
		{"of an earlier life", &Reply{Incarnation: 8, Number: second.Number, Verdict: VerdictGranted, Duration: 3}, 101, StateInitial},
		{"to no question", &Reply{Incarnation: 9, Number: 77, Verdict: VerdictGranted, Duration: 3}, 101, StateInitial},
		{"that came when its lease is over", lease(second, VerdictGranted), 104, StateInitial},
	} {
		if s.HandleReply(step.at, step.a); s.state != step.state {
			t.Errorf("an answer %s: %s", step.what, s.state)
		}
	}
	third, fourth := s.NewRequest(105), s.NewRequest(106)
	if s.HandleReply(106.5, lease(fourth, VerdictGranted)); s.state != StateLeased || s.until != 109 {
		t.Errorf("a lease: %s until %g", s.state, s.until)
	}
	if s.HandleReply(106.6, lease(third, VerdictEjected)); s.state != StateLeased {
		t.Error("an older answer that came later shut it out")
	}
	if s.HandleReply(106.6, lease(first, VerdictEjected)); s.state != StateLeased {
		t.Error("an answer of long ago shut it out")
	}
	if v := s.Snapshot(); v.ModeAt(108.9) != ModeNormal || v.ChangesAt != 109 {
		t.Error("it has a lease until 109")
	}
	if s.Expire(109); s.state != StateExpired {
		t.Errorf("after its lease it is %s", s.state)
	}
}

// TestNobodyActsOutOfTurn plays drawn schedules; what is checked is in check. Once all is healed everybody acts on its version.
func TestNobodyActsOutOfTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		silent := rapid.SampledFrom([]Mode{FallbackNormal, FallbackSafeDefaults, FallbackOutOfService}).Draw(t, "silent")
		f := newFleet(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 9).Draw(t, "servers"), silent)
		first := len(f.servers)
		for i := range rapid.IntRange(1, 15).Draw(t, "steps") {
			s := f.servers[rapid.IntRange(0, len(f.servers)-1).Draw(t, "server")]
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0:
				s.asleep = !s.asleep
			case 1:
				s.cut = !s.cut
			case 2:
				s.refuses = !s.refuses
			case 3:
				f.release(fmt.Sprint("x", i))
			case 4:
				f.release(fmt.Sprint("y", i), 0.2, 0.6)
			case 5:
				f.lead()
			case 6:
				f.deaf = !f.deaf
			case 7:
				f.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
			case 8:
				if len(f.servers) < first+3 && homes[s.name] == "" { // a second process; one of a voter's name does not start
					f.add(s.name, fmt.Sprint("twin", i), silent)
				}
			case 10:
				f.slow = rapid.SampledFrom([]float64{0.1, 3}).Draw(t, "slow")
			case 9: // a restart
				*s = *f.add(s.name, s.addr, silent)
				f.servers = f.servers[:len(f.servers)-1]
			}
			f.run(rapid.SampledFrom([]float64{0.1, 1, 4}).Draw(t, "wait"))
		}
		f.deaf, f.loss, f.slow = false, 0, 0.1
		for _, s := range f.servers {
			s.asleep, s.cut, s.refuses = false, false, false
		}
		f.run(6 * terms.Duration)
		wrong := f.wrong()
		for range 10 { // an answer that takes a second comes a few times in a thousand, and a lease may run out by it
			if wrong != "" {
				f.run(1)
				wrong = f.wrong()
			}
		}
		if wrong != "" {
			t.Fatalf("healed, %s", wrong)
		}
	})
}

// wrong tells what is not as it is to be where all is healed: of each name one life acts, on its version.
func (f *fleet) wrong() string {
	names := map[string]int{}
	for _, s := range f.servers {
		if s.view.State == StateLeased {
			names[s.name]++
			if s.acts != f.order.VersionFor(s.name).Epoch {
				return fmt.Sprintf("%s acts on %s, not %s", s.name, s.acts, f.order.VersionFor(s.name).Epoch)
			}
		} else if s.view.State != StateSuperseded {
			return fmt.Sprintf("%s is %s: %s", s.name, s.view.State, s.view.Reason)
		}
	}
	for _, s := range f.servers {
		if names[s.name] != 1 {
			return fmt.Sprintf("%d lives act as %s", names[s.name], s.name)
		}
	}
	return ""
}

func BenchmarkQuestionAmongAThousand(b *testing.B) {
	o := release.BootstrapLog(&release.Log{}, 7, nil)
	l := NewGrantor(terms, homes, 0)
	for i := range 1000 {
		_ = o.Apply(&release.Command{Kind: release.KindRegister, Name: fmt.Sprint("n", i), Incarnation: 1})
	}
	q := Request{Name: "n7", Incarnation: 1, Addr: "a", ActiveEpoch: o.Current.Epoch}
	b.ReportAllocs()
	for b.Loop() {
		q.Number++
		l.HandleRequest(float64(q.Number)/1000, &q, o, true)
	}
}

// TestAServerAheadOfAFoundedOrder: all voters forgot while it was cut off, and founded under a lower number.
func TestAServerAheadOfAFoundedOrder(t *testing.T) {
	f := newFleet(t, 8, 4, ModeNormal)
	f.servers[2].acts, f.servers[2].heard = release.NewEpoch(50, 3), release.NewEpoch(50, 3) // the order is of founding 7
	f.run(3 * terms.Duration)
	f.allActing(t)
	if e := f.order.Current.Epoch; e.ClusterID() <= 50 {
		t.Errorf("epochs go on from %s", e)
	}
	if len(f.order.Ejected) != 0 {
		t.Errorf("shut out: %v", f.order.Ejected)
	}
}

// TestAPlaceToLeaveOutlivesItsLeader: with room for all to leave the roster, a new leader takes no place away from anybody, also not for a moment.
func TestAPlaceToLeaveOutlivesItsLeader(t *testing.T) {
	was := terms
	terms.MaxUnavailable = 1
	defer func() { terms = was }()
	for seed := range uint64(20) {
		f := newFleet(t, seed, 5, FallbackOutOfService)
		f.run(4 * terms.Duration)
		f.lead()
		for range 100 {
			f.run(0.05)
			for _, s := range f.servers {
				if !s.self.MayGoOutOfService() {
					t.Fatalf("seed %d: %s may not leave any more, %.2f s after its leader changed", seed, s.name, f.now-4*terms.Duration)
				}
			}
		}
	}
}

// TestALeaderThatRestartsHasItsNameAtOnce: the one that follows knows nothing of its former life but where that listened.
func TestALeaderThatRestartsHasItsNameAtOnce(t *testing.T) {
	f := newFleet(t, 11, 3, ModeNormal)
	f.run(2 * terms.Duration)
	f.lead()
	f.run(0.5)
	for _, i := range []int{0, 1} { // with a home, and without
		f.servers[i] = f.add(f.servers[i].name, f.servers[i].addr, ModeNormal)
		f.servers = f.servers[:len(f.servers)-1]
	}
	f.run(1.5)
	if state, _, why := f.servers[0].self.State(); state != StateLeased {
		t.Errorf("1.5 s after its restart the voter is %s: %s", state, why)
	}
	f.run(2 * terms.Duration)
	f.allActing(t)
}

// TestALateQuestionOfADeadLifeTakesNoName: it comes from the address at which its successor listens, which acts.
func TestALateQuestionOfADeadLifeTakesNoName(t *testing.T) {
	for _, leader := range []string{"the same", "a new one"} {
		f := newFleet(t, 12, 3, ModeNormal)
		f.run(terms.Duration)
		for _, i := range []int{0, 1} { // with a home, and without
			dead := f.servers[i]
			late := dead.self.NewRequest(dead.clock(f.now))
			f.servers[i] = f.add(dead.name, dead.addr, ModeNormal)
			f.servers = f.servers[:len(f.servers)-1]
			f.run(terms.Duration)
			if leader != "the same" {
				f.lead()
				f.run(0.5)
			}
			for range 3 {
				_, commands := f.leader.ledger.HandleRequest(f.now, &late, f.order, true)
				f.commit(commands)
				f.run(0.3)
			}
			if holder := f.order.Members[dead.name]; holder != f.servers[i].life {
				t.Errorf("%s of %s leader: the name went from life %d to %d, which is gone", dead.name, leader, f.servers[i].life, holder)
			}
		}
	}
}
