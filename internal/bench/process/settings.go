package process

import (
	"swiftcourse/internal/wire/shale"
)

// BaseSettings returns the settings that the experiments share: what the simulator's contract states, a server that
// passes its deadline on, and two gauges. Experiments add their caps, cores and idle timeout.
func BaseSettings(classes ...shale.Stage) shale.Told {
	settings := shale.Told{Servers: 1, Stages: classes}
	contract := &settings.Contract
	contract.Crowd = 8
	contract.CrowdForMs = 1000
	contract.DrainGraceMs = 500
	contract.AnswerSlackMs = 50
	own := &settings.Own
	own.Cores = 4
	own.MemoryKb = 1e6
	own.RunFactor = 1
	own.Callers = 1
	own.TellsWait = true
	own.Gauges = []string{"cpu_busy", "runnable"}
	own.IdleMs = 60_000
	return settings
}

// RunningGauges returns gauges for an executor of so many cores: the share of them that is busy, and the runs that
// proceed.
func RunningGauges(cores int) func(busy, waiting int) []float64 {
	return func(busy, _ int) []float64 {
		return []float64{float64(busy) / float64(cores), float64(busy)}
	}
}

// RunnableGauges is like RunningGauges, but the second gauge counts the runs that wait for a core too.
func RunnableGauges(cores int) func(busy, waiting int) []float64 {
	return func(busy, waiting int) []float64 {
		return []float64{float64(busy) / float64(cores), float64(busy + waiting)}
	}
}
