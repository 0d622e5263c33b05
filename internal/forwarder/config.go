package forwarder

import (
	"hash/crc32"

	"swiftcourse/admission"
	"swiftcourse/internal/forwarding"
)

// Worker is a server to which requests may be forwarded.
type Worker struct{ Name, Addr string }

// Config configures a Dispatcher.
type Config struct {
	Workers          []Worker
	Classes          []admission.Class
	MaxQueuedBytes   int64   // limit on the messages queued for each worker
	Seed             int64   // for random choices; see SeedFor
	SlowStartSpeed   float64 // fraction of its speed at which a worker starts; see routing.Router.SetSlowStart
	SlowStartSeconds float64 // until a worker has reached its full speed; 0 for no slow start

	// Now returns the server's clock in Unix seconds. It never decreases.
	Now func() float64
	// OnResults receives the results of requests, on the event loop's goroutine. It must not wait
	// for the dispatcher.
	OnResults func([]forwarding.Result)
	// OnWorkerAvailable is called once, on its own goroutine, when the first worker connects.
	OnWorkerAvailable func()
}

// SeedFor derives a forwarder's random seed from its name and the common seed, so that forwarders
// do not all make the same random choices.
func SeedFor(name string, seed int64) int64 {
	return seed ^ int64(crc32.ChecksumIEEE([]byte(name)))
}
