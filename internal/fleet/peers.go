// Package fleet is a process's part in its fleet: membership and talk among processes. One goroutine owns all fleet state; it decides with
// internal/judge and hands the serving loop values, which that reads at the start of a batch. Nothing here ever makes an answer wait.
//
// What comes in is read in receive, decided in take and due, and sent in flush.
package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/consensus"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// Config is what a process is told of its fleet.
type Config struct {
	Name            string
	ListenAddr      string            // for peers, TCP and UDP
	Voters          map[string]string // names and where they listen
	JoinAddrs       []string          // where some others listen, beside the voters
	LeaseTerms      lease.Config
	OnLeaseExpiry   serving.Mode
	Rollout         release.RolloutPolicy
	Seed            int64
	Build           string
	Now             func() float64 // seconds, moves forward; the serving loop reads Standing by the same clock
	UnixNow         func() float64
	RelayAddrs      map[string]string  // for tests: where a peer is reached instead of where it listens
	OnTracePoint    func(point string) // for tests: told of each point of a claim or a copy's way that is passed; nil for nobody
	Trust           *TrustConfig       // the known callers of its door; nil where they are told to nobody
	Replication     *ReplicationConfig // what of the fleet's state is kept by several servers; nil for nothing
	Quotas          *QuotaConfig       // budgets that all share; nil for none
	Health          *HealthConfig      // the service below, judged by all; nil for not
	LoadPlan        *LoadPlanConfig    // what planners have forwarders do; nil for none
	CountersEnabled bool               // what all are asked for is counted

	// Apply has the server act on a version's text, whole or not at all. It may take some time, but not for ever.
	Apply func(text string) error
	// Say writes a log line; nil writes it where all go.
	Log func(event string, args ...any)
	// Publish hands the serving loop how the server stands from now on.
	Publish func(*serving.Directive)
}

const (
	maxInbox           = 1024 // messages that wait for the goroutine; what comes beyond that is dropped, as the network may
	maxPendingCommands = 64   // commands of operators that wait for their end
	summaryEvery       = 2.0  // seconds between two brief accounts
	gossipFanout       = 3    // others that are told of each: with as many holders of the last word, two may die with it
	versionFetchEvery  = 0.3
	logFetchEvery      = 2.0  // a follower's copy of the order, where it is behind
	coldLogFetchEvery  = 0.25 // a cold voter asks others for their copy of the order, so some times before it could found a group
	coldLogFetchFanout = 4    // as many of them each time
	forgetEvery        = 60.0 // looking through the book for names that are nobody's
	// restartAfter is how long a panic keeps the fleet's part down: it stops there, and what it knew is lost, as after a restart.
	restartAfter = time.Second
)

// Network brings messages to others. They may be lost, doubled, late; nothing waits for one.
type Network interface {
	Send(addr string, b []byte)
	AddrOf(name string, life uint64, said string) string // a life's address, else the one that was said
	Members() map[string]string                          // the others that are there: their names, and where they listen
	Sample(most int, chance *rand.Rand) []string         // addresses of some of them, drawn
	HasMember(name string) bool
}

// Agent is what decides in one process's part of the fleet. It has no goroutine and no clock of its own: who owns it tells it what came and when.
type Agent struct {
	Config
	incarnation uint64
	network     Network
	voter       *consensus.Voter // nil where this is none
	leaseHolder *lease.Holder
	leaseTable  *lease.Grantor
	auditLog    *audit.Trail

	releaseLog       *release.Log // a copy, also at those who don't vote
	lastLogFetch     float64
	loopStats        *serving.VersionStats
	audited          [2]uint64 // of the stamp, that the book has
	active           release.Version
	applyError       string
	lastVersionFetch float64
	lastSummary      float64
	lastForget       float64
	urgentSummaries  int           // brief accounts that follow one another sooner, as there is news
	newestHeard      release.Epoch // the newest that anybody was heard to act on
	published        lease.Snapshot
	voterNames       []string // names, sorted
	nextVoter        int      // which voter is asked next where no leader is known
	pending          map[uint64]*pendingCommand
	audits           map[uint64]*auditRun
	lastAuditID      uint64
	random           *rand.Rand
	replication      *replicationState // nil where there are none
	trust            *trustState       // likewise
	quotas           *quotaState       // likewise
	health           *healthState
	counters         *counterState
	loadPlan         *loadPlanState
}

