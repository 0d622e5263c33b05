// Package server runs a server's event loop.
//
// One gnet event loop owns the admission controller, all tables and every connection, including
// those that the server dials; there are no locks. In each turn, all input that is ready becomes
// one batch of events, the controller decides about the batch once, its actions are carried out in
// order, and each connection is written to once. The package makes no policy decisions: packages
// admission and connlimit decide what is admitted, dispatched, rejected or closed.
//
// # Concurrency
//
// The goroutine that starts the server calls New, then the Enable and Report methods, then Run.
// Every other exported method may be called from any goroutine, except where its comment excludes
// the loop's: it passes its arguments to the loop, and its comment says whether it waits. Only gnet
// calls the callbacks OnTick, OnOpen, OnTraffic and OnClose.
//
// Two kinds of goroutine run outside the loop: the acceptor, which accepts connections and refuses
// those over the rate limit, and one for each dial. They change the loop's state only by queueing a
// function or registering a connection on the loop.
//
// # Parts
//
//   - server.go, loop.go, turn.go: the server, gnet's callbacks, one turn of the loop
//   - conn.go: a connection and its pending output
//   - accept.go, accept_rate.go, refuse.go: accepting connections, and refusing those over the rate
//     or without a descriptor
//   - client.go, client_state.go, graceful.go, evict.go, connlimit.go: clients' connections
//   - request.go, respond.go, execute.go: a request from its message to its answer
//   - dial.go, executor.go, upstream.go, upstream_call.go, registry.go: connections that the server
//     dials
//   - sweep.go: periodic removal of expired results, idle connections and large backlogs
//   - drain.go: draining and exit
//   - directive.go, quota.go, claims.go, counters.go, trust.go, forwarding.go: features that only
//     servers of a fleet use
//   - statistics.go: the statistics in the log
//
// All times are float64 seconds on the server's clock (Server.Now), as in the decision core.
package server
