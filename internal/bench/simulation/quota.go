package simulation

import (
	"fmt"
	"math"
	"strconv"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
)

// QuotaPlan is a fleet that shares a quota of one tenant's requests, in simulated time, decided by
// the agents of package fleet: demand that shifts, a third of the fleet partitioned, then faults by
// the seed. Three ways of sharing without leases are computed for the same demand and partition.
type QuotaPlan struct {
	Servers int
	Voters  int
	Seconds float64 // of faults
	Seed    uint64
}

// Validate returns an error that names the limits if a value is outside of them.
func (p *QuotaPlan) Validate() error {
	if p.Servers < 10 || p.Servers > 5000 || p.Voters < 1 || p.Voters > 15 || p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: from 10 to 5000, from 1 to 15, and up to 3600",
			p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// QuotaRow is the result of a run. Shares are of the quota's rate.
type QuotaRow struct {
	Seed                uint64  `json:"seed"`
	Servers             int     `json:"servers"`
	Faults              int     `json:"faults"`
	MaxOverspend        float64 `json:"overspend_max"`            // that all servers may use over the quota; must be 0
	UsedShare           float64 `json:"used_of_budget"`           // healthy; a tenth of the servers is hot
	UsedShareCut        float64 `json:"used_of_budget_cut"`       // with a third partitioned for longer than a lease
	CutOffService       float64 `json:"silent_service"`           // of that third, over what it used before
	ShiftMillis         float64 `json:"hot_share_after_ms"`       // until new hot servers use 0.9 of what others did
	UsedShareHealed     float64 `json:"used_of_budget_after"`     // once all faults are healed
	EvenSplitShare      float64 `json:"divided_used"`             // if the quota were divided by the number of servers
	CentralShare        float64 `json:"central_used"`             // if one counter were asked for each request
	CentralShareCut     float64 `json:"central_used_cut"`         // the same while those who can't ask reject
	GossipShare         float64 `json:"gossip_used"`              // if each admitted its part of the demand it hears of
	GossipOverspendCut  float64 `json:"gossip_overspend_cut"`     // the same, by both sides of a partition
	BytesPerSecond      float64 `json:"talk_bytes_s"`             // sent by a server for quotas, on average, healthy
	MaxBytesPerSecond   float64 `json:"talk_bytes_s_leader"`      // of the server that sends most
	OtherBytesPerSecond float64 `json:"talk_bytes_s_without"`     // all other gossip of a server
	CentralMessages     float64 `json:"central_messages_s"`       // for one counter, over all servers
	LeaseMessages       float64 `json:"part_messages_s"`          // for leased shares, over all servers
	UnderusedSeconds    float64 `json:"seconds_under_nine_parts"` // during faults, with under 0.9 of what could be
}

// QuotaColumns are the heads of the table.
var QuotaColumns = []string{
	"seed", "servers", "faults", "over", "used", "cut", "silent", "hot ms", "after", "divided", "central",
	"central cut", "gossip", "gossip over", "B/s", "leader B/s",
}

// Cells returns the row for the table.
func (r QuotaRow) Cells() []string {
	return []string{
		strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Servers),
		strconv.Itoa(r.Faults),
		fmt.Sprintf("%.4f", r.MaxOverspend),
		fmt.Sprintf("%.3f", r.UsedShare),
		fmt.Sprintf("%.3f", r.UsedShareCut),
		fmt.Sprintf("%.3f", r.CutOffService),
		fmt.Sprintf("%.0f", r.ShiftMillis),
		fmt.Sprintf("%.3f", r.UsedShareHealed),
		fmt.Sprintf("%.3f", r.EvenSplitShare),
		fmt.Sprintf("%.3f", r.CentralShare),
		fmt.Sprintf("%.3f", r.CentralShareCut),
		fmt.Sprintf("%.3f", r.GossipShare),
		fmt.Sprintf("%.3f", r.GossipOverspendCut),
		fmt.Sprintf("%.0f", r.BytesPerSecond),
		fmt.Sprintf("%.0f", r.MaxBytesPerSecond),
	}
}

// minHealedShare is the share of the quota that has to be used once all faults are healed.
const minHealedShare = 0.95

// wellUsedRatio is the part of an expected use from which on the quota counts as well used.
const wellUsedRatio = 0.9

// Violations counts what breaks an invariant: use over the quota, and a quota that is not used
// again once healed.
func (r QuotaRow) Violations() (count int) {
	if r.MaxOverspend > 0 {
		count++
	}
	if r.UsedShareHealed < minHealedShare {
		count++
	}
	return count
}

