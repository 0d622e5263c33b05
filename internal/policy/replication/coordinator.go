package replication

import (
	"slices"

	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
	"swiftcourse/internal/timewindow"
)

const (
	// maxClaims bounds the claims under way: at 1 ms a claim that is two million a second.
	maxClaims = 2048
	// maxRounds bounds the rounds of requests for one claim, so that replicas that come and go
	// in great numbers do not cause as many requests.
	maxRounds = 64

	// Replicas are asked again soon for a grant, in case a packet was lost, and more slowly for
	// the outcome of another claim's run. The interval doubles with each round. In seconds.
	claimRetryInterval = 0.02
	queryRetryInterval = 0.05
	maxRetryInterval   = 0.5
	maxRetryDoublings  = 5

	// A claim waits for a quorum for this multiple of what claims typically take, and for
	// minReplyWait seconds at least: a request whose replicas do not answer is rejected while
	// its client has time to go elsewhere.
	replyWaitFactor = 8
	minReplyWait    = 0.25

	// Claim latencies are remembered for this many buckets of this many seconds.
	latencyBuckets       = 8
	latencyBucketSeconds = 1
)

// never is a time, in seconds, that does not come.
const never = 1e18

// Outcome is how a claim ended for the request that made it.
type Outcome struct {
	RequestID string
	Verdict   serving.ClaimVerdict
	Result    []byte  // of the earlier run, where the verdict says that there is one
	Latency   float64 // seconds since the claim began
}

// Coordinator claims keys at their replicas for one server's requests.
type Coordinator struct {
	placement    *Placement
	terms        TermTable
	incarnation  uint64
	lastSequence uint64
	unixTime     func() float64

	claimsByRequest map[string]*pendingClaim
	claimsByID      map[replicastore.ClaimID]*pendingClaim
	claimOrder      []*pendingClaim // in the order in which they began, so that runs of a seed repeat
	latencies       *timewindow.Buckets[timewindow.Histogram]

	reports  reporter
	outbox   outbox
	outcomes []Outcome
}

// NewCoordinator returns the coordinator of a server's incarnation. It shares terms with the
// server's Replica. Function unixTime returns the time of day in seconds, by which competing
// claims are ordered.
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

// TypicalLatency returns the median time that claims lately took to be granted, in seconds, 0
// if there were none.
func (c *Coordinator) TypicalLatency(now float64) float64 {
	var all timewindow.Histogram
	c.latencies.ForEach(now, all.Merge)
	return all.Median()
}

// StartClaim claims a key for a request whose outcome must be known by the deadline, in seconds.
// The outcome is ClaimNoQuorum at once when less time is left than claims typically take, or
// when too many claims are under way.
func (c *Coordinator) StartClaim(now float64, requestID string, key replicastore.Key, deadline float64) {
	typical := c.TypicalLatency(now)
	if c.claimsByRequest[requestID] != nil || len(c.claimsByRequest) >= maxClaims || deadline-now <= typical {
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
	claim.giveUpAt = min(claim.deadline, now+max(minReplyWait, replyWaitFactor*typical))
	c.claimsByRequest[requestID] = claim
	c.claimOrder = append(c.claimOrder, claim)
	c.beginAttempt(claim, now)
}

// CancelClaim ends the claim of a request that ended before it ran.
func (c *Coordinator) CancelClaim(now float64, requestID string) {
	if claim := c.claimsByRequest[requestID]; claim != nil {
		c.applyEvent(claim, eventCanceled, now)
	}
}

// FinishClaim ends the claim of a request that ran, and reports its result if it succeeded.
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

// Maintain sends requests and reports again that were not answered, and gives up claims whose
// time is over.
func (c *Coordinator) Maintain(now float64) {
	c.claimOrder = slices.DeleteFunc(c.claimOrder, func(claim *pendingClaim) bool {
		return claim.phase == phaseDone
	})
	for _, claim := range c.claimOrder {
		switch {
		case claim.phase == phaseGranted || claim.phase == phaseDone:
		case now >= claim.deadline, claim.phase == phaseRequesting && now >= claim.giveUpAt:
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

// NextWakeup returns when Maintain is to be called, in seconds.
func (c *Coordinator) NextWakeup() float64 {
	next := never
	for _, claim := range c.claimOrder {
		switch claim.phase {
		case phaseRequesting:
			next = min(next, claim.retryAt, claim.giveUpAt)
		case phaseWaiting:
			next = min(next, claim.retryAt, claim.deadline)
		}
	}
	return min(next, c.reports.nextWakeup())
}

// TakeOutbox returns the messages to send, and forgets them.
func (c *Coordinator) TakeOutbox() []Envelope { return c.outbox.take() }

// TakeOutcomes returns the claims that ended since the last call.
func (c *Coordinator) TakeOutcomes() []Outcome {
	outcomes := c.outcomes
	c.outcomes = nil
	return outcomes
}

// PendingReports returns the number of ended runs that not all replicas have recorded, and that
// are still reported to them.
func (c *Coordinator) PendingReports() int { return len(c.reports.pending) }

// ActiveClaims returns the number of claims under way, those of running requests included.
func (c *Coordinator) ActiveClaims() int { return len(c.claimsByRequest) }

// sendRequests asks the replicas that have not granted the claim; while it waits for another
// claim it asks all of them for that one's outcome.
func (c *Coordinator) sendRequests(claim *pendingClaim, now float64) {
	operation := OpClaim
	interval := claimRetryInterval
	if claim.phase == phaseWaiting {
		operation = OpQuery
		interval = queryRetryInterval
		clear(claim.unclaimed)
	}
	interval *= float64(int(1) << min(claim.rounds, maxRetryDoublings))
	claim.retryAt = now + min(maxRetryInterval, interval)
	claim.rounds++
	if claim.rounds > maxRounds {
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

// HandleReply handles the reply of the member with index from.
func (c *Coordinator) HandleReply(now float64, from int, reply *ClaimReply) {
	if reply.Operation == OpReport {
		c.reports.handleReply(from, reply)
		return
	}
	claim := c.claimsByID[reply.ClaimID]
	if claim == nil || !claim.expects(reply) {
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
	case changed && claim.rounds < maxRounds:
		claim.resetGrants(c.terms.Select(claim.replicas))
		c.sendRequests(claim, now)
	}
}

// recordQueryReply records whether the key is unclaimed at one of the claim's replicas, by its index
// in claim.replicas.
func (c *Coordinator) recordQueryReply(claim *pendingClaim, replica int, status ReplyStatus, now float64) {
	claim.unclaimed[replica] = status == ReplyUnclaimed
	if countTrue(claim.unclaimed) >= c.placement.Quorum {
		c.applyEvent(claim, eventUnblocked, now)
	}
}

// recordGrant records that one of the claim's replicas granted it.
func (c *Coordinator) recordGrant(claim *pendingClaim, replica int, now float64) {
	claim.granted[replica] = true
	if countTrue(claim.granted) >= c.placement.Quorum {
		c.applyEvent(claim, eventQuorum, now)
	}
}

// recordConflict records which attempt, nil if there is none, blocks the claim at one of its replicas.
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

// resolveByRecord ends a claim if a replica's record shows that the key ran, and reports
// whether it did.
func (c *Coordinator) resolveByRecord(claim *pendingClaim, record *replicastore.Record, now float64) bool {
	if finished := record.FinishedAttempt(); finished != nil {
		if finished.Result != nil {
			claim.attempt.Result = finished.Result
			c.applyEvent(claim, eventResultKnown, now)
			return true
		}
		claim.sawOtherClaim = true // the result was dropped there; another replica may have it
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
