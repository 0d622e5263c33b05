package quota

import (
	"errors"
	"fmt"
	"math"
	"testing"
)

// TestGrantor_MovesShareWithDemand guards against a share that stays with a server after its demand
// is gone: demand moves from one server to another while the first holds most of the pool.
func TestGrantor_MovesShareWithDemand(t *testing.T) {
	s := newSimulation(t, 1, 6)
	s.setDemand(1)
	s.servers[0].demand = 500
	s.run(8)
	if got := s.servers[0].limitAt(rateLimit, s.now); got < 80 {
		t.Errorf("the only busy server may use %.1f of 100, want at least 80", got)
	}
	s.servers[0].demand = 1
	s.servers[3].demand = 500
	s.run(1)
	if got := s.servers[3].limitAt(rateLimit, s.now); got < 80 {
		t.Errorf("1 s after demand moved to the server it may use %.1f of 100, want at least 80", got)
	}
}

// TestHolder_FallsToFloorWhilePartitioned partitions a third of the servers for longer than a
// lease. They must fall back to their floors, and the other servers must get their shares.
func TestHolder_FallsToFloorWhilePartitioned(t *testing.T) {
	s := newSimulation(t, 2, 6)
	s.setDemand(30)
	s.run(8)
	partitioned := s.servers[:2]
	for _, server := range partitioned {
		server.partitioned = true
	}
	s.run(2 * s.config.LeaseSeconds)
	floor := s.config.FloorPerServer(&s.config.Limits[0])
	for i, server := range partitioned {
		if got := server.limitAt(rateLimit, s.now); got != floor {
			t.Errorf("partitioned server %d may use %.3f, want its floor %.3f", i, got, floor)
		}
	}
	if used := s.totalUsable(rateLimit); used < 80 {
		t.Errorf("with a third of the servers partitioned %.1f of 100 is used, want at least 80", used)
	}
	for _, server := range partitioned {
		server.partitioned = false
	}
	s.run(2)
	for i, server := range partitioned {
		if got := server.limitAt(rateLimit, s.now); got < 10 {
			t.Errorf("2 s after the partition healed server %d may use %.3f, want at least 10", i, got)
		}
	}
}

// TestApplyConfig_LimitLoweredAndRaised lowers a limit to half and to zero while shares are leased,
// and raises it again. One lease later, the allowances must add up to the new limit.
func TestApplyConfig_LimitLoweredAndRaised(t *testing.T) {
	s := newSimulation(t, 3, 6)
	s.setDemand(30)
	s.run(8)
	for _, limit := range []float64{50, 0, 100} {
		s.config.Limits = []Limit{{Name: rateLimit, Max: limit}, testLimits[1]}
		s.grantor.ApplyConfig(s.config)
		for _, server := range s.servers {
			server.holder.ApplyConfig(s.config, server.clock(s.now))
			server.publish()
		}
		s.maxStillLeased = 100 // shares leased before the change remain valid until their leases expire
		s.run(s.config.LeaseSeconds * (1 + 2*maxClockDrift))
		s.maxStillLeased = 0
		if got := s.totalAllowance(rateLimit); got > limit*(1+tolerance) || got < 0.95*limit {
			t.Errorf("one lease after the limit became %.0f all servers may use %.3f, want 95%% to 100%% of it",
				limit, got)
		}
		s.run(1)
	}
}

// TestGrantor_InvalidDemands sends the grantor NaN, infinite, negative and far too large demands
// and claimed shares. The other servers must not lose what they need.
func TestGrantor_InvalidDemands(t *testing.T) {
	s := newSimulation(t, 4, 4)
	s.setDemand(10)
	for round, value := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 1e9} {
		s.electLeader()
		for number := uint64(1); number < 60; number++ {
			request := &Request{
				Incarnation: uint64(1000 + round),
				Number:      number,
				ConfigHash:  s.config.Hash(),
				GrantorID:   s.grantor.id,
				Demands: []Demand{
					{rateLimit, value, value, value, value, number - 1},
					{concurrentLimit, value, value, value, value, number},
					{"unknown", value, value, value, value, number},
				},
			}
			checkGrants(t, s.grantor.HandleRequest(s.now, request, true))
			s.run(0.1)
		}
		s.run(0.5)
		if used := s.totalUsable(rateLimit); used < 39 {
			t.Errorf("demand of %g: the other servers may use %.1f of the 40 they request, want at least 39",
				value, used)
		}
	}
}

