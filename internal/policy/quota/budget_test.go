package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// world plays servers and granters in simulated time beside a plain account of all that is used, which sees everything.
type world struct {
	t        interface{ Fatalf(string, ...any) }
	chance   *rand.Rand
	now      float64
	terms    Config
	granter  *Grantor
	old      *Grantor // its term is over, yet it answers until
	oldUntil float64
	servers  []*server
	mail     []letter
	lives    uint64
	loss     float64
	delay    float64
	dead     bool // no voter leads
	open     []unit
	out      float64 // of a rate that was lowered, what may still be out
}

type letter struct {
	at float64
	do func()
}

// unit is open until it ends, also when its server is gone.
type unit struct {
	by   *server
	ends float64
}

type server struct {
	holder *Holder
	life   uint64
	rate   float64 // of its clock
	off    float64
	asleep bool
	cut    bool
	demand float64
	heeds  Config
	said   map[string]Allowance // to its loop
	may    map[string]Allowance // what that goes by
}

func (s *server) clock(now float64) float64 { return s.off + s.rate*now }

func (s *server) at(name string, now float64) float64 {
	a := s.may[name]
	return a.LimitAt(s.clock(now))
}

var twoBounds = []Limit{{Name: "rate", Max: 100}, {Name: "open", Max: 60, Concurrent: true, LingerSeconds: 1.5}}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, n int) *world {
	w := &world{t: t, chance: rand.New(rand.NewPCG(seed, 5)), delay: 0.05,
		terms: Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: max(n, 6), Limits: twoBounds}}
	if err := w.terms.Validate(); err != nil {
		t.Fatalf("%v", err)
	}
	w.lead()
	for range n {
		w.servers = append(w.servers, w.begin())
	}
	return w
}

func (w *world) begin() *server {
	w.lives++
	s := &server{life: w.lives, rate: 0.99 + 0.02*w.chance.Float64(), off: 1e4 * w.chance.Float64(), heeds: w.terms}
	s.holder = NewHolder(s.life, w.terms, s.clock(w.now))
	s.demand = 40 * w.chance.Float64()
	s.publish()
	s.may = s.said
	return s
}

func (s *server) publish() {
	if list := s.holder.TakeChanges(); list != nil {
		s.said = map[string]Allowance{}
		for _, a := range list {
			s.said[a.Name] = a
		}
	}
}

// lead has another voter lead; the one before answers for as long as its last confirmation counts.
func (w *world) lead() {
	if w.granter != nil {
		w.old, w.oldUntil = w.granter, w.now+leaderLeaseSeconds
	}
	w.granter = NewGrantor(w.terms, w.chance.Uint64(), w.now)
	w.dead = false
}

func (w *world) send(do func()) {
	for range 1 + w.chance.IntN(8)/7 {
		if w.chance.Float64() >= w.loss {
			w.mail = append(w.mail, letter{w.now + w.delay*w.chance.ExpFloat64(), do})
		}
	}
}

func (w *world) ask(s *server) {
	q := s.holder.NextRequest(s.clock(w.now))
	if q == nil || s.cut {
		return
	}
	to, old := w.granter, false
	if w.old != nil && w.now < w.oldUntil && w.chance.IntN(2) == 0 {
		to, old = w.old, true
	}
	life := s.life
	w.send(func() {
		a := to.HandleRequest(w.now, q, !old && !w.dead && to == w.granter || to == w.old && w.now < w.oldUntil)
		if a == nil {
			return
		}
		w.send(func() {
			if !s.asleep && !s.cut && s.life == life {
				s.holder.HandleReply(s.clock(w.now), a)
				s.publish()
			}
		})
	})
}

const step = 0.05

func (w *world) run(seconds float64) {
	for end := w.now + seconds; w.now < end; {
		w.now += step
		mail := w.mail
		w.mail = nil
		for _, m := range mail {
			if m.at <= w.now {
				m.do()
			} else {
				w.mail = append(w.mail, m)
			}
		}
		open := w.open[:0]
		for _, u := range w.open {
			if u.ends > w.now {
				open = append(open, u)
			}
		}
		w.open = open
		for _, s := range w.servers {
			if s.asleep {
				continue
			}
			now := s.clock(w.now)
			if w.chance.IntN(2) == 0 { // a loop that is busy goes by what it was told before
				s.may = s.said
			}
			mine := 0
			for _, u := range w.open {
				if u.by == s {
					mine++
				}
			}
			for float64(mine)+1 <= min(s.at("open", w.now), s.demand) {
				mine++
				w.open = append(w.open, unit{s, w.now + (0.05+0.95*w.chance.Float64())*w.terms.Limits[1].LingerSeconds})
			}
			s.holder.RecordUsage(now, "rate", s.demand, 0, s.may["rate"].GrantNumber)
			s.holder.RecordUsage(now, "open", s.demand, float64(mine), s.may["open"].GrantNumber)
			if s.holder.NextWakeup() <= now {
				w.ask(s)
			}
			s.publish()
		}
		w.check()
	}
}

