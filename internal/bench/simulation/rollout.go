package simulation

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"

	"swiftcourse/internal/bench/report"
	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/timerwheel"
	wire "swiftcourse/internal/wire/fleet"
)

// RolloutPlan is a fleet whose servers talk about versions, in simulated time: the parts of package fleet themselves, over a network that
// delays, loses, doubles and cuts. Who is there is told at once and rightly, where the program has it by gossip.
type RolloutPlan struct {
	Servers  int
	Voters   int
	Seconds  float64 // of releases and faults; then all is healed, and the fleet has a while to agree
	Seed     uint64
	NoFaults bool    // no faults
	KeyRate  float64 // tasks that bear a key, a second over all servers; 0 for none
}

// Validate tells what is wrong with it.
func (v *RolloutPlan) Validate() error {
	if v.Servers < 1 || v.Servers > 5000 || v.Voters < 1 || v.Voters > min(15, v.Servers) || v.Seconds < 1 || v.Seconds > 3600 || v.KeyRate < 0 || v.KeyRate > 10_000 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 1 to 5000, from 1 to 15, and from 1 to 3600", v.Servers, v.Voters, v.Seconds)
	}
	return nil
}

// RolloutRow is what a run came to.
type RolloutRow struct {
	report.RolloutCounts
	TooManyUnavailable int     `json:"too_many_left"` // checks that found more servers out of service than allowed
	Unhealed           int     `json:"unhealed"`      // servers not on the newest version at the end
	HealSeconds        float64 `json:"heal_s"`        // until all acted on the newest version, after the last fault
	report.CatchUpLatency
	MessagesPerSecond float64   `json:"messages_s"`      // sent by a server, on average
	BytesPerSecond    float64   `json:"bytes_s"`         // sent by a server, on average
	MaxBytesPerSecond float64   `json:"bytes_s_at_most"` // of the server that sent most
	Claims            ClaimsRow `json:"claimed"`
}

// Violations counts what breaks an invariant, of rollouts and of claims.
func (r RolloutRow) Violations() int {
	claims := r.Claims.Unanswered + r.Claims.RepeatedRuns + r.Claims.WrongResults + r.Claims.ConflictingResults +
		r.Claims.SlotsOutOfSync
	return claims + r.ConflictingDigests + r.ServedWhileEjected + r.TooManyUnavailable + r.Unhealed
}

// RolloutColumns and Cells are those of the table.
var RolloutColumns = []string{"seed", "servers", "releases", "faults", "two digests", "acted out", "too many left", "unhealed", "heal s", "p50 ms", "p99 ms", "max ms",
	"msg/s", "B/s", "most B/s"}

// Cells are a row's in the table.
func (r RolloutRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %d %d %d %.1f %.0f %.0f %.0f %.1f %.0f %.0f", r.Seed, r.Servers, r.Releases, r.Faults, r.ConflictingDigests,
		r.ServedWhileEjected, r.TooManyUnavailable, r.Unhealed, r.HealSeconds, r.CatchUpP50, r.CatchUpP99, r.CatchUpMax, r.MessagesPerSecond, r.BytesPerSecond, r.MaxBytesPerSecond))
}

// Terms of the emulated fleets: those of the operator's file where it says nothing.
var leaseTerms = lease.Config{Duration: 6, CatchUpTimeout: 10, MaxUnavailable: 0.25, ForgetAfter: 600}

const (
	// healTimeout is how long a healed fleet has to agree: some leases, and a founding.
	healTimeout = 60.0
	// maxHeldMessages messages wait for a server that is stopped, as a socket's buffer holds some.
	maxHeldMessages = 200
)

// node is one server of it.
type node struct {
	*fleetSim
	name            string
	number          int
	agent           *fleet.Agent
	random          *rand.Rand
	alive           bool
	isPaused        bool
	heldMessages    [][]byte
	timer           timerwheel.Timer
	timerSet        bool
	directive       serving.Directive
	state           lease.State
	failsToApply    bool // can't apply what is released
	activeEpoch     release.Epoch
	messagesSent    int
	bytesSent       int
	disturbedUntil  float64                               // until when it may be hindered
	quotaConfig     func(*fleet.Clock) *fleet.QuotaConfig // nil where none are shared
	countersEnabled bool
	loadPlanConfig  func(*fleet.Clock) *fleet.LoadPlanConfig // nil where there are none
}

