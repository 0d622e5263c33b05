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
func AdmissionSettings(given *simulator.Settings) admission.Settings {
	deployment := &given.Deployment
	contract := &given.Contract
	settings := admission.Settings{
		OverQuotaValue:    given.OverQuotaValue,
		Servers:           given.Servers,
		Clients:           deployment.Clients,
		Cores:             deployment.Cores,
		SlowStart:         admission.SlowStartSettings{InitialSpeed: contract.SlowStartSpeed},
		DrainGracePeriod:  contract.DrainGraceMs / millisPerSecond,
		DeadlineTolerance: contract.DeadlineToleranceMs / millisPerSecond,
		Concurrency: admission.ConcurrencySettings{
			PerCore: contract.ConcurrencyPerCore,
			Window:  contract.ConcurrencyWindowMs / millisPerSecond,
		},
		Memory: admission.MemorySettings{
			Limit:         deployment.MemoryLimitKb,
			RunningFactor: deployment.RunningFactor,
			PerKey:        deployment.MemoryPerKeyKb,
		},
		Downstream: admission.DownstreamSettings{
			Kind:                  downstreamKinds[deployment.Downstream],
			CallLimit:             deployment.CallLimit,
			CallWindow:            deployment.CallWindowMs / millisPerSecond,
			AbandonedCallLifetime: deployment.AbandonedCallMs / millisPerSecond,
		},
		Preemption:          preemptionKinds[deployment.Preemption],
		Backpressure:        backpressureKinds[deployment.Backpressure],
		ResultCacheTTL:      deployment.ResultCacheMs / millisPerSecond,
		DeadlinePropagation: deployment.DeadlinePropagation,
		IdleTimeout:         deployment.IdleTimeoutMs / millisPerSecond,
		ValueByWork:         given.ValueBy == valueByWork,
	}
	if deployment.Cold {
		settings.SlowStart.Duration = contract.SlowStartMs / millisPerSecond
	}
	if given.Capabilities.RetryAfter {
		settings.MaxRetryAfter = given.Capabilities.MaxRetryAfterMs / millisPerSecond
	}
	for i := range given.Classes {
		settings.Classes = append(settings.Classes, admissionClass(given, i))
	}
	for _, tenant := range given.Tenants {
		settings.Tenants = append(settings.Tenants, admission.Tenant{Rate: tenant.RatePerS})
	}
	return settings
}

// admissionClass puts one class in the terms of package admission.
func admissionClass(given *simulator.Settings, index int) admission.Class {
	from := &given.Classes[index]
	class := admission.Class{
		Idempotency:         idempotencyKinds[from.Idempotency],
		SoftDeadline:        from.SoftDeadlineMs / millisPerSecond,
		SoftDeadlineStretch: from.SoftDeadlineStretch,
		Timeout:             from.TimeoutMs / millisPerSecond,
		Value:               from.Value,
		LateValue:           from.LateValue,
		DeduplicationWindow: from.DeduplicationWindowMs / millisPerSecond,
	}
	if index < len(given.Deployment.ClassCalls) {
		class.CallsDownstream = given.Deployment.ClassCalls[index]
	}
	if index < len(given.Deployment.DegradedValues) {
		class.DegradedValue = given.Deployment.DegradedValues[index]
	}
	return class
}
