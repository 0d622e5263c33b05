package replication

import (
	"slices"

	"github.com/anishathalye/porcupine"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

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
