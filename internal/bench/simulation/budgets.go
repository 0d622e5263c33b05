package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
)

// Shared is a fleet that shares a budget of one tenant's tasks, in simulated time, decided by the parts of package fleet: demand that moves, a third
// of the fleet cut off, then faults as the seed says. Beside it, at the same demand and cuts, stand three ways of having no leased parts.
type Shared struct {
	Servers int
	Voters  int
	Seconds float64 // of faults
	Seed    uint64
}

// Check tells what is wrong with it.
func (p *Shared) Check() error {
	if p.Servers < 10 || p.Servers > 5000 || p.Voters < 1 || p.Voters > 15 || p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 10 to 5000, from 1 to 15, and up to 3600", p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// SharedRow is what a run came to. Parts of the budget are of its rate.
type SharedRow struct {
	Seed      uint64  `json:"seed"`
	Servers   int     `json:"servers"`
	Faults    int     `json:"faults"`
	Over      float64 `json:"overspend_max"`            // that all servers together might use at a moment beyond the budget; 0 is the bound
	Used      float64 `json:"used_of_budget"`           // healthy, a tenth of the servers asks for ten times what the others do
	UsedCut   float64 `json:"used_of_budget_cut"`       // with a third silent for longer than a lease
	Silent    float64 `json:"silent_service"`           // of that third, against its service when whole
	HotAfter  float64 `json:"hot_share_after_ms"`       // until those to whom demand jumped use nine tenths of what the others had
	UsedAfter float64 `json:"used_of_budget_after"`     // once all faults are healed
	Divided   float64 `json:"divided_used"`             // the budget by the number of servers, as without parts
	Central   float64 `json:"central_used"`             // one counter asked for each task
	CentralCt float64 `json:"central_used_cut"`         // those who can't ask reject
	Gossip    float64 `json:"gossip_used"`              // each admits its part of what is asked for by those it hears
	GossipOv  float64 `json:"gossip_overspend_cut"`     // by both sides of a cut
	Bytes     float64 `json:"talk_bytes_s"`             // that a server sends for budgets, in the mean, healthy
	Most      float64 `json:"talk_bytes_s_leader"`      // the same of the one that sends most
	Bare      float64 `json:"talk_bytes_s_without"`     // all other talk of the fleet
	Central1  float64 `json:"central_messages_s"`       // that asking for each task would take, over all servers
	Leases    float64 `json:"part_messages_s"`          // that parts took, over all servers
	StrandedS float64 `json:"seconds_under_nine_parts"` // of the faults' time in which under nine tenths was used that could be
}

// SharedHeads and Cells are those of the table.
var SharedHeads = []string{"seed", "servers", "faults", "over", "used", "cut", "silent", "hot ms", "after", "divided", "central", "central cut", "gossip", "gossip over", "B/s", "leader B/s"}

// Cells are a row's in the table.
func (r SharedRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %.4f %.3f %.3f %.3f %.0f %.3f %.3f %.3f %.3f %.3f %.3f %.0f %.0f", r.Seed, r.Servers, r.Faults, r.Over, r.Used, r.UsedCut,
		r.Silent, r.HotAfter, r.UsedAfter, r.Divided, r.Central, r.CentralCt, r.Gossip, r.GossipOv, r.Bytes, r.Most))
}

const (
	sharedName   = "tenant/acme"
	sharedFloor  = 0.1
	sharedAsked  = 1.4  // what all ask for, over the budget
	sharedEvery  = 0.1  // seconds between two words of a loop
	sharedSettle = 20.0 // seconds for a founding, leases and parts
	sharedPhase  = 15.0 // seconds of each phase that is measured, over two leases
	perServer    = 20.0 // tasks a second of the budget for each server
)

// spender is a server's loop, as far as it uses the budget.
type spender struct {
	*talker
	may    serving.Allowance
	demand float64
}

type sharing struct {
	*talks
	plan     *Shared
	spenders []*spender
	most     float64
	row      SharedRow
}

// RunShared plays it.
func RunShared(p *Shared) SharedRow {
	s := &sharing{talks: newTalks(&Versions{Servers: p.Servers, Voters: p.Voters, Seconds: p.Seconds, Seed: p.Seed}), plan: p, most: perServer * float64(p.Servers),
		row: SharedRow{Seed: p.Seed, Servers: p.Servers}}
	terms := quota.Config{LeaseSeconds: versionTerms.Duration, FloorFraction: sharedFloor, MaxServers: p.Servers, Limits: []quota.Limit{{Name: sharedName, Max: s.most}}}
	for _, t := range s.servers {
		sp := &spender{talker: t}
		s.spenders = append(s.spenders, sp)
		t.budgets = func(clock *fleet.Clock) *fleet.QuotaConfig {
			return &fleet.QuotaConfig{Settings: func() quota.Config { return terms }, OnAllowances: func(list []quota.Allowance) {
				a := list[0]
				sp.may = serving.Allowance{Guaranteed: a.Floor, LeasedShare: a.LeasedShare, LeaseExpiry: clock.ToSource(a.LeaseExpiry), GrantNumber: a.GrantNumber}
			}}
		}
	}
	s.hot(0)
	for _, t := range s.servers {
		s.after(2*s.world.chance.Float64(), t.start)
	}
	s.run(s.now + sharedSettle)
	bare := s.talk(sharedPhase)
	for _, sp := range s.spenders {
		s.after(sharedEvery*s.world.chance.Float64(), sp.use)
	}
	s.after(0, s.look)
	s.run(s.now + sharedSettle)
	s.healthy(bare)
	s.jump()
	s.cutOff()
	s.faults()
	return s.row
}