// Node is the part of one process at work: a goroutine owns a Part, and the network feeds it.
type Node struct {
	*Agent
	gossip         *gossipNetwork
	inbox          chan *wire.Envelope
	requests       chan func(now float64)
	claimEvents    chan ClaimEvent         // of the serving loop about its claims
	trustedClients chan []connlimit.Earned // of its door
	usage          chan []Usage            // of the loop, of budgets
	callStats      chan serving.CallStats  // of the loop, of the service below
	requestCounts  chan []serving.CounterCell
	quit           chan struct{}
	done           chan struct{}
	dropped        atomic.Uint64 // messages that had no room, or could not be read
}

// pendingCommand is an operator's command on its way.
type pendingCommand struct {
	command     *release.Command
	nextAttempt float64
	deadline    float64
	done        func(wire.CommandResult)
}

// auditRun is an audit that waits for others' accounts.
type auditRun struct {
	deadline   float64
	awaiting   map[string]bool // lives that have not answered, by node
	accounts   []audit.Account
	alive      map[uint64]bool
	releaseLog *release.Log
	servers    []lease.ServerStatus
	replicas   map[string]*replication.Status
	done       func(*auditRun)
}

// Start begins to listen, and to talk. The life is drawn from the seed, which is new with each start.
func Start(p Config) (*Node, error) {
	chance := rand.New(rand.NewPCG(uint64(p.Seed), uint64(time.Now().UnixNano()))) // a restart in the same instant is another life all the same
	f := &Node{inbox: make(chan *wire.Envelope, maxInbox), requests: make(chan func(float64), 16),
		claimEvents: make(chan ClaimEvent, maxClaimEvents), trustedClients: make(chan []connlimit.Earned, maxTrustedLists), usage: make(chan []Usage, maxUsageLists),
		callStats: make(chan serving.CallStats, maxCallStats), requestCounts: make(chan []serving.CounterCell, maxCountLists), quit: make(chan struct{}), done: make(chan struct{})}
	life := chance.Uint64() | 1
	var err error
	if f.gossip, err = joinGossip(&p, life, f.receive); err != nil {
		return nil, fmt.Errorf("fleet-listen %s: %w", p.ListenAddr, err)
	}
	f.Agent = NewPart(p, life, f.gossip, chance)
	go f.run()
	return f, nil
}

// NewPart makes the part of a life that begins.
func NewPart(p Config, life uint64, net Network, chance *rand.Rand) *Agent {
	if p.Log == nil {
		p.Log = slog.Info
	}
	f := &Agent{Config: p, incarnation: life, network: net, random: chance, releaseLog: (&release.Log{}).Clone(), loopStats: &serving.VersionStats{},
		pending: map[uint64]*pendingCommand{}, audits: map[uint64]*auditRun{}}
	for name := range p.Voters {
		f.voterNames = append(f.voterNames, name)
	}
	slices.Sort(f.voterNames)
	now := p.Now()
	if _, votes := f.Voters[f.Name]; votes {
		f.voter = consensus.NewVoter(consensus.Config{
			Name:   f.Name,
			Voters: f.voterNames,
			Seed:   int64(f.random.Uint64() >> 1),
			Codec:  wire.Codec{},
		}, now, f.UnixNow())
	}
	f.leaseHolder = lease.NewHolder(lease.HolderConfig{
		Name:         f.Name,
		Incarnation:  f.incarnation,
		Addr:         f.ListenAddr,
		Build:        f.Build,
		Fallback:     f.OnLeaseExpiry,
		LeaseSeconds: f.LeaseTerms.Duration,
	}, now)
	f.auditLog = audit.NewTrail(f.Name, f.incarnation, f.UnixNow())
	f.auditLog.BeginInterval(f.UnixNow(), 0, "", "started")
	f.publish()
	f.beginCopies(now)
	f.beginCallers(now)
	f.beginBudgets(now)
	f.beginHealth(now)
	f.beginCounts(now)
	f.beginPlans(now)
	return f
}

// Stop leaves the fleet.
func (f *Node) Stop() {
	close(f.quit)
	<-f.done
	f.gossip.close()
}

// Incarnation is this process's life.
func (f *Agent) Incarnation() uint64 { return f.incarnation }

// receive reads a message as it comes, on the network's goroutines.
func (f *Node) receive(b []byte) {
	m, err := wire.Decode(b)
	if err != nil {
		if f.dropped.Add(1)%1000 == 1 {
			slog.Info("fleet_bad_message", "err", err, "times", f.dropped.Load())
		}
		return
	}
	m.Size = len(b)
	select {
	case f.inbox <- m:
	default:
		f.dropped.Add(1)
	}
}

