package fleet

import (
	"cmp"
	"sync/atomic"

	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
	wire "swiftcourse/internal/wire/fleet"
)

// ReplicationConfig configures the replication of claimed idempotency keys and their results.
type ReplicationConfig struct {
	Placement             *replication.Placement
	MaxRecords            int
	MaxBytes              int
	CatchUpBytesPerSecond float64 // bytes a second that a replica may receive while it catches up
	// OnVerdict passes the verdict on a claim to the serving loop.
	OnVerdict func(requestID string, verdict serving.ClaimVerdict, result []byte)
}

// ClaimEvent is an event of a request with an idempotency key. If neither Canceled nor Finished is
// set, the key is to be claimed.
type ClaimEvent struct {
	ID             string // of the request
	Class          string
	Key            string
	TimeoutSeconds float64 // seconds within which OnVerdict is called
	Canceled       bool    // the request has not run and will not run
	Finished       bool    // the request has run
	Succeeded      bool    // the request finished with Result
	Result         []byte
}

const (
	// maxQueuedClaimEvents limits the events queued for the agent. It has room for two events for
	// each claim that the serving loop may have pending, so that the queue never fills up.
	maxQueuedClaimEvents = 4096
	// addrLookupIntervalSeconds is the shortest time between two lookups of the replicas' addresses.
	addrLookupIntervalSeconds = 0.5
)

// replicator claims keys for the process's requests, and runs a replica if the process is a member of
// the placement.
type replicator struct {
	agent             *Agent
	config            *ReplicationConfig
	terms             replication.TermTable
	coordinator       *replication.Coordinator
	replica           *replication.Replica // nil if this process is not a member of the placement
	selfIndex         int                  // of this process in the placement, negative if it is not a member
	backlog           *atomic.Int64        // Node.claimBacklog, or a separate counter if there is no Node
	unrecordedReports int                  // reports that the replicas have not recorded, as last added to backlog

	memberAddrs      map[string]string
	lastAddrLookup   float64
	reportedAddrs    map[string]string // replicas' addresses according to their messages
	lastLoggedStatus replication.Status
}

func newReplicator(agent *Agent, now float64) *replicator {
	config := agent.config.Replication
	r := &replicator{
		agent:         agent,
		config:        config,
		terms:         make(replication.TermTable, len(config.Placement.Members)),
		selfIndex:     config.Placement.MemberIndex(agent.config.Name),
		backlog:       &atomic.Int64{},
		reportedAddrs: map[string]string{},
	}
	r.coordinator = replication.NewCoordinator(config.Placement, r.terms, agent.incarnation, agent.unixNow, now)
	if r.selfIndex >= 0 {
		r.startReplica(now)
	}
	agent.registerHandler(r.handleMessage, wire.KindClaimRequest, wire.KindClaimReply)
	agent.registerHandler(r.handleMessage, wire.KindPullRequest, wire.KindPullReply, wire.KindChecksums)
	return r
}

// startReplica starts a replica with an empty store and with a new term for this incarnation.
func (r *replicator) startReplica(now float64) {
	number := r.agent.unixMilli()
	r.terms[r.selfIndex] = replication.Term{Number: number, Incarnation: r.agent.incarnation}
	r.replica = replication.NewReplica(replication.ReplicaConfig{
		Placement:   r.config.Placement,
		Self:        r.selfIndex,
		Terms:       r.terms,
		Store:       replicastore.NewStore(r.config.MaxRecords, r.config.MaxBytes),
		CatchUpRate: r.config.CatchUpBytesPerSecond,
	}, now)
}

// HandleClaimEvent handles an event of the serving loop. It has no effect if replication is disabled.
func (a *Agent) HandleClaimEvent(now float64, event ClaimEvent) {
	if a.replication != nil {
		a.replication.handleEvent(now, event)
	}
}

func (r *replicator) handleEvent(now float64, event ClaimEvent) {
	switch {
	case event.Finished:
		r.coordinator.FinishClaim(now, event.ID, event.Succeeded, event.Result)
	case event.Canceled:
		r.coordinator.CancelClaim(now, event.ID)
	default:
		r.agent.trace(TraceClaiming)
		r.coordinator.StartClaim(now, event.ID, replicastore.KeyOf(event.Class, event.Key), now+event.TimeoutSeconds)
	}
	r.flush(now)
	r.backlog.Add(-1)
	switch {
	case event.Finished:
		r.agent.trace(TraceFinishing)
	case !event.Canceled:
		r.agent.trace(TraceClaimed)
	}
}

// handleMessage handles a message from a coordinator or a replica.
func (r *replicator) handleMessage(now float64, message *wire.Envelope) {
	from := r.config.Placement.MemberIndex(message.From)
	if from >= 0 {
		r.reportedAddrs[message.From] = message.Addr
	}
	if message.Kind() == wire.KindClaimReply {
		r.coordinator.HandleReply(now, from, message.ClaimReply)
	} else if r.replica != nil {
		r.handleAsReplica(now, from, message)
	}
	r.flush(now)
}

