package lease

// challenge is the nonce that an incarnation has to repeat before it may take its name from the
// owner.
type challenge struct {
	incarnation uint64
	nonce       uint64
}

// sharesAddress reports whether a request comes from the address at which the name's owner
// listened. Only one process can listen there at a time, so one of the two has ended. A new leader
// knows the voters' addresses only.
func (g *Grantor) sharesAddress(request *Request, owner uint64) bool {
	addr := g.voterAddrs[request.Name]
	record := g.servers[request.Name]
	if addr == "" && record != nil && record.incarnation == owner {
		addr = record.addr
	}
	return addr != "" && addr == request.Addr
}

// pendingNonce returns the nonce that the incarnation's next request has to repeat, or 0 if this
// request repeats it. A delayed request of an incarnation that has ended comes from the same address
// but can't repeat a new nonce. The exchange costs a successor one more request.
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
