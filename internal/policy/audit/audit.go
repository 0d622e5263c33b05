// Package audit keeps what servers say they acted on, and answers who acted on which version from when to when, as far as the evidence goes.
// Where it has holes they are told as holes; nothing is filled in. There is no I/O and no clock in it.
package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

// Interval is a time in which a server acted on one version. Its times are Unix seconds by that server's own clock: between servers only
// the order of epochs tells what came first.
type Interval struct {
	N        uint64        // how many of its life came before it
	Epoch    release.Epoch // 0 for its own file, before it was told of any version
	Digest   string
	From, To float64 // To is when it was last known to go on, where it is the latest
	Batches  uint64  // decided under it
	Tasks    uint64  // read in these
	Why      string  // why it began
}

// Account is what one life of a server says of itself.
type Account struct {
	Name      string
	Life      uint64
	Started   float64 // by its own clock
	Seen      float64 // up to when it tells
	Dropped   uint64  // intervals that are not here
	Intervals []Interval
}

const (
	// maxIntervals of a life are kept: two a release, so thirty releases; the audit says where older ones are gone.
	maxIntervals = 64
	// maxLives of a name are kept: the present one and what is needed to see what one before did.
	maxLives = 4
	// maxNames is as many as the order has.
	maxNames = 4096
	// BriefIntervals are told unasked, so that others have the last of a server that dies.
	BriefIntervals = 4
)

// Book is a server's own account and what it heard of others.
type Book struct {
	own    Account
	others map[string][]Account // by name, latest life heard first
}

// NewBook begins a life's account.
func NewBook(name string, life uint64, now float64) *Book {
	return &Book{own: Account{Name: name, Life: life, Started: now, Seen: now}, others: map[string][]Account{}}
}

// Begin tells that the server acts on a version from now on.
func (b *Book) Begin(now float64, epoch release.Epoch, digest, why string) {
	b.Count(now, 0, 0)
	if n := len(b.own.Intervals); n >= maxIntervals {
		b.own.Intervals = slices.Delete(b.own.Intervals, 0, 1)
		b.own.Dropped++
	}
	b.own.Intervals = append(b.own.Intervals, Interval{N: b.own.Dropped + uint64(len(b.own.Intervals)), Epoch: epoch, Digest: digest, From: now, To: now, Why: why})
}

// Count adds what was decided under the present version. A clock that stepped back does not take back what was told.
func (b *Book) Count(now float64, batches, tasks uint64) {
	b.own.Seen = max(b.own.Seen, now)
	if n := len(b.own.Intervals); n > 0 {
		last := &b.own.Intervals[n-1]
		last.To, last.Batches, last.Tasks = max(last.To, now), last.Batches+batches, last.Tasks+tasks
	}
}

// Own is the whole account of this life.
func (b *Book) Own() Account { return clone(b.own, maxIntervals) }

// Brief is the account's latest part.
func (b *Book) Brief() Account { return clone(b.own, BriefIntervals) }

func clone(a Account, most int) Account {
	if cut := len(a.Intervals) - most; cut > 0 {
		a.Dropped += uint64(cut)
		a.Intervals = a.Intervals[cut:]
	}
	a.Intervals = slices.Clone(a.Intervals)
	return a
}

// Hear takes an account from its server or from somebody who heard it. What is known stays; of two tellings of one life the later one adds
// to the earlier, so that a brief one loses nothing.
func (b *Book) Hear(a Account) {
	if a.Name == b.own.Name && a.Life == b.own.Life || a.Name == "" || len(a.Intervals) > maxIntervals ||
		!slices.IsSortedFunc(a.Intervals, func(x, y Interval) int { return cmp.Compare(x.N, y.N) }) {
		return
	}
	lives, known := b.others[a.Name]
	if !known && len(b.others) >= maxNames {
		return
	}
	if i := slices.IndexFunc(lives, func(o Account) bool { return o.Life == a.Life }); i >= 0 {
		lives[i] = join(lives[i], a)
		return
	}
	if len(lives) >= maxLives { // the one heard longest ago, by its own clock
		oldest := slices.IndexFunc(lives, func(o Account) bool {
			return o.Seen == slices.MinFunc(lives, func(a, b Account) int { return cmp.Compare(a.Seen, b.Seen) }).Seen
		})
		if lives[oldest].Seen > a.Seen {
			return
		}
		lives = slices.Delete(lives, oldest, oldest+1)
	}
	b.others[a.Name] = append(lives, clone(a, maxIntervals))
}

// join puts two tellings of one life together: every interval that one of them has, as it was told last. It does not matter which came first, nor
// how often one comes.
func join(a, b Account) Account {
	if b.Seen < a.Seen {
		a, b = b, a
	}
	joined := Account{Name: b.Name, Life: b.Life, Started: b.Started, Seen: b.Seen}
	i, j := 0, 0
	for i < len(a.Intervals) || j < len(b.Intervals) {
		switch {
		case j == len(b.Intervals) || i < len(a.Intervals) && a.Intervals[i].N < b.Intervals[j].N:
			joined.Intervals = append(joined.Intervals, a.Intervals[i])
			i++
		case i == len(a.Intervals) || b.Intervals[j].N < a.Intervals[i].N:
			joined.Intervals = append(joined.Intervals, b.Intervals[j])
			j++
		default:
			later := b.Intervals[j]
			if a.Intervals[i].To > later.To {
				later = a.Intervals[i]
			}
			joined.Intervals = append(joined.Intervals, later)
			i, j = i+1, j+1
		}
	}
	if n := len(joined.Intervals); n > 0 {
		joined.Dropped = joined.Intervals[n-1].N + 1 - uint64(n)
	}
	return clone(joined, maxIntervals)
}

