package fleet

import (
	"math"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/replication"
	wire "swiftcourse/internal/wire/fleet"
)

// TrustConfig configures the sharing of trusted clients among servers.
type TrustConfig struct {
	RetentionSeconds float64 // seconds for which trust records of other servers are kept
	MaxClients       int     // maximum number of clients that a server adopts from others
	// OnTrusted passes clients that other servers trust to the serving loop.
	OnTrusted func([]connlimit.TrustedClient)
}

const (
	// trustAcceptSeconds is how long after its start a server adopts the records of other servers.
	// Afterwards its clients have had time to earn trust from the server itself, and a false record
	// has no effect.
	trustAcceptSeconds = 30.0
	// A new server requests records every trustRequestIntervalSeconds, until it has received some or
	// trustRequestSeconds have passed.
	trustRequestIntervalSeconds = 0.2
	trustRequestSeconds         = 5.0
	// trustReportIntervalSeconds is the time between two gossip messages with this server's record,
	// sent to gossipFanout members. If two servers fail, a quarter of the remaining servers then know
	// a client that one of the two trusted.
	trustReportIntervalSeconds = 4.0
	// maxTrustRecords limits the records in one reply: 16 lists of 256 clients take 100 KB.
	maxTrustRecords = 16
)

// trustSharer reports the clients that this server trusts to other servers, and adopts their trusted
// clients while this server is new.
type trustSharer struct {
	agent           *Agent
	config          *TrustConfig
	records         *replication.TrustTable // of other servers
	own             replication.TrustRecord
	started         float64
	lastRequest     float64
	lastReport      float64
	receivedRecords bool // whether records were received, so that no more requests are needed
}

func newTrustSharer(a *Agent, now float64) *trustSharer {
	t := &trustSharer{
		agent:       a,
		config:      a.config.Trust,
		records:     replication.NewTrustTable(a.config.Trust.RetentionSeconds),
		started:     now,
		lastRequest: math.Inf(-1),
		lastReport:  now,
	}
	a.registerHandler(t.handleRequest, wire.KindTrustRequest)
	a.registerHandler(t.handleRecords, wire.KindTrustRecords)
	return t
}

// ObserveTrusted records the clients that this server's connection limiter trusts.
func (a *Agent) ObserveTrusted(clients []connlimit.TrustedClient) {
	if a.trust == nil {
		return
	}
	a.trust.own = replication.TrustRecord{
		Name:        a.config.Name,
		Incarnation: a.incarnation,
		Sequence:    a.unixMilli(),
		Clients:     clients,
	}
}

// needsRecords reports whether records still have to be requested from other servers.
func (t *trustSharer) needsRecords(now float64) bool {
	return !t.receivedRecords && now < t.started+trustRequestSeconds
}

func (t *trustSharer) nextWakeup(now float64) float64 {
	if t.needsRecords(now) {
		return t.lastRequest + trustRequestIntervalSeconds
	}
	return t.lastReport + trustReportIntervalSeconds
}

func (t *trustSharer) tick(now float64) {
	if t.needsRecords(now) && now >= t.lastRequest+trustRequestIntervalSeconds {
		t.lastRequest = now
		t.agent.gossip(gossipFanout, &wire.Envelope{TrustRequest: true})
	}
	if now < t.lastReport+trustReportIntervalSeconds {
		return
	}
	t.lastReport = now
	if len(t.own.Clients) > 0 {
		t.agent.gossip(gossipFanout, &wire.Envelope{TrustRecords: []replication.TrustRecord{t.own}})
	}
}

// handleRequest replies to a new server with this server's record and those known of other servers.
func (t *trustSharer) handleRequest(now float64, message *wire.Envelope) {
	records := t.records.RecordsFor(now, message.From, maxTrustRecords-1)
	if len(t.own.Clients) > 0 {
		records = append(records, t.own)
	}
	if len(records) > 0 {
		t.agent.sendReply(message, &wire.Envelope{TrustRecords: records})
	}
}

// handleRecords merges records of other servers. While this server is new it passes the merged
// clients to the serving loop.
func (t *trustSharer) handleRecords(now float64, message *wire.Envelope) {
	changed := false
	for _, record := range message.TrustRecords {
		if t.records.Observe(now, record) {
			changed = true
		}
	}
	if changed && now < t.started+trustAcceptSeconds {
		t.receivedRecords = true
		t.config.OnTrusted(t.records.MergedClients(now, t.config.MaxClients))
	}
}
