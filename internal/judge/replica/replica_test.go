package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"swiftcourse/internal/judge/stance"
	state "swiftcourse/internal/replica"
)

// world plays servers that hold and claim, and a network between them, in simulated time.
type world struct {
	t       interface{ Fatalf(string, ...any) }
	chance  *rand.Rand
	place   *Place
	now     float64
	nodes   []*node
	mail    []mail
	loss    float64
	double  float64
	delay   float64
	cut     map[[2]int]bool
	lives   uint64
	tasks   int
	ran     map[state.Key][]run
	told    map[string]Told
	asked   map[string]float64 // until when each task has to be told
	keys    []state.Key
	history []porcupine.Operation
	ticks   int64            // of the history: each call and return has its own
	began   map[string]int64 // when each task was claimed, for the history
	log     []string
}

type run struct {
	at     float64
	result string
	id     string
}

type mail struct {
	at       float64
	from, to int
	life     uint64 // of who sent it
	do       func(*node)
}

type node struct {
	w       *world
	i       int
	life    uint64
	up      bool
	asleep  bool
	off     float64 // of its time of day
	sits    Sittings
	holder  *Holder
	asker   *Asker
	store   *state.Store
	running map[string]float64 // when each run ends
	key     map[string]state.Key
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, servers, copies int) *world {
	w := &world{t: t, chance: rand.New(rand.NewPCG(seed, 7)), now: 1000, cut: map[[2]int]bool{}, ran: map[state.Key][]run{}, told: map[string]Told{},
		asked: map[string]float64{}, began: map[string]int64{}, delay: 0.002}
	terms := Terms{Copies: copies, Window: 8, Longest: 1}
	for i := range servers {
		terms.Members = append(terms.Members, Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint(i % 3), Weight: 1})
	}
	var err error
	if w.place, err = NewPlace(terms); err != nil {
		t.Fatalf("%v", err)
	}
	for i := range 4 {
		w.keys = append(w.keys, state.KeyOf("ping", fmt.Sprint("key", seed, i)))
	}
	for i := range servers {
		n := &node{w: w, i: i, off: float64(w.chance.IntN(3)-1) * 3600}
		w.nodes = append(w.nodes, n)
		n.start()
		for slot := range n.holder.cold { // the fleet's first start: nothing ran before
			n.holder.warm(slot)
		}
	}
	return w
}

// start begins a life that knows nothing.
func (n *node) start() {
	w := n.w
	w.lives++
	n.life, n.up, n.asleep = w.lives, true, false
	n.sits = make(Sittings, len(w.place.Members))
	n.sits[n.i] = Sitting{N: uint64(w.now + n.off), Life: n.life}
	n.store = state.NewStore(10_000, 1<<20)
	n.holder = NewHolder(w.place, n.i, n.sits, n.store, 1e6, w.now)
	n.asker = NewAsker(w.place, n.sits, n.life, func() float64 { return w.now + n.off }, w.now)
	n.running, n.key = map[string]float64{}, map[string]state.Key{}
}

func (w *world) say(format string, a ...any) {
	w.log = append(w.log, fmt.Sprintf("%.3f ", w.now)+fmt.Sprintf(format, a...))
}

func (w *world) fail(format string, a ...any) {
	for _, line := range w.log[max(0, len(w.log)-60):] {
		fmt.Println(line)
	}
	w.t.Fatalf(format, a...)
}

func (w *world) send(from, to int, life uint64, do func(*node)) {
	copies := 1
	if w.chance.Float64() < w.double {
		copies = 2
	}
	for range copies {
		if w.chance.Float64() >= w.loss && !w.cut[[2]int{from, to}] {
			at := w.now + w.delay*w.chance.ExpFloat64()
			if w.chance.IntN(200) == 0 {
				at += 3 * w.chance.Float64() // an old message
			}
			w.mail = append(w.mail, mail{at, from, to, life, do})
		}
	}
}

// flush sends what a node has to say and does what it is told.
func (n *node) flush() {
	w := n.w
	for again := true; again; {
		again = false
		for _, l := range append(n.asker.Letters(), n.holder.Letters()...) {
			again = true
			from, life := n.i, n.life
			if l.To == n.i {
				if l.Ask != nil {
					a := n.holder.Read(w.now, l.Ask)
					n.asker.Read(w.now, n.i, clone(&a))
				}
				continue
			}
			w.send(from, l.To, life, func(to *node) { to.take(from, life, l) })
		}
	}
	for _, told := range n.asker.Rulings() {
		n.heed(told)
	}
}

