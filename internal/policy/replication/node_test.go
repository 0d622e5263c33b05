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
	clockOffset float64 // offset of the node's time of day, in seconds
	terms       TermTable
	replica     *Replica
	coordinator *Coordinator
	store       *corruptibleStore
	runEndTimes map[string]float64          // by request: when its run ends
	keys        map[string]replicastore.Key // by request: its key
}

// corruptibleStore is a store in which a test can corrupt a record in memory.
type corruptibleStore struct {
	*replicastore.Store
	storedRecords map[replicastore.Key]*replicastore.Record // the records that the store holds, not copies
}

func newCorruptibleStore(maxEntries, maxBytes int) *corruptibleStore {
	return &corruptibleStore{
		Store:         replicastore.NewStore(maxEntries, maxBytes),
		storedRecords: map[replicastore.Key]*replicastore.Record{},
	}
}

func (s *corruptibleStore) Put(record replicastore.Record) bool {
	if !s.Store.Put(record) {
		return false
	}
	s.storedRecords[record.Key], _ = s.Get(record.Key)
	return true
}

// flipBit flips a bit of the key's record in memory. If the store has removed the record, this
// has no effect on the store.
func (s *corruptibleStore) flipBit(key replicastore.Key) {
	if record := s.storedRecords[key]; record != nil {
		record.Attempts = slices.Clone(record.Attempts)
		record.Attempts[0].State ^= 2
	}
}

// start starts a new incarnation of the node with an empty store.
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
	n.runEndTimes = map[string]float64{}
	n.keys = map[string]replicastore.Key{}
}

// flush sends the messages in the node's outboxes and handles the coordinator's outcomes.
func (n *node) flush() {
	for {
		envelopes := append(n.coordinator.TakeOutbox(), n.replica.TakeOutbox()...)
		if len(envelopes) == 0 {
			break
		}
		for _, envelope := range envelopes {
			n.sendEnvelope(envelope)
		}
	}
	for _, outcome := range n.coordinator.TakeOutcomes() {
		n.handleOutcome(outcome)
	}
}

// sendEnvelope sends an envelope. An envelope to the node itself is handled at once.
func (n *node) sendEnvelope(envelope Envelope) {
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

// cloneReply copies a reply and its attempts, so that it does not share memory with the sender's
// store.
func cloneReply(reply ClaimReply) *ClaimReply {
	reply.Attempts = slices.Clone(reply.Attempts)
	return &reply
}

// reply sends a reply to a node. The node ignores it unless it is still in the incarnation that sent
// the request.
func (n *node) reply(to int, incarnation uint64, deliver func(*node)) {
	n.cluster.send(n.index, to, func(to *node) {
		if to.incarnation == incarnation {
			deliver(to)
		}
	})
}

// receive handles a message that node from sent in the given incarnation.
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

// clonePullRecords replaces the records of a reply by copies, so that the receiver can modify them.
func clonePullRecords(reply *PullReply) {
	for i := range reply.Slots {
		for j := range reply.Slots[i].Copies {
			record := *reply.Slots[i].Copies[j].Record
			reply.Slots[i].Copies[j].Record = &record
		}
	}
}

// handleOutcome checks an outcome and acts on it as a server does.
func (n *node) handleOutcome(outcome Outcome) {
	c := n.cluster
	id := outcome.RequestID
	if c.now > c.deadlines[id]+maxOutcomeDelaySeconds {
		c.failf("outcome %s of request %s is %.3f s after its deadline, want at most %.3f s",
			outcome.Verdict, id, c.now-c.deadlines[id], maxOutcomeDelaySeconds)
	}
	if earlier, twice := c.outcomes[id]; twice {
		c.failf("request %s has a second outcome %s after %s, want one", id, outcome.Verdict, earlier.Verdict)
	}
	c.outcomes[id] = outcome
	key := n.keys[id]
	c.historyTicks++
	c.history = append(c.history, porcupine.Operation{
		Input:  registerInput{key: key, requestID: id},
		Call:   c.claimedAtTick[id],
		Output: outcome,
		Return: c.historyTicks,
	})
	c.logEvent("node %d request %s key %x: %s %q", n.index, id, key[:2], outcome.Verdict, outcome.Result)
	switch outcome.Verdict {
	case serving.ClaimGranted:
		if c.random.IntN(8) == 0 { // as if admission control found too little time left
			n.cancel(id)
			return
		}
		n.run(id)
	case serving.ClaimCached:
		ran := func(r run) bool { return r.result == string(outcome.Result) }
		if !slices.ContainsFunc(c.runs[key], ran) {
			c.failf("result %q of key %x, want that of one of its runs: %v", outcome.Result, key[:2], c.runs[key])
		}
	}
}

// cancel releases a granted claim without a run.
func (n *node) cancel(id string) {
	c := n.cluster
	c.history = append(c.history, porcupine.Operation{
		Input:  registerInput{key: n.keys[id], requestID: id, releases: true},
		Call:   c.historyTicks + 1,
		Output: Outcome{},
		Return: c.historyTicks + 2,
	})
	c.historyTicks += 2
	n.coordinator.CancelClaim(c.now, id)
}

// run starts a request's run, and checks that its key had no other run within the retention window.
func (n *node) run(id string) {
	c := n.cluster
	key := n.keys[id]
	for _, other := range c.runs[key] {
		if c.now < other.at+c.placement.RetentionWindow {
			c.failf("key %x ran at %.3f for request %s and again within %g s, at %.3f for request %s",
				key[:2], other.at, other.requestID, c.placement.RetentionWindow, c.now, id)
		}
	}
	c.runs[key] = append(c.runs[key], run{at: c.now, result: "result of " + id, requestID: id})
	n.runEndTimes[id] = c.now + 0.3*c.random.Float64()
}

// finishRuns ends the runs that are due. One in ten of them fails.
func (n *node) finishRuns() {
	c := n.cluster
	var ids []string
	for id, at := range n.runEndTimes {
		if at <= c.now {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		delete(n.runEndTimes, id)
		succeeded := c.random.IntN(10) > 0
		n.coordinator.FinishClaim(c.now, id, succeeded, []byte("result of "+id))
	}
}
