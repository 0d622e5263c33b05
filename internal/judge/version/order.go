// Package version decides which version of the fleet's settings holds. Versions stand in one order that a majority of named voters commits;
// everybody else follows. There is no I/O and no clock in it: who calls it tells what came and when, and sends what it hands back.
//
// Order is what the committed commands make; Voter is one voter's part in committing them; Harm judges a release by what it does.
package version

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"swiftcourse/internal/judge/stance"
)

// Epoch numbers a version: the founding of the voters' group in the upper half, counted from that founding in the lower. A higher one is
// newer. It is written as two numbers with a point between.
type Epoch uint64

// At puts an epoch together.
func At(founding, count uint32) Epoch { return Epoch(founding)<<32 | Epoch(count) }

// Founding is the founding that an epoch belongs to.
func (e Epoch) Founding() uint32 { return uint32(e >> 32) }

func (e Epoch) String() string { return fmt.Sprintf("%d.%d", uint32(e>>32), uint32(e)) }

// ParseEpoch reads what String wrote.
func ParseEpoch(text string) (Epoch, error) {
	upper, lower, ok := strings.Cut(text, ".")
	founding, err1 := strconv.ParseUint(upper, 10, 32)
	count, err2 := strconv.ParseUint(lower, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return 0, fmt.Errorf("%q is no epoch such as 3.17", text)
	}
	return At(uint32(founding), uint32(count)), nil
}

// Version is one version of what decisions depend on.
type Version struct {
	Epoch  Epoch
	Digest string  // of Text and Build, see Digest
	Author string  // who released it
	At     float64 // when, in Unix seconds by the author's clock: for people, nothing is decided by it
	Text   string  // in its canonical form; "" leaves each server to its own file
	Build  string  // of the program that it is meant for, "" for any
}

// Digest is the hexadecimal SHA-256 of a version's text and build.
func Digest(text, build string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(text)) + ":" + text + build))
	return hex.EncodeToString(sum[:])
}

// Whole tells whether a version is as its digest says.
func (v *Version) Whole() bool { return v.Digest == Digest(v.Text, v.Build) }

// Bounds of the order, so that its copies fit a small server: about half a megabyte with all of them reached.
const (
	maxText  = 64 << 10 // bytes; an operator's file with every key is under 2 KiB
	maxName  = 64       // bytes of a name, author or build
	maxWhy   = 200      // bytes of a cause
	maxNames = 4096     // servers, four times the largest fleet that is played
	maxPast  = 64       // versions that are told of after they are over
	maxWaves = 16
	maxRows  = 64   // rows of counts in one command
	maxOver  = 4096 // rows that are told of as over after they were added up
	maxCells = 4096 // of counts, beside the one for the rest
	maxTally = 1e15 // what a row may have counted: a million tasks a second for thirty years
)

// Kind names a command.
type Kind uint8

const (
	Release Kind = iota // a new version, in waves
	Widen               // the version on its way goes to the next wave, from the last wave to all
	Revert              // what held before becomes a new version for all, see revert
	Hold                // a name belongs to a life
	Shut                // a name is shut out
	Admit               // it is not any more
	Forget              // a name belongs to nobody
	Lift                // epochs go on from a founding that a lost group reached, see lift
	Close               // rows of counts are over and added up
	kinds
)

var kindNames = [kinds]string{"release", "widen", "revert", "hold", "shut", "admit", "forget", "lift", "close"}

func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Command asks for a change of the order. Which fields count follows from its kind.
type Command struct {
	Kind   Kind
	ID     uint64    // drawn by who asks; a repeat of the latest from the same author changes nothing and succeeds
	Author string    // all
	At     float64   // all: Unix seconds, for people
	On     Epoch     // Release, Widen, Revert, Lift: the newest that the author knew; another one refuses it
	Text   string    // Release
	Build  string    // Release
	Digest string    // Release
	Waves  []float64 // Release: parts of the fleet, rising, the last below 1 or 1; none for all at once
	Name   string    // Hold, Shut, Admit, Forget
	Life   uint64    // Hold; Shut, Forget: 0 for any
	Was    uint64    // Hold: the life that had the name, 0 for nobody. Lift: the founding that epochs go on from
	Why    string    // Shut, Revert
	Rows   []Row     // Close
}

// Row is what one server counted, see internal/judge/shared/counts, as it was told under a number.
type Row struct {
	Row, Number uint64
	Cells       []stance.CounterCell // none where only the numbers matter
}

