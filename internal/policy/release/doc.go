// Package release holds the replicated log of releases: which version of the fleet's settings is in
// force, which one is being rolled out in waves, and which servers belong to the fleet.
//
// Log is a deterministic state machine. A majority of voters commits commands in one order (see
// package consensus), and each replica of the log applies them with Log.Apply.
//
// Invariants:
//   - Two replicas that applied the same commands are equal.
//   - An epoch never identifies two versions.
//   - The epoch that is assigned to a server never decreases.
//
// The package has no I/O, clock, randomness, goroutines or locks. A Log must not be changed while
// another goroutine reads it, so commands are applied to a Clone, which is then published.
//
// The consensus voter applies commands. Operators and the leader's agent, in particular its lease
// grantor, propose them. All other code only reads the log.
package release