// checkGrants fails the test if a reply grants a share that is not a number from 0 to the pool.
func checkGrants(t *testing.T, reply *Reply) {
	t.Helper()
	if reply == nil {
		return
	}
	for _, grant := range reply.Grants {
		if !(grant.LeasedShare >= 0 && grant.LeasedShare <= 90) {
			t.Fatalf("the grant of %s is %g, want 0 to 90", grant.Name, grant.LeasedShare)
		}
	}
}

// exchange sends a request from a holder, whose demand exceeds the rate limit, to a grantor and
// delivers the reply, both without delay.
func exchange(holder *Holder, grantor *Grantor, now float64) {
	holder.RecordUsage(now, rateLimit, 500, 0, holder.limits[rateLimit].granted.number)
	request := holder.NextRequest(now)
	if request == nil {
		return
	}
	if reply := grantor.HandleRequest(now, request, true); reply != nil {
		holder.HandleReply(now, reply)
	}
}

// TestGrantor_LateRequestDoesNotRenewExpiredLease guards against leasing the same share twice: a
// request sent while its server held a share reaches the next leader after that share has expired
// and was leased to another server.
func TestGrantor_LateRequestDoesNotRenewExpiredLease(t *testing.T) {
	config := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 2, Limits: testLimits}
	firstGrantor := NewGrantor(config, 1, -100)
	firstHolder := NewHolder(7, config, 0)
	secondHolder := NewHolder(8, config, 0)
	// Each server has a floor of 5; the pool is 90.
	limitAt := func(holder *Holder, now float64) float64 { return holder.limits[rateLimit].limitAt(now) }

	exchange(firstHolder, firstGrantor, 0) // the holder learns the grantor's ID
	exchange(firstHolder, firstGrantor, 0.3)
	if got := limitAt(firstHolder, 0.3); got != 95 {
		t.Fatalf("the only busy server may use %.1f, want 95", got)
	}
	firstHolder.RecordUsage(3.2, rateLimit, 500, 0, firstHolder.limits[rateLimit].granted.number)
	lateRequest := firstHolder.NextRequest(3.2)
	secondGrantor := NewGrantor(config, 2, 3.2)
	for now := 3.3; now < 4.1; now += 0.3 { // the first leader's confirmation is still valid
		exchange(secondHolder, firstGrantor, now)
	}
	if got := limitAt(secondHolder, 4); got != 95 {
		t.Fatalf("after the first server's lease expired the second may use %.1f, want 95", got)
	}
	if reply := secondGrantor.HandleRequest(4.3, lateRequest, true); reply != nil {
		firstHolder.HandleReply(4.3, reply)
	}
	if sum := limitAt(firstHolder, 4.3) + limitAt(secondHolder, 4.3); sum > 100 {
		t.Errorf("the servers together may use %.1f, want at most 100", sum)
	}
}

// TestHolder_LeaseRunsFromRequest delivers a reply 1 s after the request. The grantor's lease
// starts between the two, so the holder must count its lease from the request, or it would outlast
// the grantor's.
func TestHolder_LeaseRunsFromRequest(t *testing.T) {
	config := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 2, Limits: testLimits[:1]}
	grantor := NewGrantor(config, 1, -100)
	holder := NewHolder(7, config, 0)
	exchange(holder, grantor, 0) // the holder learns the grantor's ID
	holder.RecordUsage(0.5, rateLimit, 500, 0, 0)
	request := holder.NextRequest(0.5)
	reply := grantor.HandleRequest(1, request, true)
	if reply == nil || len(reply.Grants) != 1 {
		t.Fatalf("the reply is %+v, want one grant", reply)
	}
	holder.HandleReply(1.5, reply)
	leases := holder.ActiveLeases(1.5)
	if len(leases) != 1 || leases[0].LeaseExpiry != 3.5 {
		t.Errorf("the active leases are %+v, want one that expires at 3.5", leases)
	}
}

