package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
	state "swiftcourse/internal/replicastore"
)

// cluster plays servers that hold and claim, and a network between them, in simulated time.
type cluster struct {
	t             interface{ Fatalf(string, ...any) }
	random        *rand.Rand
	placement     *Placement
	now           float64
	nodes         []*node
	inFlight      []delivery
	lossRate      float64
	duplicateRate float64
	delay         float64
	cut           map[[2]int]bool
	incarnations  uint64
	requests      int
	runs          map[state.Key][]run
	outcomes      map[string]Outcome
	deadlines     map[string]float64 // until when each task has to be told
	keys          []state.Key
	history       []porcupine.Operation
	ticks         int64            // of the history: each call and return has its own
	calls         map[string]int64 // when each task was claimed, for the history
	log           []string
}

type run struct {
	at     float64
	result string
	id     string
}

type delivery struct {
	at                float64
	from, to          int
	senderIncarnation uint64 // of who sent it
	deliver           func(*node)
}

type node struct {
	cluster     *cluster
	index       int
	incarnation uint64
	up          bool
	paused      bool
	clockOffset float64 // of its time of day
	terms       TermTable
	replica     *Replica
	coordinator *Coordinator
	store       *state.Store
	running     map[string]float64 // when each run ends
	keys        map[string]state.Key
}

func newCluster(t interface{ Fatalf(string, ...any) }, seed uint64, servers, copies int) *cluster {
	w := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: 1000, cut: map[[2]int]bool{}, runs: map[state.Key][]run{}, outcomes: map[string]Outcome{},
		deadlines: map[string]float64{}, calls: map[string]int64{}, delay: 0.002}
	terms := Config{ReplicationFactor: copies, RetentionWindow: 8, MaxClaimDuration: 1}
	for i := range servers {
		terms.Members = append(terms.Members, Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint(i % 3), Weight: 1})
	}
	var err error
	if w.placement, err = NewPlacement(terms); err != nil {
		t.Fatalf("%v", err)
	}
	for i := range 4 {
		w.keys = append(w.keys, state.KeyOf("ping", fmt.Sprint("key", seed, i)))
	}
	for i := range servers {
		n := &node{cluster: w, index: i, clockOffset: float64(w.random.IntN(3)-1) * 3600}
		w.nodes = append(w.nodes, n)
		n.start()
		for slot := range n.replica.catchingUp { // the fleet's first start: nothing ran before
			n.replica.markCaughtUp(slot)
		}
	}
	return w
}

// start begins a life that knows nothing.
func (n *node) start() {
	w := n.cluster
	w.incarnations++
	n.incarnation, n.up, n.paused = w.incarnations, true, false
	n.terms = make(TermTable, len(w.placement.Members))
	n.terms[n.index] = Term{Number: uint64(w.now + n.clockOffset), Incarnation: n.incarnation}
	n.store = state.NewStore(10_000, 1<<20)
	n.replica = NewReplica(w.placement, n.index, n.terms, n.store, 1e6, w.now)
	n.coordinator = NewCoordinator(w.placement, n.terms, n.incarnation, func() float64 { return w.now + n.clockOffset }, w.now)
	n.running, n.keys = map[string]float64{}, map[string]state.Key{}
}

func (w *cluster) logf(format string, a ...any) {
	w.log = append(w.log, fmt.Sprintf("%.3f ", w.now)+fmt.Sprintf(format, a...))
}

func (w *cluster) failf(format string, a ...any) {
	for _, line := range w.log[max(0, len(w.log)-60):] {
		fmt.Println(line)
	}
	w.t.Fatalf(format, a...)
}

func (w *cluster) send(from, to int, life uint64, do func(*node)) {
	copies := 1
	if w.random.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		if w.random.Float64() >= w.lossRate && !w.cut[[2]int{from, to}] {
			at := w.now + w.delay*w.random.ExpFloat64()
			if w.random.IntN(200) == 0 {
				at += 3 * w.random.Float64() // an old message
			}
			w.inFlight = append(w.inFlight, delivery{at, from, to, life, do})
		}
	}
}

// flush sends what a node has to say and does what it is told.
func (n *node) flush() {
	w := n.cluster
	for again := true; again; {
		again = false
		for _, l := range append(n.coordinator.TakeOutbox(), n.replica.TakeOutbox()...) {
			again = true
			from, life := n.index, n.incarnation
			if l.To == n.index {
				if l.Claim != nil {
					a := n.replica.HandleClaim(w.now, l.Claim)
					n.coordinator.HandleReply(w.now, n.index, cloneReply(&a))
				}
				continue
			}
			w.send(from, l.To, life, func(to *node) { to.receive(from, life, l) })
		}
	}
	for _, told := range n.coordinator.TakeOutcomes() {
		n.handleOutcome(told)
	}
}

