package peers

import (
	"cmp"
	"sync/atomic"

	"swiftcourse/internal/judge/replica"
	"swiftcourse/internal/judge/stance"
	state "swiftcourse/internal/replica"
	wire "swiftcourse/internal/wire/fleet"
)

// This file is what a process does for the state that several servers keep: it asks holders for its own tasks, and is one, where it is named.

// Copies is what a process is told of them.
type Copies struct {
	Place   *replica.Placement
	Entries int     // most records
	Bytes   int     // and bytes of them
	Rate    float64 // bytes a second that it takes in to catch up
	// Rule hands the serving loop the fleet's word on a task that it claimed a key for.
	Rule func(id string, r stance.ClaimVerdict, result []byte)

	unsaid atomic.Int64 // words of the loop, and ends that holders have not noted, for whoever leaves
}

// copies is the part's state of them.
type copies struct {
	*Copies
	sits    replica.TermTable
	asker   *replica.Coordinator
	holder  *replica.Replica // nil where this server is none
	store   *state.Store
	me      int
	saying  int               // ends that holders have not noted, as they were last counted
	addrs   map[string]string // where others listen
	addrsAt float64
	heard   map[string]string // where holders said that they listen
	told    replica.Status    // as it was last written to the log
}

// Word is what the serving loop says of a task that bears a key: that it is to be claimed, or how it ended.
type Word struct {
	ID, Stage, Key     string
	Left               float64 // seconds in which it has to be told
	Never, Ended, Well bool
	Result             []byte
}

const (
	// maxWords wait for the goroutine: two for each claim that the loop may have under way, so that there is always room.
	maxWords = 4096
	// addrsEvery is how often it is looked up where holders listen, in seconds.
	addrsEvery = 0.5
)

// Claim asks for the right to run a task that bears a key, from the serving loop. Copies.Rule is told within left seconds. False where nothing more
// can be asked: it did not run.
func (f *Peers) Claim(id, stage, key string, left float64) bool {
	return f.put(Word{ID: id, Stage: stage, Key: key, Left: left})
}

// ReleaseClaim tells that a task is over that never began.
func (f *Peers) ReleaseClaim(id string) { f.put(Word{ID: id, Never: true}) }

// CompleteClaim tells how the run of a task ended that was granted.
func (f *Peers) CompleteClaim(id string, well bool, result []byte) {
	f.put(Word{ID: id, Ended: true, Well: well, Result: result})
}

// UnreportedClaims counts what the holders have not noted yet, from any goroutine.
func (f *Peers) UnreportedClaims() int { return int(f.Plan.Copies.unsaid.Load()) }

func (f *Peers) put(w Word) bool {
	f.Plan.Copies.unsaid.Add(1)
	select {
	case f.words <- w:
		return true
	default: // its claim stands then as one that may have run
		f.Plan.Copies.unsaid.Add(-1)
		f.lost.Add(1)
		return false
	}
}

// Points at which a test may have a process end, in the order in which a claim, and then a copy, passes them.
var Points = []string{"claiming", "asked", "granting", "granted", "begun", "ending", "noting", "noted", "pulling", "pulled", "taking", "taken"}

func (f *Part) passes(point string) {
	if f.Passes != nil {
		f.Passes(point)
	}
}

// beginCopies makes the part's claimant, and its holder where it is one.
func (f *Part) beginCopies(now float64) {
	if f.Copies == nil {
		return
	}
	f.Plan.Copies.unsaid.Store(0) // a part that begins anew owes nothing
	c := &copies{Copies: f.Plan.Copies, me: f.Plan.Copies.Place.MemberIndex(f.Name)}
	c.sits, c.heard = make(replica.TermTable, len(c.Place.Members)), map[string]string{}
	c.asker = replica.NewCoordinator(c.Place, c.sits, f.life, f.Unix, now)
	if c.me >= 0 {
		c.sits[c.me] = replica.Term{Number: uint64(max(0, f.Unix()*1000)), Incarnation: f.life}
		c.store = state.NewStore(c.Entries, c.Bytes)
		c.holder = replica.NewReplica(c.Place, c.me, c.sits, c.store, c.Rate, now)
	}
	f.copies = c
}

// Heed takes a word of the serving loop.
func (f *Part) Heed(now float64, w Word) {
	c := f.copies
	switch {
	case c == nil:
	case w.Ended:
		c.asker.FinishClaim(now, w.ID, w.Well, w.Result)
	case w.Never:
		c.asker.CancelClaim(now, w.ID)
	default:
		f.passes("claiming")
		c.asker.StartClaim(now, w.ID, state.KeyOf(w.Stage, w.Key), now+w.Left)
	}
	f.flushCopies(now)
	if c != nil {
		c.unsaid.Add(-1)
	}
	switch {
	case w.Ended:
		f.passes("ending")
	case !w.Never:
		f.passes("asked")
	}
}

