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

	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/circuitbreaker"
	"swiftcourse/internal/policy/consensus"
	"swiftcourse/internal/policy/counter"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/loadplan"
	"swiftcourse/internal/policy/quota"
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/replication"
)

// Bounds of what is read; what is written keeps to them by how it is made.
const (
	MaxPacket      = 4 << 20  // bytes: an order with all of its bounds reached, in a copy that the consensus library sends
	maxText        = 64 << 10 // of a version
	maxName        = 256      // bytes of any name, digest or cause
	maxMapEntries  = 4096     // entries of a map
	maxListEntries = 256      // entries of a list within an entry
)

// Envelope is one packet in the program's words; exactly one part is there.
type Envelope struct {
	From               string // name and life of the process that sent it
	Incarnation        uint64
	Addr               string // where it listens
	Consensus          *consensus.Message
	LeaseRequest       *lease.Request
	LeaseReply         *lease.Reply
	VersionRequest     release.Epoch
	Version            *release.Version
	Command            *release.Command
	CommandResult      *CommandResult
	AccountSummary     *audit.Account
	StateRequest       *StateRequest
	StateReply         *StateReply
	ClaimRequest       *replication.ClaimRequest
	ClaimReply         *replication.ClaimReply
	PullRequest        *replication.PullRequest
	PullReply          *replication.PullReply
	Checksums          *replication.Checksums
	TrustRecords       []replication.TrustRecord
	TrustRequest       bool
	QuotaRequest       *quota.Request
	QuotaReply         *quota.Reply
	HealthReports      []circuitbreaker.Report
	CounterReport      *counter.RowReport
	CounterAck         *counter.RowAck
	CounterSyncRequest *counter.RowQuery
	CounterSyncReply   *counter.RowQueryReply
	ForwarderReport    *loadplan.Report
	PlanShare          *loadplan.Assignment
	Size               int // bytes that it came in, set by who received it
}

// CommandResult is how a command ended, as the leader saw it.
type CommandResult struct {
	ID           uint64
	RejectReason string
	NewestEpoch  release.Epoch
}

// StateRequest asks for a server's own account and for what it heard of some names.
type StateRequest struct {
	RequestID    uint64
	Names        []string
	ClusterID    uint32 // of the order that the asker knows, and its count: only a newer one is told
	AppliedCount uint64
}

// StateReply is the answer. A leader's has the order and the standings too.
type StateReply struct {
	RequestID   uint64
	Accounts    []audit.Account
	ReleaseLog  *release.Log
	Servers     []lease.ServerStatus
	Replication *replication.Status // nil where it keeps and claims nothing
}

var (
	errUnknownBody = errors.New("it says nothing that is known")
	errTooLarge    = errors.New("a part is longer or has more entries than there may be")
	errOutOfRange  = errors.New("a number is out of its range")
)

