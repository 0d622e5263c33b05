package replication

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"swiftcourse/internal/policy/connlimit"
)

// MaxTrustedClients bounds the clients in one trust record, which lists the clients with the most
// credit at a server. Few servers have more clients that reconnect during a restart.
const MaxTrustedClients = 256

// maxTrustServers bounds the trust records in a TrustTable, one for each server.
const maxTrustServers = 128

// TrustRecord lists the clients that a server's connection admission trusts.
type TrustRecord struct {
	Name        string // name of the server
	Incarnation uint64 // incarnation of the server
	Sequence    uint64 // the server's time of day in ms, which increases with each of its records
	Clients     []connlimit.TrustedClient
}

// newerThan reports whether a record replaces another record of the same server. It does not depend
// on the order in which the records arrive.
func (t *TrustRecord) newerThan(other *TrustRecord) bool {
	return cmp.Or(cmp.Compare(t.Sequence, other.Sequence), cmp.Compare(t.Incarnation, other.Incarnation)) > 0
}

// TrustTable holds the newest trust record of each server of a fleet.
type TrustTable struct {
	retention float64 // seconds
	entries   map[string]*trustEntry
}

// trustEntry is a record and the time in seconds at which it was received.
type trustEntry struct {
	TrustRecord
	receivedAt float64
}

// NewTrustTable returns an empty table that keeps each record for retention seconds.
func NewTrustTable(retention float64) *TrustTable {
	return &TrustTable{retention: retention, entries: map[string]*trustEntry{}}
}

// Observe stores a record if it is newer than the stored record of the same server, and reports
// whether it stored the record.
func (t *TrustTable) Observe(now float64, record TrustRecord) bool {
	known := t.entries[record.Name]
	if known != nil && !record.newerThan(&known.TrustRecord) {
		return false
	}
	if known == nil && len(t.entries) >= maxTrustServers {
		t.removeOldest()
	}
	record.Clients = record.Clients[:min(len(record.Clients), MaxTrustedClients)]
	t.entries[record.Name] = &trustEntry{TrustRecord: record, receivedAt: now}
	return true
}

func (t *TrustTable) names() []string { return slices.Sorted(maps.Keys(t.entries)) }

func (t *TrustTable) removeOldest() {
	oldest := slices.MinFunc(t.names(), func(a, b string) int {
		return cmp.Compare(t.entries[a].receivedAt, t.entries[b].receivedAt)
	})
	delete(t.entries, oldest)
}

func (t *TrustTable) expire(now float64) {
	maps.DeleteFunc(t.entries, func(_ string, entry *trustEntry) bool {
		return now > entry.receivedAt+t.retention
	})
}

// RecordsFor returns at most limit records to send to a server that has just started: first the
// record of that server, then the others in the order of server names.
func (t *TrustTable) RecordsFor(now float64, name string, limit int) []TrustRecord {
	t.expire(now)
	var records []TrustRecord
	if own := t.entries[name]; own != nil {
		records = append(records, own.TrustRecord)
	}
	for _, other := range t.names() {
		if other != name && len(records) < limit {
			records = append(records, t.entries[other].TrustRecord)
		}
	}
	return records
}

// MergedClients returns at most limit clients of all records. Clients that at least two servers
// list come first, each with its second highest credit. The remaining entries are divided evenly
// among the servers, so that a server with a long list of false clients can't displace those of
// other servers.
func (t *TrustTable) MergedClients(now float64, limit int) []connlimit.TrustedClient {
	t.expire(now)
	credits := t.creditsByClient()
	clients := confirmedClients(credits)
	clients = clients[:min(len(clients), limit)]
	remaining := limit - len(clients)
	names := t.names()
	for i, name := range names {
		share := remaining / (len(names) - i)
		for _, client := range t.entries[name].Clients {
			if share > 0 && len(credits[client.Addr]) == 1 {
				clients = append(clients, client)
				share--
				remaining--
			}
		}
	}
	return clients
}

// creditsByClient returns the credits of each client in the records that list it.
func (t *TrustTable) creditsByClient() map[netip.Addr][]float64 {
	credits := map[netip.Addr][]float64{}
	for _, name := range t.names() {
		for _, client := range t.entries[name].Clients {
			credits[client.Addr] = append(credits[client.Addr], client.Credit)
		}
	}
	return credits
}

// confirmedClients returns the clients that at least two servers list, each with its second highest
// credit, in descending order of credit.
func confirmedClients(credits map[netip.Addr][]float64) []connlimit.TrustedClient {
	var clients []connlimit.TrustedClient
	for addr, clientCredits := range credits {
		if len(clientCredits) > 1 {
			slices.Sort(clientCredits)
			clients = append(clients, connlimit.TrustedClient{Addr: addr, Credit: clientCredits[len(clientCredits)-2]})
		}
	}
	slices.SortFunc(clients, func(a, b connlimit.TrustedClient) int {
		return cmp.Or(cmp.Compare(b.Credit, a.Credit), a.Addr.Compare(b.Addr))
	})
	return clients
}
