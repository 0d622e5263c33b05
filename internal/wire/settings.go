package wire

import "swiftcourse/choice"

// settings is BORN's object as the wire names it; unknown keys are skipped.
type settings struct {
	Servers        int     `json:"servers"`
	ValueBy        string  `json:"valueBy"`
	OverShareWorth float64 `json:"overShareWorth"`
	Caps           struct {
		MaxRetryAfterMs float64 `json:"maxRetryAfterMs"`
		RetryAfter      bool    `json:"retryAfter"`
	} `json:"caps"`
	Classes []struct {
		AimStretch  float64 `json:"aimStretch"`
		Effect      string  `json:"effect"`
		HardLimitMs float64 `json:"hardLimitMs"`
		LateWorth   float64 `json:"lateWorth"`
		ObjectiveMs float64 `json:"objectiveMs"`
		WindowMs    float64 `json:"windowMs"`
		Worth       float64 `json:"worth"`
	} `json:"classes"`
	Contract struct {
		ColdFrom        float64 `json:"coldFrom"`
		ColdMs          float64 `json:"coldMs"`
		DrainGraceMs    float64 `json:"drainGraceMs"`
		FallMultiple    float64 `json:"fallMultiple"`
		GraceToAnswerMs float64 `json:"graceToAnswerMs"`
		TipAfterMs      float64 `json:"tipAfterMs"`
	} `json:"contract"`
	FamilyInfo struct {
		Below          string    `json:"below"`
		CallShare      float64   `json:"callShare"`
		ClassCalls     []bool    `json:"classCalls"`
		ClassSkipWorth []float64 `json:"classSkipWorth"`
		Cold           bool      `json:"cold"`
		Cores          int       `json:"cores"`
		DepWindowMs    float64   `json:"depWindowMs"`
		Gauges         []string  `json:"gauges"`
		IdleMs         float64   `json:"idleMs"`
		KbPerKey       float64   `json:"kbPerKey"`
		MemLimitKb     float64   `json:"memLimitKb"`
		PassesDeadline bool      `json:"passesDeadline"`
		Preemption     string    `json:"preemption"`
		RunFactor      float64   `json:"runFactor"`
		Say            string    `json:"say"`
		ShareForMs     float64   `json:"shareForMs"`
		StaysForMs     float64   `json:"staysForMs"`
		Upstreams      int       `json:"upstreams"`
	} `json:"familyInfo"`
	Tenants []struct {
		QuotaPerS float64 `json:"quotaPerS"`
	} `json:"tenants"`
}

// site puts the wire's settings in our words. A word not known maps to the zero value of its type.
func (s *settings) site() choice.Site {
	f, c := &s.FamilyInfo, &s.Contract
	site := choice.Site{
		OverShare: s.OverShareWorth, Servers: s.Servers, Callers: f.Upstreams, Cores: f.Cores,
		ColdFrom: c.ColdFrom, DrainGrace: c.DrainGraceMs / 1000, AnswerSlack: c.GraceToAnswerMs / 1000,
		Crowd: c.FallMultiple, CrowdFor: c.TipAfterMs / 1000,
		Memory: f.MemLimitKb, RunFactor: f.RunFactor, KeyMemory: f.KbPerKey,
		Below:     map[string]choice.Below{"shared": choice.Shared, "tier": choice.Tier}[f.Below],
		CallShare: f.CallShare, CallFor: f.DepWindowMs / 1000, CallLinger: f.StaysForMs / 1000,
		Stopping: map[string]choice.Stopping{"drop": choice.Drop, "pause": choice.Pause}[f.Preemption],
		Free: map[string]choice.Free{"level": choice.Level, "credit": choice.Credit,
			"weight": choice.Odds}[f.Say],
		ReuseFor: f.ShareForMs / 1000, TellsWait: f.PassesDeadline,
		Idle:          f.IdleMs / 1000,
		UtilityByWork: s.ValueBy == "work",
	}
	if f.Cold {
		site.ColdFor = c.ColdMs / 1000
	}
	if s.Caps.RetryAfter {
		site.AdviceMax = s.Caps.MaxRetryAfterMs / 1000
	}
	for i, c := range s.Classes {
		st := choice.Stage{DueTime: c.ObjectiveMs / 1000, DueStretch: c.AimStretch,
			TimeLimit: c.HardLimitMs / 1000, Utility: c.Worth,
			LateUtility: c.LateWorth, Window: c.WindowMs / 1000,
			Effect: map[string]choice.Effect{"deduplicated": choice.Fingerprinted,
				"at_most_once": choice.SideEffecting}[c.Effect]}
		if i < len(f.ClassCalls) {
			st.Calls = f.ClassCalls[i]
		}
		if i < len(f.ClassSkipWorth) {
			st.SkipUtility = f.ClassSkipWorth[i]
		}
		site.Stages = append(site.Stages, st)
	}
	for _, t := range s.Tenants {
		site.Tenants = append(site.Tenants, choice.Tenant{Rate: t.QuotaPerS})
	}
	return site
}
