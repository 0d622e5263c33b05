package quota

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestLimit_NotExceededUnderRandomFaults runs a simulation with randomly drawn faults.
// simulation.check fails if a limit is exceeded at any step. After all faults are healed, the
// servers must be able to use their demand again, up to the limits: no share may be lost.
func TestLimit_NotExceededUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "servers"))
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			drawFault(t, s)
			s.run(rapid.SampledFrom([]float64{0.1, 0.5, 1.2, 4}).Draw(t, "wait"))
		}
		s.messageLoss = 0
		s.meanDelaySeconds = 0.02
		s.leaderless = false
		for _, server := range s.servers {
			server.paused = false
			server.partitioned = false
		}
		s.run(3*s.config.LeaseSeconds + 3*testLimits[1].MaxUseSeconds)
		// A late request of a terminated incarnation may have leased a share, which stays committed
		// until its lease expires.
		for tries := 0; s.shortfall() != ""; tries++ {
			if tries == 10 {
				t.Fatalf("after all faults were healed: %s", s.shortfall())
			}
			s.run(1)
		}
	})
}

// drawFault injects a randomly drawn fault or change into a server, the network or the leadership.
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
	case 4: // the server is killed and restarted
		*server = *s.startServer()
	case 5:
		server.demand = rapid.SampledFrom([]float64{0, 0.3, 5, 30, 500}).Draw(t, "demand")
	case 6: // the demands move from server to server
		for _, other := range s.servers {
			other.demand, server.demand = server.demand, other.demand
		}
	case 7:
		s.messageLoss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
	case 8:
		s.meanDelaySeconds = rapid.SampledFrom([]float64{0.01, 0.05, 0.5, 1.5}).Draw(t, "delay")
	}
}

// The steps of a short sequence.
const (
	firstServerRequests   = iota // the first server sends a request
	secondServerRequests         // the second server sends a request
	deliverOldestToFirst         // the oldest request reaches the first leader
	deliverNewestToFirst         // the newest request reaches the first leader
	deliverOldestToSecond        // the oldest request reaches the second leader
	advanceTime                  // time advances by 1.2 s
	startSecondLeader            // the first leader still replies while its confirmation is valid
	stepCount
)

// sequence is the state of one short sequence: two servers, two leaders, and the requests in
// transit.
type sequence struct {
	config     Config
	now        float64
	grantors   [2]*Grantor
	holders    [2]*Holder
	replacedAt float64             // when the second leader began
	requests   []func(grantor int) // in transit; each delivers its request to the grantor
}

// newSequence starts with two servers that know the first leader; the first server has leased the
// whole pool.
func newSequence(config Config) *sequence {
	s := &sequence{
		config:     config,
		grantors:   [2]*Grantor{NewGrantor(config, 1, -100), nil},
		holders:    [2]*Holder{NewHolder(7, config, 0), NewHolder(8, config, 0)},
		replacedAt: math.Inf(1),
	}
	for _, server := range []int{1, 0, 0} {
		s.sendRequest(server)
		s.deliver(0, 0)
	}
	return s
}

func (s *sequence) sendRequest(server int) {
	holder := s.holders[server]
	limit := holder.limits[rateLimit]
	limit.lastRequestAt = math.Inf(-1) // makes a request due at any time
	holder.RecordUsage(s.now, rateLimit, 500, 0, limit.granted.number)
	request := holder.NextRequest(s.now)
	s.requests = append(s.requests, func(to int) {
		grantor := s.grantors[to]
		if grantor == nil {
			return
		}
		confirmed := to == 1 || s.now < s.replacedAt+leaderLeaseSeconds
		if reply := grantor.HandleRequest(s.now, request, confirmed); reply != nil {
			holder.HandleReply(s.now, reply)
		}
	})
}

func (s *sequence) deliver(request, grantor int) {
	s.requests[request](grantor)
	s.requests = append(s.requests[:request:request], s.requests[request+1:]...)
}

// hasEffect reports whether a step has an effect. A sequence with a step that has none equals a
// shorter sequence.
func (s *sequence) hasEffect(step int) bool {
	switch step {
	case deliverOldestToFirst, deliverNewestToFirst:
		return len(s.requests) > 0
	case deliverOldestToSecond:
		return len(s.requests) > 0 && s.grantors[1] != nil
	case startSecondLeader:
		return s.grantors[1] == nil
	}
	return true
}

func (s *sequence) apply(step int) {
	switch step {
	case firstServerRequests:
		s.sendRequest(0)
	case secondServerRequests:
		s.sendRequest(1)
	case deliverOldestToFirst:
		s.deliver(0, 0)
	case deliverNewestToFirst:
		s.deliver(len(s.requests)-1, 0)
	case deliverOldestToSecond:
		s.deliver(0, 1)
	case advanceTime:
		s.now += 1.2
	case startSecondLeader:
		s.grantors[1] = NewGrantor(s.config, 2, s.now)
		s.replacedAt = s.now
	}
}

func (s *sequence) totalAllowance() (sum float64) {
	for _, holder := range s.holders {
		sum += holder.limits[rateLimit].limitAt(s.now)
	}
	return sum
}

// TestLimit_NotExceededInAnyShortSequence runs every sequence of seven steps of two servers, two
// leaders and their requests. Each sequence starts when one server has leased the whole pool and
// its lease is about to expire.
func TestLimit_NotExceededInAnyShortSequence(t *testing.T) {
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
			if !s.hasEffect(step) {
				break
			}
			s.apply(step)
			if sum := s.totalAllowance(); sum > 100*(1+tolerance) {
				t.Fatalf("sequence %d: at %.1f s the servers together may use %.1f, want at most 100",
					number, s.now, sum)
			}
		}
	}
}
