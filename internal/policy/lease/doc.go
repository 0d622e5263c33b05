// Package lease decides which servers of a fleet may serve requests. Each server needs a lease from
// the leader, and each name belongs to one incarnation (one run of a server process) at a time.
//
// A Holder is the server's side of a lease. It makes the requests to the leader, handles the
// replies, and ends its lease by the server's own clock. A Grantor is the leader's side: it keeps
// the lease table, answers requests, and proposes the commands that change the release log
// (registration of names, ejection and readmission of lagging servers, advance or rollback of a
// release).
//
// An epoch is the number of a configuration version in the release log. The active epoch of a
// server is the version that it runs; its assigned epoch is the version that the leader wants it to
// run. A server whose active epoch differs from its assigned epoch is lagging.
//
// A permit, MayGoOutOfService in the messages, allows a server to go out of service when its lease
// expires because it can't reach a leader. A server without a permit keeps serving in its fallback
// mode, or with the safe defaults if that mode is out of service.
//
// Invariants:
//   - At no time do two incarnations of one name hold a lease.
//   - No server holds a lease while the release log lists it as ejected.
//   - At most the fraction Config.MaxUnavailableFraction of the fleet goes out of service because no leader
//     is reachable.
//
// A lease starts when the holder makes the request, by the holder's clock, so neither network delay
// nor a clock offset makes it longer than the grantor assumes. Only a holder's clock that runs
// slower than the grantor's can, and the grantor allows for that with maxClockDriftFraction.
//
// The package performs no I/O and reads no clock: every call takes the time in seconds of the
// caller's monotonic clock. Neither type is safe for concurrent use; the node agent (package fleet)
// owns both and is their only caller.
package lease
