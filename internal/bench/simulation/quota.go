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

// QuotaPlan is a fleet that shares a budget of one tenant's tasks, in simulated time, decided by the parts of package fleet: demand that moves, a third
// of the fleet cut off, then faults as the seed says. Beside it, at the same demand and cuts, stand three ways of having no leased parts.
type QuotaPlan struct {
	Servers int
	Voters  int
	Seconds float64 // of faults
	Seed    uint64
}

// Validate tells what is wrong with it.
func (p *QuotaPlan) Validate() error {
	if p.Servers < 10 || p.Servers > 5000 || p.Voters < 1 || p.Voters > 15 || p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 10 to 5000, from 1 to 15, and up to 3600", p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// QuotaRow is what a run came to. Parts of the budget are of its rate.
type QuotaRow struct {
	Seed                uint64  `json:"seed"`
	Servers             int     `json:"servers"`
	Faults              int     `json:"faults"`
	MaxOverspend        float64 `json:"overspend_max"`            // that all servers together might use at a moment beyond the budget; 0 is the bound
	UsedShare           float64 `json:"used_of_budget"`           // healthy, a tenth of the servers asks for ten times what the others do
	UsedShareCut        float64 `json:"used_of_budget_cut"`       // with a third silent for longer than a lease
	CutOffService       float64 `json:"silent_service"`           // of that third, against its service when whole
	ShiftMillis         float64 `json:"hot_share_after_ms"`       // until those to whom demand jumped use nine tenths of what the others had
	UsedShareHealed     float64 `json:"used_of_budget_after"`     // once all faults are healed
	EvenSplitShare      float64 `json:"divided_used"`             // the budget by the number of servers, as without parts
	CentralShare        float64 `json:"central_used"`             // one counter asked for each task
	CentralShareCut     float64 `json:"central_used_cut"`         // those who can't ask reject
	GossipShare         float64 `json:"gossip_used"`              // each admits its part of what is asked for by those it hears
	GossipOverspendCut  float64 `json:"gossip_overspend_cut"`     // by both sides of a cut
	BytesPerSecond      float64 `json:"talk_bytes_s"`             // that a server sends for budgets, in the mean, healthy
	MaxBytesPerSecond   float64 `json:"talk_bytes_s_leader"`      // the same of the one that sends most
	OtherBytesPerSecond float64 `json:"talk_bytes_s_without"`     // all other talk of the fleet
	CentralMessages     float64 `json:"central_messages_s"`       // that asking for each task would take, over all servers
	LeaseMessages       float64 `json:"part_messages_s"`          // that parts took, over all servers
	UnderusedSeconds    float64 `json:"seconds_under_nine_parts"` // of the faults' time in which under nine tenths was used that could be
}

// QuotaColumns and Cells are those of the table.
var QuotaColumns = []string{"seed", "servers", "faults", "over", "used", "cut", "silent", "hot ms", "after", "divided", "central", "central cut", "gossip", "gossip over", "B/s", "leader B/s"}

// Cells are a row's in the table.
func (r QuotaRow) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %d %.4f %.3f %.3f %.3f %.0f %.3f %.3f %.3f %.3f %.3f %.3f %.0f %.0f", r.Seed, r.Servers, r.Faults, r.MaxOverspend, r.UsedShare, r.UsedShareCut,
		r.CutOffService, r.ShiftMillis, r.UsedShareHealed, r.EvenSplitShare, r.CentralShare, r.CentralShareCut, r.GossipShare, r.GossipOverspendCut, r.BytesPerSecond, r.MaxBytesPerSecond))
}

const (
	quotaName          = "tenant/acme"
	quotaFloorFraction = 0.1
	quotaDemandRatio   = 1.4  // what all ask for, over the budget
	usageInterval      = 0.1  // seconds between two words of a loop
	quotaSettleSeconds = 20.0 // seconds for a founding, leases and parts
	quotaPhaseSeconds  = 15.0 // seconds of each phase that is measured, over two leases
	quotaPerServer     = 20.0 // tasks a second of the budget for each server
)

// quotaNode is a server's loop, as far as it uses the budget.
type quotaNode struct {
	*node
	allowance serving.Allowance
	demand    float64
}

