package routing

import (
	"encoding/binary"
	"hash/crc32"

	"swiftcourse/internal/policy/workercapacity"
)

// maxWorkers bounds the workers of a router.
const maxWorkers = 4096

// Router is a forwarder's table of workers.
type Router struct {
	seed      uint64
	draws     uint64 // random numbers drawn so far
	workers   []*worker
	byName    map[string]*worker
	latency   float64 // moving average of attempts at any worker
	plan      planPeriod
	slowStart slowStart
	retries   retryBudget

	cumulativeWeights []float64 // of the workers, reused by Pick
}

// New returns a router that has no workers. Routers with different seeds draw differently.
func New(seed uint64) *Router {
	return &Router{
		seed:      seed,
		byName:    map[string]*worker{},
		latency:   initialLatency,
		slowStart: slowStart{initialSpeed: 1},
		retries:   retryBudget{tokens: maxRetryTokens},
	}
}

// AddWorker adds a worker that is not connected. It ignores a name that it has already,
// and any name once there are maxWorkers.
func (r *Router) AddWorker(now float64, name string) {
	if r.byName[name] != nil || len(r.workers) >= maxWorkers {
		return
	}
	added := &worker{
		name:        name,
		breaker:     newCircuitBreaker(),
		penalty:     decayingPenalty{updatedAt: now},
		planWeight:  1,
		localWeight: 1,
		capacity:    workercapacity.Min,
	}
	r.workers = append(r.workers, added)
	r.byName[name] = added
}

// SetConnected records whether there is a connection to a worker.
func (r *Router) SetConnected(now float64, name string, isConnected bool) {
	w := r.byName[name]
	if w == nil {
		return
	}
	if !isConnected {
		w.breaker.disconnect()
		return
	}
	if w.breaker.state == disconnected {
		w.connectedAt = now
	}
	w.breaker.connect()
}

// ConnectedWorkers returns the number of workers that there is a connection to.
func (r *Router) ConnectedWorkers() int {
	count := 0
	for _, w := range r.workers {
		if w.breaker.state != disconnected {
			count++
		}
	}
	return count
}

// random returns the next random number, from 0 up to but not including 1.
func (r *Router) random() float64 {
	r.draws++
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], r.seed)
	binary.LittleEndian.PutUint64(input[8:], r.draws)
	return float64(crc32.ChecksumIEEE(input[:])) / (1 << 32)
}