// cloneReply is an answer as it comes out of a message.
func cloneReply(a *ClaimReply) *ClaimReply {
	c := *a
	c.Attempts = slices.Clone(a.Attempts)
	return &c
}

func (n *node) receive(from int, life uint64, l Envelope) {
	w := n.cluster
	switch {
	case l.Claim != nil:
		a := cloneReply(new(n.replica.HandleClaim(w.now, l.Claim)))
		back := n.index
		w.send(n.index, from, n.incarnation, func(to *node) {
			if to.incarnation == life {
				to.coordinator.HandleReply(w.now, back, a)
			}
		})
	case l.Pull != nil:
		if s := n.replica.HandlePull(w.now, from, l.Pull); s != nil {
			back := n.index
			for i := range s.Slots {
				for j := range s.Slots[i].Copies {
					r := *s.Slots[i].Copies[j].Record
					s.Slots[i].Copies[j].Record = &r
				}
			}
			w.send(n.index, from, n.incarnation, func(to *node) {
				if to.incarnation == life {
					to.replica.HandlePullReply(w.now, back, s, 100)
				}
			})
		}
	case l.Checksums != nil:
		n.replica.HandleChecksums(w.now, from, l.Checksums)
	}
	n.flush()
}

// handleOutcome does with a task what a server does.
func (n *node) handleOutcome(told Outcome) {
	w := n.cluster
	if w.now > w.deadlines[told.RequestID]+0.051 {
		w.failf("%s is told %s %.3f s too late", told.RequestID, told.Verdict, w.now-w.deadlines[told.RequestID])
	}
	if was, twice := w.outcomes[told.RequestID]; twice {
		w.failf("%s is told %s, and was told %s", told.RequestID, told.Verdict, was.Verdict)
	}
	w.outcomes[told.RequestID] = told
	key := n.keys[told.RequestID]
	w.ticks++
	w.history = append(w.history, porcupine.Operation{Input: registerInput{key: key, requestID: told.RequestID}, Call: w.calls[told.RequestID], Output: told, Return: w.ticks})
	w.logf("node %d task %s key %x: %s %q", n.index, told.RequestID, key[:2], told.Verdict, told.Result)
	switch told.Verdict {
	case serving.ClaimGranted:
		if w.random.IntN(8) == 0 { // judged anew, it has too little time left
			w.history = append(w.history, porcupine.Operation{Input: registerInput{key, told.RequestID, true}, Call: w.ticks + 1, Output: Outcome{}, Return: w.ticks + 2})
			w.ticks += 2
			n.coordinator.CancelClaim(w.now, told.RequestID)
			return
		}
		for _, r := range w.runs[key] {
			if w.now < r.at+w.placement.RetentionWindow {
				w.failf("key %x runs at %.3f as %s and again at %.3f as %s", key[:2], r.at, r.id, w.now, told.RequestID)
			}
		}
		w.runs[key] = append(w.runs[key], run{w.now, fmt.Sprintf("result of %s", told.RequestID), told.RequestID})
		n.running[told.RequestID] = w.now + 0.3*w.random.Float64()
	case serving.ClaimCached:
		ran := w.runs[key]
		if len(ran) == 0 || !slices.ContainsFunc(ran, func(r run) bool { return r.result == string(told.Result) }) {
			w.failf("key %x has the result %q, which nobody had: %v", key[:2], told.Result, ran)
		}
	}
}

// claim brings a task to a node.
func (w *cluster) claim(n *node, key state.Key) string {
	w.requests++
	id := fmt.Sprintf("t%d", w.requests)
	until := w.now + 0.1 + 0.9*w.random.Float64()
	n.keys[id], w.deadlines[id] = key, until
	w.ticks++
	w.calls[id] = w.ticks
	w.logf("node %d claims %x as %s until %.3f", n.index, key[:2], id, until)
	n.coordinator.StartClaim(w.now, id, key, until)
	n.flush()
	return id
}

// step moves on by a little.
func (w *cluster) step(by float64) {
	for end := w.now + by; w.now < end; {
		w.now += 0.005
		due := w.inFlight[:0:0]
		w.inFlight = slices.DeleteFunc(w.inFlight, func(m delivery) bool {
			if m.at <= w.now && !(w.nodes[m.to].up && w.nodes[m.to].paused) {
				due = append(due, m)
				return true
			}
			return false
		})
		slices.SortStableFunc(due, func(a, b delivery) int {
			if a.at < b.at {
				return -1
			}
			return 1
		})
		for _, m := range due {
			if n := w.nodes[m.to]; n.up {
				m.deliver(n)
				n.flush()
			}
		}
		for _, n := range w.nodes {
			if !n.up || n.paused {
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
				n.coordinator.FinishClaim(w.now, id, w.random.IntN(10) > 0, []byte("result of "+id))
			}
			n.replica.Maintain(w.now)
			n.coordinator.Maintain(w.now)
			n.flush()
		}
	}
}