// fleetSim is a run.
type fleetSim struct {
	*clock
	plan          *RolloutPlan
	nodes         []*node
	nodeByName    map[string]*node
	voters        map[string]string
	partition     []int // of a cut, by server; nil for none
	isolated      *node
	loss          float64
	digests       map[release.Epoch]string
	released      map[release.Epoch]float64
	catchUpMillis []float64
	newest        *release.Log // that any voter ever carried out: what a leader did that died at once was done all the same
	row           RolloutRow
	claims        *claimLog // nil where no keys are claimed
}

// newFleetSim makes a fleet that has not started.
func newFleetSim(v *RolloutPlan) *fleetSim {
	t := &fleetSim{clock: newClock(v.Seed), plan: v, nodeByName: map[string]*node{}, voters: map[string]string{}, digests: map[release.Epoch]string{},
		released: map[release.Epoch]float64{}, row: RolloutRow{RolloutCounts: report.RolloutCounts{Seed: v.Seed, Servers: v.Servers}}}
	for i := range v.Servers {
		s := &node{fleetSim: t, name: fmt.Sprintf("n%d", i+1), number: i, random: rand.New(rand.NewPCG(v.Seed, uint64(i+100)))}
		t.nodes, t.nodeByName[s.name] = append(t.nodes, s), s
		if i < v.Voters {
			t.voters[s.name] = s.name
		}
	}
	return t
}

// RunRollout plays it.
func RunRollout(v *RolloutPlan) RolloutRow {
	t := newFleetSim(v)
	if v.KeyRate > 0 {
		var names []string
		for _, s := range t.nodes {
			names = append(names, s.name)
		}
		t.claims = newClaimLog(names)
	}
	for _, s := range t.nodes {
		t.after(2*t.random.Float64(), s.start)
	}
	t.run(20) // a founding, and all have their lease
	if t.claims != nil {
		t.run(t.now + claimRetention + 2*maxClaimDuration) // nobody can tell what ran before
		t.sendClaim()
	}
	sent, bytes := t.trafficTotals()
	from := t.now
	t.run(t.now + 10) // nothing happens: what the fleet costs
	sent2, bytes2 := t.trafficTotals()
	for i := range sent {
		t.row.MessagesPerSecond += (sent2[i] - sent[i]) / (t.now - from) / float64(len(sent))
		t.row.BytesPerSecond += (bytes2[i] - bytes[i]) / (t.now - from) / float64(len(sent))
		t.row.MaxBytesPerSecond = max(t.row.MaxBytesPerSecond, (bytes2[i]-bytes[i])/(t.now-from))
	}
	t.after(0, t.checkInvariants)
	for end := t.now + v.Seconds; t.now < end; {
		t.injectFault()
		t.run(t.now + 0.3 + 1.5*t.random.Float64())
	}
	t.heal()
	if t.claims != nil {
		t.run(t.now + claimRetention) // what was lost with most of its holders has to age
		t.claims.summarize(t)
		t.row.Claims = t.claims.row
	}
	t.row.CatchUpLatency = report.NewCatchUpLatency(t.catchUpMillis)
	return t.row
}

func (t *fleetSim) trafficTotals() (sent, bytes []float64) {
	for _, s := range t.nodes {
		sent, bytes = append(sent, float64(s.messagesSent)), append(bytes, float64(s.bytesSent))
	}
	return sent, bytes
}

func (s *node) start() {
	s.alive, s.isPaused, s.heldMessages, s.activeEpoch = true, false, nil, 0
	rate, off := 0.99+0.02*s.random.Float64(), 7200*s.random.Float64()-3600
	from := s.now
	clock := fleet.NewClock(func() float64 { return s.now }, 1.8e9+from, off, rate)
	var shared *fleet.QuotaConfig
	if s.quotaConfig != nil {
		shared = s.quotaConfig(clock)
	}
	var plans *fleet.LoadPlanConfig
	if s.loadPlanConfig != nil {
		plans = s.loadPlanConfig(clock)
	}
	s.agent = fleet.NewAgent(fleet.Config{
		Name:            s.name,
		ListenAddr:      s.name,
		Voters:          s.voters,
		Build:           "b",
		Clock:           clock,
		Logger:          slog.New(slog.DiscardHandler),
		Lease:           fleet.LeaseConfig{Terms: leaseTerms, Fallback: serving.ModeOutOfService},
		Rollout:         release.RolloutPolicy{WaveSeconds: 1, HaltConfidence: 1},
		Replication:     s.replicationConfig(),
		Quotas:          shared,
		LoadPlan:        plans,
		CountersEnabled: s.countersEnabled,
		Apply: func(string) error {
			if s.failsToApply {
				return errors.New("its limits differ")
			}
			return nil
		},
		Publish: func(to *serving.Directive) {
			s.directive = *to
			s.directive.ChangesAt = clock.ToSource(to.ChangesAt)
		},
	}, s.random.Uint64()|1, s, s.random)
	s.tick()
}

