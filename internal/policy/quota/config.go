package quota

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Limit is what the whole fleet may use of one resource.
type Limit struct {
	Name string
	// Max is in units a second or, if Concurrent, in units in use at a time.
	Max float64
	// Concurrent is true where a unit stays in use for a while, at most LingerSeconds, rather than being
	// used up at once.
	Concurrent    bool
	LingerSeconds float64
}

// Config is the configuration that all servers share; requests carry its hash.
type Config struct {
	LeaseSeconds  float64
	FloorFraction float64 // of each limit, set aside for floors
	MaxServers    int     // at most so many processes at a time have a floor
	Limits        []Limit
}

const (
	// BurstSeconds is the capacity of the token bucket of a rate, in seconds of that rate. It tolerates a
	// tenth of a second of jitter at a hundred requests a second, and keeps the fleet's burst at half a
	// second of its limit. The capacity is one unit at least, or a small share would never reach one.
	BurstSeconds = 0.5
	// MaxEntries bounds the demands of a request and the grants of a reply; it keeps a message under 20 KB.
	MaxEntries = 128

	// maxClockDrift is the fraction by which a holder's clock may run slower than the grantor's: far more
	// than a quartz clock drifts, and more than the 1% of the simulations.
	maxClockDrift = 0.02
	// leaderLeaseSeconds is how long a replaced leader may still grant leases. It must equal
	// lease.LeaderConfirmationWindow, the time for which a majority's confirmation of a leader counts.
	leaderLeaseSeconds = 1.0
	maxLimits          = 16384
	maxNameLength      = 96
)

// ConfigError is returned by Config.Validate.
type ConfigError struct {
	Limit  string // name of the invalid limit, "" for an error of the whole configuration
	Reason string
}

// Error returns the reason, with the name of the limit if there is one.
func (e *ConfigError) Error() string {
	if e.Limit == "" {
		return e.Reason
	}
	return fmt.Sprintf("limit %q: %s", e.Limit, e.Reason)
}

// FloorPerServer returns what each server may use of a limit without a lease.
func (c *Config) FloorPerServer(limit *Limit) float64 {
	return c.FloorFraction * limit.Max / float64(max(1, c.MaxServers))
}

// pool returns the part of a limit that is leased out.
func (c *Config) pool(limit *Limit) float64 { return (1 - c.FloorFraction) * limit.Max }

// MaxBurst returns how many units the fleet may use in any period beyond Max times its length. It is 0 for a
// concurrent limit.
func (c *Config) MaxBurst(limit *Limit) float64 {
	if limit.Concurrent {
		return 0
	}
	return BurstSeconds*limit.Max + float64(c.MaxServers)
}

// Hash returns a hash of all fields, by which servers with different configurations are told apart.
func (c *Config) Hash() uint64 {
	hash := xxhash.New()
	_, _ = fmt.Fprintln(hash, c.LeaseSeconds, c.FloorFraction, c.MaxServers)
	for _, limit := range c.Limits {
		_, _ = fmt.Fprintln(hash, limit.Name, limit.Max, limit.Concurrent, limit.LingerSeconds)
	}
	return hash.Sum64()
}

// Validate returns a *ConfigError for the first error that it finds.
func (c *Config) Validate() error {
	if len(c.Limits) > maxLimits {
		return &ConfigError{Reason: fmt.Sprintf("%d limits, at most %d", len(c.Limits), maxLimits)}
	}
	if !(c.LeaseSeconds > 0) || !(c.FloorFraction > 0 && c.FloorFraction < 1) || c.MaxServers < 1 {
		return &ConfigError{Reason: "limits need a lease, a floor over 0% and under 100%, and the number of servers"}
	}
	seen := map[string]bool{}
	for i := range c.Limits {
		limit := &c.Limits[i]
		if reason := c.limitFault(limit, seen[limit.Name]); reason != "" {
			return &ConfigError{Limit: limit.Name, Reason: reason}
		}
		seen[limit.Name] = true
	}
	return nil
}

// limitFault returns why a limit is invalid, "" if it is valid.
func (c *Config) limitFault(limit *Limit, duplicate bool) string {
	switch {
	case limit.Name == "":
		return "a limit has no name"
	case len(limit.Name) > maxNameLength:
		return fmt.Sprintf("the name is longer than %d bytes", maxNameLength)
	case duplicate:
		return "the name is used twice"
	case !(limit.Max >= 0) || math.IsInf(limit.Max, 0):
		return fmt.Sprintf("%g is not a limit", limit.Max)
	case limit.Concurrent != (limit.LingerSeconds > 0):
		return fmt.Sprintf("%g: a concurrent limit, and no other, needs the time for which a unit is in use", limit.Max)
	case limit.Concurrent && limit.Max > 0 && c.FloorPerServer(limit) < 1:
		return fmt.Sprintf("the floor, %g%% of %g over %d servers, is under one at a time",
			100*c.FloorFraction, limit.Max, c.MaxServers)
	}
	return ""
}