func (f *Node) run() {
	defer close(f.done)
	for f.loop() {
		select {
		case <-f.quit:
			return
		case <-time.After(restartAfter):
			f.Agent = NewPart(f.Config, f.random.Uint64()|1, f.gossip, f.random)
		}
	}
}

// loop runs until the end, or until a panic, which stops here: the server goes on, and its part in the fleet begins anew under another life.
func (f *Node) loop() (again bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("fleet_panic", "cause", fmt.Sprint(p), "stack", string(debug.Stack()))
			again = true
		}
	}()
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-f.quit:
			return false
		case m := <-f.inbox:
			f.HandleMessage(f.Now(), m)
			for range len(f.inbox) { // what is there already goes with it
				f.HandleMessage(f.Now(), <-f.inbox)
			}
		case do := <-f.requests:
			do(f.Now())
		case list := <-f.trustedClients:
			f.earned(list)
		case c := <-f.callStats:
			f.ObserveCalls(f.Now(), c)
		case list := <-f.requestCounts:
			f.ObserveCounts(list)
		case list := <-f.usage:
			f.ObserveUsage(f.Now(), list)
		case w := <-f.claimEvents:
			f.HandleClaimEvent(f.Now(), w)
			for range len(f.claimEvents) {
				f.HandleClaimEvent(f.Now(), <-f.claimEvents)
			}
		case <-alarm.C:
		}
		f.Tick(f.Now())
		alarm.Reset(max(time.Millisecond, time.Duration((f.NextWakeup()-f.Now())*float64(time.Second))))
	}
}

// NextWakeup is when Due is to be called.
func (f *Agent) NextWakeup() float64 {
	next := min(f.leaseHolder.NextWakeup(), f.published.ChangesAt, f.lastSummary+f.summaryInterval())
	if f.voter != nil {
		next = min(next, f.voter.NextWakeup())
	}
	next = min(next, f.nextCopies(f.Now()), f.nextCallers(f.Now()), f.nextBudgets(), f.nextHealth(), f.nextCounts(), f.nextPlans())
	if len(f.pending) > 0 || len(f.audits) > 0 || f.leaseHolder.AssignedEpoch() > f.active.Epoch {
		next = min(next, f.Now()+0.1)
	}
	return next
}

// HandleMessage carries one message to the judge that it is for.
func (f *Agent) HandleMessage(now float64, m *wire.Envelope) {
	switch {
	case m.Consensus != nil:
		if f.voter != nil {
			f.voter.HandleMessage(now, m.Consensus)
		}
	case m.LeaseRequest != nil:
		f.handleLeaseRequest(now, m.LeaseRequest)
	case m.LeaseReply != nil:
		if f.leaseHolder.HandleReply(now, m.LeaseReply) {
			state, why := f.leaseHolder.State()
			f.Log("fleet_standing", "state", state, "why", why, "right", f.leaseHolder.AssignedEpoch())
		}
	case m.VersionRequest != 0:
		if v := f.releaseLog.FindVersion(m.VersionRequest); v != nil {
			f.reply(m, &wire.Envelope{Version: v})
		}
	case m.Version != nil:
		f.applyVersion(now, m.Version, "caught up")
	case m.Command != nil:
		f.acceptCommand(now, m)
	case m.CommandResult != nil:
		if p := f.pending[m.CommandResult.ID]; p != nil {
			delete(f.pending, m.CommandResult.ID)
			p.done(*m.CommandResult)
		}
	case m.AccountSummary != nil:
		f.auditLog.Merge(*m.AccountSummary)
		f.noteNewestEpoch(now, m.AccountSummary)
	case m.StateRequest != nil:
		f.handleStateRequest(now, m)
	case m.StateReply != nil:
		f.handleStateReply(m)
	case m.TrustRequest || m.TrustRecords != nil:
		f.takeCallers(now, m)
	case m.QuotaRequest != nil || m.QuotaReply != nil:
		f.takeBudgets(now, m)
	case m.CounterReport != nil || m.CounterAck != nil || m.CounterSyncRequest != nil || m.CounterSyncReply != nil:
		f.takeCounts(now, m)
	case m.ForwarderReport != nil || m.PlanShare != nil:
		f.takePlans(now, m)
	case m.HealthReports != nil:
		f.takeHealth(now, m)
	default:
		f.takeCopies(now, m)
	}
}

