package replication

import (
	"slices"

	"swiftcourse/internal/replicastore"
)

const (
	// maxPendingReports bounds the reports that are being sent.
	maxPendingReports = 4096
	// A report is resent every reportRetryIntervalSeconds to the replicas that have not recorded
	// it, until reportLifetimeSeconds has passed. After that those replicas get it from others by
	// checksum comparison.
	reportRetryIntervalSeconds = 0.1
	reportLifetimeSeconds      = 5.0
)

// pendingReport is a report of a claim's outcome that not all of its replicas have recorded yet.
// Times are in seconds.
type pendingReport struct {
	key        replicastore.Key
	attempt    replicastore.Attempt
	replicas   []int   // member indexes
	recorded   []bool  // by position in replicas: whether the replica has recorded the report
	retryAt    float64 // when the report is sent again
	expiresAt  float64 // when the report is no longer sent
	replicated bool    // a quorum has recorded the report
}

// reporter sends reports until all their replicas have recorded them.
type reporter struct {
	placement *Placement
	terms     TermTable
	outbox    *outbox
	byClaim   map[replicastore.ClaimID]*pendingReport
	pending   []*pendingReport // oldest first

	replicatedResults   int // results recorded by a quorum
	unreplicatedResults int // results not recorded by a quorum in time
}

// start begins to report the outcome of a claim. If maxPendingReports are being sent, the oldest
// is removed; replicas that have not recorded it treat its claim as one that may have run.
func (r *reporter) start(claim *pendingClaim, attempt replicastore.Attempt, now float64) {
	if len(r.pending) >= maxPendingReports {
		r.remove(r.pending[0])
	}
	report := &pendingReport{
		key:       claim.key,
		attempt:   attempt,
		replicas:  claim.replicas,
		recorded:  make([]bool, len(claim.replicas)),
		expiresAt: now + reportLifetimeSeconds,
	}
	r.byClaim[attempt.ClaimID] = report
	r.pending = append(r.pending, report)
	r.send(report, now)
}

// send sends a report to the replicas that have not recorded it.
func (r *reporter) send(report *pendingReport, now float64) {
	report.retryAt = now + reportRetryIntervalSeconds
	for i, member := range report.replicas {
		if report.recorded[i] {
			continue
		}
		r.outbox.add(Envelope{To: member, Claim: &ClaimRequest{
			ConfigDigest: r.placement.ConfigDigest,
			Operation:    OpReport,
			Key:          report.key,
			Attempt:      report.attempt,
			Terms:        r.terms.Select(report.replicas),
		}})
	}
}

// handleReply handles the reply of member from to a report.
func (r *reporter) handleReply(from int, reply *ClaimReply) {
	report := r.byClaim[reply.ClaimID]
	if report == nil || reply.Status != ReplyRecorded && reply.Status != ReplyFull {
		return
	}
	replica := slices.Index(report.replicas, from)
	if replica < 0 {
		return
	}
	r.terms.Observe(report.replicas, reply.Terms)
	report.recorded[replica] = reply.Status == ReplyRecorded
	count := countTrue(report.recorded)
	if count >= r.placement.Quorum && !report.replicated {
		report.replicated = true
		if report.attempt.State == replicastore.StateFinished {
			r.replicatedResults++
		}
	}
	if count == len(report.replicas) {
		r.remove(report)
	}
}

// remove stops sending a report and counts its result if no quorum recorded it.
func (r *reporter) remove(removed *pendingReport) {
	if !removed.replicated && removed.attempt.State == replicastore.StateFinished {
		r.unreplicatedResults++
	}
	delete(r.byClaim, removed.attempt.ClaimID)
	r.pending = slices.DeleteFunc(r.pending, func(other *pendingReport) bool { return other == removed })
}

// maintain resends the reports that are due and removes those whose lifetime is over.
func (r *reporter) maintain(now float64) {
	for _, report := range slices.Clone(r.pending) {
		switch {
		case now >= report.expiresAt:
			r.remove(report)
		case now >= report.retryAt:
			r.send(report, now)
		}
	}
}

// nextWakeup returns when maintain must next be called, in seconds.
func (r *reporter) nextWakeup() float64 {
	next := never
	for _, report := range r.pending {
		next = min(next, report.retryAt)
	}
	return next
}