// Encode writes a message.
func Encode(m *Envelope) ([]byte, error) {
	p := &Packet{From: m.From, Life: m.Incarnation, Addr: m.Addr}
	switch {
	case m.Consensus != nil:
		v, err := encodeConsensus(m.Consensus)
		if err != nil {
			return nil, err
		}
		p.Body = &Packet_Voting{v}
	case m.LeaseRequest != nil:
		q := m.LeaseRequest
		p.Body = &Packet_Question{&Question{Name: q.Name, Life: q.Incarnation, Number: q.Number, Addr: q.Addr, Epoch: uint64(q.ActiveEpoch), Stuck: truncate(q.BlockedBy),
			Ended: q.ErrorTally.Completed, Harmed: q.ErrorTally.Failed, Build: q.Build, MayLeave: q.MayGoOutOfService, Proof: q.Nonce}}
	case m.LeaseReply != nil:
		a := m.LeaseReply
		p.Body = &Packet_Answer{&Answer{Life: a.Incarnation, Number: a.Number, Verdict: uint32(a.Verdict), For: a.Duration, Right: uint64(a.AssignedEpoch),
			MayLeave: a.MayGoOutOfService, Leader: a.Leader, Why: truncate(a.Reason), Proof: a.Nonce}}
	case m.VersionRequest != 0:
		p.Body = &Packet_Want{&Want{Epoch: uint64(m.VersionRequest)}}
	case m.Version != nil:
		p.Body = &Packet_Version{encodeVersion(m.Version)}
	case m.Command != nil:
		p.Body = &Packet_Do{&Do{Command: encodeCommand(m.Command)}}
	case m.CommandResult != nil:
		p.Body = &Packet_Done{&Ended{Id: m.CommandResult.ID, Refused: truncate(m.CommandResult.RejectReason), Newest: uint64(m.CommandResult.NewestEpoch)}}
	case m.AccountSummary != nil:
		p.Body = &Packet_Brief{encodeAccount(m.AccountSummary)}
	case m.StateRequest != nil:
		p.Body = &Packet_Accounts{&Accounts{Number: m.StateRequest.RequestID, Names: m.StateRequest.Names, Founding: m.StateRequest.ClusterID, Count: m.StateRequest.AppliedCount}}
	case m.StateReply != nil:
		t := &Telling{Number: m.StateReply.RequestID, Order: encodeReleaseLog(m.StateReply.ReleaseLog), Copies: encodeReplicationStatus(m.StateReply.Replication)}
		for i := range m.StateReply.Accounts {
			t.Accounts = append(t.Accounts, encodeAccount(&m.StateReply.Accounts[i]))
		}
		for _, s := range m.StateReply.Servers {
			t.Standings = append(t.Standings, &Standing{Name: s.Name, Life: s.Incarnation, Epoch: uint64(s.ActiveEpoch), Right: uint64(s.AssignedEpoch), Heard: s.SecondsSinceHeard,
				Behind: s.SecondsBehind, Stuck: truncate(s.BlockedBy), Out: truncate(s.EjectionReason), Build: s.Build, Known: s.Reported})
		}
		p.Body = &Packet_Told{t}
	default:
		if err := encodeReplicationMessage(p, m); err != nil {
			return nil, err
		}
	}
	b, err := proto.Marshal(p)
	if err == nil && len(b) > MaxPacket {
		return nil, errTooLarge
	}
	return b, err
}

// truncate keeps a cause within its bound.
func truncate(text string) string { return strings.ToValidUTF8(text[:min(len(text), maxName)], "") }

// Decode reads a message. Whatever is wrong with it costs that message alone.
func Decode(b []byte) (*Envelope, error) {
	if len(b) > MaxPacket {
		return nil, errTooLarge
	}
	p := &Packet{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("no packet: %w", err)
	}
	m := &Envelope{From: p.From, Incarnation: p.Life, Addr: p.Addr}
	if len(p.From) > maxName || len(p.Addr) > maxName {
		return nil, errTooLarge
	}
	var err error
	switch body := p.Body.(type) {
	case *Packet_Voting:
		m.Consensus, err = decodeConsensus(body.Voting)
	case *Packet_Question:
		q := body.Question
		m.LeaseRequest = &lease.Request{Name: q.Name, Incarnation: q.Life, Number: q.Number, Addr: q.Addr, ActiveEpoch: release.Epoch(q.Epoch), BlockedBy: q.Stuck,
			ErrorTally: release.ErrorTally{Completed: q.Ended, Failed: q.Harmed}, Build: q.Build, MayGoOutOfService: q.MayLeave, Nonce: q.Proof}
		err = errors.Join(checkNames(q.Name, q.Addr, q.Stuck, q.Build), checkCount(q.Ended), checkCount(q.Harmed), checkNotAbove(q.Harmed, q.Ended))
	case *Packet_Answer:
		a := body.Answer
		m.LeaseReply = &lease.Reply{Incarnation: a.Life, Number: a.Number, Verdict: lease.Verdict(min(a.Verdict, 255)), Duration: a.For, AssignedEpoch: release.Epoch(a.Right),
			MayGoOutOfService: a.MayLeave, Leader: a.Leader, Reason: a.Why, Nonce: a.Proof}
		err = errors.Join(checkNames(a.Leader, a.Why), checkCount(a.For))
	case *Packet_Want:
		if m.VersionRequest = release.Epoch(body.Want.Epoch); m.VersionRequest == 0 {
			err = errOutOfRange
		}
	case *Packet_Version:
		m.Version, err = decodeVersion(body.Version)
	case *Packet_Do:
		m.Command, err = decodeCommand(body.Do.GetCommand())
	case *Packet_Done:
		m.CommandResult = &CommandResult{ID: body.Done.Id, RejectReason: body.Done.Refused, NewestEpoch: release.Epoch(body.Done.Newest)}
		err = checkNames(body.Done.Refused)
	case *Packet_Brief:
		var a audit.Account
		a, err = decodeAccount(body.Brief)
		m.AccountSummary = &a
	case *Packet_Accounts:
		m.StateRequest = &StateRequest{RequestID: body.Accounts.Number, Names: body.Accounts.Names, ClusterID: body.Accounts.Founding, AppliedCount: body.Accounts.Count}
		if err = checkNames(m.StateRequest.Names...); len(m.StateRequest.Names) > maxMapEntries {
			err = errTooLarge
		}
	case *Packet_Told:
		m.StateReply, err = decodeStateReply(body.Told)
	default:
		err = decodeReplicationMessage(p, m)
	}
	if err != nil {
		return nil, fmt.Errorf("from %q: %w", p.From, err)
	}
	return m, nil
}

