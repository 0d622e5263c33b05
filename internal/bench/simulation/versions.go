package simulation

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/timerwheel"
	wire "swiftcourse/internal/wire/fleet"
)

// Versions is a fleet whose servers talk about versions, in simulated time: the parts of package fleet themselves, over a network that
// delays, loses, doubles and cuts. Who is there is told at once and rightly, where the program has it by gossip.
type Versions struct {
	Servers int
	Voters  int
	Seconds float64 // of releases and faults; then all is healed, and the fleet has a while to agree
	Seed    uint64
	Quiet   bool    // no faults
	Keys    float64 // tasks that bear a key, a second over all servers; 0 for none
}

// Check tells what is wrong with it.
func (v *Versions) Check() error {
	if v.Servers < 1 || v.Servers > 5000 || v.Voters < 1 || v.Voters > min(15, v.Servers) || v.Seconds < 1 || v.Seconds > 3600 || v.Keys < 0 || v.Keys > 10_000 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 1 to 5000, from 1 to 15, and from 1 to 3600", v.Servers, v.Voters, v.Seconds)
	}
	return nil
}

// VersionsRow is what a run came to.
type VersionsRow struct {
	Seed       uint64  `json:"seed"`
	Servers    int     `json:"servers"`
	Releases   int     `json:"releases"`
	Faults     int     `json:"faults"`
	TwoDigests int     `json:"epochs_with_two_digests"`
	ActedOut   int     `json:"acted_while_shut_out"`
	TooMany    int     `json:"too_many_left"` // moments at which more had left for want of talk than may
	Unhealed   int     `json:"unhealed"`
	HealIn     float64 `json:"heal_s"` // until all acted on the newest version, after the last fault
	CatchUpP50 float64 `json:"catch_up_p50_ms"`
	CatchUpP99 float64 `json:"catch_up_p99_ms"`
	CatchUpMax float64 `json:"catch_up_max_ms"`
	Messages   float64 `json:"messages_s"`      // that a server sends, in the mean
	Bytes      float64 `json:"bytes_s"`         // the same
	LeaderMost float64 `json:"bytes_s_at_most"` // of the one that sent most
	Claimed    KeysRow `json:"claimed"`
}

// VersionsHeads and Cells are those of the table.
var VersionsHeads = []string{"seed", "servers", "releases", "faults", "two digests", "acted out", "too many left", "unhealed", "heal s", "p50 ms", "p99 ms", "max ms",
	"msg/s", "B/s", "most B/s"}

// Cells are a row's in the table.
func (r VersionsRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %d %d %d %d %d %.1f %.0f %.0f %.0f %.1f %.0f %.0f", r.Seed, r.Servers, r.Releases, r.Faults, r.TwoDigests,
		r.ActedOut, r.TooMany, r.Unhealed, r.HealIn, r.CatchUpP50, r.CatchUpP99, r.CatchUpMax, r.Messages, r.Bytes, r.LeaderMost))
}

// Terms of the emulated fleets: those of the operator's file where it says nothing.
var versionTerms = lease.Config{Duration: 6, CatchUpTimeout: 10, MaxUnavailable: 0.25, ForgetAfter: 600}

const (
	// healWithin is how long a healed fleet has to agree: some leases, and a founding.
	healWithin = 60.0
	// maxHeld messages wait for a server that is stopped, as a socket's buffer holds some.
	maxHeld = 200
)

// talker is one server of it.
type talker struct {
	*talks
	name    string
	number  int
	part    *fleet.Agent
	chance  *rand.Rand
	alive   bool
	asleep  bool
	held    [][]byte
	timer   timerwheel.Timer
	armed   bool
	view    serving.Directive
	state   lease.State
	refuses bool // can't apply what is released
	acts    release.Epoch
	sent    int
	bytes   int
	hurt    float64                               // until when it may be hindered
	budgets func(*fleet.Clock) *fleet.QuotaConfig // nil where none are shared
	counts  bool
	plans   func(*fleet.Clock) *fleet.LoadPlanConfig // nil where there are none
}

