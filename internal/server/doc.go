// Package server runs a server's event loop.
//
// One gnet event loop owns the admission controller, all tables and every connection, those that
// the server dials included; there are no locks. What becomes ready in a turn is read into one
// batch of events, the controller decides once, its actions are carried out in order, and each
// connection is written once. The package has mechanics only: what is admitted, dispatched,
// rejected or closed is decided by packages admission and connlimit.
//
// # Who may call
//
// New, the Enable and Report methods and Run belong to the goroutine that starts the server; Enable
// and Report methods come before Run. Every other exported method may be called from any goroutine:
// it hands its values to the loop, and says in its comment whether it waits. The gnet callbacks
// (OnTick, OnOpen, OnTraffic, OnClose) are for gnet alone.
//
// Two things run outside of the loop: the acceptor, a goroutine that accepts connections and
// decides nothing but when to wait, and a goroutine for each dial. Both reach the loop's state only
// by handing it a function or a connection.
//
// # Parts
//
//   - server.go, loop.go, turn.go: the server, gnet's callbacks, one turn of the loop
//   - conn.go: a connection and what waits to be written on it
//   - accept.go, accept_rate.go, refuse.go: accepting connections, and refusing those over the rate
//     or without a descriptor
//   - client.go, client_state.go, graceful.go, evict.go, connlimit.go: clients' connections
//   - request.go, respond.go, execute.go: a request from its message to its answer
//   - dial.go, executor.go, upstream.go, upstream_call.go, registry.go: what the server dials
//   - sweep.go: what is dropped at each interval
//   - drain.go: the end of a server
//   - directive.go, quota.go, claims.go, counters.go, trust.go, forwarding.go: what a fleet adds;
//     without one none of it is reached
//   - statistics.go: the counters of the log
//
// All times are float64 seconds on the server's clock (Server.Now), as in the decision core.
package server
