// Package circuitbreaker limits how many calls a server may have in flight to a service that the
// whole fleet calls. It decides by the results of the server's own calls and by other servers'
// reports of theirs.
//
// A server that made enough calls of its own decides by these alone, so a service that fails only
// for one part of the fleet is not cut off from the rest. With fewer calls, it takes the median of
// the reports. Each report has one vote, however many calls it counts. A single server with false
// reports or a bad link can therefore neither open the breaker nor keep it closed. A server that
// receives no reports decides by its own calls.
//
// While breakers are open, a few servers of each zone send one probe a second. After a recovery,
// the limit on calls in flight is raised in steps.
//
// The package does no I/O, reads no clock and starts no goroutine. A Breaker belongs to one
// goroutine, the node agent's (package fleet), which passes the time in seconds of its clock.
package circuitbreaker
