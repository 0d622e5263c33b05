package quota

import (
	"fmt"
	"math/rand/v2"
)

// testReporter has the methods of *testing.T and *rapid.T that a simulation needs.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation runs servers and grantors in simulated time. It keeps an exact record of all units in
// use, against which check tests the limits.
type simulation struct {
	t                testReporter
	random           *rand.Rand
	now              float64
	config           Config
	grantor          *Grantor
	previous         *Grantor // the replaced leader's grantor, which still replies until previousUntil
	previousUntil    float64
	servers          []*simulatedServer
	inTransit        []delivery
	lastIncarnation  uint64
	messageLoss      float64 // probability
	meanDelaySeconds float64
	leaderless       bool    // no majority confirms the current leader
	inUse            []unit  // units of the concurrent limit
	maxStillLeased   float64 // after a rate was lowered, the sum that may still be leased
}

// delivery is a message in transit.
type delivery struct {
	arrivesAt float64
	handle    func()
}

// unit is one unit of the concurrent limit. It stays in use until endsAt even if its server
// terminates.
type unit struct {
	owner  *simulatedServer
	endsAt float64
}

type simulatedServer struct {
	holder      *Holder
	incarnation uint64
	clockRate   float64 // seconds of the server's clock in a second of simulated time
	clockOffset float64 // the server's clock at simulated time 0
	paused      bool
	partitioned bool
	demand      float64
	published   map[string]Allowance // what the holder has passed to the event loop
	enforced    map[string]Allowance // what the event loop enforces
}

func (s *simulatedServer) clock(now float64) float64 { return s.clockOffset + s.clockRate*now }

func (s *simulatedServer) limitAt(name string, now float64) float64 {
	allowance := s.enforced[name]
	return allowance.LimitAt(s.clock(now))
}

// publish passes the holder's changed allowances to the event loop.
func (s *simulatedServer) publish() {
	list := s.holder.TakeChanges()
	if list == nil {
		return
	}
	s.published = map[string]Allowance{}
	for _, allowance := range list {
		s.published[allowance.Name] = allowance
	}
}

const (
	rateLimit             = "rate"
	concurrentLimit       = "concurrent"
	simulationStepSeconds = 0.05
	// tolerance allows for rounding errors in sums.
	tolerance = 1e-9
)

var testLimits = []Limit{
	{Name: rateLimit, Max: 100},
	{Name: concurrentLimit, Max: 60, Concurrent: true, MaxUseSeconds: 1.5},
}

func newSimulation(t testReporter, seed uint64, servers int) *simulation {
	t.Helper()
	s := &simulation{
		t:                t,
		random:           rand.New(rand.NewPCG(seed, 5)),
		meanDelaySeconds: 0.05,
		config:           Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: max(servers, 6), Limits: testLimits},
	}
	if err := s.config.Validate(); err != nil {
		t.Fatalf("Validate() of the simulated configuration = %v, want nil", err)
	}
	s.electLeader()
	for range servers {
		s.servers = append(s.servers, s.startServer())
	}
	return s
}

func (s *simulation) startServer() *simulatedServer {
	s.lastIncarnation++
	server := &simulatedServer{
		incarnation: s.lastIncarnation,
		clockRate:   0.99 + 0.02*s.random.Float64(),
		clockOffset: 1e4 * s.random.Float64(),
	}
	server.holder = NewHolder(server.incarnation, s.config, server.clock(s.now))
	server.demand = 40 * s.random.Float64()
	server.publish()
	server.enforced = server.published
	return server
}

// electLeader replaces the leader. The previous one still replies while its last confirmation is
// valid.
func (s *simulation) electLeader() {
	if s.grantor != nil {
		s.previous = s.grantor
		s.previousUntil = s.now + leaderLeaseSeconds
	}
	s.grantor = NewGrantor(s.config, s.random.Uint64(), s.now)
	s.leaderless = false
}

// send puts a message in transit zero, one or two times, each with a random delay.
func (s *simulation) send(handle func()) {
	for range 1 + s.random.IntN(8)/7 {
		if s.random.Float64() >= s.messageLoss {
			s.inTransit = append(s.inTransit, delivery{s.now + s.meanDelaySeconds*s.random.ExpFloat64(), handle})
		}
	}
}

// confirmed reports whether a grantor considers itself the confirmed leader. asPrevious is true for
// a request that was sent to the grantor after another leader had replaced it.
func (s *simulation) confirmed(grantor *Grantor, asPrevious bool) bool {
	return !asPrevious && !s.leaderless && grantor == s.grantor ||
		grantor == s.previous && s.now < s.previousUntil
}

