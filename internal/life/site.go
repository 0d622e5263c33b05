package life

import (
	"swiftcourse/choice"
	"swiftcourse/internal/wire/shale"
)

// The words that settings choose from, and what each means.
var (
	belows = map[string]choice.Below{"": choice.Nothing, "none": choice.Nothing, "shared": choice.Shared,
		"tier": choice.Tier}
	stoppings = map[string]choice.Stopping{"": choice.NoStop, "none": choice.NoStop, "drop": choice.Drop,
		"pause": choice.Pause}
	frees = map[string]choice.Free{"": choice.NoFree, "none": choice.NoFree, "level": choice.Level,
		"credit": choice.Credit, "weight": choice.Odds}
	effects = map[string]choice.Effect{"": choice.Idempotent, "idempotent": choice.Idempotent,
		"deduplicated": choice.Deduplicated, "at_most_once": choice.AtMostOnce}
)

// Site puts the settings in the module's words. A word not known maps to the zero value of its type.
func Site(told *shale.Told) choice.Site {
	f, c := &told.Own, &told.Contract
	site := choice.Site{
		OverShare: told.OverShareUtility, Servers: told.Servers, Callers: f.Callers, Cores: f.Cores,
		ColdFrom: c.ColdFrom, DrainGrace: c.DrainGraceMs / 1000, AnswerSlack: c.AnswerSlackMs / 1000,
		Crowd: c.Crowd, CrowdFor: c.CrowdForMs / 1000,
		Memory: f.MemoryKb, RunFactor: f.RunFactor, KeyMemory: f.KeyMemoryKb, Below: belows[f.Below],
		CallShare: f.CallShare, CallFor: f.CallForMs / 1000, CallLinger: f.CallLingerMs / 1000,
		Stopping: stoppings[f.Stopping], Free: frees[f.Free],
		ReuseFor: f.ReuseForMs / 1000, TellsWait: f.TellsWait, Idle: f.IdleMs / 1000,
		UtilityByWork: told.ValueBy == "work",
	}
	if f.Cold {
		site.ColdFor = c.ColdMs / 1000
	}
	if told.Caps.Advice {
		site.AdviceMax = told.Caps.AdviceMaxMs / 1000
	}
	for i, c := range told.Stages {
		st := choice.Stage{Effect: effects[c.Effect], DueTime: c.DueTimeMs / 1000, DueStretch: c.DueStretch,
			TimeLimit: c.TimeLimitMs / 1000, Utility: c.Utility, LateUtility: c.LateUtility, Window: c.WindowMs / 1000}
		if i < len(f.StageCalls) {
			st.Calls = f.StageCalls[i]
		}
		if i < len(f.SkipUtility) {
			st.SkipUtility = f.SkipUtility[i]
		}
		site.Stages = append(site.Stages, st)
	}
	for _, t := range told.Tenants {
		site.Tenants = append(site.Tenants, choice.Tenant{Rate: t.RatePerS})
	}
	return site
}
