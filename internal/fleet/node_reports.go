package fleet

import (
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/serving"
)

// The methods in this file are called by the serving loop. None of them blocks.

// Claim claims the right to run a request with an idempotency key. ReplicationConfig.OnVerdict is
// called with the verdict within timeout seconds. Claim returns false, and claims nothing, if the
// queue of claim events is full.
func (n *Node) Claim(id, class, key string, timeout float64) bool {
	return n.enqueueClaim(ClaimEvent{ID: id, Class: class, Key: key, TimeoutSeconds: timeout})
}

// CancelClaim reports that a request for which Claim was called has not run and will not run.
func (n *Node) CancelClaim(id string) { n.enqueueClaim(ClaimEvent{ID: id, Canceled: true}) }

// CompleteClaim reports the outcome of a request that ran after its claim was granted.
func (n *Node) CompleteClaim(id string, succeeded bool, result []byte) {
	n.enqueueClaim(ClaimEvent{ID: id, Finished: true, Succeeded: succeeded, Result: result})
}

// UnreportedClaims returns the number of claim events that the agent has not handled, plus the number
// of reports of completed requests that the replicas have not recorded.
func (n *Node) UnreportedClaims() int { return int(n.claimBacklog.Load()) }

// enqueueClaim queues an event for the agent. If the queue is full the event is lost; a request whose
// claim had been queued then counts as possibly executed.
func (n *Node) enqueueClaim(event ClaimEvent) bool {
	n.claimBacklog.Add(1)
	select {
	case n.claimEvents <- event:
		return true
	default:
		n.claimBacklog.Add(-1)
		n.dropped.Add(1)
		return false
	}
}

// ReportTrusted reports the clients that this server's connection limiter trusts. If the queue is
// full the list is dropped, as a newer one follows soon.
func (n *Node) ReportTrusted(clients []connlimit.TrustedClient) {
	select {
	case n.trustedClients <- clients:
	default:
	}
}

// ReportUsage reports the serving loop's usage of quotas. If the queue is full the list is dropped,
// as a newer one follows soon.
func (n *Node) ReportUsage(usage []Usage) {
	select {
	case n.usage <- usage:
	default:
	}
}

// ReportCalls reports the outcomes of the serving loop's calls to the downstream service. If the
// queue is full they are not counted.
func (n *Node) ReportCalls(calls serving.CallStats) {
	select {
	case n.callStats <- calls:
	default:
	}
}

// ReportCounts reports the serving loop's counts. It returns false if the queue is full; the serving
// loop then has to report them again.
func (n *Node) ReportCounts(cells []serving.CounterCell) bool {
	select {
	case n.requestCounts <- cells:
		return true
	default:
		return false
	}
}
