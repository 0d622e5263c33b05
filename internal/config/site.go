package config

import (
	"swiftcourse/admission"
	"swiftcourse/internal/wire/shale"
)

// The words that settings choose from, and what each means.
var (
	downstreamKinds = map[string]admission.Downstream{"": admission.NoDownstream, "none": admission.NoDownstream, "shared": admission.SharedDependency,
		"tier": admission.ServerTier}
	preemptionKinds = map[string]admission.Preemption{"": admission.NoPreemption, "none": admission.NoPreemption, "drop": admission.PreemptByDrop,
		"pause": admission.PreemptByPause}
	backpressureKinds = map[string]admission.Backpressure{"": admission.NoBackpressure, "none": admission.NoBackpressure, "level": admission.BackpressureLevel,
		"credit": admission.BackpressureCredit, "weight": admission.BackpressureWeight}
	idempotencyKinds = map[string]admission.Idempotency{"": admission.Idempotent, "idempotent": admission.Idempotent,
		"deduplicated": admission.Deduplicated, "at_most_once": admission.AtMostOnce}
)

// AdmissionSettings puts the settings in the module's words. A word not known maps to the zero value of its type.
func AdmissionSettings(told *shale.Told) admission.Settings {
	f, c := &told.Own, &told.Contract
	site := admission.Settings{
		OverQuotaValue: told.OverShareUtility, Servers: told.Servers, Clients: f.Callers, Cores: f.Cores,
		SlowStartSpeed: c.ColdFrom, DrainGracePeriod: c.DrainGraceMs / 1000, DeadlineTolerance: c.AnswerSlackMs / 1000,
		ConcurrencyLimit: c.Crowd, ConcurrencyWindow: c.CrowdForMs / 1000,
		MemoryLimit: f.MemoryKb, RunningMemoryFactor: f.RunFactor, KeyMemory: f.KeyMemoryKb, Downstream: downstreamKinds[f.Below],
		CallLimit: f.CallShare, CallWindow: f.CallForMs / 1000, AbandonedCallLifetime: f.CallLingerMs / 1000,
		Preemption: preemptionKinds[f.Stopping], Backpressure: backpressureKinds[f.Free],
		ResultCacheTTL: f.ReuseForMs / 1000, DeadlinePropagation: f.TellsWait, IdleTimeout: f.IdleMs / 1000,
		ValueByWork: told.ValueBy == "work",
	}
	if f.Cold {
		site.SlowStartDuration = c.ColdMs / 1000
	}
	if told.Caps.Advice {
		site.MaxRetryAfter = told.Caps.AdviceMaxMs / 1000
	}
	for i, c := range told.Stages {
		st := admission.Class{Idempotency: idempotencyKinds[c.Effect], SoftDeadline: c.DueTimeMs / 1000, SoftDeadlineStretch: c.DueStretch,
			Timeout: c.TimeLimitMs / 1000, Value: c.Utility, LateValue: c.LateUtility, DeduplicationWindow: c.WindowMs / 1000}
		if i < len(f.StageCalls) {
			st.CallsDownstream = f.StageCalls[i]
		}
		if i < len(f.SkipUtility) {
			st.DegradedValue = f.SkipUtility[i]
		}
		site.Classes = append(site.Classes, st)
	}
	for _, t := range told.Tenants {
		site.Tenants = append(site.Tenants, admission.Tenant{Rate: t.RatePerS})
	}
	return site
}
