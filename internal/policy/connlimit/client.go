package connlimit

import "net/netip"

// This file updates the entry of a connection's address as the connection changes.

// addressID finds or adds the entries of an address and of its prefix, and returns the ID of the
// address's entry; -1 if there is no room.
func (p *clientPolicy) addressID(addr netip.Addr) int32 {
	id, added := p.addresses.findOrAdd(newKey(addr, ipv4Bits, ipv6Bits))
	if id < 0 {
		return -1
	}
	client := &p.addresses.entries[id]
	if added {
		client.trustedByRule = p.isTrustedByRule(addr.Unmap())
		client.trusted = client.trustedByRule
	}
	// The entry of the prefix may have been dropped, if it had no connection.
	prefix := newKey(addr, p.rules.IPv4PrefixBits, p.rules.IPv6PrefixBits)
	if !p.prefixes.has(client.prefix, prefix) {
		client.prefix, _ = p.prefixes.findOrAdd(prefix)
		if client.prefix < 0 {
			return -1
		}
	}
	return id
}

// entriesOf returns the entries of a connection's address and of its prefix.
func (p *clientPolicy) entriesOf(conn *connection) (address, prefix *addressEntry) {
	address = &p.addresses.entries[conn.addressNumber-1]
	return address, &p.prefixes.entries[address.prefix]
}

// removeFromAddress updates the entries of a closed connection's address and prefix.
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
	policy.prefixes.requeue(client.prefix)
	conn.addressNumber = 0
	conn.admitted = false
}

// updateClient updates the entry of a connection's address after the connection entered a state.
func (l *Limiter) updateClient(slot int32, now float64) {
	conn := &l.connections[slot]
	if conn.addressNumber == 0 {
		return
	}
	l.updateEvictable(slot, now)
	l.clientPolicy.updateActive(conn)
	l.clientPolicy.addresses.requeue(conn.addressNumber - 1)
}

// updateEvictable updates the list of an address's evictable connections, which is in the order of lastHeard.
func (l *Limiter) updateEvictable(slot int32, now float64) {
	conn := &l.connections[slot]
	evictable := &l.clientPolicy.addresses.entries[conn.addressNumber-1].evictable
	wanted := conn.admitted && conn.state.isEvictable()
	if conn.evictable && (!wanted || conn.lastHeard == now) {
		conn.evictable = false
		node := conn.addressLinks
		evictable.remove(node, l.addressLinks(node.prev), l.addressLinks(node.next))
	}
	if wanted && !conn.evictable {
		conn.evictable = true
		evictable.pushBack(slot+1, &conn.addressLinks, l.addressLinks(evictable.last))
	}
}

// addressLinks returns the links of a connection, counted from 1, in the list of its address; nil
// for 0.
func (l *Limiter) addressLinks(number int32) *links {
	if number == 0 {
		return nil
	}
	return &l.connections[number-1].addressLinks
}

// updateActive updates the counts of connections with an open request.
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
