package replication

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"swiftcourse/internal/policy/connlimit"
)

// MaxTrustedClients bounds the clients of one server's trust record, which lists those with most
// credit there. Few servers have more clients that reconnect during a restart.
const MaxTrustedClients = 256

// maxTrustServers bounds the servers whose trust records are held.
const maxTrustServers = 128

// TrustRecord lists the clients that earned a server's trust in connection admission.
type TrustRecord struct {
	Name        string // of the server
	Incarnation uint64
	Sequence    uint64 // grows with each record of a name: milliseconds of its time of day
	Clients     []connlimit.TrustedClient
}

// newerThan reports whether a record replaces another one of the same server, in whatever order they
// arrive.
func (t *TrustRecord) newerThan(other *TrustRecord) bool {
	return cmp.Or(cmp.Compare(t.Sequence, other.Sequence), cmp.Compare(t.Incarnation, other.Incarnation)) > 0
}

// TrustTable holds the newest trust record of each server of a fleet.
type TrustTable struct {
	retention float64 // seconds
	entries   map[string]*trustEntry
}

// trustEntry is a record and when it was received, in seconds.
type trustEntry struct {
	TrustRecord
	receivedAt float64
}

// NewTrustTable returns an empty table that keeps a record for retention seconds.
func NewTrustTable(retention float64) *TrustTable {
	return &TrustTable{retention: retention, entries: map[string]*trustEntry{}}
}

// Observe stores a record that is newer than the stored one of its server, and reports whether it was.
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

// RecordsFor lists at most limit records for a server that has just started: the one of its own name
// first, then the others by name.
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

// MergedClients returns at most limit clients of all records. Those that two servers or more list
// come first, each with its second highest credit. The places left are divided evenly among the
// servers, so that one server with a long false list can't displace the others' clients.
func (t *TrustTable) MergedClients(now float64, limit int) []connlimit.TrustedClient {
	t.expire(now)
	credits := t.creditsByClient()
	clients := confirmedClients(credits)
	clients = clients[:min(len(clients), limit)]
	left := limit - len(clients)
	names := t.names()
	for i, name := range names {
		part := left / (len(names) - i)
		for _, client := range t.entries[name].Clients {
			if part > 0 && len(credits[client.Addr]) == 1 {
				clients = append(clients, client)
				part--
				left--
			}
		}
	}
	return clients
}

// creditsByClient returns, for each client, the credits that servers give it.
func (t *TrustTable) creditsByClient() map[netip.Addr][]float64 {
	credits := map[netip.Addr][]float64{}
	for _, name := range t.names() {
		for _, client := range t.entries[name].Clients {
			credits[client.Addr] = append(credits[client.Addr], client.Credit)
		}
	}
	return credits
}

// confirmedClients returns the clients that two servers or more list, with the second highest
// of their credits, those with most credit first.
func confirmedClients(credits map[netip.Addr][]float64) []connlimit.TrustedClient {
	var clients []connlimit.TrustedClient
	for addr, given := range credits {
		if len(given) > 1 {
			slices.Sort(given)
			clients = append(clients, connlimit.TrustedClient{Addr: addr, Credit: given[len(given)-2]})
		}
	}
	slices.SortFunc(clients, func(a, b connlimit.TrustedClient) int {
		return cmp.Or(cmp.Compare(b.Credit, a.Credit), a.Addr.Compare(b.Addr))
	})
	return clients
}
