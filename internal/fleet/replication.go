package fleet

import (
	"cmp"
	"sync/atomic"

	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
	wire "swiftcourse/internal/wire/fleet"
)

// ReplicationConfig configures the state that several servers keep: which idempotency keys were
// claimed, and the results.
type ReplicationConfig struct {
	Placement   *replication.Placement
	MaxRecords  int
	MaxBytes    int
	CatchUpRate float64 // bytes a second that a replica takes in to catch up
	// OnVerdict hands the serving loop the verdict on a request for which it claimed a key.
	OnVerdict func(requestID string, verdict serving.ClaimVerdict, result []byte)
}

// ClaimEvent is an event of a request that bears an idempotency key: its key is to be claimed, it
// will never run, or its run ended.
type ClaimEvent struct {
	ID        string // of the request
	Class     string
	Key       string
	Timeout   float64 // seconds in which OnVerdict has to be called
	Canceled  bool    // it never began, and never will
	Finished  bool    // its run ended, and
	Succeeded bool    // has a result
	Result    []byte
}

const (
	// maxClaimEvents wait for the agent: two for each claim that the serving loop may have pending,
	// so that there is always room.
	maxClaimEvents = 4096
	// addrLookupInterval is how often it is looked up where replicas listen, in seconds.
	addrLookupInterval = 0.5
)

// replicator claims keys for the process's own requests, and is a replica if the placement names
// the process.
type replicator struct {
	agent       *Agent
	config      *ReplicationConfig
	terms       replication.TermTable
	coordinator *replication.Coordinator
	replica     *replication.Replica // nil if this process is none
	index       int                  // of this process in the placement, negative if it is none
	backlog     *atomic.Int64        // claim events and unrecorded reports, for whoever shuts down
	unrecorded  int                  // reports that the replicas have not recorded, when last counted

	memberAddrs    map[string]string
	lastAddrLookup float64
	reportedAddrs  map[string]string  // where replicas reported that they listen
	logged         replication.Status // as it was last written to the log
}

func newReplicator(a *Agent, now float64) *replicator {
	config := a.config.Replication
	r := &replicator{
		agent:         a,
		config:        config,
		terms:         make(replication.TermTable, len(config.Placement.Members)),
		index:         config.Placement.MemberIndex(a.config.Name),
		backlog:       &atomic.Int64{},
		reportedAddrs: map[string]string{},
	}
	r.coordinator = replication.NewCoordinator(config.Placement, r.terms, a.incarnation, a.unixNow, now)
	if r.index >= 0 {
		number := uint64(max(0, a.unixNow()*1000))
		r.terms[r.index] = replication.Term{Number: number, Incarnation: a.incarnation}
		store := replicastore.NewStore(config.MaxRecords, config.MaxBytes)
		r.replica = replication.NewReplica(replication.ReplicaConfig{
			Placement:   config.Placement,
			Self:        r.index,
			Terms:       r.terms,
			Store:       store,
			CatchUpRate: config.CatchUpRate,
		}, now)
	}
	a.handle(r.handle, wire.KindClaimRequest, wire.KindClaimReply)
	a.handle(r.handle, wire.KindPullRequest, wire.KindPullReply, wire.KindChecksums)
	return r
}

// HandleClaimEvent handles an event of the serving loop. Without replication it has no effect.
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
		r.coordinator.StartClaim(now, event.ID, replicastore.KeyOf(event.Class, event.Key), now+event.Timeout)
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

// handle handles a message of a coordinator or a replica.
func (r *replicator) handle(now float64, message *wire.Envelope) {
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

// handleAsReplica handles a message that is for replicas.
func (r *replicator) handleAsReplica(now float64, from int, message *wire.Envelope) {
	switch message.Kind() {
	case wire.KindClaimRequest:
		r.handleClaim(now, message)
	case wire.KindPullRequest:
		records := r.replica.HandlePull(now, from, message.PullRequest)
		r.agent.trace(TracePulling)
		if records != nil {
			r.agent.reply(message, &wire.Envelope{PullReply: records})
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

// handleClaim answers another process's claim of a key, or its report of how a run ended.
func (r *replicator) handleClaim(now float64, message *wire.Envelope) {
	decided, replied := TraceGranting, TraceGranted
	if message.ClaimRequest.Operation == replication.OpReport {
		decided, replied = TraceRecording, TraceRecorded
	}
	reply := r.replica.HandleClaim(now, message.ClaimRequest)
	r.agent.trace(decided)
	r.agent.reply(message, &wire.Envelope{ClaimReply: &reply})
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

// logStatus writes a line when catching up began or ended, or a fault was found.
func (r *replicator) logStatus() {
	status := r.status()
	if status.IsReplica == r.logged.IsReplica &&
		(status.CatchingUp == 0) == (r.logged.CatchingUp == 0) &&
		status.ConflictingResults == r.logged.ConflictingResults &&
		status.CorruptedRecords == r.logged.CorruptedRecords {
		return
	}
	r.agent.logger.Info("replica_status_changed",
		"catching_up", status.CatchingUp,
		"caught_up_by_peers", status.CaughtUpByPeers,
		"caught_up_by_timeout", status.CaughtUpByTimeout,
		"records", status.Records,
		"conflicting_results", status.ConflictingResults,
		"corrupted_records", status.CorruptedRecords)
	r.logged = *status
}

// flush sends what coordinator and replica have to send, and hands the serving loop the verdicts.
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
	r.backlog.Add(int64(pending - r.unrecorded))
	r.unrecorded = pending
	for _, outcome := range r.coordinator.TakeOutcomes() {
		r.config.OnVerdict(outcome.RequestID, outcome.Verdict, outcome.Result)
		if outcome.Verdict == serving.ClaimGranted {
			r.agent.trace(TraceStarted)
		}
	}
}

// deliver brings a message to its replica, which may be this process.
func (r *replicator) deliver(now float64, outgoing replication.Envelope) {
	if outgoing.To == r.index {
		if outgoing.Claim != nil {
			reply := r.replica.HandleClaim(now, outgoing.Claim)
			r.coordinator.HandleReply(now, r.index, &reply)
		}
		return
	}
	name := r.config.Placement.Members[outgoing.To].Name
	if now >= r.lastAddrLookup+addrLookupInterval {
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

// ReplicationStatus returns the status of replication at this process, nil if it is off.
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
