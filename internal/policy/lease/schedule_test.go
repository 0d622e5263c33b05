package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
)

// TestLease_DrawnSchedules plays drawn schedules of faults; checkInvariants checks each tick. Once
// all faults are healed, each name has one lease, on its assigned version.
func TestLease_DrawnSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fallbacks := []serving.Mode{serving.ModeNormal, serving.ModeSafeDefaults, serving.ModeOutOfService}
		fallback := rapid.SampledFrom(fallbacks).Draw(t, "fallback")
		seed := rapid.Uint64().Draw(t, "seed")
		c := newCluster(t, seed, rapid.IntRange(1, 9).Draw(t, "servers"), fallback)
		initialServers := len(c.servers)
		for i := range rapid.IntRange(1, 15).Draw(t, "steps") {
			target := rapid.IntRange(0, len(c.servers)-1).Draw(t, "server")
			drawFault(t, c, i, target, initialServers, fallback)
			c.run(rapid.SampledFrom([]float64{0.1, 1, 4}).Draw(t, "wait"))
		}
		c.heal()
		c.run(6 * testConfig.Duration)
		wrong := c.unhealed()
		for range 10 { // a reply that takes a second comes a few times in a thousand, and may cost a lease
			if wrong != "" {
				c.run(1)
				wrong = c.unhealed()
			}
		}
		if wrong != "" {
			t.Fatalf("healed, %s", wrong)
		}
	})
}

// drawFault draws what happens in a step, to the server with the index target.
func drawFault(t *rapid.T, c *cluster, step, target, initialServers int, fallback serving.Mode) {
	s := c.servers[target]
	switch rapid.IntRange(0, 10).Draw(t, "step") {
	case 0:
		s.paused = !s.paused
	case 1:
		s.isolated = !s.isolated
	case 2:
		s.blocked = !s.blocked
	case 3:
		c.release(fmt.Sprint("x", step))
	case 4:
		c.release(fmt.Sprint("y", step), 0.2, 0.6)
	case 5:
		c.electLeader()
	case 6:
		c.partitioned = !c.partitioned
	case 7:
		c.lossRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss rate")
	case 8:
		// A second process of the name. One of a voter's name does not start.
		if len(c.servers) < initialServers+3 && testVoterAddrs[s.name] == "" {
			c.addServer(s.name, fmt.Sprint("second", step), fallback)
		}
	case 9:
		// A restart in place: replies to the earlier incarnation reach this one.
		*s = *c.addServer(s.name, s.addr, fallback)
		c.servers = c.servers[:len(c.servers)-1]
	case 10:
		c.commitDelay = rapid.SampledFrom([]float64{0.1, 3}).Draw(t, "commit delay")
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	c.partitioned = false
	c.lossRate = 0
	c.commitDelay = 0.1
	for _, s := range c.servers {
		s.paused = false
		s.isolated = false
		s.blocked = false
	}
}