const (
	quotaName          = "tenant/acme"
	minShare           = 1e-9 // of the quota; less is a rounding error
	quotaFloorFraction = 0.1
	quotaDemandRatio   = 1.4  // of all demand, over the quota
	hotDemandRatio     = 10   // of a hot server's demand over another's
	usageInterval      = 0.1  // seconds between two usage reports of a serving loop
	quotaSettleSeconds = 20.0 // seconds for the bootstrap, leases and shares
	quotaPhaseSeconds  = 15.0 // seconds of each measured phase, over two leases
	quotaPerServer     = 20.0 // requests a second of the quota for each server
	maxShiftSeconds    = 30   // that a shift of demand is waited for
)

// quotaNode is a node with the part of a serving loop that uses the quota.
type quotaNode struct {
	*node
	allowance serving.Allowance
	demand    float64
}

// quotaSim is one run of a plan.
type quotaSim struct {
	*fleetSim
	plan       *QuotaPlan
	quotaNodes []*quotaNode
	limit      float64
	row        QuotaRow
}

// RunQuota runs the plan.
func RunQuota(plan *QuotaPlan) QuotaRow {
	sim := &quotaSim{
		fleetSim: newFleetSim(&RolloutPlan{
			Servers: plan.Servers,
			Voters:  plan.Voters,
			Seconds: plan.Seconds,
			Seed:    plan.Seed,
		}),
		plan:  plan,
		limit: quotaPerServer * float64(plan.Servers),
		row:   QuotaRow{Seed: plan.Seed, Servers: plan.Servers},
	}
	sim.configureQuota()
	sim.concentrateDemand(0)
	sim.startNodes()
	sim.run(sim.now + quotaSettleSeconds)
	baseline := sim.measureTraffic(quotaPhaseSeconds)
	for _, one := range sim.quotaNodes {
		sim.after(usageInterval*sim.random.Float64(), one.reportUsage)
	}
	sim.after(0, sim.checkLimit)
	sim.run(sim.now + quotaSettleSeconds)
	sim.measureHealthy(baseline)
	sim.measureShift()
	sim.measureWithPartition()
	sim.measureFaults()
	return sim.row
}

// configureQuota has each node share the quota and keep the allowance that it is given.
func (s *quotaSim) configureQuota() {
	settings := quota.Config{
		LeaseSeconds:  leaseTerms.Duration,
		FloorFraction: quotaFloorFraction,
		MaxServers:    s.plan.Servers,
		Limits:        []quota.Limit{{Name: quotaName, Max: s.limit}},
	}
	for _, one := range s.nodes {
		user := &quotaNode{node: one}
		s.quotaNodes = append(s.quotaNodes, user)
		one.quotaConfig = func(nodeClock *fleet.Clock) *fleet.QuotaConfig {
			return &fleet.QuotaConfig{
				Settings: func() quota.Config { return settings },
				OnAllowances: func(allowances []quota.Allowance) {
					user.setAllowance(allowances[0], nodeClock)
				},
			}
		}
	}
}

func (q *quotaNode) setAllowance(allowance quota.Allowance, nodeClock *fleet.Clock) {
	q.allowance = serving.Allowance{
		Guaranteed:  allowance.Floor,
		LeasedShare: allowance.LeasedShare,
		LeaseExpiry: nodeClock.ToSource(allowance.LeaseExpiry),
		GrantNumber: allowance.GrantNumber,
	}
}

// concentrateDemand gives a tenth of the servers, from one on, ten times the demand of the others.
func (s *quotaSim) concentrateDemand(from int) {
	n := len(s.quotaNodes)
	tenth := n / 10
	unit := quotaDemandRatio * s.limit / float64(n-tenth+hotDemandRatio*tenth)
	for i, one := range s.quotaNodes {
		one.demand = unit
		if (i-from+n)%n < tenth {
			one.demand = hotDemandRatio * unit
		}
	}
}

// reportUsage reports the demand to the agent every usageInterval.
func (q *quotaNode) reportUsage() {
	if q.alive && !q.isPaused {
		usage := fleet.Usage{Name: quotaName, Demand: q.demand, GrantNumber: q.allowance.GrantNumber}
		q.agent.ObserveUsage(q.agent.Now(), []fleet.Usage{usage})
		q.tick()
	}
	q.after(usageInterval, q.reportUsage)
}

// usage is the rate at which the server admits requests.
func (q *quotaNode) usage() float64 {
	if !q.alive || q.isPaused {
		return 0
	}
	return min(q.demand, q.allowance.LimitAt(q.now))
}

// checkLimit records by how much all servers together may exceed the quota, also paused ones, which
// would go by what they last had.
func (s *quotaSim) checkLimit() {
	all := 0.0
	for _, one := range s.quotaNodes {
		if one.alive {
			all += one.allowance.LimitAt(s.now)
		}
	}
	if over := all/s.limit - 1; over > minShare {
		s.row.MaxOverspend = max(s.row.MaxOverspend, over)
	}
	s.after(usageInterval/2, s.checkLimit)
}

