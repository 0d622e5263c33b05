package replication

import (
	"slices"

	"swiftcourse/internal/replicastore"
)

// claimPhase is a state of the state machine of a claim.
type claimPhase uint8

const (
	phaseRequesting claimPhase = iota // the coordinator asks the replicas to grant the claim
	phaseWaiting                      // another claim takes precedence; the coordinator queries its outcome
	phaseGranted                      // a quorum granted the claim; the request may run
	phaseDone                         // the claim has ended
)

// claimEvent is an event that may change the phase of a claim.
type claimEvent uint8

const (
	eventQuorum      claimEvent = iota // a quorum of replicas granted the claim
	eventResultKnown                   // a replica returned the result of an earlier run
	eventRunFailed                     // a replica returned an earlier run that failed
	eventOutranked                     // another claim takes precedence
	eventUnblocked                     // a quorum reports that no claim blocks the key any more
	eventTimedOut                      // the claim was not granted, or the other claim not resolved, in time
	eventCanceled                      // the request ended before its run
	eventRunEnded                      // the request's run ended; the claim's attempt holds the outcome
)

// transitions is the state machine of a claim. An event that has no entry for the current phase is
// ignored.
var transitions = []struct {
	from   claimPhase
	event  claimEvent
	to     claimPhase
	action func(*Coordinator, *pendingClaim, float64) // nil for no action; the last argument is the time
}{
	{phaseRequesting, eventQuorum, phaseGranted, (*Coordinator).notifyGranted},
	{phaseRequesting, eventResultKnown, phaseDone, (*Coordinator).withdrawWithResult},
	{phaseRequesting, eventRunFailed, phaseDone, (*Coordinator).withdrawOutcomeUnknown},
	{phaseRequesting, eventOutranked, phaseWaiting, (*Coordinator).withdraw},
	{phaseRequesting, eventTimedOut, phaseDone, (*Coordinator).withdrawTimedOut},
	{phaseRequesting, eventCanceled, phaseDone, (*Coordinator).withdraw},
	{phaseWaiting, eventResultKnown, phaseDone, (*Coordinator).notifyResultKnown},
	{phaseWaiting, eventRunFailed, phaseDone, (*Coordinator).notifyOutcomeUnknown},
	{phaseWaiting, eventUnblocked, phaseRequesting, (*Coordinator).beginAttempt},
	{phaseWaiting, eventTimedOut, phaseDone, (*Coordinator).notifyOutcomeUnknown},
	{phaseWaiting, eventCanceled, phaseDone, nil},
	{phaseGranted, eventCanceled, phaseDone, (*Coordinator).withdraw},
	{phaseGranted, eventRunEnded, phaseDone, (*Coordinator).reportRunEnd},
}

// pendingClaim is the claim of one request for its key. Times are in seconds.
type pendingClaim struct {
	requestID      string
	key            replicastore.Key
	replicas       []int // member indexes, in ascending order
	phase          claimPhase
	attempt        replicastore.Attempt
	startedAt      float64
	deadline       float64 // when the request needs the outcome
	quorumDeadline float64 // when the claim fails if it has no quorum
	retryAt        float64 // when the next round of requests is sent
	rounds         int     // rounds of requests sent
	sawOtherClaim  bool    // a replica reported another claim of the key

	// One element for each replica, in the order of replicas.
	terms     []Term                 // the terms under which the grants count
	granted   []bool                 // the replica granted the claim
	unclaimed []bool                 // in phaseWaiting: no claim blocks the key at the replica
	blockedBy []replicastore.ClaimID // the claim that blocks this one at the replica
}

// resetGrants discards all replies received so far and counts grants under new terms.
func (p *pendingClaim) resetGrants(terms []Term) {
	p.terms = terms
	p.granted = make([]bool, len(p.replicas))
	p.unclaimed = make([]bool, len(p.replicas))
	p.blockedBy = make([]replicastore.ClaimID, len(p.replicas))
}

// expectsReply reports whether a reply answers a request that the claim sends in its current phase.
func (p *pendingClaim) expectsReply(reply *ClaimReply) bool {
	if p.key != reply.Key {
		return false
	}
	switch p.phase {
	case phaseWaiting:
		return reply.Operation == OpQuery
	case phaseGranted:
		return false
	default:
		return reply.Operation != OpQuery
	}
}

// blockedCount returns the number of replicas at which the other claim blocks this one.
func (p *pendingClaim) blockedCount(other replicastore.ClaimID) int {
	count := 0
	for _, id := range p.blockedBy {
		if id == other {
			count++
		}
	}
	return count
}

// outrankedBy reports whether the other claim, which blocks this one at a replica, takes precedence.
// The claim with the lower ClaimID takes precedence, so that one of two competing claims that each
// hold some grants reaches a quorum. A claim with a higher ClaimID takes precedence too if it blocks
// this one at so many replicas that a quorum is impossible, because its request may have run.
func (p *pendingClaim) outrankedBy(other replicastore.ClaimID, quorum int) bool {
	return other.Compare(p.attempt.ClaimID) < 0 || p.blockedCount(other) > len(p.replicas)-quorum
}

// sameTerms reports whether the claim counts grants under the given terms.
func (p *pendingClaim) sameTerms(terms []Term) bool { return slices.Equal(terms, p.terms) }

// countTrue returns the number of true values.
func countTrue(values []bool) int {
	count := 0
	for _, value := range values {
		if value {
			count++
		}
	}
	return count
}
