package counter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// world plays servers, keepers and the voters' order, in simulated time: messages are lost, doubled and late; commands to close rows are committed long
// after they were proposed, by whoever led then.
type world struct {
	chance  *rand.Rand
	now     float64
	loss    float64
	mail    []mail
	servers []*server
	dead    []*server
	keepers []*keeper
	order   *release.Log
	asked   []release.Command // proposed, and not committed yet
	lives   uint64
}

type mail struct {
	at float64
	do func()
}

type server struct {
	name   string
	life   uint64
	teller *Reporter
	truth  uint64
	sure   uint64 // that most keepers had, as it knew
	cut    bool
	asleep bool
}

type keeper struct {
	name   string
	keeper *Aggregator
	life   int
	sees   *release.Log // may be behind
	deaf   bool         // to servers
}

var names = []string{"k0", "k1", "k2", "k3", "k4"}

func newWorld(seed uint64, keepers, servers int) *world {
	w := &world{chance: rand.New(rand.NewPCG(seed, 3)), order: (&release.Log{}).Clone()}
	for i := range keepers {
		w.keepers = append(w.keepers, &keeper{name: names[i]})
	}
	for _, k := range w.keepers {
		w.cold(k)
	}
	for i := range servers {
		s := &server{name: fmt.Sprint("s", i)}
		w.servers = append(w.servers, s)
		w.born(s)
	}
	return w
}

func (w *world) cold(k *keeper) {
	k.life++
	k.sees = w.order.Clone()
	k.keeper = NewAggregator(k.name, names[:len(w.keepers)], uint64(w.now*10)+uint64(k.life), func(row uint64) (uint64, bool) { return k.sees.ClosedRow(row) }, w.now)
}

func (w *world) born(s *server) {
	w.lives++
	s.life, s.truth, s.sure = w.lives<<16, 0, 0
	s.teller = NewReporter(s.name, s.life, names[:len(w.keepers)], w.now)
	w.order.Members[s.name] = s.life
}

// send brings something, or does not, once or twice.
func (w *world) send(do func()) {
	for range 1 + w.chance.IntN(5)/4 {
		if w.chance.Float64() >= w.loss {
			w.mail = append(w.mail, mail{w.now + 0.3*w.chance.ExpFloat64()*w.chance.Float64(), do})
		}
	}
}

func (w *world) keeperOf(name string) *keeper { return w.keepers[slices.Index(names, name)] }

func (w *world) serve(s *server) {
	if s.asleep {
		return
	}
	if w.chance.IntN(3) == 0 {
		n := uint64(w.chance.IntN(5))
		s.truth += n
		s.teller.Add([]serving.CounterCell{{CounterKey: serving.CounterKey{Tenant: "acme", Class: fmt.Sprint(w.chance.IntN(3))}, RequestCounts: serving.RequestCounts{Received: n}}})
	}
	for _, l := range s.teller.DueReports(w.now) {
		told, teller := *l.Report, s.teller
		if s.cut {
			continue
		}
		w.send(func() {
			k := w.keeperOf(l.To)
			if k.deaf {
				return
			}
			h, from := k.keeper.HandleReport(w.now, &told), k.name
			w.send(func() {
				if s.teller == teller && !s.asleep && !s.cut {
					teller.HandleAck(w.now, from, &h)
				}
			})
		})
	}
	row, all := s.teller.CurrentRow()
	if all {
		s.sure = sum(row)
		for _, t := range s.teller.before {
			s.sure += t.Received
		}
	}
}

func sum(list []serving.CounterCell) (n uint64) {
	for _, c := range list {
		n += c.Received
	}
	return n
}

func (w *world) propose(ripe []RowReport) {
	if ripe != nil {
		c := release.Command{Kind: release.KindCloseCounters}
		for _, t := range ripe {
			c.CounterRows = append(c.CounterRows, release.CounterRow{ID: t.RowID, Sequence: t.Sequence, Cells: t.Cells})
		}
		w.asked = append(w.asked, c)
	}
}