// clone is an answer as it comes out of a message.
func clone(a *Answer) *Answer {
	c := *a
	c.Tries = slices.Clone(a.Tries)
	return &c
}

func (n *node) take(from int, life uint64, l Letter) {
	w := n.w
	switch {
	case l.Ask != nil:
		a := clone(new(n.holder.Read(w.now, l.Ask)))
		back := n.i
		w.send(n.i, from, n.life, func(to *node) {
			if to.life == life {
				to.asker.Read(w.now, back, a)
			}
		})
	case l.Pull != nil:
		if s := n.holder.Pulled(w.now, from, l.Pull); s != nil {
			back := n.i
			for i := range s.Parts {
				for j := range s.Parts[i].Copies {
					r := *s.Parts[i].Copies[j].Record
					s.Parts[i].Copies[j].Record = &r
				}
			}
			w.send(n.i, from, n.life, func(to *node) {
				if to.life == life {
					to.holder.Told(w.now, back, s, 100)
				}
			})
		}
	case l.Sums != nil:
		n.holder.Compared(w.now, from, l.Sums)
	}
	n.flush()
}

// heed does with a task what a server does.
func (n *node) heed(told Told) {
	w := n.w
	if w.now > w.asked[told.ID]+0.051 {
		w.fail("%s is told %s %.3f s too late", told.ID, told.Ruling, w.now-w.asked[told.ID])
	}
	if was, twice := w.told[told.ID]; twice {
		w.fail("%s is told %s, and was told %s", told.ID, told.Ruling, was.Ruling)
	}
	w.told[told.ID] = told
	key := n.key[told.ID]
	w.ticks++
	w.history = append(w.history, porcupine.Operation{Input: claimed{key: key, id: told.ID}, Call: w.began[told.ID], Output: told, Return: w.ticks})
	w.say("node %d task %s key %x: %s %q", n.i, told.ID, key[:2], told.Ruling, told.Result)
	switch told.Ruling {
	case stance.ClaimGranted:
		if w.chance.IntN(8) == 0 { // judged anew, it has too little time left
			w.history = append(w.history, porcupine.Operation{Input: claimed{key, told.ID, true}, Call: w.ticks + 1, Output: Told{}, Return: w.ticks + 2})
			w.ticks += 2
			n.asker.Never(w.now, told.ID)
			return
		}
		for _, r := range w.ran[key] {
			if w.now < r.at+w.place.Window {
				w.fail("key %x runs at %.3f as %s and again at %.3f as %s", key[:2], r.at, r.id, w.now, told.ID)
			}
		}
		w.ran[key] = append(w.ran[key], run{w.now, fmt.Sprintf("result of %s", told.ID), told.ID})
		n.running[told.ID] = w.now + 0.3*w.chance.Float64()
	case stance.ClaimCached:
		ran := w.ran[key]
		if len(ran) == 0 || !slices.ContainsFunc(ran, func(r run) bool { return r.result == string(told.Result) }) {
			w.fail("key %x has the result %q, which nobody had: %v", key[:2], told.Result, ran)
		}
	}
}

// claim brings a task to a node.
func (w *world) claim(n *node, key state.Key) string {
	w.tasks++
	id := fmt.Sprintf("t%d", w.tasks)
	until := w.now + 0.1 + 0.9*w.chance.Float64()
	n.key[id], w.asked[id] = key, until
	w.ticks++
	w.began[id] = w.ticks
	w.say("node %d claims %x as %s until %.3f", n.i, key[:2], id, until)
	n.asker.Begin(w.now, id, key, until)
	n.flush()
	return id
}

