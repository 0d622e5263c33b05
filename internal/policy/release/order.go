// Package release decides which version of the fleet's settings holds. Versions stand in one order that a majority of named voters commits;
// everybody else follows. There is no I/O and no clock in it: who calls it tells what came and when, and sends what it hands back.
//
// Order is what the committed commands make; Voter is one voter's part in committing them; Harm judges a release by what it does.
package release

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

	"swiftcourse/internal/policy/serving"
)

// Epoch numbers a version: the founding of the voters' group in the upper half, counted from that founding in the lower. A higher one is
// newer. It is written as two numbers with a point between.
type Epoch uint64

// NewEpoch puts an epoch together.
func NewEpoch(founding, count uint32) Epoch { return Epoch(founding)<<32 | Epoch(count) }

// ClusterID is the founding that an epoch belongs to.
func (e Epoch) ClusterID() uint32 { return uint32(e >> 32) }

func (e Epoch) String() string { return fmt.Sprintf("%d.%d", uint32(e>>32), uint32(e)) }

// ParseEpoch reads what String wrote.
func ParseEpoch(text string) (Epoch, error) {
	upper, lower, ok := strings.Cut(text, ".")
	founding, err1 := strconv.ParseUint(upper, 10, 32)
	count, err2 := strconv.ParseUint(lower, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return 0, fmt.Errorf("%q is no epoch such as 3.17", text)
	}
	return NewEpoch(uint32(founding), uint32(count)), nil
}

// Version is one version of what decisions depend on.
type Version struct {
	Epoch      Epoch
	Digest     string  // of Text and Build, see Digest
	Author     string  // who released it
	ReleasedAt float64 `json:"At"` // when, in Unix seconds by the author's clock: for people, nothing is decided by it
	Text       string  // in its canonical form; "" leaves each server to its own file
	Build      string  // of the program that it is meant for, "" for any
}

// Digest is the hexadecimal SHA-256 of a version's text and build.
func Digest(text, build string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(text)) + ":" + text + build))
	return hex.EncodeToString(sum[:])
}

// DigestMatches tells whether a version is as its digest says.
func (v *Version) DigestMatches() bool { return v.Digest == Digest(v.Text, v.Build) }

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
	KindRelease        Kind = iota // a new version, in waves
	KindAdvanceRollout             // the version on its way goes to the next wave, from the last wave to all
	KindRollback                   // what held before becomes a new version for all, see revert
	KindRegister                   // a name belongs to a life
	KindEject                      // a name is shut out
	KindReadmit                    // it is not any more
	KindUnregister                 // a name belongs to nobody
	KindBumpEpoch                  // epochs go on from a founding that a lost group reached, see lift
	KindCloseCounters              // rows of counts are over and added up
	kindCount
)

var kindNames = [kindCount]string{"release", "widen", "revert", "hold", "shut", "admit", "forget", "lift", "close"}

func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Command asks for a change of the order. Which fields count follows from its kind.
type Command struct {
	Kind          Kind
	ID            uint64       // drawn by who asks; a repeat of the latest from the same author changes nothing and succeeds
	Author        string       // all
	IssuedAt      float64      `json:"At"` // all: Unix seconds, for people
	ExpectedEpoch Epoch        `json:"On"` // Release, Widen, Revert, Lift: the newest that the author knew; another one refuses it
	Text          string       // Release
	Build         string       // Release
	Digest        string       // Release
	Waves         []float64    // Release: parts of the fleet, rising, the last below 1 or 1; none for all at once
	Name          string       // Hold, Shut, Admit, Forget
	Incarnation   uint64       `json:"Life"` // Hold; Shut, Forget: 0 for any
	Previous      uint64       `json:"Was"`  // Hold: the life that had the name, 0 for nobody. Lift: the founding that epochs go on from
	Reason        string       `json:"Why"`  // Shut, Revert
	CounterRows   []CounterRow `json:"Rows"` // Close
}

// CounterRow is what one server counted, see internal/judge/shared/counts, as it was told under a number.
type CounterRow struct {
	ID       uint64                `json:"Row"`
	Sequence uint64                `json:"Number"`
	Cells    []serving.CounterCell // none where only the numbers matter
}

// Entry is what is kept of a version once it is over.
type Entry struct {
	Epoch      Epoch
	Digest     string
	Author     string
	ReleasedAt float64 `json:"At"`
	Outcome    string  `json:"Fate"` // what became of it
}

// Ejection tells why a name is shut out.
type Ejection struct {
	Incarnation uint64  `json:"Life"` // 0 where every life of that name is
	Author      string  `json:"By"`
	Reason      string  `json:"Why"`
	Epoch       Epoch   `json:"On"` // what held then
	EjectedAt   float64 `json:"At"`
}

