package consensus

import (
	"encoding/binary"
	"hash/crc32"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// Codec writes commands and orders as bytes for the consensus library, which carries them without a look. Reading checks all bounds.
type Codec interface {
	MarshalCommand(*release.Command) []byte
	UnmarshalCommand([]byte) (*release.Command, error)
	MarshalLog(*release.Log) []byte
	UnmarshalLog([]byte) (*release.Log, error)
}

// Heartbeat is what voters tell one another several times a second.
type Heartbeat struct {
	Name            string
	Incarnation     uint64            // drawn at the start and whenever a seat is left; never used again
	ClusterID       uint32            // of the group that it sits in, 0 while it is cold
	NewestClusterID uint32            // founding of the newest order that it knows
	AppliedCount    uint64            // of that order
	DetachedVoters  map[string]uint64 // cold voters of whom it heard lately, itself too, by name
	Voters          map[string]uint64 // of its group, by name; none while it is cold
}

// Bootstrap opens a group: whoever sits in it starts from the same order.
type Bootstrap struct {
	ClusterID  uint32
	Voters     map[uint64]string
	ReleaseLog *release.Log
}

// Message goes between two voters; one of its parts is there.
type Message struct {
	From, To          uint64 // lives; To is 0 where any may read it
	ClusterID         uint32 // of Raft
	Heartbeat         *Heartbeat
	Bootstrap         *Bootstrap
	RequestReleaseLog bool         // tell me the order that you know
	ReleaseLog        *release.Log // the answer
	Raft              *pb.Message
}

// Envelope is a message and the name of the voter that it is for.
type Envelope struct {
	To      string
	Message Message
}

// CommandResult is how a command ended that was asked for here or elsewhere.
type CommandResult struct {
	Command *release.Command
	Err     error // a refusal
}

// Times of the voters, in seconds.
const (
	tickEvery   = 0.05 // of the consensus library
	beatTicks   = 2    // heartbeats of a leader, 0.1 s apart: a tenth of electLeast, so that nine in a row have to be lost
	beaconEvery = 0.2
	// electLeast is how long a leader is silent before anybody stands for election: ten times the pauses that were seen of a busy process
	// here. electMore is drawn on top, so that two seldom stand at once.
	electLeast, electMore = 1.0, 1.0
	// freshFor is how long a beacon counts, some of which may be lost.
	freshFor = 1.5
	// deadAfter is after how long a silent life counts as followed by another one of its name. It guards against a second process of
	// the same name that throws out the first; a voter that returns waits for as long.
	deadAfter = 2.0
	// joinWithin is how long one that was written to by a group waits to be told that it sits there: three times what its leader waits.
	joinWithin = 3 * deadAfter
	// foundAfter is how long a cold voter listens before it founds a group: longer than freshFor, so that it hears of any there is; and over
	// a second, so that two foundings never have the same number, see founding.
	foundAfter = 2.0
	// confirmEvery is how often a leader has a majority confirm that it still leads.
	confirmEvery = 0.25
	// compactAfter commands the log begins anew with a copy of the order: at most 64 texts of 64 KiB until then, 4 MB.
	compactAfter = 64
	// maxAsked bounds the confirmations that are waited for.
	maxAsked = 64
	// epochStart is 2026-01-01 in Unix seconds, from which foundings are numbered.
	epochStart = 1767225600
)

type heard struct {
	Heartbeat
	at   float64 // the latest beacon
	from float64 // since when it has this life
}

// Voter is one of the named voters. Its log is in memory, so a process that ends takes its seat with it: it comes back under a new life,
// which has promised nothing to anybody, and the group takes that life in for the old one. Where a majority of a group's lives is gone, the
// group can never commit again; when all named voters are there and none of them sits, they found a new group.
type Voter struct {
	name   string
	life   uint64
	seed   int64
	drawn  uint64
	names  []string // of all voters, sorted
	codec  Codec
	clock  float64 // Unix seconds less now, for the numbers of foundings
	others map[string]*heard

	order    *release.Log // the newest that is known
	founding uint32       // 0 while cold
	beyond   uint32       // the highest founding that anybody was heard to act on
	coldAt   float64
	node     *raft.RawNode
	store    *raft.MemoryStorage
	conf     *pb.ConfState
	since    uint64 // index up to which the log is compacted
	lead     uint64
	seatedAt float64
	leadAt   float64 // when the leader was last heard, or this one last stood
	patience float64
	asked    map[uint64]float64
	confirms float64 // until when this leader knew that it led

	nextTick, nextBeacon, nextConfirm float64
	out                               []Envelope
	ended                             []CommandResult
}

// NewVoter makes a voter that has just started. unix is the time in Unix seconds at now.
func NewVoter(name string, voters []string, seed int64, codec Codec, now, unix float64) *Voter {
	names := slices.Clone(voters)
	slices.Sort(names)
	v := &Voter{name: name, seed: seed, names: slices.Compact(names), codec: codec, clock: unix - now, others: map[string]*heard{},
		order: (&release.Log{}).Clone()}
	v.cold(now)
	return v
}

// draw is chance from the seed.
func (v *Voter) draw() uint64 {
	v.drawn++
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(v.seed))
	binary.BigEndian.PutUint64(b[8:], v.drawn)
	upper := crc32.ChecksumIEEE(append([]byte(v.name), b[:]...))
	lower := crc32.Checksum(append(b[:], v.name...), castagnoli)
	return uint64(upper)<<32 | uint64(lower)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// cold leaves any seat. The life ends with it, so nothing that was promised in it is ever broken.
func (v *Voter) cold(now float64) {
	v.life = max(1, v.draw())
	v.founding, v.node, v.store, v.conf, v.lead, v.confirms = 0, nil, nil, nil, 0, 0
	v.coldAt, v.asked = now, nil
}

// Incarnation is this voter's present life.
func (v *Voter) Incarnation() uint64 { return v.life }

// Joined tells whether it sits in a group.
func (v *Voter) Joined() bool { return v.node != nil }

// ReleaseLog is the newest order that it knows; it is not to be changed.
func (v *Voter) ReleaseLog() *release.Log { return v.order }

// IsLeader tells whether a majority confirmed, for what it knew at some time after since, that this voter leads.
func (v *Voter) IsLeader(since float64) bool {
	return v.node != nil && v.confirms > since && v.lead == v.life
}

// Term is the founding of this voter's group and the term of its consensus, 0 where it sits in none. In one of them there is one leader at most.
func (v *Voter) Term() (founding uint32, term uint64) {
	if v.node == nil {
		return 0, 0
	}
	return v.order.Current.Epoch.ClusterID(), v.node.BasicStatus().GetTerm()
}

// Leader is the name of the leader as far as it is known, "" where it is not.
func (v *Voter) Leader() string { return v.order.Voters[v.lead] }

// ObserveReleaseLog tells of an order that somebody else knows: a cold group starts from the newest.
func (v *Voter) ObserveReleaseLog(o *release.Log) {
	if v.node == nil && o.NewerThan(v.order) {
		v.order = o.Clone()
	}
}

// ObserveClusterID tells that somebody acts on a version of that founding: the next one is above it.
func (v *Voter) ObserveClusterID(founding uint32) { v.beyond = max(v.beyond, founding) }

// Propose asks for a command. It may be lost, so who asks repeats it, with the same ID, until Outcomes has it.
func (v *Voter) Propose(c *release.Command) {
	if v.node != nil && v.lead != 0 {
		_ = v.node.Propose(v.codec.MarshalCommand(c)) // refused while a leader is being chosen: it is repeated
	}
}

// ProposeAsLeader asks for a command of the leader's own, straight into its log: false, and nothing is asked for, where this voter does not lead.
func (v *Voter) ProposeAsLeader(c *release.Command) bool {
	if v.node == nil || v.node.BasicStatus().RaftState != raft.StateLeader {
		return false
	}
	return v.node.Propose(v.codec.MarshalCommand(c)) == nil
}

// TakeOutbox hands over what is to be sent; the slice is good until the next call.
func (v *Voter) TakeOutbox() []Envelope {
	out := v.out
	v.out = nil
	return out
}

// TakeResults hands over how commands ended since the last call.
func (v *Voter) TakeResults() []CommandResult {
	ended := v.ended
	v.ended = nil
	return ended
}

// NextWakeup tells when Tick is to be called again.
func (v *Voter) NextWakeup() float64 { return min(v.nextTick, v.nextBeacon) }

// Tick does what is due.
func (v *Voter) Tick(now float64) {
	if now >= v.nextBeacon {
		v.nextBeacon = now + beaconEvery
		v.beacon(now)
		v.survey(now)
	}
	if now >= v.nextTick {
		v.nextTick = now + tickEvery
		if v.node != nil {
			v.node.Tick()
			if v.lead != v.life && now > v.leadAt+v.patience {
				v.stand(now)
				_ = v.node.Campaign()
			}
		}
	}
	if v.node != nil && v.lead == v.life && now >= v.nextConfirm && len(v.asked) < maxAsked {
		v.nextConfirm = now + confirmEvery
		v.drawn++
		v.asked[v.drawn] = now
		v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, v.drawn))
	}
	v.settle(now)
}

