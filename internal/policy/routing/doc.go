// Package routing chooses, in a forwarder, the worker for a request, decides whether a request that
// came back may be retried at another worker, and ejects workers that lose requests.
//
// A worker's weight comes from the load plan while that is fresh. While the plan ages the weight
// moves gradually to the one that the forwarder learned from its own attempts, so a forwarder
// keeps routing when plans stop, and its weights do not change abruptly. Of two workers drawn by
// weight the request goes to the one with the lower expected latency. A circuit breaker for each
// worker ejects it after several lost attempts in a row, and lets one request at a time probe it
// after that.
//
// Invariants: no request goes to a worker that is disconnected or ejected, or whose Retry-After has
// not passed; and retries stay within a budget that only first attempts fill.
//
// The package has no I/O, no clock and no goroutine; it draws random numbers from a hash of a seed
// and a counter. A Router belongs to the goroutine of the forwarder's dispatcher. Times and
// durations are float seconds by the caller's clock.
package routing