func checkNames(words ...string) error {
	for _, w := range words {
		if len(w) > maxName {
			return errTooLarge
		}
	}
	return nil
}

func checkFinite(x float64) error {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return errOutOfRange
	}
	return nil
}

func checkCount(x float64) error {
	if !(x >= 0 && x < 1e18) {
		return errOutOfRange
	}
	return nil
}

func checkNotAbove(part, whole float64) error {
	if part > whole {
		return errOutOfRange
	}
	return nil
}

func decodeStateReply(t *Telling) (*StateReply, error) {
	if len(t.Accounts) > maxMapEntries || len(t.Standings) > maxMapEntries {
		return nil, errTooLarge
	}
	m := &StateReply{RequestID: t.Number}
	for _, a := range t.Accounts {
		read, err := decodeAccount(a)
		if err != nil {
			return nil, err
		}
		m.Accounts = append(m.Accounts, read)
	}
	for _, s := range t.Standings {
		if err := errors.Join(checkNames(s.Name, s.Stuck, s.Out, s.Build), checkFinite(s.Heard), checkFinite(s.Behind)); err != nil {
			return nil, err
		}
		m.Servers = append(m.Servers, lease.ServerStatus{Name: s.Name, Incarnation: s.Life, ActiveEpoch: release.Epoch(s.Epoch), AssignedEpoch: release.Epoch(s.Right),
			SecondsSinceHeard: s.Heard, SecondsBehind: s.Behind, BlockedBy: s.Stuck, EjectionReason: s.Out, Build: s.Build, Reported: s.Known})
	}
	if t.Copies != nil {
		m.Replication = decodeReplicationStatus(t.Copies)
	}
	var err error
	if t.Order != nil {
		m.ReleaseLog, err = decodeReleaseLog(t.Order)
	}
	return m, err
}

func encodeAccount(a *audit.Account) *Account {
	p := &Account{Name: a.Name, Life: a.Incarnation, Started: a.Started, Seen: a.LastSeen, Dropped: a.DroppedIntervals}
	for _, t := range a.Intervals {
		p.Intervals = append(p.Intervals, &Interval{N: t.Index, Epoch: uint64(t.Epoch), Digest: t.Digest, From: t.From, To: t.To, Batches: t.Batches,
			Tasks: t.Requests, Why: truncate(t.Reason)})
	}
	return p
}

func decodeAccount(p *Account) (a audit.Account, err error) {
	if len(p.GetIntervals()) > maxListEntries {
		return a, errTooLarge
	}
	a = audit.Account{Name: p.GetName(), Incarnation: p.GetLife(), Started: p.GetStarted(), LastSeen: p.GetSeen(), DroppedIntervals: p.GetDropped()}
	err = errors.Join(checkNames(a.Name), checkFinite(a.Started), checkFinite(a.LastSeen))
	for _, t := range p.GetIntervals() {
		err = errors.Join(err, checkNames(t.Digest, t.Why), checkFinite(t.From), checkFinite(t.To))
		a.Intervals = append(a.Intervals, audit.Interval{Index: t.N, Epoch: release.Epoch(t.Epoch), Digest: t.Digest, From: t.From, To: t.To, Batches: t.Batches,
			Requests: t.Tasks, Reason: t.Why})
	}
	return a, err
}

