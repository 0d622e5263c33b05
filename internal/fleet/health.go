package fleet

import (
	"math"

	"swiftcourse/internal/policy/circuitbreaker"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in judging the service below: what became of its calls goes to the judge, words to a few others, who pass them on, and
// how many calls may be out back to the loop.

// HealthConfig is what a process does with it.
type HealthConfig struct {
	Zone    string          // of this server, "" where zones are not told
	OnLimit func(CallLimit) // hands the serving loop how many calls may be out
}

// CallLimit is how many calls may be out.
type CallLimit struct {
	MaxInFlight float64 // +Inf for as many as without
	Probe       int64   // not 0 where one call is a try, of which there is to be one for each number
}

// healthState is the part's state of it.
type healthState struct {
	*HealthConfig
	judge        *circuitbreaker.Breaker
	nextDecision float64
	lastReport   float64
	limit        CallLimit
	zones        map[string]string // of others, by what they say
}

const (
	// healthDecisionEvery is how often it is judged, and sayEvery how often others hear: three of them each time, with the newest words of maxPassed servers,
	// so that a thousand have heard of one within a second and a half.
	healthDecisionEvery, healthReportEvery, maxRelayedReports = 0.1, 0.25, 16
	// maxCallStats wait for the goroutine.
	maxCallStats = 16
	// maxZones bounds whose zones are known.
	maxZones = 4096
)

// ReportCalls takes what became of the loop's calls, from any goroutine.
func (f *Node) ReportCalls(c serving.CallStats) {
	select {
	case f.callStats <- c:
	default:
	}
}

func (f *Agent) beginHealth(now float64) {
	if f.Health != nil {
		f.health = &healthState{HealthConfig: f.Config.Health, judge: circuitbreaker.New(f.Name, f.Config.Health.Zone, now), nextDecision: now, lastReport: now, limit: CallLimit{MaxInFlight: math.Inf(1)}, zones: map[string]string{}}
	}
}

// ObserveCalls takes what became of the loop's calls.
func (f *Agent) ObserveCalls(now float64, c serving.CallStats) {
	if b := f.health; b != nil {
		b.judge.RecordCalls(now, circuitbreaker.Tally{Succeeded: c.Succeeded, Failed: c.Failed, SuccessSeconds: c.TotalSeconds}, float64(c.InFlight))
	}
}

func (f *Agent) takeHealth(now float64, m *wire.Envelope) {
	b := f.health
	if b == nil {
		return
	}
	for _, w := range m.HealthReports {
		if b.judge.HandleReport(now, w) && (len(b.zones) < maxZones || b.zones[w.Server] != "") {
			b.zones[w.Server] = w.Zone
		}
	}
}

// near lists the servers of this one's zone, as far as it is known.
func (f *Agent) near() (names []string) {
	for name := range f.network.Members() {
		if f.health.Zone == "" || f.health.zones[name] == f.health.Zone {
			names = append(names, name)
		}
	}
	return names
}

func (f *Agent) dueHealth(now float64) {
	b := f.health
	if b == nil {
		return
	}
	if now >= b.nextDecision {
		b.nextDecision = now + healthDecisionEvery
		most, changed := b.judge.Decide(now, f.near)
		if changed {
			state, _ := b.judge.State()
			f.Log("fleet_below", "is", state, "most", most)
		}
		if held := (CallLimit{most, b.judge.ProbeSlot(now)}); held != b.limit {
			b.limit = held
			b.OnLimit(held)
		}
	}
	if now >= b.lastReport+healthReportEvery {
		b.lastReport = now
		if len(b.zones) >= maxZones {
			clear(b.zones) // names come and go for ever; those that are there say it again
		}
		if words := b.judge.GossipReports(now, f.incarnation, maxRelayedReports); len(words) > 0 {
			for _, addr := range f.network.Sample(gossipFanout, f.random) {
				f.send(addr, &wire.Envelope{HealthReports: words})
			}
		}
	}
}

func (f *Agent) nextHealth() float64 {
	if f.health == nil {
		return math.Inf(1)
	}
	return min(f.health.nextDecision, f.health.lastReport+healthReportEvery)
}