// tick lets it do what is due, and sets its alarm.
func (s *node) tick() {
	if !s.alive || s.isPaused {
		return
	}
	now := s.agent.Now()
	s.agent.Tick(now)
	view, acts := s.agent.ServingState()
	s.state = view.State
	if o := s.agent.ReleaseLog(); s.number < s.plan.Voters && o.AppliedCount > 0 && (s.newest == nil || o.NewerThan(s.newest)) {
		s.newest = o
	}
	if acts.Epoch != s.activeEpoch {
		s.activeEpoch = acts.Epoch
		if was, seen := s.digests[acts.Epoch]; seen && was != acts.Digest {
			s.row.ConflictingDigests++
		}
		s.digests[acts.Epoch] = acts.Digest
		if at, known := s.released[acts.Epoch]; known && at > s.disturbedUntil {
			s.catchUpMillis = append(s.catchUpMillis, 1000*(s.now-at))
		}
	}
	wait := max(0.001, s.agent.NextWakeup()-now)
	if s.timerSet {
		s.timers.Cancel(s.timer)
	}
	s.timerSet = true
	s.timer = s.after(wait, func() {
		s.timerSet = false
		s.tick()
	})
}

// Send has a message arrive later, more than once or never.
func (s *node) Send(addr string, b []byte) {
	s.messagesSent++
	s.bytesSent += len(b)
	to := s.nodeByName[addr]
	if to == nil || to == s.isolated || s.partition != nil && s.partition[s.number] != s.partition[to.number] || s.clock.random.Float64() < s.loss {
		return
	}
	for range 1 + s.clock.random.IntN(50)/49 { // one in fifty is doubled
		s.after(0.0002+s.exponential(0.001), func() { to.receive(b) })
	}
}

func (s *node) receive(b []byte) {
	if !s.alive {
		return
	}
	if s.isPaused {
		if len(s.heldMessages) < maxHeldMessages {
			s.heldMessages = append(s.heldMessages, b)
		}
		return
	}
	if m, err := wire.Decode(b); err == nil {
		s.agent.HandleMessage(s.agent.Now(), m)
		s.tick()
	}
}

// AddrOf, All, Some and Knows tell who is there, rightly.
func (s *node) AddrOf(name string, _ uint64, _ string) string { return name }

// Members lists the others.
func (s *node) Members() map[string]string {
	all := map[string]string{}
	for _, o := range s.nodes {
		if o.alive && o != s {
			all[o.name] = o.name
		}
	}
	return all
}

// Sample draws some.
func (s *node) Sample(most int, chance *rand.Rand) (addrs []string) {
	for range most {
		if o := s.nodes[chance.IntN(len(s.nodes))]; o != s && o.alive {
			addrs = append(addrs, o.name)
		}
	}
	return addrs
}

// HasMember tells whether one is there.
func (s *node) HasMember(name string) bool {
	return s.nodeByName[name] != nil && s.nodeByName[name].alive
}

// markDisturbed notes that servers may be hindered for so long, and a little longer.
func (t *fleetSim) markDisturbed(seconds float64, servers ...*node) {
	for _, s := range servers {
		s.disturbedUntil = max(s.disturbedUntil, t.now+seconds+2)
	}
}

