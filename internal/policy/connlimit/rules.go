package connlimit

import (
	"net/netip"
	"strconv"

	"swiftcourse/internal/timewindow"
)

// Rules are the operator's rules for admitting connections. A limit of 0 means no limit.
type Rules struct {
	MaxConnections int // limit on admitted connections
	// ReservedSlots is how many of the MaxConnections slots are reserved for trusted addresses.
	// Untrusted addresses may use some of them while they are free, but not with open requests.
	ReservedSlots int

	// Limits of an untrusted address, and of all untrusted addresses of a prefix together. The
	// per-address limits of a trusted address are trustedLimitFactor times as high.
	MaxPerAddress  int     // connections
	MaxPerPrefix   int     // connections
	RatePerAddress float64 // new connections per second
	RatePerPrefix  float64 // new connections per second

	IPv4PrefixBits  int            // length of an IPv4 prefix
	IPv6PrefixBits  int            // length of an IPv6 prefix
	TrustedPrefixes []netip.Prefix // always trusted, and exempt from the limits above

	HoldingSlots          int     // connections that may be held until their first request is rejected
	RememberedAddresses   int     // remembered addresses without a connection; the same number of prefixes
	TrustThreshold        int     // completed requests, at most one per second, that make an address trusted
	CreditHalfLifeSeconds float64 // half-life of an address's credit, s

	MinRetryAfterSeconds float64 // shortest retry-after time, s
	MaxRetryAfterSeconds float64 // longest retry-after time, s

	CPUShare float64 // fraction of a core that accepting connections may use
	Seed     int64   // seed of the retry-after jitter
}

// RejectReason is the reason why a connection was not admitted, or Admitted.
type RejectReason uint8

// The reject reasons.
const (
	Admitted            RejectReason = iota // the connection was admitted
	RateLimited                             // its address or prefix is over its rate of new connections
	OverConnectionLimit                     // its address or prefix has reached its limit on connections
	NoFreeSlot                              // it can't be admitted without an eviction
	HoldingAreaFull                         // it can't be held either and must be closed immediately
	rejectReasonCount                       // number of reasons
)

var rejectReasonNames = [rejectReasonCount]string{
	Admitted:            "admitted",
	RateLimited:         "rate_limited",
	OverConnectionLimit: "over_cap",
	NoFreeSlot:          "no_free_slot",
	HoldingAreaFull:     "holding_area_full",
}

// String returns the name of the reason.
func (r RejectReason) String() string {
	if r >= rejectReasonCount {
		return "reject reason " + strconv.Itoa(int(r))
	}
	return rejectReasonNames[r]
}

// clientPolicy is the additional state of a limiter with rules: the rules, client addresses and slots.
type clientPolicy struct {
	rules           Rules
	addresses       *addressTable
	prefixes        *addressTable
	admitted        int // admitted connections
	activeUntrusted int // admitted connections of untrusted addresses with an open request
	slots           slotLimit
	arrivals        arrivalCost
	rejections      [rejectReasonCount]int
	jitterDraws     uint32 // number of jitter values drawn so far
	trustChanged    bool   // whether trust changed since the last call of TrustedAddresses
}

// NewWithRules returns a limiter with rules. Connections may be idle for idleTimeout seconds. It
// allocates the memory for all addresses up front.
func NewWithRules(idleTimeout float64, rules Rules) *Limiter {
	// Connections of trusted addresses may temporarily exceed the size of the holding area.
	const heldFactor, spare = 4, 64
	connections := rules.MaxConnections + heldFactor*rules.HoldingSlots + spare
	limiter := New(idleTimeout)
	limiter.clientPolicy = &clientPolicy{
		rules:     rules,
		addresses: newAddressTable(connections, rules.RememberedAddresses),
		prefixes:  newAddressTable(connections, rules.RememberedAddresses),
		slots:     slotLimit{limit: rules.MaxConnections},
		arrivals:  arrivalCost{costs: timewindow.NewMinimum(costBuckets, costBucketSeconds, 0)},
	}
	return limiter
}

// HasRules reports whether the limiter has rules.
func (l *Limiter) HasRules() bool { return l.clientPolicy != nil }

// ApplyRules replaces the rules of a limiter that was made with rules. It reports whether all of the
// new rules apply: table sizes, MaxConnections and prefix lengths don't change until a restart.
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

// CanApply reports whether ApplyRules would apply all of the given rules.
func (l *Limiter) CanApply(rules Rules) bool {
	current := l.clientPolicy.rules
	return rules.IPv4PrefixBits == current.IPv4PrefixBits &&
		rules.IPv6PrefixBits == current.IPv6PrefixBits &&
		rules.HoldingSlots == current.HoldingSlots &&
		rules.RememberedAddresses == current.RememberedAddresses &&
		rules.MaxConnections == l.clientPolicy.slots.limit
}

// TrustedPrefixes returns Rules.TrustedPrefixes, nil for a limiter without rules.
func (l *Limiter) TrustedPrefixes() []netip.Prefix {
	if l.clientPolicy == nil {
		return nil
	}
	return l.clientPolicy.rules.TrustedPrefixes
}
