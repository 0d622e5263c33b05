// Package fleet is what servers of one fleet say to one another, as protocol buffers with a bound on every size. Its words end here: the rest of
// the program has those of internal/judge.
package fleet

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/judge/audit"
	"swiftcourse/internal/judge/member"
	"swiftcourse/internal/judge/plan"
	"swiftcourse/internal/judge/replica"
	"swiftcourse/internal/judge/shared/budget"
	"swiftcourse/internal/judge/shared/counts"
	"swiftcourse/internal/judge/shared/health"
	"swiftcourse/internal/judge/version"
)

// Bounds of what is read; what is written keeps to them by how it is made.
const (
	MaxPacket    = 4 << 20  // bytes: an order with all of its bounds reached, in a copy that the consensus library sends
	maxText      = 64 << 10 // of a version
	maxWord      = 256      // bytes of any name, digest or cause
	maxLongList  = 4096     // entries of a map
	maxShortList = 256      // entries of a list within an entry
)

// Message is one packet in the program's words; exactly one part is there.
type Message struct {
	From       string // name and life of the process that sent it
	Life       uint64
	Addr       string // where it listens
	Voting     *version.Message
	Question   *member.Request
	Answer     *member.Reply
	Want       version.Epoch
	Version    *version.Version
	Do         *version.Command
	Done       *Done
	Brief      *audit.Account
	Ask        *Ask
	Told       *Told
	Claiming   *replica.ClaimRequest
	Claimed    *replica.ClaimReply
	Pull       *replica.PullRequest
	Slice      *replica.PullReply
	Sums       *replica.Checksums
	Vouchers   []replica.TrustRecord
	AskCallers bool
	Wishes     *budget.Request
	Grants     *budget.Reply
	Health     []health.Report
	Row        *counts.RowReport
	RowHeard   *counts.RowAck
	AskRows    *counts.RowQuery
	Rows       *counts.RowQueryReply
	PlanReport *plan.Report
	PlanPart   *plan.Part
	Size       int // bytes that it came in, set by who received it
}

// Done is how a command ended, as the leader saw it.
type Done struct {
	ID      uint64
	Refused string
	Newest  version.Epoch
}

// Ask asks for a server's own account and for what it heard of some names.
type Ask struct {
	Number   uint64
	Names    []string
	Founding uint32 // of the order that the asker knows, and its count: only a newer one is told
	Count    uint64
}

// Told is the answer. A leader's has the order and the standings too.
type Told struct {
	Number    uint64
	Accounts  []audit.Account
	Order     *version.Log
	Standings []member.ServerStatus
	Copies    *replica.Status // nil where it keeps and claims nothing
}

var (
	errEmpty = errors.New("it says nothing that is known")
	errSize  = errors.New("a part is longer or has more entries than there may be")
	errValue = errors.New("a number is out of its range")
)