// stand begins another wait for a leader.
func (v *Voter) stand(now float64) {
	v.leadAt = now
	v.patience = electLeast + electMore*float64(v.draw()>>11)/(1<<53)
}

// HandleMessage takes a message from another voter. What is for another life, or of another group, is left unread: that life is over.
func (v *Voter) HandleMessage(now float64, m *Message) {
	if m.To != 0 && m.To != v.life {
		return
	}
	switch {
	case m.Heartbeat != nil:
		v.hear(now, m.Heartbeat)
	case m.RequestReleaseLog:
		if from := v.nameOf(m.From); from != "" {
			v.send(from, Message{From: v.life, To: m.From, ReleaseLog: v.order})
		}
	case m.ReleaseLog != nil:
		v.ObserveReleaseLog(m.ReleaseLog)
	case m.Bootstrap != nil:
		if v.node == nil && m.Bootstrap.Voters[v.life] == v.name {
			v.sit(now, m.Bootstrap)
		}
	case m.Raft != nil:
		v.readRaft(now, m)
	}
	v.settle(now)
}

func (v *Voter) readRaft(now float64, m *Message) {
	if v.node == nil && m.ClusterID != 0 { // whoever writes to this life took it in: it starts with nothing, and is told all
		v.founding = m.ClusterID
		v.start(now, raft.NewMemoryStorage())
	}
	if v.node == nil || m.ClusterID != v.founding || m.Raft.GetTo() != v.life {
		return
	}
	switch m.Raft.GetType() {
	case pb.MsgPreVote:
		// A leader that is heard is not put to the vote. It guards against a voter that hears nobody and stands again and again.
		if v.lead == v.life || v.lead != 0 && now < v.leadAt+electLeast {
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		v.leadAt = now
	}
	_ = v.node.Step(m.Raft) // what it can't use it drops
}

// nameOf is the voter whose life was heard lately.
func (v *Voter) nameOf(life uint64) string {
	for name, h := range v.others {
		if h.Incarnation == life {
			return name
		}
	}
	return ""
}

func (v *Voter) send(to string, m Message) { v.out = append(v.out, Envelope{to, m}) }

// seatOf turns a group's seats about.
func seatOf(seats map[uint64]string) map[string]uint64 {
	lives := make(map[string]uint64, len(seats))
	for life, name := range seats {
		lives[name] = life
	}
	return lives
}

func (v *Voter) beacon(now float64) {
	b := &Heartbeat{Name: v.name, Incarnation: v.life, ClusterID: v.founding, NewestClusterID: v.order.Current.Epoch.ClusterID(), AppliedCount: v.order.AppliedCount}
	if v.node == nil {
		b.DetachedVoters = map[string]uint64{v.name: v.life}
		for name, h := range v.others {
			if h.ClusterID == 0 && now < h.at+freshFor {
				b.DetachedVoters[name] = h.Incarnation
			}
		}
	} else {
		b.Voters = seatOf(v.order.Voters)
	}
	for _, name := range v.names {
		if name != v.name {
			v.send(name, Message{From: v.life, Heartbeat: b})
		}
	}
}

func (v *Voter) hear(now float64, b *Heartbeat) {
	if b.Name == v.name || !slices.Contains(v.names, b.Name) {
		return // nobody whom the operator named, or a second process of this name: that one is told elsewhere
	}
	h := v.others[b.Name]
	switch {
	case h == nil:
		h = &heard{from: now}
		v.others[b.Name] = h
	case h.Incarnation != b.Incarnation && now < h.at+deadAfter && h.ClusterID != 0:
		return // the life that sits there is still heard
	case h.Incarnation != b.Incarnation:
		h.from = now
	}
	h.Heartbeat, h.at = *b, now
}

// survey looks at who is there: a group that can't be any more is left, a voter that came back is taken in, and a group is founded where
// there is none.
func (v *Voter) survey(now float64) {
	if v.node == nil {
		v.found(now)
		return
	}
	// One that was just taken in knows it only from the copy that it is sent; before that, those who don't know of it yet tell it nothing.
	mine := v.order.Voters[v.life] == v.name
	if !mine && now > v.seatedAt+joinWithin {
		v.cold(now)
		return
	}
	lives := seatOf(v.order.Voters)
	gone := map[uint64]bool{} // lives that will never be heard again, or sit elsewhere
	for _, name := range v.names {
		h := v.others[name]
		if h == nil || now > h.at+freshFor {
			continue
		}
		switch life, sits := lives[name]; {
		case mine && h.ClusterID == v.founding && h.AppliedCount > v.order.AppliedCount && h.Voters[v.name] != 0 && h.Voters[v.name] != v.life:
			v.cold(now) // the group took another life in for this one
			return
		case sits && (h.Incarnation != life || h.ClusterID != 0 && h.ClusterID != v.founding):
			gone[life] = true
			if h.Incarnation != life && h.ClusterID == 0 && v.lead == v.life && now > h.from+deadAfter && len(v.conf.GetVotersOutgoing()) == 0 {
				v.takeIn(name, life, h.Incarnation)
			}
		case !sits && h.ClusterID == 0 && v.lead == v.life && len(v.conf.GetVotersOutgoing()) == 0:
			v.takeIn(name, 0, h.Incarnation) // named since the founding
		}
	}
	if now > v.seatedAt+deadAfter && (v.lost(v.conf.GetVoters(), gone) || v.lost(v.conf.GetVotersOutgoing(), gone)) {
		v.cold(now)
	}
}

// lost tells whether so many of these lives are gone that they never have a majority again. One that has no seat any more was gone before.
func (v *Voter) lost(lives []uint64, gone map[uint64]bool) bool {
	left := 0
	for _, life := range lives {
		if v.order.Voters[life] != "" && !gone[life] {
			left++
		}
	}
	return len(lives) > 0 && left <= len(lives)/2
}

// takeIn asks for a life to sit in place of the one that its name had.
func (v *Voter) takeIn(name string, was, life uint64) {
	c := &pb.ConfChangeV2{Context: []byte(name), Changes: []*pb.ConfChangeSingle{{Type: pb.ConfChangeAddNode.Enum(), NodeId: &life}}}
	if was != 0 {
		c.Changes = append(c.Changes, &pb.ConfChangeSingle{Type: pb.ConfChangeRemoveNode.Enum(), NodeId: &was})
	}
	_ = v.node.ProposeConfChange(c) // refused while another one is under way: the next survey asks again
}

// found opens a group where all named voters are there, all cold, and each has heard the same lives. The first by name does it, once a
// life: whoever sits leaves its life with its seat, so no life ever sits in two groups, and of two foundings with a voter in common one
// never has a majority unless most names have two processes each.
func (v *Voter) found(now float64) {
	if v.name != v.names[0] || now < v.coldAt+foundAfter {
		return
	}
	seats := map[uint64]string{v.life: v.name}
	number := max(v.order.Current.Epoch.ClusterID()+1, v.beyond+1, uint32(max(1, now+v.clock-epochStart)))
	for _, name := range v.names[1:] {
		h := v.others[name]
		if h == nil || now > h.at+freshFor || h.ClusterID != 0 {
			return
		}
		seats[h.Incarnation] = name
		if known := h.NewestClusterID; known > v.order.Current.Epoch.ClusterID() || known == v.order.Current.Epoch.ClusterID() && h.AppliedCount > v.order.AppliedCount {
			v.send(name, Message{From: v.life, To: h.Incarnation, RequestReleaseLog: true})
			return
		}
	}
	lives := seatOf(seats)
	if len(seats) != len(v.names) {
		return
	}
	for _, name := range v.names[1:] {
		if !maps.Equal(v.others[name].DetachedVoters, lives) {
			return
		}
	}
	f := &Bootstrap{ClusterID: number, Voters: seats, ReleaseLog: release.BootstrapLog(v.order, number, seats)}
	for _, name := range v.names[1:] {
		v.send(name, Message{From: v.life, To: lives[name], Bootstrap: f})
	}
	v.sit(now, f)
}

// sit takes a seat at a founding.
func (v *Voter) sit(now float64, f *Bootstrap) {
	v.founding = f.ClusterID
	v.order = f.ReleaseLog.Clone()
	store := raft.NewMemoryStorage()
	index, term := uint64(1), uint64(1)
	conf := &pb.ConfState{Voters: slices.Sorted(maps.Keys(f.Voters))}
	_ = store.ApplySnapshot(&pb.Snapshot{Data: v.codec.MarshalLog(v.order), // a new store has none that could be newer
		Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}})
	_ = store.SetHardState(&pb.HardState{Term: &term, Commit: &index, Vote: new(uint64)})
	v.conf = conf
	v.start(now, store)
}

