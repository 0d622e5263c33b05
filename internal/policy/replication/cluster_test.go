package replication

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

// Times of the simulation, in seconds.
const (
	tick           = 0.005
	outcomeLatency = 0.051 // by which an outcome may come after its deadline
	maxDelay       = 3.0   // of the few messages that take long
)

// testingT is what both testing.TB and rapid.T have.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster simulates servers that each have a replica and a coordinator, and a network with
// faults between them. All chance comes from the seed.
type cluster struct {
	t         testingT
	random    *rand.Rand
	placement *Placement
	now       float64
	nodes     []*node

	inFlight      []delivery
	lossRate      float64
	duplicateRate float64
	delay         float64         // mean, in seconds
	cut           map[[2]int]bool // from and to nodes that don't hear each other

	incarnations uint64
	requests     int
	keys         []replicastore.Key
	runs         map[replicastore.Key][]run
	outcomes     map[string]Outcome
	deadlines    map[string]float64 // of each request, for its outcome

	history []porcupine.Operation
	ticks   int64            // of the history: each call and return has its own
	calls   map[string]int64 // when each request was claimed, in ticks
	log     []string
}

// run is one execution of a request.
type run struct {
	at        float64
	result    string
	requestID string
}

// delivery is a message on its way between nodes.
type delivery struct {
	at      float64
	to      int
	deliver func(*node)
}

// node is one server of a cluster.
type node struct {
	cluster     *cluster
	index       int
	incarnation uint64
	up          bool
	clockOffset float64 // of its time of day, in seconds
	terms       TermTable
	replica     *Replica
	coordinator *Coordinator
	store       *corruptibleStore
	running     map[string]float64 // when each request's run ends
	keys        map[string]replicastore.Key
}

// corruptibleStore is a store in which a test can change a bit of a record.
type corruptibleStore struct {
	*replicastore.Store
	latest map[replicastore.Key]*replicastore.Record // as the store holds them
}

func newCorruptibleStore(maxEntries, maxBytes int) *corruptibleStore {
	return &corruptibleStore{
		Store:  replicastore.NewStore(maxEntries, maxBytes),
		latest: map[replicastore.Key]*replicastore.Record{},
	}
}

func (s *corruptibleStore) Put(record replicastore.Record) bool {
	if !s.Store.Put(record) {
		return false
	}
	s.latest[record.Key], _ = s.Get(record.Key)
	return true
}

// flipBit changes a bit of the key's record in memory. A record that the store has removed is
// changed too, which nobody sees.
func (s *corruptibleStore) flipBit(key replicastore.Key) {
	if record := s.latest[key]; record != nil {
		record.Attempts = slices.Clone(record.Attempts)
		record.Attempts[0].State ^= 2
	}
}

func newCluster(t testingT, seed uint64, servers, replicationFactor int) *cluster {
	t.Helper()
	c := &cluster{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 7)),
		now:       1000,
		delay:     0.002,
		cut:       map[[2]int]bool{},
		runs:      map[replicastore.Key][]run{},
		outcomes:  map[string]Outcome{},
		deadlines: map[string]float64{},
		calls:     map[string]int64{},
	}
	config := Config{ReplicationFactor: replicationFactor, RetentionWindow: 8, MaxClaimDuration: 1}
	for i := range servers {
		member := Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint(i % 3), Weight: 1}
		config.Members = append(config.Members, member)
	}
	var err error
	c.placement, err = NewPlacement(config)
	if err != nil {
		t.Fatalf("%v", err)
	}
	for i := range 4 {
		c.keys = append(c.keys, replicastore.KeyOf("ping", fmt.Sprint("key", seed, i)))
	}
	for i := range servers {
		n := &node{cluster: c, index: i, clockOffset: float64(c.random.IntN(3)-1) * 3600}
		c.nodes = append(c.nodes, n)
		n.start()
		for slot := range n.replica.catchUp.slots { // the fleet's first start: nothing ran before
			n.replica.markCaughtUp(slot)
		}
	}
	return c
}

