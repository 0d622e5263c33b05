package replication

import (
	"slices"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
	"swiftcourse/internal/timewindow"
)

const (
	// maxActiveClaims bounds the claims under way. At 1 ms for each claim it allows two million a
	// second.
	maxActiveClaims = 2048
	// maxRequestRounds bounds the rounds of requests for one claim, so that many term changes of its
	// replicas do not cause an unbounded number of requests.
	maxRequestRounds = 64

	// Requests for a grant are retried soon, in case a packet was lost. Queries for the outcome of
	// another claim's run are retried less often. The interval doubles with each round, at most
	// maxRetryDoublings times and up to maxRetryIntervalSeconds.
	claimRetryIntervalSeconds = 0.02
	queryRetryIntervalSeconds = 0.05
	maxRetryIntervalSeconds   = 0.5
	maxRetryDoublings         = 5

	// A claim waits for a quorum for quorumWaitFactor times the typical claim latency, but at
	// least minQuorumWaitSeconds. If the replicas do not answer, the request is rejected while
	// its client still has time to retry at another server.
	quorumWaitFactor     = 8
	minQuorumWaitSeconds = 0.25

	// The typical claim latency is computed over latencyBuckets buckets of latencyBucketSeconds
	// each.
	latencyBuckets       = 8
	latencyBucketSeconds = 1
)

// never is the wakeup time, in seconds, of something that needs no wakeup.
const never = 1e18

// Outcome is the outcome of a claim for the request that made it.
type Outcome struct {
	RequestID string
	Verdict   serving.ClaimVerdict
	Result    []byte  // result of the earlier run, if Verdict is ClaimCached
	Latency   float64 // seconds from the start of the claim to its outcome
}

// Coordinator claims keys at their replicas on behalf of one server's requests.
type Coordinator struct {
	placement    *Placement
	terms        TermTable
	incarnation  uint64
	lastSequence uint64
	unixTime     func() float64

	claimsByRequest map[string]*pendingClaim
	claimsByID      map[replicastore.ClaimID]*pendingClaim
	claimOrder      []*pendingClaim // in the order of their start, so that simulations are reproducible
	latencies       *timewindow.Buckets[timewindow.Histogram]

	reports  reporter
	outbox   outbox
	outcomes []Outcome
}

// NewCoordinator returns the coordinator of one incarnation of a server. It shares terms with the
// server's Replica. unixTime returns the time of day in seconds since 1970; competing claims are
// ordered by it.
func NewCoordinator(
	placement *Placement, terms TermTable, incarnation uint64, unixTime func() float64, now float64,
) *Coordinator {
	c := &Coordinator{
		placement:       placement,
		terms:           terms,
		incarnation:     incarnation,
		unixTime:        unixTime,
		claimsByRequest: map[string]*pendingClaim{},
		claimsByID:      map[replicastore.ClaimID]*pendingClaim{},
		latencies:       timewindow.NewBuckets[timewindow.Histogram](latencyBuckets, latencyBucketSeconds, now),
	}
	c.reports = reporter{
		placement: placement,
		terms:     terms,
		outbox:    &c.outbox,
		byClaim:   map[replicastore.ClaimID]*pendingReport{},
	}
	return c
}

// TypicalLatency returns the median latency of recently granted claims in seconds, or 0 if there
// are none.
func (c *Coordinator) TypicalLatency(now float64) float64 {
	var all timewindow.Histogram
	c.latencies.ForEach(now, all.Merge)
	return all.Median()
}