// check is the bound itself: all that all servers may use this moment, and all that is open.
func (w *world) check() {
	sum := 0.0
	for _, s := range w.servers {
		sum += s.at("rate", w.now)
	}
	if most := max(w.out, w.terms.Limits[0].Max); sum > most*(1+1e-9) {
		w.t.Fatalf("at %.2f all may use %.3f of %.0f", w.now, sum, most)
	}
	if most := w.terms.Limits[1].Max; float64(len(w.open)) > most {
		w.t.Fatalf("at %.2f %d of %.0f are open", w.now, len(w.open), most)
	}
}

// ideal is what could be used of a rate by one who sees all and keeps the floors.
func (w *world) ideal(b *Limit) float64 {
	floors, more := 0.0, 0.0
	for _, s := range w.servers {
		floors += min(s.demand, w.terms.FloorPerServer(b))
		more += max(0, s.demand-w.terms.FloorPerServer(b))
	}
	return floors + min(more, w.terms.pool(b))
}

func (w *world) used(name string) (sum float64) {
	for _, s := range w.servers {
		sum += min(s.demand, s.at(name, w.now))
	}
	return sum
}

// TestNeverOverTheBound plays drawn schedules; what is checked is in check. Once all is healed what is wanted is used, and nothing is lost.
func TestNeverOverTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "servers"))
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			s := w.servers[rapid.IntRange(0, len(w.servers)-1).Draw(t, "server")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				s.asleep = !s.asleep
			case 1:
				s.cut = !s.cut
			case 2:
				w.lead()
			case 3:
				w.dead = !w.dead
			case 4: // killed, and back cold
				*s = *w.begin()
			case 5:
				s.demand = rapid.SampledFrom([]float64{0, 0.3, 5, 30, 500}).Draw(t, "demand")
			case 6:
				for _, other := range w.servers {
					other.demand, s.demand = s.demand, other.demand
				}
			case 7:
				w.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
			case 8:
				w.delay = rapid.SampledFrom([]float64{0.01, 0.05, 0.5, 1.5}).Draw(t, "delay")
			}
			w.run(rapid.SampledFrom([]float64{0.1, 0.5, 1.2, 4}).Draw(t, "wait"))
		}
		w.loss, w.delay, w.dead = 0, 0.02, false
		for _, s := range w.servers {
			s.asleep, s.cut = false, false
		}
		w.run(3*w.terms.LeaseSeconds + 3*twoBounds[1].LingerSeconds)
		for tries := 0; w.unused() != ""; tries++ { // a late question of a dead life may have taken a part for a lease meanwhile
			if tries == 10 {
				t.Fatalf("healed, %s", w.unused())
			}
			w.run(1)
		}
	})
}

// unused tells of which budget less is used than could be.
func (w *world) unused() string {
	for i := range w.terms.Limits {
		b := &w.terms.Limits[i]
		if used, ideal := w.used(b.Name), w.ideal(b); used < 0.98*ideal-0.01 {
			return fmt.Sprintf("%.3f of %s is used, %.3f could be", used, b.Name, ideal)
		}
	}
	return ""
}

// TestAHotServerHasWhatOthersLeave: demand jumps from one server to another just after parts were given.
func TestAHotServerHasWhatOthersLeave(t *testing.T) {
	w := newWorld(t, 1, 6)
	for _, s := range w.servers {
		s.demand = 1
	}
	w.servers[0].demand = 500
	w.run(8)
	if got := w.servers[0].at("rate", w.now); got < 80 {
		t.Errorf("alone, it has %.1f of 100", got)
	}
	w.servers[0].demand, w.servers[3].demand = 1, 500
	w.run(1)
	if got := w.servers[3].at("rate", w.now); got < 80 {
		t.Errorf("a second after the jump it has %.1f of 100", got)
	}
}

// TestTheSilentServeOnAndTheirsComesBack: a third hears nothing for long.
func TestTheSilentServeOnAndTheirsComesBack(t *testing.T) {
	w := newWorld(t, 2, 6)
	for _, s := range w.servers {
		s.demand = 30
	}
	w.run(8)
	for _, s := range w.servers[:2] {
		s.cut = true
	}
	w.run(2 * w.terms.LeaseSeconds)
	floor := w.terms.FloorPerServer(&w.terms.Limits[0])
	for i, s := range w.servers[:2] {
		if got := s.at("rate", w.now); got != floor {
			t.Errorf("silent server %d may use %.3f, its floor is %.3f", i, got, floor)
		}
	}
	if used := w.used("rate"); used < 80 {
		t.Errorf("with a third silent %.1f of 100 is used", used)
	}
	w.servers[0].cut, w.servers[1].cut = false, false
	w.run(2)
	for i, s := range w.servers[:2] {
		if got := s.at("rate", w.now); got < 10 {
			t.Errorf("heard again, server %d may use %.3f", i, got)
		}
	}
}

