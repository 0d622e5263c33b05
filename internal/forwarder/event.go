package forwarder

import (
	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

// event is an input to the event loop of a Dispatcher.
type event interface {
	// handle applies the event to the dispatcher's state. Only the event loop calls it.
	handle(d *Dispatcher, now float64)
}

// dispatchEvent carries a new request.
type dispatchEvent struct{ request forwarding.Request }

func (e dispatchEvent) handle(d *Dispatcher, now float64) { d.accept(now, &e.request) }

// cancelEvent reports that a request's client no longer waits.
type cancelEvent struct{ id string }

func (e cancelEvent) handle(d *Dispatcher, now float64) {
	if p := d.pending[e.id]; p != nil {
		d.abort(now, p, routing.Cancelled)
	}
}

// planEvent carries the weights of a load plan.
type planEvent struct {
	weights    map[string]float64
	freshUntil float64
}

func (e planEvent) handle(d *Dispatcher, now float64) {
	d.router.ApplyPlan(now, e.weights, e.freshUntil)
}

// demandEvent carries the counts of requests that the server received.
type demandEvent struct{ received []serving.CounterCell }

func (e demandEvent) handle(d *Dispatcher, _ float64) {
	for _, cell := range e.received {
		d.demand[cell.Tenant] += float64(cell.Received)
	}
}

// reportEvent requests a report for load planning.
type reportEvent struct{ reply chan<- *loadplan.Report }

func (e reportEvent) handle(d *Dispatcher, now float64) { e.reply <- d.takeReport(now) }

// connectedEvent carries a new connection to a worker.
type connectedEvent struct {
	link       *link
	connection *connection
}

func (e connectedEvent) handle(d *Dispatcher, now float64) {
	d.handleConnected(now, e.link, e.connection)
}

// disconnectedEvent reports that a link's connection ended.
type disconnectedEvent struct{ link *link }

func (e disconnectedEvent) handle(d *Dispatcher, now float64) { d.handleDisconnected(now, e.link) }

// responseEvent carries a worker's response.
type responseEvent struct {
	link     *link
	response rpc.Response
}

func (e responseEvent) handle(d *Dispatcher, now float64) {
	if e.response.Kind == rpc.ResponseGoAway {
		e.link.drain(now)
		return
	}
	p := e.link.inFlight[e.response.Number]
	if p == nil {
		return // the attempt has already ended, or the number is unknown
	}
	switch e.response.Kind {
	case rpc.ResponseFinished:
		d.handleFinished(now, p, e.response.Result)
	case rpc.ResponseRejected:
		retryAfter := e.response.Metadata.RetryAfter
		d.finishAttempt(now, p, routing.Rejected, retryAfter)
		d.retryOrComplete(now, p, routing.Rejected, retryAfter)
	case rpc.ResponseFailed:
		d.finishAttempt(now, p, routing.Failed, 0)
		d.stats.failed++
		d.complete(p, forwarding.Result{Outcome: admission.Failed})
	}
}
