package circuitbreaker

import (
	"fmt"
	"math"
	"math/rand/v2"
)

const (
	simulationStepSeconds = 0.05
	zoneCount             = 3
	// Each time a server gossips, it chooses gossipFanout servers and sends each of them the
	// reports of at most gossipReports servers.
	gossipFanout  = 3
	gossipReports = 16
)

// simulation runs servers that call one service and exchange reports, in simulated time, and counts
// their calls.
type simulation struct {
	random       *rand.Rand
	now          float64
	breakers     []*Breaker
	zones        [zoneCount][]string     // names of the servers in each zone
	reportsReach func(from, to int) bool // whether reports sent by server from reach server to
	callRate     float64                 // calls a second that each server tries to make
	outcome      func(server int) (succeeds bool, seconds float64)
	inFlight     [][]call // by server
	callCount    int
	maxInFlight  []float64 // by server
}

type call struct {
	endsAt   float64
	succeeds bool
	seconds  float64
}

// alwaysSucceeds is the outcome of calls to a healthy service.
func alwaysSucceeds(int) (succeeds bool, seconds float64) { return true, 0.02 }

func newSimulation(servers int, callRate float64) *simulation {
	s := &simulation{
		random:       rand.New(rand.NewPCG(7, 9)),
		callRate:     callRate,
		reportsReach: func(int, int) bool { return true },
		inFlight:     make([][]call, servers),
		maxInFlight:  make([]float64, servers),
		outcome:      alwaysSucceeds,
	}
	for i := range servers {
		name := fmt.Sprint("n", i)
		zone := i % zoneCount
		s.zones[zone] = append(s.zones[zone], name)
		s.breakers = append(s.breakers, New(name, fmt.Sprint("z", zone), 0))
		s.maxInFlight[i] = math.Inf(1)
	}
	return s
}

func (s *simulation) run(seconds float64) {
	for end := s.now + seconds; s.now < end-simulationStepSeconds/2; {
		s.now += simulationStepSeconds
		for server := range s.breakers {
			s.runServer(server)
		}
	}
}

func (s *simulation) runServer(server int) {
	breaker := s.breakers[server]
	ended := s.endCalls(server)
	s.beginCalls(server)
	breaker.RecordCalls(s.now, ended, float64(len(s.inFlight[server])))
	zoneServers := func() []string { return s.zones[server%zoneCount] }
	s.maxInFlight[server], _ = breaker.Decide(s.now, zoneServers)
	if s.random.IntN(5) == 0 {
		s.gossip(server)
	}
}

// endCalls removes the calls that have ended and returns their results.
func (s *simulation) endCalls(server int) (ended Tally) {
	left := s.inFlight[server][:0]
	for _, call := range s.inFlight[server] {
		switch {
		case call.endsAt > s.now:
			left = append(left, call)
		case call.succeeds:
			ended.Succeeded++
			ended.SuccessSeconds += call.seconds
		default:
			ended.Failed++
		}
	}
	s.inFlight[server] = left
	return ended
}

func (s *simulation) beginCalls(server int) {
	for wanted := s.callRate * simulationStepSeconds; wanted > 0; wanted-- {
		if s.random.Float64() < wanted && float64(len(s.inFlight[server]))+1 <= s.maxInFlight[server] {
			succeeds, seconds := s.outcome(server)
			s.inFlight[server] = append(s.inFlight[server], call{s.now + seconds, succeeds, seconds})
			s.callCount++
		}
	}
}

func (s *simulation) gossip(from int) {
	for range gossipFanout {
		to := s.random.IntN(len(s.breakers))
		if to == from || !s.reportsReach(from, to) {
			continue
		}
		for _, report := range s.breakers[from].GossipReports(s.now, uint64(from+1), gossipReports) {
			s.breakers[to].HandleReport(s.now, report)
		}
	}
}

// count returns how many breakers are in one of the states.
func (s *simulation) count(states ...State) (n int) {
	for _, breaker := range s.breakers {
		for _, state := range states {
			if breaker.state == state {
				n++
			}
		}
	}
	return n
}
