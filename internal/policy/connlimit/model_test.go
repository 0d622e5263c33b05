package connlimit

import (
	"cmp"
	"math"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// modelConnection is a connection in the model, described by facts instead of a state and queues.
type modelConnection struct {
	slot         int32
	timeoutOrder int     // rank among all timeouts by when they were started
	since        float64 // when the timeout was started
	lastHeard    float64
	sentValid    bool
	hasPartial   bool
	active       bool
	askedToClose bool
}

func (c *modelConnection) state() State {
	switch {
	case c.active:
		return StateActive
	case c.askedToClose:
		return StateAskedToClose
	case !c.sentValid:
		return StateNew
	case c.hasPartial:
		return StatePartialMessage
	}
	return StateIdle
}

// model is a simple reference model of a limiter without rules. It examines all connections for each
// decision.
type model struct {
	connections map[int32]*modelConnection
	idleTimeout float64
	draining    bool
	nextBatchAt float64
	timeouts    int // number of timeouts started so far
}

// startTimeout starts the timeout of a connection's state.
func (m *model) startTimeout(c *modelConnection, now float64) {
	m.timeouts++
	c.timeoutOrder = m.timeouts
	c.since = now
}

func (m *model) timeout(state State) float64 {
	switch {
	case state == StateActive:
		return math.Inf(1)
	case state == StateAskedToClose && m.draining:
		return 0.1
	case state == StateAskedToClose:
		return 0.5
	case m.draining:
		return 0
	case state == StateIdle:
		return m.idleTimeout
	}
	return 1.5
}

type (
	connectionFilter func(*modelConnection) bool
	connectionOrder  func(a, b *modelConnection) int
)

func (m *model) sorted(keep connectionFilter, by connectionOrder) (list []*modelConnection) {
	for _, c := range m.connections {
		if keep(c) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, by)
	return list
}

func anyConnection(*modelConnection) bool { return true }

func byTimeoutOrder(a, b *modelConnection) int { return cmp.Compare(a.timeoutOrder, b.timeoutOrder) }

func byLastHeard(a, b *modelConnection) int { return cmp.Compare(a.lastHeard, b.lastHeard) }

func (m *model) takeDecisions(now float64) (decisions []Decision) {
	batch := 4
	if m.draining {
		batch = 128
	}
	rank := map[State]int{StateNew: 0, StatePartialMessage: 1, StateAskedToClose: 2, StateIdle: 3}
	timedOut := m.sorted(
		func(c *modelConnection) bool { return now >= c.since+m.timeout(c.state()) },
		func(a, b *modelConnection) int {
			return cmp.Or(cmp.Compare(rank[a.state()], rank[b.state()]), byTimeoutOrder(a, b))
		})
	if now < m.nextBatchAt {
		return nil
	}
	for _, c := range timedOut[:min(batch, len(timedOut))] {
		previous := c.state()
		if previous == StateIdle || m.draining && previous != StateAskedToClose {
			c.askedToClose = true
			decisions = append(decisions, Decision{c.slot, CommandAskToClose, previous})
			m.startTimeout(c, now)
		} else {
			decisions = append(decisions, Decision{c.slot, CommandClose, previous})
		}
	}
	if len(decisions) > 0 {
		m.nextBatchAt = now + 0.001
	}
	return decisions
}

// handleEvent updates the facts that an event changes.
func (m *model) handleEvent(c *modelConnection, event Event, now float64) {
	previous := c.state()
	switch event {
	case EventRequest:
		c.sentValid = true
		c.hasPartial = false
		c.lastHeard = now
	case EventMessage:
		c.hasPartial = false
		c.lastHeard = now
	case EventPartialMessage:
		c.hasPartial = true
		c.lastHeard = now
	case EventRequestOpened:
		c.active = true
		c.sentValid = true
		c.hasPartial = false
	case EventRequestsDone:
		c.active = false
		c.lastHeard = now
	}
	if c.state() != previous || c.state() == StateIdle {
		m.startTimeout(c, now)
	}
}

// startDrain returns the slots of connections with an open request whose peers were not asked to close
// them yet.
func (m *model) startDrain() (active []int32) {
	m.draining = true
	notAsked := func(c *modelConnection) bool { return c.active && !c.askedToClose }
	for _, c := range m.sorted(notAsked, byTimeoutOrder) {
		c.askedToClose = true
		active = append(active, c.slot)
	}
	return active
}

// evictionGroup returns 0 for a silent new connection, 1 for a connection that sent something and 2
// for one whose first message may still be in transit.
func (c *modelConnection) evictionGroup(now float64) int {
	switch {
	case c.state() != StateNew:
		return 1
	case now-c.since > 0.1:
		return 0
	}
	return 2
}

// evictionRank is the key by which candidates are ordered. Candidates with equal keys may come in any
// order.
type evictionRank struct {
	group int
	time  float64
}

func (c *modelConnection) evictionRank(now float64) evictionRank {
	group := c.evictionGroup(now)
	if group == 1 {
		return evictionRank{group, c.lastHeard}
	}
	return evictionRank{group, c.since}
}

func (m *model) evictionCandidates(now float64) (ranks []evictionRank) {
	candidates := m.sorted(
		func(c *modelConnection) bool { return !c.active },
		func(a, b *modelConnection) int {
			if a.evictionGroup(now) == 1 && b.evictionGroup(now) == 1 {
				return byLastHeard(a, b)
			}
			return cmp.Or(cmp.Compare(a.evictionGroup(now), b.evictionGroup(now)), byTimeoutOrder(a, b))
		})
	for _, c := range candidates {
		ranks = append(ranks, c.evictionRank(now))
	}
	return ranks
}

// sortedByState reports whether, in each state, the order of entering it is also the order of
// lastHeard. Only then is the limiter's order of candidates exact. The orders differ if peers were
// asked to close connections in another order, or if more parts of a partial message arrived.
func (m *model) sortedByState() bool {
	for _, state := range timedStates {
		inState := func(c *modelConnection) bool { return c.state() == state }
		if !slices.IsSortedFunc(m.sorted(inState, byTimeoutOrder), byLastHeard) {
			return false
		}
	}
	return true
}

// modelRun executes drawn steps on the model and on a limiter, and compares them.
type modelRun struct {
	*rapid.T
	model   *model
	limiter *Limiter
	now     float64
}

func TestLimiter_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idleTimeout := rapid.SampledFrom([]float64{0, 0.3, 30}).Draw(t, "idle timeout")
		run := &modelRun{
			T: t,
			model: &model{
				connections: map[int32]*modelConnection{},
				idleTimeout: idleTimeout,
				nextBatchAt: math.Inf(-1),
			},
			limiter: New(idleTimeout),
			now:     1000,
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			if !run.step() {
				continue
			}
			run.compareDecisions()
			run.compareStates()
			run.compareCandidates()
		}
	})
}

