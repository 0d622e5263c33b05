package audit

import (
	"maps"
	"slices"

	"swiftcourse/internal/policy/release"
)

const (
	// maxIntervals bounds the intervals kept of an incarnation: two for each release, so thirty
	// releases. An account says how many older ones were dropped.
	maxIntervals = 64
	// maxIncarnations bounds the incarnations kept of a name: the present one, and enough earlier
	// ones to see what the last one did.
	maxIncarnations = 4
	// maxServers bounds the names. The release log has the same bound.
	maxServers = 4096
	// SummaryIntervals is how many intervals a server reports regularly, so that others know on which
	// versions it acted last if it dies.
	SummaryIntervals = 4
)

// Trail holds a server's own account and the accounts it received of other servers.
type Trail struct {
	account Account
	others  map[string][]Account // by name, one for each incarnation
}

// NewTrail returns the trail of an incarnation that starts at now.
func NewTrail(name string, incarnation uint64, now float64) *Trail {
	return &Trail{
		account: Account{Name: name, Incarnation: incarnation, Started: now, LastSeen: now},
		others:  map[string][]Account{},
	}
}

// BeginInterval records that the server acts on a version from now on.
func (t *Trail) BeginInterval(now float64, epoch release.Epoch, digest, reason string) {
	t.Record(now, 0, 0)
	if len(t.account.Intervals) >= maxIntervals {
		t.account.Intervals = slices.Delete(t.account.Intervals, 0, 1)
		t.account.DroppedIntervals++
	}
	t.account.Intervals = append(t.account.Intervals, Interval{
		Index:  t.account.DroppedIntervals + uint64(len(t.account.Intervals)),
		Epoch:  epoch,
		Digest: digest,
		From:   now,
		To:     now,
		Reason: reason,
	})
}

// Record adds decision batches and requests to the current interval. A clock that steps back does
// not shorten it.
func (t *Trail) Record(now float64, batches, requests uint64) {
	t.account.LastSeen = max(t.account.LastSeen, now)
	count := len(t.account.Intervals)
	if count == 0 {
		return
	}
	current := &t.account.Intervals[count-1]
	current.To = max(current.To, now)
	current.Batches += batches
	current.Requests += requests
}

// Account returns the whole account of this incarnation.
func (t *Trail) Account() Account { return t.account.latest(maxIntervals) }

// Summary returns the latest part of the account.
func (t *Trail) Summary() Account { return t.account.latest(SummaryIntervals) }

// Merge adds an account received from its server or from another one that received it. Two reports
// of one incarnation are combined. An account that is malformed, or for which there is no room, is
// ignored.
func (t *Trail) Merge(received Account) {
	isOwn := received.Name == t.account.Name && received.Incarnation == t.account.Incarnation
	if isOwn || received.Name == "" || len(received.Intervals) > maxIntervals || !received.isOrdered() {
		return
	}
	accounts, isKnown := t.others[received.Name]
	if !isKnown && len(t.others) >= maxServers {
		return
	}
	sameIncarnation := func(other Account) bool { return other.Incarnation == received.Incarnation }
	if index := slices.IndexFunc(accounts, sameIncarnation); index >= 0 {
		accounts[index] = mergeAccounts(accounts[index], received)
		return
	}
	if len(accounts) >= maxIncarnations {
		oldest := oldestAccount(accounts)
		if accounts[oldest].LastSeen > received.LastSeen {
			return
		}
		accounts = slices.Delete(accounts, oldest, oldest+1)
	}
	t.others[received.Name] = append(accounts, received.latest(maxIntervals))
}

// oldestAccount returns the index of the account that was last seen first, by its own clock.
func oldestAccount(accounts []Account) int {
	oldest := 0
	for index := range accounts {
		if accounts[index].LastSeen < accounts[oldest].LastSeen {
			oldest = index
		}
	}
	return oldest
}

// Accounts returns the accounts received of the named servers, of all incarnations; a nil list of
// names asks for all.
func (t *Trail) Accounts(names []string) []Account {
	if names == nil {
		names = slices.Sorted(maps.Keys(t.others))
	}
	var list []Account
	for _, name := range names {
		for _, a := range t.others[name] {
			list = append(list, a.latest(maxIntervals))
		}
	}
	return list
}

// Forget drops the accounts of names that are not registered any more.
func (t *Trail) Forget(isRegistered func(name string) bool) {
	maps.DeleteFunc(t.others, func(name string, _ []Account) bool { return !isRegistered(name) })
}
