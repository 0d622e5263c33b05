package forwarder

import (
	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/wire/rpc"
)

// event is something that happened, for the owner of a Dispatcher.
type event interface {
	// handle changes the dispatcher's state. Only the owner calls it.
	handle(d *Dispatcher, now float64)
}

// dispatchEvent is a new request.
type dispatchEvent struct{ request forwarding.Request }

func (e dispatchEvent) handle(d *Dispatcher, now float64) { d.accept(now, &e.request) }

// cancelEvent is a request whose client no longer waits.
type cancelEvent struct{ id string }

func (e cancelEvent) handle(d *Dispatcher, now float64) {
	if p := d.pending[e.id]; p != nil {
		d.cancel(now, p, routing.Cancelled)
	}
}

// planEvent is a load plan's weights.
type planEvent struct {
	weights    map[string]float64
	freshUntil float64
}

func (e planEvent) handle(d *Dispatcher, now float64) {
	d.router.ApplyPlan(now, e.weights, e.freshUntil)
}

// demandEvent is requests that the server received.
type demandEvent struct{ received []serving.CounterCell }

func (e demandEvent) handle(d *Dispatcher, _ float64) {
	for _, cell := range e.received {
		d.demand[cell.Tenant] += float64(cell.Received)
	}
}

// reportEvent asks for a report.
type reportEvent struct{ reply chan<- *loadplan.Report }

func (e reportEvent) handle(d *Dispatcher, now float64) { e.reply <- d.takeReport(now) }

// connectionEvent is a connection to a worker that came up or ended.
type connectionEvent struct {
	link       *link
	connection *connection // nil if it ended
}

func (e connectionEvent) handle(d *Dispatcher, now float64) {
	if e.connection != nil {
		d.handleConnected(now, e.link, e.connection)
	} else {
		d.handleDisconnected(now, e.link)
	}
}

// answerEvent is a worker's answer.
type answerEvent struct {
	link   *link
	answer rpc.Response
}

func (e answerEvent) handle(d *Dispatcher, now float64) {
	if e.answer.Kind == rpc.ResponseGoAway {
		e.link.drain(now)
		return
	}
	p := e.link.inFlight[e.answer.Number]
	if p == nil {
		return // late, or unknown
	}
	switch e.answer.Kind {
	case rpc.ResponseFinished:
		d.handleFinished(now, p, e.answer.Result)
	case rpc.ResponseRejected:
		retryAfter := e.answer.Metadata.RetryAfter
		d.finishAttempt(now, p, routing.Rejected, retryAfter)
		d.retryOrSettle(now, p, routing.Rejected, retryAfter)
	case rpc.ResponseFailed:
		d.finishAttempt(now, p, routing.Failed, 0)
		d.stats.failed++
		d.settle(p, forwarding.Result{Outcome: admission.Failed})
	}
}
