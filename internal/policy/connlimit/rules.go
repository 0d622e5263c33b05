package connlimit

import (
	"net/netip"
	"strconv"

	"swiftcourse/internal/timewindow"
)

// Rules are the operator's limits on connections. A limit of 0 is none.
type Rules struct {
	Most    int // connections that are admitted
	Reserve int // of these, what untrusted addresses can't keep from trusted ones

	// Of an untrusted address; a trusted one may have four times as many. By prefix, of all its
	// untrusted addresses together.
	PerAddress      int     // connections
	PerPrefix       int     // connections
	ArrivalsAddress float64 // new connections a second
	ArrivalsPrefix  float64 // new connections a second

	V4    int            // bits of an IPv4 prefix
	V6    int            // bits of an IPv6 prefix
	Named []netip.Prefix // always trusted, and without limits

	Lobby    int     // connections held until their first request is rejected
	Remember int     // addresses, and prefixes, remembered without a connection
	Earn     int     // requests done, in as many seconds at least, that make an address trusted
	Forget   float64 // half-life of an address's credit, s

	ComeBack     float64 // the least time to retry after, s
	ComeBackMost float64 // the longest, s

	Share float64 // of a core, that accepting connections may take
	Seed  int64   // of the jitter of the time to retry after
}

// Cause is why a connection was not admitted.
type Cause uint8

// The reasons to reject a connection.
const (
	LetIn             Cause = iota // it was admitted
	OverRate                       // its address or prefix opens connections too often
	OverCap                        // its address or prefix holds as many as it may
	NoPlace                        // no slot is free, and nobody's share is larger than its own
	NoLobby                        // even the holding area is full: to be closed at once
	rejectReasonCount              // how many reasons there are
)

var rejectReasonNames = [rejectReasonCount]string{
	LetIn:    "admitted",
	OverRate: "rate_limited",
	OverCap:  "over_cap",
	NoPlace:  "no_free_slot",
	NoLobby:  "holding_area_full",
}

// String returns the name of the reason.
func (r Cause) String() string {
	if r >= rejectReasonCount {
		return "reject reason " + strconv.Itoa(int(r))
	}
	return rejectReasonNames[r]
}

// clientPolicy is the part of a limiter that goes by rules and tells client addresses apart.
type clientPolicy struct {
	Rules

	addresses       *addressTable
	prefixes        *addressTable
	admitted        int // connections
	activeUntrusted int // admitted connections of untrusted addresses with an open request
	slots           slots
	arrivals        arrivalCost
	rejections      [rejectReasonCount]int
	jitterDraws     uint32 // how often jitter was drawn
	trustChanged    bool   // since the trusted addresses were last returned
}

// NewGuarded returns a limiter that goes by rules, for connections that may be idle for idleTimeout
// seconds. It takes the memory for its addresses at once.
func NewGuarded(idleTimeout float64, rules Rules) *Door {
	// Trusted addresses may overflow the holding area for a moment.
	const heldFactor, spare = 4, 64
	connections := rules.Most + heldFactor*rules.Lobby + spare
	limiter := New(idleTimeout)
	limiter.clientPolicy = &clientPolicy{
		Rules:     rules,
		addresses: newAddressTable(connections, rules.Remember),
		prefixes:  newAddressTable(connections, rules.Remember),
		slots:     slots{limit: rules.Most},
		arrivals:  arrivalCost{costs: timewindow.NewMinimum(costBuckets, costBucketWidth, 0)},
	}
	return limiter
}

// Guarded reports whether the limiter goes by rules.
func (l *Door) Guarded() bool { return l.clientPolicy != nil }

// Heed has the limiter go by other rules from now on. It reports whether all of them apply: sizes
// and prefix lengths stay as they were until a restart.
func (l *Door) Heed(rules Rules) (all bool) {
	policy := l.clientPolicy
	all = l.Fits(rules)
	current := policy.Rules
	rules.V4 = current.V4
	rules.V6 = current.V6
	rules.Lobby = current.Lobby
	rules.Remember = current.Remember
	rules.Most = current.Most
	policy.Rules = rules
	for id, client := range policy.addresses.all() {
		client.trustedByRule = policy.isTrustedByRule(client.key.address())
		if client.trustedByRule && !client.trusted {
			policy.setTrusted(id, true)
		}
	}
	return all
}

// Fits reports whether all of the rules would apply without a restart.
func (l *Door) Fits(rules Rules) bool {
	current := l.clientPolicy.Rules
	return rules.V4 == current.V4 &&
		rules.V6 == current.V6 &&
		rules.Lobby == current.Lobby &&
		rules.Remember == current.Remember &&
		rules.Most == l.clientPolicy.slots.limit
}
