package simulation

import (
	"errors"
	"log/slog"
	"math/rand/v2"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/timerwheel"
	wire "swiftcourse/internal/wire/fleet"
)

// leaseTerms are the lease settings of simulated fleets: the defaults of the operator's file.
var leaseTerms = lease.Config{
	LeaseSeconds:           6,
	CatchUpTimeoutSeconds:  10,
	MaxUnavailableFraction: 0.25,
	UnregisterAfterSeconds: 600,
}

const (
	// simulationStartUnixSeconds is the Unix time at which the simulation begins.
	simulationStartUnixSeconds = 1.8e9
	// minTickIntervalSeconds is the shortest time between two ticks of a node.
	minTickIntervalSeconds = 0.001
	// maxHeldMessages is the number of messages that are held for a paused node, like a socket
	// buffer.
	maxHeldMessages = 200
	// duplicateOneIn is the mean number of messages per duplicated message.
	duplicateOneIn = 50
	// The delay of a message between nodes is minMessageDelaySeconds plus an exponentially
	// distributed time with mean meanMessageDelaySeconds.
	minMessageDelaySeconds  = 0.0002
	meanMessageDelaySeconds = 0.001
)

// node is one server of a simulated fleet: a real agent on the simulated network. It implements the
// transport and the membership of its agent.
type node struct {
	*fleetSim
	name            string
	number          int
	agent           *fleet.Agent
	random          *rand.Rand
	alive           bool
	isPaused        bool
	heldMessages    [][]byte
	timer           timerwheel.Timer
	timerSet        bool
	directive       serving.Directive
	state           lease.State
	failsToApply    bool // the node can't apply releases
	activeEpoch     release.Epoch
	messagesSent    int
	bytesSent       int
	disturbedUntil  float64                               // time until which a fault may delay the node
	quotaConfig     func(*fleet.Clock) *fleet.QuotaConfig // nil if quotas are not simulated
	countersEnabled bool
	loadPlanConfig  func(*fleet.Clock) *fleet.LoadPlanConfig // nil if load plans are not simulated
}

// start starts a new incarnation without state.
func (s *node) start() {
	s.alive = true
	s.isPaused = false
	s.heldMessages = nil
	s.activeEpoch = 0
	rate := 0.99 + 0.02*s.random.Float64()
	offset := 7200*s.random.Float64() - 3600
	nodeClock := fleet.NewClock(func() float64 { return s.now }, simulationStartUnixSeconds+s.now, offset, rate)
	var quotas *fleet.QuotaConfig
	if s.quotaConfig != nil {
		quotas = s.quotaConfig(nodeClock)
	}
	var plans *fleet.LoadPlanConfig
	if s.loadPlanConfig != nil {
		plans = s.loadPlanConfig(nodeClock)
	}
	s.agent = fleet.NewAgent(fleet.Config{
		Name:            s.name,
		ListenAddr:      s.name,
		Voters:          s.voters,
		Build:           "b",
		Clock:           nodeClock,
		Logger:          slog.New(slog.DiscardHandler),
		Lease:           fleet.LeaseConfig{Terms: leaseTerms, Fallback: serving.ModeOutOfService},
		Rollout:         release.RolloutPolicy{WaveSeconds: 1, HaltConfidence: 1},
		Replication:     s.replicationConfig(),
		Quotas:          quotas,
		LoadPlan:        plans,
		CountersEnabled: s.countersEnabled,
		Apply:           s.apply,
		Publish: func(directive *serving.Directive) {
			s.directive = *directive
			s.directive.ChangesAt = nodeClock.ToSource(directive.ChangesAt)
		},
	}, s.random.Uint64()|1, s, s.random)
	s.tick()
}

// apply applies a released configuration. Its text has no effect in the simulation.
func (s *node) apply(string) error {
	if s.failsToApply {
		return errors.New("simulated error: release can't be applied")
	}
	return nil
}