func encodeConsensus(m *consensus.Message) (*Voting, error) {
	v := &Voting{From: m.From, To: m.To, Founding: m.ClusterID, Ask: m.RequestReleaseLog, Tell: encodeReleaseLog(m.ReleaseLog)}
	if b := m.Heartbeat; b != nil {
		v.Beacon = &Beacon{Name: b.Name, Life: b.Incarnation, Founding: b.ClusterID, Known: b.NewestClusterID, Count: b.AppliedCount, Heard: b.DetachedVoters, Seats: b.Voters}
	}
	if f := m.Bootstrap; f != nil {
		v.Found = &Foundation{Founding: f.ClusterID, Seats: f.Voters, Order: encodeReleaseLog(f.ReleaseLog)}
	}
	if m.Raft != nil {
		var err error
		if v.Raft, err = proto.Marshal(m.Raft); err != nil {
			return nil, err
		}
	}
	return v, nil
}

func decodeConsensus(v *Voting) (*consensus.Message, error) {
	m := &consensus.Message{From: v.From, To: v.To, ClusterID: v.Founding, RequestReleaseLog: v.Ask}
	var err error
	if b := v.Beacon; b != nil {
		if len(b.Heard) > maxListEntries || len(b.Seats) > maxListEntries || len(b.Name) > maxName {
			return nil, errTooLarge
		}
		m.Heartbeat = &consensus.Heartbeat{Name: b.Name, Incarnation: b.Life, ClusterID: b.Founding, NewestClusterID: b.Known, AppliedCount: b.Count, DetachedVoters: b.Heard, Voters: b.Seats}
	}
	if f := v.Found; f != nil {
		if len(f.Seats) > maxListEntries || f.Order == nil || f.Founding == 0 {
			return nil, errTooLarge
		}
		m.Bootstrap = &consensus.Bootstrap{ClusterID: f.Founding, Voters: f.Seats}
		if m.Bootstrap.ReleaseLog, err = decodeReleaseLog(f.Order); err != nil {
			return nil, err
		}
	}
	if v.Tell != nil {
		if m.ReleaseLog, err = decodeReleaseLog(v.Tell); err != nil {
			return nil, err
		}
	}
	if len(v.Raft) > 0 {
		m.Raft = &raftpb.Message{}
		if err = proto.Unmarshal(v.Raft, m.Raft); err != nil {
			return nil, err
		}
		if m.Raft.Type == nil || m.Raft.GetFrom() != m.From || m.Raft.GetTo() != m.To {
			return nil, errOutOfRange
		}
	}
	if m.Heartbeat == nil && m.Bootstrap == nil && m.ReleaseLog == nil && m.Raft == nil && !m.RequestReleaseLog {
		return nil, errUnknownBody
	}
	return m, nil
}

func encodeVersion(v *release.Version) *Version {
	if v == nil {
		return nil
	}
	return &Version{Epoch: uint64(v.Epoch), Digest: v.Digest, Author: v.Author, At: v.ReleasedAt, Text: v.Text, Build: v.Build}
}

func decodeVersion(p *Version) (*release.Version, error) {
	v := &release.Version{Epoch: release.Epoch(p.Epoch), Digest: p.Digest, Author: p.Author, ReleasedAt: p.At, Text: p.Text, Build: p.Build}
	if len(p.Text) > maxText {
		return nil, errTooLarge
	}
	return v, errors.Join(checkNames(p.Digest, p.Author, p.Build), checkFinite(p.At))
}

func encodeReleaseLog(o *release.Log) *Order {
	if o == nil {
		return nil
	}
	p := &Order{Count: o.AppliedCount, Base: encodeVersion(&o.Current), Prior: encodeVersion(o.Previous), Next: encodeVersion(o.Next), Waves: o.Waves, Wave: uint32(o.WaveIndex),
		Upto: o.WaveLimit, Holds: o.Members, Done: o.LastCommandIDs, Seats: o.Voters, Out: map[string]*Outed{}}
	for _, m := range o.History {
		p.Past = append(p.Past, &Mark{Epoch: uint64(m.Epoch), Digest: m.Digest, Author: m.Author, At: m.ReleasedAt, Fate: truncate(m.Outcome)})
	}
	p.Over, p.Sums = encodeClosedRows(o.ClosedRows), encodeCounts(o.ClosedTotals)
	for name, out := range o.Ejected {
		p.Out[name] = &Outed{Life: out.Incarnation, By: out.Author, Why: out.Reason, On: uint64(out.Epoch), At: out.EjectedAt}
	}
	return p
}

