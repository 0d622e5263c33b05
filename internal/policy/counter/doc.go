// Package counter adds up the request counts of all servers of a fleet: how many requests of each
// tenant and class arrived, and how they ended. Each request counts once, whichever messages are
// lost, late or duplicated and whichever processes fail. docs/shared.md explains why.
//
// The counts of a server since its start form a row, in which counts only grow. The server's
// Reporter reports the row to the aggregators, which run in the fleet's voters, under consecutive
// sequence numbers. It takes the next number only after a majority of the aggregators has
// acknowledged the last one. The row of a server that is gone is closed: a majority of the
// aggregators freezes the row, so that they acknowledge no higher number of it, and the leader adds
// it once to the totals in the voters' replicated log, under the highest number that this majority
// has. That is one of the last two numbers that the server took. The server keeps the row's content
// under both, so if it still runs, it knows which of its counts are in the totals and reports the
// others in a new row. Closing bounds the number of open rows by the number of running servers,
// however many servers have started and stopped.
//
// The package does no I/O, reads no clock and starts no goroutine. A Reporter and an Aggregator
// belong to one goroutine, the node agent's (package fleet), which passes the time in seconds of
// its clock.
package counter
