package kit

// Class is one class of the settings.
type Class struct {
	Name, Effect           string
	AimMs, LimitMs, Window float64
	Worth, Late, SkipWorth float64
	Calls                  bool
}

// Site has what differs between the settings of the cases.
type Site struct {
	Classes      []Class
	Cores        int
	DrainGraceMs float64
	FallMultiple float64
	FallMs       float64
	Below        string
	CallShare    float64
	MemoryKb     float64
	RunFactor    float64
	Say          string
	Servers      int
}

// Settings returns the object `settings` that a server is told.
func (s *Site) Settings() map[string]any {
	var classes []any
	var calls, skips []any
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "effect": c.Effect, "objectiveMs": c.AimMs, "hardLimitMs": c.LimitMs,
			"windowMs": c.Window, "worth": c.Worth, "lateWorth": c.Late,
		})
		calls = append(calls, c.Calls)
		skips = append(skips, c.SkipWorth)
	}
	return map[string]any{
		"azs": []string{"back-hall"}, "callers": map[string]any{"marksRetry": false},
		"caps": map[string]any{
			"cpuUsPerRequest": 0.0, "cpuUsPerS": 60000, "maxRetryAfterMs": 1000.0, "retryAfter": true,
		},
		"classes": classes,
		"contract": map[string]any{
			"coldFrom": 0.2, "coldMs": 17000.0, "drainGraceMs": s.DrainGraceMs, "fallMultiple": s.FallMultiple,
			"graceToAnswerMs": 60.0, "tipAfterMs": s.FallMs,
		},
		"familyInfo": map[string]any{
			"below": s.Below, "callShare": s.CallShare, "classCalls": calls, "classSkipWorth": skips, "cold": false,
			"cores": s.Cores, "deepChecks": false, "depWindowMs": 5000.0,
			"gauges":   []string{"cpu_busy", "runnable", "mem_used", "sockets"},
			"heededMs": 1000.0, "idleMs": 30000.0, "kbPerKey": 2.0, "listFollows": true, "memLimitKb": s.MemoryKb,
			"passesDeadline": true, "preemption": "none", "runFactor": s.RunFactor, "say": s.Say, "shareForMs": 0.0,
			"staysForMs": 200.0, "tellsGone": true, "upstreams": 3,
		},
		"feedback":       map[string]any{"fields": []string{"q", "lat_ms"}, "how": "answers"},
		"overShareWorth": 0.1, "position": 1, "servers": s.Servers, "tenants": []any{}, "tickMs": 2.0, "tier": 0,
		"tiers": []string{"servers"}, "valueBy": "request", "workload": "server", "zone": 0,
	}
}
