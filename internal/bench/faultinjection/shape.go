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

// ShortLeases are lines of the operator's file with which leases end within seconds.
const ShortLeases = "door on\nfleet-lease 2s\nfleet-behind 2s\n"

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
			Gauges:     process.RunningGauges(pingCores),
		},
	}
}

// smallSettings returns the simulator's settings for SmallShape.
func smallSettings() simulator.Settings {
	settings := process.BaseSettings(simulator.Class{
		Name:           PingClass,
		Idempotency:    "idempotent",
		TimeoutMs:      2000,
		SoftDeadlineMs: 1000,
		Value:          1,
		LateValue:      0.5,
	})
	settings.Servers = 5
	settings.Capabilities.RetryAfter = true
	settings.Capabilities.MaxRetryAfterMs = 5000
	return settings
}
