// Package serving defines the values that the node agent (package fleet) and the server loop, which
// handles the requests, exchange: the serving directive, the allowances of shared quotas, the
// verdicts on idempotency keys, and the counters that the loop reports.
//
// It is the lowest layer of the policy packages and imports none of them. A server that runs
// without a fleet therefore links none of their code.
//
// A Directive and a list of Allowance values are immutable once they are published. The node agent
// builds a new value for every change, and the loop swaps the pointer. The loop evaluates them by
// its own clock, so an allowance or a mode ends on time even if the node agent has stopped. Only
// VersionStats is modified while several goroutines use it, and its fields are atomic.
package serving
