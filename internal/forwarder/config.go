package forwarder

import (
	"hash/crc32"

	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
)

// Worker is a server that requests may be sent to.
type Worker struct{ Name, Addr string }

// Config configures a Dispatcher.
type Config struct {
	Workers          []Worker
	Classes          []admission.Class
	Seed             int64
	SlowStartSpeed   float64 // initial speed of a worker, see routing.Router.SetSlowStart
	SlowStartSeconds float64

	// Now returns the server's clock: Unix seconds that never go back.
	Now func() float64
	// OnResults receives the results of requests. It must not wait for the dispatcher.
	OnResults func([]forwarding.Result)
	// OnWorkerAvailable is called once, on a goroutine of its own, when the first worker is connected.
	OnWorkerAvailable func()
}

// SeedFor derives a forwarder's seed from its name and the common seed, so that two forwarders draw
// different random numbers.
func SeedFor(name string, seed int64) int64 {
	return seed ^ int64(crc32.ChecksumIEEE([]byte(name)))
}
