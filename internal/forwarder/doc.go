// Package forwarder sends a server's requests to workers and returns their results.
//
// The event loop of a Dispatcher is one goroutine. It alone uses the dispatcher's state: the
// router, the links to the workers and the requests in flight. Everything reaches it as an event.
// The methods of a Dispatcher may be called from any goroutine and do not wait for room in the queue
// of events; only TakeReport waits, up to reportTimeout, for its reply. Each link has a goroutine
// that dials and reads, and each connection one that writes.
//
// A request passes through Dispatch, sendToWorker, the link's connection, the worker, a
// responseEvent, complete and Config.OnResults. An attempt that ends without a result may be
// followed by another one, as package routing decides. Each request that was dispatched has exactly
// one result, at the latest shortly after its deadline.
package forwarder