// handleAsReplica handles a message to this process's replica.
func (r *replicator) handleAsReplica(now float64, from int, message *wire.Envelope) {
	switch message.Kind() {
	case wire.KindClaimRequest:
		r.handleClaim(now, message)
	case wire.KindPullRequest:
		records := r.replica.HandlePull(now, from, message.PullRequest)
		r.agent.trace(TracePulling)
		if records != nil {
			r.agent.sendReply(message, &wire.Envelope{PullReply: records})
		}
		r.agent.trace(TracePulled)
	case wire.KindPullReply:
		r.agent.trace(TraceMerging)
		r.replica.HandlePullReply(now, from, message.PullReply, message.Size)
		r.agent.trace(TraceMerged)
	case wire.KindChecksums:
		r.replica.HandleChecksums(now, from, message.Checksums)
	}
}

// handleClaim replies to another process's claim of a key, or to its report of the outcome of a run.
func (r *replicator) handleClaim(now float64, message *wire.Envelope) {
	decided, replied := TraceGranting, TraceGranted
	if message.ClaimRequest.Operation == replication.OpReport {
		decided, replied = TraceRecording, TraceRecorded
	}
	reply := r.replica.HandleClaim(now, message.ClaimRequest)
	r.agent.trace(decided)
	r.agent.sendReply(message, &wire.Envelope{ClaimReply: &reply})
	r.agent.trace(replied)
}

func (r *replicator) nextWakeup(now float64) float64 {
	next := r.coordinator.NextWakeup()
	if r.replica != nil {
		next = min(next, r.replica.NextWakeup(now))
	}
	return next
}

func (r *replicator) tick(now float64) {
	r.coordinator.Maintain(now)
	if r.replica != nil {
		r.replica.Maintain(now)
	}
	r.flush(now)
	r.logStatus()
}

// logStatus logs the status when a catch-up has begun or ended, or when a conflicting result or a
// corrupted record has been found.
func (r *replicator) logStatus() {
	status := r.status()
	if status.IsReplica == r.lastLoggedStatus.IsReplica &&
		(status.CatchingUp == 0) == (r.lastLoggedStatus.CatchingUp == 0) &&
		status.ConflictingResults == r.lastLoggedStatus.ConflictingResults &&
		status.CorruptedRecords == r.lastLoggedStatus.CorruptedRecords {
		return
	}
	r.agent.logger.Info("replica_status_changed",
		"catching_up", status.CatchingUp,
		"caught_up_by_peers", status.CaughtUpByPeers,
		"caught_up_by_timeout", status.CaughtUpByTimeout,
		"records", status.Records,
		"conflicting_results", status.ConflictingResults,
		"corrupted_records", status.CorruptedRecords)
	r.lastLoggedStatus = *status
}

// flush sends the messages of the coordinator and the replica until there are none left, as delivery
// to this process's own replica can produce further messages. It then passes the verdicts to the
// serving loop.
func (r *replicator) flush(now float64) {
	for {
		outbox := r.coordinator.TakeOutbox()
		if r.replica != nil {
			outbox = append(outbox, r.replica.TakeOutbox()...)
		}
		if len(outbox) == 0 {
			break
		}
		for _, outgoing := range outbox {
			r.deliver(now, outgoing)
		}
	}
	pending := r.coordinator.PendingReports()
	r.backlog.Add(int64(pending - r.unrecordedReports))
	r.unrecordedReports = pending
	for _, outcome := range r.coordinator.TakeOutcomes() {
		r.config.OnVerdict(outcome.RequestID, outcome.Verdict, outcome.Result)
		if outcome.Verdict == serving.ClaimGranted {
			r.agent.trace(TraceStarted)
		}
	}
}

// deliver sends a message to a replica. This process's own replica handles a claim directly, without
// the network.
func (r *replicator) deliver(now float64, outgoing replication.Envelope) {
	if outgoing.To == r.selfIndex {
		if outgoing.Claim != nil {
			reply := r.replica.HandleClaim(now, outgoing.Claim)
			r.coordinator.HandleReply(now, r.selfIndex, &reply)
		}
		return
	}
	name := r.config.Placement.Members[outgoing.To].Name
	if now >= r.lastAddrLookup+addrLookupIntervalSeconds {
		r.memberAddrs = r.agent.network.Members()
		r.lastAddrLookup = now
	}
	addr := cmp.Or(r.memberAddrs[name], r.agent.config.Voters[name], r.reportedAddrs[name])
	r.agent.send(addr, &wire.Envelope{
		ClaimRequest: outgoing.Claim,
		PullRequest:  outgoing.Pull,
		Checksums:    outgoing.Checksums,
	})
}

// ReplicationStatus returns the status of replication at this process, nil if replication is
// disabled.
func (a *Agent) ReplicationStatus() *replication.Status {
	if a.replication == nil {
		return nil
	}
	return a.replication.status()
}

func (r *replicator) status() *replication.Status {
	status := &replication.Status{ConfigDigest: r.config.Placement.ConfigDigest}
	r.coordinator.FillStatus(status)
	if r.replica != nil {
		r.replica.FillStatus(status)
	}
	return status
}
