package connlimit

import (
	"net/netip"
	"strconv"

	"swiftcourse/internal/timewindow"
)

// Rules are the operator's limits on connections. A limit of 0 is none.
type Rules struct {
	MaxConnections int // connections that are admitted
	ReservedSlots  int // of these, the ones that untrusted addresses can't keep from trusted ones

	// Limits of an untrusted address, of which a trusted one has trustedLimitFactor times as much, and
	// of all untrusted addresses of a prefix together.
	MaxPerAddress  int     // connections
	MaxPerPrefix   int     // connections
	RatePerAddress float64 // new connections a second
	RatePerPrefix  float64 // new connections a second

	IPv4PrefixBits  int            // bits of an IPv4 prefix
	IPv6PrefixBits  int            // bits of an IPv6 prefix
	TrustedPrefixes []netip.Prefix // always trusted, and without limits

	HoldingSlots        int     // connections held until their first request is rejected
	RememberedAddresses int     // addresses, and prefixes, remembered without a connection
	TrustThreshold      int     // completed requests, one a second at most, that make an address trusted
	CreditHalfLife      float64 // half-life of an address's credit, s

	MinRetryAfter float64 // the least time to retry after, s
	MaxRetryAfter float64 // the greatest, s

	CPUShare float64 // fraction of a core that accepting connections may use
	Seed     int64   // of the jitter of the time to retry after
}

// RejectReason is why a connection was not admitted, or Admitted.
type RejectReason uint8

// The results of HandleArrival.
const (
	Admitted          RejectReason = iota // it was admitted
	RateLimited                           // its address or prefix opens connections too often
	OverCap                               // its address or prefix holds as many as it may
	NoFreeSlot                            // no slot is free for it without an eviction
	HoldingAreaFull                       // the holding area is full as well: to be closed at once
	rejectReasonCount                     // number of reasons
)

var rejectReasonNames = [rejectReasonCount]string{
	Admitted:        "admitted",
	RateLimited:     "rate_limited",
	OverCap:         "over_cap",
	NoFreeSlot:      "no_free_slot",
	HoldingAreaFull: "holding_area_full",
}

// String returns the name of the reason.
func (r RejectReason) String() string {
	if r >= rejectReasonCount {
		return "reject reason " + strconv.Itoa(int(r))
	}
	return rejectReasonNames[r]
}

// clientPolicy is the state of a limiter with rules: what it knows of client addresses and slots.
type clientPolicy struct {
	rules           Rules
	addresses       *addressTable
	prefixes        *addressTable
	admitted        int // connections
	activeUntrusted int // admitted connections of untrusted addresses with an open request
	slots           slots
	arrivals        arrivalCost
	rejections      [rejectReasonCount]int
	jitterDraws     uint32 // how many times jitter was drawn
	trustChanged    bool   // since the last call of TrustedAddresses
}

// NewWithRules returns a limiter with rules, for connections that may be idle for idleTimeout seconds. It
// allocates the memory for all of its addresses.
func NewWithRules(idleTimeout float64, rules Rules) *Limiter {
	// Trusted addresses may overflow the holding area for a moment.
	const heldFactor, spare = 4, 64
	connections := rules.MaxConnections + heldFactor*rules.HoldingSlots + spare
	limiter := New(idleTimeout)
	limiter.clientPolicy = &clientPolicy{
		rules:     rules,
		addresses: newAddressTable(connections, rules.RememberedAddresses),
		prefixes:  newAddressTable(connections, rules.RememberedAddresses),
		slots:     slots{limit: rules.MaxConnections},
		arrivals:  arrivalCost{costs: timewindow.NewMinimum(costBuckets, costBucketWidth, 0)},
	}
	return limiter
}

// HasRules reports whether the limiter has rules.
func (l *Limiter) HasRules() bool { return l.clientPolicy != nil }

// ApplyRules replaces the rules of a limiter that has some. It reports whether all of the new ones
// apply: table sizes, slots and prefix lengths stay as they are until a restart.
func (l *Limiter) ApplyRules(rules Rules) (complete bool) {
	policy := l.clientPolicy
	complete = l.CanApply(rules)
	current := policy.rules
	rules.IPv4PrefixBits = current.IPv4PrefixBits
	rules.IPv6PrefixBits = current.IPv6PrefixBits
	rules.HoldingSlots = current.HoldingSlots
	rules.RememberedAddresses = current.RememberedAddresses
	rules.MaxConnections = current.MaxConnections
	policy.rules = rules
	for id, client := range policy.addresses.all() {
		client.trustedByRule = policy.isTrustedByRule(client.key.address())
		if client.trustedByRule && !client.trusted {
			policy.setTrusted(id, true)
		}
	}
	return complete
}

// CanApply reports whether ApplyRules would apply all of the rules.
func (l *Limiter) CanApply(rules Rules) bool {
	current := l.clientPolicy.rules
	return rules.IPv4PrefixBits == current.IPv4PrefixBits &&
		rules.IPv6PrefixBits == current.IPv6PrefixBits &&
		rules.HoldingSlots == current.HoldingSlots &&
		rules.RememberedAddresses == current.RememberedAddresses &&
		rules.MaxConnections == l.clientPolicy.slots.limit
}

// TrustedPrefixes returns the prefixes that the rules name as trusted, nil without rules.
func (l *Limiter) TrustedPrefixes() []netip.Prefix {
	if l.clientPolicy == nil {
		return nil
	}
	return l.clientPolicy.rules.TrustedPrefixes
}
