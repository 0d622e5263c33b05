package fleet

import (
	"math"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/replication"
	wire "swiftcourse/internal/wire/fleet"
)

// TrustConfig configures how servers share which clients they trust.
type TrustConfig struct {
	Retention  float64 // seconds for which others' trust records are kept
	MaxClients int     // most clients that a server adopts from others
	// OnTrusted hands the serving loop clients that other servers trust.
	OnTrusted func([]connlimit.TrustedClient)
}

const (
	// trustAcceptFor is how long after its start a server adopts others' records, in seconds: by
	// then its clients have had time to earn trust here, and a false record changes nothing later.
	trustAcceptFor = 30.0
	// A new server requests others' records every trustRequestInterval, until it received some or
	// trustRequestFor has passed; in seconds.
	trustRequestInterval = 0.2
	trustRequestFor      = 5.0
	// trustReportInterval is how often records are gossiped, in seconds, to gossipFanout others: after
	// two servers died, a fourth of those left knows a client that one of them trusted.
	trustReportInterval = 4.0
	// maxTrustRecords go in one reply: 16 lists of 256 clients are 100 KB.
	maxTrustRecords = 16
)

// trustSharer reports to others which clients this server trusts, and adopts theirs while it is
// new.
type trustSharer struct {
	agent       *Agent
	config      *TrustConfig
	records     *replication.TrustTable // of others
	own         replication.TrustRecord
	started     float64
	lastRequest float64
	lastReport  float64
	received    bool // others' records were received, so that no more requests are needed
}

func newTrustSharer(a *Agent, now float64) *trustSharer {
	t := &trustSharer{
		agent:       a,
		config:      a.config.Trust,
		records:     replication.NewTrustTable(a.config.Trust.Retention),
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

// needsRecords reports whether others' records are still to be requested.
func (t *trustSharer) needsRecords(now float64) bool {
	return !t.received && now < t.started+trustRequestFor
}

func (t *trustSharer) nextWakeup(now float64) float64 {
	if t.needsRecords(now) {
		return t.lastRequest + trustRequestInterval
	}
	return t.lastReport + trustReportInterval
}

func (t *trustSharer) tick(now float64) {
	if t.needsRecords(now) && now >= t.lastRequest+trustRequestInterval {
		t.lastRequest = now
		t.agent.gossip(gossipFanout, &wire.Envelope{TrustRequest: true})
	}
	if now < t.lastReport+trustReportInterval {
		return
	}
	t.lastReport = now
	if len(t.own.Clients) > 0 {
		t.agent.gossip(gossipFanout, &wire.Envelope{TrustRecords: []replication.TrustRecord{t.own}})
	}
}

// handleRequest answers a server that is new.
func (t *trustSharer) handleRequest(now float64, message *wire.Envelope) {
	records := t.records.RecordsFor(now, message.From, maxTrustRecords-1)
	if len(t.own.Clients) > 0 {
		records = append(records, t.own)
	}
	if len(records) > 0 {
		t.agent.sendReply(message, &wire.Envelope{TrustRecords: records})
	}
}

// handleRecords merges others' records.
func (t *trustSharer) handleRecords(now float64, message *wire.Envelope) {
	changed := false
	for _, record := range message.TrustRecords {
		if t.records.Observe(now, record) {
			changed = true
		}
	}
	if changed && now < t.started+trustAcceptFor {
		t.received = true
		t.config.OnTrusted(t.records.MergedClients(now, t.config.MaxClients))
	}
}
