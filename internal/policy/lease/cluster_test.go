package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

var testConfig = Config{
	LeaseSeconds:           3,
	CatchUpTimeoutSeconds:  5,
	MaxUnavailableFraction: 0.25,
	UnregisterAfterSeconds: 60,
}

// testVoterAddrs has only the first server. A new leader knows its address from the start and
// learns the other servers' addresses from their requests, so that the random schedules cover both
// cases.
var testVoterAddrs = map[string]string{"n0": "addr0"}

// tickSeconds is the step of a cluster's simulated time.
const tickSeconds = 0.02

// fatalReporter is the method of testing.T and rapid.T that a cluster uses.
type fatalReporter interface{ Fatalf(string, ...any) }

// cluster simulates servers and their leader. The voters are not simulated: the cluster has one
// committed release log. A deposed leader keeps a copy of the log from the time of the leader
// change, and goes on deciding until its last confirmation by a majority is too old.
type cluster struct {
	t           fatalReporter
	random      *rand.Rand
	now         float64
	releaseLog  *release.Log
	leader      *leader
	deposed     *leader
	servers     []*server
	network     []delivery
	proposals   []delivery // the leader's pending commands, in the order of their proposal
	incarnation uint64     // incarnation of the latest server
	lossRate    float64
	commitDelay float64 // greatest random part, in seconds, of the time until a command is committed
	partitioned bool    // no server can reach a leader
}

type leader struct {
	grantor        *Grantor
	releaseLog     *release.Log // nil if the leader uses the cluster's release log
	confirmedUntil float64
}

type server struct {
	holder      *Holder
	name        string
	incarnation uint64
	addr        string
	clockRate   float64
	clockOffset float64
	paused      bool
	blocked     bool // the server can't apply a new version
	active      release.Epoch
	assigned    release.Epoch
	isolated    bool
	snapshot    Snapshot // latest snapshot that the server loop received
}

// delivery is a function that is called at a later time: it delivers a message or commits a
// command.
type delivery struct {
	at      float64
	deliver func()
}

func newCluster(t fatalReporter, seed uint64, servers int, fallback serving.Mode) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 3)), commitDelay: 0.1}
	c.releaseLog = release.BootstrapLog(&release.Log{}, 7, map[uint64]string{1: "v"})
	c.electLeader()
	for i := range servers {
		c.addServer(fmt.Sprint("n", i), fmt.Sprint("addr", i), fallback)
	}
	return c
}

func (c *cluster) addServer(name, addr string, fallback serving.Mode) *server {
	c.incarnation++
	s := &server{
		name:        name,
		incarnation: c.incarnation,
		addr:        addr,
		clockRate:   0.99 + 0.02*c.random.Float64(),
		clockOffset: 1e4 * c.random.Float64(),
	}
	s.holder = NewHolder(HolderConfig{
		Name:         name,
		Incarnation:  s.incarnation,
		Addr:         addr,
		Fallback:     fallback,
		LeaseSeconds: testConfig.LeaseSeconds,
	}, s.clock(c.now))
	c.servers = append(c.servers, s)
	return s
}

// restartServer replaces a server by a new incarnation at the same address.
func (c *cluster) restartServer(i int, fallback serving.Mode) *server {
	restarted := c.addServer(c.servers[i].name, c.servers[i].addr, fallback)
	c.servers[i] = restarted
	c.servers = c.servers[:len(c.servers)-1]
	return restarted
}

// clock converts the simulated time to the time of the server's own clock.
func (s *server) clock(now float64) float64 { return s.clockOffset + s.clockRate*now }

// electLeader begins a new term. A random number of the old leader's proposals are committed first,
// the rest are lost.
func (c *cluster) electLeader() {
	if c.leader != nil {
		for _, proposal := range c.proposals[:c.random.IntN(len(c.proposals)+1)] {
			proposal.deliver()
		}
		c.proposals = nil
		c.deposed = &leader{
			grantor:        c.leader.grantor,
			releaseLog:     c.releaseLog.Clone(),
			confirmedUntil: c.now + LeaderConfirmationWindowSeconds,
		}
	}
	c.leader = &leader{grantor: NewGrantor(testConfig, testVoterAddrs, c.now)}
}

// propose schedules the commit of the leader's commands, in the order of the slice.
func (c *cluster) propose(commands []release.Command) {
	for _, command := range commands {
		grantor := c.leader.grantor
		c.proposals = append(c.proposals, delivery{c.now + 0.02 + c.commitDelay*c.random.Float64(), func() {
			_ = c.releaseLog.Apply(&command)
			grantor.HandleCommandResult(&command)
		}})
	}
}

// send delivers a message after a random delay. It loses messages at lossRate and duplicates one in
// eight.
func (c *cluster) send(deliver func()) {
	for range 1 + c.random.IntN(8)/7 {
		if c.random.Float64() >= c.lossRate {
			c.network = append(c.network, delivery{c.now + 0.2*c.random.ExpFloat64(), deliver})
		}
	}
}

// requestLease sends a server's request to the leader. While the deposed leader still decides, half
// of the requests go to the deposed leader.
func (c *cluster) requestLease(s *server) {
	request := s.holder.NewRequest(s.clock(c.now))
	to := c.leader
	if c.deposed != nil && c.now < c.deposed.confirmedUntil && c.random.IntN(2) == 0 {
		to = c.deposed
	}
	if s.isolated || c.partitioned {
		return
	}
	c.send(func() {
		releaseLog := to.releaseLog
		if releaseLog == nil || to == c.leader {
			releaseLog = c.releaseLog
		}
		confirmed := to == c.leader || c.now < to.confirmedUntil
		reply, commands := to.grantor.HandleRequest(c.now, &request, releaseLog, confirmed)
		if to == c.leader {
			c.propose(commands)
		}
		c.send(func() { c.deliverReply(s, &reply) })
	})
}

