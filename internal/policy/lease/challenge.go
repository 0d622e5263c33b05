package lease

// challenge is the nonce that an incarnation has to repeat before it counts as its name's
// successor.
type challenge struct {
	incarnation uint64
	nonce       uint64
}

// sharesAddress reports whether a request comes from the address at which the name's owner
// listened. As no two processes can listen there, one of them has ended. A new leader knows the
// voters' addresses only.
func (g *Grantor) sharesAddress(request *Request, owner uint64) bool {
	addr := g.voterAddrs[request.Name]
	record := g.servers[request.Name]
	if addr == "" && record != nil && record.incarnation == owner {
		addr = record.addr
	}
	return addr != "" && addr == request.Addr
}

// challenge returns the nonce that the next request of this incarnation has to repeat, or 0 if this
// one did. It guards against a late request of an incarnation that has ended, which came from the
// same address; it costs a successor one more request.
func (g *Grantor) challenge(request *Request) uint64 {
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