// usedShare returns the share of the quota that the selected servers use, and the share that they
// could use if allowances always followed the demand.
func (s *quotaSim) usedShare(selected func(int) bool) (used, attainable float64) {
	floor := quotaFloorFraction * s.limit / float64(len(s.quotaNodes))
	overFloor := 0.0
	for i, one := range s.quotaNodes {
		if selected(i) {
			used += one.usage()
			if one.alive && !one.isPaused {
				attainable += min(one.demand, floor)
				overFloor += max(0, one.demand-floor)
			}
		}
	}
	attainable += min(overFloor, (1-quotaFloorFraction)*s.limit)
	return used / s.limit, attainable / s.limit
}

// allNodes selects every server.
func allNodes(int) bool { return true }

// meanUsedShare returns the mean share that the selected servers use in that time.
func (s *quotaSim) meanUsedShare(seconds float64, selected func(int) bool) (sum float64) {
	n := 0.0
	for end := s.now + seconds; s.now < end; n++ {
		s.run(s.now + usageInterval)
		used, _ := s.usedShare(selected)
		sum += used
	}
	return sum / n
}

// measureHealthy measures use and traffic without faults, and computes the three ways of sharing
// without leases; baseline is the traffic without use.
func (s *quotaSim) measureHealthy(baseline traffic) {
	measured := s.measureTraffic(quotaPhaseSeconds)
	s.row.BytesPerSecond = measured.meanBytes - baseline.meanBytes
	s.row.MaxBytesPerSecond = measured.maxBytes
	s.row.OtherBytesPerSecond = baseline.meanBytes
	s.row.LeaseMessages = measured.messages - baseline.messages
	s.row.UsedShare = s.meanUsedShare(quotaPhaseSeconds, allNodes)
	even := s.limit / float64(len(s.quotaNodes))
	demand := 0.0
	for _, one := range s.quotaNodes {
		s.row.EvenSplitShare += min(one.demand, even) / s.limit
		demand += one.demand
	}
	s.row.CentralShare = min(1, demand/s.limit)
	s.row.GossipShare = s.row.CentralShare
	s.row.CentralMessages = 2 * demand
}

// measureShift moves the demand from one tenth of the servers to another.
func (s *quotaSim) measureShift() {
	n := len(s.quotaNodes)
	tenth := n / 10
	before, _ := s.usedShare(func(i int) bool { return i < tenth })
	from := s.now
	s.concentrateDemand(n / 2)
	for s.now < from+maxShiftSeconds {
		s.run(s.now + usageInterval/2)
		if now, _ := s.usedShare(func(i int) bool { return (i-n/2+n)%n < tenth }); now >= wellUsedRatio*before {
			break
		}
	}
	s.row.ShiftMillis = 1000 * (s.now - from)
	s.run(s.now + quotaSettleSeconds)
}

// measureWithPartition cuts off a third of the fleet, with its demand, for longer than a lease.
func (s *quotaSim) measureWithPartition() {
	isCutOff := func(i int) bool { return i >= len(s.quotaNodes)*2/3 }
	usedBefore, _ := s.usedShare(isCutOff)
	s.partition = make([]int, len(s.nodes))
	demand := 0.0
	majorityDemand := 0.0
	for i, one := range s.quotaNodes {
		demand += one.demand
		if isCutOff(i) {
			s.partition[i] = 1
		} else {
			majorityDemand += one.demand
		}
	}
	s.run(s.now + 2*leaseTerms.Duration)
	s.row.UsedShareCut = s.meanUsedShare(quotaPhaseSeconds, allNodes)
	used, _ := s.usedShare(isCutOff)
	s.row.CutOffService = used / max(usedBefore, minShare)
	s.row.CentralShareCut = min(1, majorityDemand/s.limit)
	minorityShare := min(1, (demand-majorityDemand)/s.limit)
	s.row.GossipOverspendCut = max(0, s.row.CentralShareCut+minorityShare-1)
	s.partition = nil
	s.run(s.now + quotaSettleSeconds)
}

// measureFaults injects faults by the seed, then heals them.
func (s *quotaSim) measureFaults() {
	for end := s.now + s.plan.Seconds; s.now < end; {
		if s.random.IntN(4) == 0 {
			s.concentrateDemand(s.random.IntN(len(s.quotaNodes)))
		}
		s.injectFault()
		for nextFault := s.drawNextFault(); s.now < nextFault; {
			s.run(s.now + usageInterval)
			if used, attainable := s.usedShare(allNodes); used < wellUsedRatio*attainable {
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