func (w *world) keep(k *keeper) {
	gone := func(name string, life uint64) bool { return w.order.Members[name] != life }
	letters, ripe := k.keeper.Maintain(w.now, w.chance.IntN(3) > 0, gone) // often more than one believes that it leads
	w.propose(ripe)
	for _, l := range letters {
		life, ask := k.life, *l.Query
		w.send(func() {
			to := w.keeperOf(l.To)
			said := to.keeper.HandleQuery(w.now, &ask)
			w.send(func() {
				if k.life == life {
					w.propose(k.keeper.HandleQueryReply(w.now, to.name, said))
				}
			})
		})
	}
}

func (w *world) step(seconds float64, faults bool) {
	for end := w.now + seconds; w.now < end; w.now += 0.1 {
		due := w.mail[:0:0]
		w.mail = slices.DeleteFunc(w.mail, func(m mail) bool {
			if m.at <= w.now {
				due = append(due, m)
			}
			return m.at <= w.now
		})
		w.chance.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, m := range due {
			m.do()
		}
		for i := 0; i < len(w.asked); i++ {
			if !faults || w.chance.IntN(20) == 0 {
				_ = w.order.Apply(&w.asked[i])
				w.asked = slices.Delete(w.asked, i, i+1)
				i--
			}
		}
		for _, s := range w.servers {
			w.serve(s)
		}
		for _, k := range w.keepers {
			if !faults || w.chance.IntN(10) == 0 {
				k.sees = w.order.Clone()
			}
			w.keep(k)
		}
		if faults && w.chance.IntN(25) == 0 {
			w.fault()
		}
	}
}

func (w *world) fault() {
	s := w.servers[w.chance.IntN(len(w.servers))]
	k, cold := w.keepers[w.chance.IntN(len(w.keepers))], 0
	for _, o := range w.keepers {
		if o != k && o.keeper.Recovering() {
			cold++
		}
	}
	switch w.chance.IntN(9) {
	case 0: // it dies, and returns as another life
		w.dead = append(w.dead, &server{name: s.name, life: s.life, teller: s.teller, truth: s.truth, sure: s.sure})
		s.cut, s.asleep = false, false
		w.born(s)
	case 1:
		s.cut = !s.cut
	case 2:
		s.asleep = !s.asleep
	case 3: // its name is taken for nobody's, and it is there again
		if w.order.Members[s.name] == s.life {
			delete(w.order.Members, s.name)
		} else {
			w.order.Members[s.name] = s.life
		}
	case 4:
		w.loss = 0.6 * w.chance.Float64() * float64(w.chance.IntN(2))
	case 5, 6: // a keeper returns cold, as long as most of them know
		if most := len(w.keepers)/2 + 1; cold < len(w.keepers)-most {
			w.cold(k)
		}
	case 7, 8:
		k.deaf = !k.deaf
	}
}

// play has things go wrong, heals them, and holds what the keepers know against the truth.
func play(t interface{ Fatalf(string, ...any) }, seed uint64) {
	w := newWorld(seed, []int{1, 3, 5, 4}[seed%4], 1+int(seed/4%4))
	w.step(60, true)
	w.loss = 0
	for _, s := range w.servers {
		s.cut, s.asleep = false, false
	}
	for _, k := range w.keepers {
		k.deaf = false
	}
	w.step(30, false)
	for _, k := range w.keepers {
		if k.keeper.Recovering() || k.keeper.refused > 0 {
			t.Fatalf("%s is cold: %v; it refused %d words", k.name, k.keeper.Recovering(), k.keeper.refused)
		}
	}
	for _, s := range w.servers {
		if s.teller.Unaccounted > 0 {
			t.Fatalf("%s has %d tasks unplaced", s.name, s.teller.Unaccounted)
		}
	}
	// No more is counted from here on, so that what is left of this second reaches the keepers.
	var low, high uint64
	for _, s := range w.servers {
		low, high = low+s.truth, high+s.truth
		s.asleep = false
	}
	for _, s := range w.dead {
		low, high = low+s.sure, high+s.truth
	}
	quietly := w.servers
	w.servers = nil
	for range 60 {
		for _, s := range quietly {
			s.teller.next = min(s.teller.next, w.now)
			for _, l := range s.teller.DueReports(w.now) {
				h := w.keeperOf(l.To).keeper.HandleReport(w.now, l.Report)
				s.teller.HandleAck(w.now, l.To, &h)
			}
		}
		w.step(0.5, false)
	}
	for _, k := range w.keepers {
		if got := sum(k.keeper.Summary(w.now, k.sees.ClosedTotals).Total); got < low || got > high {
			t.Fatalf("%s counts %d, the truth is from %d to %d (%d dead)", k.name, got, low, high, len(w.dead))
		}
	}
}

func TestEachTaskCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { play(t, rapid.Uint64().Draw(t, "seed")) })
}

// TestARowThatIsClosedUnderItsServer: it is taken for gone while it has news on the way, and goes on as another row.
func TestARowThatIsClosedUnderItsServer(t *testing.T) {
	cell := serving.CounterKey{Tenant: "acme", Class: "ping"}
	for _, closed := range []uint64{1, 2} {
		s := NewReporter("a", 100, []string{"k0"}, 0)
		add := func(n uint64) {
			s.Add([]serving.CounterCell{{CounterKey: cell, RequestCounts: serving.RequestCounts{Received: n}}})
		}
		add(5)
		s.DueReports(0)
		s.HandleAck(0, "k0", &RowAck{RowID: 100, Sequence: 1, Aggregators: Incarnations{1}})
		add(3)
		s.DueReports(3)
		add(2)
		s.HandleAck(3.1, "k0", &RowAck{RowID: 100, Sequence: closed, Closed: true})
		l := s.DueReports(3.2)
		if want := []uint64{0, 5, 2}[closed]; len(l) != 1 || l[0].Report.RowID != 101 || l[0].Report.Sequence != 1 || sum(l[0].Report.Cells) != want || s.Unaccounted != 0 {
			t.Errorf("closed under %d it tells %+v, of %d", closed, l, want)
		}
	}
}

// TestNonsenseIsRefused: a row that shrinks, jumps or names a cell twice changes nothing.
func TestNonsenseIsRefused(t *testing.T) {
	k := NewAggregator("k0", []string{"k0"}, 1, func(uint64) (uint64, bool) { return 0, false }, 0)
	of := func(stage string, n uint64) serving.CounterCell {
		return serving.CounterCell{CounterKey: serving.CounterKey{Class: stage}, RequestCounts: serving.RequestCounts{Received: n}}
	}
	k.HandleReport(0, &RowReport{Server: "a", Incarnation: 1, RowID: 1, Sequence: 1, Cells: []serving.CounterCell{of("x", 10), of("y", 5)}})
	for _, cells := range [][]serving.CounterCell{{of("x", 9), of("y", 5)}, {of("x", 11)}, {of("x", 10), of("x", 10), of("y", 5)}, {of("x", 1<<60), of("y", 5)}} {
		if h := k.HandleReport(1, &RowReport{Server: "a", Incarnation: 1, RowID: 1, Sequence: 2, Cells: cells}); h.Sequence != 1 {
			t.Errorf("%v is taken", cells)
		}
	}
	if r := k.Summary(1, nil); sum(r.Total) != 15 || r.RejectedReports != 4 {
		t.Errorf("it knows %+v", r)
	}
	if h := k.HandleReport(2, &RowReport{Server: "a", Incarnation: 1, RowID: 1, Sequence: 2, BaseSequence: 1, Cells: []serving.CounterCell{of("y", 6)}}); h.Sequence != 2 {
		t.Errorf("what changed is not taken: %+v", h)
	}
	if r := k.Summary(14, nil); sum(r.Total) != 16 || len(r.LateReports) != 1 || r.LateReports[0].SilentSeconds != 12 || r.MaxMissing != 6 {
		t.Errorf("it knows %+v", r)
	}
}

func BenchmarkAWord(b *testing.B) {
	k := NewAggregator("k0", []string{"k0"}, 1, func(uint64) (uint64, bool) { return 0, false }, 0)
	t := &RowReport{Server: "a", Incarnation: 1, RowID: 1}
	for i := range 40 {
		t.Cells = append(t.Cells, serving.CounterCell{CounterKey: serving.CounterKey{Tenant: "acme", Class: fmt.Sprint(i)}})
	}
	for b.Loop() {
		t.Sequence++
		for i := range t.Cells {
			t.Cells[i].Received++
		}
		k.HandleReport(float64(t.Sequence), t)
	}
}