// TestAChangedBound: to half and to nothing while parts are out, and back.
func TestAChangedBound(t *testing.T) {
	w := newWorld(t, 3, 6)
	for _, s := range w.servers {
		s.demand = 30
	}
	w.run(8)
	for _, most := range []float64{50, 0, 100} {
		w.terms.Limits = []Limit{{Name: "rate", Max: most}, twoBounds[1]}
		w.granter.ApplyConfig(w.terms)
		for _, s := range w.servers {
			s.holder.ApplyConfig(w.terms, s.clock(w.now))
			s.publish()
		}
		sum := func() (sum float64) {
			for _, s := range w.servers {
				sum += s.at("rate", w.now)
			}
			return sum
		}
		w.out = 100 // what is out counts on for a lease
		w.run(w.terms.LeaseSeconds * (1 + 2*maxClockDrift))
		w.out = 0
		if got := sum(); got > most*(1+1e-9) || got < 0.95*most {
			t.Errorf("a lease after it became %.0f, all may use %.3f", most, got)
		}
		w.run(1)
	}
}

// TestNonsenseHurtsNobody: servers that ask for and say they hold what can't be.
func TestNonsenseHurtsNobody(t *testing.T) {
	w := newWorld(t, 4, 4)
	for _, s := range w.servers {
		s.demand = 10
	}
	for round, x := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 1e9} {
		w.lead()
		life := uint64(1000 + round)
		for n := uint64(1); n < 60; n++ {
			q := &Request{Incarnation: life, Number: n, ConfigHash: w.terms.Hash(), GrantorID: w.granter.id, Demands: []Demand{{"rate", x, x, x, x, n - 1}, {"open", x, x, x, x, n}, {"none", x, x, x, x, n}}}
			if a := w.granter.HandleRequest(w.now, q, true); a != nil {
				for _, g := range a.Grants {
					if !(g.LeasedShare >= 0 && g.LeasedShare <= 90) {
						t.Fatalf("%g: it was granted %g of %s", x, g.LeasedShare, g.Name)
					}
				}
			}
			w.run(0.1)
		}
		w.run(0.5)
		if used := w.used("rate"); used < 39 {
			t.Errorf("%g: the others may use %.1f of the 40 that they ask for", x, used)
		}
	}
}

// TestALateQuestionBringsNoPartBack: sent while its server held a part, it reaches the next leader when that part is over and given to another server.
func TestALateQuestionBringsNoPartBack(t *testing.T) {
	terms := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 2, Limits: twoBounds}
	first := NewGrantor(terms, 1, -100)
	x, y := NewHolder(7, terms, 0), NewHolder(8, terms, 0)
	ask := func(h *Holder, g *Grantor, now float64) {
		h.RecordUsage(now, "rate", 500, 0, h.parts["rate"].answer)
		if q := h.NextRequest(now); q != nil {
			if a := g.HandleRequest(now, q, true); a != nil {
				h.HandleReply(now, a)
			}
		}
	}
	part := func(h *Holder, now float64) float64 {
		return h.may(h.parts["rate"], now)
	}
	ask(x, first, 0) // hears who grants
	ask(x, first, 0.3)
	if got := part(x, 0.3); got != 95 {
		t.Fatalf("alone it has %.1f", got)
	}
	x.RecordUsage(3.2, "rate", 500, 0, x.parts["rate"].answer)
	late := x.NextRequest(3.2)
	second := NewGrantor(terms, 2, 3.2)
	for now := 3.3; now < 4.1; now += 0.3 { // the first is still believed
		ask(y, first, now)
	}
	if got := part(y, 4); got != 95 {
		t.Fatalf("after the first's lease the second has %.1f", got)
	}
	if a := second.HandleRequest(4.3, late, true); a != nil {
		x.HandleReply(4.3, a)
	}
	if all := part(x, 4.3) + part(y, 4.3); all > 100 {
		t.Errorf("all may use %.1f of 100", all)
	}
}

