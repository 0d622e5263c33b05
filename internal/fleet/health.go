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

// CallLimit is how many calls to the downstream service may be in flight.
type CallLimit struct {
	MaxInFlight float64 // +Inf for no limit
	Probe       int64   // number of the probe to make with the next call, once for each number; 0 for none
}

const (
	// healthDecisionInterval is how often the service is judged, in seconds.
	healthDecisionInterval = 0.1
	// healthReportInterval is how often reports are gossiped, in seconds: to gossipFanout others,
	// with the newest reports of maxRelayedReports servers, so that one reaches a thousand servers
	// within a second and a half.
	healthReportInterval = 0.25
	maxRelayedReports    = 16
	// maxServerZones bounds how many servers' zones are remembered.
	maxServerZones = 4096
)

// healthMonitor judges the downstream service by the outcomes of this server's calls and others'.
type healthMonitor struct {
	agent        *Agent
	config       *HealthConfig
	breaker      *circuitbreaker.Breaker
	nextDecision float64
	lastReport   float64
	limit        CallLimit
	serverZones  map[string]string // of other servers, by their reports
}

func newHealthMonitor(a *Agent, now float64) *healthMonitor {
	h := &healthMonitor{
		agent:        a,
		config:       a.config.Health,
		breaker:      circuitbreaker.New(a.config.Name, a.config.Health.Zone, now),
		nextDecision: now,
		lastReport:   now,
		limit:        CallLimit{MaxInFlight: math.Inf(1)},
		serverZones:  map[string]string{},
	}
	a.registerHandler(h.handleReports, wire.KindHealthReports)
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
		known := h.serverZones[report.Server] != ""
		if h.breaker.HandleReport(now, report) && (known || len(h.serverZones) < maxServerZones) {
			h.serverZones[report.Server] = report.Zone
		}
	}
}

// zonePeers returns the members in this server's zone, or all where it has none.
func (h *healthMonitor) zonePeers() (names []string) {
	for name := range h.agent.network.Members() {
		if h.config.Zone == "" || h.serverZones[name] == h.config.Zone {
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
	if len(h.serverZones) >= maxServerZones {
		clear(h.serverZones) // of names that are gone; the present servers report again
	}
	if reports := h.breaker.GossipReports(now, h.agent.incarnation, maxRelayedReports); len(reports) > 0 {
		h.agent.gossip(gossipFanout, &wire.Envelope{HealthReports: reports})
	}
}
