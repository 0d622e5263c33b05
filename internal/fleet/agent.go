package fleet

import (
	"log/slog"
	"math/rand/v2"
	"slices"

	"swiftcourse/internal/policy/consensus"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	wire "swiftcourse/internal/wire/fleet"
)

// Agent takes part in the fleet on behalf of one process. It starts no goroutine: its owner passes it
// each message and calls Tick at the time that NextWakeup returns. It is not safe for concurrent use.
type Agent struct {
	config      Config
	logger      *slog.Logger
	incarnation uint64
	network     Network
	random      *rand.Rand
	voterNames  []string // sorted
	handlers    [wire.KindCount]handler
	components  []component // in the order of their ticks

	voter     *consensus.Voter // nil if this process does not vote
	lease     leaseState
	releases  releaseState
	audits    auditState
	commands  map[uint64]*pendingCommand // by the command's ID
	published lease.Snapshot

	// The components; nil if disabled.
	replication *replicator
	trust       *trustSharer
	quotas      *quotaManager
	health      *healthMonitor
	counters    *counterManager
	loadPlan    *loadPlanner
}

// handler handles one message.
type handler func(now float64, message *wire.Envelope)

// component is an optional part of the agent, which the configuration enables.
type component interface {
	// nextWakeup returns the time at which tick has to run next.
	nextWakeup(now float64) float64
	// tick performs the work that is due.
	tick(now float64)
}

// commandPollIntervalSeconds is the longest time between two ticks while a command, an audit or a
// release is in progress.
const commandPollIntervalSeconds = 0.1

// NewAgent returns the agent for a new incarnation of the process.
func NewAgent(config Config, incarnation uint64, network Network, random *rand.Rand) *Agent {
	agent := &Agent{
		config:      config,
		logger:      config.logger(),
		incarnation: incarnation,
		network:     network,
		random:      random,
		commands:    map[uint64]*pendingCommand{},
	}
	for name := range config.Voters {
		agent.voterNames = append(agent.voterNames, name)
	}
	slices.Sort(agent.voterNames)
	now := agent.Now()
	agent.startVoter(now)
	agent.startLease(now)
	agent.startReleases()
	agent.startAudits()
	agent.publish()
	agent.startComponents(now)
	return agent
}

// startComponents starts the components that the configuration enables.
func (a *Agent) startComponents(now float64) {
	if a.config.Replication != nil {
		a.replication = newReplicator(a, now)
		a.components = append(a.components, a.replication)
	}
	if a.config.Trust != nil {
		a.trust = newTrustSharer(a, now)
		a.components = append(a.components, a.trust)
	}
	if a.config.Quotas != nil {
		a.quotas = newQuotaManager(a, now)
		a.components = append(a.components, a.quotas)
	}
	if a.config.Health != nil {
		a.health = newHealthMonitor(a, now)
		a.components = append(a.components, a.health)
	}
	if a.config.CountersEnabled {
		a.counters = newCounterManager(a, now)
		a.components = append(a.components, a.counters)
	}
	if a.config.LoadPlan != nil {
		a.loadPlan = newLoadPlanner(a, now)
		a.components = append(a.components, a.loadPlan)
	}
}

// registerHandler sets the handler for messages of the given kinds.
func (a *Agent) registerHandler(handle handler, kinds ...wire.Kind) {
	for _, kind := range kinds {
		a.handlers[kind] = handle
	}
}

// Incarnation returns the number that identifies this start of the process.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Now returns the current time of the agent's clock in seconds.
func (a *Agent) Now() float64 { return a.config.Clock.Now() }

// unixNow returns the time of day in seconds.
func (a *Agent) unixNow() float64 { return a.config.Clock.UnixNow() }

// unixMilli returns the time of day in milliseconds since 1970, 0 if the clock is before 1970.
func (a *Agent) unixMilli() uint64 { return uint64(max(0, a.unixNow()*1000)) }

// ReleaseLog returns this process's copy of the release log. The caller must not change it.
func (a *Agent) ReleaseLog() *release.Log { return a.releases.log }

// ServingState returns the lease snapshot that was published last, and the active version.
func (a *Agent) ServingState() (lease.Snapshot, release.Version) {
	return a.published, a.releases.active
}

// HandleMessage handles one message. A message of a kind without a handler is dropped.
func (a *Agent) HandleMessage(now float64, message *wire.Envelope) {
	if handle := a.handlers[message.Kind()]; handle != nil {
		handle(now, message)
	}
}

// NextWakeup returns the time at which Tick has to be called next.
func (a *Agent) NextWakeup() float64 {
	next := min(a.lease.holder.NextWakeup(), a.published.ChangesAt, a.nextAccountSummary())
	if a.voter != nil {
		next = min(next, a.voter.NextWakeup())
	}
	now := a.Now()
	for _, c := range a.components {
		next = min(next, c.nextWakeup(now))
	}
	if len(a.commands) > 0 || len(a.audits.pending) > 0 || a.isBehind() {
		next = min(next, a.Now()+commandPollIntervalSeconds)
	}
	return next
}

// isBehind reports whether the assigned version is newer than the active one.
func (a *Agent) isBehind() bool {
	return a.lease.holder.AssignedEpoch() > a.releases.active.Epoch
}

// Tick performs the work that is due, sends the voter's queued messages, and publishes the directive
// if it changed.
func (a *Agent) Tick(now float64) {
	if a.voter != nil {
		a.voter.Tick(now)
		a.runVoter(now)
	}
	a.expireLease(now)
	a.fetchAssignedVersion(now)
	a.recordVersionStats()
	if a.lease.holder.NextWakeup() <= now {
		a.requestLease(now)
	}
	a.fetchReleaseLog(now)
	a.gossipAccount(now)
	a.removeStaleAccounts(now)
	a.retryCommands(now)
	a.expireAudits(now)
	for _, c := range a.components {
		c.tick(now)
	}
	a.sendVoterMessages()
	a.publish()
}

// publish passes the directive to the serving loop if it changed.
func (a *Agent) publish() {
	snapshot := a.lease.holder.Snapshot()
	snapshot.Stats = a.releases.stats
	if snapshot != a.published {
		a.published = snapshot
		a.config.Publish(&snapshot.Directive)
	}
}
