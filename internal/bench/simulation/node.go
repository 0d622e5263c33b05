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

// leaseTerms of simulated fleets are the defaults of the operator's file.
var leaseTerms = lease.Config{Duration: 6, CatchUpTimeout: 10, MaxUnavailable: 0.25, ForgetAfter: 600}

const (
	// simulationEpoch is the Unix time, in seconds, at which the simulation begins.
	simulationEpoch = 1.8e9
	// minTickInterval is the shortest time, in seconds, between two ticks of a node.
	minTickInterval = 0.001
	// maxHeldMessages is how many messages wait for a paused node, as in a socket's buffer.
	maxHeldMessages = 200
	// duplicateOneIn is the mean number of messages of which one arrives twice.
	duplicateOneIn = 50
	// minMessageDelay and meanMessageDelay are of a message between nodes, in seconds.
	minMessageDelay  = 0.0002
	meanMessageDelay = 0.001
)

// node is one server of a simulated fleet: the real agent, over the simulated network. It
// implements the transport and the membership of its agent.
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
	failsToApply    bool // it can't apply what is released
	activeEpoch     release.Epoch
	messagesSent    int
	bytesSent       int
	disturbedUntil  float64                               // a fault may delay it until then
	quotaConfig     func(*fleet.Clock) *fleet.QuotaConfig // nil without quotas
	countersEnabled bool
	loadPlanConfig  func(*fleet.Clock) *fleet.LoadPlanConfig // nil without load plans
}

// start starts a new incarnation with no state.
func (s *node) start() {
	s.alive = true
	s.isPaused = false
	s.heldMessages = nil
	s.activeEpoch = 0
	rate := 0.99 + 0.02*s.random.Float64()
	offset := 7200*s.random.Float64() - 3600
	nodeClock := fleet.NewClock(func() float64 { return s.now }, simulationEpoch+s.now, offset, rate)
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

// apply applies a released configuration, whose text does not matter here.
func (s *node) apply(string) error {
	if s.failsToApply {
		return errors.New("its limits differ")
	}
	return nil
}

// tick lets the agent do what is due, and schedules the next tick.
func (s *node) tick() {
	if !s.alive || s.isPaused {
		return
	}
	now := s.agent.Now()
	s.agent.Tick(now)
	s.observe()
	wait := max(minTickInterval, s.agent.NextWakeup()-now)
	if s.timerSet {
		s.timers.Cancel(s.timer)
	}
	s.timerSet = true
	s.timer = s.after(wait, func() {
		s.timerSet = false
		s.tick()
	})
}

// observe copies the agent's decisions to the node and records what the invariants check.
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

// pause stops the node for some seconds, as SIGSTOP does; it keeps its state.
func (s *node) pause(seconds float64) {
	s.isPaused = true
	paused := s.agent
	s.after(seconds, func() { s.resume(paused) })
}

// resume ends the pause of an agent, unless the node has started another agent since.
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

// restartAfter kills the node and starts it again some seconds later.
func (s *node) restartAfter(seconds float64) {
	s.alive = false
	s.after(seconds, s.start)
}

// Send delivers a message after a delay, or twice, or not at all.
func (s *node) Send(addr string, message []byte) {
	s.messagesSent++
	s.bytesSent += len(message)
	to := s.nodeByName[addr]
	if to == nil || to == s.isolated || s.isPartitioned(to) || s.clock.random.Float64() < s.lossShare {
		return
	}
	for range 1 + s.clock.random.IntN(duplicateOneIn)/(duplicateOneIn-1) {
		s.after(minMessageDelay+s.exponential(meanMessageDelay), func() { to.receive(message) })
	}
}

// isPartitioned reports whether a partition is between two nodes.
func (s *node) isPartitioned(other *node) bool {
	return s.partition != nil && s.partition[s.number] != s.partition[other.number]
}

// receive handles a message, or holds it while the node is paused.
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

// Sample draws the addresses of at most that many living nodes, which may repeat.
func (s *node) Sample(most int, random *rand.Rand) (addrs []string) {
	for range most {
		if other := s.nodes[random.IntN(len(s.nodes))]; other != s && other.alive {
			addrs = append(addrs, other.name)
		}
	}
	return addrs
}

// HasMember reports whether a node is alive.
func (s *node) HasMember(name string) bool {
	member := s.nodeByName[name]
	return member != nil && member.alive
}