// tick runs the agent's due work and schedules the next tick.
func (s *node) tick() {
	if !s.alive || s.isPaused {
		return
	}
	now := s.agent.Now()
	s.agent.Tick(now)
	s.observe()
	wait := max(minTickIntervalSeconds, s.agent.NextWakeup()-now)
	if s.timerSet {
		s.timers.Cancel(s.timer)
	}
	s.timerSet = true
	s.timer = s.after(wait, func() {
		s.timerSet = false
		s.tick()
	})
}

// observe copies the agent's serving state to the node, and records conflicting digests and
// catch-up times.
func (s *node) observe() {
	view, active := s.agent.ServingState()
	s.state = view.State
	log := s.agent.ReleaseLog()
	isNewest := s.newestLog == nil || log.NewerThan(s.newestLog)
	if s.number < s.plan.Voters && log.AppliedCount > 0 && isNewest {
		s.newestLog = log
	}
	if active.Epoch == s.activeEpoch {
		return
	}
	s.activeEpoch = active.Epoch
	if digest, seen := s.digestByEpoch[active.Epoch]; seen && digest != active.Digest {
		s.row.ConflictingDigests++
	}
	s.digestByEpoch[active.Epoch] = active.Digest
	if releasedAt, known := s.releasedAt[active.Epoch]; known && releasedAt > s.disturbedUntil {
		s.catchUpMillis = append(s.catchUpMillis, 1000*(s.now-releasedAt))
	}
}

// pause stops the node for the given seconds, like SIGSTOP. The node keeps its state.
func (s *node) pause(seconds float64) {
	s.isPaused = true
	paused := s.agent
	s.after(seconds, func() { s.resume(paused) })
}

// resume ends the pause of an agent, unless the node has restarted since with another agent.
func (s *node) resume(paused *fleet.Agent) {
	if s.agent != paused || !s.isPaused {
		return
	}
	s.isPaused = false
	held := s.heldMessages
	s.heldMessages = nil
	s.tick()
	for _, message := range held {
		s.receive(message)
	}
}

// restartAfter kills the node and restarts it after the given seconds.
func (s *node) restartAfter(seconds float64) {
	s.alive = false
	s.after(seconds, s.start)
}

// Send sends a message, which may be delayed, duplicated or lost.
func (s *node) Send(addr string, message []byte) {
	s.messagesSent++
	s.bytesSent += len(message)
	to := s.nodeByName[addr]
	if to == nil || to == s.isolated || s.isPartitioned(to) || s.clock.random.Float64() < s.lossShare {
		return
	}
	for range 1 + s.clock.random.IntN(duplicateOneIn)/(duplicateOneIn-1) {
		s.after(minMessageDelaySeconds+s.exponential(meanMessageDelaySeconds), func() { to.receive(message) })
	}
}

// isPartitioned reports whether a partition separates two nodes.
func (s *node) isPartitioned(other *node) bool {
	return s.partition != nil && s.partition[s.number] != s.partition[other.number]
}

// receive handles a message, or holds it for later while the node is paused.
func (s *node) receive(message []byte) {
	if !s.alive {
		return
	}
	if s.isPaused {
		if len(s.heldMessages) < maxHeldMessages {
			s.heldMessages = append(s.heldMessages, message)
		}
		return
	}
	if envelope, err := wire.Decode(message); err == nil {
		s.agent.HandleMessage(s.agent.Now(), envelope)
		s.tick()
	}
}

// AddrOf returns the address of a member, which is its name here.
func (s *node) AddrOf(name string, _ uint64, _ string) string { return name }

// Members returns the addresses of the other living nodes by name.
func (s *node) Members() map[string]string {
	all := map[string]string{}
	for _, other := range s.nodes {
		if other.alive && other != s {
			all[other.name] = other.name
		}
	}
	return all
}

// Sample draws the addresses of at most maxCount living nodes, with replacement.
func (s *node) Sample(maxCount int, random *rand.Rand) (addrs []string) {
	for range maxCount {
		if other := s.nodes[random.IntN(len(s.nodes))]; other != s && other.alive {
			addrs = append(addrs, other.name)
		}
	}
	return addrs
}

// HasMember reports whether the named node is alive.
func (s *node) HasMember(name string) bool {
	member := s.nodeByName[name]
	return member != nil && member.alive
}
