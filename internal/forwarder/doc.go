// Package forwarder sends a server's requests to workers and returns their results.
//
// One goroutine owns all state of a Dispatcher: the router that decides, the links to the workers
// and the requests in flight. Everything reaches it as an event. The methods of a Dispatcher may be
// called from any goroutine and do not make the server's loop wait. Besides, each link has a
// goroutine that dials and reads, and each connection one that writes.
//
// A request's way: Dispatch, place, the link's connection, the worker, an answerEvent, settle,
// Config.OnResults. An attempt that ends without a result may be followed by another one, as package
// routing decides. Each request that was dispatched has exactly one result, at the latest shortly
// after its deadline.
package forwarder
