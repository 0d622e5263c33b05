// Package quota divides a fleet-wide limit among the servers of the fleet. The sum of what the
// servers may use never exceeds the limit, whichever servers are partitioned, slow, stopped or
// restarted and however late messages arrive.
//
// A fraction of each limit is reserved for floors: every server may always use an equal share of
// it, even without contact to any other server. The rest of the limit is the pool. The leader of
// the voters (Grantor) leases shares of the pool to servers (Holder). A lease runs from the moment
// at which the holder sent its request, by the holder's clock. The grantor counts a leased share
// as committed until the holder reports that it applies a later grant, or until the lease has
// expired even by the slowest clock allowed. docs/shared.md explains why this is safe.
//
// The package does no I/O, reads no clock and starts no goroutine. A Grantor and a Holder belong to
// one goroutine, the node agent's (package fleet), which passes the time in seconds of its
// monotonic clock.
package quota
