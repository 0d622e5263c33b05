package routing

import (
	"encoding/binary"
	"hash/crc32"

	"swiftcourse/internal/policy/workercapacity"
)

// maxWorkers bounds the number of workers of a router.
const maxWorkers = 4096

// Router holds the routing state of a forwarder: its workers, plan and retry budget.
type Router struct {
	seed           uint64
	draws          uint64 // number of random numbers drawn so far
	workers        []*worker
	byName         map[string]*worker
	averageLatency float64 // moving average over attempts at all workers, in seconds
	plan           planLifetime
	slowStart      slowStart
	retries        retryBudget

	cumulativeWeights []float64 // by index in workers; buffer reused by Pick
}

// New returns a router without workers. The seed determines its random numbers; forwarders should use
// different seeds.
func New(seed uint64) *Router {
	return &Router{
		seed:           seed,
		byName:         map[string]*worker{},
		averageLatency: initialLatencySeconds,
		slowStart:      slowStart{initialSpeed: 1},
		retries:        retryBudget{tokens: maxRetryTokens},
	}
}

// AddWorker adds a worker that is not connected. It does nothing if a worker has that name already or
// if there are maxWorkers.
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
		capacity:    workercapacity.MinRequestsPerSecond,
	}
	r.workers = append(r.workers, added)
	r.byName[name] = added
}

// SetConnected records whether a worker is connected.
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

// ConnectedWorkers returns the number of connected workers.
func (r *Router) ConnectedWorkers() int {
	count := 0
	for _, w := range r.workers {
		if w.breaker.state != disconnected {
			count++
		}
	}
	return count
}

// random returns the next pseudorandom number in [0, 1).
func (r *Router) random() float64 {
	r.draws++
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], r.seed)
	binary.LittleEndian.PutUint64(input[8:], r.draws)
	return float64(crc32.ChecksumIEEE(input[:])) / (1 << 32)
}
