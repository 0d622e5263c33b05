package audit

import (
	"maps"
	"slices"

	"swiftcourse/internal/policy/release"
)

const (
	// maxIntervals bounds the intervals that are kept of an incarnation. A release takes two of
	// them, so they cover about thirty releases. Account.DroppedIntervals counts the older ones.
	maxIntervals = 64
	// maxIncarnations bounds the incarnations that are kept of a name: the present one and enough
	// earlier ones to show which versions ran before the restart.
	maxIncarnations = 4
	// maxServers bounds the number of names. The release log has the same limit.
	maxServers = 4096
	// SummaryIntervals is the number of latest intervals that a server reports regularly, so that
	// other servers know which versions it ran last if its process ends.
	SummaryIntervals = 4
)

// Trail holds a server's own account and the accounts that it received of other servers.
type Trail struct {
	account Account
	others  map[string][]Account // received accounts by name, one for each incarnation
}

// NewTrail returns the trail of an incarnation that starts at now, in Unix seconds.
func NewTrail(name string, incarnation uint64, now float64) *Trail {
	return &Trail{
		account: Account{Name: name, Incarnation: incarnation, Started: now, LastSeen: now},
		others:  map[string][]Account{},
	}
}

// BeginInterval records that the server runs a version from now on.
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

// Record adds decision batches and requests to the current interval and extends it to now. If the
// clock stepped back, the end of the interval does not change.
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

// Account returns a copy of the server's own account with all kept intervals.
func (t *Trail) Account() Account { return t.account.latest(maxIntervals) }

// Summary returns a copy of the server's own account with the latest SummaryIntervals intervals.
func (t *Trail) Summary() Account { return t.account.latest(SummaryIntervals) }

// Merge adds an account that was received from its server or passed on by another server. It
// combines reports of the same incarnation. It ignores an account that is malformed or exceeds a
// limit.
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

// oldestAccount returns the index of the account with the earliest LastSeen.
func oldestAccount(accounts []Account) int {
	oldest := 0
	for index := range accounts {
		if accounts[index].LastSeen < accounts[oldest].LastSeen {
			oldest = index
		}
	}
	return oldest
}

// Accounts returns the received accounts of all incarnations of the named servers, or of all
// servers if names is nil.
func (t *Trail) Accounts(names []string) []Account {
	if names == nil {
		names = slices.Sorted(maps.Keys(t.others))
	}
	var accounts []Account
	for _, name := range names {
		for _, a := range t.others[name] {
			accounts = append(accounts, a.latest(maxIntervals))
		}
	}
	return accounts
}

// RemoveUnregistered drops the received accounts of names that are not registered.
func (t *Trail) RemoveUnregistered(isRegistered func(name string) bool) {
	maps.DeleteFunc(t.others, func(name string, _ []Account) bool { return !isRegistered(name) })
}