// TestTermsAreChecked: each fault names its budget.
func TestTermsAreChecked(t *testing.T) {
	good := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 4, Limits: twoBounds}
	if err := good.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Config){
		"no floor":         func(x *Config) { x.FloorFraction = 0 },
		"all floor":        func(x *Config) { x.FloorFraction = 1 },
		"no servers":       func(x *Config) { x.MaxServers = 0 },
		"no lease":         func(x *Config) { x.LeaseSeconds = math.NaN() },
		"twice":            func(x *Config) { x.Limits = append([]Limit{x.Limits[0]}, x.Limits...) },
		"no name":          func(x *Config) { x.Limits = []Limit{{Max: 1}} },
		"negative":         func(x *Config) { x.Limits = []Limit{{Name: "a", Max: -1}} },
		"endless":          func(x *Config) { x.Limits = []Limit{{Name: "a", Max: math.Inf(1)}} },
		"open for ever":    func(x *Config) { x.Limits = []Limit{{Name: "a", Max: 50, Concurrent: true}} },
		"floor under one":  func(x *Config) { x.Limits = []Limit{{Name: "a", Max: 30, Concurrent: true, LingerSeconds: 1}} },
		"a name too long":  func(x *Config) { x.Limits = []Limit{{Name: fmt.Sprintf("%099d", 1), Max: 1}} },
		"more than it may": func(x *Config) { x.Limits = make([]Limit, maxLimits+1) },
	} {
		x := good
		change(&x)
		if x.Validate() == nil {
			t.Errorf("%s: it is taken for right", name)
		}
	}
}

func benchmark(b *testing.B, budgets, servers int) {
	terms := Config{LeaseSeconds: 6, FloorFraction: 0.1, MaxServers: servers}
	for i := range budgets {
		terms.Limits = append(terms.Limits, Limit{Name: fmt.Sprint("tenant/", i), Max: 100})
	}
	g := NewGrantor(terms, 1, 0)
	q := &Request{ConfigHash: terms.Hash(), GrantorID: 1}
	for i := range min(budgets, MaxEntries) {
		q.Demands = append(q.Demands, Demand{Name: terms.Limits[i*budgets/min(budgets, MaxEntries)].Name, Requested: 3})
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		q.Incarnation, q.Number = uint64(1+n%servers), uint64(1+n/servers)
		g.HandleRequest(100+float64(n)*6/3/float64(servers), q, true)
		n++
	}
}

func BenchmarkAQuestion(b *testing.B) {
	for _, c := range [][2]int{{10, 10}, {10, 1000}, {10_000, 10}} {
		b.Run(fmt.Sprintf("%d budgets, %d servers", c[0], c[1]), func(b *testing.B) { benchmark(b, c[0], c[1]) })
	}
}

// TestShortSequencesExhaustively plays every order of seven steps of two servers, two leaders and their questions, from a moment at which one server
// has all and its lease is nearly over.
func TestShortSequencesExhaustively(t *testing.T) {
	terms := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 2, Limits: twoBounds[:1]}
	const length, choices = 7, 7
	all := 1
	for range length {
		all *= choices
	}
	for n := range all {
		granters := [2]*Grantor{NewGrantor(terms, 1, -100), nil}
		holders := [2]*Holder{NewHolder(7, terms, 0), NewHolder(8, terms, 0)}
		now, followed, left := 0.0, math.Inf(1), n
		var mail []func(to int)
		ask := func(i int) {
			h := holders[i]
			p := h.parts["rate"]
			p.asked = math.Inf(-1) // due again, whatever it said before
			h.RecordUsage(now, "rate", 500, 0, p.answer)
			q := h.NextRequest(now)
			mail = append(mail, func(to int) {
				if g := granters[to]; g != nil {
					if a := g.HandleRequest(now, q, to == 1 || now < followed+leaderLeaseSeconds); a != nil {
						h.HandleReply(now, a)
					}
				}
			})
		}
		arrive := func(at, to int) {
			mail[at](to)
			mail = append(mail[:at:at], mail[at+1:]...)
		}
		for _, i := range []int{1, 0, 0} { // both have heard the first; one has all that there is
			ask(i)
			arrive(0, 0)
		}
		for now = 2.4; left > 0; left /= choices {
			step := left % choices
			if len(mail) == 0 && step >= 2 && step <= 4 || step == 4 && granters[1] == nil || step == 6 && granters[1] != nil {
				break // nothing would happen: a shorter sequence
			}
			switch step {
			case 0, 1:
				ask(step)
			case 2:
				arrive(0, 0)
			case 3:
				arrive(len(mail)-1, 0)
			case 4:
				arrive(0, 1)
			case 5:
				now += 1.2
			case 6:
				granters[1], followed = NewGrantor(terms, 2, now), now
			}
			sum := 0.0
			for _, h := range holders {
				sum += h.may(h.parts["rate"], now)
			}
			if sum > 100*(1+1e-9) {
				t.Fatalf("sequence %d: all may use %.1f of 100 at %.1f", n, sum, now)
			}
		}
	}
}
