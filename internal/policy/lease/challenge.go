package lease

// challenge is the nonce that an incarnation has to repeat before it may take over its name from
// the incarnation that owns it.
type challenge struct {
	incarnation uint64
	nonce       uint64
}

// sharesAddress reports whether a request gives the address at which the owner of the name listens.
// Only one process can listen at an address, so either the owner or the requesting incarnation has
// ended. A new leader knows the addresses of the voters only, until the owners' requests arrive.
func (g *Grantor) sharesAddress(request *Request, owner uint64) bool {
	addr := g.voterAddrs[request.Name]
	record := g.servers[request.Name]
	if addr == "" && record != nil && record.incarnation == owner {
		addr = record.addr
	}
	return addr != "" && addr == request.Addr
}

// pendingNonce returns the nonce that the incarnation's next request has to repeat, or 0 if this
// request repeats it. It distinguishes a restarted server from a delayed request of an incarnation
// that has ended: both give the same address, but the delayed request can't repeat a new nonce. The
// challenge costs the restarted server one more request.
func (g *Grantor) pendingNonce(request *Request) uint64 {
	current := g.challenges[request.Name]
	if current.incarnation != request.Incarnation {
		g.lastID++
		current = challenge{incarnation: request.Incarnation, nonce: g.lastID}
		g.challenges[request.Name] = current
	}
	if request.Nonce == current.nonce {
		return 0
	}
	return current.nonce
}
