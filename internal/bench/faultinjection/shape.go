package faultinjection

import (
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

const (
	// PingClass is the class of the requests of SmallProcessConfig.
	PingClass = "ping"
	// PingSeconds is the CPU time of such a request.
	PingSeconds = 0.02
	// pingCores is the number of cores of the executor.
	pingCores = 4
)

// ShortLeases are settings in the operator's file under which leases expire within seconds.
const ShortLeases = "door on\nfleet-lease 2s\nfleet-behind 2s\n"

// SmallProcessConfig returns the process configuration of tests and experiments: one idempotent class
// without downstream calls.
func SmallProcessConfig(program string) process.Config {
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

// smallSettings returns the simulator's settings for SmallProcessConfig.
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