// Mark is what is kept of a version once it is over.
type Mark struct {
	Epoch  Epoch
	Digest string
	Author string
	At     float64
	Fate   string // what became of it
}

// Outed tells why a name is shut out.
type Outed struct {
	Life uint64 // 0 where every life of that name is
	By   string
	Why  string
	On   Epoch // what held then
	At   float64
}

// Order is what the committed commands come to. All copies that applied the same commands are equal; Apply is its only change.
type Order struct {
	Count uint64 // of the commands applied, refused ones too, over all foundings
	Base  Version
	Prior *Version  // what Base followed, for rolling back, nil where nothing is kept
	Next  *Version  // on its way in waves, nil where none is
	Waves []float64 // of Next
	Wave  int       // that Next has reached
	Upto  uint32    // whose point is at most this acts on Next
	Past  []Mark    // the latest, oldest first
	Holds map[string]uint64
	Out   map[string]Outed
	Done  map[string]uint64    // the latest command of each author, see Command.ID
	Seats map[uint64]string    // the voters' lives, by name
	Over  []Row                // the latest rows of counts that are over, without their cells, oldest first
	Sums  []stance.CounterCell // what those rows came to, in the order of cells
}

// Found makes the first order of a founding from the newest that anybody knew, the zero Order where nobody knew any. What was on its way is
// over; what held for most holds again, as a new version, for all.
func Found(known *Order, founding uint32, seats map[uint64]string) *Order {
	o := known.Clone()
	o.Seats = maps.Clone(seats)
	if o.Base.Digest == "" {
		o.Base.Digest, o.Base.Author = Digest("", ""), "founding"
	}
	o.over("lost with the voters that knew of it", "the voters founded their group anew")
	o.Base.Epoch = At(founding, 1)
	// Who was late may have been let in again by the group that was lost, and act. It is looked at anew; what an operator said stays.
	maps.DeleteFunc(o.Out, func(_ string, out Outed) bool { return out.Life != 0 })
	o.Count++
	return o
}

// Clone copies an order.
func (o *Order) Clone() *Order {
	c := *o
	for _, v := range []**Version{&c.Next, &c.Prior} {
		if *v != nil {
			kept := **v
			*v = &kept
		}
	}
	c.Waves, c.Past = slices.Clone(o.Waves), slices.Clone(o.Past)
	c.Holds, c.Out, c.Done, c.Seats = maps.Clone(o.Holds), maps.Clone(o.Out), maps.Clone(o.Done), maps.Clone(o.Seats)
	c.Over, c.Sums = slices.Clone(o.Over), slices.Clone(o.Sums)
	if c.Holds == nil {
		c.Holds = map[string]uint64{}
	}
	if c.Out == nil {
		c.Out = map[string]Outed{}
	}
	if c.Done == nil {
		c.Done = map[string]uint64{}
	}
	if c.Seats == nil {
		c.Seats = map[uint64]string{}
	}
	return &c
}

// Newest is the highest epoch that was given out.
func (o *Order) Newest() Epoch {
	if o.Next != nil {
		return o.Next.Epoch
	}
	return o.Base.Epoch
}

// After tells whether an order knows more than another one.
func (o *Order) After(other *Order) bool {
	if a, b := o.Base.Epoch.Founding(), other.Base.Epoch.Founding(); a != b {
		return a > b
	}
	return o.Count > other.Count
}

// For is the version on which a server has to act. It never goes back from one command to the next.
func (o *Order) For(name string) *Version {
	if o.Next != nil && point(name, o.Next.Epoch) <= o.Upto {
		return o.Next
	}
	return &o.Base
}

// Version finds a version that is in force.
func (o *Order) Version(e Epoch) *Version {
	switch {
	case o.Next != nil && o.Next.Epoch == e:
		return o.Next
	case o.Base.Epoch == e:
		return &o.Base
	}
	return nil
}

// point places a server in a release, another place in each; those with small ones are first.
func point(name string, e Epoch) uint32 { return crc32.ChecksumIEEE([]byte(e.String() + " " + name)) }

// upto is the point up to which a part of the named servers is, at least one server's where there is any: it only rises with the part.
func (o *Order) upto(e Epoch, part float64) uint32 {
	if part >= 1 {
		return math.MaxUint32
	}
	points := make([]uint32, 0, len(o.Holds))
	for name := range o.Holds {
		points = append(points, point(name, e))
	}
	if len(points) == 0 {
		return uint32(part * math.MaxUint32)
	}
	slices.Sort(points)
	return points[min(len(points), max(1, int(math.Ceil(part*float64(len(points))))))-1]
}