// injectFault does something that the seed says.
func (t *fleetSim) injectFault() {
	s := t.nodes[t.random.IntN(len(t.nodes))]
	length := 1 + 10*t.random.Float64()
	what := t.random.IntN(12)
	if t.plan.NoFaults {
		what = 11
	}
	if what < 7 {
		t.row.Faults++
	}
	switch what {
	case 0: // a tenth of the fleet dies and returns cold
		for _, o := range t.nodes {
			if t.random.Float64() < 0.1 || o == s {
				o.alive = false
				t.markDisturbed(5+length, o)
				t.after(length/4, o.start)
			}
		}
	case 1:
		t.markDisturbed(length, s)
		s.isPaused = true
		life := s.agent
		t.after(length, func() { s.resume(life) })
	case 2: // a third is cut off
		t.partition = make([]int, len(t.nodes))
		for i := range t.partition {
			t.partition[i] = t.random.IntN(3) / 2
		}
		t.markDisturbed(length, t.nodes...)
		t.after(length, func() { t.partition = nil })
	case 3:
		t.isolated = s
		t.markDisturbed(length, s)
		t.after(length, func() { t.isolated = nil })
	case 4:
		t.loss = 0.3
		t.markDisturbed(length, t.nodes...)
		t.after(length, func() { t.loss = 0 })
	case 5:
		s.failsToApply = true
		t.markDisturbed(length+20, s)
		t.after(length+15, func() { s.failsToApply = false })
	case 6: // every voter at once
		if t.random.IntN(4) > 0 {
			return
		}
		t.markDisturbed(15, t.nodes...)
		for _, v := range t.nodes[:t.plan.Voters] {
			v.alive = false
			t.after(1, v.start)
		}
	default:
		if s.alive && !s.isPaused {
			t.release(s)
		}
	}
}

func (t *fleetSim) release(s *node) {
	text := fmt.Sprintf("door-come-back %gs\n", 1+math.Floor(t.now))
	waves := [][]float64{nil, {0.01, 0.1, 0.5}}[t.random.IntN(2)]
	s.agent.SubmitCommand(s.agent.Now(), release.Command{Kind: release.KindRelease, Author: s.name, Text: text, Digest: release.Digest(text, ""), Waves: waves},
		func(d wire.CommandResult) {
			if d.RejectReason == "" {
				t.row.Releases++
				if waves == nil {
					t.released[d.NewestEpoch] = t.now
				}
			}
		})
	s.tick()
}

func (s *node) resume(life *fleet.Agent) {
	if s.agent != life || !s.isPaused {
		return
	}
	s.isPaused = false
	held := s.heldMessages
	s.heldMessages = nil
	s.tick()
	for _, b := range held {
		s.receive(b)
	}
}

// newestLivingLog is the order of the living voter that knows most: what a lost group did that nobody knows of any more is not in it.
func (t *fleetSim) newestLivingLog() (o *release.Log) {
	for _, v := range t.nodes[:t.plan.Voters] {
		if v.alive && (o == nil || v.agent.ReleaseLog().NewerThan(o)) {
			o = v.agent.ReleaseLog()
		}
	}
	return o
}

// checkInvariants checks, ten times a second, that nobody does what it may not: also those whose part stands still, whose loop would go by what it last had.
func (t *fleetSim) checkInvariants() {
	if o, living := t.newest, t.newestLivingLog(); o != nil && living != nil {
		away := 0
		for _, s := range t.nodes {
			if !s.alive {
				continue
			}
			leased := s.state == lease.StateLeased && t.now < s.directive.ChangesAt
			out, is := o.Ejected[s.name]
			if leased && is && out.Incarnation == s.agent.Incarnation() && living.Ejected[s.name].Incarnation == out.Incarnation {
				t.row.ServedWhileEjected++
			}
			quiet := s.state == lease.StateExpired || s.state == lease.StateLeased && t.now >= s.directive.ChangesAt
			if quiet && s.directive.ModeAt(t.now) == serving.ModeOutOfService && o.Members[s.name] == s.agent.Incarnation() {
				away++
			}
		}
		if away > int(leaseTerms.MaxUnavailable*float64(len(t.nodes))) {
			t.row.TooManyUnavailable++
		}
	}
	t.after(0.1, t.checkInvariants)
}

// heal ends all faults, releases once more, and waits until all act on that.
func (t *fleetSim) heal() {
	t.partition, t.isolated, t.loss = nil, nil, 0
	for _, s := range t.nodes {
		s.failsToApply = false
		if !s.alive {
			s.start()
		}
		s.resume(s.agent)
	}
	from := t.now
	for t.now < from+healTimeout {
		t.run(t.now + 0.25)
		o := t.newestLivingLog()
		t.row.Unhealed = 0
		for _, s := range t.nodes {
			if o == nil || o.Next != nil || s.state != lease.StateLeased || s.activeEpoch != o.Current.Epoch {
				t.row.Unhealed++
			}
		}
		if t.row.Unhealed == 0 {
			break
		}
	}
	t.row.HealSeconds = t.now - from
}
