package quota

import (
	"errors"
	"fmt"
	"math"
	"testing"
)

// TestHolder_GetsWhatOthersLeave moves the demand from one server to another just after shares were leased.
func TestHolder_GetsWhatOthersLeave(t *testing.T) {
	s := newSimulation(t, 1, 6)
	s.setDemand(1)
	s.servers[0].demand = 500
	s.run(8)
	if got := s.servers[0].limitAt(rateLimit, s.now); got < 80 {
		t.Errorf("alone, it has %.1f of 100", got)
	}
	s.servers[0].demand = 1
	s.servers[3].demand = 500
	s.run(1)
	if got := s.servers[3].limitAt(rateLimit, s.now); got < 80 {
		t.Errorf("a second after the demand moved it has %.1f of 100", got)
	}
}

// TestHolder_FallsToFloorWhilePartitioned has a third of the servers hear nothing for long.
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
			t.Errorf("partitioned server %d may use %.3f, its floor is %.3f", i, got, floor)
		}
	}
	if used := s.used(rateLimit); used < 80 {
		t.Errorf("with a third partitioned %.1f of 100 is used", used)
	}
	for _, server := range partitioned {
		server.partitioned = false
	}
	s.run(2)
	for i, server := range partitioned {
		if got := server.limitAt(rateLimit, s.now); got < 10 {
			t.Errorf("heard again, server %d may use %.3f", i, got)
		}
	}
}

// TestConfig_ChangedLimit lowers a limit to half and to nothing while shares are leased, and raises it again.
func TestConfig_ChangedLimit(t *testing.T) {
	s := newSimulation(t, 3, 6)
	s.setDemand(30)
	s.run(8)
	for _, most := range []float64{50, 0, 100} {
		s.config.Limits = []Limit{{Name: rateLimit, Max: most}, testLimits[1]}
		s.grantor.ApplyConfig(s.config)
		for _, server := range s.servers {
			server.holder.ApplyConfig(s.config, server.clock(s.now))
			server.publish()
		}
		s.stillLeased = 100 // what is leased counts on for a lease
		s.run(s.config.LeaseSeconds * (1 + 2*maxClockDrift))
		s.stillLeased = 0
		if got := s.usable(rateLimit); got > most*(1+tolerance) || got < 0.95*most {
			t.Errorf("a lease after it became %.0f, all may use %.3f", most, got)
		}
		s.run(1)
	}
}

// TestGrantor_InvalidDemands has servers ask for, and claim to hold, what can't be.
func TestGrantor_InvalidDemands(t *testing.T) {
	s := newSimulation(t, 4, 4)
	s.setDemand(10)
	for round, x := range []float64{math.NaN(), math.Inf(1), -1, 1e300, 1e9} {
		s.electLeader()
		for number := uint64(1); number < 60; number++ {
			request := &Request{
				Incarnation: uint64(1000 + round),
				Number:      number,
				ConfigHash:  s.config.Hash(),
				GrantorID:   s.grantor.id,
				Demands: []Demand{
					{rateLimit, x, x, x, x, number - 1},
					{concurrentLimit, x, x, x, x, number},
					{"unknown", x, x, x, x, number},
				},
			}
			checkGrants(t, s.grantor.HandleRequest(s.now, request, true))
			s.run(0.1)
		}
		s.run(0.5)
		if used := s.used(rateLimit); used < 39 {
			t.Errorf("%g: the others may use %.1f of the 40 that they ask for", x, used)
		}
	}
}

// checkGrants fails where a reply grants a share that is none, or more than the pool.
func checkGrants(t *testing.T, reply *Reply) {
	t.Helper()
	if reply == nil {
		return
	}
	for _, grant := range reply.Grants {
		if !(grant.LeasedShare >= 0 && grant.LeasedShare <= 90) {
			t.Fatalf("granted %g of %s", grant.LeasedShare, grant.Name)
		}
	}
}

// exchange has a holder that wants all of the rate ask a grantor, and takes the reply.
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

// TestGrantor_LateRequestRenewsNoExpiredLease forces this order: a request, sent while its server held a
// share, reaches the next leader when that share has expired and been leased to another server.
func TestGrantor_LateRequestRenewsNoExpiredLease(t *testing.T) {
	config := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 2, Limits: testLimits}
	first := NewGrantor(config, 1, -100)
	x := NewHolder(7, config, 0)
	y := NewHolder(8, config, 0)
	limitAt := func(holder *Holder, now float64) float64 { return holder.limits[rateLimit].limitAt(now) }

	exchange(x, first, 0) // it hears who grants
	exchange(x, first, 0.3)
	if got := limitAt(x, 0.3); got != 95 {
		t.Fatalf("alone it has %.1f", got)
	}
	x.RecordUsage(3.2, rateLimit, 500, 0, x.limits[rateLimit].granted.number)
	late := x.NextRequest(3.2)
	second := NewGrantor(config, 2, 3.2)
	for now := 3.3; now < 4.1; now += 0.3 { // the first is still believed
		exchange(y, first, now)
	}
	if got := limitAt(y, 4); got != 95 {
		t.Fatalf("after the first's lease the second has %.1f", got)
	}
	if reply := second.HandleRequest(4.3, late, true); reply != nil {
		x.HandleReply(4.3, reply)
	}
	if all := limitAt(x, 4.3) + limitAt(y, 4.3); all > 100 {
		t.Errorf("all may use %.1f of 100", all)
	}
}

// TestHolder_LeaseRunsFromRequest takes a reply a second after the request: the grantor may have counted the
// lease from any moment between the two, so the holder counts it from the first.
func TestHolder_LeaseRunsFromRequest(t *testing.T) {
	config := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 2, Limits: testLimits[:1]}
	grantor := NewGrantor(config, 1, -100)
	holder := NewHolder(7, config, 0)
	exchange(holder, grantor, 0) // it hears who grants
	holder.RecordUsage(0.5, rateLimit, 500, 0, 0)
	request := holder.NextRequest(0.5)
	reply := grantor.HandleRequest(1, request, true)
	if reply == nil || len(reply.Grants) != 1 {
		t.Fatalf("the reply is %+v, want one grant", reply)
	}
	holder.HandleReply(1.5, reply)
	leases := holder.ActiveLeases(1.5)
	if len(leases) != 1 || leases[0].LeaseExpiry != 3.5 {
		t.Errorf("leased are %+v, want one lease until 3.5", leases)
	}
}

// TestConfig_Validate has one case for each fault; a fault of one limit names it.
func TestConfig_Validate(t *testing.T) {
	valid := Config{LeaseSeconds: 3, FloorFraction: 0.1, MaxServers: 4, Limits: testLimits}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	longName := fmt.Sprintf("%099d", 1)
	cases := []struct {
		name   string
		limit  string // that the error names
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
		{"negative", "a", func(c *Config) { c.Limits = []Limit{{Name: "a", Max: -1}} }},
		{"infinite", "a", func(c *Config) { c.Limits = []Limit{{Name: "a", Max: math.Inf(1)}} }},
		{"no linger time", "a", func(c *Config) { c.Limits = []Limit{{Name: "a", Max: 50, Concurrent: true}} }},
		{"floor under one", "a", func(c *Config) {
			c.Limits = []Limit{{Name: "a", Max: 30, Concurrent: true, LingerSeconds: 1}}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := valid
			c.change(&config)
			err := config.Validate()
			var fault *ConfigError
			if !errors.As(err, &fault) {
				t.Fatalf("Validate() = %v, want a *ConfigError", err)
			}
			if fault.Limit != c.limit {
				t.Errorf("the error names limit %q, want %q: %v", fault.Limit, c.limit, err)
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