// The causes for which a command is refused; each says what to do.
var (
	ErrStale   = errors.New("somebody else changed the version meanwhile; look at it and ask again")
	ErrOnWay   = errors.New("a release is on its way; wait for its end or roll it back")
	ErrNoneWay = errors.New("no release is on its way, and nothing before this version is kept")
	ErrNotSame = errors.New("the digest is not that of the text and build")
	ErrTaken   = errors.New("the name belongs to another life")
	ErrFull    = errors.New("there are too many names; forget those that are gone")
	ErrBounds  = errors.New("a part of the command is too long or out of range")
	ErrNoName  = errors.New("nobody of that name is there")
)

// bounded tells whether a command keeps to the bounds.
func (c *Command) bounded() bool {
	rising := 0.0
	for _, w := range c.Waves {
		if !(w > rising && w <= 1) {
			return false
		}
		rising = w
	}
	cells := 0
	for _, r := range c.Rows {
		cells += len(r.Cells)
		for _, n := range r.Cells {
			if len(n.Tenant) > maxName || len(n.Class) > maxName || !(stance.RequestCounts{Received: maxTally, Finished: maxTally, Rejected: maxTally, Abandoned: maxTally}).Covers(n.RequestCounts) {
				return false
			}
		}
	}
	return len(c.Rows) <= maxRows && cells <= maxCells && c.Kind < kinds && len(c.Text) <= maxText && len(c.Build) <= maxName && len(c.Author) <= maxName && len(c.Name) <= maxName &&
		len(c.Why) <= maxWhy && len(c.Waves) <= maxWaves && !math.IsNaN(c.At) && !math.IsInf(c.At, 0)
}

// Apply makes one committed command's change. A refused one changes nothing but the count; the error is the same on every copy.
func (o *Order) Apply(c *Command) error {
	o.Count++
	if !c.bounded() {
		return ErrBounds
	}
	if c.ID != 0 && o.Done[c.Author] == c.ID {
		return nil
	}
	if err := o.apply(c); err != nil {
		return err
	}
	if c.ID != 0 {
		if _, known := o.Done[c.Author]; !known && len(o.Done) >= maxPast { // any will do: a repeat follows within seconds
			delete(o.Done, slices.Min(slices.Collect(maps.Keys(o.Done))))
		}
		o.Done[c.Author] = c.ID
	}
	return nil
}

func (o *Order) apply(c *Command) error {
	switch c.Kind {
	case Release, Widen, Revert, Lift:
		if c.On != o.Newest() {
			return ErrStale
		}
	}
	switch c.Kind {
	case Release:
		return o.release(c)
	case Widen:
		if o.Next == nil {
			return ErrNoneWay
		}
		if o.Wave++; o.Wave < len(o.Waves) {
			o.Upto = max(o.Upto, o.upto(o.Next.Epoch, o.Waves[o.Wave]))
			return nil
		}
		o.follow(*o.Next)
		o.Next, o.Waves, o.Wave, o.Upto = nil, nil, 0, 0
	case Revert:
		return o.revert(c)
	case Lift:
		return o.lift(c)
	case Hold:
		holder, held := o.Holds[c.Name]
		switch {
		case c.Name == "" || c.Life == 0:
			return ErrBounds
		case held && holder != c.Was && holder != c.Life:
			return ErrTaken
		case !held && len(o.Holds) >= maxNames:
			return ErrFull
		}
		o.Holds[c.Name] = c.Life
		if out, is := o.Out[c.Name]; is && out.Life != 0 && out.Life != c.Life {
			delete(o.Out, c.Name) // another life was
		}
	case Shut:
		if _, known := o.Out[c.Name]; !known && len(o.Out) >= maxNames {
			return ErrFull
		}
		if c.Life != 0 && o.Holds[c.Name] != c.Life {
			return ErrNoName // it is not that life's any more
		}
		o.Out[c.Name] = Outed{Life: c.Life, By: c.Author, Why: c.Why, On: o.Newest(), At: c.At}
	case Admit:
		if _, out := o.Out[c.Name]; !out {
			return ErrNoName
		}
		delete(o.Out, c.Name)
	case Forget:
		if holder, held := o.Holds[c.Name]; !held || c.Life != 0 && holder != c.Life {
			return ErrNoName
		}
		delete(o.Holds, c.Name)
		if out := o.Out[c.Name]; out.Life != 0 {
			delete(o.Out, c.Name)
		}
	case Close:
		for _, r := range c.Rows {
			o.close(r)
		}
	}
	return nil
}

