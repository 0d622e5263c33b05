package simulation

// Balancer is how clients pick a server.
type Balancer string

// The balancers of scenarios.
const (
	RoundRobin Balancer = "round-robin"
	LeastOpen  Balancer = "least-open"  // the server with the fewest open attempts
	TwoChoices Balancer = "two-choices" // the better of two random servers
	Random     Balancer = "random"
)

var balancers = []Balancer{RoundRobin, LeastOpen, TwoChoices, Random}

// pickServer picks a server as the balancer does, of those listed; nil if there is none.
func (p *requestSim) pickServer() *server {
	switch p.scenario.Balancer {
	case LeastOpen:
		return p.pickLeastOpen()
	case TwoChoices:
		return p.pickOfTwo()
	case Random:
		return p.pickRandom()
	default:
		return p.pickRoundRobin()
	}
}

// pickLeastOpen picks a server with the fewest open attempts. Where the search begins is random, so
// that of equal servers it is not always the same.
func (p *requestSim) pickLeastOpen() (least *server) {
	count := len(p.servers)
	from := p.random.IntN(count)
	for i := range count {
		candidate := p.servers[(from+i)%count]
		if candidate.listed && (least == nil || candidate.openAttempts < least.openAttempts) {
			least = candidate
		}
	}
	return least
}

// pickOfTwo picks the one of two random servers that has fewer open attempts.
func (p *requestSim) pickOfTwo() *server {
	first := p.pickRandom()
	second := p.pickRandom()
	if first != nil && second.openAttempts < first.openAttempts {
		return second
	}
	return first
}

// pickRandom picks a listed server at random, or the next one if some draws found none.
func (p *requestSim) pickRandom() *server {
	count := len(p.servers)
	for range 2 * count {
		if candidate := p.servers[p.random.IntN(count)]; candidate.listed {
			return candidate
		}
	}
	return p.pickRoundRobin()
}

// pickRoundRobin picks the next listed server in turn.
func (p *requestSim) pickRoundRobin() *server {
	for range p.servers {
		candidate := p.servers[p.nextServer%len(p.servers)]
		p.nextServer++
		if candidate.listed {
			return candidate
		}
	}
	return nil
}
