package simulation

import (
	"fmt"
	"math"
	"strconv"

	"swiftcourse/internal/fleet"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/serving"
)

// QuotaPlan is a simulation of a fleet of agents that share one tenant's quota. The demand shifts
// between servers, a third of the fleet is partitioned, and then faults drawn from the seed are
// injected. For comparison, the result of three methods without leases is computed for the same
// demand and partition: an even split, a central counter and gossip.
type QuotaPlan struct {
	Servers int
	Voters  int
	Seconds float64 // duration of the faults
	Seed    uint64
}

// Validate returns an error with the values and their limits if one is out of range.
func (p *QuotaPlan) Validate() error {
	if p.Servers < 10 || p.Servers > 5000 || p.Voters < 1 || p.Voters > 15 || p.Seconds < 0 || p.Seconds > 3600 {
		return fmt.Errorf("--servers %d --voters %d --seconds %g: "+
			"want servers from 10 to 5000, voters from 1 to 15, seconds from 0 to 3600", p.Servers, p.Voters, p.Seconds)
	}
	return nil
}

// QuotaRow is the result of a QuotaPlan. Shares are relative to the quota's rate.
type QuotaRow struct {
	Seed    uint64 `json:"seed"`
	Servers int    `json:"servers"`
	Faults  int    `json:"faults"`
	// MaxOverspend is the maximum excess of all servers' allowances together over the quota. It
	// must be 0.
	MaxOverspend float64 `json:"overspend_max"`
	// UsedShare is the share used without faults, while a tenth of the servers is hot.
	UsedShare float64 `json:"used_of_budget"`
	// UsedShareCut is the share used while a third of the servers is partitioned for longer than a
	// lease, and CutOffService the usage of that third relative to its usage before.
	UsedShareCut  float64 `json:"used_of_budget_cut"`
	CutOffService float64 `json:"silent_service"`
	// ShiftMillis is the time until new hot servers use minUsedRatio of what the previous ones
	// used.
	ShiftMillis float64 `json:"hot_share_after_ms"`
	// UsedShareHealed is the share used after all faults have ended.
	UsedShareHealed float64 `json:"used_of_budget_after"`
	// EvenSplitShare is the share that would be used if the quota were divided evenly.
	EvenSplitShare float64 `json:"divided_used"`
	// CentralShare is the share that would be used with a request to a central counter for each
	// request, and CentralShareCut the same during the partition, where servers that can't reach
	// the counter reject.
	CentralShare    float64 `json:"central_used"`
	CentralShareCut float64 `json:"central_used_cut"`
	// GossipShare is the share that would be used if each server took its part of the demand known
	// by gossip, and GossipOverspendCut the excess of both sides during the partition.
	GossipShare        float64 `json:"gossip_used"`
	GossipOverspendCut float64 `json:"gossip_overspend_cut"`
	// BytesPerSecond is sent per server for quotas without faults, MaxBytesPerSecond by the server
	// that sent most, and OtherBytesPerSecond per server for all other gossip.
	BytesPerSecond      float64 `json:"talk_bytes_s"`
	MaxBytesPerSecond   float64 `json:"talk_bytes_s_leader"`
	OtherBytesPerSecond float64 `json:"talk_bytes_s_without"`
	// CentralMessages and LeaseMessages are the messages per second, over all servers, that a
	// central counter and leased shares need.
	CentralMessages float64 `json:"central_messages_s"`
	LeaseMessages   float64 `json:"part_messages_s"`
	// UnderusedSeconds is the time during faults with usage under minUsedRatio of the attainable
	// share.
	UnderusedSeconds float64 `json:"seconds_under_nine_parts"`
}

// QuotaColumns are the column heads of the table.
var QuotaColumns = []string{
	"seed", "servers", "faults", "over", "used", "cut", "silent", "hot ms", "after", "divided", "central",
	"central cut", "gossip", "gossip over", "B/s", "leader B/s",
}

// Cells returns the row's table cells, in the order of QuotaColumns.
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

// minHealedShare is the minimum share of the quota that must be used after all faults have ended.
const minHealedShare = 0.95

// minUsedRatio is the minimum ratio of actual to expected usage at which the quota counts as used.
const minUsedRatio = 0.9

// Violations returns the number of violated invariants: the quota is never exceeded, and it is used
// again after the faults.
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
	quotaName            = "tenant/acme"
	shareEpsilon         = 1e-9 // shares of the quota up to this are rounding errors
	quotaFloorFraction   = 0.1
	quotaDemandRatio     = 1.4  // total demand relative to the quota
	hotDemandRatio       = 10   // demand of a hot server relative to that of another
	usageIntervalSeconds = 0.1  // seconds between two usage reports of a serving loop
	quotaSettleSeconds   = 20.0 // time for the bootstrap, leases and shares
	quotaPhaseSeconds    = 15.0 // duration of each measurement: more than two leases
	quotaPerServer       = 20.0 // requests per second of the quota, per server
	maxShiftSeconds      = 30   // maximum time for the shares to follow a shift of demand
)

// quotaNode is a node with the part of a serving loop that uses the quota.
type quotaNode struct {
	*node
	allowance serving.Allowance
	demand    float64 // requests per second
}

// quotaSim is one run of a QuotaPlan.
type quotaSim struct {
	*fleetSim
	plan       *QuotaPlan
	quotaNodes []*quotaNode
	limit      float64 // quota in requests per second
	row        QuotaRow
}

