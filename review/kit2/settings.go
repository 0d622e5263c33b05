package kit2

import "cmp"

// Class is one class of a deployment, with what the settings tell of it.
type Class struct {
	Name, Effect                string
	AimMs, LimitMs, WindowMs    float64
	Worth, LateWorth, SkipWorth float64
	Calls                       bool
}

// Deployment is a small deployment, in the figures of its site file.
type Deployment struct {
	Classes           []Class
	Tenants           map[string]float64 // requests a second, of the fleet
	TenantNames       []string
	Cores             int
	Fall, FallMs      float64
	GraceMs           float64
	MemoryKb          float64
	RunFactor         float64
	KeyKb             float64
	Below             string // none, tier, shared
	CallShare         float64
	Say               string
	SlackMs           float64
	Servers           int
	Sockets, MemoryMB int  // limits of a server, 1,024 and 192 MB where 0
	ListFollows       bool // the roster's list follows the servers' health
}

// Settings returns the settings object of a server.
func (d *Deployment) Settings() map[string]any {
	var classes, tenants []any
	var calls []bool
	var skip []float64
	for _, c := range d.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "effect": c.Effect, "objectiveMs": c.AimMs,
			"hardLimitMs": c.LimitMs, "windowMs": c.WindowMs, "worth": c.Worth, "lateWorth": c.LateWorth})
		calls = append(calls, c.Calls)
		skip = append(skip, c.SkipWorth)
	}
	for _, name := range d.TenantNames {
		tenants = append(tenants, map[string]any{"name": name, "portion": 1.0 / float64(len(d.TenantNames)),
			"quotaPerS": d.Tenants[name]})
	}
	return map[string]any{
		"azs": []string{"back-hall"}, "callers": map[string]any{"marksRetry": true},
		"caps":    map[string]any{"cpuUsPerRequest": 0, "cpuUsPerS": 60000, "maxRetryAfterMs": 1000, "retryAfter": true},
		"classes": classes,
		"contract": map[string]any{"coldFrom": 0.25, "coldMs": 18000, "drainGraceMs": d.GraceMs, "fallMultiple": d.Fall,
			"graceToAnswerMs": d.SlackMs, "tipAfterMs": d.FallMs},
		"familyInfo": map[string]any{"below": d.Below, "callShare": d.CallShare, "classCalls": calls,
			"classSkipWorth": skip, "cold": false, "cores": d.Cores, "deepChecks": false, "depWindowMs": 5000,
			"gauges": []string{"cpu_busy", "runnable", "mem_used", "sockets"}, "heededMs": 1000, "idleMs": 30000,
			"kbPerKey": d.KeyKb, "listFollows": d.ListFollows, "memLimitKb": d.MemoryKb, "passesDeadline": true,
			"preemption": "none", "runFactor": d.RunFactor, "say": d.Say, "shareForMs": 0, "staysForMs": 200,
			"tellsGone": true, "upstreams": 4},
		"feedback": map[string]any{"fields": []string{"q", "lat_ms"}, "how": "answers"},
		"goal":     map[string]any{"whole": 1.0}, "overShareWorth": 0.05, "position": 0, "servers": d.Servers,
		"tenants": tenants, "tickMs": 2, "tier": 0, "tiers": []string{"front"}, "valueBy": "request",
		"workload": "server", "zone": 0,
	}
}

// Config returns the configuration of a server.
func (d *Deployment) Config(name, listen, processor, roster, catalog string) map[string]any {
	config := map[string]any{"name": name, "listen": listen, "processor": processor, "roster": roster,
		"seed": "8c1f30d27a5be964", "stop_ms": 3200, "settings": d.Settings(),
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(d.MemoryMB, 192), "sockets": cmp.Or(d.Sockets, 1024)}}
	if catalog != "" {
		config["catalog"] = catalog
	}
	return config
}

// Gauges returns the gauges of a processor that has cores cores and runs running requests.
func Gauges(cores int) func(int) []float64 {
	return func(running int) []float64 {
		return []float64{min(1, float64(running)/float64(cores)), float64(running), 0.2, 4}
	}
}

// ReplayMain returns the deployment replay-main at the size of one day: 2 cores a server.
func ReplayMain(servers int) *Deployment {
	return &Deployment{
		Classes: []Class{
			{Name: "preview", Effect: "idempotent", AimMs: 1800, LimitMs: 6100, WindowMs: 5000, Worth: 1},
			{Name: "frame-grab", Effect: "idempotent", AimMs: 740, LimitMs: 2500, WindowMs: 5000, Worth: 1},
			{Name: "publish", Effect: "deduplicated", AimMs: 2900, LimitMs: 7400, WindowMs: 22119, Worth: 1, LateWorth: 0.2},
		},
		Tenants: map[string]float64{"fernbrook-league": 200, "millcroft-juniors": 200}, TenantNames: []string{"fernbrook-league", "millcroft-juniors"},
		Cores: 2, Fall: 6, FallMs: 3000, GraceMs: 2000, MemoryKb: 6000, RunFactor: 4, KeyKb: 4,
		Below: "none", Say: "level", SlackMs: 60, Servers: servers,
	}
}

// KigaliPricing returns the deployment kigali-pricing with 6 cores a server and calls to the next tier.
func KigaliPricing(servers int) *Deployment {
	return &Deployment{
		Classes: []Class{
			{Name: "fare-lookup", Effect: "idempotent", AimMs: 1800, LimitMs: 4500, WindowMs: 5000, Worth: 1, LateWorth: 0.2,
				SkipWorth: 0.3, Calls: true},
			{Name: "trip-price", Effect: "idempotent", AimMs: 1800, LimitMs: 4500, WindowMs: 5000, Worth: 2, LateWorth: 0.2,
				SkipWorth: 0.3, Calls: true},
		},
		Tenants:     map[string]float64{"umujyi-bus": 104, "nyabugogo-lines": 49, "huye-express": 42, "musanze-coach": 37},
		TenantNames: []string{"umujyi-bus", "nyabugogo-lines", "huye-express", "musanze-coach"},
		Cores:       6, Fall: 8, FallMs: 1500, GraceMs: 2000, MemoryKb: 58116, RunFactor: 16, KeyKb: 128.92,
		Below: "tier", Say: "weight", SlackMs: 60, Servers: servers, ListFollows: true,
	}
}