// TestConfig_Validate has one case for each validation error, and checks that an error about one
// limit names that limit.
func TestConfig_Validate(t *testing.T) {
	valid := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 4, Limits: testLimits}
	if err := valid.Validate(); err != nil {
		t.Fatalf("Validate() of a valid configuration = %v, want nil", err)
	}
	longName := fmt.Sprintf("%099d", 1)
	cases := []struct {
		name   string
		limit  string // the name in the error
		change func(*Config)
	}{
		{"no floor", "", func(c *Config) { c.FloorFraction = 0 }},
		{"all floor", "", func(c *Config) { c.FloorFraction = 1 }},
		{"no servers", "", func(c *Config) { c.MaxServers = 0 }},
		{"no lease", "", func(c *Config) { c.LeaseSeconds = math.NaN() }},
		{"too many limits", "", func(c *Config) { c.Limits = make([]Limit, maxLimits+1) }},
		{"duplicate name", rateLimit, func(c *Config) { c.Limits = append([]Limit{c.Limits[0]}, c.Limits...) }},
		{"no name", "", func(c *Config) { c.Limits = []Limit{{Max: 1}} }},
		{"name too long", longName, func(c *Config) { c.Limits = []Limit{{Name: longName, Max: 1}} }},
		{"negative limit", "a", func(c *Config) { c.Limits = []Limit{{Name: "a", Max: -1}} }},
		{"infinite limit", "a", func(c *Config) { c.Limits = []Limit{{Name: "a", Max: math.Inf(1)}} }},
		{"concurrent without linger time", "a", func(c *Config) {
			c.Limits = []Limit{{Name: "a", Max: 50, Concurrent: true}}
		}},
		{"floor under one unit", "a", func(c *Config) {
			c.Limits = []Limit{{Name: "a", Max: 30, Concurrent: true, MaxUseSeconds: 1}}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := valid
			c.change(&config)
			err := config.Validate()
			var configErr *ConfigError
			if !errors.As(err, &configErr) {
				t.Fatalf("Validate() = %v, want a *ConfigError", err)
			}
			if configErr.Limit != c.limit {
				t.Errorf("the error names limit %q, want %q: %v", configErr.Limit, c.limit, err)
			}
		})
	}
}

func benchmarkRequest(b *testing.B, limits, servers int) {
	b.Helper()
	config := Config{LeaseSeconds: 6, FloorFraction: 0.1, MaxServers: servers}
	for i := range limits {
		config.Limits = append(config.Limits, Limit{Name: fmt.Sprint("tenant/", i), Max: 100})
	}
	grantor := NewGrantor(config, 1, 0)
	request := &Request{ConfigHash: config.Hash(), GrantorID: 1}
	entries := min(limits, MaxEntries)
	for i := range entries {
		request.Demands = append(request.Demands, Demand{Name: config.Limits[i*limits/entries].Name, Requested: 3})
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		request.Incarnation = uint64(1 + n%servers)
		request.Number = uint64(1 + n/servers)
		grantor.HandleRequest(100+float64(n)*6/3/float64(servers), request, true)
		n++
	}
}

func BenchmarkGrantor_HandleRequest(b *testing.B) {
	for _, c := range []struct{ limits, servers int }{{10, 10}, {10, 1000}, {10_000, 10}} {
		b.Run(fmt.Sprintf("%d limits, %d servers", c.limits, c.servers), func(b *testing.B) {
			benchmarkRequest(b, c.limits, c.servers)
		})
	}
}