// talks is a run.
type talks struct {
	*world
	plan     *Versions
	servers  []*talker
	names    map[string]*talker
	voters   map[string]string
	groups   []int // of a cut, by server; nil for none
	deaf     *talker
	loss     float64
	digests  map[release.Epoch]string
	released map[release.Epoch]float64
	took     []float64
	newest   *release.Log // that any voter ever carried out: what a leader did that died at once was done all the same
	row      VersionsRow
	ledger   *ledger // nil where no keys are claimed
}

// newTalks makes a fleet that has not started.
func newTalks(v *Versions) *talks {
	t := &talks{world: newWorld(v.Seed), plan: v, names: map[string]*talker{}, voters: map[string]string{}, digests: map[release.Epoch]string{},
		released: map[release.Epoch]float64{}, row: VersionsRow{Seed: v.Seed, Servers: v.Servers}}
	for i := range v.Servers {
		s := &talker{talks: t, name: fmt.Sprintf("n%d", i+1), number: i, chance: rand.New(rand.NewPCG(v.Seed, uint64(i+100)))}
		t.servers, t.names[s.name] = append(t.servers, s), s
		if i < v.Voters {
			t.voters[s.name] = s.name
		}
	}
	return t
}

// RunVersions plays it.
func RunVersions(v *Versions) VersionsRow {
	t := newTalks(v)
	if v.Keys > 0 {
		var names []string
		for _, s := range t.servers {
			names = append(names, s.name)
		}
		t.ledger = newLedger(names)
	}
	for _, s := range t.servers {
		t.after(2*t.chance.Float64(), s.start)
	}
	t.run(20) // a founding, and all have their lease
	if t.ledger != nil {
		t.run(t.now + keyWindow + 2*keyLongest) // nobody can tell what ran before
		t.claim()
	}
	sent, bytes := t.sums()
	from := t.now
	t.run(t.now + 10) // nothing happens: what the fleet costs
	sent2, bytes2 := t.sums()
	for i := range sent {
		t.row.Messages += (sent2[i] - sent[i]) / (t.now - from) / float64(len(sent))
		t.row.Bytes += (bytes2[i] - bytes[i]) / (t.now - from) / float64(len(sent))
		t.row.LeaderMost = max(t.row.LeaderMost, (bytes2[i]-bytes[i])/(t.now-from))
	}
	t.after(0, t.look)
	for end := t.now + v.Seconds; t.now < end; {
		t.stir()
		t.run(t.now + 0.3 + 1.5*t.chance.Float64())
	}
	t.heal()
	if t.ledger != nil {
		t.run(t.now + keyWindow) // what was lost with most of its holders has to age
		t.ledger.sum(t)
		t.row.Claimed = t.ledger.row
	}
	slices.Sort(t.took)
	if n := len(t.took); n > 0 {
		t.row.CatchUpP50, t.row.CatchUpP99, t.row.CatchUpMax = 1000*t.took[n/2], 1000*t.took[min(n-1, n*99/100)], 1000*t.took[n-1]
	}
	return t.row
}

func (t *talks) sums() (sent, bytes []float64) {
	for _, s := range t.servers {
		sent, bytes = append(sent, float64(s.sent)), append(bytes, float64(s.bytes))
	}
	return sent, bytes
}

func (s *talker) start() {
	s.alive, s.asleep, s.held, s.acts = true, false, nil, 0
	rate, off := 0.99+0.02*s.chance.Float64(), 7200*s.chance.Float64()-3600
	from := s.now
	clock := fleet.NewClock(func() float64 { return s.now }, 1.8e9+from, off, rate)
	var shared *fleet.QuotaConfig
	if s.budgets != nil {
		shared = s.budgets(clock)
	}
	var plans *fleet.LoadPlanConfig
	if s.plans != nil {
		plans = s.plans(clock)
	}
	s.part = fleet.NewAgent(fleet.Config{
		Name:            s.name,
		ListenAddr:      s.name,
		Voters:          s.voters,
		Build:           "b",
		Clock:           clock,
		Logger:          slog.New(slog.DiscardHandler),
		Lease:           fleet.LeaseConfig{Terms: versionTerms, Fallback: serving.ModeOutOfService},
		Rollout:         release.RolloutPolicy{WaveSeconds: 1, HaltConfidence: 1},
		Replication:     s.copies(),
		Quotas:          shared,
		LoadPlan:        plans,
		CountersEnabled: s.counts,
		Apply: func(string) error {
			if s.refuses {
				return errors.New("its limits differ")
			}
			return nil
		},
		Publish: func(to *serving.Directive) {
			s.view = *to
			s.view.ChangesAt = clock.ToSource(to.ChangesAt)
		},
	}, s.chance.Uint64()|1, s, s.chance)
	s.turn()
}

