// Package quota decides how a limit that holds for the whole fleet is shared among its servers, so that
// what all of them may use together never exceeds it, whatever is partitioned, late, stopped or restarted.
//
// A part of each limit, the floor, is set aside: every server has an even share of it at all times, with
// or without contact. The rest is the pool. The leader of the voters (Grantor) leases shares of the pool
// to servers (Holder). A lease runs from the moment at which its holder asked for it, by the holder's
// clock. The grantor counts a leased share as committed until the holder is known to go by a later one,
// or until the lease has surely expired by the slowest clock. docs/shared.md has the argument.
//
// The package does no I/O, reads no clock and starts no goroutine. A Grantor and a Holder belong to one
// goroutine, the node agent's (package fleet), which passes the time in seconds of its monotonic clock.
package quota