func (v *Voter) start(now float64, store *raft.MemoryStorage) {
	first, _ := store.FirstIndex() // memory has no errors here
	v.since = first - 1
	node, err := raft.NewRawNode(&raft.Config{ID: v.life, ElectionTick: 1 << 30, HeartbeatTick: beatTicks, Storage: store, Applied: v.since,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: 8 << 20, PreVote: true, Logger: silent{}})
	if err != nil {
		v.cold(now)
		return
	}
	v.node, v.store, v.asked, v.seatedAt = node, store, map[uint64]float64{}, now
	v.stand(now)
}

// settle carries out what the consensus library has ready.
func (v *Voter) settle(now float64) {
	for v.node != nil && v.node.HasReady() {
		rd := v.node.Ready()
		if rd.SoftState != nil {
			if rd.Lead != v.lead {
				v.confirms = 0
				clear(v.asked)
			}
			v.lead = rd.Lead
		}
		if rd.HardState != nil {
			_ = v.store.SetHardState(rd.HardState)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			o, err := v.codec.UnmarshalLog(rd.Snapshot.GetData())
			if err != nil || v.store.ApplySnapshot(rd.Snapshot) != nil {
				v.cold(now) // a copy that can't be read is worth nothing; another life asks for it again
				return
			}
			v.order, v.conf, v.since = o, rd.Snapshot.GetMetadata().GetConfState(), rd.Snapshot.GetMetadata().GetIndex()
		}
		_ = v.store.Append(rd.Entries)
		for _, m := range rd.Messages {
			v.post(m)
		}
		for _, e := range rd.CommittedEntries {
			v.commit(e)
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 {
				n := binary.BigEndian.Uint64(r.RequestCtx)
				v.confirms = max(v.confirms, v.asked[n])
				maps.DeleteFunc(v.asked, func(asked uint64, _ float64) bool { return asked <= n })
			}
		}
		v.node.Advance(rd)
		v.compact(rd.CommittedEntries)
	}
}

