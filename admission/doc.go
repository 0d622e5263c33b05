// Package admission decides, inside one server, which requests run, wait in the queue, call a
// downstream dependency, or are rejected. It does no I/O, reads no clock and starts no goroutine:
// what happened comes in as events with the time of the batch, and what to do goes out as actions.
//
// # Mechanism
//
// The mechanism follows the article "Deadline propagation across service hops without losing
// context"; see docs/design.md. A client's remaining budget becomes an absolute hard deadline on
// arrival, which only a drain may move. A request with less time left than the learned minimum
// service time of its class is rejected before it runs. Each downstream call gets the time that is
// left, less a safety margin. All else keeps the limits of a deployment (concurrency, memory,
// calls, quotas, drains), or is an exception that docs/design.md lists with its reason.
//
// # Use
//
// New makes the controller of one server. Decide takes the events of one batch, in order, and
// returns the actions to carry out, in order; the returned slice is valid until the next call. The
// same seed, settings and events always give the same actions, to the last digit.
//
// A Controller owns all of its state and is not safe for concurrent use: the one event loop that
// made it calls it. Times are seconds of the caller's clock and memory is kilobytes, both as
// floating-point numbers.
//
// # Files
//
// settings.go, event.go and action.go are the interface. The decisions follow a request:
// controller.go (the batch), lifecycle.go (the state table), admit.go (arrival, deadlines and
// rejection), queue.go (the order of the queue and load shedding), downstream.go (calls, retries,
// backoff), capacity.go (limits on concurrency, slow start), memory.go (memory and the key table),
// quota.go (quotas of tenants), estimate.go (learned service times), arrivals.go (learned of arrivals),
// progress.go (health), backpressure.go (Retry-After and load report), connections.go (idle
// connections), drain.go, timer.go and random.go.
//
// # Terms
//
// A budget is the time that a client still waits. A downstream call is degraded when its request goes
// on without it, for a response of less value. A request is coalesced when it waits for the result of
// the request that it repeats. The key table holds the requests whose repeats are recognized. A run is
// the work of the server on a request, and its time on the cores excludes calls. A tick is the periodic
// refresh of estimates and limits.
package admission