func (c *cluster) deliverReply(s *server, reply *Reply) {
	if s.paused || s.isolated || c.partitioned {
		return
	}
	s.holder.HandleReply(s.clock(c.now), reply)
	s.assigned = max(s.assigned, reply.AssignedEpoch)
	s.snapshot = s.holder.Snapshot()
}

// run advances the simulated time and checks the invariants at each tick.
func (c *cluster) run(seconds float64) {
	for end := c.now + seconds; c.now < end; {
		c.now += tickSeconds
		c.commitDue()
		c.deliverDue()
		policy := release.RolloutPolicy{WaveSeconds: 1, HaltConfidence: 0.9999}
		c.propose(c.leader.grantor.Maintain(c.now, c.releaseLog, policy))
		for _, s := range c.servers {
			if !s.paused {
				c.runServer(s)
			}
		}
		c.checkInvariants()
	}
}

func (c *cluster) commitDue() {
	for len(c.proposals) > 0 && c.proposals[0].at <= c.now {
		c.proposals[0].deliver()
		c.proposals = c.proposals[1:]
	}
}

func (c *cluster) deliverDue() {
	network := c.network
	c.network = nil
	for _, message := range network {
		if message.at <= c.now {
			message.deliver()
		} else {
			c.network = append(c.network, message)
		}
	}
}

func (c *cluster) runServer(s *server) {
	now := s.clock(c.now)
	if s.assigned > s.active && !s.blocked {
		s.active = s.assigned
	}
	blockedBy := ""
	if s.blocked && s.assigned > s.active {
		blockedBy = "it refuses the file"
	}
	s.holder.SetActiveEpoch(s.active, blockedBy)
	s.holder.Expire(now)
	if s.holder.NextWakeup() <= now {
		c.requestLease(s)
	}
	s.snapshot = s.holder.Snapshot()
}

// checkInvariants checks the mode in which each server loop serves now, including servers whose
// node agent is paused. It fails the test if two incarnations of a name have a lease, if an ejected
// server has a lease, or if more servers are out of service for want of a leader than
// MaxUnavailableFraction allows.
func (c *cluster) checkInvariants() {
	leased := map[string]uint64{}
	outOfService := 0
	for _, s := range c.servers {
		now := s.clock(c.now)
		if s.snapshot.State == StateLeased && now < s.snapshot.ChangesAt {
			if other := leased[s.name]; other != 0 {
				c.t.Fatalf("%s: incarnations %d and %d both have a lease at %.2f s, want at most one lease",
					s.name, other, s.incarnation, c.now)
			}
			leased[s.name] = s.incarnation
			ejection, ejected := c.releaseLog.Ejected[s.name]
			if ejected && ejection.Incarnation == s.incarnation {
				c.t.Fatalf("incarnation %d of %s has a lease while it is ejected, at %.2f s; want none",
					s.incarnation, s.name, c.now)
			}
		}
		ownsName := c.releaseLog.Members[s.name] == s.incarnation
		fellBack := s.snapshot.State == StateExpired && s.snapshot.ModeAt(now) == serving.ModeOutOfService
		if fellBack && !s.blocked && ownsName {
			outOfService++
		}
	}
	members := max(len(c.releaseLog.Members), len(c.servers))
	if limit := int(testConfig.MaxUnavailableFraction * float64(members)); outOfService > limit {
		c.t.Fatalf("%d of %d servers went out of service because no leader was reachable, want at most %d",
			outOfService, len(c.servers), limit)
	}
}

// release applies a release to the cluster's release log at once. The log refuses it while a rollout
// is in progress.
func (c *cluster) release(text string, waves ...float64) {
	_ = c.releaseLog.Apply(&release.Command{
		Kind:          release.KindRelease,
		ExpectedEpoch: c.releaseLog.NewestEpoch(),
		Text:          text,
		Digest:        release.Digest(text, ""),
		Waves:         waves,
	})
}

// requireAllLeased fails unless each server has a lease and runs its assigned version.
func (c *cluster) requireAllLeased(t *testing.T) {
	t.Helper()
	for _, s := range c.servers {
		assigned := c.releaseLog.VersionFor(s.name).Epoch
		if state, reason := s.holder.State(); state != StateLeased || s.active != assigned {
			t.Errorf("%s: state %s (%s) with active epoch %s, want %s with epoch %s",
				s.name, state, reason, s.active, StateLeased, assigned)
		}
	}
}

// findDeviation describes the first deviation from the state that the cluster has to reach once all
// faults have ended: exactly one incarnation of each name has a lease and runs its assigned
// version. It returns "" if there is no deviation.
func (c *cluster) findDeviation() string {
	leased := map[string]int{}
	for _, s := range c.servers {
		assigned := c.releaseLog.VersionFor(s.name).Epoch
		switch {
		case s.snapshot.State == StateLeased && s.active != assigned:
			return fmt.Sprintf("%s runs epoch %s, want %s", s.name, s.active, assigned)
		case s.snapshot.State == StateLeased:
			leased[s.name]++
		case s.snapshot.State != StateSuperseded:
			return fmt.Sprintf("%s: state %s (%s), want %s or %s",
				s.name, s.snapshot.State, s.snapshot.Reason, StateLeased, StateSuperseded)
		}
	}
	for _, s := range c.servers {
		if leased[s.name] != 1 {
			return fmt.Sprintf("%d incarnations of %s have a lease, want 1", leased[s.name], s.name)
		}
	}
	return ""
}