// StartClaim claims a key for a request that needs the outcome by the deadline, in seconds. The
// outcome is ClaimNoQuorum at once if the remaining time does not exceed the typical claim latency,
// if maxActiveClaims claims are under way, or if the request already has a claim.
func (c *Coordinator) StartClaim(now float64, requestID string, key replicastore.Key, deadline float64) {
	typical := c.TypicalLatency(now)
	if c.claimsByRequest[requestID] != nil || len(c.claimsByRequest) >= maxActiveClaims || deadline-now <= typical {
		c.outcomes = append(c.outcomes, Outcome{RequestID: requestID, Verdict: serving.ClaimNoQuorum})
		return
	}
	claim := &pendingClaim{
		requestID: requestID,
		key:       key,
		replicas:  c.placement.Replicas(key.Slot()),
		startedAt: now,
		deadline:  min(deadline, now+c.placement.MaxClaimDuration),
	}
	claim.quorumDeadline = min(claim.deadline, now+max(minQuorumWaitSeconds, quorumWaitFactor*typical))
	c.claimsByRequest[requestID] = claim
	c.claimOrder = append(c.claimOrder, claim)
	c.beginAttempt(claim, now)
}

// CancelClaim ends the claim of a request that ended before its run.
func (c *Coordinator) CancelClaim(now float64, requestID string) {
	if claim := c.claimsByRequest[requestID]; claim != nil {
		c.applyEvent(claim, eventCanceled, now)
	}
}

// FinishClaim ends the claim of a request that ran, and reports to the replicas that it failed, or
// its result if it succeeded.
func (c *Coordinator) FinishClaim(now float64, requestID string, succeeded bool, result []byte) {
	claim := c.claimsByRequest[requestID]
	if claim == nil {
		return
	}
	if succeeded {
		claim.attempt = replicastore.NewFinishedAttempt(claim.attempt.ClaimID, result)
	} else {
		claim.attempt = replicastore.Attempt{ClaimID: claim.attempt.ClaimID, State: replicastore.StateFailed}
	}
	c.applyEvent(claim, eventRunEnded, now)
}

// Maintain resends unanswered requests and reports, and ends claims that have timed out.
func (c *Coordinator) Maintain(now float64) {
	c.claimOrder = slices.DeleteFunc(c.claimOrder, func(claim *pendingClaim) bool {
		return claim.phase == phaseDone
	})
	for _, claim := range c.claimOrder {
		switch {
		case claim.phase == phaseGranted || claim.phase == phaseDone:
		case now >= claim.deadline, claim.phase == phaseRequesting && now >= claim.quorumDeadline:
			c.applyEvent(claim, eventTimedOut, now)
		case now >= claim.retryAt:
			terms := c.terms.Select(claim.replicas)
			if claim.phase == phaseRequesting && !claim.sameTerms(terms) {
				claim.resetGrants(terms)
			}
			c.sendRequests(claim, now)
		}
	}
	c.reports.maintain(now)
}

// NextWakeup returns when Maintain must next be called, in seconds.
func (c *Coordinator) NextWakeup() float64 {
	next := never
	for _, claim := range c.claimOrder {
		switch claim.phase {
		case phaseRequesting:
			next = min(next, claim.retryAt, claim.quorumDeadline)
		case phaseWaiting:
			next = min(next, claim.retryAt, claim.deadline)
		}
	}
	return min(next, c.reports.nextWakeup())
}

// TakeOutbox returns the messages to send and empties the outbox.
func (c *Coordinator) TakeOutbox() []Envelope { return c.outbox.take() }

// TakeOutcomes returns the outcomes since the last call.
func (c *Coordinator) TakeOutcomes() []Outcome {
	outcomes := c.outcomes
	c.outcomes = nil
	return outcomes
}

// PendingReports returns the number of reports that not all replicas have recorded and that are
// still being sent.
func (c *Coordinator) PendingReports() int { return len(c.reports.pending) }

// ActiveClaims returns the number of claims under way, including those of running requests.
func (c *Coordinator) ActiveClaims() int { return len(c.claimsByRequest) }

