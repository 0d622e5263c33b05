// Package budget decides how a bound that holds for the whole fleet is split among its servers, so that what all of them may use together never
// exceeds it, whatever is cut, late, stopped or restarted. There is no I/O and no clock in it.
//
// A part of each bound, the floor, is set aside: every server has an even share of it at all times, heard or not. The rest is given out in parts by
// whoever leads the voters (Granter), each for a lease that runs from the moment at which its server asked for it (Holder), by that one's clock. A
// part that was given out counts until its server is known to have put it down, or its lease is surely over. docs/shared.md has the argument.
package budget

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Bound is what the whole fleet may use of one thing.
type Bound struct {
	Name string
	Most float64 // units a second, or units open at a time
	// Open tells that units are open for a time, no longer than Linger seconds, rather than used up at once.
	Open   bool
	Linger float64
}

// Terms are what all servers are told alike, by one version.
type Terms struct {
	Lease   float64 // seconds
	Floor   float64 // part of each bound that is set aside for floors
	Servers int     // at most so many processes at a time have floors
	Bounds  []Bound
}

const (
	// Depth is how many seconds of a rate may be saved up: a tenth of a second's swing of a hundred tasks a second passes, and the fleet's slack is
	// no more than half a second of its bound. A unit may always be saved up, or a small part would never come to one.
	Depth = 0.5
	// drift is how much slower than the granter's a server's clock may run, as a part: far over any crystal's, and over the 1% that is played.
	drift = 0.02
	// ConfirmedFor is for how long, in seconds, a leader that is followed may still give parts: see package member.
	ConfirmedFor = 1.0
	// MaxBounds and MaxName bound the terms.
	MaxBounds, MaxName = 16384, 96
	// MaxEntries is how many budgets one message speaks of: under 20 KB.
	MaxEntries = 128
)

// FloorOf is what each server may use of a bound without a word from anybody.
func (t *Terms) FloorOf(b *Bound) float64 { return t.Floor * b.Most / float64(max(1, t.Servers)) }

// pool is what is given out in parts.
func (t *Terms) pool(b *Bound) float64 { return (1 - t.Floor) * b.Most }

// Slack is what may be used of a bound within any time beyond its rate times that time; 0 for what is open.
func (t *Terms) Slack(b *Bound) float64 {
	if b.Open {
		return 0
	}
	return Depth*b.Most + float64(t.Servers)
}

// Sum tells terms apart.
func (t *Terms) Sum() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintln(h, t.Lease, t.Floor, t.Servers)
	for _, b := range t.Bounds {
		_, _ = fmt.Fprintln(h, b.Name, b.Most, b.Open, b.Linger)
	}
	return h.Sum64()
}

// Check tells what is wrong with terms.
func (t *Terms) Check() error {
	if len(t.Bounds) > MaxBounds {
		return fmt.Errorf("%d budgets, %d at most", len(t.Bounds), MaxBounds)
	}
	if !(t.Lease > 0) || !(t.Floor > 0 && t.Floor < 1) || t.Servers < 1 {
		return fmt.Errorf("budgets need a lease, a floor over 0%% and under 100%%, and the number of servers")
	}
	seen := map[string]bool{}
	for i := range t.Bounds {
		b := &t.Bounds[i]
		switch floor := t.FloorOf(b); {
		case b.Name == "" || len(b.Name) > MaxName || seen[b.Name]:
			return fmt.Errorf("budget %q: no name, one that is too long, or there already", b.Name)
		case !(b.Most >= 0) || math.IsInf(b.Most, 0) || b.Open != (b.Linger > 0):
			return fmt.Errorf("budget %s: %g is no bound", b.Name, b.Most)
		case b.Open && b.Most > 0 && floor < 1:
			return fmt.Errorf("budget %s: the floor, %g%% of %g over %d servers, is under one at a time", b.Name, 100*t.Floor, b.Most, t.Servers)
		}
		seen[b.Name] = true
	}
	return nil
}

// Wish is what a server says of one budget.
type Wish struct {
	Name   string
	Demand float64 // units a second asked for, or open and turned away, lately
	Open   float64 // units open now, 0 for a rate
	Part   float64 // beyond the floor, that it may use
	Left   float64 // seconds for which it may, by its clock
	Answer uint64  // number of the question whose answer gave Part, 0 for none
}

// Question is what a server asks of the granter.
type Question struct {
	Life, Number uint64
	Terms        uint64 // the sum of its terms: those who go by others than the granter have their floors
	Granter      uint64 // whose answer came last, 0 for none
	Wishes       []Wish
}

// Grant is a part of one budget beyond the floor.
type Grant struct {
	Name string
	Part float64
}

// Answer is the granter's to one question. Parts last Lease from when it was asked.
type Answer struct {
	Life, Number uint64
	Granter      uint64 // a number of the granter's own
	Grants       []Grant
}

// sane makes a number that somebody said one that can be reckoned with.
func sane(x, most float64) float64 {
	if !(x > 0) { // nor is it a number
		return 0
	}
	return min(x, most)
}