// RunQuota runs a QuotaPlan and returns its result.
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
		sim.after(usageIntervalSeconds*sim.random.Float64(), one.reportUsage)
	}
	sim.after(0, sim.checkLimit)
	sim.run(sim.now + quotaSettleSeconds)
	sim.measureHealthy(baseline)
	sim.measureShift()
	sim.measureWithPartition()
	sim.measureFaults()
	return sim.row
}

// configureQuota makes each node share the quota and store the allowances that its agent receives.
func (s *quotaSim) configureQuota() {
	settings := quota.Config{
		LeaseSeconds:  leaseTerms.LeaseSeconds,
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

// concentrateDemand gives a tenth of the servers, from the given index on, hotDemandRatio times the
// demand of the others.
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

// reportUsage reports the demand to the agent every usageIntervalSeconds.
func (q *quotaNode) reportUsage() {
	if q.alive && !q.isPaused {
		usage := fleet.Usage{Name: quotaName, Demand: q.demand, GrantNumber: q.allowance.GrantNumber}
		q.agent.ObserveUsage(q.agent.Now(), []fleet.Usage{usage})
		q.tick()
	}
	q.after(usageIntervalSeconds, q.reportUsage)
}

// admittedRate returns the rate at which the server admits requests.
func (q *quotaNode) admittedRate() float64 {
	if !q.alive || q.isPaused {
		return 0
	}
	return min(q.demand, q.allowance.LimitAt(q.now))
}

// checkLimit records by how much the allowances of all servers together exceed the quota. Paused
// servers count too, since they would use their last allowance when they resume.
func (s *quotaSim) checkLimit() {
	all := 0.0
	for _, one := range s.quotaNodes {
		if one.alive {
			all += one.allowance.LimitAt(s.now)
		}
	}
	if over := all/s.limit - 1; over > shareEpsilon {
		s.row.MaxOverspend = max(s.row.MaxOverspend, over)
	}
	s.after(usageIntervalSeconds/2, s.checkLimit)
}

// usedShare returns the share of the quota that the selected servers use, and the share that they
// could use if their allowances followed the demand without delay.
func (s *quotaSim) usedShare(selected func(int) bool) (used, attainable float64) {
	floor := quotaFloorFraction * s.limit / float64(len(s.quotaNodes))
	overFloor := 0.0
	for i, one := range s.quotaNodes {
		if selected(i) {
			used += one.admittedRate()
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

// meanUsedShare advances the clock by the given seconds, and returns the mean share of the quota
// that the selected servers use during that time.
func (s *quotaSim) meanUsedShare(seconds float64, selected func(int) bool) (sum float64) {
	n := 0.0
	for end := s.now + seconds; s.now < end; n++ {
		s.run(s.now + usageIntervalSeconds)
		used, _ := s.usedShare(selected)
		sum += used
	}
	return sum / n
}

// measureHealthy measures usage and traffic without faults, and computes the results of the three
// methods without leases. baseline is the traffic without usage reports.
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

// measureShift moves the hot demand to another tenth of the servers, and measures how long the
// quota takes to follow.
func (s *quotaSim) measureShift() {
	n := len(s.quotaNodes)
	tenth := n / 10
	before, _ := s.usedShare(func(i int) bool { return i < tenth })
	from := s.now
	s.concentrateDemand(n / 2)
	for s.now < from+maxShiftSeconds {
		s.run(s.now + usageIntervalSeconds/2)
		if now, _ := s.usedShare(func(i int) bool { return (i-n/2+n)%n < tenth }); now >= minUsedRatio*before {
			break
		}
	}
	s.row.ShiftMillis = 1000 * (s.now - from)
	s.run(s.now + quotaSettleSeconds)
}

// measureWithPartition measures usage while a third of the fleet is partitioned for longer than a
// lease.
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
	s.run(s.now + 2*leaseTerms.LeaseSeconds)
	s.row.UsedShareCut = s.meanUsedShare(quotaPhaseSeconds, allNodes)
	used, _ := s.usedShare(isCutOff)
	s.row.CutOffService = used / max(usedBefore, shareEpsilon)
	s.row.CentralShareCut = min(1, majorityDemand/s.limit)
	minorityShare := min(1, (demand-majorityDemand)/s.limit)
	s.row.GossipOverspendCut = max(0, s.row.CentralShareCut+minorityShare-1)
	s.partition = nil
	s.run(s.now + quotaSettleSeconds)
}

// measureFaults measures usage during random faults and after they have ended.
func (s *quotaSim) measureFaults() {
	for end := s.now + s.plan.Seconds; s.now < end; {
		if s.random.IntN(4) == 0 {
			s.concentrateDemand(s.random.IntN(len(s.quotaNodes)))
		}
		s.injectFault()
		for nextFault := s.drawNextFault(); s.now < nextFault; {
			s.run(s.now + usageIntervalSeconds)
			if used, attainable := s.usedShare(allNodes); used < minUsedRatio*attainable {
				s.row.UnderusedSeconds += usageIntervalSeconds
			}
		}
	}
	s.heal()
	s.run(s.now + 2*quotaSettleSeconds)
	s.row.Faults = s.fleetSim.row.Faults
	s.row.UsedShareHealed = s.meanUsedShare(quotaPhaseSeconds/3, allNodes)
	s.row.UnderusedSeconds = math.Round(10*s.row.UnderusedSeconds) / 10
}
