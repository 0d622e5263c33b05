package fleet

import (
	"cmp"
	"sync/atomic"

	"swiftcourse/internal/policy/replication"
	"swiftcourse/internal/policy/serving"
	state "swiftcourse/internal/replicastore"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is what a process does for the state that several servers keep: it asks holders for its own tasks, and is one, where it is named.

// ReplicationConfig is what a process is told of them.
type ReplicationConfig struct {
	Placement   *replication.Placement
	MaxRecords  int     // most records
	MaxBytes    int     // and bytes of them
	CatchUpRate float64 // bytes a second that it takes in to catch up
	// Rule hands the serving loop the fleet's word on a task that it claimed a key for.
	OnVerdict func(id string, r serving.ClaimVerdict, result []byte)

	pendingReports atomic.Int64 // words of the loop, and ends that holders have not noted, for whoever leaves
}

// replicationState is the part's state of them.
type replicationState struct {
	*ReplicationConfig
	terms          replication.TermTable
	coordinator    *replication.Coordinator
	replica        *replication.Replica // nil where this server is none
	store          *state.Store
	index          int
	unacknowledged int               // ends that holders have not noted, as they were last counted
	memberAddrs    map[string]string // where others listen
	lastAddrLookup float64
	reportedAddrs  map[string]string  // where holders said that they listen
	logged         replication.Status // as it was last written to the log
}

// ClaimEvent is what the serving loop says of a task that bears a key: that it is to be claimed, or how it ended.
type ClaimEvent struct {
	ID, Class, Key                string
	Timeout                       float64 // seconds in which it has to be told
	Canceled, Finished, Succeeded bool
	Result                        []byte
}

const (
	// maxClaimEvents wait for the goroutine: two for each claim that the loop may have under way, so that there is always room.
	maxClaimEvents = 4096
	// addrLookupEvery is how often it is looked up where holders listen, in seconds.
	addrLookupEvery = 0.5
)

// Claim asks for the right to run a task that bears a key, from the serving loop. Copies.Rule is told within left seconds. False where nothing more
// can be asked: it did not run.
func (f *Node) Claim(id, stage, key string, left float64) bool {
	return f.enqueueClaim(ClaimEvent{ID: id, Class: stage, Key: key, Timeout: left})
}

// ReleaseClaim tells that a task is over that never began.
func (f *Node) ReleaseClaim(id string) { f.enqueueClaim(ClaimEvent{ID: id, Canceled: true}) }

// CompleteClaim tells how the run of a task ended that was granted.
func (f *Node) CompleteClaim(id string, well bool, result []byte) {
	f.enqueueClaim(ClaimEvent{ID: id, Finished: true, Succeeded: well, Result: result})
}

// UnreportedClaims counts what the holders have not noted yet, from any goroutine.
func (f *Node) UnreportedClaims() int { return int(f.Config.Replication.pendingReports.Load()) }

func (f *Node) enqueueClaim(w ClaimEvent) bool {
	f.Config.Replication.pendingReports.Add(1)
	select {
	case f.claimEvents <- w:
		return true
	default: // its claim stands then as one that may have run
		f.Config.Replication.pendingReports.Add(-1)
		f.dropped.Add(1)
		return false
	}
}

// TracePoints at which a test may have a process end, in the order in which a claim, and then a copy, passes them.
var TracePoints = []string{"claiming", "asked", "granting", "granted", "begun", "ending", "noting", "noted", "pulling", "pulled", "taking", "taken"}

func (f *Agent) passes(point string) {
	if f.OnTracePoint != nil {
		f.OnTracePoint(point)
	}
}

// beginCopies makes the part's claimant, and its holder where it is one.
func (f *Agent) beginCopies(now float64) {
	if f.Replication == nil {
		return
	}
	f.Config.Replication.pendingReports.Store(0) // a part that begins anew owes nothing
	c := &replicationState{ReplicationConfig: f.Config.Replication, index: f.Config.Replication.Placement.MemberIndex(f.Name)}
	c.terms, c.reportedAddrs = make(replication.TermTable, len(c.Placement.Members)), map[string]string{}
	c.coordinator = replication.NewCoordinator(c.Placement, c.terms, f.incarnation, f.UnixNow, now)
	if c.index >= 0 {
		c.terms[c.index] = replication.Term{Number: uint64(max(0, f.UnixNow()*1000)), Incarnation: f.incarnation}
		c.store = state.NewStore(c.MaxRecords, c.MaxBytes)
		c.replica = replication.NewReplica(replication.ReplicaConfig{
			Placement:   c.Placement,
			Self:        c.index,
			Terms:       c.terms,
			Store:       c.store,
			CatchUpRate: c.CatchUpRate,
		}, now)
	}
	f.replication = c
}

// HandleClaimEvent takes a word of the serving loop.
func (f *Agent) HandleClaimEvent(now float64, w ClaimEvent) {
	c := f.replication
	switch {
	case c == nil:
	case w.Finished:
		c.coordinator.FinishClaim(now, w.ID, w.Succeeded, w.Result)
	case w.Canceled:
		c.coordinator.CancelClaim(now, w.ID)
	default:
		f.passes("claiming")
		c.coordinator.StartClaim(now, w.ID, state.KeyOf(w.Class, w.Key), now+w.Timeout)
	}
	f.flushCopies(now)
	if c != nil {
		c.pendingReports.Add(-1)
	}
	switch {
	case w.Finished:
		f.passes("ending")
	case !w.Canceled:
		f.passes("asked")
	}
}

// takeCopies takes what others say of copies.
func (f *Agent) takeCopies(now float64, m *wire.Envelope) {
	c := f.replication
	if c == nil {
		return
	}
	from := c.Placement.MemberIndex(m.From)
	if from >= 0 {
		c.reportedAddrs[m.From] = m.Addr
	}
	switch {
	case m.ClaimReply != nil:
		c.coordinator.HandleReply(now, from, m.ClaimReply)
	case c.replica == nil:
	case m.ClaimRequest != nil:
		a := c.replica.HandleClaim(now, m.ClaimRequest)
		says := m.ClaimRequest.Operation == replication.OpReport
		f.passes(map[bool]string{false: "granting", true: "noting"}[says])
		f.reply(m, &wire.Envelope{ClaimReply: &a})
		f.passes(map[bool]string{false: "granted", true: "noted"}[says])
	case m.PullRequest != nil:
		s := c.replica.HandlePull(now, from, m.PullRequest)
		f.passes("pulling")
		if s != nil {
			f.reply(m, &wire.Envelope{PullReply: s})
		}
		f.passes("pulled")
	case m.PullReply != nil:
		f.passes("taking")
		c.replica.HandlePullReply(now, from, m.PullReply, m.Size)
		f.passes("taken")
	case m.Checksums != nil:
		c.replica.HandleChecksums(now, from, m.Checksums)
	}
	f.flushCopies(now)
}

// dueCopies does what is due.
func (f *Agent) dueCopies(now float64) {
	c := f.replication
	if c == nil {
		return
	}
	c.coordinator.Maintain(now)
	if c.replica != nil {
		c.replica.Maintain(now)
	}
	f.flushCopies(now)
	is := f.ReplicationStatus()
	if is.IsReplica != c.logged.IsReplica || (is.CatchingUp == 0) != (c.logged.CatchingUp == 0) || is.ConflictingResults != c.logged.ConflictingResults || is.CorruptedRecords != c.logged.CorruptedRecords {
		f.Log("fleet_copies", "cold", is.CatchingUp, "learned", is.CaughtUpByPeers, "aged", is.CaughtUpByTimeout, "records", is.Records, "alarms", is.ConflictingResults, "flipped", is.CorruptedRecords)
		c.logged = *is
	}
}

func (f *Agent) nextCopies(now float64) float64 {
	c := f.replication
	if c == nil {
		return now + 3600
	}
	next := c.coordinator.NextWakeup()
	if c.replica != nil {
		next = min(next, c.replica.NextWakeup(now))
	}
	return next
}

// flushCopies sends what claimant and holder have to say, and hands the loop what there is to tell it.
func (f *Agent) flushCopies(now float64) {
	c := f.replication
	for c != nil {
		letters := c.coordinator.TakeOutbox()
		if c.replica != nil {
			letters = append(letters, c.replica.TakeOutbox()...)
		}
		if len(letters) == 0 {
			break
		}
		for _, l := range letters {
			f.post(now, l)
		}
	}
	if c == nil {
		return
	}
	c.pendingReports.Add(int64(c.coordinator.PendingReports() - c.unacknowledged))
	c.unacknowledged = c.coordinator.PendingReports()
	for _, t := range c.coordinator.TakeOutcomes() {
		c.OnVerdict(t.RequestID, t.Verdict, t.Result)
		if t.Verdict == serving.ClaimGranted {
			f.passes("begun")
		}
	}
}

// post brings a letter to its holder, who may be here.
func (f *Agent) post(now float64, l replication.Envelope) {
	c := f.replication
	if l.To == c.index {
		if l.Claim != nil {
			a := c.replica.HandleClaim(now, l.Claim)
			c.coordinator.HandleReply(now, c.index, &a)
		}
		return
	}
	name := c.Placement.Members[l.To].Name
	if now >= c.lastAddrLookup+addrLookupEvery {
		c.memberAddrs, c.lastAddrLookup = f.network.Members(), now
	}
	f.send(cmp.Or(c.memberAddrs[name], f.Voters[name], c.reportedAddrs[name]), &wire.Envelope{ClaimRequest: l.Claim, PullRequest: l.Pull, Checksums: l.Checksums})
}

// ReplicationStatus is how the copies stand, nil where there are none.
func (f *Agent) ReplicationStatus() *replication.Status {
	c := f.replication
	if c == nil {
		return nil
	}
	s := &replication.Status{ConfigDigest: c.Placement.ConfigDigest}
	c.coordinator.FillStatus(s)
	if c.replica != nil {
		c.replica.FillStatus(s)
	}
	return s
}
