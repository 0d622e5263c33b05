// Package replication decides which requests that bear an idempotency key may run.
//
// Each key has a fixed group of replicas. Before a server runs a request, its Coordinator
// claims the key at the replicas; a quorum of grants lets the request run. The outcome of the
// run is reported to all replicas, so that a repeat gets the result or is rejected. The
// invariant is that no key runs twice within the retention window; docs/replication.md
// has the argument.
//
// Replicas keep their records in memory only. A Replica that restarts, or finds a record
// corrupted, begins a new Term: grants of earlier terms no longer count, and it answers for
// a slot only after it has caught up from enough other replicas. Replicas compare checksums
// and repair what differs; Merge gives the same record in whatever order copies arrive.
//
// The package also merges the trust records of clients that servers send one another
// (TrustTable).
//
// All types are free of I/O, clocks, goroutines and chance: the caller passes the time, in
// seconds, delivers messages to the Handle methods, calls Maintain at NextWakeup, and sends
// what TakeOutbox returns. Each server's Coordinator and Replica belong to the one goroutine
// of its node agent and share one TermTable.
package replication
