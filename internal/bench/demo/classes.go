package demo

import (
	"hash/crc32"
	"math/rand/v2"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/wire/simulator"
)

// class is one of the two classes of requests.
type class struct {
	name          string
	share         float64 // of the requests
	cpuSeconds    float64 // mean
	callsUpstream bool
	softDeadline  float64 // seconds
	hardDeadline  float64 // seconds
	value         float64
}

var classes = []class{
	{name: "lookup", share: 0.7, cpuSeconds: 0.010, softDeadline: 0.5, hardDeadline: 1.5, value: 1},
	{name: "price", share: 0.3, cpuSeconds: 0.040, callsUpstream: true, softDeadline: 1.5, hardDeadline: 4, value: 3},
}

const (
	cores = 2
	seed  = 20261201
	// maxWorkFactor bounds a run's drawn work, as a multiple of its class's mean.
	maxWorkFactor = 4
)

// findClass returns the class with the name; false if there is none.
func findClass(name string) (class, bool) {
	for _, c := range classes {
		if c.name == name {
			return c, true
		}
	}
	return class{}, false
}

// capacity returns how many requests a second the cores can do.
func capacity() float64 {
	mean := 0.0
	for _, c := range classes {
		mean += c.share * c.cpuSeconds
	}
	return cores / mean
}

// drawCPUSeconds draws how long a run takes from its id, so that a repeated run takes as long.
func drawCPUSeconds(name, id string) float64 {
	c, ok := findClass(name)
	if !ok {
		return 0
	}
	random := rand.New(rand.NewPCG(seed, uint64(crc32.ChecksumIEEE([]byte(id)))))
	return c.cpuSeconds * min(maxWorkFactor, random.ExpFloat64())
}

// callsUpstream reports whether the runs of a class call the upstream service.
func callsUpstream(name, _ string) bool {
	c, _ := findClass(name)
	return c.callsUpstream
}

func settings() simulator.Settings {
	var simulatorClasses []simulator.Class
	var calls []bool
	for _, c := range classes {
		simulatorClasses = append(simulatorClasses, simulator.Class{
			Name:           c.name,
			Idempotency:    "idempotent",
			SoftDeadlineMs: c.softDeadline * 1000,
			TimeoutMs:      c.hardDeadline * 1000,
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
