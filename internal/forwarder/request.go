package forwarder

import (
	"container/heap"

	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/timewindow"
)

// maxPendingRequests limits the requests without a result.
const maxPendingRequests = 16384

// pendingRequest is a request that has no result yet.
type pendingRequest struct {
	request      forwarding.Request
	deadline     float64
	triedWorkers []string // worker names, one for each attempt
	heapIndex    int      // in Dispatcher.deadlines

	// The attempt in flight.

	link           *link // nil if no attempt is in flight
	messageNumber  uint64
	attemptStarted float64
}

// accept adds a new request to the pending ones and sends it to a worker. It rejects the request if
// its ID is already pending, or if maxPendingRequests are pending.
func (d *Dispatcher) accept(now float64, request *forwarding.Request) {
	d.stats.dispatched++
	if d.pending[request.ID] != nil || len(d.pending) >= maxPendingRequests {
		d.results = append(d.results, forwarding.Result{ID: request.ID, Outcome: admission.Rejected})
		return
	}
	p := &pendingRequest{request: *request, deadline: now + request.RemainingSeconds}
	d.pending[request.ID] = p
	heap.Push(&d.deadlines, p)
	d.sendToWorker(now, p, 0)
}

// sendToWorker sends a request to a worker, or rejects it if no worker is available. retryAfter is
// the value from the worker that rejected the previous attempt, 0 if there is none.
func (d *Dispatcher) sendToWorker(now float64, p *pendingRequest, retryAfter float64) {
	for {
		name, nextAvailable := d.router.Pick(now, d.isIdempotent(p), p.triedWorkers...)
		if name == "" {
			d.reject(p, max(retryAfter, nextAvailable))
			return
		}
		if d.startAttempt(now, p, d.links[name]) {
			return
		}
		d.finishAttempt(now, p, routing.NotSent, 0)
		if !d.allowRetry(now, p, routing.NotSent) {
			d.reject(p, 0)
			return
		}
	}
}

// startAttempt sends a request over a link. It returns false if the link could not queue the
// request; the caller then has to finish the attempt.
func (d *Dispatcher) startAttempt(now float64, p *pendingRequest, l *link) bool {
	p.triedWorkers = append(p.triedWorkers, l.worker.Name)
	p.link = l
	p.attemptStarted = now
	d.router.StartAttempt(l.worker.Name, len(p.triedWorkers))

	message := p.request.Message
	message.ArrivedAt = now
	message.Timeout = p.deadline - now
	message.NoTimeout = false
	p.messageNumber = l.send(p, &message)
	return p.messageNumber > 0
}

// finishAttempt records the outcome of the attempt in flight. It has no effect if there is none.
func (d *Dispatcher) finishAttempt(now float64, p *pendingRequest, outcome routing.Outcome, retryAfter float64) {
	l := p.link
	if l == nil {
		return
	}
	d.router.FinishAttempt(now, l.worker.Name, outcome, now-p.attemptStarted, retryAfter)
	delete(l.inFlight, p.messageNumber)
	p.link = nil
	l.closeIfDrained()
}

// handleFinished completes a request with the worker's result.
func (d *Dispatcher) handleFinished(now float64, p *pendingRequest, body []byte) {
	latency := now - p.attemptStarted
	d.finishAttempt(now, p, routing.Finished, 0)
	d.latencies[p.request.Class].Current(now).Add(latency)
	d.stats.finished++
	d.complete(p, forwarding.Result{Outcome: admission.Finished, Body: body})
}

// abort completes a request that was cancelled or has timed out, and cancels it at its worker.
func (d *Dispatcher) abort(now float64, p *pendingRequest, outcome routing.Outcome) {
	if p.link != nil {
		p.link.sendCancel(p.messageNumber)
	}
	d.finishAttempt(now, p, outcome, 0)
	d.complete(p, forwarding.Result{Outcome: admission.Cancelled})
}

// retryOrComplete retries a request at another worker after an attempt with this outcome, or
// completes the request if it may not be retried.
func (d *Dispatcher) retryOrComplete(now float64, p *pendingRequest, outcome routing.Outcome, retryAfter float64) {
	switch {
	case d.allowRetry(now, p, outcome):
		d.stats.retries++
		d.sendToWorker(now, p, retryAfter)
	case outcome.KnownNotExecuted():
		d.reject(p, retryAfter)
	default:
		d.stats.connectionLost++
		d.complete(p, forwarding.Result{Outcome: admission.Failed})
	}
}

// allowRetry reports whether the router allows another attempt after one with this outcome. If so,
// the router charges the attempt to its retry budget.
func (d *Dispatcher) allowRetry(now float64, p *pendingRequest, outcome routing.Outcome) bool {
	return d.router.AllowRetry(routing.RetryCandidate{
		LastOutcome:           outcome,
		Attempts:              len(p.triedWorkers),
		IsIdempotent:          d.isIdempotent(p),
		RemainingSeconds:      p.deadline - now,
		TypicalLatencySeconds: d.typicalLatency(now, p.request.Class),
	})
}

// reject completes a request that no worker accepted.
func (d *Dispatcher) reject(p *pendingRequest, retryAfter float64) {
	d.stats.rejected++
	d.complete(p, forwarding.Result{Outcome: admission.Rejected, RetryAfterSeconds: retryAfter})
}

// complete removes a request and queues its result, after setting the result's ID and duration.
func (d *Dispatcher) complete(p *pendingRequest, result forwarding.Result) {
	delete(d.pending, p.request.ID)
	heap.Remove(&d.deadlines, p.heapIndex)
	result.ID = p.request.ID
	result.Seconds = d.config.Now() - (p.deadline - p.request.RemainingSeconds)
	d.results = append(d.results, result)
}

func (d *Dispatcher) isIdempotent(p *pendingRequest) bool {
	return d.config.Classes[p.request.Class].Idempotency == admission.Idempotent
}

// typicalLatency returns the median latency of a class's finished attempts, in seconds.
func (d *Dispatcher) typicalLatency(now float64, class int) float64 {
	var all timewindow.Histogram
	d.latencies[class].ForEach(now, all.Merge)
	return all.Median()
}