// start begins an incarnation that knows nothing.
func (n *node) start() {
	c := n.cluster
	c.incarnations++
	n.incarnation = c.incarnations
	n.up = true
	n.terms = make(TermTable, len(c.placement.Members))
	n.terms[n.index] = Term{Number: uint64(c.now + n.clockOffset), Incarnation: n.incarnation}
	n.store = newCorruptibleStore(10_000, 1<<20)
	n.replica = NewReplica(ReplicaConfig{
		Placement:   c.placement,
		Self:        n.index,
		Terms:       n.terms,
		Store:       n.store,
		CatchUpRate: 1e6,
	}, c.now)
	unixTime := func() float64 { return c.now + n.clockOffset }
	n.coordinator = NewCoordinator(c.placement, n.terms, n.incarnation, unixTime, c.now)
	n.running = map[string]float64{}
	n.keys = map[string]replicastore.Key{}
}

func (c *cluster) logf(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%.3f ", c.now)+fmt.Sprintf(format, args...))
}

// failf fails the test, with the last events.
func (c *cluster) failf(format string, args ...any) {
	c.t.Helper()
	for _, line := range c.log[max(0, len(c.log)-60):] {
		fmt.Println(line)
	}
	c.t.Fatalf(format, args...)
}

// send puts a message on its way, which may be lost, doubled or late.
func (c *cluster) send(from, to int, deliver func(*node)) {
	copies := 1
	if c.random.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		if c.random.Float64() < c.lossRate || c.cut[[2]int{from, to}] {
			continue
		}
		at := c.now + c.delay*c.random.ExpFloat64()
		if c.random.IntN(200) == 0 {
			at += maxDelay * c.random.Float64()
		}
		c.inFlight = append(c.inFlight, delivery{at: at, to: to, deliver: deliver})
	}
}

// flush sends what is in a node's outboxes and takes its outcomes.
func (n *node) flush() {
	for {
		envelopes := append(n.coordinator.TakeOutbox(), n.replica.TakeOutbox()...)
		if len(envelopes) == 0 {
			break
		}
		for _, envelope := range envelopes {
			n.post(envelope)
		}
	}
	for _, outcome := range n.coordinator.TakeOutcomes() {
		n.handleOutcome(outcome)
	}
}

// post sends an envelope; one to the node itself is handled at once.
func (n *node) post(envelope Envelope) {
	c := n.cluster
	if envelope.To == n.index {
		if envelope.Claim != nil {
			reply := n.replica.HandleClaim(c.now, envelope.Claim)
			n.coordinator.HandleReply(c.now, n.index, cloneReply(reply))
		}
		return
	}
	sender, incarnation := n.index, n.incarnation
	c.send(sender, envelope.To, func(to *node) { to.receive(sender, incarnation, envelope) })
}

// cloneReply returns a reply as it comes out of a message.
func cloneReply(reply ClaimReply) *ClaimReply {
	reply.Attempts = slices.Clone(reply.Attempts)
	return &reply
}

// reply sends an answer back, which only the incarnation that asked takes.
func (n *node) reply(to int, incarnation uint64, deliver func(*node)) {
	n.cluster.send(n.index, to, func(to *node) {
		if to.incarnation == incarnation {
			deliver(to)
		}
	})
}

// receive handles a message of the node from, which sent it in an incarnation.
func (n *node) receive(from int, incarnation uint64, envelope Envelope) {
	c := n.cluster
	switch {
	case envelope.Claim != nil:
		reply := cloneReply(n.replica.HandleClaim(c.now, envelope.Claim))
		n.reply(from, incarnation, func(to *node) { to.coordinator.HandleReply(c.now, n.index, reply) })
	case envelope.Pull != nil:
		reply := n.replica.HandlePull(c.now, from, envelope.Pull)
		if reply != nil {
			clonePullRecords(reply)
			n.reply(from, incarnation, func(to *node) { to.replica.HandlePullReply(c.now, n.index, reply, 100) })
		}
	case envelope.Checksums != nil:
		n.replica.HandleChecksums(c.now, from, envelope.Checksums)
	}
	n.flush()
}