func (s *simulation) sendRequest(server *simulatedServer) {
	request := server.holder.NextRequest(server.clock(s.now))
	if request == nil || server.partitioned {
		return
	}
	grantor, asPrevious := s.grantor, false
	if s.previous != nil && s.now < s.previousUntil && s.random.IntN(2) == 0 {
		grantor, asPrevious = s.previous, true
	}
	incarnation := server.incarnation
	s.send(func() {
		reply := grantor.HandleRequest(s.now, request, s.confirmed(grantor, asPrevious))
		if reply == nil {
			return
		}
		s.send(func() {
			if !server.paused && !server.partitioned && server.incarnation == incarnation {
				server.holder.HandleReply(server.clock(s.now), reply)
				server.publish()
			}
		})
	})
}

func (s *simulation) run(seconds float64) {
	s.t.Helper()
	for end := s.now + seconds; s.now < end; {
		s.now += simulationStepSeconds
		s.deliver()
		s.endUnits()
		for _, server := range s.servers {
			if !server.paused {
				s.runServer(server)
			}
		}
		s.check()
	}
}

func (s *simulation) deliver() {
	inTransit := s.inTransit
	s.inTransit = nil
	for _, message := range inTransit {
		if message.arrivesAt <= s.now {
			message.handle()
		} else {
			s.inTransit = append(s.inTransit, message)
		}
	}
}

func (s *simulation) endUnits() {
	inUse := s.inUse[:0]
	for _, unit := range s.inUse {
		if unit.endsAt > s.now {
			inUse = append(inUse, unit)
		}
	}
	s.inUse = inUse
}

func (s *simulation) runServer(server *simulatedServer) {
	now := server.clock(s.now)
	if s.random.IntN(2) == 0 { // a busy event loop still enforces the earlier allowances
		server.enforced = server.published
	}
	inUse := s.useUnits(server)
	holder := server.holder
	holder.RecordUsage(now, rateLimit, server.demand, 0, server.enforced[rateLimit].GrantNumber)
	holder.RecordUsage(now, concurrentLimit, server.demand, float64(inUse),
		server.enforced[concurrentLimit].GrantNumber)
	if holder.NextWakeup() <= now {
		s.sendRequest(server)
	}
	server.publish()
}

// useUnits takes units of the concurrent limit for a server, up to its allowance and its demand. It
// returns how many the server has in use.
func (s *simulation) useUnits(server *simulatedServer) (inUse int) {
	for _, unit := range s.inUse {
		if unit.owner == server {
			inUse++
		}
	}
	for float64(inUse)+1 <= min(server.limitAt(concurrentLimit, s.now), server.demand) {
		inUse++
		endsAt := s.now + (0.05+0.95*s.random.Float64())*s.config.Limits[1].MaxUseSeconds
		s.inUse = append(s.inUse, unit{server, endsAt})
	}
	return inUse
}

// check fails the test if the allowances of all servers add up to more than the rate limit, or more
// units are in use than the concurrent limit.
func (s *simulation) check() {
	s.t.Helper()
	sum := s.totalAllowance(rateLimit)
	if limit := max(s.maxStillLeased, s.config.Limits[0].Max); sum > limit*(1+tolerance) {
		s.t.Fatalf("at %.2f s the servers together may use %.3f, want at most %.0f", s.now, sum, limit)
	}
	if limit := s.config.Limits[1].Max; float64(len(s.inUse)) > limit {
		s.t.Fatalf("at %.2f s %d units are in use, want at most %.0f", s.now, len(s.inUse), limit)
	}
}

// totalAllowance returns the sum of the allowances of all servers.
func (s *simulation) totalAllowance(name string) (sum float64) {
	for _, server := range s.servers {
		sum += server.limitAt(name, s.now)
	}
	return sum
}

// totalUsable returns the sum over all servers of what their demand and allowance let them use.
func (s *simulation) totalUsable(name string) (sum float64) {
	for _, server := range s.servers {
		sum += min(server.demand, server.limitAt(name, s.now))
	}
	return sum
}

// idealUsable returns what the servers could use together of a limit if the pool were divided with
// full and immediate knowledge of all demands.
func (s *simulation) idealUsable(limit *Limit) float64 {
	floor := s.config.FloorPerServer(limit)
	floors, more := 0.0, 0.0
	for _, server := range s.servers {
		floors += min(server.demand, floor)
		more += max(0, server.demand-floor)
	}
	return floors + min(more, s.config.pool(limit))
}

// shortfall describes a limit of which the servers can use over 2% less than idealUsable, "" if
// there is none.
func (s *simulation) shortfall() string {
	for i := range s.config.Limits {
		limit := &s.config.Limits[i]
		used, ideal := s.totalUsable(limit.Name), s.idealUsable(limit)
		if used < 0.98*ideal-0.01 {
			return fmt.Sprintf("the servers can use %.3f of %s, want about %.3f", used, limit.Name, ideal)
		}
	}
	return ""
}

// setDemand sets the same demand for all servers.
func (s *simulation) setDemand(demand float64) {
	for _, server := range s.servers {
		server.demand = demand
	}
}