type quotaSim struct {
	*fleetSim
	plan       *QuotaPlan
	quotaNodes []*quotaNode
	limit      float64
	row        QuotaRow
}

// RunQuota plays it.
func RunQuota(p *QuotaPlan) QuotaRow {
	s := &quotaSim{fleetSim: newFleetSim(&RolloutPlan{Servers: p.Servers, Voters: p.Voters, Seconds: p.Seconds, Seed: p.Seed}), plan: p, limit: quotaPerServer * float64(p.Servers),
		row: QuotaRow{Seed: p.Seed, Servers: p.Servers}}
	terms := quota.Config{LeaseSeconds: leaseTerms.Duration, FloorFraction: quotaFloorFraction, MaxServers: p.Servers, Limits: []quota.Limit{{Name: quotaName, Max: s.limit}}}
	for _, t := range s.nodes {
		sp := &quotaNode{node: t}
		s.quotaNodes = append(s.quotaNodes, sp)
		t.quotaConfig = func(clock *fleet.Clock) *fleet.QuotaConfig {
			return &fleet.QuotaConfig{Settings: func() quota.Config { return terms }, OnAllowances: func(list []quota.Allowance) {
				a := list[0]
				sp.allowance = serving.Allowance{Guaranteed: a.Floor, LeasedShare: a.LeasedShare, LeaseExpiry: clock.ToSource(a.LeaseExpiry), GrantNumber: a.GrantNumber}
			}}
		}
	}
	s.concentrateDemand(0)
	for _, t := range s.nodes {
		s.after(2*s.clock.random.Float64(), t.start)
	}
	s.run(s.now + quotaSettleSeconds)
	bare := s.measureTraffic(quotaPhaseSeconds)
	for _, sp := range s.quotaNodes {
		s.after(usageInterval*s.clock.random.Float64(), sp.reportUsage)
	}
	s.after(0, s.checkLimit)
	s.run(s.now + quotaSettleSeconds)
	s.measureHealthy(bare)
	s.measureShift()
	s.measurePartition()
	s.measureFaults()
	return s.row
}

// concentrateDemand has a tenth of the servers, from one on, ask for ten times what the others do.
func (s *quotaSim) concentrateDemand(from int) {
	n := len(s.quotaNodes)
	tenth := n / 10
	unit := quotaDemandRatio * s.limit / float64(n-tenth+10*tenth)
	for i, sp := range s.quotaNodes {
		sp.demand = unit
		if (i-from+n)%n < tenth {
			sp.demand = 10 * unit
		}
	}
}

// reportUsage has a loop say what it used, again and again.
func (sp *quotaNode) reportUsage() {
	if sp.alive && !sp.isPaused {
		sp.agent.ObserveUsage(sp.agent.Now(), []fleet.Usage{{Name: quotaName, Demand: sp.demand, GrantNumber: sp.allowance.GrantNumber}})
		sp.tick()
	}
	sp.after(usageInterval, sp.reportUsage)
}

func (sp *quotaNode) usage() float64 {
	if !sp.alive || sp.isPaused {
		return 0
	}
	return min(sp.demand, sp.allowance.LimitAt(sp.now))
}

// checkLimit holds the bound against what all may use, also those who are stopped and would go by what they last had.
func (s *quotaSim) checkLimit() {
	all := 0.0
	for _, sp := range s.quotaNodes {
		if sp.alive {
			all += sp.allowance.LimitAt(s.now)
		}
	}
	if over := all/s.limit - 1; over > 1e-9 {
		s.row.MaxOverspend = max(s.row.MaxOverspend, over)
	}
	s.after(usageInterval/2, s.checkLimit)
}

// usedShare is what those that pick say used, and could if parts were always right, as parts of the budget.
func (s *quotaSim) usedShare(pick func(int) bool) (used, could float64) {
	floor := quotaFloorFraction * s.limit / float64(len(s.quotaNodes))
	more := 0.0
	for i, sp := range s.quotaNodes {
		if pick(i) {
			used += sp.usage()
			if sp.alive && !sp.isPaused {
				could += min(sp.demand, floor)
				more += max(0, sp.demand-floor)
			}
		}
	}
	return used / s.limit, (could + min(more, (1-quotaFloorFraction)*s.limit)) / s.limit
}

func allNodes(int) bool { return true }

