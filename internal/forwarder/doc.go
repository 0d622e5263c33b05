// Package forwarder sends a server's requests to workers and returns their results.
//
// The event loop of a Dispatcher is one goroutine. Only this goroutine accesses the dispatcher's
// state: the router, the links to the workers and the requests in flight. Other goroutines send it
// events. The methods of a Dispatcher may be called from any goroutine and do not block when the
// event queue is full; only TakeReport waits for a reply, for at most reportTimeout. Each link has
// a goroutine that dials and reads, and each connection has a goroutine that writes.
//
// A request passes through Dispatch, sendToWorker, the link's connection, the worker, a
// responseEvent, complete and Config.OnResults. If an attempt ends without a result, package
// routing decides whether to retry the request at another worker. Unless the dispatcher is stopped,
// each dispatched request has exactly one result, at the latest shortly after deadlineGraceSeconds
// beyond its deadline.
package forwarder