// summaryInterval is how long after a brief account the next one is due.
func (f *Agent) summaryInterval() float64 {
	if f.urgentSummaries > 0 {
		return urgentSummaryEvery
	}
	return summaryEvery
}

// urgentSummaryCount follow a change, so soon after one another: with three others told each time, one in e^9 hears of it only by its own question.
const (
	urgentSummaryCount = 3
	urgentSummaryEvery = 0.15
)

// noteNewestEpoch hears that others act on something newer: the leader is asked soon, once for each epoch, and not by all in one instant.
func (f *Agent) noteNewestEpoch(now float64, a *audit.Account) {
	if n := len(a.Intervals); n > 0 && a.Intervals[n-1].Epoch > max(f.newestHeard, f.leaseHolder.AssignedEpoch()) {
		f.newestHeard = a.Intervals[n-1].Epoch
		f.leaseHolder.RequestBy(now + leaseRequestJitter*f.random.Float64())
	}
}

// leaseRequestJitter spreads the questions that follow a rumour, in seconds: a thousand servers that hear of one at once are 5,000 questions a second then,
// a thousandth of what a leader answers.
const leaseRequestJitter = 0.2

// reply sends a message back to where one came from.
func (f *Agent) reply(to, m *wire.Envelope) {
	f.send(f.network.AddrOf(to.From, to.Incarnation, cmp.Or(f.Voters[to.From], to.Addr)), m)
}

func (f *Agent) send(addr string, m *wire.Envelope) {
	if addr == "" {
		return
	}
	m.From, m.Incarnation, m.Addr = f.Name, f.incarnation, f.ListenAddr
	b, err := wire.Encode(m)
	if err != nil {
		f.Log("fleet_unsent", "err", err)
		return
	}
	f.network.Send(addr, b)
}

// confirmed tells whether this process leads, as a majority confirmed lately.
func (f *Agent) confirmed(now float64) bool {
	return f.voter != nil && f.voter.IsLeader(now-lease.LeaderConfirmationWindow)
}

// handleLeaseRequest answers a server that asks how it stands.
func (f *Agent) handleLeaseRequest(now float64, q *lease.Request) {
	a := lease.Reply{Incarnation: q.Incarnation, Number: q.Number, Verdict: lease.VerdictRetry}
	if f.voter != nil {
		f.voter.ObserveClusterID(q.ActiveEpoch.ClusterID())
		a.Leader = f.voter.Leader()
	}
	if f.confirmed(now) && f.leaseTable != nil {
		var commands []release.Command
		a, commands = f.leaseTable.HandleRequest(now, q, f.releaseLog, true)
		a.Leader = f.Name
		f.propose(commands)
	} else if a.Leader == f.Name {
		a.Leader = ""
	}
	if q.Name == f.Name && q.Incarnation == f.incarnation {
		f.HandleMessage(now, &wire.Envelope{LeaseReply: &a})
		return
	}
	f.send(q.Addr, &wire.Envelope{LeaseReply: &a})
}

func (f *Agent) propose(commands []release.Command) {
	for i := range commands {
		commands[i].IssuedAt = f.UnixNow()
		_ = f.voter.ProposeAsLeader(&commands[i]) // whoever leads by now asks for it again
	}
}

// Tick does what is due, and sends what there is to say.
func (f *Agent) Tick(now float64) {
	if f.voter != nil {
		f.voter.Tick(now)
		f.runLeader(now)
	}
	if f.leaseHolder.Expire(now) {
		_, why := f.leaseHolder.State()
		f.Log("fleet_standing", "state", lease.StateExpired, "why", why, "right", f.leaseHolder.AssignedEpoch())
	}
	f.fetchAssignedVersion(now)
	f.auditLoopStats()
	if f.leaseHolder.NextWakeup() <= now {
		f.requestLease(now)
	}
	f.fetchReleaseLog(now)
	if now >= f.lastSummary+f.summaryInterval() {
		f.lastSummary = now
		f.urgentSummaries = max(0, f.urgentSummaries-1)
		brief := f.auditLog.Summary()
		for _, addr := range f.network.Sample(gossipFanout, f.random) {
			f.send(addr, &wire.Envelope{AccountSummary: &brief})
		}
	}
	if now >= f.lastForget+forgetEvery && len(f.releaseLog.Members) > 0 {
		f.lastForget = now
		f.auditLog.Forget(func(name string) bool {
			_, held := f.releaseLog.Members[name]
			return held || f.network.HasMember(name)
		})
	}
	f.retryCommands(now)
	f.dueCopies(now)
	f.dueCallers(now)
	f.dueBudgets(now)
	f.dueHealth(now)
	f.dueCounts(now)
	f.duePlans(now)
	f.sendVoterMessages()
	f.publish()
}