// Put writes a message.
func Put(m *Message) ([]byte, error) {
	p := &Packet{From: m.From, Life: m.Life, Addr: m.Addr}
	switch {
	case m.Voting != nil:
		v, err := putVoting(m.Voting)
		if err != nil {
			return nil, err
		}
		p.Body = &Packet_Voting{v}
	case m.Question != nil:
		q := m.Question
		p.Body = &Packet_Question{&Question{Name: q.Name, Life: q.Incarnation, Number: q.Number, Addr: q.Addr, Epoch: uint64(q.ActiveEpoch), Stuck: clip(q.BlockedBy),
			Ended: q.ErrorTally.Completed, Harmed: q.ErrorTally.Failed, Build: q.Build, MayLeave: q.MayGoOutOfService, Proof: q.Nonce}}
	case m.Answer != nil:
		a := m.Answer
		p.Body = &Packet_Answer{&Answer{Life: a.Incarnation, Number: a.Number, Verdict: uint32(a.Verdict), For: a.Duration, Right: uint64(a.AssignedEpoch),
			MayLeave: a.MayGoOutOfService, Leader: a.Leader, Why: clip(a.Reason), Proof: a.Nonce}}
	case m.Want != 0:
		p.Body = &Packet_Want{&Want{Epoch: uint64(m.Want)}}
	case m.Version != nil:
		p.Body = &Packet_Version{putVersion(m.Version)}
	case m.Do != nil:
		p.Body = &Packet_Do{&Do{Command: putCommand(m.Do)}}
	case m.Done != nil:
		p.Body = &Packet_Done{&Ended{Id: m.Done.ID, Refused: clip(m.Done.Refused), Newest: uint64(m.Done.Newest)}}
	case m.Brief != nil:
		p.Body = &Packet_Brief{putAccount(m.Brief)}
	case m.Ask != nil:
		p.Body = &Packet_Accounts{&Accounts{Number: m.Ask.Number, Names: m.Ask.Names, Founding: m.Ask.Founding, Count: m.Ask.Count}}
	case m.Told != nil:
		t := &Telling{Number: m.Told.Number, Order: putOrder(m.Told.Order), Copies: putStanding(m.Told.Copies)}
		for i := range m.Told.Accounts {
			t.Accounts = append(t.Accounts, putAccount(&m.Told.Accounts[i]))
		}
		for _, s := range m.Told.Standings {
			t.Standings = append(t.Standings, &Standing{Name: s.Name, Life: s.Incarnation, Epoch: uint64(s.ActiveEpoch), Right: uint64(s.AssignedEpoch), Heard: s.SecondsSinceHeard,
				Behind: s.SecondsBehind, Stuck: clip(s.BlockedBy), Out: clip(s.EjectionReason), Build: s.Build, Known: s.Reported})
		}
		p.Body = &Packet_Told{t}
	default:
		if err := putCopies(p, m); err != nil {
			return nil, err
		}
	}
	b, err := proto.Marshal(p)
	if err == nil && len(b) > MaxPacket {
		return nil, errSize
	}
	return b, err
}

// clip keeps a cause within its bound.
func clip(text string) string { return strings.ToValidUTF8(text[:min(len(text), maxWord)], "") }

// Read reads a message. Whatever is wrong with it costs that message alone.
func Read(b []byte) (*Message, error) {
	if len(b) > MaxPacket {
		return nil, errSize
	}
	p := &Packet{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("no packet: %w", err)
	}
	m := &Message{From: p.From, Life: p.Life, Addr: p.Addr}
	if len(p.From) > maxWord || len(p.Addr) > maxWord {
		return nil, errSize
	}
	var err error
	switch body := p.Body.(type) {
	case *Packet_Voting:
		m.Voting, err = voting(body.Voting)
	case *Packet_Question:
		q := body.Question
		m.Question = &member.Request{Name: q.Name, Incarnation: q.Life, Number: q.Number, Addr: q.Addr, ActiveEpoch: version.Epoch(q.Epoch), BlockedBy: q.Stuck,
			ErrorTally: version.ErrorTally{Completed: q.Ended, Failed: q.Harmed}, Build: q.Build, MayGoOutOfService: q.MayLeave, Nonce: q.Proof}
		err = errors.Join(short(q.Name, q.Addr, q.Stuck, q.Build), count(q.Ended), count(q.Harmed), notOver(q.Harmed, q.Ended))
	case *Packet_Answer:
		a := body.Answer
		m.Answer = &member.Reply{Incarnation: a.Life, Number: a.Number, Verdict: member.Verdict(min(a.Verdict, 255)), Duration: a.For, AssignedEpoch: version.Epoch(a.Right),
			MayGoOutOfService: a.MayLeave, Leader: a.Leader, Reason: a.Why, Nonce: a.Proof}
		err = errors.Join(short(a.Leader, a.Why), count(a.For))
	case *Packet_Want:
		if m.Want = version.Epoch(body.Want.Epoch); m.Want == 0 {
			err = errValue
		}
	case *Packet_Version:
		m.Version, err = readVersion(body.Version)
	case *Packet_Do:
		m.Do, err = command(body.Do.GetCommand())
	case *Packet_Done:
		m.Done = &Done{ID: body.Done.Id, Refused: body.Done.Refused, Newest: version.Epoch(body.Done.Newest)}
		err = short(body.Done.Refused)
	case *Packet_Brief:
		var a audit.Account
		a, err = account(body.Brief)
		m.Brief = &a
	case *Packet_Accounts:
		m.Ask = &Ask{Number: body.Accounts.Number, Names: body.Accounts.Names, Founding: body.Accounts.Founding, Count: body.Accounts.Count}
		if err = short(m.Ask.Names...); len(m.Ask.Names) > maxLongList {
			err = errSize
		}
	case *Packet_Told:
		m.Told, err = told(body.Told)
	default:
		err = copies(p, m)
	}
	if err != nil {
		return nil, fmt.Errorf("from %q: %w", p.From, err)
	}
	return m, nil
}

