package peers

import (
	"math"

	"swiftcourse/internal/judge/shared/health"
	"swiftcourse/internal/judge/stance"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is a process's part in judging the service below: what became of its calls goes to the judge, words to a few others, who pass them on, and
// how many calls may be out back to the loop.

// Health is what a process does with it.
type Health struct {
	Zone string     // of this server, "" where zones are not told
	Hear func(Held) // hands the serving loop how many calls may be out
}

// Held is how many calls may be out.
type Held struct {
	Most float64 // +Inf for as many as without
	Try  int64   // not 0 where one call is a try, of which there is to be one for each number
}

// belowState is the part's state of it.
type belowState struct {
	*Health
	judge *health.Breaker
	next  float64
	sayAt float64
	held  Held
	zones map[string]string // of others, by what they say
}

const (
	// decideEvery is how often it is judged, and sayEvery how often others hear: three of them each time, with the newest words of maxPassed servers,
	// so that a thousand have heard of one within a second and a half.
	decideEvery, sayEvery, maxPassed = 0.1, 0.25, 16
	// maxCounts wait for the goroutine.
	maxCounts = 16
	// maxZones bounds whose zones are known.
	maxZones = 4096
)

// Called takes what became of the loop's calls, from any goroutine.
func (f *Peers) Called(c stance.CallStats) {
	select {
	case f.calls <- c:
	default:
	}
}

func (f *Part) beginHealth(now float64) {
	if f.Health != nil {
		f.below = &belowState{Health: f.Plan.Health, judge: health.New(f.Name, f.Plan.Health.Zone, now), next: now, sayAt: now, held: Held{Most: math.Inf(1)}, zones: map[string]string{}}
	}
}

// HeedCalls takes what became of the loop's calls.
func (f *Part) HeedCalls(now float64, c stance.CallStats) {
	if b := f.below; b != nil {
		b.judge.RecordCalls(now, health.Tally{Succeeded: c.Succeeded, Failed: c.Failed, SuccessSeconds: c.TotalSeconds}, float64(c.InFlight))
	}
}

func (f *Part) takeHealth(now float64, m *wire.Message) {
	b := f.below
	if b == nil {
		return
	}
	for _, w := range m.Health {
		if b.judge.HandleReport(now, w) && (len(b.zones) < maxZones || b.zones[w.Server] != "") {
			b.zones[w.Server] = w.Zone
		}
	}
}

// near lists the servers of this one's zone, as far as it is known.
func (f *Part) near() (names []string) {
	for name := range f.net.All() {
		if f.below.Zone == "" || f.below.zones[name] == f.below.Zone {
			names = append(names, name)
		}
	}
	return names
}

func (f *Part) dueHealth(now float64) {
	b := f.below
	if b == nil {
		return
	}
	if now >= b.next {
		b.next = now + decideEvery
		most, changed := b.judge.Decide(now, f.near)
		if changed {
			state, _ := b.judge.State()
			f.Say("fleet_below", "is", state, "most", most)
		}
		if held := (Held{most, b.judge.ProbeSlot(now)}); held != b.held {
			b.held = held
			b.Hear(held)
		}
	}
	if now >= b.sayAt+sayEvery {
		b.sayAt = now
		if len(b.zones) >= maxZones {
			clear(b.zones) // names come and go for ever; those that are there say it again
		}
		if words := b.judge.GossipReports(now, f.life, maxPassed); len(words) > 0 {
			for _, addr := range f.net.Some(briefTo, f.chance) {
				f.send(addr, &wire.Message{Health: words})
			}
		}
	}
}

func (f *Part) nextHealth() float64 {
	if f.below == nil {
		return math.Inf(1)
	}
	return min(f.below.next, f.below.sayAt+sayEvery)
}
