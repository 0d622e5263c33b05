package replication

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"swiftcourse/internal/replicastore"
)

// Times of the simulation, in seconds.
const (
	tickSeconds            = 0.005
	maxOutcomeDelaySeconds = 0.051 // maximum delay of an outcome after its deadline
	maxExtraDelaySeconds   = 3.0   // maximum extra delay of 1 message in 200
)

// testingT is the part of testing.TB that rapid.T implements too.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// cluster simulates servers that each have a replica and a coordinator, and a faulty network between
// them. All randomness comes from the seed.
type cluster struct {
	t         testingT
	random    *rand.Rand
	placement *Placement
	now       float64
	nodes     []*node

	inFlight      []delivery
	lossRate      float64
	duplicateRate float64
	meanDelay     float64         // mean delay of a message, in seconds
	cutLinks      map[[2]int]bool // the sender and the receiver of each cut link

	incarnations uint64
	requests     int
	keys         []replicastore.Key
	runs         map[replicastore.Key][]run
	outcomes     map[string]Outcome
	deadlines    map[string]float64 // by request: when its outcome is due

	history       []porcupine.Operation
	historyTicks  int64            // logical clock of history: each call and each return has its own value
	claimedAtTick map[string]int64 // by request: when it was claimed, in ticks
	events        []string         // formatted events, printed if the test fails
}

// run is one execution of a request, which began at time at.
type run struct {
	at        float64
	result    string
	requestID string
}

// delivery is a message in flight, to be delivered to node to at time at.
type delivery struct {
	at      float64
	to      int
	deliver func(*node)
}

func newCluster(t testingT, seed uint64, servers, replicationFactor int) *cluster {
	t.Helper()
	c := &cluster{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, 7)),
		now:           1000,
		meanDelay:     0.002,
		cutLinks:      map[[2]int]bool{},
		runs:          map[replicastore.Key][]run{},
		outcomes:      map[string]Outcome{},
		deadlines:     map[string]float64{},
		claimedAtTick: map[string]int64{},
	}
	config := Config{ReplicationFactor: replicationFactor, RetentionWindow: 8, MaxClaimDuration: 1}
	for i := range servers {
		member := Member{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprint(i % 3), Weight: 1}
		config.Members = append(config.Members, member)
	}
	var err error
	c.placement, err = NewPlacement(config)
	if err != nil {
		t.Fatalf("NewPlacement: %v", err)
	}
	for i := range 4 {
		c.keys = append(c.keys, replicastore.KeyOf("ping", fmt.Sprint("key", seed, i)))
	}
	for i := range servers {
		n := &node{cluster: c, index: i, clockOffset: float64(c.random.IntN(3)-1) * 3600}
		c.nodes = append(c.nodes, n)
		n.start()
		for slot := range n.replica.catchUp.slots { // at the first start of a fleet there are no earlier claims
			n.replica.markCaughtUp(slot)
		}
	}
	return c
}

func (c *cluster) logEvent(format string, args ...any) {
	c.events = append(c.events, fmt.Sprintf("%.3f ", c.now)+fmt.Sprintf(format, args...))
}

// failf prints the last 60 events and fails the test.
func (c *cluster) failf(format string, args ...any) {
	c.t.Helper()
	for _, line := range c.events[max(0, len(c.events)-60):] {
		fmt.Println(line)
	}
	c.t.Fatalf(format, args...)
}

// send sends a message, which may be lost, duplicated or delayed.
func (c *cluster) send(from, to int, deliver func(*node)) {
	copies := 1
	if c.random.Float64() < c.duplicateRate {
		copies = 2
	}
	for range copies {
		if c.random.Float64() < c.lossRate || c.cutLinks[[2]int{from, to}] {
			continue
		}
		at := c.now + c.meanDelay*c.random.ExpFloat64()
		if c.random.IntN(200) == 0 {
			at += maxExtraDelaySeconds * c.random.Float64()
		}
		c.inFlight = append(c.inFlight, delivery{at: at, to: to, deliver: deliver})
	}
}

// claim makes a node claim a key for a new request, and returns the ID of the request.
func (c *cluster) claim(n *node, key replicastore.Key) string {
	c.requests++
	id := fmt.Sprintf("t%d", c.requests)
	deadline := c.now + 0.1 + 0.9*c.random.Float64()
	n.keys[id] = key
	c.deadlines[id] = deadline
	c.historyTicks++
	c.claimedAtTick[id] = c.historyTicks
	c.logEvent("node %d claims %x as %s until %.3f", n.index, key[:2], id, deadline)
	n.coordinator.StartClaim(c.now, id, key, deadline)
	n.flush()
	return id
}

// advance advances the simulation by a number of seconds.
func (c *cluster) advance(seconds float64) {
	for end := c.now + seconds; c.now < end; {
		c.now += tickSeconds
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

// deliverDue delivers the messages that are due, in the order of their delivery times.
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

// injectFault stops or restarts a node, cuts a link, sets the rates of lost and duplicated messages,
// corrupts a record, or heals the network.
func (c *cluster) injectFault() {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch c.random.IntN(8) {
	case 0:
		c.logEvent("node %d stops", n.index)
		n.up = false
	case 1, 2, 3:
		c.logEvent("node %d restarts", n.index)
		n.start()
	case 4:
		other := c.random.IntN(len(c.nodes))
		c.cutLinks[[2]int{n.index, other}] = true
		if c.random.IntN(2) == 0 {
			c.cutLinks[[2]int{other, n.index}] = true
		}
	case 5:
		c.healNetwork()
	case 6:
		c.lossRate = 0.3 * c.random.Float64()
		c.duplicateRate = 0.3 * c.random.Float64()
	case 7:
		key := c.keys[c.random.IntN(len(c.keys))]
		if n.up {
			c.logEvent("node %d: a bit of the record of key %x is flipped", n.index, key[:2])
			n.store.flipBit(key)
		}
	}
}

func (c *cluster) healNetwork() {
	clear(c.cutLinks)
	c.lossRate = 0
	c.duplicateRate = 0
}

// runSchedule claims keys at several nodes while faults are injected; most of the keys were recently
// claimed at other nodes. It checks that each request has an outcome, unless its node stopped or
// restarted.
func runSchedule(t testingT, seed uint64) *cluster {
	t.Helper()
	sizes := []struct{ servers, replicationFactor int }{{3, 3}, {5, 3}, {5, 5}, {4, 3}}
	size := sizes[seed%uint64(len(sizes))]
	c := newCluster(t, seed, size.servers, size.replicationFactor)
	c.meanDelay = []float64{0.002, 0.02, 0.08}[c.random.IntN(3)]
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
		isWaiting := func(n *node) bool { _, claimed := n.keys[id]; return claimed && n.up }
		if !ended && slices.ContainsFunc(c.nodes, isWaiting) {
			c.failf("request %s has no outcome at %.3f, its deadline was %.3f", id, c.now, deadline)
		}
	}
	return c
}

// converged reports whether all replicas have caught up and hold the same records.
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
