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
	// maxQueuedEvents limits the events queued for the event loop. A request is not dispatched
	// while the queue is full.
	maxQueuedEvents = 8192
	// reportTimeout limits how long TakeReport waits for the event loop.
	reportTimeout = 200 * time.Millisecond
	// The typical latency is measured in a sliding window of latencyWindows buckets of
	// latencyWindowSeconds each.
	latencyWindows       = 8
	latencyWindowSeconds = 1
)

// Dispatcher distributes a server's requests over workers.
type Dispatcher struct {
	config Config
	events chan event
	stop   chan struct{}

	// The fields below are accessed only by the event loop.

	router          *routing.Router
	links           map[string]*link // by worker name
	pending         map[string]*pendingRequest
	deadlines       deadlineHeap
	latencies       []*timewindow.Buckets[timewindow.Histogram] // by class, of finished attempts
	demand          map[string]float64                          // requests by tenant since the last report
	results         []forwarding.Result                         // passed to Config.OnResults after this batch of events
	stats           stats
	workerAvailable bool // whether any worker has ever connected

	// Times of the last report, log line of statistics and estimate of capacities.

	lastReport           float64
	lastStats            float64
	lastCapacityEstimate float64
}

// Start starts a dispatcher, which begins to connect to all workers.
func Start(config Config) *Dispatcher {
	now := config.Now()
	dispatcher := &Dispatcher{
		config:               config,
		events:               make(chan event, maxQueuedEvents),
		stop:                 make(chan struct{}),
		router:               routing.New(uint64(config.Seed)),
		links:                map[string]*link{},
		pending:              map[string]*pendingRequest{},
		demand:               map[string]float64{},
		lastReport:           now,
		lastStats:            now,
		lastCapacityEstimate: now,
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

// Stop ends the dispatcher. Requests in flight get no result.
func (d *Dispatcher) Stop() { close(d.stop) }

// Dispatch queues a request for dispatch. It returns false if the queue is full; the request was
// then not sent.
func (d *Dispatcher) Dispatch(request forwarding.Request) bool {
	return d.tryPost(dispatchEvent{request: request})
}

// Cancel cancels a request whose client no longer waits. If the event queue is full, the request
// runs until its deadline.
func (d *Dispatcher) Cancel(id string) { d.tryPost(cancelEvent{id: id}) }

// ApplyPlan passes the weights of a load plan to the router. freshUntil is a time of Config.Now.
// If the event queue is full the plan is dropped, as the next one follows soon.
func (d *Dispatcher) ApplyPlan(weights map[string]float64, freshUntil float64) {
	d.tryPost(planEvent{weights: weights, freshUntil: freshUntil})
}

// RecordDemand adds the requests that the server received, including those that it rejected itself,
// to the next report. If the event queue is full they are missing from the report.
func (d *Dispatcher) RecordDemand(received []serving.CounterCell) {
	d.tryPost(demandEvent{received: received})
}

// TakeReport returns the report on the period since the previous one, without the fields that a
// loadplan.Subscriber sets. It returns nil if the event queue is full or the event loop does not
// reply within reportTimeout.
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

// tryPost queues an event for the event loop. It returns false, without blocking, if the queue is
// full.
func (d *Dispatcher) tryPost(e event) bool {
	select {
	case d.events <- e:
		return true
	default:
		return false
	}
}

// post queues an event for the event loop, and blocks while the queue is full. It returns false if
// the dispatcher stopped.
func (d *Dispatcher) post(e event) bool {
	select {
	case d.events <- e:
		return true
	case <-d.stop:
		return false
	}
}
