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
	Zone    string          // of this server, "" if unknown
	OnLimit func(CallLimit) // passes each new limit to the serving loop
}

// CallLimit limits the calls to the downstream service.
type CallLimit struct {
	MaxInFlight float64 // calls that may be in flight, +Inf for no limit
	// ProbeNumber is the number of the probe that the next call is to make, 0 for no probe. The serving loop
	// makes at most one probe for each number.
	ProbeNumber int64
}

const (
	// healthDecisionIntervalSeconds is the time between two decisions of the circuit breaker.
	healthDecisionIntervalSeconds = 0.1
	// healthReportIntervalSeconds is the time between two gossip messages with the newest reports of
	// up to maxRelayedReports servers, sent to gossipFanout members. A report reaches a thousand
	// servers within 1.5 seconds.
	healthReportIntervalSeconds = 0.25
	maxRelayedReports           = 16
	// maxServerZones limits the entries of healthMonitor.serverZones.
	maxServerZones = 4096
)

// healthMonitor runs the circuit breaker for the downstream service. The breaker decides by the
// outcomes of this server's calls and the reports of other servers.
type healthMonitor struct {
	agent        *Agent
	config       *HealthConfig
	breaker      *circuitbreaker.Breaker
	nextDecision float64
	lastReport   float64
	limit        CallLimit
	serverZones  map[string]string // zones by server name, from the servers' reports
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

// ObserveCalls records the outcomes of the serving loop's calls. It has no effect if the circuit
// breaker is disabled.
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

// zonePeers returns the members in this server's zone, or all members if its zone is unknown.
func (h *healthMonitor) zonePeers() (names []string) {
	for name := range h.agent.network.Members() {
		if h.config.Zone == "" || h.serverZones[name] == h.config.Zone {
			names = append(names, name)
		}
	}
	return names
}

func (h *healthMonitor) nextWakeup(float64) float64 {
	return min(h.nextDecision, h.lastReport+healthReportIntervalSeconds)
}

func (h *healthMonitor) tick(now float64) {
	if now >= h.nextDecision {
		h.nextDecision = now + healthDecisionIntervalSeconds
		h.decide(now)
	}
	if now >= h.lastReport+healthReportIntervalSeconds {
		h.lastReport = now
		h.report(now)
	}
}

// decide runs the circuit breaker's decision, and passes the limit to the serving loop if it changed.
func (h *healthMonitor) decide(now float64) {
	maxInFlight, changed := h.breaker.Decide(now, h.zonePeers)
	if changed {
		state, _ := h.breaker.State()
		h.agent.logger.Info("circuit_breaker_changed", "state", state, "max_in_flight", maxInFlight)
	}
	limit := CallLimit{MaxInFlight: maxInFlight, ProbeNumber: h.breaker.ProbeSlot(now)}
	if limit != h.limit {
		h.limit = limit
		h.config.OnLimit(limit)
	}
}

// report gossips the newest reports of this server and others.
func (h *healthMonitor) report(now float64) {
	if len(h.serverZones) >= maxServerZones {
		clear(h.serverZones) // drops servers that have left; present servers report again
	}
	if reports := h.breaker.GossipReports(now, h.agent.incarnation, maxRelayedReports); len(reports) > 0 {
		h.agent.gossip(gossipFanout, &wire.Envelope{HealthReports: reports})
	}
}