// step moves on by a little.
func (w *world) step(by float64) {
	for end := w.now + by; w.now < end; {
		w.now += 0.005
		due := w.mail[:0:0]
		w.mail = slices.DeleteFunc(w.mail, func(m mail) bool {
			if m.at <= w.now && !(w.nodes[m.to].up && w.nodes[m.to].asleep) {
				due = append(due, m)
				return true
			}
			return false
		})
		slices.SortStableFunc(due, func(a, b mail) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		for _, m := range due {
			if n := w.nodes[m.to]; n.up {
				m.do(n)
				n.flush()
			}
		}
		for _, n := range w.nodes {
			if !n.up || n.asleep {
				continue
			}
			ids := make([]string, 0, len(n.running))
			for id, at := range n.running {
				if at <= w.now {
					ids = append(ids, id)
				}
			}
			slices.Sort(ids)
			for _, id := range ids {
				delete(n.running, id)
				n.asker.Ended(w.now, id, w.chance.IntN(10) > 0, []byte("result of "+id))
			}
			n.holder.Due(w.now)
			n.asker.Due(w.now)
			n.flush()
		}
	}
}

// fault does something bad, or makes it good again.
func (w *world) fault() {
	n := w.nodes[w.chance.IntN(len(w.nodes))]
	switch w.chance.IntN(8) {
	case 0:
		w.say("node %d dies", n.i)
		n.up = false
	case 1, 2, 3:
		w.say("node %d is back cold", n.i)
		n.start()
	case 4:
		other := w.chance.IntN(len(w.nodes))
		w.cut[[2]int{n.i, other}] = true
		if w.chance.IntN(2) == 0 {
			w.cut[[2]int{other, n.i}] = true
		}
	case 5:
		clear(w.cut)
		w.loss, w.double = 0, 0
	case 6:
		w.loss, w.double = 0.3*w.chance.Float64(), 0.3*w.chance.Float64()
	case 7:
		if k := w.keys[w.chance.IntN(len(w.keys))]; n.up {
			w.say("node %d has a bit of %x flipped", n.i, k[:2])
			n.store.Flip(k)
		}
	}
}

// play claims keys from several sides, most of them just claimed elsewhere, while things go wrong.
func play(t interface{ Fatalf(string, ...any) }, seed uint64) *world {
	sizes := [][2]int{{3, 3}, {5, 3}, {5, 5}, {4, 3}}
	size := sizes[seed%uint64(len(sizes))]
	w := newWorld(t, seed, size[0], size[1])
	w.delay = []float64{0.002, 0.02, 0.08}[w.chance.IntN(3)]
	for round := range 60 {
		if w.keys = append(w.keys, state.KeyOf("ping", fmt.Sprint("key", seed, round))); len(w.keys) > 6 {
			w.keys = w.keys[1:]
		}
		for range 2 + w.chance.IntN(4) {
			if n := w.nodes[w.chance.IntN(len(w.nodes))]; n.up {
				w.claim(n, w.keys[len(w.keys)-1-w.chance.IntN(3)])
			}
			if w.chance.IntN(3) == 0 {
				w.fault()
			}
			w.step(0.15 * w.chance.Float64())
		}
	}
	w.step(1.1)
	for id, until := range w.asked {
		if _, told := w.told[id]; !told && slices.ContainsFunc(w.nodes, func(n *node) bool { _, has := n.key[id]; return has && n.up }) {
			w.fail("%s has no answer, which was due at %.3f", id, until)
		}
	}
	return w
}

func TestNoKeyRunsTwice(t *testing.T) {
	outcomes := map[stance.ClaimVerdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, rapid.Uint64().Draw(t, "seed"))
		for _, told := range w.told {
			outcomes[told.Ruling]++
		}
	})
	for _, o := range []stance.ClaimVerdict{stance.ClaimGranted, stance.ClaimCached, stance.ClaimOutcomeUnknown, stance.ClaimNoQuorum} {
		if outcomes[o] == 0 {
			t.Errorf("no task was ever told %s: %v", o, outcomes)
		}
	}
}

func TestCopiesAgreeOnceHealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(t, rapid.Uint64().Draw(t, "seed"))
		clear(w.cut)
		w.loss, w.double = 0, 0
		for _, n := range w.nodes {
			if !n.up {
				n.start()
			}
		}
		for range 60 {
			w.step(0.5)
			if w.agrees() {
				break
			}
		}
		if !w.agrees() {
			t.Fatalf("copies differ 30 s after the last fault")
		}
		// One claim may still fail for good reason: its task has little time, or a message is an old one. Five in a row may not.
		ruling := stance.ClaimNoQuorum
		for i := 0; i < 5 && ruling != stance.ClaimGranted; i++ {
			id := w.claim(w.nodes[0], state.KeyOf("ping", fmt.Sprint("fresh", i)))
			w.step(1.1)
			ruling = w.told[id].Ruling
		}
		if ruling != stance.ClaimGranted {
			t.Fatalf("healed, five new keys in a row are not granted, the last is told %s", ruling)
		}
	})
}

// agrees tells whether all holders know the same, and may answer.
func (w *world) agrees() bool {
	for slot := range state.Slots {
		group := w.place.Group(slot)
		for _, i := range group {
			if !w.nodes[i].holder.Warm(slot) || w.nodes[i].holder.Sum(slot) != w.nodes[group[0]].holder.Sum(slot) {
				return false
			}
		}
	}
	return true
}
