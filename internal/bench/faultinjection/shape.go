package faultinjection

import (
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/shale"
)

// PingClass is the stage of the shape below, and PingFor how long its tasks take, in seconds.
const (
	PingClass   = "ping"
	PingSeconds = 0.02
)

// SmallShape is the shape of the servers of tests and experiments: one stage that may be repeated, no calls.
func SmallShape(program string) process.Config {
	var t shale.Told
	t.Servers = 5
	t.Stages = []shale.Stage{{Name: PingClass, Effect: "idempotent", TimeLimitMs: 2000, DueTimeMs: 1000, Utility: 1, LateUtility: 0.5}}
	t.Caps.Advice, t.Caps.AdviceMaxMs = true, 5000
	t.Contract.Crowd, t.Contract.CrowdForMs, t.Contract.DrainGraceMs, t.Contract.AnswerSlackMs = 8, 1000, 500, 50
	own := &t.Own
	own.Cores, own.MemoryKb, own.RunFactor, own.Callers, own.TellsWait = 4, 1e6, 1, 1, true
	own.Gauges, own.IdleMs = []string{"cpu_busy", "runnable"}, 60_000
	return process.Config{Program: program, CPU: -1, Cores: 1, MemoryMB: 64, Descriptors: 256, StopTimeout: 3 * time.Second, Settings: t,
		Executor: executor.Config{Cores: 4, CPUSeconds: func(string, string) float64 { return PingSeconds },
			Gauges: func(busy, _ int) []float64 { return []float64{float64(busy) / 4, float64(busy)} }}}
}
