package faultinjection

import (
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

const (
	// PingClass is the class of the requests of SmallShape.
	PingClass = "ping"
	// PingSeconds is how long their runs take.
	PingSeconds = 0.02
	// pingCores are the cores of the executor that runs them.
	pingCores = 4
)

// SmallShape returns the configuration of the servers of tests and experiments: one idempotent
// class and no calls.
func SmallShape(program string) process.Config {
	return process.Config{
		Program:     program,
		CPU:         -1,
		Cores:       1,
		MemoryMB:    64,
		Descriptors: 256,
		StopTimeout: 3 * time.Second,
		Settings:    smallSettings(),
		Executor: executor.Config{
			Cores:      pingCores,
			CPUSeconds: func(string, string) float64 { return PingSeconds },
			Gauges:     func(busy, _ int) []float64 { return []float64{float64(busy) / pingCores, float64(busy)} },
		},
	}
}

// smallSettings returns the simulator's settings for SmallShape.
func smallSettings() simulator.Settings {
	var settings simulator.Settings
	settings.Servers = 5
	settings.Classes = []simulator.Class{{
		Name:           PingClass,
		Idempotency:    "idempotent",
		TimeoutMs:      2000,
		SoftDeadlineMs: 1000,
		Value:          1,
		LateValue:      0.5,
	}}
	settings.Capabilities.RetryAfter = true
	settings.Capabilities.MaxRetryAfterMs = 5000
	contract := &settings.Contract
	contract.ConcurrencyPerCore = 8
	contract.ConcurrencyWindowMs = 1000
	contract.DrainGraceMs = 500
	contract.DeadlineToleranceMs = 50
	deployment := &settings.Deployment
	deployment.Cores = pingCores
	deployment.MemoryLimitKb = 1e6
	deployment.RunningFactor = 1
	deployment.Clients = 1
	deployment.DeadlinePropagation = true
	deployment.Gauges = []string{"cpu_busy", "runnable"}
	deployment.IdleTimeoutMs = 60_000
	return settings
}