func decodeReleaseLog(p *Order) (*release.Log, error) {
	if len(p.Waves) > maxListEntries || len(p.Past) > maxListEntries || len(p.Holds) > maxMapEntries || len(p.Out) > maxMapEntries || len(p.Done) > maxListEntries ||
		len(p.Seats) > maxListEntries || p.Base == nil || p.Wave > maxListEntries {
		return nil, errTooLarge
	}
	o := (&release.Log{AppliedCount: p.Count, Waves: p.Waves, WaveIndex: int(p.Wave), WaveLimit: p.Upto, Members: p.Holds, LastCommandIDs: p.Done, Voters: p.Seats}).Clone()
	base, err := decodeVersion(p.Base)
	if err != nil {
		return nil, err
	}
	o.Current = *base
	for _, part := range []struct {
		from *Version
		to   **release.Version
	}{{p.Prior, &o.Previous}, {p.Next, &o.Next}} {
		if part.from != nil {
			if *part.to, err = decodeVersion(part.from); err != nil {
				return nil, err
			}
		}
	}
	for _, m := range p.Past {
		if err := errors.Join(checkNames(m.Digest, m.Author, m.Fate), checkFinite(m.At)); err != nil {
			return nil, err
		}
		o.History = append(o.History, release.HistoryEntry{Epoch: release.Epoch(m.Epoch), Digest: m.Digest, Author: m.Author, ReleasedAt: m.At, Outcome: m.Fate})
	}
	if o.ClosedRows, err = decodeClosedRows(p.Over); err != nil {
		return nil, err
	}
	if o.ClosedTotals, err = decodeCounts(p.Sums); err != nil {
		return nil, err
	}
	for name, out := range p.Out {
		if err := errors.Join(checkNames(name, out.GetBy(), out.GetWhy()), checkFinite(out.GetAt())); err != nil {
			return nil, err
		}
		o.Ejected[name] = release.Ejection{Incarnation: out.GetLife(), Author: out.GetBy(), Reason: out.GetWhy(), Epoch: release.Epoch(out.GetOn()), EjectedAt: out.GetAt()}
	}
	for name := range o.Members {
		if len(name) > maxName {
			return nil, errTooLarge
		}
	}
	return o, nil
}

func encodeCommand(c *release.Command) *Command {
	return &Command{Kind: uint32(c.Kind), Id: c.ID, Author: c.Author, At: c.IssuedAt, On: uint64(c.ExpectedEpoch), Text: c.Text, Build: c.Build, Digest: c.Digest,
		Waves: c.Waves, Name: c.Name, Life: c.Incarnation, Was: c.Previous, Why: truncate(c.Reason), Rows: encodeClosedRows(c.CounterRows)}
}

func decodeCommand(p *Command) (*release.Command, error) {
	if p == nil {
		return nil, errUnknownBody
	}
	c := &release.Command{Kind: release.Kind(min(p.Kind, 255)), ID: p.Id, Author: p.Author, IssuedAt: p.At, ExpectedEpoch: release.Epoch(p.On), Text: p.Text,
		Build: p.Build, Digest: p.Digest, Waves: p.Waves, Name: p.Name, Incarnation: p.Life, Previous: p.Was, Reason: p.Why}
	if len(p.Text) > maxText || len(p.Waves) > maxListEntries {
		return nil, errTooLarge
	}
	var err error
	if c.CounterRows, err = decodeClosedRows(p.Rows); err != nil {
		return nil, err
	}
	return c, errors.Join(checkNames(c.Author, c.Build, c.Digest, c.Name, c.Reason), checkFinite(c.IssuedAt))
}

// Codec writes commands and orders for the voters' log.
type Codec struct{}

// MarshalCommand writes a command.
func (Codec) MarshalCommand(c *release.Command) []byte {
	b, _ := proto.Marshal(encodeCommand(c))
	return b
} // no error: all strings are checked

// UnmarshalCommand reads one.
func (Codec) UnmarshalCommand(b []byte) (*release.Command, error) {
	p := &Command{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, err
	}
	return decodeCommand(p)
}

// MarshalLog writes an order.
func (Codec) MarshalLog(o *release.Log) []byte { b, _ := proto.Marshal(encodeReleaseLog(o)); return b }

// UnmarshalLog reads one.
func (Codec) UnmarshalLog(b []byte) (*release.Log, error) {
	p := &Order{}
	if err := proto.Unmarshal(b, p); err != nil {
		return nil, err
	}
	return decodeReleaseLog(p)
}
