// Package quota decides how a bound that holds for the whole fleet is split among its servers, so that what all of them may use together never
// exceeds it, whatever is cut, late, stopped or restarted. There is no I/O and no clock in it.
//
// A part of each bound, the floor, is set aside: every server has an even share of it at all times, heard or not. The rest is given out in parts by
// whoever leads the voters (Granter), each for a lease that runs from the moment at which its server asked for it (Holder), by that one's clock. A
// part that was given out counts until its server is known to have put it down, or its lease is surely over. docs/shared.md has the argument.
package quota

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Limit is what the whole fleet may use of one thing.
type Limit struct {
	Name string
	Max  float64 // units a second, or units open at a time
	// Open tells that units are open for a time, no longer than Linger seconds, rather than used up at once.
	Concurrent    bool
	LingerSeconds float64
}

// Config are what all servers are told alike, by one version.
type Config struct {
	LeaseSeconds  float64 // seconds
	FloorFraction float64 // part of each bound that is set aside for floors
	MaxServers    int     // at most so many processes at a time have floors
	Limits        []Limit
}

const (
	// BurstSeconds is how many seconds of a rate may be saved up: a tenth of a second's swing of a hundred tasks a second passes, and the fleet's slack is
	// no more than half a second of its bound. A unit may always be saved up, or a small part would never come to one.
	BurstSeconds = 0.5
	// maxClockDrift is how much slower than the granter's a server's clock may run, as a part: far over any crystal's, and over the 1% that is played.
	maxClockDrift = 0.02
	// leaderLeaseSeconds is for how long, in seconds, a leader that is followed may still give parts: see package member.
	leaderLeaseSeconds = 1.0
	// maxLimits and MaxName bound the terms.
	maxLimits, maxNameLength = 16384, 96
	// MaxEntries is how many budgets one message speaks of: under 20 KB.
	MaxEntries = 128
)

// FloorPerServer is what each server may use of a bound without a word from anybody.
func (t *Config) FloorPerServer(b *Limit) float64 {
	return t.FloorFraction * b.Max / float64(max(1, t.MaxServers))
}

// pool is what is given out in parts.
func (t *Config) pool(b *Limit) float64 { return (1 - t.FloorFraction) * b.Max }

// MaxBurst is what may be used of a bound within any time beyond its rate times that time; 0 for what is open.
func (t *Config) MaxBurst(b *Limit) float64 {
	if b.Concurrent {
		return 0
	}
	return BurstSeconds*b.Max + float64(t.MaxServers)
}

// Hash tells terms apart.
func (t *Config) Hash() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintln(h, t.LeaseSeconds, t.FloorFraction, t.MaxServers)
	for _, b := range t.Limits {
		_, _ = fmt.Fprintln(h, b.Name, b.Max, b.Concurrent, b.LingerSeconds)
	}
	return h.Sum64()
}

// Validate tells what is wrong with terms.
func (t *Config) Validate() error {
	if len(t.Limits) > maxLimits {
		return fmt.Errorf("%d budgets, %d at most", len(t.Limits), maxLimits)
	}
	if !(t.LeaseSeconds > 0) || !(t.FloorFraction > 0 && t.FloorFraction < 1) || t.MaxServers < 1 {
		return fmt.Errorf("budgets need a lease, a floor over 0%% and under 100%%, and the number of servers")
	}
	seen := map[string]bool{}
	for i := range t.Limits {
		b := &t.Limits[i]
		switch floor := t.FloorPerServer(b); {
		case b.Name == "" || len(b.Name) > maxNameLength || seen[b.Name]:
			return fmt.Errorf("budget %q: no name, one that is too long, or there already", b.Name)
		case !(b.Max >= 0) || math.IsInf(b.Max, 0) || b.Concurrent != (b.LingerSeconds > 0):
			return fmt.Errorf("budget %s: %g is no bound", b.Name, b.Max)
		case b.Concurrent && b.Max > 0 && floor < 1:
			return fmt.Errorf("budget %s: the floor, %g%% of %g over %d servers, is under one at a time", b.Name, 100*t.FloorFraction, b.Max, t.MaxServers)
		}
		seen[b.Name] = true
	}
	return nil
}

// Demand is what a server says of one budget.
type Demand struct {
	Name             string
	Requested        float64 // units a second asked for, or open and turned away, lately
	InUse            float64 // units open now, 0 for a rate
	LeasedShare      float64 // beyond the floor, that it may use
	RemainingSeconds float64 // seconds for which it may, by its clock
	GrantNumber      uint64  // number of the question whose answer gave Part, 0 for none
}

// Request is what a server asks of the granter.
type Request struct {
	Incarnation, Number uint64
	ConfigHash          uint64 // the sum of its terms: those who go by others than the granter have their floors
	GrantorID           uint64 // whose answer came last, 0 for none
	Demands             []Demand
}

// Grant is a part of one budget beyond the floor.
type Grant struct {
	Name        string
	LeasedShare float64
}

// Reply is the granter's to one question. Parts last Lease from when it was asked.
type Reply struct {
	Incarnation, Number uint64
	GrantorID           uint64 // a number of the granter's own
	Grants              []Grant
}

// sane makes a number that somebody said one that can be reckoned with.
func sane(x, most float64) float64 {
	if !(x > 0) { // nor is it a number
		return 0
	}
	return min(x, most)
}
