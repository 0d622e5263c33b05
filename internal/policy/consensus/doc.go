// Package consensus implements one voter of the group that commits the commands of the fleet's
// release log. It uses the raft core of etcd.
//
// A Voter has no I/O, clock or goroutines. One goroutine owns it: it passes in received messages
// (Voter.HandleMessage) and the time (Voter.Tick), and takes out the messages to send
// (Voter.TakeOutbox) and the results of committed commands (Voter.TakeResults). Times are seconds
// of the owner's monotonic clock. Random numbers are generated from a seed, so that a run can be
// replayed.
//
// The raft log is kept in memory only. A process that ends loses its log, so it must not vote again
// with the same raft ID. Therefore the raft ID is the voter's incarnation, which is drawn anew at
// every start and whenever the voter leaves a group. A group replaces an incarnation that has ended
// by the new incarnation of the same name.
//
// If a majority of a group's incarnations has ended, the group can never commit again. Once all
// configured voters send heartbeats and all are detached (in no group), the voter whose name sorts
// first bootstraps a new group from the newest release log that any of them has. A later group has a
// higher cluster ID.
//
// Invariants:
//   - No incarnation is ever in two groups.
//   - Each pair of cluster ID and raft term has at most one leader.
//   - A release log changes only by commands that a majority of its group committed, or by a
//     bootstrap.
package consensus