// runLeader does what a leader does.
func (f *Agent) runLeader(now float64) {
	f.releaseLog = f.voter.ReleaseLog()
	if newest := f.releaseLog.NewestEpoch(); newest > max(f.newestHeard, f.leaseHolder.AssignedEpoch()) {
		f.newestHeard = newest
		f.leaseHolder.RequestBy(now)
	}
	leads := f.confirmed(now)
	switch {
	case leads && f.leaseTable == nil:
		f.leaseTable = lease.NewGrantor(f.LeaseTerms, f.Voters, now)
		f.Log("fleet_leads", "newest", f.releaseLog.NewestEpoch())
	case !leads && f.leaseTable != nil && f.voter.Leader() != f.Name:
		f.leaseTable = nil
		f.Log("fleet_follows", "leader", f.voter.Leader())
	}
	f.leadBudgets(now)
	f.leadPlans(now)
	for _, e := range f.voter.TakeResults() {
		if f.leaseTable != nil {
			f.leaseTable.HandleCommandResult(e.Command)
		}
		if e.Command.Kind != release.KindRegister || e.Err != nil && e.Err != release.ErrNameTaken {
			f.Log("fleet_order", "command", e.Command.Kind, "by", e.Command.Author, "name", e.Command.Name, "why", e.Command.Reason,
				"newest", f.releaseLog.NewestEpoch(), "refused", fmt.Sprint(e.Err))
		}
		if p := f.pending[e.Command.ID]; p != nil && e.Command.ID != 0 {
			delete(f.pending, e.Command.ID)
			p.done(commandResult(e, f.releaseLog.NewestEpoch()))
		}
	}
	if leads && f.leaseTable != nil {
		f.propose(f.leaseTable.Maintain(now, f.releaseLog, f.Rollout))
	}
}

func commandResult(e consensus.CommandResult, newest release.Epoch) wire.CommandResult {
	d := wire.CommandResult{ID: e.Command.ID, NewestEpoch: newest}
	if e.Err != nil {
		d.RejectReason = e.Err.Error()
	}
	return d
}

// requestLease asks the leader how this server stands, or some voter who leads.
func (f *Agent) requestLease(now float64) {
	q := f.leaseHolder.NewRequest(now)
	name := f.leaseHolder.Leader()
	if _, votes := f.Voters[name]; !votes {
		if len(f.voterNames) == 0 {
			return
		}
		name = f.voterNames[f.nextVoter%len(f.voterNames)]
		f.nextVoter++
	} else if f.leaseHolder.Unanswered() > maxUnanswered {
		f.leaseHolder.HandleLeaderUnreachable(now)
	}
	if name == f.Name {
		f.handleLeaseRequest(now, &q)
		return
	}
	f.send(f.Voters[name], &wire.Envelope{LeaseRequest: &q})
}

// maxUnanswered questions to one leader have no answer before another voter is asked.
const maxUnanswered = 2

// fetchAssignedVersion gets the version that this server has to act on.
func (f *Agent) fetchAssignedVersion(now float64) {
	right := f.leaseHolder.AssignedEpoch()
	if right <= f.active.Epoch {
		return
	}
	if v := f.releaseLog.FindVersion(right); v != nil {
		f.applyVersion(now, v, "released")
		return
	}
	if now < f.lastVersionFetch+versionFetchEvery {
		return
	}
	f.lastVersionFetch = now
	name := f.leaseHolder.Leader()
	if f.Voters[name] == "" || f.random.IntN(4) == 0 { // or whoever has it
		name = f.voterNames[f.random.IntN(len(f.voterNames))]
	}
	if name != f.Name {
		f.send(f.Voters[name], &wire.Envelope{VersionRequest: right})
	}
}