// Closed tells whether a row of counts is over, and under which number it was added up.
func (o *Order) Closed(row uint64) (number uint64, over bool) {
	for i := len(o.Over) - 1; i >= 0; i-- {
		if o.Over[i].Row == row {
			return o.Over[i].Number, true
		}
	}
	return 0, false
}

// close adds a row up, once.
func (o *Order) close(r Row) {
	if _, over := o.Closed(r.Row); over {
		return
	}
	if len(o.Over) >= maxOver { // its server was gone for thousands of restarts: see docs/shared.md
		o.Over = append(o.Over[:0], o.Over[1:]...)
	}
	o.Over = append(o.Over, Row{Row: r.Row, Number: r.Number})
	for _, n := range r.Cells {
		at, known := slices.BinarySearchFunc(o.Sums, n.CounterKey, compareCell)
		if !known && len(o.Sums) >= maxCells {
			n.CounterKey = stance.CounterKey{}
			at, known = slices.BinarySearchFunc(o.Sums, n.CounterKey, compareCell)
		}
		if !known {
			o.Sums = slices.Insert(o.Sums, at, stance.CounterCell{CounterKey: n.CounterKey})
		}
		o.Sums[at].RequestCounts = o.Sums[at].Add(n.RequestCounts)
	}
}

func compareCell(n stance.CounterCell, c stance.CounterKey) int { return n.CounterKey.Compare(c) }

func (o *Order) release(c *Command) error {
	switch {
	case o.Next != nil:
		return ErrOnWay
	case c.Digest != Digest(c.Text, c.Build):
		return ErrNotSame
	}
	next := Version{Epoch: o.Newest() + 1, Digest: c.Digest, Author: c.Author, At: c.At, Text: c.Text, Build: c.Build}
	if len(c.Waves) == 0 || c.Waves[0] >= 1 {
		o.follow(next)
		return nil
	}
	o.Next, o.Waves, o.Wave = &next, slices.Clone(c.Waves), 0
	o.Upto = o.upto(next.Epoch, o.Waves[0])
	return nil
}

// follow has a version hold for all.
func (o *Order) follow(next Version) {
	o.mark(&o.Base, "followed by "+next.Epoch.String())
	prior := o.Base
	o.Prior, o.Base = &prior, next
}

// revert never goes back: the text that held before has a new, higher epoch. What is on its way is over; where nothing is, the base is.
func (o *Order) revert(c *Command) error {
	if o.Next != nil {
		o.over("rolled back: "+c.Why, c.Author)
		o.Base.At = c.At
		return nil
	}
	if o.Prior == nil {
		return ErrNoneWay
	}
	again := *o.Prior
	again.Epoch, again.Author, again.At = o.Base.Epoch+1, c.Author, c.At
	o.follow(again)
	o.Past[len(o.Past)-1].Fate = "rolled back: " + c.Why
	return nil
}

// lift has what holds go on under a founding's number above one that a lost group reached. It guards against a server that was cut off while all
// voters forgot, and whose clock was ahead of theirs: it would be ahead of every version for ever, as no server goes back.
func (o *Order) lift(c *Command) error {
	if c.Was <= uint64(o.Base.Epoch.Founding()) || c.Was > math.MaxUint32 {
		return ErrBounds
	}
	o.over("lifted over what a lost group released", c.Author)
	o.Base.Epoch, o.Base.At = At(uint32(c.Was), 1), c.At
	return nil
}

// over ends what is on its way, or else only gives the base a new epoch.
func (o *Order) over(fate, author string) {
	epoch := o.Newest() + 1
	if o.Next != nil {
		o.mark(o.Next, fate)
		o.Next, o.Waves, o.Wave, o.Upto = nil, nil, 0, 0
	}
	o.mark(&o.Base, "again as "+epoch.String())
	o.Base.Epoch, o.Base.Author = epoch, author
}

func (o *Order) mark(v *Version, fate string) {
	if v.Epoch == 0 {
		return
	}
	if len(o.Past) >= maxPast {
		o.Past = append(o.Past[:0], o.Past[1:]...)
	}
	o.Past = append(o.Past, Mark{Epoch: v.Epoch, Digest: v.Digest, Author: v.Author, At: v.At, Fate: fate})
}
