package simulation

// Balancer is the policy by which clients pick a server.
type Balancer string

// The balancers of scenarios.
const (
	RoundRobin Balancer = "round-robin"
	LeastOpen  Balancer = "least-open"  // the server with the fewest open attempts
	TwoChoices Balancer = "two-choices" // of two random servers, the one with fewer open attempts
	Random     Balancer = "random"
)

var balancers = []Balancer{RoundRobin, LeastOpen, TwoChoices, Random}

// pickServer picks a listed server by the scenario's balancer; nil if no server is listed.
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

// pickLeastOpen picks the listed server with the fewest open attempts. The search begins at a
// random server, so that ties are broken randomly.
func (p *requestSim) pickLeastOpen() (least *server) {
	count := len(p.servers)
	from := p.random.IntN(count)
	for i := range count {
		candidate := p.servers[(from+i)%count]
		if candidate.isListed && (least == nil || candidate.openAttempts < least.openAttempts) {
			least = candidate
		}
	}
	return least
}

// pickOfTwo draws two random servers and picks the one with fewer open attempts.
func (p *requestSim) pickOfTwo() *server {
	first := p.pickRandom()
	second := p.pickRandom()
	if first != nil && second.openAttempts < first.openAttempts {
		return second
	}
	return first
}

// pickRandom picks a random listed server. It falls back to round-robin if none was found in twice
// as many draws as there are servers.
func (p *requestSim) pickRandom() *server {
	count := len(p.servers)
	for range 2 * count {
		if candidate := p.servers[p.random.IntN(count)]; candidate.isListed {
			return candidate
		}
	}
	return p.pickRoundRobin()
}

// pickRoundRobin picks the next listed server in rotation.
func (p *requestSim) pickRoundRobin() *server {
	for range p.servers {
		candidate := p.servers[p.nextServer%len(p.servers)]
		p.nextServer++
		if candidate.isListed {
			return candidate
		}
	}
	return nil
}