// Log is what the committed commands come to. All copies that applied the same commands are equal; Apply is its only change.
type Log struct {
	AppliedCount   uint64                `json:"Count"` // of the commands applied, refused ones too, over all foundings
	Current        Version               `json:"Base"`
	Previous       *Version              `json:"Prior"` // what Base followed, for rolling back, nil where nothing is kept
	Next           *Version              // on its way in waves, nil where none is
	Waves          []float64             // of Next
	WaveIndex      int                   `json:"Wave"` // that Next has reached
	WaveLimit      uint32                `json:"Upto"` // whose point is at most this acts on Next
	History        []Entry               `json:"Past"` // the latest, oldest first
	Members        map[string]uint64     `json:"Holds"`
	Ejected        map[string]Ejection   `json:"Out"`
	LastCommandIDs map[string]uint64     `json:"Done"`  // the latest command of each author, see Command.ID
	Voters         map[uint64]string     `json:"Seats"` // the voters' lives, by name
	ClosedRows     []CounterRow          `json:"Over"`  // the latest rows of counts that are over, without their cells, oldest first
	ClosedTotals   []serving.CounterCell `json:"Sums"`  // what those rows came to, in the order of cells
}

// BootstrapLog makes the first order of a founding from the newest that anybody knew, the zero Order where nobody knew any. What was on its way is
// over; what held for most holds again, as a new version, for all.
func BootstrapLog(known *Log, founding uint32, seats map[uint64]string) *Log {
	o := known.Clone()
	o.Voters = maps.Clone(seats)
	if o.Current.Digest == "" {
		o.Current.Digest, o.Current.Author = Digest("", ""), "founding"
	}
	o.over("lost with the voters that knew of it", "the voters founded their group anew")
	o.Current.Epoch = NewEpoch(founding, 1)
	// Who was late may have been let in again by the group that was lost, and act. It is looked at anew; what an operator said stays.
	maps.DeleteFunc(o.Ejected, func(_ string, out Ejection) bool { return out.Incarnation != 0 })
	o.AppliedCount++
	return o
}

// Clone copies an order.
func (o *Log) Clone() *Log {
	c := *o
	for _, v := range []**Version{&c.Next, &c.Previous} {
		if *v != nil {
			kept := **v
			*v = &kept
		}
	}
	c.Waves, c.History = slices.Clone(o.Waves), slices.Clone(o.History)
	c.Members, c.Ejected, c.LastCommandIDs, c.Voters = maps.Clone(o.Members), maps.Clone(o.Ejected), maps.Clone(o.LastCommandIDs), maps.Clone(o.Voters)
	c.ClosedRows, c.ClosedTotals = slices.Clone(o.ClosedRows), slices.Clone(o.ClosedTotals)
	if c.Members == nil {
		c.Members = map[string]uint64{}
	}
	if c.Ejected == nil {
		c.Ejected = map[string]Ejection{}
	}
	if c.LastCommandIDs == nil {
		c.LastCommandIDs = map[string]uint64{}
	}
	if c.Voters == nil {
		c.Voters = map[uint64]string{}
	}
	return &c
}

// NewestEpoch is the highest epoch that was given out.
func (o *Log) NewestEpoch() Epoch {
	if o.Next != nil {
		return o.Next.Epoch
	}
	return o.Current.Epoch
}

// NewerThan tells whether an order knows more than another one.
func (o *Log) NewerThan(other *Log) bool {
	if a, b := o.Current.Epoch.ClusterID(), other.Current.Epoch.ClusterID(); a != b {
		return a > b
	}
	return o.AppliedCount > other.AppliedCount
}

// VersionFor is the version on which a server has to act. It never goes back from one command to the next.
func (o *Log) VersionFor(name string) *Version {
	if o.Next != nil && point(name, o.Next.Epoch) <= o.WaveLimit {
		return o.Next
	}
	return &o.Current
}

// FindVersion finds a version that is in force.
func (o *Log) FindVersion(e Epoch) *Version {
	switch {
	case o.Next != nil && o.Next.Epoch == e:
		return o.Next
	case o.Current.Epoch == e:
		return &o.Current
	}
	return nil
}

// point places a server in a release, another place in each; those with small ones are first.
func point(name string, e Epoch) uint32 { return crc32.ChecksumIEEE([]byte(e.String() + " " + name)) }

