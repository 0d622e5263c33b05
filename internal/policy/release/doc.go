// Package release holds the replicated log of releases: which version of the fleet's settings is in
// force, which one is being rolled out in waves, and which servers belong to the fleet.
//
// Log is a deterministic state machine. A majority of voters commits commands in one order (see
// package consensus), and each copy of the log applies them with Log.Apply, its only change. The
// invariants: two copies that applied the same commands are equal; an epoch never names two
// versions; and the epoch on which one server has to act never decreases. The package has no I/O,
// clock, randomness or goroutines, so a Log must not be changed while another goroutine reads it:
// whoever applies a command does so on a Clone and publishes the clone.
//
// The consensus voter applies commands; the fleet's lease grantor asks for them; everybody else
// reads.
package release
