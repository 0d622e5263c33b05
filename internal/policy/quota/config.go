package quota

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Limit is the most that the whole fleet may use of one resource.
type Limit struct {
	Name string
	// Max is in units a second or, if Concurrent, in units in use at the same time.
	Max float64
	// Concurrent limits the units in use at the same time. A unit stays in use for at most
	// MaxUseSeconds. If Concurrent is false, the limit is a rate.
	Concurrent    bool
	MaxUseSeconds float64
}

// Config is the configuration of the limits. All servers must have the same one; requests carry
// its hash so that the grantor can check this.
type Config struct {
	LeaseSeconds  float64
	FloorFraction float64 // fraction of each limit reserved for floors
	MaxServers    int     // the most server processes that may run at the same time, each with a floor
	Limits        []Limit
}

const (
	// BurstSeconds is the capacity of a rate limit's token bucket, in seconds of the rate. It
	// tolerates 0.1 s of jitter at 100 requests a second, and bounds the fleet's burst to 0.5 s of
	// its limit. The capacity is at least one unit; with a smaller one, a small share would never
	// admit a request.
	BurstSeconds = 0.5
	// MaxEntries bounds the demands in a request and the grants in a reply. It keeps messages under
	// 20 KB.
	MaxEntries = 128

	// maxClockDrift is the largest tolerated fraction by which a holder's clock runs slower than
	// the grantor's. It is far above the drift of quartz clocks and above the 1% of the
	// simulations.
	maxClockDrift = 0.02
	// leaderLeaseSeconds is how long a leader may still grant leases after it was replaced. It must
	// equal lease.LeaderConfirmationWindowSeconds, the time for which a majority's confirmation of a
	// leader is valid.
	leaderLeaseSeconds = 1.0
	maxLimits          = 16384
	maxNameBytes       = 96
)

// ConfigError describes an invalid configuration. Config.Validate returns it.
type ConfigError struct {
	Limit  string // name of the invalid limit, "" if the error concerns the whole configuration
	Reason string
}

// Error returns the reason, preceded by the name of the invalid limit if there is one.
func (e *ConfigError) Error() string {
	if e.Limit == "" {
		return e.Reason
	}
	return fmt.Sprintf("limit %q: %s", e.Limit, e.Reason)
}

// FloorPerServer returns the share of a limit that each server may use without a lease.
func (c *Config) FloorPerServer(limit *Limit) float64 {
	return c.FloorFraction * limit.Max / float64(max(1, c.MaxServers))
}

// pool returns the part of a limit that the grantor can lease to servers.
func (c *Config) pool(limit *Limit) float64 { return (1 - c.FloorFraction) * limit.Max }

// MaxBurst returns by how many units the fleet's use in any period may exceed Max times the length
// of the period. It is 0 for a concurrent limit.
func (c *Config) MaxBurst(limit *Limit) float64 {
	if limit.Concurrent {
		return 0
	}
	return BurstSeconds*limit.Max + float64(c.MaxServers)
}

// Hash returns a hash of all fields. Servers compare hashes to detect different configurations.
func (c *Config) Hash() uint64 {
	hash := xxhash.New()
	_, _ = fmt.Fprintln(hash, c.LeaseSeconds, c.FloorFraction, c.MaxServers)
	for _, limit := range c.Limits {
		_, _ = fmt.Fprintln(hash, limit.Name, limit.Max, limit.Concurrent, limit.MaxUseSeconds)
	}
	return hash.Sum64()
}

// Validate returns a *ConfigError for the first error found, nil if the configuration is valid.
func (c *Config) Validate() error {
	if len(c.Limits) > maxLimits {
		return &ConfigError{Reason: fmt.Sprintf("too many limits: got %d, want at most %d", len(c.Limits), maxLimits)}
	}
	if !(c.LeaseSeconds > 0) || !(c.FloorFraction > 0 && c.FloorFraction < 1) || c.MaxServers < 1 {
		return &ConfigError{Reason: fmt.Sprintf(
			"want a lease over 0 s, a floor over 0%% and under 100%%, and at least 1 server; "+
				"got a lease of %g s, a floor of %g%%, and %d servers",
			c.LeaseSeconds, 100*c.FloorFraction, c.MaxServers)}
	}
	seen := map[string]bool{}
	for i := range c.Limits {
		limit := &c.Limits[i]
		if reason := c.invalidReason(limit, seen[limit.Name]); reason != "" {
			return &ConfigError{Limit: limit.Name, Reason: reason}
		}
		seen[limit.Name] = true
	}
	return nil
}

// invalidReason returns the reason why a limit is invalid, "" if it is valid.
func (c *Config) invalidReason(limit *Limit, duplicate bool) string {
	switch {
	case limit.Name == "":
		return fmt.Sprintf("the name of a limit with a maximum of %g is empty, want 1 to %d bytes",
			limit.Max, maxNameBytes)
	case len(limit.Name) > maxNameBytes:
		return fmt.Sprintf("the name has %d bytes, want at most %d", len(limit.Name), maxNameBytes)
	case duplicate:
		return "more than one limit has this name"
	case !(limit.Max >= 0) || math.IsInf(limit.Max, 0):
		return fmt.Sprintf("the maximum is %g, want a finite number of at least 0", limit.Max)
	case limit.Concurrent != (limit.MaxUseSeconds > 0):
		return fmt.Sprintf("a unit may stay in use for %g s (maximum %g, concurrent: %t), "+
			"want more than 0 s for a concurrent limit and 0 s for a rate",
			limit.MaxUseSeconds, limit.Max, limit.Concurrent)
	case limit.Concurrent && limit.Max > 0 && c.FloorPerServer(limit) < 1:
		return fmt.Sprintf("the floor of each server, %g%% of %g divided by %d servers, is %g, want at least 1",
			100*c.FloorFraction, limit.Max, c.MaxServers, c.FloorPerServer(limit))
	}
	return ""
}