// upto is the point up to which a part of the named servers is, at least one server's where there is any: it only rises with the part.
func (o *Log) upto(e Epoch, part float64) uint32 {
	if part >= 1 {
		return math.MaxUint32
	}
	points := make([]uint32, 0, len(o.Members))
	for name := range o.Members {
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
	ErrStaleEpoch        = errors.New("somebody else changed the version meanwhile; look at it and ask again")
	ErrRolloutInProgress = errors.New("a release is on its way; wait for its end or roll it back")
	ErrNoRollout         = errors.New("no release is on its way, and nothing before this version is kept")
	ErrDigestMismatch    = errors.New("the digest is not that of the text and build")
	ErrNameTaken         = errors.New("the name belongs to another life")
	ErrTooManyNames      = errors.New("there are too many names; forget those that are gone")
	ErrOutOfBounds       = errors.New("a part of the command is too long or out of range")
	ErrUnknownName       = errors.New("nobody of that name is there")
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
	for _, r := range c.CounterRows {
		cells += len(r.Cells)
		for _, n := range r.Cells {
			if len(n.Tenant) > maxName || len(n.Class) > maxName || !(serving.RequestCounts{Received: maxTally, Finished: maxTally, Rejected: maxTally, Abandoned: maxTally}).Covers(n.RequestCounts) {
				return false
			}
		}
	}
	return len(c.CounterRows) <= maxRows && cells <= maxCells && c.Kind < kindCount && len(c.Text) <= maxText && len(c.Build) <= maxName && len(c.Author) <= maxName && len(c.Name) <= maxName &&
		len(c.Reason) <= maxWhy && len(c.Waves) <= maxWaves && !math.IsNaN(c.IssuedAt) && !math.IsInf(c.IssuedAt, 0)
}

// Apply makes one committed command's change. A refused one changes nothing but the count; the error is the same on every copy.
func (o *Log) Apply(c *Command) error {
	o.AppliedCount++
	if !c.bounded() {
		return ErrOutOfBounds
	}
	if c.ID != 0 && o.LastCommandIDs[c.Author] == c.ID {
		return nil
	}
	if err := o.apply(c); err != nil {
		return err
	}
	if c.ID != 0 {
		if _, known := o.LastCommandIDs[c.Author]; !known && len(o.LastCommandIDs) >= maxPast { // any will do: a repeat follows within seconds
			delete(o.LastCommandIDs, slices.Min(slices.Collect(maps.Keys(o.LastCommandIDs))))
		}
		o.LastCommandIDs[c.Author] = c.ID
	}
	return nil
}

func (o *Log) apply(c *Command) error {
	switch c.Kind {
	case KindRelease, KindAdvanceRollout, KindRollback, KindBumpEpoch:
		if c.ExpectedEpoch != o.NewestEpoch() {
			return ErrStaleEpoch
		}
	}
	switch c.Kind {
	case KindRelease:
		return o.release(c)
	case KindAdvanceRollout:
		if o.Next == nil {
			return ErrNoRollout
		}
		if o.WaveIndex++; o.WaveIndex < len(o.Waves) {
			o.WaveLimit = max(o.WaveLimit, o.upto(o.Next.Epoch, o.Waves[o.WaveIndex]))
			return nil
		}
		o.follow(*o.Next)
		o.Next, o.Waves, o.WaveIndex, o.WaveLimit = nil, nil, 0, 0
	case KindRollback:
		return o.revert(c)
	case KindBumpEpoch:
		return o.lift(c)
	case KindRegister:
		holder, held := o.Members[c.Name]
		switch {
		case c.Name == "" || c.Incarnation == 0:
			return ErrOutOfBounds
		case held && holder != c.Previous && holder != c.Incarnation:
			return ErrNameTaken
		case !held && len(o.Members) >= maxNames:
			return ErrTooManyNames
		}
		o.Members[c.Name] = c.Incarnation
		if out, is := o.Ejected[c.Name]; is && out.Incarnation != 0 && out.Incarnation != c.Incarnation {
			delete(o.Ejected, c.Name) // another life was
		}
	case KindEject:
		if _, known := o.Ejected[c.Name]; !known && len(o.Ejected) >= maxNames {
			return ErrTooManyNames
		}
		if c.Incarnation != 0 && o.Members[c.Name] != c.Incarnation {
			return ErrUnknownName // it is not that life's any more
		}
		o.Ejected[c.Name] = Ejection{Incarnation: c.Incarnation, Author: c.Author, Reason: c.Reason, Epoch: o.NewestEpoch(), EjectedAt: c.IssuedAt}
	case KindReadmit:
		if _, out := o.Ejected[c.Name]; !out {
			return ErrUnknownName
		}
		delete(o.Ejected, c.Name)
	case KindUnregister:
		if holder, held := o.Members[c.Name]; !held || c.Incarnation != 0 && holder != c.Incarnation {
			return ErrUnknownName
		}
		delete(o.Members, c.Name)
		if out := o.Ejected[c.Name]; out.Incarnation != 0 {
			delete(o.Ejected, c.Name)
		}
	case KindCloseCounters:
		for _, r := range c.CounterRows {
			o.close(r)
		}
	}
	return nil
}

// ClosedRow tells whether a row of counts is over, and under which number it was added up.
func (o *Log) ClosedRow(row uint64) (number uint64, over bool) {
	for i := len(o.ClosedRows) - 1; i >= 0; i-- {
		if o.ClosedRows[i].ID == row {
			return o.ClosedRows[i].Sequence, true
		}
	}
	return 0, false
}

// close adds a row up, once.
func (o *Log) close(r CounterRow) {
	if _, over := o.ClosedRow(r.ID); over {
		return
	}
	if len(o.ClosedRows) >= maxOver { // its server was gone for thousands of restarts: see docs/shared.md
		o.ClosedRows = append(o.ClosedRows[:0], o.ClosedRows[1:]...)
	}
	o.ClosedRows = append(o.ClosedRows, CounterRow{ID: r.ID, Sequence: r.Sequence})
	for _, n := range r.Cells {
		at, known := slices.BinarySearchFunc(o.ClosedTotals, n.CounterKey, compareCell)
		if !known && len(o.ClosedTotals) >= maxCells {
			n.CounterKey = serving.CounterKey{}
			at, known = slices.BinarySearchFunc(o.ClosedTotals, n.CounterKey, compareCell)
		}
		if !known {
			o.ClosedTotals = slices.Insert(o.ClosedTotals, at, serving.CounterCell{CounterKey: n.CounterKey})
		}
		o.ClosedTotals[at].RequestCounts = o.ClosedTotals[at].Add(n.RequestCounts)
	}
}

func compareCell(n serving.CounterCell, c serving.CounterKey) int { return n.CounterKey.Compare(c) }

func (o *Log) release(c *Command) error {
	switch {
	case o.Next != nil:
		return ErrRolloutInProgress
	case c.Digest != Digest(c.Text, c.Build):
		return ErrDigestMismatch
	}
	next := Version{Epoch: o.NewestEpoch() + 1, Digest: c.Digest, Author: c.Author, ReleasedAt: c.IssuedAt, Text: c.Text, Build: c.Build}
	if len(c.Waves) == 0 || c.Waves[0] >= 1 {
		o.follow(next)
		return nil
	}
	o.Next, o.Waves, o.WaveIndex = &next, slices.Clone(c.Waves), 0
	o.WaveLimit = o.upto(next.Epoch, o.Waves[0])
	return nil
}

// follow has a version hold for all.
func (o *Log) follow(next Version) {
	o.mark(&o.Current, "followed by "+next.Epoch.String())
	prior := o.Current
	o.Previous, o.Current = &prior, next
}

// revert never goes back: the text that held before has a new, higher epoch. What is on its way is over; where nothing is, the base is.
func (o *Log) revert(c *Command) error {
	if o.Next != nil {
		o.over("rolled back: "+c.Reason, c.Author)
		o.Current.ReleasedAt = c.IssuedAt
		return nil
	}
	if o.Previous == nil {
		return ErrNoRollout
	}
	again := *o.Previous
	again.Epoch, again.Author, again.ReleasedAt = o.Current.Epoch+1, c.Author, c.IssuedAt
	o.follow(again)
	o.History[len(o.History)-1].Outcome = "rolled back: " + c.Reason
	return nil
}

// lift has what holds go on under a founding's number above one that a lost group reached. It guards against a server that was cut off while all
// voters forgot, and whose clock was ahead of theirs: it would be ahead of every version for ever, as no server goes back.
func (o *Log) lift(c *Command) error {
	if c.Previous <= uint64(o.Current.Epoch.ClusterID()) || c.Previous > math.MaxUint32 {
		return ErrOutOfBounds
	}
	o.over("lifted over what a lost group released", c.Author)
	o.Current.Epoch, o.Current.ReleasedAt = NewEpoch(uint32(c.Previous), 1), c.IssuedAt
	return nil
}

// over ends what is on its way, or else only gives the base a new epoch.
func (o *Log) over(fate, author string) {
	epoch := o.NewestEpoch() + 1
	if o.Next != nil {
		o.mark(o.Next, fate)
		o.Next, o.Waves, o.WaveIndex, o.WaveLimit = nil, nil, 0, 0
	}
	o.mark(&o.Current, "again as "+epoch.String())
	o.Current.Epoch, o.Current.Author = epoch, author
}

func (o *Log) mark(v *Version, fate string) {
	if v.Epoch == 0 {
		return
	}
	if len(o.History) >= maxPast {
		o.History = append(o.History[:0], o.History[1:]...)
	}
	o.History = append(o.History, Entry{Epoch: v.Epoch, Digest: v.Digest, Author: v.Author, ReleasedAt: v.ReleasedAt, Outcome: fate})
}
