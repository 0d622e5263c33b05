// Package circuitbreaker judges a service below, by the calls that this server made and by what others say of theirs. There is no I/O and no clock in it.
//
// Own evidence comes first: a server with enough calls of its own goes by them alone, so that a service which is sick for one part of the fleet is
// not so for all. With fewer it goes by what servers say, each of which has one voice however many calls it tells of: one that lies, or whose own link
// is bad, can neither shut a service out nor keep it in. One that hears nothing goes by its own, as it would without others.
//
// A service that is dead is tried by a few servers a second of all that there are, and comes back in steps.
package circuitbreaker

import (
	"cmp"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"strconv"

	"swiftcourse/internal/timewindow"
)

// State is how a service stands.
type State uint8

const (
	Closed State = iota
	Degraded
	Throttled // half of the calls or more are lost
	Open      // hardly any comes back
	HalfOpen  // it does again, and gets more step by step
	states
)

func (s State) String() string {
	return [...]string{"well", "slow", "sick", "dead", "returning", "?"}[min(s, states)]
}

// evidence is what calls say of a service.
type evidence uint8

const (
	quiet evidence = iota // too few calls to tell
	fine
	drags // they take far longer than they lately did at best
	fails
	gone
	whole // fine, and as much as before is let out again
)

// life is a service's whole standing. What it does not list changes nothing.
var life = [...]struct {
	state State
	input evidence
	next  State
}{
	{Closed, drags, Degraded},
	{Closed, fails, Throttled},
	{Closed, gone, Open},
	{Degraded, fine, Closed},
	{Degraded, fails, Throttled},
	{Degraded, gone, Open},
	{Throttled, fine, HalfOpen},
	{Throttled, drags, HalfOpen},
	{Throttled, gone, Open},
	{Open, fine, HalfOpen},
	{Open, drags, HalfOpen},
	{HalfOpen, fails, Throttled},
	{HalfOpen, gone, Open},
	{HalfOpen, whole, Closed},
}

func step(s State, in evidence) State {
	for _, row := range life {
		if row.state == s && row.input == in {
			return row.next
		}
	}
	return s
}

// Tally is what became of calls.
type Tally struct {
	Succeeded, Failed int
	SuccessSeconds    float64 // seconds that those that went well took together
}

func (t *Tally) add(o Tally) {
	t.Succeeded += o.Succeeded
	t.Failed += o.Failed
	t.SuccessSeconds += o.SuccessSeconds
}

func (t *Tally) calls() int { return t.Succeeded + t.Failed }

// Report is what a server says of its calls of the last Window seconds.
type Report struct {
	Server      string
	Zone        string
	Incarnation uint64
	Sequence    uint64  // grows with each word of a life
	AgeSeconds  float64 // seconds since it was said, as those who passed it on held it
	Tally       Tally
}

const (
	// windowSeconds is for how long calls count, in seconds, and in how many buckets: the fleet has to know of a service within a second of its death.
	windowSeconds, buckets = 0.8, 4
	// enough own calls in the window decide alone: with half of them lost by chance at one in ten, ten say so once in a thousand windows.
	enough = 10
	// told is how many calls a word must tell of to have a voice, and voices how many are needed.
	told, voices = 1, 3
	// MaxReports bounds whose words are held: of more the voices would say the same.
	MaxReports = 128
	// maxCalls is what a word may tell of: a million a second. More is nonsense.
	maxCalls = 2e6
	// dragging is how many times the least mean of half a minute calls take that drag.
	dragging = 4.0
	// tryers is how many servers of a zone make one call to a dead service in each slot of so many seconds.
	tryers, slot = 3, 1.0
	// sickPart of what used to be out is let out to one that is sick, backPart to one that comes back, which grows by stepUp in each stepEvery seconds
	// in which it is fine: all of it is out again after two seconds and a half.
	sickPart, backPart, stepUp, stepEvery = 0.25, 0.05, 2.0, 0.5
	// lost parts of the calls by which a service fails, or is gone.
	failing, going = 0.5, 0.9
)