// applyVersion acts on a version, where it is whole and the right one.
func (f *Agent) applyVersion(now float64, v *release.Version, why string) {
	if v.Epoch != f.leaseHolder.AssignedEpoch() || v.Epoch <= f.active.Epoch || !v.DigestMatches() || f.applyError != "" && now < f.lastVersionFetch+1 {
		return
	}
	f.lastVersionFetch = now
	err := error(nil)
	if v.Build != "" && v.Build != f.Build {
		err = fmt.Errorf("it is meant for build %s, this is %s", v.Build, f.Build)
	} else if v.Text != f.active.Text || f.active.Epoch == 0 {
		err = f.Apply(v.Text)
	}
	if err != nil {
		if f.applyError != err.Error() {
			f.Log("fleet_stuck", "epoch", v.Epoch, "err", err)
		}
		f.applyError = err.Error()
		f.leaseHolder.SetActiveEpoch(f.active.Epoch, f.applyError)
		return
	}
	f.auditLoopStats()
	f.active, f.applyError = *v, ""
	f.loopStats, f.audited = &serving.VersionStats{}, [2]uint64{}
	f.auditLog.BeginInterval(f.UnixNow(), v.Epoch, v.Digest, why)
	f.leaseHolder.SetActiveEpoch(v.Epoch, "")
	f.heedBudgets(now)
	f.lastSummary, f.urgentSummaries = math.Inf(-1), urgentSummaryCount // others hear of it at once
	f.Log("fleet_acts", "epoch", v.Epoch, "digest", v.Digest, "author", v.Author, "why", why)
}

// auditLoopStats takes over what the loop counted.
func (f *Agent) auditLoopStats() {
	batches, tasks := f.loopStats.Batches.Load(), f.loopStats.Requests.Load()
	f.auditLog.Record(f.UnixNow(), batches-f.audited[0], tasks-f.audited[1])
	f.audited = [2]uint64{batches, tasks}
	f.leaseHolder.SetErrorTally(release.ErrorTally{Completed: float64(f.loopStats.Completed.Load()), Failed: float64(min(f.loopStats.Failed.Load(), f.loopStats.Completed.Load()))})
}

// fetchReleaseLog keeps a copy of the order, from which others' words are judged and a lost group of voters starts again: a voter that is cold asks some of
// the others for theirs. What is asked says what is known, so that only news costs more than a few bytes.
func (f *Agent) fetchReleaseLog(now float64) {
	cold := f.voter != nil && !f.voter.Joined()
	if f.voter != nil && !cold || len(f.voterNames) == 0 {
		return
	}
	every, from := logFetchEvery, 1
	if cold {
		every, from = coldLogFetchEvery, coldLogFetchFanout
	}
	if now < f.lastLogFetch+every {
		return
	}
	f.lastLogFetch = now
	ask := &wire.Envelope{StateRequest: &wire.StateRequest{Names: []string{""}, ClusterID: f.releaseLog.Current.Epoch.ClusterID(), AppliedCount: f.releaseLog.AppliedCount}}
	if !cold && (f.leaseHolder.AssignedEpoch() != f.releaseLog.NewestEpoch() || f.random.IntN(8) == 0) { // a copy from the voters themselves now and then
		f.send(f.Voters[f.voterNames[f.random.IntN(len(f.voterNames))]], ask)
		return
	}
	for _, addr := range f.network.Sample(from, f.random) {
		f.send(addr, ask)
	}
}

// publish hands the loop what has changed.
func (f *Agent) publish() {
	v := f.leaseHolder.Snapshot()
	v.Stats = f.loopStats
	if v != f.published {
		f.published = v
		f.Publish(&v.Directive)
	}
}

// sendVoterMessages sends what the voter says.
func (f *Agent) sendVoterMessages() {
	if f.voter == nil {
		return
	}
	for _, l := range f.voter.TakeOutbox() {
		f.send(f.Voters[l.VoterName], &wire.Envelope{Consensus: &l.Message})
	}
}

// acceptCommand takes an operator's command that came by another server, or here.
func (f *Agent) acceptCommand(now float64, m *wire.Envelope) {
	c := m.Command
	if f.pending[c.ID] != nil || c.ID == 0 || len(f.pending) >= maxPendingCommands {
		return
	}
	from := *m
	f.pending[c.ID] = &pendingCommand{command: c, deadline: now + commandTimeout, done: func(d wire.CommandResult) { f.reply(&from, &wire.Envelope{CommandResult: &d}) }}
}

// commandTimeout is how long an operator waits for a command.
const commandTimeout = 10.0

