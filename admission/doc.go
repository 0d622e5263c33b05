// Package admission decides, inside one server, which requests run, wait in the queue, call a
// downstream dependency, or are rejected. It does no I/O, reads no clock and starts no goroutine:
// its input is batches of events, each with the time of the batch, and its output is the actions
// to carry out.
//
// # Mechanism
//
// The mechanism follows the article "Deadline propagation across service hops without losing
// context"; see docs/design.md. On arrival, a client's remaining budget is converted to an absolute
// hard deadline, which only a drain may move. A request with less time left than the learned
// minimum service time of its class is rejected before it runs. Each downstream call gets the time
// that is left, less a safety margin. The remaining decisions enforce the limits of the deployment
// (concurrency, memory, calls, quotas, drains), or are exceptions to the design, which
// docs/design.md lists with their reasons.
//
// # Use
//
// New returns the controller of one server. Decide handles the events of one batch, in order, and
// returns the actions to carry out, in order; the returned slice is valid until the next call. The
// same seed, settings and events always give exactly the same actions.
//
// A Controller owns all of its state and is not safe for concurrent use: it must be called only by
// the event loop that created it. Times are seconds of the caller's clock and memory is kilobytes,
// both as floating-point numbers.
//
// # Files
//
// settings.go, event.go and action.go are the interface. The decisions, in the order in which a
// request meets them, are in controller.go (the batch), lifecycle.go (the transition table),
// admit.go (arrival, deadlines and rejection), queue.go (the order of the queue and load shedding),
// downstream.go (calls, retries, backoff), capacity.go (limits on concurrency, slow start),
// memory.go (memory and the key table), quota.go (quotas of tenants), estimate.go (learned service
// times), arrivals.go (arrival statistics), progress.go (health), backpressure.go (Retry-After and
// load report), connections.go (idle connections), drain.go, timer.go and random.go.
//
// # Terms
//
//   - Remaining budget: how long the client will still wait for its response.
//   - Degraded: a request that continues without its downstream call, for a response of less value.
//   - Coalesced: a request that waits for the result of the request that it repeats.
//   - Key table: the requests whose repeats are recognized.
//   - Run: the work of the server on a request. Its run time counts the time on a core or waiting
//     for one; it excludes downstream calls and waiting for them.
//   - Lost call: an attempt of a downstream call that ended in any way but successfully.
//   - Abandoned call: a call that the server stopped waiting for, while the dependency may still
//     work on it.
//   - Unread: a request that has reached the machine but was not read by the server yet.
//   - Tick: the periodic refresh of estimates and limits.
package admission