// Breaker is one server's judgement on one service.
type Breaker struct {
	name, zone string
	log        *timewindow.Buckets[Tally]
	lowest     timewindow.Minimum
	words      map[string]*heard
	state      State
	since      float64
	usual      float64 // calls out, in the mean of some seconds in which it was well
	level      float64 // that may be out while it returns
	stepAt     float64
	number     uint64
	tried      int64 // the slot in which it last had a call out
}

type heard struct {
	Report
	at float64
}

// New makes a judge that knows nothing: the service is well.
func New(name, zone string, now float64) *Breaker {
	j := &Breaker{name: name, zone: zone, lowest: timewindow.NewMinimum(6, 5, now), words: map[string]*heard{}, since: now}
	j.forget(now)
	return j
}

// forget drops what was seen of calls: it tells of the time before.
func (j *Breaker) forget(now float64) {
	j.log = timewindow.New[Tally](buckets, windowSeconds/buckets, now)
	clear(j.words)
}

// RecordCalls takes in what became of calls of this server since the last time, and how many are out.
func (j *Breaker) RecordCalls(now float64, t Tally, out float64) {
	j.log.Current(now).add(t)
	if t.Succeeded > 0 {
		j.lowest.Observe(now, t.SuccessSeconds/float64(t.Succeeded))
	}
	if out > 0 || t.calls() > 0 {
		j.tried = int64(now / slot)
	}
	if j.state == Closed {
		j.usual += 0.1 * (out - j.usual) // some tens of counts
	}
}

// HandleReport takes another server's word, and tells whether it counts. One that is older than what is there, or can't be, changes nothing.
func (j *Breaker) HandleReport(now float64, w Report) bool {
	t := &w.Tally
	if w.Server == "" || w.Server == j.name || t.Succeeded < 0 || t.Failed < 0 || t.Succeeded > maxCalls || t.Failed > maxCalls || !(t.SuccessSeconds >= 0) || math.IsInf(t.SuccessSeconds, 0) ||
		!(w.AgeSeconds >= 0 && w.AgeSeconds < windowSeconds) || w.AgeSeconds > now-j.since && j.state == HalfOpen {
		return false
	}
	was := j.words[w.Server]
	if was != nil && was.Incarnation == w.Incarnation && w.Sequence <= was.Sequence {
		return false
	}
	if was == nil && len(j.words) >= MaxReports {
		j.age(now)
		if len(j.words) >= MaxReports {
			return false
		}
	}
	j.words[w.Server] = &heard{w, now - w.AgeSeconds}
	return true
}

func (j *Breaker) age(now float64) {
	for name, w := range j.words {
		if now > w.at+windowSeconds {
			delete(j.words, name)
		}
	}
}

// GossipReports lists words to pass on, at most so many: this server's own, where it made calls lately, and the newest of others.
func (j *Breaker) GossipReports(now float64, life uint64, most int) (list []Report) {
	if t := j.own(now); t.calls() >= told {
		j.number++
		list = append(list, Report{Server: j.name, Zone: j.zone, Incarnation: life, Sequence: j.number, Tally: t})
	}
	j.age(now)
	others := slices.SortedFunc(maps.Values(j.words), func(a, b *heard) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.Server, b.Server)) })
	for _, w := range others[:min(len(others), max(0, most-len(list)))] {
		word := w.Report
		word.AgeSeconds = max(0, now-w.at)
		list = append(list, word)
	}
	return list
}

func (j *Breaker) own(now float64) (t Tally) {
	j.log.ForEach(now, func(b *Tally) { t.add(*b) })
	return t
}

// of is what a tally says.
func (j *Breaker) of(now float64, t *Tally) evidence {
	n := float64(t.calls())
	switch lost := float64(t.Failed); {
	case n == 0:
		return quiet
	case lost >= going*n:
		return gone
	case lost >= failing*n:
		return fails
	}
	if least := j.lowest.Value(now); least > 0 && t.SuccessSeconds > dragging*least*float64(t.Succeeded) {
		return drags
	}
	return fine
}