// turn lets it do what is due, and sets its alarm.
func (s *talker) turn() {
	if !s.alive || s.asleep {
		return
	}
	now := s.part.Now()
	s.part.Tick(now)
	view, acts := s.part.ServingState()
	s.state = view.State
	if o := s.part.ReleaseLog(); s.number < s.plan.Voters && o.AppliedCount > 0 && (s.newest == nil || o.NewerThan(s.newest)) {
		s.newest = o
	}
	if acts.Epoch != s.acts {
		s.acts = acts.Epoch
		if was, seen := s.digests[acts.Epoch]; seen && was != acts.Digest {
			s.row.TwoDigests++
		}
		s.digests[acts.Epoch] = acts.Digest
		if at, known := s.released[acts.Epoch]; known && at > s.hurt {
			s.took = append(s.took, s.now-at)
		}
	}
	wait := max(0.001, s.part.NextWakeup()-now)
	if s.armed {
		s.timers.Cancel(s.timer)
	}
	s.armed = true
	s.timer = s.after(wait, func() {
		s.armed = false
		s.turn()
	})
}

// Send has a message arrive later, more than once or never.
func (s *talker) Send(addr string, b []byte) {
	s.sent++
	s.bytes += len(b)
	to := s.names[addr]
	if to == nil || to == s.deaf || s.groups != nil && s.groups[s.number] != s.groups[to.number] || s.world.chance.Float64() < s.loss {
		return
	}
	for range 1 + s.world.chance.IntN(50)/49 { // one in fifty is doubled
		s.after(0.0002+s.exponential(0.001), func() { to.get(b) })
	}
}

func (s *talker) get(b []byte) {
	if !s.alive {
		return
	}
	if s.asleep {
		if len(s.held) < maxHeld {
			s.held = append(s.held, b)
		}
		return
	}
	if m, err := wire.Decode(b); err == nil {
		s.part.HandleMessage(s.part.Now(), m)
		s.turn()
	}
}

// AddrOf, All, Some and Knows tell who is there, rightly.
func (s *talker) AddrOf(name string, _ uint64, _ string) string { return name }

// Members lists the others.
func (s *talker) Members() map[string]string {
	all := map[string]string{}
	for _, o := range s.servers {
		if o.alive && o != s {
			all[o.name] = o.name
		}
	}
	return all
}

// Sample draws some.
func (s *talker) Sample(most int, chance *rand.Rand) (addrs []string) {
	for range most {
		if o := s.servers[chance.IntN(len(s.servers))]; o != s && o.alive {
			addrs = append(addrs, o.name)
		}
	}
	return addrs
}

// HasMember tells whether one is there.
func (s *talker) HasMember(name string) bool { return s.names[name] != nil && s.names[name].alive }

// hurts notes that servers may be hindered for so long, and a little longer.
func (t *talks) hurts(seconds float64, servers ...*talker) {
	for _, s := range servers {
		s.hurt = max(s.hurt, t.now+seconds+2)
	}
}

