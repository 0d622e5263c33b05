package demo

import (
	"hash/crc32"
	"math/rand/v2"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/wire/simulator"
)

// class describes one of the two request classes.
type class struct {
	name                string
	requestShare        float64 // fraction of all requests
	meanCPUSeconds      float64 // of a run
	callsUpstream       bool
	softDeadlineSeconds float64
	hardDeadlineSeconds float64
	value               float64
}

var classes = []class{
	{
		name: "lookup", requestShare: 0.7, meanCPUSeconds: 0.010,
		softDeadlineSeconds: 0.5, hardDeadlineSeconds: 1.5, value: 1,
	},
	{
		name: "price", requestShare: 0.3, meanCPUSeconds: 0.040, callsUpstream: true,
		softDeadlineSeconds: 1.5, hardDeadlineSeconds: 4, value: 3,
	},
}

const (
	cores = 2
	seed  = 20261201
	// maxWorkFactor bounds the CPU time drawn for a run, as a multiple of the mean of its class.
	maxWorkFactor = 4
)

// findClass returns the class with the given name, or false if there is none.
func findClass(name string) (class, bool) {
	for _, c := range classes {
		if c.name == name {
			return c, true
		}
	}
	return class{}, false
}

// capacity returns the number of requests per second that the executor's cores can run.
func capacity() float64 {
	mean := 0.0
	for _, c := range classes {
		mean += c.requestShare * c.meanCPUSeconds
	}
	return cores / mean
}

// drawCPUSeconds draws the CPU time of a run. The random numbers depend only on the id, so a
// repeated run takes the same time.
func drawCPUSeconds(name, id string) float64 {
	c, ok := findClass(name)
	if !ok {
		return 0
	}
	random := rand.New(rand.NewPCG(seed, uint64(crc32.ChecksumIEEE([]byte(id)))))
	return c.meanCPUSeconds * min(maxWorkFactor, random.ExpFloat64())
}

// callsUpstream reports whether the runs of a class call the upstream service.
func callsUpstream(name, _ string) bool {
	c, _ := findClass(name)
	return c.callsUpstream
}

// settings returns the server's settings for the two classes.
func settings() simulator.Settings {
	var simulatorClasses []simulator.Class
	var calls []bool
	for _, c := range classes {
		simulatorClasses = append(simulatorClasses, simulator.Class{
			Name:           c.name,
			Idempotency:    "idempotent",
			SoftDeadlineMs: c.softDeadlineSeconds * 1000,
			TimeoutMs:      c.hardDeadlineSeconds * 1000,
			Value:          c.value,
			LateValue:      0.2,
		})
		calls = append(calls, c.callsUpstream)
	}
	settings := process.BaseSettings(simulatorClasses...)
	settings.Capabilities.RetryAfter = true
	settings.Capabilities.MaxRetryAfterMs = 1000
	deployment := &settings.Deployment
	deployment.ClassCalls = calls
	deployment.Downstream = "tier"
	deployment.Cores = cores
	deployment.MemoryLimitKb = 1e5
	deployment.RunningFactor = 2
	deployment.Clients = 4
	deployment.IdleTimeoutMs = 30_000
	return settings
}
