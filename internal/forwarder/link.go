package forwarder

import (
	"log/slog"

	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/wire/rpc"
)

// link maintains the connection to one worker, and reconnects when it ends.
type link struct {
	worker     Worker
	dispatcher *Dispatcher

	// The fields below are accessed only by the dispatcher's event loop.

	connection *connection                // nil while not connected
	isDraining bool                       // the worker asked for no new requests on this connection
	lastNumber uint64                     // number of the last message, across all connections
	inFlight   map[uint64]*pendingRequest // by message number
}

func newLink(d *Dispatcher, worker Worker) *link {
	return &link{worker: worker, dispatcher: d, inFlight: map[uint64]*pendingRequest{}}
}

// send sends a request and returns its message number. It returns 0, without sending anything, if
// the link is disconnected or draining, or if the connection's queue is full.
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

// sendCancel tells the worker that the response to a message is no longer needed. If the queue is
// full the cancellation is dropped, and the worker continues until the message's deadline.
func (l *link) sendCancel(number uint64) {
	if l.connection != nil {
		l.connection.enqueue(rpc.AppendCancel(nil, number))
	}
}

// drain handles the worker's request to stop sending new requests on the connection. The connection
// is closed once no request on it is in flight; keepConnected then opens a new one.
func (l *link) drain(now float64) {
	if l.connection != nil && !l.isDraining {
		l.isDraining = true
		l.dispatcher.router.SetConnected(now, l.worker.Name, false)
		l.closeIfDrained()
	}
}

// closeIfDrained closes the connection if it is draining and has no request in flight.
func (l *link) closeIfDrained() {
	if l.isDraining && l.connection != nil && len(l.inFlight) == 0 {
		l.connection.close() // makes read return
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

// handleDisconnected finishes the attempts in flight on a connection that ended. Their requests may
// have been executed.
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