// clonePullRecords makes a reply's records those of a message, apart from the sender's.
func clonePullRecords(reply *PullReply) {
	for i := range reply.Slots {
		for j := range reply.Slots[i].Copies {
			record := *reply.Slots[i].Copies[j].Record
			reply.Slots[i].Copies[j].Record = &record
		}
	}
}

// handleOutcome does what a server does with an outcome, and checks it.
func (n *node) handleOutcome(outcome Outcome) {
	c := n.cluster
	id := outcome.RequestID
	if c.now > c.deadlines[id]+outcomeLatency {
		c.failf("outcome %s of %s comes %.3f s after its deadline", outcome.Verdict, id, c.now-c.deadlines[id])
	}
	if earlier, twice := c.outcomes[id]; twice {
		c.failf("%s has the outcome %s, and had %s", id, outcome.Verdict, earlier.Verdict)
	}
	c.outcomes[id] = outcome
	key := n.keys[id]
	c.ticks++
	c.history = append(c.history, porcupine.Operation{
		Input:  registerInput{key: key, requestID: id},
		Call:   c.calls[id],
		Output: outcome,
		Return: c.ticks,
	})
	c.logf("node %d request %s key %x: %s %q", n.index, id, key[:2], outcome.Verdict, outcome.Result)
	switch outcome.Verdict {
	case serving.ClaimGranted:
		if c.random.IntN(8) == 0 { // admission control finds too little time left
			n.cancel(id)
			return
		}
		n.run(id)
	case serving.ClaimCached:
		ran := func(r run) bool { return r.result == string(outcome.Result) }
		if !slices.ContainsFunc(c.runs[key], ran) {
			c.failf("key %x has the result %q, which no run had: %v", key[:2], outcome.Result, c.runs[key])
		}
	}
}

// cancel gives a granted claim back unused.
func (n *node) cancel(id string) {
	c := n.cluster
	c.history = append(c.history, porcupine.Operation{
		Input:  registerInput{key: n.keys[id], requestID: id, releases: true},
		Call:   c.ticks + 1,
		Output: Outcome{},
		Return: c.ticks + 2,
	})
	c.ticks += 2
	n.coordinator.CancelClaim(c.now, id)
}

// run begins a request's run, and checks that no other run of its key is within the window.
func (n *node) run(id string) {
	c := n.cluster
	key := n.keys[id]
	for _, other := range c.runs[key] {
		if c.now < other.at+c.placement.RetentionWindow {
			c.failf("key %x runs at %.3f as %s and again at %.3f as %s", key[:2], other.at, other.requestID, c.now, id)
		}
	}
	c.runs[key] = append(c.runs[key], run{at: c.now, result: "result of " + id, requestID: id})
	n.running[id] = c.now + 0.3*c.random.Float64()
}

// claim brings a request for a key to a node, and returns its ID.
func (c *cluster) claim(n *node, key replicastore.Key) string {
	c.requests++
	id := fmt.Sprintf("t%d", c.requests)
	deadline := c.now + 0.1 + 0.9*c.random.Float64()
	n.keys[id] = key
	c.deadlines[id] = deadline
	c.ticks++
	c.calls[id] = c.ticks
	c.logf("node %d claims %x as %s until %.3f", n.index, key[:2], id, deadline)
	n.coordinator.StartClaim(c.now, id, key, deadline)
	n.flush()
	return id
}

// advance plays some seconds.
func (c *cluster) advance(seconds float64) {
	for end := c.now + seconds; c.now < end; {
		c.now += tick
		c.deliverDue()
		for _, n := range c.nodes {
			if n.up {
				n.finishRuns()
				n.replica.Maintain(c.now)
				n.coordinator.Maintain(c.now)
				n.flush()
			}
		}
	}
}

