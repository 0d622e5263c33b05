package replication

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"swiftcourse/internal/policy/connlimit"
)

// MaxTrustedClients is how many callers one server tells of: those that earned most there. A server hardly has more that come back within a restart.
const MaxTrustedClients = 256

// maxTrustServers bounds whose words are held.
const maxTrustServers = 128

// TrustRecord is a server's word on the callers that earned being known at its door.
type TrustRecord struct {
	Name        string
	Incarnation uint64
	Sequence    uint64 // grows with each word of a name: milliseconds of its time of day
	Clients     []connlimit.Earned
}

// newer tells which word of one name counts, whatever order they come in.
func (v *TrustRecord) newer(than *TrustRecord) bool {
	return cmp.Or(cmp.Compare(v.Sequence, than.Sequence), cmp.Compare(v.Incarnation, than.Incarnation)) > 0
}

// TrustTable are the words of servers of a fleet, the newest of each.
type TrustTable struct {
	retention  float64
	records    map[string]*TrustRecord
	receivedAt map[string]float64
}

// NewTrustTable makes an empty table, in which a word is kept for so many seconds.
func NewTrustTable(forget float64) *TrustTable {
	return &TrustTable{retention: forget, records: map[string]*TrustRecord{}, receivedAt: map[string]float64{}}
}

// Observe takes a word in, and tells whether it is news. One that is older than what is there, or comes twice, changes nothing.
func (v *TrustTable) Observe(now float64, w TrustRecord) bool {
	if was := v.records[w.Name]; was != nil && !w.newer(was) {
		return false
	}
	if v.records[w.Name] == nil && len(v.records) >= maxTrustServers {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(v.receivedAt)), func(a, b string) int { return cmp.Compare(v.receivedAt[a], v.receivedAt[b]) })
		v.remove(oldest)
	}
	w.Clients = w.Clients[:min(len(w.Clients), MaxTrustedClients)]
	v.records[w.Name], v.receivedAt[w.Name] = &w, now
	return true
}

func (v *TrustTable) remove(name string) {
	delete(v.records, name)
	delete(v.receivedAt, name)
}

// RecordsFor lists words to tell one who is new: what is held of its own name first, then others by name, at most so many.
func (v *TrustTable) RecordsFor(now float64, name string, most int) (list []TrustRecord) {
	v.expire(now)
	if own := v.records[name]; own != nil {
		list = append(list, *own)
	}
	for _, other := range slices.Sorted(maps.Keys(v.records)) {
		if other != name && len(list) < most {
			list = append(list, *v.records[other])
		}
	}
	return list
}

func (v *TrustTable) expire(now float64) {
	for name, at := range v.receivedAt {
		if now > at+v.retention {
			v.remove(name)
		}
	}
}

// MergedClients is what all words come to, at most so many callers. Those of whom two servers or more say so come first, with the second highest of what they
// said; of the rest each server has an even part of the places, so that one with a long list of its own making displaces nobody else's.
func (v *TrustTable) MergedClients(now float64, most int) (list []connlimit.Earned) {
	v.expire(now)
	told := map[netip.Addr][]float64{}
	names := slices.Sorted(maps.Keys(v.records))
	for _, name := range names {
		for _, e := range v.records[name].Clients {
			told[e.Addr] = append(told[e.Addr], e.Credit)
		}
	}
	for addr, credits := range told {
		if len(credits) > 1 {
			slices.Sort(credits)
			list = append(list, connlimit.Earned{Addr: addr, Credit: credits[len(credits)-2]})
		}
	}
	slices.SortFunc(list, func(a, b connlimit.Earned) int {
		return cmp.Or(cmp.Compare(b.Credit, a.Credit), a.Addr.Compare(b.Addr))
	})
	list = list[:min(len(list), most)]
	left := most - len(list)
	for i, name := range names {
		part := left / (len(names) - i)
		for _, e := range v.records[name].Clients {
			if part > 0 && len(told[e.Addr]) == 1 {
				list = append(list, e)
				part--
				left--
			}
		}
	}
	return list
}
