// Package counter adds up what all servers of a fleet counted: how many requests of each tenant and class
// arrived, and how they ended. Each request counts once, whatever messages are lost, late or duplicated,
// and whoever dies; docs/shared.md has the argument.
//
// What a server counted since its start is a row, which only grows. Its Reporter reports the row to the
// aggregators, the fleet's voters, under sequence numbers that grow by one, and takes the next number only
// once most aggregators have acknowledged the last. So a row whose server is gone ended in one of two
// states, both of which the server knows, should it still live. Such a row is closed: added, once, to the
// totals in the voters' replicated log, under the highest number that most aggregators know of. Each of
// them accepts no more of the row from then on. So what is kept is bounded by the servers that are there,
// though names come and go for ever.
//
// The package does no I/O, reads no clock and starts no goroutine. A Reporter and an Aggregator belong to
// one goroutine, the node agent's (package fleet), which passes the time in seconds of its clock.
package counter
