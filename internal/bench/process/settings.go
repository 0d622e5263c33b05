package process

import (
	"swiftcourse/internal/wire/simulator"
)

// BaseSettings returns the settings that the experiments share: the values that the simulator's
// contract states, deadline propagation, and two gauges. Experiments set capabilities and change
// cores and idle timeout as needed.
func BaseSettings(classes ...simulator.Class) simulator.Settings {
	settings := simulator.Settings{Servers: 1, Classes: classes}
	contract := &settings.Contract
	contract.ConcurrencyPerCore = 8
	contract.ConcurrencyWindowMs = 1000
	contract.DrainGraceMs = 500
	contract.DeadlineToleranceMs = 50
	deployment := &settings.Deployment
	deployment.Cores = 4
	deployment.MemoryLimitKb = 1e6
	deployment.RunningFactor = 1
	deployment.Clients = 1
	deployment.DeadlinePropagation = true
	deployment.Gauges = []string{"cpu_busy", "runnable"}
	deployment.IdleTimeoutMs = 60_000
	return settings
}

// RunningGauges returns the gauges of an executor with the given number of cores: the fraction of
// cores that are busy, and the number of runs in execution.
func RunningGauges(cores int) func(busy, waiting int) []float64 {
	return func(busy, _ int) []float64 {
		return []float64{float64(busy) / float64(cores), float64(busy)}
	}
}

// RunnableGauges is like RunningGauges, but the second gauge includes the runs that wait for a
// core.
func RunnableGauges(cores int) func(busy, waiting int) []float64 {
	return func(busy, waiting int) []float64 {
		return []float64{float64(busy) / float64(cores), float64(busy + waiting)}
	}
}