// retryCommands repeats commands until their end is known.
func (f *Agent) retryCommands(now float64) {
	for _, id := range slices.Sorted(maps.Keys(f.pending)) { // in an order, so that a schedule repeats itself
		p := f.pending[id]
		switch {
		case now > p.deadline:
			delete(f.pending, id)
			p.done(wire.CommandResult{ID: id, RejectReason: "no majority of the voters answered in time; it may still be carried out", NewestEpoch: f.releaseLog.NewestEpoch()})
		case now >= p.nextAttempt:
			p.nextAttempt = now + 0.5
			if f.voter != nil && f.voter.Joined() {
				f.voter.Propose(p.command)
			} else if len(f.voterNames) > 0 {
				name := cmp.Or(f.leaseHolder.Leader(), f.voterNames[f.random.IntN(len(f.voterNames))])
				f.send(f.Voters[name], &wire.Envelope{Command: p.command})
			}
		}
	}
	for number, g := range f.audits {
		if now > g.deadline || len(g.awaiting) == 0 && g.releaseLog != nil {
			delete(f.audits, number)
			g.done(g)
		}
	}
}

// handleStateRequest answers who asks for accounts. A voter tells the order too, a leader how all stand.
func (f *Agent) handleStateRequest(now float64, m *wire.Envelope) {
	t := &wire.StateReply{RequestID: m.StateRequest.RequestID}
	if m.StateRequest.RequestID != 0 {
		f.auditLoopStats()
		t.Replication = f.ReplicationStatus()
		t.Accounts = append(f.auditLog.Accounts(m.StateRequest.Names), f.auditLog.Account())
		if len(t.Accounts) > maxAccountsInReply {
			t.Accounts = t.Accounts[len(t.Accounts)-maxAccountsInReply:]
		}
	}
	known := &release.Log{Current: release.Version{Epoch: release.NewEpoch(m.StateRequest.ClusterID, 0)}, AppliedCount: m.StateRequest.AppliedCount}
	if f.releaseLog.NewerThan(known) && (f.voter != nil || m.StateRequest.RequestID == 0) {
		t.ReleaseLog = f.releaseLog
	}
	if m.StateRequest.RequestID == 0 && t.ReleaseLog == nil {
		return // nothing new
	}
	if f.voter != nil && f.voter.Joined() {
		if m.StateRequest.RequestID != 0 && f.leaseTable != nil && f.confirmed(now) {
			t.Servers = f.leaseTable.ServerStatuses(now, f.releaseLog)
		}
	}
	f.reply(m, &wire.Envelope{StateReply: t})
}

// maxAccountsInReply accounts go in one answer.
const maxAccountsInReply = 500

func (f *Agent) handleStateReply(m *wire.Envelope) {
	t := m.StateReply
	switch {
	case t.ReleaseLog == nil || !t.ReleaseLog.NewerThan(f.releaseLog):
	case f.voter == nil:
		f.releaseLog = t.ReleaseLog
	default:
		f.voter.ObserveReleaseLog(t.ReleaseLog)
	}
	g := f.audits[t.RequestID]
	if g == nil {
		return
	}
	if !g.awaiting[m.From] {
		return
	}
	delete(g.awaiting, m.From)
	for _, a := range t.Accounts {
		if a.Name == m.From && a.Incarnation == m.Incarnation {
			g.alive[a.Incarnation] = true
		}
		g.accounts = append(g.accounts, a)
	}
	if t.ReleaseLog != nil && (g.releaseLog == nil || t.ReleaseLog.NewerThan(g.releaseLog)) {
		g.releaseLog = t.ReleaseLog
	}
	if t.Servers != nil {
		g.servers = t.Servers
	}
	if t.Replication != nil {
		g.replicas[m.From] = t.Replication
	}
}

// Audit asks everybody what they acted on, and waits for the answers as long as it takes, at most some seconds.
func (f *Node) Audit(since release.Epoch) (audit.Report, *auditRun, error) {
	done := make(chan *auditRun, 1)
	if err := f.call(func(now float64) { f.startAudit(now, func(g *auditRun) { done <- g }) }); err != nil {
		return audit.Report{}, nil, err
	}
	select {
	case g := <-done:
		if g.releaseLog == nil {
			return audit.Report{}, nil, errors.New("no voter answered that sits in a group: nobody knows the order")
		}
		evidence := audit.Evidence{Log: g.releaseLog, Servers: g.servers, Accounts: g.accounts, Responding: g.alive}
		return audit.NewReport(evidence, since), g, nil
	case <-time.After(time.Duration((auditTimeout + 2) * float64(time.Second))):
		return audit.Report{}, nil, errors.New("the fleet's part of this server is down")
	}
}