func short(words ...string) error {
	for _, w := range words {
		if len(w) > maxWord {
			return errSize
		}
	}
	return nil
}

func finite(x float64) error {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return errValue
	}
	return nil
}

func count(x float64) error {
	if !(x >= 0 && x < 1e18) {
		return errValue
	}
	return nil
}

func notOver(part, whole float64) error {
	if part > whole {
		return errValue
	}
	return nil
}

func told(t *Telling) (*Told, error) {
	if len(t.Accounts) > maxLongList || len(t.Standings) > maxLongList {
		return nil, errSize
	}
	m := &Told{Number: t.Number}
	for _, a := range t.Accounts {
		read, err := account(a)
		if err != nil {
			return nil, err
		}
		m.Accounts = append(m.Accounts, read)
	}
	for _, s := range t.Standings {
		if err := errors.Join(short(s.Name, s.Stuck, s.Out, s.Build), finite(s.Heard), finite(s.Behind)); err != nil {
			return nil, err
		}
		m.Standings = append(m.Standings, member.ServerStatus{Name: s.Name, Incarnation: s.Life, ActiveEpoch: version.Epoch(s.Epoch), AssignedEpoch: version.Epoch(s.Right),
			SecondsSinceHeard: s.Heard, SecondsBehind: s.Behind, BlockedBy: s.Stuck, EjectionReason: s.Out, Build: s.Build, Reported: s.Known})
	}
	if t.Copies != nil {
		m.Copies = standing(t.Copies)
	}
	var err error
	if t.Order != nil {
		m.Order, err = order(t.Order)
	}
	return m, err
}

func putAccount(a *audit.Account) *Account {
	p := &Account{Name: a.Name, Life: a.Life, Started: a.Started, Seen: a.Seen, Dropped: a.Dropped}
	for _, t := range a.Intervals {
		p.Intervals = append(p.Intervals, &Interval{N: t.N, Epoch: uint64(t.Epoch), Digest: t.Digest, From: t.From, To: t.To, Batches: t.Batches,
			Tasks: t.Tasks, Why: clip(t.Why)})
	}
	return p
}

func account(p *Account) (a audit.Account, err error) {
	if len(p.GetIntervals()) > maxShortList {
		return a, errSize
	}
	a = audit.Account{Name: p.GetName(), Life: p.GetLife(), Started: p.GetStarted(), Seen: p.GetSeen(), Dropped: p.GetDropped()}
	err = errors.Join(short(a.Name), finite(a.Started), finite(a.Seen))
	for _, t := range p.GetIntervals() {
		err = errors.Join(err, short(t.Digest, t.Why), finite(t.From), finite(t.To))
		a.Intervals = append(a.Intervals, audit.Interval{N: t.N, Epoch: version.Epoch(t.Epoch), Digest: t.Digest, From: t.From, To: t.To, Batches: t.Batches,
			Tasks: t.Tasks, Why: t.Why})
	}
	return a, err
}