// sendRequests sends one round of requests. In phaseRequesting it asks the replicas that have not
// granted the claim to do so. In phaseWaiting it queries all replicas for the outcome of the other
// claim.
func (c *Coordinator) sendRequests(claim *pendingClaim, now float64) {
	operation := OpClaim
	interval := claimRetryIntervalSeconds
	if claim.phase == phaseWaiting {
		operation = OpQuery
		interval = queryRetryIntervalSeconds
		clear(claim.unclaimed)
	}
	interval *= float64(int(1) << min(claim.rounds, maxRetryDoublings))
	claim.retryAt = now + min(maxRetryIntervalSeconds, interval)
	claim.rounds++
	if claim.rounds > maxRequestRounds {
		claim.retryAt = claim.deadline
	}
	for i, member := range claim.replicas {
		if operation == OpClaim && claim.granted[i] {
			continue
		}
		c.outbox.add(Envelope{To: member, Claim: &ClaimRequest{
			ConfigDigest: c.placement.ConfigDigest,
			Operation:    operation,
			Key:          claim.key,
			Attempt:      claim.attempt,
			Terms:        claim.terms,
		}})
	}
}

// HandleReply handles a reply of member from to a claim, query or report.
func (c *Coordinator) HandleReply(now float64, from int, reply *ClaimReply) {
	if reply.Operation == OpReport {
		c.reports.handleReply(from, reply)
		return
	}
	claim := c.claimsByID[reply.ClaimID]
	if claim == nil || !claim.expectsReply(reply) {
		return
	}
	replica := slices.Index(claim.replicas, from)
	if replica < 0 {
		return
	}
	changed := c.terms.Observe(claim.replicas, reply.Terms)
	record := &replicastore.Record{Key: reply.Key, Attempts: reply.Attempts}
	if c.resolveByRecord(claim, record, now) {
		return
	}
	switch {
	case claim.phase == phaseWaiting:
		c.recordQueryReply(claim, replica, reply.Status, now)
	case reply.Status == ReplyGranted && claim.sameTerms(reply.Terms):
		c.recordGrant(claim, replica, now)
	case reply.Status == ReplyConflict:
		c.recordConflict(claim, replica, record.BlockingAttempt(), now)
	case changed && claim.rounds < maxRequestRounds:
		claim.resetGrants(c.terms.Select(claim.replicas))
		c.sendRequests(claim, now)
	}
}

// recordQueryReply records whether the key is unclaimed at claim.replicas[replica]. The claim is
// requested again once a quorum reports that no claim blocks the key.
func (c *Coordinator) recordQueryReply(claim *pendingClaim, replica int, status ReplyStatus, now float64) {
	claim.unclaimed[replica] = status == ReplyUnclaimed
	if countTrue(claim.unclaimed) >= c.placement.Quorum {
		c.applyEvent(claim, eventUnblocked, now)
	}
}

// recordGrant records that claim.replicas[replica] granted the claim.
func (c *Coordinator) recordGrant(claim *pendingClaim, replica int, now float64) {
	claim.granted[replica] = true
	if countTrue(claim.granted) >= c.placement.Quorum {
		c.applyEvent(claim, eventQuorum, now)
	}
}

// recordConflict records the attempt, if not nil, that blocks the claim at claim.replicas[replica].
func (c *Coordinator) recordConflict(
	claim *pendingClaim, replica int, blocking *replicastore.Attempt, now float64,
) {
	if blocking == nil {
		return
	}
	claim.blockedBy[replica] = blocking.ClaimID
	if claim.outrankedBy(blocking.ClaimID, c.placement.Quorum) {
		c.applyEvent(claim, eventOutranked, now)
	}
}

// resolveByRecord ends a claim if the record that a replica returned shows that another attempt of
// the key ran, and reports whether it ended the claim.
func (c *Coordinator) resolveByRecord(claim *pendingClaim, record *replicastore.Record, now float64) bool {
	if finished := record.FinishedAttempt(); finished != nil {
		if finished.Result != nil {
			claim.attempt.Result = finished.Result
			c.applyEvent(claim, eventResultKnown, now)
			return true
		}
		claim.sawOtherClaim = true // this replica dropped the result; another may still have it
	}
	blocking := record.BlockingAttempt()
	if blocking == nil || blocking.ClaimID == claim.attempt.ClaimID {
		return false
	}
	claim.sawOtherClaim = true
	if blocking.State == replicastore.StateFailed {
		c.applyEvent(claim, eventRunFailed, now)
		return true
	}
	return false
}
