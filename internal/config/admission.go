package config

import (
	"swiftcourse/admission"
	"swiftcourse/internal/wire/simulator"
)

// noDownstream is the settings' value for a server that makes no downstream calls.
const noDownstream = "none"

// The valid values of each enumerated setting and their meanings. "" stands for a setting that is
// left out.
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

// valueByWork is the settings' value for a deployment where the value of a request is multiplied by
// its expected work.
const valueByWork = "work"

// AdmissionSettings converts the platform's settings to those of package admission, whose times are
// in seconds. An enumerated setting with an unknown value becomes the zero value of its type.
func AdmissionSettings(source *simulator.Settings) admission.Settings {
	deployment := &source.Deployment
	contract := &source.Contract
	settings := admission.Settings{
		OverQuotaValueFactor: source.OverQuotaValue,
		Servers:              source.Servers,
		Clients:              deployment.Clients,
		Cores:                deployment.Cores,
		SlowStart:            admission.SlowStartSettings{InitialSpeed: contract.SlowStartSpeed},
		DrainGracePeriod:     contract.DrainGraceMs / millisPerSecond,
		DeadlineTolerance:    contract.DeadlineToleranceMs / millisPerSecond,
		Concurrency: admission.ConcurrencySettings{
			RunsPerCore:     contract.ConcurrencyPerCore,
			AveragingWindow: contract.ConcurrencyWindowMs / millisPerSecond,
		},
		Memory: admission.MemorySettings{
			Limit:          deployment.MemoryLimitKb,
			RunningFactor:  deployment.RunningFactor,
			KeyEntryMemory: deployment.MemoryPerKeyKb,
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
		ScaleValueByWork:    source.ValueBy == valueByWork,
	}
	if deployment.Cold {
		settings.SlowStart.Duration = contract.SlowStartMs / millisPerSecond
	}
	if source.Capabilities.RetryAfter {
		settings.MaxRetryAfter = source.Capabilities.MaxRetryAfterMs / millisPerSecond
	}
	for i := range source.Classes {
		settings.Classes = append(settings.Classes, admissionClass(source, i))
	}
	for _, tenant := range source.Tenants {
		settings.Tenants = append(settings.Tenants, admission.Tenant{Rate: tenant.RatePerS})
	}
	return settings
}

// admissionClass converts the class at an index of the settings.
func admissionClass(settings *simulator.Settings, index int) admission.Class {
	source := &settings.Classes[index]
	class := admission.Class{
		Idempotency:         idempotencyKinds[source.Idempotency],
		SoftDeadline:        source.SoftDeadlineMs / millisPerSecond,
		SoftDeadlineStretch: source.SoftDeadlineStretch,
		Timeout:             source.TimeoutMs / millisPerSecond,
		Value:               source.Value,
		LateValueFraction:   source.LateValue,
		DeduplicationWindow: source.DeduplicationWindowMs / millisPerSecond,
	}
	if index < len(settings.Deployment.ClassCalls) {
		class.CallsDownstream = settings.Deployment.ClassCalls[index]
	}
	if index < len(settings.Deployment.DegradedValues) {
		class.DegradedValueFraction = settings.Deployment.DegradedValues[index]
	}
	return class
}
