package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestLimit_HoldsInDrawnSchedules plays drawn faults; simulation.check holds the limits at each step. Once
// all faults are healed what is wanted is used, and nothing is lost.
func TestLimit_HoldsInDrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "servers"))
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			drawFault(t, s)
			s.run(rapid.SampledFrom([]float64{0.1, 0.5, 1.2, 4}).Draw(t, "wait"))
		}
		s.messageLoss = 0
		s.meanDelay = 0.02
		s.leaderless = false
		for _, server := range s.servers {
			server.paused = false
			server.partitioned = false
		}
		s.run(3*s.config.LeaseSeconds + 3*testLimits[1].LingerSeconds)
		// A late request of a dead incarnation may have taken a share for a lease meanwhile.
		for tries := 0; s.unused() != ""; tries++ {
			if tries == 10 {
				t.Fatalf("healed, %s", s.unused())
			}
			s.run(1)
		}
	})
}

// drawFault has something happen to a drawn server or to the network.
func drawFault(t *rapid.T, s *simulation) {
	server := s.servers[rapid.IntRange(0, len(s.servers)-1).Draw(t, "server")]
	switch rapid.IntRange(0, 8).Draw(t, "step") {
	case 0:
		server.paused = !server.paused
	case 1:
		server.partitioned = !server.partitioned
	case 2:
		s.electLeader()
	case 3:
		s.leaderless = !s.leaderless
	case 4: // killed, and restarted
		*server = *s.startServer()
	case 5:
		server.demand = rapid.SampledFrom([]float64{0, 0.3, 5, 30, 500}).Draw(t, "demand")
	case 6:
		for _, other := range s.servers {
			other.demand, server.demand = server.demand, other.demand
		}
	case 7:
		s.messageLoss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
	case 8:
		s.meanDelay = rapid.SampledFrom([]float64{0.01, 0.05, 0.5, 1.5}).Draw(t, "delay")
	}
}

// The steps of a short sequence.
const (
	firstAsks          = iota // the first server sends a request
	secondAsks                // the second one does
	oldestToFirst             // the oldest request reaches the first leader
	newestToFirst             // the newest request reaches the first leader
	oldestToSecond            // the oldest request reaches the second leader
	timePasses                // 1.2 s
	secondLeaderBegins        // the first one is believed for its lease
	stepCount
)

// sequence is one of the short sequences: two servers, two leaders, and their requests.
type sequence struct {
	config   Config
	now      float64
	grantors [2]*Grantor
	holders  [2]*Holder
	replaced float64 // when the second leader began
	requests []func(grantor int)
}

// newSequence starts where both servers have heard the first leader, and one has all that there is.
func newSequence(config Config) *sequence {
	s := &sequence{
		config:   config,
		grantors: [2]*Grantor{NewGrantor(config, 1, -100), nil},
		holders:  [2]*Holder{NewHolder(7, config, 0), NewHolder(8, config, 0)},
		replaced: math.Inf(1),
	}
	for _, server := range []int{1, 0, 0} {
		s.ask(server)
		s.arrive(0, 0)
	}
	return s
}

func (s *sequence) ask(server int) {
	holder := s.holders[server]
	share := holder.limits[rateLimit]
	share.lastRequest = math.Inf(-1) // due again, whatever it reported before
	holder.RecordUsage(s.now, rateLimit, 500, 0, share.granted.number)
	request := holder.NextRequest(s.now)
	s.requests = append(s.requests, func(to int) {
		grantor := s.grantors[to]
		if grantor == nil {
			return
		}
		confirmed := to == 1 || s.now < s.replaced+leaderLeaseSeconds
		if reply := grantor.HandleRequest(s.now, request, confirmed); reply != nil {
			holder.HandleReply(s.now, reply)
		}
	})
}

func (s *sequence) arrive(request, grantor int) {
	s.requests[request](grantor)
	s.requests = append(s.requests[:request:request], s.requests[request+1:]...)
}

// possible reports whether a step does anything: where it doesn't the sequence equals a shorter one.
func (s *sequence) possible(step int) bool {
	switch step {
	case oldestToFirst, newestToFirst:
		return len(s.requests) > 0
	case oldestToSecond:
		return len(s.requests) > 0 && s.grantors[1] != nil
	case secondLeaderBegins:
		return s.grantors[1] == nil
	}
	return true
}

func (s *sequence) do(step int) {
	switch step {
	case firstAsks:
		s.ask(0)
	case secondAsks:
		s.ask(1)
	case oldestToFirst:
		s.arrive(0, 0)
	case newestToFirst:
		s.arrive(len(s.requests)-1, 0)
	case oldestToSecond:
		s.arrive(0, 1)
	case timePasses:
		s.now += 1.2
	case secondLeaderBegins:
		s.grantors[1] = NewGrantor(s.config, 2, s.now)
		s.replaced = s.now
	}
}

func (s *sequence) usable() (sum float64) {
	for _, holder := range s.holders {
		sum += holder.limits[rateLimit].limitAt(s.now)
	}
	return sum
}

// TestLimit_HoldsInAllShortSequences plays every order of seven steps of two servers, two leaders and their
// requests, from a moment at which one server has all and its lease is nearly over.
func TestLimit_HoldsInAllShortSequences(t *testing.T) {
	config := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 2, Limits: testLimits[:1]}
	const length = 7
	sequences := 1
	for range length {
		sequences *= stepCount
	}
	for number := range sequences {
		s := newSequence(config)
		s.now = 2.4
		for steps := number; steps > 0; steps /= stepCount {
			step := steps % stepCount
			if !s.possible(step) {
				break
			}
			s.do(step)
			if sum := s.usable(); sum > 100*(1+tolerance) {
				t.Fatalf("sequence %d: all may use %.1f of 100 at %.1f", number, sum, s.now)
			}
		}
	}
}
