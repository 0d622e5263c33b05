package config

import (
	"swiftcourse/admission"
	"swiftcourse/internal/wire/simulator"
)

// noDownstream is the settings' word for a server that calls nothing.
const noDownstream = "none"

// The words that the settings choose from, and what each means.
var (
	downstreamKinds = map[string]admission.Downstream{
		"":           admission.NoDownstream,
		noDownstream: admission.NoDownstream,
		"shared":     admission.SharedDependency,
		"tier":       admission.ServerTier,
	}
	preemptionKinds = map[string]admission.Preemption{
		"":      admission.NoPreemption,
		"none":  admission.NoPreemption,
		"drop":  admission.PreemptByDrop,
		"pause": admission.PreemptByPause,
	}
	backpressureKinds = map[string]admission.Backpressure{
		"":       admission.NoBackpressure,
		"none":   admission.NoBackpressure,
		"level":  admission.BackpressureLevel,
		"credit": admission.BackpressureCredit,
		"weight": admission.BackpressureWeight,
	}
	idempotencyKinds = map[string]admission.Idempotency{
		"":             admission.Idempotent,
		"idempotent":   admission.Idempotent,
		"deduplicated": admission.Deduplicated,
		"at_most_once": admission.AtMostOnce,
	}
)

// valueByWork is the settings' word for requests whose value is in the work that they need.
const valueByWork = "work"

// AdmissionSettings puts the settings in the terms of package admission. A word that is not known
// maps to the zero value of its type.
func AdmissionSettings(given *simulator.Told) admission.Settings {
	own := &given.Own
	contract := &given.Contract
	settings := admission.Settings{
		OverQuotaValue:    given.OverShareUtility,
		Servers:           given.Servers,
		Clients:           own.Callers,
		Cores:             own.Cores,
		SlowStart:         admission.SlowStartSettings{InitialSpeed: contract.ColdFrom},
		DrainGracePeriod:  contract.DrainGraceMs / millisPerSecond,
		DeadlineTolerance: contract.AnswerSlackMs / millisPerSecond,
		Concurrency: admission.ConcurrencySettings{
			PerCore: contract.Crowd,
			Window:  contract.CrowdForMs / millisPerSecond,
		},
		Memory: admission.MemorySettings{
			Limit:         own.MemoryKb,
			RunningFactor: own.RunFactor,
			PerKey:        own.KeyMemoryKb,
		},
		Downstream: admission.DownstreamSettings{
			Kind:                  downstreamKinds[own.Below],
			CallLimit:             own.CallShare,
			CallWindow:            own.CallForMs / millisPerSecond,
			AbandonedCallLifetime: own.CallLingerMs / millisPerSecond,
		},
		Preemption:          preemptionKinds[own.Stopping],
		Backpressure:        backpressureKinds[own.Free],
		ResultCacheTTL:      own.ReuseForMs / millisPerSecond,
		DeadlinePropagation: own.TellsWait,
		IdleTimeout:         own.IdleMs / millisPerSecond,
		ValueByWork:         given.ValueBy == valueByWork,
	}
	if own.Cold {
		settings.SlowStart.Duration = contract.ColdMs / millisPerSecond
	}
	if given.Caps.Advice {
		settings.MaxRetryAfter = given.Caps.AdviceMaxMs / millisPerSecond
	}
	for i := range given.Stages {
		settings.Classes = append(settings.Classes, admissionClass(given, i))
	}
	for _, tenant := range given.Tenants {
		settings.Tenants = append(settings.Tenants, admission.Tenant{Rate: tenant.RatePerS})
	}
	return settings
}

// admissionClass puts one class in the terms of package admission.
func admissionClass(given *simulator.Told, index int) admission.Class {
	from := &given.Stages[index]
	class := admission.Class{
		Idempotency:         idempotencyKinds[from.Effect],
		SoftDeadline:        from.DueTimeMs / millisPerSecond,
		SoftDeadlineStretch: from.DueStretch,
		Timeout:             from.TimeLimitMs / millisPerSecond,
		Value:               from.Utility,
		LateValue:           from.LateUtility,
		DeduplicationWindow: from.WindowMs / millisPerSecond,
	}
	if index < len(given.Own.StageCalls) {
		class.CallsDownstream = given.Own.StageCalls[index]
	}
	if index < len(given.Own.SkipUtility) {
		class.DegradedValue = given.Own.SkipUtility[index]
	}
	return class
}
