package fleet

import (
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/serving"
)

// The methods of this file are for the serving loop. None of them blocks.

// Claim asks for the right to run a request that bears an idempotency key;
// ReplicationConfig.OnVerdict is called within timeout seconds. It returns false if nothing more
// can be claimed: the request did not run.
func (n *Node) Claim(id, class, key string, timeout float64) bool {
	return n.enqueueClaim(ClaimEvent{ID: id, Class: class, Key: key, Timeout: timeout})
}

// ReleaseClaim reports that a request for which Claim was called never ran, and never will.
func (n *Node) ReleaseClaim(id string) { n.enqueueClaim(ClaimEvent{ID: id, Canceled: true}) }

// CompleteClaim reports how a request ended whose claim was granted, and that ran.
func (n *Node) CompleteClaim(id string, succeeded bool, result []byte) {
	n.enqueueClaim(ClaimEvent{ID: id, Finished: true, Succeeded: succeeded, Result: result})
}

// UnreportedClaims returns how many claim events are not handled yet, and how many reports of ended
// requests the replicas have not recorded yet.
func (n *Node) UnreportedClaims() int { return int(n.claimBacklog.Load()) }

// enqueueClaim queues an event for the agent. One that finds no room is lost: a request that was
// claimed then counts as one that may have run.
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

// ReportTrusted reports the clients that this server's connection limiter trusts. A list without
// room is dropped, as a newer one comes soon.
func (n *Node) ReportTrusted(clients []connlimit.TrustedClient) {
	select {
	case n.trustedClients <- clients:
	default:
	}
}

// ReportUsage reports what the serving loop used of quotas. A list without room is dropped, as a
// newer one comes soon.
func (n *Node) ReportUsage(usage []Usage) {
	select {
	case n.usage <- usage:
	default:
	}
}

// ReportCalls reports the outcomes of the serving loop's calls. Without room they are not counted.
func (n *Node) ReportCalls(calls serving.CallStats) {
	select {
	case n.callStats <- calls:
	default:
	}
}

// ReportCounts reports what the serving loop counted. It returns false if there is no room, and the
// loop has to report it again.
func (n *Node) ReportCounts(cells []serving.CounterCell) bool {
	select {
	case n.requestCounts <- cells:
		return true
	default:
		return false
	}
}
