package lease

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftcourse/internal/policy/serving"
)

// Faults of a random schedule. Pause, isolation, blocking and partition last until the same fault
// is drawn again for the same server or the cluster.
const (
	faultPause = iota
	faultIsolate
	faultBlock
	faultRelease
	faultReleaseInWaves
	faultElectLeader
	faultPartition
	faultLossRate
	faultSecondProcess
	faultRestart
	faultCommitDelay
	faultCount
)

// TestLease_RandomFaultSchedules runs random schedules of faults and checks the invariants at each
// tick, see checkInvariants. Once all faults have ended, exactly one incarnation of each name has
// to get a lease and run its assigned version.
func TestLease_RandomFaultSchedules(t *testing.T) {
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
		c.run(6 * testConfig.LeaseSeconds)
		deviation := c.findDeviation()
		for range 10 { // a few replies in a thousand take over a second, so that a lease may expire
			if deviation != "" {
				c.run(1)
				deviation = c.findDeviation()
			}
		}
		if deviation != "" {
			t.Fatalf("after all faults ended: %s", deviation)
		}
	})
}

// drawFault draws a fault and applies it to the cluster or to the server at index target.
func drawFault(t *rapid.T, c *cluster, step, target, initialServers int, fallback serving.Mode) {
	s := c.servers[target]
	switch rapid.IntRange(0, faultCount-1).Draw(t, "step") {
	case faultPause:
		s.paused = !s.paused
	case faultIsolate:
		s.isolated = !s.isolated
	case faultBlock:
		s.blocked = !s.blocked
	case faultRelease:
		c.release(fmt.Sprint("x", step))
	case faultReleaseInWaves:
		c.release(fmt.Sprint("y", step), 0.2, 0.6)
	case faultElectLeader:
		c.electLeader()
	case faultPartition:
		c.partitioned = !c.partitioned
	case faultLossRate:
		c.lossRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss rate")
	case faultSecondProcess:
		// A second process with a voter's name can't start, as it can't listen at the voter's
		// address.
		if len(c.servers) < initialServers+3 && testVoterAddrs[s.name] == "" {
			c.addServer(s.name, fmt.Sprint("second", step), fallback)
		}
	case faultRestart:
		// The server is replaced in place, so that replies to the earlier incarnation reach the new
		// one.
		*s = *c.addServer(s.name, s.addr, fallback)
		c.servers = c.servers[:len(c.servers)-1]
	case faultCommitDelay:
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