// meanUsedShare of what is used over a phase.
func (s *quotaSim) meanUsedShare(seconds float64, pick func(int) bool) (sum float64) {
	n := 0.0
	for end := s.now + seconds; s.now < end; n++ {
		s.run(s.now + usageInterval)
		used, _ := s.usedShare(pick)
		sum += used
	}
	return sum / n
}

func (s *quotaSim) measureHealthy(bare traffic) {
	t := s.measureTraffic(quotaPhaseSeconds)
	s.row.BytesPerSecond, s.row.MaxBytesPerSecond, s.row.OtherBytesPerSecond, s.row.LeaseMessages = t.meanBytes-bare.meanBytes, t.maxBytes, bare.meanBytes, t.messages-bare.messages
	s.row.UsedShare = s.meanUsedShare(quotaPhaseSeconds, allNodes)
	even, all := s.limit/float64(len(s.quotaNodes)), 0.0
	for _, sp := range s.quotaNodes {
		s.row.EvenSplitShare += min(sp.demand, even) / s.limit
		all += sp.demand
	}
	s.row.CentralShare, s.row.GossipShare, s.row.CentralMessages = min(1, all/s.limit), min(1, all/s.limit), 2*all
}

// measureShift moves the demand from one tenth to another.
func (s *quotaSim) measureShift() {
	n := len(s.quotaNodes)
	tenth := n / 10
	was, _ := s.usedShare(func(i int) bool { return i < tenth })
	from := s.now
	s.concentrateDemand(n / 2)
	for s.now < from+30 {
		s.run(s.now + usageInterval/2)
		if is, _ := s.usedShare(func(i int) bool { return (i-n/2+n)%n < tenth }); is >= 0.9*was {
			break
		}
	}
	s.row.ShiftMillis = 1000 * (s.now - from)
	s.run(s.now + quotaSettleSeconds)
}

// measurePartition has a third of the fleet hear nothing, its part of the demand among it, for longer than a lease.
func (s *quotaSim) measurePartition() {
	third := func(i int) bool { return i >= len(s.quotaNodes)*2/3 }
	whole, _ := s.usedShare(third)
	s.partition = make([]int, len(s.nodes))
	asked, heard := 0.0, 0.0
	for i, sp := range s.quotaNodes {
		asked += sp.demand
		if third(i) {
			s.partition[i] = 1
		} else {
			heard += sp.demand
		}
	}
	s.run(s.now + 2*leaseTerms.Duration)
	s.row.UsedShareCut = s.meanUsedShare(quotaPhaseSeconds, allNodes)
	silent, _ := s.usedShare(third)
	s.row.CutOffService = silent / max(whole, 1e-9)
	s.row.CentralShareCut = min(1, heard/s.limit)
	s.row.GossipOverspendCut = max(0, min(1, heard/s.limit)+min(1, (asked-heard)/s.limit)-1)
	s.partition = nil
	s.run(s.now + quotaSettleSeconds)
}

// measureFaults plays those that the seed says, then heals them.
func (s *quotaSim) measureFaults() {
	s.fleetSim.plan.NoFaults = false
	for end := s.now + s.plan.Seconds; s.now < end; {
		if s.clock.random.IntN(4) == 0 {
			s.concentrateDemand(s.clock.random.IntN(len(s.quotaNodes)))
		}
		s.injectFault()
		for till := s.now + 0.3 + 1.5*s.clock.random.Float64(); s.now < till; {
			s.run(s.now + usageInterval)
			if used, could := s.usedShare(allNodes); used < 0.9*could {
				s.row.UnderusedSeconds += usageInterval
			}
		}
	}
	s.heal()
	s.run(s.now + 2*quotaSettleSeconds)
	s.row.Faults = s.fleetSim.row.Faults
	s.row.UsedShareHealed = s.meanUsedShare(quotaPhaseSeconds/3, allNodes)
	s.row.UnderusedSeconds = math.Round(10*s.row.UnderusedSeconds) / 10
}

// Violations counts what must not be: anything over the budget, and what is not used again once healed.
func (r QuotaRow) Violations() int {
	return len(slices.DeleteFunc([]bool{r.MaxOverspend > 0, r.UsedShareHealed < 0.95}, func(bad bool) bool { return !bad }))
}