// startAudit asks everybody what they acted on.
func (f *Agent) startAudit(now float64, tell func(*auditRun)) {
	f.lastAuditID++
	g := &auditRun{deadline: now + auditTimeout, awaiting: map[string]bool{}, alive: map[uint64]bool{f.incarnation: true}, replicas: map[string]*replication.Status{}, done: tell}
	if own := f.ReplicationStatus(); own != nil {
		g.replicas[f.Name] = own
	}
	f.auditLoopStats()
	g.accounts = append(f.auditLog.Accounts(nil), f.auditLog.Account())
	if f.voter != nil && f.voter.Joined() {
		g.releaseLog = f.releaseLog
		if f.leaseTable != nil && f.confirmed(now) {
			g.servers = f.leaseTable.ServerStatuses(now, f.releaseLog)
		}
	}
	f.audits[f.lastAuditID] = g
	var gone []string
	for name := range f.releaseLog.Members {
		if name != f.Name && !f.network.HasMember(name) && len(gone) < maxAccountsInReply {
			gone = append(gone, name)
		}
	}
	if gone == nil {
		gone = []string{""} // an empty list would ask for all
	}
	for name, addr := range f.network.Members() {
		g.awaiting[name] = true
		f.send(addr, &wire.Envelope{StateRequest: &wire.StateRequest{RequestID: f.lastAuditID, Names: gone}})
	}
}

// auditTimeout is how long an audit waits for those that don't answer.
const auditTimeout = 2.0

// call has the goroutine that owns everything do something.
func (f *Node) call(what func(now float64)) error {
	select {
	case f.requests <- what:
		return nil
	case <-time.After(2 * time.Second):
		return errors.New("the fleet's part of this server is busy")
	}
}

// ExecuteCommand asks for a command and waits for its end. Where on is 0 it is meant for the newest version that this server knows of.
func (f *Node) ExecuteCommand(c release.Command) (release.Epoch, error) {
	done := make(chan wire.CommandResult, 1)
	if err := f.call(func(now float64) { f.SubmitCommand(now, c, func(d wire.CommandResult) { done <- d }) }); err != nil {
		return 0, err
	}
	select {
	case d := <-done:
		if d.RejectReason != "" {
			return d.NewestEpoch, errors.New(d.RejectReason)
		}
		return d.NewestEpoch, nil
	case <-time.After(time.Duration((commandTimeout + 2) * float64(time.Second))):
		return 0, errors.New("the fleet's part of this server is down")
	}
}

// SubmitCommand asks for an operator's command, and tells how it ended.
func (f *Agent) SubmitCommand(now float64, c release.Command, tell func(wire.CommandResult)) {
	if len(f.pending) >= maxPendingCommands {
		tell(wire.CommandResult{RejectReason: "too many commands are under way"})
		return
	}
	c.ID, c.IssuedAt = f.random.Uint64()|1, f.UnixNow()
	if c.ExpectedEpoch == 0 {
		c.ExpectedEpoch = f.releaseLog.NewestEpoch()
	}
	f.pending[c.ID] = &pendingCommand{command: &c, deadline: now + commandTimeout, done: tell}
}

// ReleaseLog is the order as this process knows it; it is not to be changed.
func (f *Agent) ReleaseLog() *release.Log { return f.releaseLog }

// ServingState is how this process stands, and on which version it acts.
func (f *Agent) ServingState() (lease.Snapshot, release.Version) { return f.published, f.active }

// Clock is a process's clock for its fleet. For tests it may be off, or run at another rate.
type Clock struct {
	Source      func() float64 // seconds, moves forward
	Offset      float64        // seconds that the Unix clock is off
	Rate        float64
	sourceStart float64
	unixStart   float64
}

// NewClock makes a clock that is right from a clock of the process and its Unix time.
func NewClock(base func() float64, unix, off, rate float64) *Clock {
	return &Clock{Source: base, Offset: off, Rate: rate, sourceStart: base(), unixStart: unix}
}

// Now moves forward.
func (c *Clock) Now() float64 { return c.sourceStart + (c.Source()-c.sourceStart)*c.Rate }

// UnixNow is the time of day.
func (c *Clock) UnixNow() float64 { return c.unixStart + c.Offset + (c.Source()-c.sourceStart)*c.Rate }

// ToSource turns a time of this clock into one of the process's.
func (c *Clock) ToSource(t float64) float64 {
	if math.IsInf(t, 0) {
		return t
	}
	return c.sourceStart + (t-c.sourceStart)/c.Rate
}

// resolveAddr reads an address.
func resolveAddr(addr string) (net.IP, int, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, 0, err
	}
	return a.IP, a.Port, nil
}
