package forwarder

import (
	"log/slog"

	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/wire/rpc"
)

// link keeps a connection to one worker, and replaces it after it ended.
type link struct {
	worker     Worker
	dispatcher *Dispatcher

	// What follows belongs to the dispatcher's event loop.

	connection *connection                // nil if there is none
	isDraining bool                       // the worker wants no new request on this connection
	lastNumber uint64                     // of a message, across all connections
	inFlight   map[uint64]*pendingRequest // by message number
}

func newLink(d *Dispatcher, worker Worker) *link {
	return &link{worker: worker, dispatcher: d, inFlight: map[uint64]*pendingRequest{}}
}

// send sends a request and returns the number of its message. It returns 0 if there is no room:
// nothing was sent then.
func (l *link) send(p *pendingRequest, message *rpc.Message) uint64 {
	if l.connection == nil || l.isDraining {
		return 0
	}
	l.lastNumber++
	message.Number = l.lastNumber
	if !l.connection.enqueue(rpc.AppendRequest(nil, message)) {
		return 0
	}
	l.inFlight[l.lastNumber] = p
	return l.lastNumber
}

// sendCancel tells the worker that nobody waits for the response to a message any more. If there is
// no room the message's deadline ends it.
func (l *link) sendCancel(number uint64) {
	if l.connection != nil {
		l.connection.enqueue(rpc.AppendCancel(nil, number))
	}
}

// drain stops sending new requests on the connection, as its worker asked. The connection is closed
// once all requests on it are answered; keepConnected then dials another one.
func (l *link) drain(now float64) {
	if l.connection != nil && !l.isDraining {
		l.isDraining = true
		l.dispatcher.router.SetConnected(now, l.worker.Name, false)
		l.closeIfDrained()
	}
}

// closeIfDrained closes a connection that is draining and has no request in flight.
func (l *link) closeIfDrained() {
	if l.isDraining && l.connection != nil && len(l.inFlight) == 0 {
		l.connection.close() // read returns then
	}
}

// handleConnected makes a new connection the link's current one.
func (d *Dispatcher) handleConnected(now float64, l *link, c *connection) {
	l.connection = c
	l.isDraining = false
	d.router.SetConnected(now, l.worker.Name, true)
	slog.Info("worker_connected", "worker", l.worker.Name, "addr", l.worker.Addr)
	if !d.workerAvailable {
		d.workerAvailable = true
		go d.config.OnWorkerAvailable()
	}
}

// handleDisconnected ends the attempts on a connection that ended: their requests may have been
// executed.
func (d *Dispatcher) handleDisconnected(now float64, l *link) {
	l.connection = nil
	l.isDraining = false
	d.router.SetConnected(now, l.worker.Name, false)
	slog.Info("worker_disconnected", "worker", l.worker.Name, "in_flight", len(l.inFlight))
	lost := l.inFlight
	l.inFlight = map[uint64]*pendingRequest{}
	for _, p := range lost {
		d.finishAttempt(now, p, routing.ConnectionLost, 0)
		d.retryOrComplete(now, p, routing.ConnectionLost, 0)
	}
}
