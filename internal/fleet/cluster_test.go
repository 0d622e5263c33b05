package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

const (
	testLatency  = 0.001 // seconds from sending a message to its delivery
	testUnixTime = 1.8e9 // time of day at the start, in seconds since 1970
	testBuild    = "b1"
)

// testCluster runs agents in simulated time, over a network that delivers messages in the order sent.
type testCluster struct {
	t        *testing.T
	now      float64
	agents   map[string]*testAgent
	voters   map[string]string
	inFlight []delivery
	detached map[string]bool // names of agents whose messages, sent and received, are dropped
}

// testAgent is one process of a testCluster. Its name is also its address.
type testAgent struct {
	*Agent
	cluster   *testCluster
	name      string
	applied   []string
	applyErr  error
	published serving.Directive
	wakeup    float64 // time of its next turn
}

// delivery is a message in flight.
type delivery struct {
	at      float64
	to      string
	encoded []byte
}

// newTestCluster returns a cluster of voters v1, v2, ... and further servers n1, n2, ...
func newTestCluster(t *testing.T, voters, servers int) *testCluster {
	t.Helper()
	c := &testCluster{
		t:        t,
		agents:   map[string]*testAgent{},
		voters:   map[string]string{},
		detached: map[string]bool{},
	}
	for i := range voters {
		name := fmt.Sprintf("v%d", i+1)
		c.voters[name] = name
	}
	names := slices.Sorted(maps.Keys(c.voters))
	for i := range servers {
		names = append(names, fmt.Sprintf("n%d", i+1))
	}
	for i, name := range names {
		c.start(name, uint64(i+1))
	}
	return c
}

func (c *testCluster) start(name string, seed uint64) {
	c.t.Helper()
	a := &testAgent{cluster: c, name: name}
	clock := NewClock(func() float64 { return c.now }, testUnixTime, 0, 1)
	config := Config{
		Name:       name,
		ListenAddr: name,
		Voters:     c.voters,
		Build:      testBuild,
		Clock:      clock,
		Logger:     slog.New(slog.DiscardHandler),
		Lease: LeaseConfig{
			Terms: lease.Config{
				LeaseSeconds:           6,
				CatchUpTimeoutSeconds:  10,
				MaxUnavailableFraction: 0.25,
				UnregisterAfterSeconds: 600,
			},
			Fallback: serving.ModeNormal,
		},
		Rollout: release.RolloutPolicy{WaveSeconds: 1, HaltConfidence: 1},
		Apply: func(text string) error {
			if a.applyErr != nil {
				return a.applyErr
			}
			a.applied = append(a.applied, text)
			return nil
		},
		Publish: func(directive *serving.Directive) { a.published = *directive },
	}
	random := rand.New(rand.NewPCG(seed, 1))
	a.Agent = NewAgent(config, random.Uint64()|1, a, random)
	c.agents[name] = a
}

// names returns the agents' names in the order of their turns.
func (c *testCluster) names() []string { return slices.Sorted(maps.Keys(c.agents)) }

// run advances the simulated time by seconds.
func (c *testCluster) run(seconds float64) {
	c.t.Helper()
	for end := c.now + seconds; c.now < end; {
		next := end
		if len(c.inFlight) > 0 {
			next = min(next, c.inFlight[0].at)
		}
		for _, a := range c.agents {
			next = min(next, a.wakeup)
		}
		c.now = max(c.now, next)
		c.deliver()
		for _, name := range c.names() {
			if a := c.agents[name]; a.wakeup <= c.now {
				a.turn()
			}
		}
	}
}

// turn calls Tick, as the agent's owner does after each message and at each wakeup.
func (a *testAgent) turn() {
	a.Tick(a.cluster.now)
	a.wakeup = max(a.cluster.now+testLatency, a.NextWakeup())
}

// deliver passes the messages that have arrived to their agents.
func (c *testCluster) deliver() {
	c.t.Helper()
	for len(c.inFlight) > 0 && c.inFlight[0].at <= c.now {
		arrived := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		message, err := wire.Decode(arrived.encoded)
		if err != nil {
			c.t.Fatalf("decode a message to %s: %v", arrived.to, err)
		}
		if a := c.agents[arrived.to]; a != nil && !c.detached[arrived.to] {
			a.HandleMessage(c.now, message)
			a.turn()
		}
	}
}

// leader returns the leader, and fails the test unless there is exactly one.
func (c *testCluster) leader() *testAgent {
	c.t.Helper()
	var leaders []*testAgent
	for _, name := range c.names() {
		if a := c.agents[name]; a.isConfirmedLeader(c.now) && a.lease.grantor != nil {
			leaders = append(leaders, a)
		}
	}
	if len(leaders) != 1 {
		c.t.Fatalf("%d agents are leaders, want 1", len(leaders))
	}
	return leaders[0]
}

// release submits a release of a text at an agent, and returns its result.
func (c *testCluster) release(a *testAgent, text string) wire.CommandResult {
	c.t.Helper()
	var results []wire.CommandResult
	command := release.Command{
		Kind:   release.KindRelease,
		Author: "tester",
		Text:   text,
		Digest: release.Digest(text, ""),
	}
	a.SubmitCommand(c.now, command, func(result wire.CommandResult) { results = append(results, result) })
	a.turn()
	c.run(commandTimeoutSeconds + 1)
	if len(results) != 1 {
		c.t.Fatalf("command called done %d times, want once", len(results))
	}
	return results[0]
}

func (a *testAgent) Send(addr string, message []byte) {
	if a.cluster.detached[a.name] {
		return
	}
	at := a.cluster.now + testLatency
	a.cluster.inFlight = append(a.cluster.inFlight, delivery{at: at, to: addr, encoded: message})
}

func (a *testAgent) AddrOf(name string, _ uint64, _ string) string { return name }

func (a *testAgent) Members() map[string]string {
	members := map[string]string{}
	for name := range a.cluster.agents {
		if a.HasMember(name) && name != a.name {
			members[name] = name
		}
	}
	return members
}

func (a *testAgent) HasMember(name string) bool {
	return a.cluster.agents[name] != nil && a.cluster.detached[name] == a.cluster.detached[a.name]
}

func (a *testAgent) Sample(limit int, random *rand.Rand) []string {
	names := slices.Sorted(maps.Keys(a.Members()))
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(limit, len(names))]
}