// evidence puts own calls and others' words together.
func (j *Breaker) evidence(now float64) evidence {
	own := j.own(now)
	if own.calls() >= enough {
		return j.of(now, &own)
	}
	j.age(now)
	mine := j.of(now, &own)
	heard := [][]evidence{j.votes(now, true), j.votes(now, false)}
	if j.zone != "" && j.state != Closed && j.state != Degraded {
		heard = heard[:1] // it may be well for the others, and yet not for this zone
	}
	for _, votes := range heard {
		if mine != quiet {
			votes = append(votes, mine)
		}
		if len(votes) >= voices {
			slices.Sort(votes)
			return votes[(len(votes)-1)/2] // of an even number the better one: rather a call in vain than a service shut for nothing
		}
	}
	return mine
}

// votes are what others' words come to, one each; of this server's zone alone where zones are told.
func (j *Breaker) votes(now float64, near bool) (votes []evidence) {
	for _, w := range j.words {
		if w.Tally.calls() >= told && now <= w.at+windowSeconds && (!near || j.zone != "" && w.Zone == j.zone) {
			votes = append(votes, j.of(now, &w.Tally))
		}
	}
	return votes
}

// Decide judges anew. It tells how many calls may be out, +Inf for as many as without it, and whether the state changed. names lists the
// servers of its zone, this one among them or not: each slot draws a few that try a dead service. It is asked for only then.
func (j *Breaker) Decide(now float64, names func() []string) (most float64, changed bool) {
	in := j.evidence(now)
	if j.state == HalfOpen && (in == fine || in == drags) && now >= j.stepAt+stepEvery {
		j.stepAt = now
		if j.level *= stepUp; j.level >= j.usual {
			in = whole
		}
	}
	next := step(j.state, in)
	changed = next != j.state
	if changed {
		if next == HalfOpen {
			j.level, j.stepAt = backPart*j.usual, now
			if j.state == Throttled {
				j.level = sickPart * j.usual
			}
			j.forget(now)
		}
		j.state, j.since = next, now
	}
	switch j.state {
	case Throttled:
		return j.let(now, sickPart*j.usual, names), changed
	case Open:
		return j.let(now, 0, names), changed
	case HalfOpen:
		return j.let(now, j.level, names), changed
	}
	return math.Inf(1), changed
}

// let is how many calls may be out where it is so many in the mean of all servers: under one, some servers have one in each slot, and a few always.
func (j *Breaker) let(now, level float64, names func() []string) float64 {
	switch {
	case level >= 1:
		return math.Floor(level)
	case float64(draw(j.name, now)) < level*math.MaxUint32, j.tries(now, names):
		return 1
	}
	return 0
}

// tries tells whether this server is one of those that try in the present slot: with one call, once it is dead. All who know of the same servers
// draw the same; who knows of none, or of few, is always one.
func (j *Breaker) tries(now float64, names func() []string) bool {
	if j.state == Open && j.tried == int64(now/slot) {
		return false
	}
	mine := draw(j.name, now)
	before := 0
	for _, name := range names() {
		if d := draw(name, now); name != j.name && (d < mine || d == mine && cmp.Less(name, j.name)) {
			before++
		}
	}
	return before < tryers
}

func draw(name string, now float64) uint32 {
	return crc32.ChecksumIEEE([]byte(strconv.FormatInt(int64(now/slot), 10) + " " + name))
}

// ProbeSlot numbers the slot where a call that may be out is a try, of which one is to be made in it; 0 where it is not.
func (j *Breaker) ProbeSlot(now float64) int64 {
	if j.state == Open {
		return int64(now/slot) + 1
	}
	return 0
}

// State is how the service stands, and since when.
func (j *Breaker) State() (State, float64) { return j.state, j.since }

// NextWakeup is when Decide is to be called, at the latest.
func (j *Breaker) NextWakeup(now float64) float64 {
	if j.state == HalfOpen {
		return max(now, j.stepAt+stepEvery)
	}
	return now + windowSeconds/buckets
}