func putVoting(m *version.Message) (*Voting, error) {
	v := &Voting{From: m.From, To: m.To, Founding: m.ClusterID, Ask: m.RequestReleaseLog, Tell: putOrder(m.ReleaseLog)}
	if b := m.Heartbeat; b != nil {
		v.Beacon = &Beacon{Name: b.Name, Life: b.Incarnation, Founding: b.ClusterID, Known: b.NewestClusterID, Count: b.AppliedCount, Heard: b.DetachedVoters, Seats: b.Voters}
	}
	if f := m.Bootstrap; f != nil {
		v.Found = &Foundation{Founding: f.ClusterID, Seats: f.Voters, Order: putOrder(f.ReleaseLog)}
	}
	if m.Raft != nil {
		var err error
		if v.Raft, err = proto.Marshal(m.Raft); err != nil {
			return nil, err
		}
	}
	return v, nil
}

func voting(v *Voting) (*version.Message, error) {
	m := &version.Message{From: v.From, To: v.To, ClusterID: v.Founding, RequestReleaseLog: v.Ask}
	var err error
	if b := v.Beacon; b != nil {
		if len(b.Heard) > maxShortList || len(b.Seats) > maxShortList || len(b.Name) > maxWord {
			return nil, errSize
		}
		m.Heartbeat = &version.Heartbeat{Name: b.Name, Incarnation: b.Life, ClusterID: b.Founding, NewestClusterID: b.Known, AppliedCount: b.Count, DetachedVoters: b.Heard, Voters: b.Seats}
	}
	if f := v.Found; f != nil {
		if len(f.Seats) > maxShortList || f.Order == nil || f.Founding == 0 {
			return nil, errSize
		}
		m.Bootstrap = &version.Bootstrap{ClusterID: f.Founding, Voters: f.Seats}
		if m.Bootstrap.ReleaseLog, err = order(f.Order); err != nil {
			return nil, err
		}
	}
	if v.Tell != nil {
		if m.ReleaseLog, err = order(v.Tell); err != nil {
			return nil, err
		}
	}
	if len(v.Raft) > 0 {
		m.Raft = &raftpb.Message{}
		if err = proto.Unmarshal(v.Raft, m.Raft); err != nil {
			return nil, err
		}
		if m.Raft.Type == nil || m.Raft.GetFrom() != m.From || m.Raft.GetTo() != m.To {
			return nil, errValue
		}
	}
	if m.Heartbeat == nil && m.Bootstrap == nil && m.ReleaseLog == nil && m.Raft == nil && !m.RequestReleaseLog {
		return nil, errEmpty
	}
	return m, nil
}

func putVersion(v *version.Version) *Version {
	if v == nil {
		return nil
	}
	return &Version{Epoch: uint64(v.Epoch), Digest: v.Digest, Author: v.Author, At: v.ReleasedAt, Text: v.Text, Build: v.Build}
}

func readVersion(p *Version) (*version.Version, error) {
	v := &version.Version{Epoch: version.Epoch(p.Epoch), Digest: p.Digest, Author: p.Author, ReleasedAt: p.At, Text: p.Text, Build: p.Build}
	if len(p.Text) > maxText {
		return nil, errSize
	}
	return v, errors.Join(short(p.Digest, p.Author, p.Build), finite(p.At))
}

func putOrder(o *version.Log) *Order {
	if o == nil {
		return nil
	}
	p := &Order{Count: o.AppliedCount, Base: putVersion(&o.Current), Prior: putVersion(o.Previous), Next: putVersion(o.Next), Waves: o.Waves, Wave: uint32(o.WaveIndex),
		Upto: o.WaveLimit, Holds: o.Members, Done: o.LastCommandIDs, Seats: o.Voters, Out: map[string]*Outed{}}
	for _, m := range o.History {
		p.Past = append(p.Past, &Mark{Epoch: uint64(m.Epoch), Digest: m.Digest, Author: m.Author, At: m.ReleasedAt, Fate: clip(m.Outcome)})
	}
	p.Over, p.Sums = putClosed(o.ClosedRows), putCounts(o.ClosedTotals)
	for name, out := range o.Ejected {
		p.Out[name] = &Outed{Life: out.Incarnation, By: out.Author, Why: out.Reason, On: uint64(out.Epoch), At: out.EjectedAt}
	}
	return p
}

