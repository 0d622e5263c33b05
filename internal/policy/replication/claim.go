package replication

import (
	"slices"

	"swiftcourse/internal/replicastore"
)

// claimPhase is a claim's place in its life cycle.
type claimPhase uint8

const (
	phaseRequesting claimPhase = iota // replicas are asked to grant the claim
	phaseWaiting                      // another claim of the key takes precedence; its outcome is awaited
	phaseGranted                      // the request may run
	phaseDone
)

// claimEvent is what changes a claim's phase.
type claimEvent uint8

const (
	eventQuorum      claimEvent = iota // a quorum of replicas granted the claim
	eventResultKnown                   // an earlier run's result was found
	eventRunFailed                     // an earlier run was found that has no result
	eventOutranked                     // another claim takes precedence
	eventUnblocked                     // no other claim blocks the key any more
	eventTimedOut                      // the time to be granted is over
	eventCanceled                      // the request ended before it ran
	eventRunEnded                      // the request's run ended; the claim's attempt has its result
)

// transitions is the state machine of a claim. An event without a row for the claim's phase
// changes nothing.
var transitions = []struct {
	from   claimPhase
	on     claimEvent
	to     claimPhase
	action func(*Coordinator, *pendingClaim, float64) // nil for none; the last argument is now
}{
	{phaseRequesting, eventQuorum, phaseGranted, (*Coordinator).notifyGranted},
	{phaseRequesting, eventResultKnown, phaseDone, (*Coordinator).withdrawWithResult},
	{phaseRequesting, eventRunFailed, phaseDone, (*Coordinator).withdrawMayHaveRun},
	{phaseRequesting, eventOutranked, phaseWaiting, (*Coordinator).withdraw},
	{phaseRequesting, eventTimedOut, phaseDone, (*Coordinator).withdrawTimedOut},
	{phaseRequesting, eventCanceled, phaseDone, (*Coordinator).withdraw},
	{phaseWaiting, eventResultKnown, phaseDone, (*Coordinator).notifyResultKnown},
	{phaseWaiting, eventRunFailed, phaseDone, (*Coordinator).notifyMayHaveRun},
	{phaseWaiting, eventUnblocked, phaseRequesting, (*Coordinator).beginAttempt},
	{phaseWaiting, eventTimedOut, phaseDone, (*Coordinator).notifyMayHaveRun},
	{phaseWaiting, eventCanceled, phaseDone, nil},
	{phaseGranted, eventCanceled, phaseDone, (*Coordinator).withdraw},
	{phaseGranted, eventRunEnded, phaseDone, (*Coordinator).reportRunEnd},
}

// pendingClaim is one request's claim of its key. Times are in seconds.
type pendingClaim struct {
	requestID     string
	key           replicastore.Key
	replicas      []int // member indexes, in the placement's order
	phase         claimPhase
	attempt       replicastore.Attempt
	startedAt     float64
	deadline      float64 // when the outcome must be known
	giveUpAt      float64 // when requesting ends without a quorum
	retryAt       float64
	rounds        int  // of requests sent
	sawOtherClaim bool // another claim of the key was seen

	// By replica, in the order of replicas. Grants count only under terms.
	terms     []Term
	granted   []bool
	unclaimed []bool                 // in phaseWaiting: no claim blocks the key there
	blockedBy []replicastore.ClaimID // the claim that blocks this one there
}

// resetGrants discards what the replicas replied, to count grants under these terms.
func (p *pendingClaim) resetGrants(terms []Term) {
	p.terms = terms
	p.granted = make([]bool, len(p.replicas))
	p.unclaimed = make([]bool, len(p.replicas))
	p.blockedBy = make([]replicastore.ClaimID, len(p.replicas))
}

// expects reports whether a reply answers what the claim asks in its present phase.
func (p *pendingClaim) expects(reply *ClaimReply) bool {
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

// blockedCount returns the number of replicas at which another claim blocks this one.
func (p *pendingClaim) blockedCount(other replicastore.ClaimID) int {
	count := 0
	for _, id := range p.blockedBy {
		if id == other {
			count++
		}
	}
	return count
}

// outrankedBy reports whether another claim, by which a replica found this one blocked, takes
// precedence. The earlier claim does, so that one of two claims that each have grants of some
// replicas reaches a quorum. So does a later one that blocks this claim at so many replicas that
// no quorum is left: it may have run.
func (p *pendingClaim) outrankedBy(other replicastore.ClaimID, quorum int) bool {
	return other.Compare(p.attempt.ClaimID) < 0 || p.blockedCount(other) > len(p.replicas)-quorum
}

// sameTerms reports whether grants are counted under these terms.
func (p *pendingClaim) sameTerms(terms []Term) bool { return slices.Equal(terms, p.terms) }

// countTrue returns the number of values that are true.
func countTrue(values []bool) int {
	count := 0
	for _, value := range values {
		if value {
			count++
		}
	}
	return count
}
