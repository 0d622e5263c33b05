// Package replication decides which requests with an idempotency key may run.
//
// Each key has a fixed group of replicas. Before a server runs a request, its Coordinator
// claims the key at the replicas. The request runs if a quorum of them grants the claim. The
// outcome of the run is reported to all replicas, so that a repeated request gets the result or
// is rejected. The invariant is that no key runs twice within the retention window;
// docs/replication.md explains why it holds.
//
// Replicas keep their records in memory only. A Replica that restarts or detects a corrupted
// record begins a new Term. Grants of earlier terms then no longer count, and the replica grants
// no claims and answers no queries in a slot until it has caught up on it from enough other
// replicas. Replicas compare checksums and repair records that differ. Merge is independent of
// the order in which copies arrive.
//
// TrustTable merges the lists of trusted clients that servers exchange.
//
// The types do no I/O, read no clock, start no goroutines and use no randomness. The caller
// passes the time in seconds, delivers messages to the Handle methods, calls Maintain at
// NextWakeup, and sends the messages that TakeOutbox returns. The Coordinator and Replica of a
// server are used by one goroutine, that of its node agent, and share one TermTable.
package replication
