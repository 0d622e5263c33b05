// Package serving defines the values that pass between the fleet node agent and the server loop:
// the mode in which the server handles requests, its allowances of shared quotas, the verdicts on
// idempotency keys, and the counters that the loop reports back.
//
// It is the lowest layer of the policy packages and imports none of them, so a server that runs
// without a fleet links none of their code.
//
// A Directive and a list of Allowance are immutable once they are published: the node agent builds
// a new value for every change and the loop swaps the pointer. The loop evaluates them by its own
// clock, so an allowance or a mode ends on time even if the node agent has stopped. Only
// VersionStats is shared between goroutines, and its fields are atomic.
package serving