func (v *Voter) post(m *pb.Message) {
	name := v.order.Voters[m.GetTo()]
	if name == "" {
		name = v.nameOf(m.GetTo())
	}
	if m.GetType() == pb.MsgSnap { // it is sent again where it was lost
		v.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
	}
	if name != "" {
		v.send(name, Message{From: v.life, To: m.GetTo(), ClusterID: v.founding, Raft: m})
	}
}

func (v *Voter) commit(e *pb.Entry) {
	switch e.GetType() {
	case pb.EntryConfChange:
		// none is ever asked for in this form
	case pb.EntryConfChangeV2:
		c := &pb.ConfChangeV2{}
		if unmarshal(e.GetData(), c) != nil {
			return
		}
		v.conf = v.node.ApplyConfChange(c)
		o := v.order.Clone()
		for _, change := range c.GetChanges() {
			if change.GetType() == pb.ConfChangeAddNode {
				o.Voters[change.GetNodeId()] = string(c.GetContext())
			} else {
				delete(o.Voters, change.GetNodeId())
			}
		}
		o.AppliedCount++
		v.order = o
	default:
		if len(e.GetData()) == 0 {
			return // a new leader's first
		}
		c, err := v.codec.UnmarshalCommand(e.GetData())
		if err != nil {
			return // on every copy alike
		}
		o := v.order.Clone()
		err = o.Apply(c)
		v.order = o
		v.ended = append(v.ended, CommandResult{c, err})
	}
}

func (v *Voter) compact(done []*pb.Entry) {
	if len(done) == 0 {
		return
	}
	// A life that was taken in can only begin from a copy that has it among the seats, so a change of them makes one at once.
	seats := slices.ContainsFunc(done, func(e *pb.Entry) bool { return e.GetType() == pb.EntryConfChangeV2 })
	last := done[len(done)-1].GetIndex()
	if last < v.since+compactAfter && !seats {
		return
	}
	if _, err := v.store.CreateSnapshot(last, v.conf, v.codec.MarshalLog(v.order)); err == nil && v.store.Compact(last) == nil {
		v.since = last
	}
}
