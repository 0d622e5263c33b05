package connlimit

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
)

const (
	// creditIntervalSeconds is the minimum time between two completed requests that add credit to an
	// address, so that a burst of requests does not earn trust.
	creditIntervalSeconds = 1
	// maxCredit bounds the credit of an address, so that trust earned over days ends within hours.
	maxCredit = 64
	// creditTolerance is how far credit may be below Rules.TrustThreshold when trust is earned: the
	// credit for the first requests has decayed a little by the time the last one completes.
	creditTolerance = 0.5
)

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	value     float64
	updatedAt float64 // the time for which value is valid, s
}

// valueAt returns the count at now, given its half-life in seconds.
func (c *decayingCount) valueAt(now, halfLife float64) float64 {
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

// TrustedClient is a client address that earned trust, with its credit.
type TrustedClient struct {
	Addr   netip.Addr
	Credit float64 // completed requests, at most one per second, decaying with Rules.CreditHalfLifeSeconds
}

// HandleRequestDone adds credit to the address of a connection that completed a request.
func (l *Limiter) HandleRequestDone(slot int32, now float64) {
	policy := l.clientPolicy
	if policy == nil || l.connections[slot].addressNumber == 0 {
		return
	}
	id := l.connections[slot].addressNumber - 1
	client := &policy.addresses.entries[id]
	if client.credit.value > 0 && now-client.credit.updatedAt < creditIntervalSeconds {
		return
	}
	client.credit.set(min(maxCredit, client.credit.valueAt(now, policy.rules.CreditHalfLifeSeconds)+1), now)
	if !client.trusted && client.credit.value >= float64(policy.rules.TrustThreshold)-creditTolerance {
		policy.setTrusted(id, true)
	}
}

// minCredit is the credit below which trust ends.
func (p *clientPolicy) minCredit() float64 { return float64(p.rules.TrustThreshold) / 2 }

// expireTrust makes an address untrusted if both its own and its reported credit are below minCredit.
func (p *clientPolicy) expireTrust(id int32, now float64) {
	client := &p.addresses.entries[id]
	if !client.trusted || client.trustedByRule {
		return
	}
	own := client.credit.valueAt(now, p.rules.CreditHalfLifeSeconds)
	reported := client.reportedCredit.valueAt(now, p.rules.CreditHalfLifeSeconds)
	if own < p.minCredit() && reported < p.minCredit() {
		p.setTrusted(id, false)
	}
}

// setTrusted changes whether an address is trusted. trusted must differ from the current value.
func (p *clientPolicy) setTrusted(id int32, trusted bool) {
	client := &p.addresses.entries[id]
	sign := int32(1)
	if trusted {
		sign = -1
	}
	client.trusted = trusted
	p.trustChanged = true
	p.prefixes.entries[client.prefixIndex].untrusted += sign * client.admitted
	p.activeUntrusted += int(sign * client.active)
	p.addresses.requeue(id)
}

// isTrustedByRule reports whether an address is in one of Rules.TrustedPrefixes.
func (p *clientPolicy) isTrustedByRule(addr netip.Addr) bool {
	return slices.ContainsFunc(p.rules.TrustedPrefixes, func(prefix netip.Prefix) bool {
		return prefix.Contains(addr)
	})
}

// TrustedClients returns the addresses that earned trust on this server, at most limit of them, those
// with the most credit first. It ignores credit that other servers reported; otherwise servers could
// keep a client trusted forever by reporting it to one another.
func (l *Limiter) TrustedClients(now float64, limit int) (clients []TrustedClient) {
	policy := l.clientPolicy
	if policy == nil {
		return nil
	}
	for _, client := range policy.addresses.all() {
		credit := client.credit.valueAt(now, policy.rules.CreditHalfLifeSeconds)
		if client.trusted && credit >= policy.minCredit() {
			clients = append(clients, TrustedClient{client.key.address(), credit})
		}
	}
	slices.SortFunc(clients, func(a, b TrustedClient) int {
		return cmp.Or(cmp.Compare(b.Credit, a.Credit), a.Addr.Compare(b.Addr))
	})
	return clients[:min(len(clients), limit)]
}

// AddTrustedClients trusts addresses that earned trust on other servers and returns the number
// accepted. Their credit is limited to Rules.TrustThreshold, so that trust ends within a half-life if
// no request completes on this server. One call adds at most half of Rules.RememberedAddresses, and
// never replaces trusted addresses in the table, only untrusted ones.
func (l *Limiter) AddTrustedClients(clients []TrustedClient, now float64) (accepted int) {
	policy := l.clientPolicy
	if policy == nil {
		return 0
	}
	for _, reported := range clients[:min(len(clients), policy.rules.RememberedAddresses/2)] {
		if policy.addReportedClient(reported, now) {
			accepted++
		}
	}
	return accepted
}

// addReportedClient trusts an address that earned trust on another server. It reports whether the
// credit was sufficient and the table had room.
func (p *clientPolicy) addReportedClient(reported TrustedClient, now float64) bool {
	if reported.Credit < p.minCredit() {
		return false
	}
	isNew := p.addresses.find(newAddressKey(reported.Addr, ipv4Bits, ipv6Bits)) < 0
	if isNew && !p.addresses.hasRoomForUntrusted() {
		return false
	}
	id := p.findOrAddAddress(reported.Addr)
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

// TrustedAddresses returns the addresses that are trusted because of their credit. The acceptor uses
// them to recognize trusted clients before their connections reach the limiter. If the addresses have
// not changed since the last call, TrustedAddresses returns nil and false.
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
