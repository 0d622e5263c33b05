package forwarder

import (
	"container/heap"

	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/timewindow"
)

// maxPending bounds the requests that have no result yet.
const maxPending = 16384

// pendingRequest is a request that has no result yet.
type pendingRequest struct {
	request   forwarding.Request
	deadline  float64
	tried     []string // workers, one for each attempt
	heapIndex int      // in Dispatcher.deadlines

	// The attempt in flight.

	link           *link // nil if there is none
	messageNumber  uint64
	attemptStarted float64
}

// accept makes a new request pending and sends it to a worker. It rejects a request whose ID is
// pending already, and any once there are maxPending.
func (d *Dispatcher) accept(now float64, request *forwarding.Request) {
	d.stats.dispatched++
	if d.pending[request.ID] != nil || len(d.pending) >= maxPending {
		d.results = append(d.results, forwarding.Result{ID: request.ID, Outcome: admission.Rejected})
		return
	}
	p := &pendingRequest{request: *request, deadline: now + request.RemainingSeconds}
	d.pending[request.ID] = p
	heap.Push(&d.deadlines, p)
	d.sendToWorker(now, p, 0)
}

// sendToWorker sends a request to a worker, or rejects it if none may have it. The retryAfter
// is that of the worker that rejected it before, 0 if there is none.
func (d *Dispatcher) sendToWorker(now float64, p *pendingRequest, retryAfter float64) {
	for {
		name, nextAvailable := d.router.Pick(now, d.isIdempotent(p), p.tried...)
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

// startAttempt sends a request over a link. If that has no room it returns false, and the caller has
// to finish the attempt.
func (d *Dispatcher) startAttempt(now float64, p *pendingRequest, l *link) bool {
	p.tried = append(p.tried, l.worker.Name)
	p.link = l
	p.attemptStarted = now
	d.router.StartAttempt(l.worker.Name, len(p.tried))

	message := p.request.Message
	message.ArrivedAt = now
	message.Timeout = p.deadline - now
	message.NoTimeout = false
	p.messageNumber = l.send(p, &message)
	return p.messageNumber > 0
}

// finishAttempt records how the attempt in flight ended.
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

// handleFinished returns a worker's result.
func (d *Dispatcher) handleFinished(now float64, p *pendingRequest, body []byte) {
	latency := now - p.attemptStarted
	d.finishAttempt(now, p, routing.Finished, 0)
	d.latencies[p.request.Class].Current(now).Add(latency)
	d.stats.finished++
	d.complete(p, forwarding.Result{Outcome: admission.Finished, Body: body})
}

// abort ends a request that nobody waits for any more, at its worker too.
func (d *Dispatcher) abort(now float64, p *pendingRequest, outcome routing.Outcome) {
	if p.link != nil {
		p.link.sendCancel(p.messageNumber)
	}
	d.finishAttempt(now, p, outcome, 0)
	d.complete(p, forwarding.Result{Outcome: admission.Cancelled})
}

// retryOrComplete sends a request to another worker after an attempt that had this outcome, or
// completes it if it may not be retried.
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

// allowRetry reports whether the router allows another attempt after one with this outcome.
func (d *Dispatcher) allowRetry(now float64, p *pendingRequest, outcome routing.Outcome) bool {
	return d.router.AllowRetry(routing.RetryCandidate{
		LastOutcome:    outcome,
		Attempts:       len(p.tried),
		IsIdempotent:   d.isIdempotent(p),
		Remaining:      p.deadline - now,
		TypicalLatency: d.typicalLatency(now, p.request.Class),
	})
}

// reject returns a request that no worker took.
func (d *Dispatcher) reject(p *pendingRequest, retryAfter float64) {
	d.stats.rejected++
	d.complete(p, forwarding.Result{Outcome: admission.Rejected, RetryAfterSeconds: retryAfter})
}

// complete ends a request with a result, of which it sets the ID and the duration.
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