// pick draws a connection, nil if there is none.
func (r *modelRun) pick() *modelConnection {
	if len(r.model.connections) == 0 {
		return nil
	}
	list := r.model.sorted(anyConnection, func(a, b *modelConnection) int { return cmp.Compare(a.slot, b.slot) })
	return rapid.SampledFrom(list).Draw(r.T, "connection")
}

// step executes a drawn step and reports whether it was applicable.
func (r *modelRun) step() bool {
	switch rapid.IntRange(0, 9).Draw(r.T, "step") {
	case 0, 1:
		r.open()
	case 2:
		if c := r.pick(); c != nil {
			r.close(c.slot)
		}
	case 3, 4, 5:
		if c := r.pick(); c != nil {
			return r.handleEvent(c)
		}
	case 6:
		r.now += rapid.SampledFrom([]float64{0, 0.0005, 0.05, 0.6, 2, 1000}).Draw(r.T, "seconds passed")
	case 7:
		r.model.idleTimeout = rapid.SampledFrom([]float64{0, 0.1, 5}).Draw(r.T, "new idle timeout")
		r.limiter.SetIdleTimeout(r.model.idleTimeout)
	case 8:
		if rapid.IntRange(0, 9).Draw(r.T, "starts to drain if 0") == 0 {
			active := r.model.startDrain()
			if got := r.limiter.StartDrain(); !slices.Equal(got, active) {
				r.Fatalf("StartDrain returned slots %v, want %v", got, active)
			}
		}
	}
	return true
}

