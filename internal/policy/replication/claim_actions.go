package replication

import (
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/replicastore"
)

// applyEvent makes the transition of a claim on an event and runs the transition's action.
func (c *Coordinator) applyEvent(claim *pendingClaim, event claimEvent, now float64) {
	for _, transition := range transitions {
		if transition.from != claim.phase || transition.event != event {
			continue
		}
		claim.phase = transition.to
		if transition.action != nil {
			transition.action(c, claim, now)
		}
		if claim.phase == phaseDone {
			delete(c.claimsByRequest, claim.requestID)
			delete(c.claimsByID, claim.attempt.ClaimID)
		}
		return
	}
}

// beginAttempt requests the claim from the replicas under a new ClaimID.
func (c *Coordinator) beginAttempt(claim *pendingClaim, now float64) {
	delete(c.claimsByID, claim.attempt.ClaimID)
	c.lastSequence++
	claim.attempt = replicastore.Attempt{ClaimID: replicastore.ClaimID{
		UnixMilli:   int64(c.unixTime() * 1000),
		Incarnation: c.incarnation,
		Sequence:    c.lastSequence,
	}}
	c.claimsByID[claim.attempt.ClaimID] = claim
	claim.quorumDeadline = max(claim.quorumDeadline, min(claim.deadline, now+minQuorumWaitSeconds))
	claim.resetGrants(c.terms.Select(claim.replicas))
	c.sendRequests(claim, now)
}

// addOutcome adds the outcome of a claim to the list that TakeOutcomes returns.
func (c *Coordinator) addOutcome(claim *pendingClaim, verdict serving.ClaimVerdict, now float64) {
	c.outcomes = append(c.outcomes, Outcome{
		RequestID: claim.requestID,
		Verdict:   verdict,
		Result:    claim.attempt.Result,
		Latency:   now - claim.startedAt,
	})
}

func (c *Coordinator) notifyGranted(claim *pendingClaim, now float64) {
	c.latencies.Current(now).Add(now - claim.startedAt)
	c.addOutcome(claim, serving.ClaimGranted, now)
}

func (c *Coordinator) notifyResultKnown(claim *pendingClaim, now float64) {
	c.addOutcome(claim, serving.ClaimCached, now)
}

func (c *Coordinator) notifyOutcomeUnknown(claim *pendingClaim, now float64) {
	c.addOutcome(claim, serving.ClaimOutcomeUnknown, now)
}

// withdraw reports to the replicas that the request of a claim did not run and will not, so that
// they refuse a ClaimRequest that arrives later.
func (c *Coordinator) withdraw(claim *pendingClaim, now float64) {
	withdrawn := replicastore.Attempt{ClaimID: claim.attempt.ClaimID, State: replicastore.StateWithdrawn}
	c.reports.start(claim, withdrawn, now)
}

func (c *Coordinator) withdrawWithResult(claim *pendingClaim, now float64) {
	c.withdraw(claim, now)
	c.notifyResultKnown(claim, now)
}

func (c *Coordinator) withdrawOutcomeUnknown(claim *pendingClaim, now float64) {
	c.withdraw(claim, now)
	c.notifyOutcomeUnknown(claim, now)
}

// withdrawTimedOut ends a claim that reached no quorum in time. If a replica reported another claim
// of the key, the verdict is ClaimOutcomeUnknown, because the request of that claim may have run.
func (c *Coordinator) withdrawTimedOut(claim *pendingClaim, now float64) {
	c.withdraw(claim, now)
	if claim.sawOtherClaim {
		c.notifyOutcomeUnknown(claim, now)
		return
	}
	c.addOutcome(claim, serving.ClaimNoQuorum, now)
}

func (c *Coordinator) reportRunEnd(claim *pendingClaim, now float64) {
	c.reports.start(claim, claim.attempt, now)
}