// hot has a tenth of the servers, from one on, ask for ten times what the others do.
func (s *sharing) hot(from int) {
	n := len(s.spenders)
	tenth := n / 10
	unit := sharedAsked * s.most / float64(n-tenth+10*tenth)
	for i, sp := range s.spenders {
		sp.demand = unit
		if (i-from+n)%n < tenth {
			sp.demand = 10 * unit
		}
	}
}

// use has a loop say what it used, again and again.
func (sp *spender) use() {
	if sp.alive && !sp.asleep {
		sp.part.ObserveUsage(sp.part.Now(), []fleet.Usage{{Name: sharedName, Demand: sp.demand, GrantNumber: sp.may.GrantNumber}})
		sp.turn()
	}
	sp.after(sharedEvery, sp.use)
}

func (sp *spender) uses() float64 {
	if !sp.alive || sp.asleep {
		return 0
	}
	return min(sp.demand, sp.may.LimitAt(sp.now))
}

// look holds the bound against what all may use, also those who are stopped and would go by what they last had.
func (s *sharing) look() {
	all := 0.0
	for _, sp := range s.spenders {
		if sp.alive {
			all += sp.may.LimitAt(s.now)
		}
	}
	if over := all/s.most - 1; over > 1e-9 {
		s.row.Over = max(s.row.Over, over)
	}
	s.after(sharedEvery/2, s.look)
}

// used is what those that pick say used, and could if parts were always right, as parts of the budget.
func (s *sharing) used(pick func(int) bool) (used, could float64) {
	floor := sharedFloor * s.most / float64(len(s.spenders))
	more := 0.0
	for i, sp := range s.spenders {
		if pick(i) {
			used += sp.uses()
			if sp.alive && !sp.asleep {
				could += min(sp.demand, floor)
				more += max(0, sp.demand-floor)
			}
		}
	}
	return used / s.most, (could + min(more, (1-sharedFloor)*s.most)) / s.most
}

func everybody(int) bool { return true }

// mean of what is used over a phase.
func (s *sharing) mean(seconds float64, pick func(int) bool) (sum float64) {
	n := 0.0
	for end := s.now + seconds; s.now < end; n++ {
		s.run(s.now + sharedEvery)
		used, _ := s.used(pick)
		sum += used
	}
	return sum / n
}

func (s *sharing) healthy(bare talk) {
	t := s.talk(sharedPhase)
	s.row.Bytes, s.row.Most, s.row.Bare, s.row.Leases = t.mean-bare.mean, t.most, bare.mean, t.messages-bare.messages
	s.row.Used = s.mean(sharedPhase, everybody)
	even, all := s.most/float64(len(s.spenders)), 0.0
	for _, sp := range s.spenders {
		s.row.Divided += min(sp.demand, even) / s.most
		all += sp.demand
	}
	s.row.Central, s.row.Gossip, s.row.Central1 = min(1, all/s.most), min(1, all/s.most), 2*all
}

// jump moves the demand from one tenth to another.
func (s *sharing) jump() {
	n := len(s.spenders)
	tenth := n / 10
	was, _ := s.used(func(i int) bool { return i < tenth })
	from := s.now
	s.hot(n / 2)
	for s.now < from+30 {
		s.run(s.now + sharedEvery/2)
		if is, _ := s.used(func(i int) bool { return (i-n/2+n)%n < tenth }); is >= 0.9*was {
			break
		}
	}
	s.row.HotAfter = 1000 * (s.now - from)
	s.run(s.now + sharedSettle)
}

// cutOff has a third of the fleet hear nothing, its part of the demand among it, for longer than a lease.
func (s *sharing) cutOff() {
	third := func(i int) bool { return i >= len(s.spenders)*2/3 }
	whole, _ := s.used(third)
	s.groups = make([]int, len(s.servers))
	asked, heard := 0.0, 0.0
	for i, sp := range s.spenders {
		asked += sp.demand
		if third(i) {
			s.groups[i] = 1
		} else {
			heard += sp.demand
		}
	}
	s.run(s.now + 2*versionTerms.Duration)
	s.row.UsedCut = s.mean(sharedPhase, everybody)
	silent, _ := s.used(third)
	s.row.Silent = silent / max(whole, 1e-9)
	s.row.CentralCt = min(1, heard/s.most)
	s.row.GossipOv = max(0, min(1, heard/s.most)+min(1, (asked-heard)/s.most)-1)
	s.groups = nil
	s.run(s.now + sharedSettle)
}

// faults plays those that the seed says, then heals them.
func (s *sharing) faults() {
	s.talks.plan.Quiet = false
	for end := s.now + s.plan.Seconds; s.now < end; {
		if s.world.chance.IntN(4) == 0 {
			s.hot(s.world.chance.IntN(len(s.spenders)))
		}
		s.stir()
		for till := s.now + 0.3 + 1.5*s.world.chance.Float64(); s.now < till; {
			s.run(s.now + sharedEvery)
			if used, could := s.used(everybody); used < 0.9*could {
				s.row.StrandedS += sharedEvery
			}
		}
	}
	s.heal()
	s.run(s.now + 2*sharedSettle)
	s.row.Faults = s.talks.row.Faults
	s.row.UsedAfter = s.mean(sharedPhase/3, everybody)
	s.row.StrandedS = math.Round(10*s.row.StrandedS) / 10
}

// Bad counts what must not be: anything over the budget, and what is not used again once healed.
func (r SharedRow) Bad() int {
	return len(slices.DeleteFunc([]bool{r.Over > 0, r.UsedAfter < 0.95}, func(bad bool) bool { return !bad }))
}
