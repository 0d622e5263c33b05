// Package circuitbreaker decides how many calls a server may have in flight to a service that the whole
// fleet calls, by the results of its own calls and by the reports of other servers about theirs.
//
// Own calls come first: a server that made enough of them decides by them alone, so that a service which
// fails for one part of the fleet only is not cut off from the rest. With fewer, it takes the median of the
// reports, each of which has one vote however many calls it counts: a single server that reports falsely, or
// whose own link is bad, can neither open the breaker nor keep it closed. A server without reports decides by
// its own calls.
//
// While breakers are open, a few servers of each zone send a probe each second. After a recovery the calls
// return in steps.
//
// The package does no I/O, reads no clock and starts no goroutine. A Breaker belongs to one goroutine, the
// node agent's (package fleet), which passes the time in seconds of its clock.
package circuitbreaker