// Heard is what is known of names, all lives, as it was heard; nil asks for all.
func (b *Book) Heard(names []string) (list []Account) {
	if names == nil {
		names = slices.Sorted(maps.Keys(b.others))
	}
	for _, name := range names {
		for _, a := range b.others[name] {
			list = append(list, clone(a, maxIntervals))
		}
	}
	return list
}

// Forget drops the names that hold tells are nobody's any more.
func (b *Book) Forget(held func(name string) bool) {
	maps.DeleteFunc(b.others, func(name string, _ []Account) bool { return !held(name) })
}

// Hole is where the evidence has nothing.
type Hole struct {
	Name string
	Life uint64  // 0 where no life of it is known
	From float64 // by that server's clock; 0 from its start on
	To   float64 // 0 for no known end
	Why  string
}

// Behind is a server that is not on its version.
type Behind struct {
	Name   string
	Life   uint64
	On     release.Epoch
	Right  release.Epoch
	For    float64 // seconds, as far as the leader saw
	Why    string
	Absent float64 // seconds for which the leader heard nothing, where that is why
}

// Report is what an audit comes to.
type Report struct {
	Newest   release.Epoch
	Accounts []Account // by name, then by start
	Behind   []Behind
	Holes    []Hole
	Alarms   []string // what must never be
}

// fresh is how old the latest word of a server that is there may be, in seconds: a few briefs.
const fresh = 10

// Make holds accounts against the order and what the leader knows. alive tells which lives told of themselves just now; since leaves out
// what ended before that epoch.
func Make(o *release.Log, standings []lease.ServerStatus, accounts []Account, alive map[uint64]bool, since release.Epoch) Report {
	r := Report{Newest: o.NewestEpoch()}
	all := NewBook("", 0, 0)
	for _, a := range accounts {
		all.Hear(a)
	}
	known := map[release.Epoch]map[string][]string{} // digests of an epoch, and who says so
	say := func(e release.Epoch, digest, who string) {
		if e != 0 {
			if known[e] == nil {
				known[e] = map[string][]string{}
			}
			known[e][digest] = append(known[e][digest], who)
		}
	}
	for _, v := range []*release.Version{&o.Current, o.Next, o.Previous} {
		if v != nil {
			say(v.Epoch, v.Digest, "the order")
		}
	}
	for _, m := range o.History {
		say(m.Epoch, m.Digest, "the order")
	}
	for _, name := range slices.Sorted(maps.Keys(all.others)) {
		lives := all.others[name]
		slices.SortFunc(lives, func(a, b Account) int { return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Life, b.Life)) })
		for i, a := range lives {
			for _, t := range a.Intervals {
				say(t.Epoch, t.Digest, name)
			}
			if a.Dropped > 0 {
				to := a.Seen
				if len(a.Intervals) > 0 {
					to = a.Intervals[0].From
				}
				r.Holes = append(r.Holes, Hole{name, a.Life, a.Started, to, fmt.Sprintf("%d intervals are not kept", a.Dropped)})
			}
			if !alive[a.Life] {
				h := Hole{Name: name, Life: a.Life, From: a.Seen, Why: "nothing was heard of it after this"}
				if i+1 < len(lives) {
					h.To = lives[i+1].Started
				}
				r.Holes = append(r.Holes, h)
			}
			a.Intervals = slices.DeleteFunc(a.Intervals, func(t Interval) bool { return t.Epoch < since })
			r.Accounts = append(r.Accounts, a)
		}
	}
	for _, s := range standings {
		if !slices.ContainsFunc(all.others[s.Name], func(a Account) bool { return a.Life == s.Incarnation }) {
			r.Holes = append(r.Holes, Hole{Name: s.Name, Life: s.Incarnation, Why: "nobody who answered has its account"})
		}
		b := Behind{Name: s.Name, Life: s.Incarnation, On: s.ActiveEpoch, Right: s.AssignedEpoch, For: s.SecondsBehind}
		switch {
		case s.EjectionReason != "":
			b.Why = "shut out: " + s.EjectionReason
		case !s.Reported:
			b.Why = "not heard since this leader leads"
		case s.SecondsSinceHeard > fresh:
			b.Why, b.Absent = "absent or cut off", s.SecondsSinceHeard
		case s.ActiveEpoch != s.AssignedEpoch && s.BlockedBy != "":
			b.Why = s.BlockedBy
		case s.ActiveEpoch != s.AssignedEpoch:
			b.Why = "on its way"
		default:
			continue
		}
		r.Behind = append(r.Behind, b)
	}
	for _, e := range slices.Sorted(maps.Keys(known)) {
		if len(known[e]) > 1 {
			text := fmt.Sprintf("epoch %s has %d digests:", e, len(known[e]))
			for _, digest := range slices.Sorted(maps.Keys(known[e])) {
				who := slices.Compact(known[e][digest])
				text += fmt.Sprintf(" %.12s by %s and %d more;", digest, who[0], len(who)-1)
			}
			r.Alarms = append(r.Alarms, text)
		}
	}
	return r
}
