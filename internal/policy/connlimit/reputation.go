package connlimit

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

const (
	// creditInterval is how often, in seconds, a completed request adds credit to its address, so
	// that a burst of requests does not earn trust.
	creditInterval = 1
	// maxCredit bounds an address's credit, so that trust earned over days ends within hours.
	maxCredit = 64
	// creditTolerance is how far credit may be below the threshold of trust, as that of the first
	// requests has decayed when the last one completes.
	creditTolerance = 0.5
)

// decayingCount is a count that halves with each half-life.
type decayingCount struct {
	value     float64
	updatedAt float64 // when the value was right, s
}

// at returns the count at now, with a half-life in seconds.
func (c *decayingCount) at(now, halfLife float64) float64 {
	age := now - c.updatedAt
	if c.value == 0 || age <= 0 {
		return c.value
	}
	return c.value * math.Exp2(-age/halfLife)
}

// set sets the count at now.
func (c *decayingCount) set(value, now float64) {
	c.value = value
	c.updatedAt = now
}

// TrustedClient is a client that earned trust, with its credit.
type TrustedClient struct {
	Addr   netip.Addr
	Credit float64 // completed requests, one a second at most, halved with each half-life
}

// HandleRequestDone adds credit to the address of a connection that completed a request.
func (l *Limiter) HandleRequestDone(slot int32, now float64) {
	policy := l.clientPolicy
	if policy == nil || l.connections[slot].addressNumber == 0 {
		return
	}
	id := l.connections[slot].addressNumber - 1
	client := &policy.addresses.entries[id]
	if client.credit.value > 0 && now-client.credit.updatedAt < creditInterval {
		return
	}
	client.credit.set(min(maxCredit, client.credit.at(now, policy.rules.CreditHalfLife)+1), now)
	if !client.trusted && client.credit.value >= float64(policy.rules.TrustThreshold)-creditTolerance {
		policy.setTrusted(id, true)
	}
}

// minCredit is the credit below which trust ends.
func (p *clientPolicy) minCredit() float64 { return float64(p.rules.TrustThreshold) / 2 }

// expireTrust makes an address untrusted whose credit has decayed below minCredit.
func (p *clientPolicy) expireTrust(id int32, now float64) {
	client := &p.addresses.entries[id]
	if !client.trusted || client.trustedByRule {
		return
	}
	own := client.credit.at(now, p.rules.CreditHalfLife)
	reported := client.reportedCredit.at(now, p.rules.CreditHalfLife)
	if own < p.minCredit() && reported < p.minCredit() {
		p.setTrusted(id, false)
	}
}

// setTrusted makes an untrusted address trusted or a trusted one untrusted. trusted must differ
// from the current value.
func (p *clientPolicy) setTrusted(id int32, trusted bool) {
	client := &p.addresses.entries[id]
	sign := int32(1)
	if trusted {
		sign = -1
	}
	client.trusted = trusted
	p.trustChanged = true
	p.prefixes.entries[client.prefix].untrusted += sign * client.admitted
	p.activeUntrusted += int(sign * client.active)
	p.addresses.requeue(id)
}

// isTrustedByRule reports whether the rules name a prefix that has the address.
func (p *clientPolicy) isTrustedByRule(addr netip.Addr) bool {
	return slices.ContainsFunc(p.rules.TrustedPrefixes, func(prefix netip.Prefix) bool {
		return prefix.Contains(addr)
	})
}

// TrustedClients returns the addresses that earned trust on this server, those with most credit
// first, at most limit of them. It leaves out credit that other servers reported, or reports alone
// could keep a client trusted for ever.
func (l *Limiter) TrustedClients(now float64, limit int) (clients []TrustedClient) {
	policy := l.clientPolicy
	if policy == nil {
		return nil
	}
	for _, client := range policy.addresses.all() {
		credit := client.credit.at(now, policy.rules.CreditHalfLife)
		if client.trusted && credit >= policy.minCredit() {
			clients = append(clients, TrustedClient{client.key.address(), credit})
		}
	}
	slices.SortFunc(clients, func(a, b TrustedClient) int {
		return cmp.Or(cmp.Compare(b.Credit, a.Credit), a.Addr.Compare(b.Addr))
	})
	return clients[:min(len(clients), limit)]
}

// AddTrustedClients makes addresses trusted that earned trust on other servers, and returns how
// many it accepted. Their credit is bounded by TrustThreshold, so that trust ends within a
// half-life if no request completes here. They may replace untrusted addresses in the table, never
// trusted ones, and at most half of the remembered ones.
func (l *Limiter) AddTrustedClients(clients []TrustedClient, now float64) (accepted int) {
	policy := l.clientPolicy
	if policy == nil {
		return 0
	}
	for _, reported := range clients[:min(len(clients), policy.rules.RememberedAddresses/2)] {
		if policy.acceptReport(reported, now) {
			accepted++
		}
	}
	return accepted
}

// acceptReport makes an address trusted that earned trust on another server, if there is room for it.
func (p *clientPolicy) acceptReport(reported TrustedClient, now float64) bool {
	if reported.Credit < p.minCredit() {
		return false
	}
	isNew := p.addresses.find(newKey(reported.Addr, ipv4Bits, ipv6Bits)) < 0
	if isNew && !p.addresses.hasRoomForUntrusted() {
		return false
	}
	id := p.addressID(reported.Addr)
	if id < 0 {
		return false
	}
	client := &p.addresses.entries[id]
	client.reportedCredit.set(min(reported.Credit, float64(p.rules.TrustThreshold)), now)
	if !client.trusted {
		p.setTrusted(id, true)
	}
	return true
}

// TrustedAddresses returns the addresses that are trusted by their credit, for the acceptor, which
// tells them apart before connections arrive here. If they did not change since the last call, it
// returns nil and false.
func (l *Limiter) TrustedAddresses() (trusted map[netip.Addr]bool, changed bool) {
	policy := l.clientPolicy
	if !policy.trustChanged {
		return nil, false
	}
	policy.trustChanged = false
	trusted = map[netip.Addr]bool{}
	for _, client := range policy.addresses.all() {
		if client.trusted && !client.trustedByRule {
			trusted[client.key.address()] = true
		}
	}
	return trusted, true
}