func order(p *Order) (*version.Log, error) {
	if len(p.Waves) > maxShortList || len(p.Past) > maxShortList || len(p.Holds) > maxLongList || len(p.Out) > maxLongList || len(p.Done) > maxShortList ||
		len(p.Seats) > maxShortList || p.Base == nil || p.Wave > maxShortList {
		return nil, errSize
	}
	o := (&version.Log{AppliedCount: p.Count, Waves: p.Waves, WaveIndex: int(p.Wave), WaveLimit: p.Upto, Members: p.Holds, LastCommandIDs: p.Done, Voters: p.Seats}).Clone()
	base, err := readVersion(p.Base)
	if err != nil {
		return nil, err
	}
	o.Current = *base
	for _, part := range []struct {
		from *Version
		to   **version.Version
	}{{p.Prior, &o.Previous}, {p.Next, &o.Next}} {
		if part.from != nil {
			if *part.to, err = readVersion(part.from); err != nil {
				return nil, err
			}
		}
	}
	for _, m := range p.Past {
		if err := errors.Join(short(m.Digest, m.Author, m.Fate), finite(m.At)); err != nil {
			return nil, err
		}
		o.History = append(o.History, version.Entry{Epoch: version.Epoch(m.Epoch), Digest: m.Digest, Author: m.Author, ReleasedAt: m.At, Outcome: m.Fate})
	}
	if o.ClosedRows, err = closed(p.Over); err != nil {
		return nil, err
	}
	if o.ClosedTotals, err = readCounts(p.Sums); err != nil {
		return nil, err
	}
	for name, out := range p.Out {
		if err := errors.Join(short(name, out.GetBy(), out.GetWhy()), finite(out.GetAt())); err != nil {
			return nil, err
		}
		o.Ejected[name] = version.Ejection{Incarnation: out.GetLife(), Author: out.GetBy(), Reason: out.GetWhy(), Epoch: version.Epoch(out.GetOn()), EjectedAt: out.GetAt()}
	}
	for name := range o.Members {
		if len(name) > maxWord {
			return nil, errSize
		}
	}
	return o, nil
}

func putCommand(c *version.Command) *Command {
	return &Command{Kind: uint32(c.Kind), Id: c.ID, Author: c.Author, At: c.IssuedAt, On: uint64(c.ExpectedEpoch), Text: c.Text, Build: c.Build, Digest: c.Digest,
		Waves: c.Waves, Name: c.Name, Life: c.Incarnation, Was: c.Previous, Why: clip(c.Reason), Rows: putClosed(c.CounterRows)}
}

func command(p *Command) (*version.Command, error) {
	if p == nil {
		return nil, errEmpty
	}
	c := &version.Command{Kind: version.Kind(min(p.Kind, 255)), ID: p.Id, Author: p.Author, IssuedAt: p.At, ExpectedEpoch: version.Epoch(p.On), Text: p.Text,
		Build: p.Build, Digest: p.Digest, Waves: p.Waves, Name: p.Name, Incarnation: p.Life, Previous: p.Was, Reason: p.Why}
	if len(p.Text) > maxText || len(p.Waves) > maxShortList {
		return nil, errSize
	}
	var err error
	if c.CounterRows, err = closed(p.Rows); err != nil {
		return nil, err
	}
	return c, errors.Join(short(c.Author, c.Build, c.Digest, c.Name, c.Reason), finite(c.IssuedAt))
}

// Codec writes commands and orders for the voters' log.
type Codec struct{}

// MarshalCommand writes a command.
func (Codec) MarshalCommand(c *version.Command) []byte {
	b, _ := proto.Marshal(putCommand(c))
	return b
} // no error: all strings are checked

// UnmarshalCommand reads one.
func (Codec) UnmarshalCommand(b []byte) (*version.Command, error) {
	p := &Command{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, err
	}
	return command(p)
}

// MarshalLog writes an order.
func (Codec) MarshalLog(o *version.Log) []byte { b, _ := proto.Marshal(putOrder(o)); return b }

// UnmarshalLog reads one.
func (Codec) UnmarshalLog(b []byte) (*version.Log, error) {
	p := &Order{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, err
	}
	return order(p)
}
