// Package consensus is one voter's part in committing the commands of the fleet's release log, on
// the raft core of etcd.
//
// A Voter has no I/O, clock or goroutines. One goroutine owns it: it passes in received messages
// (Voter.HandleMessage) and the time (Voter.Tick), and takes out the messages to send
// (Voter.TakeOutbox) and the results of committed commands (Voter.TakeResults). Times are seconds of
// the owner's monotonic clock. Random numbers follow from a seed, so that a run can be replayed.
//
// The raft log is in memory only. A process that ends loses it, so it must not vote again under the
// identity it had: every start, and every departure from a group, draws a new incarnation, which is
// the voter's ID in raft. A group replaces an incarnation that has ended by the new one of the same
// name. If a majority of a group's incarnations has ended, the group can never commit again; once
// all named voters are heard and none is in a group, the first by name bootstraps a new group from
// the newest release log that any of them knows. Cluster IDs order the groups.
//
// The invariants: no incarnation is ever in two groups; of one cluster ID and raft term there is at
// most one leader; and a release log changes only by commands that a majority of its group
// committed, or by a bootstrap.
package consensus
