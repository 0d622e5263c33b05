package fleet

import (
	"math"

	"swiftcourse/internal/policy/circuitbreaker"
	"swiftcourse/internal/policy/serving"
	wire "swiftcourse/internal/wire/fleet"
)

// HealthConfig configures the shared circuit breaker for the downstream service, which all servers
// call.
type HealthConfig struct {
	Zone    string          // of this server, "" where zones are not known
	OnLimit func(CallLimit) // hands the serving loop how many calls may be in flight
}

// CallLimit is how many calls to the service below may be in flight.
type CallLimit struct {
	MaxInFlight float64 // +Inf for no limit
	Probe       int64   // not 0 where one call is a probe, of which there is to be one for each number
}

const (
	// healthDecisionInterval is how often the service is judged, in seconds.
	healthDecisionInterval = 0.1
	// healthReportInterval is how often reports are gossiped, in seconds: to gossipFanout others,
	// with the newest reports of maxRelayedReports servers, so that one reaches a thousand servers
	// within a second and a half.
	healthReportInterval = 0.25
	maxRelayedReports    = 16
	// maxZones bounds how many servers' zones are known.
	maxZones = 4096
)

// healthMonitor judges the service below by what became of this server's calls and of others'.
type healthMonitor struct {
	agent        *Agent
	config       *HealthConfig
	breaker      *circuitbreaker.Breaker
	nextDecision float64
	lastReport   float64
	limit        CallLimit
	zones        map[string]string // of other servers, by their reports
}

func newHealthMonitor(a *Agent, now float64) *healthMonitor {
	h := &healthMonitor{
		agent:        a,
		config:       a.config.Health,
		breaker:      circuitbreaker.New(a.config.Name, a.config.Health.Zone, now),
		nextDecision: now,
		lastReport:   now,
		limit:        CallLimit{MaxInFlight: math.Inf(1)},
		zones:        map[string]string{},
	}
	a.handle(h.handleReports, wire.KindHealthReports)
	return h
}

// ObserveCalls records the outcomes of the serving loop's calls. Without health it has no effect.
func (a *Agent) ObserveCalls(now float64, calls serving.CallStats) {
	if a.health == nil {
		return
	}
	tally := circuitbreaker.Tally{
		Succeeded:      calls.Succeeded,
		Failed:         calls.Failed,
		SuccessSeconds: calls.TotalSeconds,
	}
	a.health.breaker.RecordCalls(now, tally, float64(calls.InFlight))
}

func (h *healthMonitor) handleReports(now float64, message *wire.Envelope) {
	for _, report := range message.HealthReports {
		known := h.zones[report.Server] != ""
		if h.breaker.HandleReport(now, report) && (known || len(h.zones) < maxZones) {
			h.zones[report.Server] = report.Zone
		}
	}
}

// zonePeers returns the servers of this one's zone, as far as it is known.
func (h *healthMonitor) zonePeers() (names []string) {
	for name := range h.agent.network.Members() {
		if h.config.Zone == "" || h.zones[name] == h.config.Zone {
			names = append(names, name)
		}
	}
	return names
}

func (h *healthMonitor) nextWakeup(float64) float64 {
	return min(h.nextDecision, h.lastReport+healthReportInterval)
}

func (h *healthMonitor) tick(now float64) {
	if now >= h.nextDecision {
		h.nextDecision = now + healthDecisionInterval
		h.decide(now)
	}
	if now >= h.lastReport+healthReportInterval {
		h.lastReport = now
		h.report(now)
	}
}

// decide judges the service, and hands the serving loop the limit if it changed.
func (h *healthMonitor) decide(now float64) {
	maxInFlight, changed := h.breaker.Decide(now, h.zonePeers)
	if changed {
		state, _ := h.breaker.State()
		h.agent.logger.Info("circuit_breaker_changed", "state", state, "max_in_flight", maxInFlight)
	}
	limit := CallLimit{MaxInFlight: maxInFlight, Probe: h.breaker.ProbeSlot(now)}
	if limit != h.limit {
		h.limit = limit
		h.config.OnLimit(limit)
	}
}

// report gossips the newest reports.
func (h *healthMonitor) report(now float64) {
	if len(h.zones) >= maxZones {
		clear(h.zones) // names come and go for ever; those that are there report again
	}
	if reports := h.breaker.GossipReports(now, h.agent.incarnation, maxRelayedReports); len(reports) > 0 {
		h.agent.gossip(gossipFanout, &wire.Envelope{HealthReports: reports})
	}
}