// stir does something that the seed says.
func (t *talks) stir() {
	s := t.servers[t.chance.IntN(len(t.servers))]
	length := 1 + 10*t.chance.Float64()
	what := t.chance.IntN(12)
	if t.plan.Quiet {
		what = 11
	}
	if what < 7 {
		t.row.Faults++
	}
	switch what {
	case 0: // a tenth of the fleet dies and returns cold
		for _, o := range t.servers {
			if t.chance.Float64() < 0.1 || o == s {
				o.alive = false
				t.hurts(5+length, o)
				t.after(length/4, o.start)
			}
		}
	case 1:
		t.hurts(length, s)
		s.asleep = true
		life := s.part
		t.after(length, func() { s.wake(life) })
	case 2: // a third is cut off
		t.groups = make([]int, len(t.servers))
		for i := range t.groups {
			t.groups[i] = t.chance.IntN(3) / 2
		}
		t.hurts(length, t.servers...)
		t.after(length, func() { t.groups = nil })
	case 3:
		t.deaf = s
		t.hurts(length, s)
		t.after(length, func() { t.deaf = nil })
	case 4:
		t.loss = 0.3
		t.hurts(length, t.servers...)
		t.after(length, func() { t.loss = 0 })
	case 5:
		s.refuses = true
		t.hurts(length+20, s)
		t.after(length+15, func() { s.refuses = false })
	case 6: // every voter at once
		if t.chance.IntN(4) > 0 {
			return
		}
		t.hurts(15, t.servers...)
		for _, v := range t.servers[:t.plan.Voters] {
			v.alive = false
			t.after(1, v.start)
		}
	default:
		if s.alive && !s.asleep {
			t.release(s)
		}
	}
}

func (t *talks) release(s *talker) {
	text := fmt.Sprintf("door-come-back %gs\n", 1+math.Floor(t.now))
	waves := [][]float64{nil, {0.01, 0.1, 0.5}}[t.chance.IntN(2)]
	s.part.SubmitCommand(s.part.Now(), release.Command{Kind: release.KindRelease, Author: s.name, Text: text, Digest: release.Digest(text, ""), Waves: waves},
		func(d wire.CommandResult) {
			if d.RejectReason == "" {
				t.row.Releases++
				if waves == nil {
					t.released[d.NewestEpoch] = t.now
				}
			}
		})
	s.turn()
}

func (s *talker) wake(life *fleet.Agent) {
	if s.part != life || !s.asleep {
		return
	}
	s.asleep = false
	held := s.held
	s.held = nil
	s.turn()
	for _, b := range held {
		s.get(b)
	}
}

// living is the order of the living voter that knows most: what a lost group did that nobody knows of any more is not in it.
func (t *talks) living() (o *release.Log) {
	for _, v := range t.servers[:t.plan.Voters] {
		if v.alive && (o == nil || v.part.ReleaseLog().NewerThan(o)) {
			o = v.part.ReleaseLog()
		}
	}
	return o
}

// look checks, ten times a second, that nobody does what it may not: also those whose part stands still, whose loop would go by what it last had.
func (t *talks) look() {
	if o, living := t.newest, t.living(); o != nil && living != nil {
		away := 0
		for _, s := range t.servers {
			if !s.alive {
				continue
			}
			leased := s.state == lease.StateLeased && t.now < s.view.ChangesAt
			out, is := o.Ejected[s.name]
			if leased && is && out.Incarnation == s.part.Incarnation() && living.Ejected[s.name].Incarnation == out.Incarnation {
				t.row.ActedOut++
			}
			quiet := s.state == lease.StateExpired || s.state == lease.StateLeased && t.now >= s.view.ChangesAt
			if quiet && s.view.ModeAt(t.now) == serving.ModeOutOfService && o.Members[s.name] == s.part.Incarnation() {
				away++
			}
		}
		if away > int(versionTerms.MaxUnavailable*float64(len(t.servers))) {
			t.row.TooMany++
		}
	}
	t.after(0.1, t.look)
}

// heal ends all faults, releases once more, and waits until all act on that.
func (t *talks) heal() {
	t.groups, t.deaf, t.loss = nil, nil, 0
	for _, s := range t.servers {
		s.refuses = false
		if !s.alive {
			s.start()
		}
		s.wake(s.part)
	}
	from := t.now
	for t.now < from+healWithin {
		t.run(t.now + 0.25)
		o := t.living()
		t.row.Unhealed = 0
		for _, s := range t.servers {
			if o == nil || o.Next != nil || s.state != lease.StateLeased || s.acts != o.Current.Epoch {
				t.row.Unhealed++
			}
		}
		if t.row.Unhealed == 0 {
			break
		}
	}
	t.row.HealIn = t.now - from
}