// open opens a drawn number of connections at the lowest free slots.
func (r *modelRun) open() {
	for range rapid.SampledFrom([]int{1, 2, 20}).Draw(r.T, "connections to open") {
		slot := int32(0)
		for r.model.connections[slot] != nil {
			slot++
		}
		c := &modelConnection{slot: slot, lastHeard: r.now}
		r.model.startTimeout(c, r.now)
		r.model.connections[slot] = c
		r.limiter.HandleOpen(slot, r.now)
	}
}

func (r *modelRun) close(slot int32) {
	delete(r.model.connections, slot)
	r.limiter.HandleClosed(slot)
}

// handleEvent applies a drawn event to a connection and reports whether the event is possible in its
// state.
func (r *modelRun) handleEvent(c *modelConnection) bool {
	events := []Event{EventRequest, EventMessage, EventPartialMessage, EventRequestOpened, EventRequestsDone}
	event := rapid.SampledFrom(events).Draw(r.T, "event")
	if (event == EventRequestsDone) != c.active && (event == EventRequestsDone || event == EventRequestOpened) {
		return false // no request is open, or one is open already
	}
	r.model.handleEvent(c, event, r.now)
	r.limiter.HandleEvent(c.slot, event, r.now)
	return true
}

func (r *modelRun) compareDecisions() {
	want := r.model.takeDecisions(r.now)
	wakeup := r.limiter.NextWakeup()
	got := slices.Clone(r.limiter.TakeDecisions(r.now))
	if !reflect.DeepEqual(got, want) && len(got)+len(want) > 0 {
		r.Fatalf("decisions at %v s are %+v, want %+v", r.now, got, want)
	}
	if (len(got) > 0) != (wakeup <= r.now) {
		r.Fatalf("%d decisions at %v s, next wakeup was %v s; want decisions if and only if the wakeup time has come",
			len(got), r.now, wakeup)
	}
	for _, decision := range got {
		if decision.Command != CommandClose {
			continue
		}
		if rapid.Bool().Draw(r.T, "unread data") {
			r.model.startTimeout(r.model.connections[decision.Slot], r.now)
			r.limiter.HandleEvent(decision.Slot, EventUnreadData, r.now)
		} else {
			r.close(decision.Slot)
		}
	}
}

func (r *modelRun) compareStates() {
	counts := map[State]int{}
	for slot, c := range r.model.connections {
		counts[c.state()]++
		if r.limiter.State(slot) != c.state() {
			r.Fatalf("slot %d is in state %v, want %v: %+v", slot, r.limiter.State(slot), c.state(), c)
		}
	}
	for state := range stateCount {
		if r.limiter.Count(state) != counts[state] {
			r.Fatalf("%d connections in state %v, want %d", r.limiter.Count(state), state, counts[state])
		}
	}
}

func (r *modelRun) compareCandidates() {
	var got []evictionRank
	for slot := range r.limiter.EvictionCandidates(r.now) {
		got = append(got, r.model.connections[slot].evictionRank(r.now))
	}
	want := r.model.evictionCandidates(r.now)
	if !r.model.draining && r.model.sortedByState() && !slices.Equal(got, want) {
		r.Fatalf("eviction ranks of the candidates are %v, want %v", got, want)
	}
	if len(got) != len(want) {
		r.Fatalf("%d candidates, want %d", len(got), len(want))
	}
}
