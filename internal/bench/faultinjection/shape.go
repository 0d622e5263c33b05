package faultinjection

import (
	"time"

	labfleet "swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/shale"
)

// Ping is the stage of the shape below, and PingFor how long its tasks take, in seconds.
const (
	Ping    = "ping"
	PingFor = 0.02
)

// Small is the shape of the servers of tests and experiments: one stage that may be repeated, no calls.
func Small(program string) labfleet.Shape {
	var t shale.Told
	t.Servers = 5
	t.Stages = []shale.Stage{{Name: Ping, Effect: "idempotent", TimeLimitMs: 2000, DueTimeMs: 1000, Utility: 1, LateUtility: 0.5}}
	t.Caps.Advice, t.Caps.AdviceMaxMs = true, 5000
	t.Contract.Crowd, t.Contract.CrowdForMs, t.Contract.DrainGraceMs, t.Contract.AnswerSlackMs = 8, 1000, 500, 50
	own := &t.Own
	own.Cores, own.MemoryKb, own.RunFactor, own.Callers, own.TellsWait = 4, 1e6, 1, 1, true
	own.Gauges, own.IdleMs = []string{"cpu_busy", "runnable"}, 60_000
	return labfleet.Shape{Program: program, Core: -1, Cores: 1, MemoryMB: 64, Sockets: 256, Stop: 3 * time.Second, Told: t,
		Work: executor.Plan{Cores: 4, Work: func(string, string) float64 { return PingFor },
			Gauges: func(busy, _ int) []float64 { return []float64{float64(busy) / 4, float64(busy)} }}}
}
