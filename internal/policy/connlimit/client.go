package connlimit

import "net/netip"

// This file keeps the table entries of a connection's address and prefix up to date as the
// connection changes state.

// findOrAddAddress finds or adds the entries of an address and of its prefix. It returns the index of
// the address's entry, -1 if a table has no room.
func (p *clientPolicy) findOrAddAddress(addr netip.Addr) int32 {
	id, added := p.addresses.findOrAdd(newAddressKey(addr, ipv4Bits, ipv6Bits))
	if id < 0 {
		return -1
	}
	client := &p.addresses.entries[id]
	if added {
		client.trustedByRule = p.isTrustedByRule(addr.Unmap())
		client.trusted = client.trustedByRule
	}
	// The entry of the prefix may have been dropped while it had no connection.
	prefix := newAddressKey(addr, p.rules.IPv4PrefixBits, p.rules.IPv6PrefixBits)
	if !p.prefixes.hasKey(client.prefixIndex, prefix) {
		client.prefixIndex, _ = p.prefixes.findOrAdd(prefix)
		if client.prefixIndex < 0 {
			return -1
		}
	}
	return id
}

// entriesOf returns the entries of a connection's address and prefix.
func (p *clientPolicy) entriesOf(conn *connection) (address, prefix *addressEntry) {
	address = &p.addresses.entries[conn.addressNumber-1]
	return address, &p.prefixes.entries[address.prefixIndex]
}

// removeFromAddress removes a closed connection from the counts of its address and prefix.
func (l *Limiter) removeFromAddress(slot int32) {
	policy := l.clientPolicy
	conn := &l.connections[slot]
	if conn.addressNumber == 0 {
		return
	}
	client, prefix := policy.entriesOf(conn)
	if conn.admitted {
		policy.admitted--
		client.admitted--
		prefix.admitted--
		if !client.trusted {
			prefix.untrusted--
		}
	} else {
		client.held--
		prefix.held--
	}
	policy.addresses.requeue(conn.addressNumber - 1)
	policy.prefixes.requeue(client.prefixIndex)
	conn.addressNumber = 0
	conn.admitted = false
}

// updateClient updates the entry of a connection's address after the connection changed state.
func (l *Limiter) updateClient(slot int32, now float64) {
	conn := &l.connections[slot]
	if conn.addressNumber == 0 {
		return
	}
	l.updateEvictable(slot, now)
	l.clientPolicy.updateActive(conn)
	l.clientPolicy.addresses.requeue(conn.addressNumber - 1)
}

// updateEvictable adds a connection to the list of its address's evictable connections, or removes
// it, according to its state. The list is ordered by lastHeard: a connection that was just heard
// moves to the end.
func (l *Limiter) updateEvictable(slot int32, now float64) {
	conn := &l.connections[slot]
	evictable := &l.clientPolicy.addresses.entries[conn.addressNumber-1].evictable
	isEvictable := conn.admitted && conn.state.isEvictable()
	if conn.evictable && (!isEvictable || conn.lastHeard == now) {
		conn.evictable = false
		node := conn.addressLinks
		evictable.remove(node, l.addressLinks(node.prev), l.addressLinks(node.next))
	}
	if isEvictable && !conn.evictable {
		conn.evictable = true
		evictable.pushBack(slot+1, &conn.addressLinks, l.addressLinks(evictable.last))
	}
}

// addressLinks returns the links, in its address's list, of the connection with a number (slot plus
// 1). It returns nil for number 0.
func (l *Limiter) addressLinks(number int32) *links {
	if number == 0 {
		return nil
	}
	return &l.connections[number-1].addressLinks
}

// updateActive updates the counts of connections with an open request after conn changed state.
func (p *clientPolicy) updateActive(conn *connection) {
	active := conn.admitted && conn.state == StateActive
	if active == conn.countedActive {
		return
	}
	conn.countedActive = active
	change := int32(1)
	if !active {
		change = -1
	}
	client := &p.addresses.entries[conn.addressNumber-1]
	client.active += change
	if !client.trusted {
		p.activeUntrusted += int(change)
	}
}
