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