// takeCopies takes what others say of copies.
func (f *Part) takeCopies(now float64, m *wire.Message) {
	c := f.copies
	if c == nil {
		return
	}
	from := c.Place.MemberIndex(m.From)
	if from >= 0 {
		c.heard[m.From] = m.Addr
	}
	switch {
	case m.Claimed != nil:
		c.asker.HandleReply(now, from, m.Claimed)
	case c.holder == nil:
	case m.Claiming != nil:
		a := c.holder.HandleClaim(now, m.Claiming)
		says := m.Claiming.Operation == replica.OpReport
		f.passes(map[bool]string{false: "granting", true: "noting"}[says])
		f.reply(m, &wire.Message{Claimed: &a})
		f.passes(map[bool]string{false: "granted", true: "noted"}[says])
	case m.Pull != nil:
		s := c.holder.HandlePull(now, from, m.Pull)
		f.passes("pulling")
		if s != nil {
			f.reply(m, &wire.Message{Slice: s})
		}
		f.passes("pulled")
	case m.Slice != nil:
		f.passes("taking")
		c.holder.HandlePullReply(now, from, m.Slice, m.Size)
		f.passes("taken")
	case m.Sums != nil:
		c.holder.HandleChecksums(now, from, m.Sums)
	}
	f.flushCopies(now)
}

// dueCopies does what is due.
func (f *Part) dueCopies(now float64) {
	c := f.copies
	if c == nil {
		return
	}
	c.asker.Maintain(now)
	if c.holder != nil {
		c.holder.Maintain(now)
	}
	f.flushCopies(now)
	is := f.CopiesState()
	if is.IsReplica != c.told.IsReplica || (is.CatchingUp == 0) != (c.told.CatchingUp == 0) || is.ConflictingResults != c.told.ConflictingResults || is.CorruptedRecords != c.told.CorruptedRecords {
		f.Say("fleet_copies", "cold", is.CatchingUp, "learned", is.CaughtUpByPeers, "aged", is.CaughtUpByTimeout, "records", is.Records, "alarms", is.ConflictingResults, "flipped", is.CorruptedRecords)
		c.told = *is
	}
}

func (f *Part) nextCopies(now float64) float64 {
	c := f.copies
	if c == nil {
		return now + 3600
	}
	next := c.asker.NextWakeup()
	if c.holder != nil {
		next = min(next, c.holder.NextWakeup(now))
	}
	return next
}

// flushCopies sends what claimant and holder have to say, and hands the loop what there is to tell it.
func (f *Part) flushCopies(now float64) {
	c := f.copies
	for c != nil {
		letters := c.asker.TakeOutbox()
		if c.holder != nil {
			letters = append(letters, c.holder.TakeOutbox()...)
		}
		if len(letters) == 0 {
			break
		}
		for _, l := range letters {
			f.post(now, l)
		}
	}
	if c == nil {
		return
	}
	c.unsaid.Add(int64(c.asker.PendingReports() - c.saying))
	c.saying = c.asker.PendingReports()
	for _, t := range c.asker.TakeOutcomes() {
		c.Rule(t.RequestID, t.Verdict, t.Result)
		if t.Verdict == stance.ClaimGranted {
			f.passes("begun")
		}
	}
}

// post brings a letter to its holder, who may be here.
func (f *Part) post(now float64, l replica.Envelope) {
	c := f.copies
	if l.To == c.me {
		if l.Claim != nil {
			a := c.holder.HandleClaim(now, l.Claim)
			c.asker.HandleReply(now, c.me, &a)
		}
		return
	}
	name := c.Place.Members[l.To].Name
	if now >= c.addrsAt+addrsEvery {
		c.addrs, c.addrsAt = f.net.All(), now
	}
	f.send(cmp.Or(c.addrs[name], f.Voters[name], c.heard[name]), &wire.Message{Claiming: l.Claim, Pull: l.Pull, Sums: l.Checksums})
}

// CopiesState is how the copies stand, nil where there are none.
func (f *Part) CopiesState() *replica.Status {
	c := f.copies
	if c == nil {
		return nil
	}
	s := &replica.Status{ConfigDigest: c.Place.ConfigDigest}
	c.asker.FillStatus(s)
	if c.holder != nil {
		c.holder.FillStatus(s)
	}
	return s
}
