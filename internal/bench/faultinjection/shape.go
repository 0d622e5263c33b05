package faultinjection

import (
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

// PingClass is the stage of the shape below, and PingFor how long its tasks take, in seconds.
const (
	PingClass   = "ping"
	PingSeconds = 0.02
)

// SmallShape is the shape of the servers of tests and experiments: one stage that may be repeated, no calls.
func SmallShape(program string) process.Config {
	var t simulator.Settings
	t.Servers = 5
	t.Classes = []simulator.Class{{Name: PingClass, Idempotency: "idempotent", TimeoutMs: 2000, SoftDeadlineMs: 1000, Value: 1, LateValue: 0.5}}
	t.Capabilities.RetryAfter, t.Capabilities.MaxRetryAfterMs = true, 5000
	t.Contract.ConcurrencyPerCore, t.Contract.ConcurrencyWindowMs, t.Contract.DrainGraceMs, t.Contract.DeadlineToleranceMs = 8, 1000, 500, 50
	own := &t.Deployment
	own.Cores, own.MemoryLimitKb, own.RunningFactor, own.Clients, own.DeadlinePropagation = 4, 1e6, 1, 1, true
	own.Gauges, own.IdleTimeoutMs = []string{"cpu_busy", "runnable"}, 60_000
	return process.Config{Program: program, CPU: -1, Cores: 1, MemoryMB: 64, Descriptors: 256, StopTimeout: 3 * time.Second, Settings: t,
		Executor: executor.Config{Cores: 4, CPUSeconds: func(string, string) float64 { return PingSeconds },
			Gauges: func(busy, _ int) []float64 { return []float64{float64(busy) / 4, float64(busy)} }}}
}
