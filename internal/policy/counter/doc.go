// Package counter adds up what all servers of a fleet counted: how many requests of each tenant and
// class arrived, and how they ended. Each request counts once, whatever messages are lost, late or
// duplicated, and whoever dies; docs/shared.md has the argument.
//
// What a server counted since its start is a row, which only grows. Its Reporter reports the row to
// the aggregators, the fleet's voters, under sequence numbers that grow by one, and takes the next
// number only once a majority of the aggregators has acknowledged the last. So a row whose server
// is gone ended in one of two states, both of which the server knows, should it still live. Such a
// row is closed: added, once, to the totals in the voters' replicated log, under the highest number
// that a majority of the aggregators knows. Each of them accepts no more of the row from then on.
// So the rows that are kept are bounded by the number of running servers, however many have come
// and gone.
//
// The package does no I/O, reads no clock and starts no goroutine. A Reporter and an Aggregator
// belong to one goroutine, the node agent's (package fleet), which passes the time in seconds of
// its clock.
package counter
