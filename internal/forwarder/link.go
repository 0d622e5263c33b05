package forwarder

import (
	"log/slog"

	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/wire/rpc"
)

// link is the way to one worker: connections that follow one another.
type link struct {
	worker     Worker
	dispatcher *Dispatcher

	// What follows belongs to the dispatcher's owner.

	connection *connection                // nil if there is none
	isDraining bool                       // the worker wants no new request on this connection
	lastNumber uint64                     // of a message, over all connections
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

// sendCancel tells the worker that nobody waits for a message's answer any more. If there is no room
// the worker learns it from the message's deadline.
func (l *link) sendCancel(number uint64) {
	if l.connection != nil {
		l.connection.enqueue(rpc.AppendCancel(nil, number))
	}
}

// drain sends no new request on the connection, whose worker asked for that. It is closed once all
// requests on it are answered, and another one is dialled.
func (l *link) drain(now float64) {
	if l.connection != nil && !l.isDraining {
		l.isDraining = true
		l.dispatcher.router.SetConnected(now, l.worker.Name, false)
		l.closeIfDrained()
	}
}

func (l *link) closeIfDrained() {
	if l.isDraining && l.connection != nil && len(l.inFlight) == 0 {
		l.connection.close() // maintain sees it end
	}
}

// handleConnected takes a new connection of a link into use.
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
		d.retryOrSettle(now, p, routing.ConnectionLost, 0)
	}
}
