// Package lease decides which servers of a fleet may act: each server holds a lease that the leader
// grants, and one name belongs to one incarnation at a time.
//
// A Holder is a server's own side. It sends a Request to the leader, takes the Reply, and knows by
// itself when its lease ends. A Grantor is the leader's side: it keeps the lease table, answers
// requests, and proposes the commands that change the release log (registration of names, ejection
// and readmission of lagging servers, the advance or rollback of a release).
//
// Invariants:
//   - At no time do two incarnations of one name hold a lease.
//   - No server holds a lease while the release log lists it as ejected.
//   - At most Config.MaxUnavailable of the fleet goes out of service for want of a leader.
//
// A lease runs from the moment of its request by the holder's clock, so neither network delay nor a
// clock offset makes it longer than the grantor assumes. Only a clock that runs slower can, and the
// grantor allows for that with maxClockDrift.
//
// The package performs no I/O and reads no clock: every call takes the time in seconds of the
// caller's monotonic clock. Neither type is safe for concurrent use; the fleet's node agent owns
// both and is their only caller.
package lease
