// Package routing is the part of a forwarder that chooses the worker for a request, decides whether a
// request may be retried at another worker, and ejects workers that lose requests.
//
// A worker's weight is the one in the load plan while the plan is fresh. After that it moves
// gradually to a weight that the forwarder learned from its own attempts. So a forwarder keeps
// routing when plans stop, and its weights do not change abruptly. Pick draws two workers by weight
// and prefers the one with the lower expected latency. Each worker has a circuit breaker, which
// ejects it after several lost attempts in a row and then probes it with one request at a time.
//
// Invariants: no request goes to a worker that is disconnected or ejected, or before its Retry-After
// has passed; and retries stay within a budget that only first attempts fill.
//
// The package has no I/O, clock or goroutine; it derives random numbers from a hash of a seed and a
// counter. A Router belongs to the goroutine of the forwarder's dispatcher. Times are in seconds on
// the caller's clock, and durations are in seconds.
package routing
