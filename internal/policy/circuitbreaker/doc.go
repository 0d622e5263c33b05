// Package circuitbreaker decides how many calls a server may have in flight to a service that the whole
// fleet calls, by what became of the calls of this server and by what other servers report of theirs.
//
// Own evidence comes first: a server with enough calls of its own goes by them alone, so that a service
// which fails for one part of the fleet isn't taken for failed by all. With fewer it goes by the servers'
// reports, each of which has one vote however many calls it tells of: one that lies, or whose own link is
// bad, can neither open the breaker nor keep it closed. A server that hears nothing goes by its own calls.
//
// An open breaker lets a few servers of all that there are send a probe each second. A service that is
// back gets its calls in steps.
//
// The package does no I/O, reads no clock and starts no goroutine. A Breaker belongs to one goroutine, the
// node agent's (package fleet), which passes the time in seconds of its clock.
package circuitbreaker
