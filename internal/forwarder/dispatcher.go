package forwarder

import (
	"time"

	"swiftcourse/internal/forwarding"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/routing"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/timewindow"
)

const (
	// maxQueuedEvents bounds the events that wait for the event loop. A request for which there is
	// no room is not dispatched.
	maxQueuedEvents = 8192
	// reportTimeout bounds how long TakeReport waits for the event loop.
	reportTimeout = 200 * time.Millisecond
	// latencyWindows and latencyWindowSeconds are the sliding window in which the typical latency
	// is measured.
	latencyWindows       = 8
	latencyWindowSeconds = 1
)

// Dispatcher distributes a server's requests over workers.
type Dispatcher struct {
	config Config
	events chan event
	stop   chan struct{}

	// What follows belongs to the event loop.

	router          *routing.Router
	links           map[string]*link // by worker name
	pending         map[string]*pendingRequest
	deadlines       deadlineHeap
	latencies       []*timewindow.Buckets[timewindow.Histogram] // by class, of finished attempts
	demand          map[string]float64                          // requests by tenant since the last report
	results         []forwarding.Result                         // to be returned after this batch of events
	stats           stats
	workerAvailable bool // a worker has been connected

	lastReport   float64
	lastStats    float64
	lastLearning float64
}

// Start returns a dispatcher and begins to dial all workers.
func Start(config Config) *Dispatcher {
	now := config.Now()
	dispatcher := &Dispatcher{
		config:       config,
		events:       make(chan event, maxQueuedEvents),
		stop:         make(chan struct{}),
		router:       routing.New(uint64(config.Seed)),
		links:        map[string]*link{},
		pending:      map[string]*pendingRequest{},
		demand:       map[string]float64{},
		lastReport:   now,
		lastStats:    now,
		lastLearning: now,
	}
	dispatcher.router.SetSlowStart(config.SlowStartSpeed, config.SlowStartSeconds)
	for range config.Classes {
		latencies := timewindow.NewBuckets[timewindow.Histogram](latencyWindows, latencyWindowSeconds, now)
		dispatcher.latencies = append(dispatcher.latencies, latencies)
	}
	for _, worker := range config.Workers {
		dispatcher.router.AddWorker(now, worker.Name)
		l := newLink(dispatcher, worker)
		dispatcher.links[worker.Name] = l
		go l.keepConnected()
	}
	go dispatcher.run()
	return dispatcher
}

// Stop ends the dispatcher. Requests in flight are not returned.
func (d *Dispatcher) Stop() { close(d.stop) }

// Dispatch takes a request. It returns false if there is no room: the request was not sent then.
func (d *Dispatcher) Dispatch(request forwarding.Request) bool {
	return d.tryPost(dispatchEvent{request: request})
}

// Cancel ends a request whose client no longer waits. If there is no room for the event the
// request's deadline ends it.
func (d *Dispatcher) Cancel(id string) { d.tryPost(cancelEvent{id: id}) }

// ApplyPlan hands the weights of a load plan to the router. The freshUntil is by Config.Now. If
// there is no room for the event they are dropped: the next plan comes soon.
func (d *Dispatcher) ApplyPlan(weights map[string]float64, freshUntil float64) {
	d.tryPost(planEvent{weights: weights, freshUntil: freshUntil})
}

// RecordDemand adds the requests that the server received, also those that it rejected itself, to
// the next report. If there is no room for the event that report shows less demand.
func (d *Dispatcher) RecordDemand(received []serving.CounterCell) {
	d.tryPost(demandEvent{received: received})
}

// TakeReport returns the report on the time since the last one, without the fields that a
// loadplan.Subscriber sets. It returns nil if the event loop is busy.
func (d *Dispatcher) TakeReport() *loadplan.Report {
	reply := make(chan *loadplan.Report, 1)
	if !d.tryPost(reportEvent{reply: reply}) {
		return nil
	}
	select {
	case report := <-reply:
		return report
	case <-time.After(reportTimeout):
		return nil
	}
}

// tryPost queues an event for the event loop, and reports whether there was room.
func (d *Dispatcher) tryPost(e event) bool {
	select {
	case d.events <- e:
		return true
	default:
		return false
	}
}

// post queues an event for the event loop and waits for room. It returns false if the
// dispatcher stopped.
func (d *Dispatcher) post(e event) bool {
	select {
	case d.events <- e:
		return true
	case <-d.stop:
		return false
	}
}
