package fleet

import (
	"math"

	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/policy/replication"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is what a process tells others of the callers known at its door, and is told of them when it is new.

// TrustConfig is what a process does with them.
type TrustConfig struct {
	Retention  float64 // seconds for which others' words are kept
	MaxClients int     // callers that a door takes over
	// Hear hands the serving loop callers that earned being known elsewhere.
	OnTrusted func([]connlimit.Earned)
}

// trustState is the part's state of them.
type trustState struct {
	*TrustConfig
	records     *replication.TrustTable
	own         replication.TrustRecord
	started     float64
	lastRequest float64
	lastReport  float64
	received    bool
}

const (
	// acceptFor is how long after its start a server takes others' words for its door: then its callers have had time to earn it, and whoever lies to it
	// later bends nothing.
	acceptFor = 30.0
	// trustRequestEvery and askCallersFor: some others are asked at once, and again until one has answered.
	trustRequestEvery, trustRequestFor = 0.2, 5.0
	// trustReportEvery is how often others are told, and briefTo of them: with three, a caller known to one server is known to a fourth of what is left after two die.
	trustReportEvery = 4.0
	// maxTrustRecords go in one answer: 16 lists of 256 callers are 100 KB.
	maxTrustRecords = 16
	// maxTrustedLists wait for the goroutine; a newer list comes soon.
	maxTrustedLists = 2
)

// ReportTrusted takes the callers known at this server's door, from the serving loop.
func (f *Node) ReportTrusted(list []connlimit.Earned) {
	select {
	case f.trustedClients <- list:
	default:
	}
}

func (f *Agent) beginCallers(now float64) {
	if f.Trust == nil {
		return
	}
	f.trust = &trustState{TrustConfig: f.Config.Trust, records: replication.NewTrustTable(f.Config.Trust.Retention), started: now, lastRequest: math.Inf(-1), lastReport: now}
}

func (f *Agent) earned(list []connlimit.Earned) {
	if c := f.trust; c != nil {
		c.own = replication.TrustRecord{Name: f.Name, Incarnation: f.incarnation, Sequence: uint64(max(0, f.UnixNow()*1000)), Clients: list}
	}
}

func (f *Agent) dueCallers(now float64) {
	c := f.trust
	if c == nil {
		return
	}
	if !c.received && now < c.started+trustRequestFor && now >= c.lastRequest+trustRequestEvery {
		c.lastRequest = now
		for _, addr := range f.network.Sample(gossipFanout, f.random) {
			f.send(addr, &wire.Envelope{TrustRequest: true})
		}
	}
	if now >= c.lastReport+trustReportEvery {
		c.lastReport = now
		if len(c.own.Clients) > 0 {
			for _, addr := range f.network.Sample(gossipFanout, f.random) {
				f.send(addr, &wire.Envelope{TrustRecords: []replication.TrustRecord{c.own}})
			}
		}
	}
}

func (f *Agent) nextCallers(now float64) float64 {
	c := f.trust
	if c == nil {
		return math.Inf(1)
	}
	if !c.received && now < c.started+trustRequestFor {
		return c.lastRequest + trustRequestEvery
	}
	return c.lastReport + trustReportEvery
}

// takeCallers answers one who is new, or takes others' words in.
func (f *Agent) takeCallers(now float64, m *wire.Envelope) {
	c := f.trust
	if c == nil {
		return
	}
	if m.TrustRequest {
		list := c.records.RecordsFor(now, m.From, maxTrustRecords-1)
		if len(c.own.Clients) > 0 {
			list = append(list, c.own)
		}
		if len(list) > 0 {
			f.reply(m, &wire.Envelope{TrustRecords: list})
		}
		return
	}
	news := false
	for _, v := range m.TrustRecords {
		news = c.records.Observe(now, v) || news
	}
	if news && now < c.started+acceptFor {
		c.received = true
		c.OnTrusted(c.records.MergedClients(now, c.MaxClients))
	}
}