// injectFault does something bad, or makes it good again.
func (w *cluster) injectFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(8) {
	case 0:
		w.logf("node %d dies", n.index)
		n.up = false
	case 1, 2, 3:
		w.logf("node %d is back cold", n.index)
		n.start()
	case 4:
		other := w.random.IntN(len(w.nodes))
		w.cut[[2]int{n.index, other}] = true
		if w.random.IntN(2) == 0 {
			w.cut[[2]int{other, n.index}] = true
		}
	case 5:
		clear(w.cut)
		w.lossRate, w.duplicateRate = 0, 0
	case 6:
		w.lossRate, w.duplicateRate = 0.3*w.random.Float64(), 0.3*w.random.Float64()
	case 7:
		if k := w.keys[w.random.IntN(len(w.keys))]; n.up {
			w.logf("node %d has a bit of %x flipped", n.index, k[:2])
			n.store.FlipBit(k)
		}
	}
}

// playSchedule claims keys from several sides, most of them just claimed elsewhere, while things go wrong.
func playSchedule(t interface{ Fatalf(string, ...any) }, seed uint64) *cluster {
	sizes := [][2]int{{3, 3}, {5, 3}, {5, 5}, {4, 3}}
	size := sizes[seed%uint64(len(sizes))]
	w := newCluster(t, seed, size[0], size[1])
	w.delay = []float64{0.002, 0.02, 0.08}[w.random.IntN(3)]
	for round := range 60 {
		if w.keys = append(w.keys, state.KeyOf("ping", fmt.Sprint("key", seed, round))); len(w.keys) > 6 {
			w.keys = w.keys[1:]
		}
		for range 2 + w.random.IntN(4) {
			if n := w.nodes[w.random.IntN(len(w.nodes))]; n.up {
				w.claim(n, w.keys[len(w.keys)-1-w.random.IntN(3)])
			}
			if w.random.IntN(3) == 0 {
				w.injectFault()
			}
			w.step(0.15 * w.random.Float64())
		}
	}
	w.step(1.1)
	for id, until := range w.deadlines {
		if _, told := w.outcomes[id]; !told && slices.ContainsFunc(w.nodes, func(n *node) bool { _, has := n.keys[id]; return has && n.up }) {
			w.failf("%s has no answer, which was due at %.3f", id, until)
		}
	}
	return w
}

func TestClaims_NoKeyRunsTwice(t *testing.T) {
	outcomes := map[serving.ClaimVerdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := playSchedule(t, rapid.Uint64().Draw(t, "seed"))
		for _, told := range w.outcomes {
			outcomes[told.Verdict]++
		}
	})
	for _, o := range []serving.ClaimVerdict{serving.ClaimGranted, serving.ClaimCached, serving.ClaimOutcomeUnknown, serving.ClaimNoQuorum} {
		if outcomes[o] == 0 {
			t.Errorf("no task was ever told %s: %v", o, outcomes)
		}
	}
}

func TestReplicas_ConvergeOnceHealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := playSchedule(t, rapid.Uint64().Draw(t, "seed"))
		clear(w.cut)
		w.lossRate, w.duplicateRate = 0, 0
		for _, n := range w.nodes {
			if !n.up {
				n.start()
			}
		}
		for range 60 {
			w.step(0.5)
			if w.converged() {
				break
			}
		}
		if !w.converged() {
			t.Fatalf("copies differ 30 s after the last fault")
		}
		// One claim may still fail for good reason: its task has little time, or a message is an old one. Five in a row may not.
		ruling := serving.ClaimNoQuorum
		for i := 0; i < 5 && ruling != serving.ClaimGranted; i++ {
			id := w.claim(w.nodes[0], state.KeyOf("ping", fmt.Sprint("fresh", i)))
			w.step(1.1)
			ruling = w.outcomes[id].Verdict
		}
		if ruling != serving.ClaimGranted {
			t.Fatalf("healed, five new keys in a row are not granted, the last is told %s", ruling)
		}
	})
}

// converged tells whether all holders know the same, and may answer.
func (w *cluster) converged() bool {
	for slot := range state.SlotCount {
		group := w.placement.Replicas(slot)
		for _, i := range group {
			if !w.nodes[i].replica.CaughtUp(slot) || w.nodes[i].replica.Checksum(slot) != w.nodes[group[0]].replica.Checksum(slot) {
				return false
			}
		}
	}
	return true
}