// deliverDue delivers the messages that have arrived, in the order of their arrival.
func (c *cluster) deliverDue() {
	var due []delivery
	c.inFlight = slices.DeleteFunc(c.inFlight, func(d delivery) bool {
		if d.at <= c.now {
			due = append(due, d)
			return true
		}
		return false
	})
	slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	for _, d := range due {
		if n := c.nodes[d.to]; n.up {
			d.deliver(n)
			n.flush()
		}
	}
}

// finishRuns ends the runs whose time has come, one of ten without a result.
func (n *node) finishRuns() {
	c := n.cluster
	var ids []string
	for id, at := range n.running {
		if at <= c.now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		delete(n.running, id)
		succeeded := c.random.IntN(10) > 0
		n.coordinator.FinishClaim(c.now, id, succeeded, []byte("result of "+id))
	}
}

// injectFault stops or restarts a node, disturbs the network, corrupts a record, or heals the
// network.
func (c *cluster) injectFault() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(8) {
	case 0:
		c.logf("node %d stops", n.index)
		n.up = false
	case 1, 2, 3:
		c.logf("node %d restarts", n.index)
		n.start()
	case 4:
		other := c.random.IntN(len(c.nodes))
		c.cut[[2]int{n.index, other}] = true
		if c.random.IntN(2) == 0 {
			c.cut[[2]int{other, n.index}] = true
		}
	case 5:
		c.healNetwork()
	case 6:
		c.lossRate = 0.3 * c.random.Float64()
		c.duplicateRate = 0.3 * c.random.Float64()
	case 7:
		key := c.keys[c.random.IntN(len(c.keys))]
		if n.up {
			c.logf("node %d has a bit of %x flipped", n.index, key[:2])
			n.store.flipBit(key)
		}
	}
}

func (c *cluster) healNetwork() {
	clear(c.cut)
	c.lossRate = 0
	c.duplicateRate = 0
}

// playSchedule claims keys from several nodes, most of them just claimed elsewhere, while faults
// are injected, and checks that each request of a node that lived on has an outcome.
func playSchedule(t testingT, seed uint64) *cluster {
	t.Helper()
	sizes := []struct{ servers, replicationFactor int }{{3, 3}, {5, 3}, {5, 5}, {4, 3}}
	size := sizes[seed%uint64(len(sizes))]
	c := newCluster(t, seed, size.servers, size.replicationFactor)
	c.delay = []float64{0.002, 0.02, 0.08}[c.random.IntN(3)]
	for round := range 60 {
		c.keys = append(c.keys, replicastore.KeyOf("ping", fmt.Sprint("key", seed, round)))
		if len(c.keys) > 6 {
			c.keys = c.keys[1:]
		}
		for range 2 + c.random.IntN(4) {
			if n := c.nodes[c.random.IntN(len(c.nodes))]; n.up {
				c.claim(n, c.keys[len(c.keys)-1-c.random.IntN(3)])
			}
			if c.random.IntN(3) == 0 {
				c.injectFault()
			}
			c.advance(0.15 * c.random.Float64())
		}
	}
	c.advance(1.1)
	for id, deadline := range c.deadlines {
		_, ended := c.outcomes[id]
		waits := func(n *node) bool { _, claimed := n.keys[id]; return claimed && n.up }
		if !ended && slices.ContainsFunc(c.nodes, waits) {
			c.failf("%s has no outcome, with a deadline of %.3f", id, deadline)
		}
	}
	return c
}

// converged reports whether all replicas have caught up and have the same records.
func (c *cluster) converged() bool {
	for slot := range replicastore.SlotCount {
		replicas := c.placement.Replicas(slot)
		checksum := c.nodes[replicas[0]].replica.Checksum(slot)
		for _, member := range replicas {
			replica := c.nodes[member].replica
			if !replica.CaughtUp(slot) || replica.Checksum(slot) != checksum {
				return false
			}
		}
	}
	return true
}
