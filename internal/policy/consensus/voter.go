package consensus

import (
	"errors"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// ErrNotLeader is returned where only the leader of a group can do what is asked.
var ErrNotLeader = errors.New("this voter does not lead its group")

// Config identifies a voter and its dependencies.
type Config struct {
	Name   string   // of this voter
	Voters []string // names of all voters
	Seed   int64    // of its random numbers
	Codec  Codec
}

// Voter is one of the named voters. It is not safe for concurrent use.
type Voter struct {
	name        string
	voterNames  []string // all of them, sorted
	codec       Codec
	random      random
	clockOffset float64 // Unix seconds minus the owner's clock

	incarnation      uint64
	releaseLog       *release.Log // the newest that is known; replaced, never modified
	highestClusterID uint32       // the highest on which anybody acts, see ObserveClusterID
	peers            map[string]*peer
	detachedAt       float64
	group            *group // nil while detached

	nextTick         float64
	nextHeartbeat    float64
	nextConfirmation float64

	outbox  []Envelope
	results []CommandResult
}

// NewVoter returns a voter that has just started, detached. unixNow is the time in Unix seconds at
// now.
func NewVoter(config Config, now, unixNow float64) *Voter {
	names := slices.Clone(config.Voters)
	slices.Sort(names)
	v := &Voter{
		name:        config.Name,
		voterNames:  slices.Compact(names),
		codec:       config.Codec,
		random:      random{name: config.Name, seed: uint64(config.Seed)},
		clockOffset: unixNow - now,
		releaseLog:  (&release.Log{}).Clone(), // empty, without nil maps
		peers:       map[string]*peer{},
	}
	v.detach(now)
	return v
}

// detach leaves the group, if any, and draws a new incarnation. The old one ends: it never votes
// again, so none of its votes is ever contradicted.
func (v *Voter) detach(now float64) {
	v.incarnation = v.random.drawIncarnation()
	v.group = nil
	v.detachedAt = now
}

// Incarnation returns the voter's present identity.
func (v *Voter) Incarnation() uint64 { return v.incarnation }

// Joined reports whether the voter is in a group.
func (v *Voter) Joined() bool { return v.group != nil }

// ReleaseLog returns the newest release log that the voter knows. The caller must not change it;
// the voter itself never does.
func (v *Voter) ReleaseLog() *release.Log { return v.releaseLog }

// IsLeader reports whether a majority confirmed that this voter led at some moment after since.
func (v *Voter) IsLeader(since float64) bool {
	return v.leads() && v.group.confirmedAt > since
}

// leads reports whether this voter is the leader by its own raft node, confirmed or not.
func (v *Voter) leads() bool {
	return v.group != nil && v.group.leader == v.incarnation
}

// Term returns the cluster ID of the current version and the raft term, zeros while detached. Each
// pair has at most one leader.
func (v *Voter) Term() (clusterID uint32, term uint64) {
	if v.group == nil {
		return 0, 0
	}
	return v.releaseLog.Current.Epoch.ClusterID(), v.group.node.BasicStatus().GetTerm()
}

// Leader returns the leader's name, "" if it is not known.
func (v *Voter) Leader() string {
	if v.group == nil {
		return ""
	}
	return v.releaseLog.Voters[v.group.leader]
}

// ObserveReleaseLog gives a detached voter a release log that another server knows: a group is
// bootstrapped from the newest.
func (v *Voter) ObserveReleaseLog(log *release.Log) {
	if v.group == nil && log.NewerThan(v.releaseLog) {
		v.releaseLog = log.Clone()
	}
}

// ObserveClusterID tells the voter that some server acts on a version of that cluster ID. The next
// group gets a higher one.
func (v *Voter) ObserveClusterID(clusterID uint32) {
	v.highestClusterID = max(v.highestClusterID, clusterID)
}

// Propose proposes a command to the group. The proposal may be lost, so the caller repeats it with
// the same ID until TakeResults returns it.
func (v *Voter) Propose(command *release.Command) {
	if v.group == nil || v.group.leader == 0 {
		return
	}
	// Refused during an election: the caller repeats it.
	_ = v.group.node.Propose(v.codec.MarshalCommand(command))
}

// ProposeAsLeader appends a command of the leader's own to the raft log. It returns ErrNotLeader,
// and proposes nothing, at any other voter.
func (v *Voter) ProposeAsLeader(command *release.Command) error {
	if v.group == nil || v.group.node.BasicStatus().RaftState != raft.StateLeader {
		return ErrNotLeader
	}
	return v.group.node.Propose(v.codec.MarshalCommand(command))
}

// TakeOutbox returns the messages to send, and empties the outbox.
func (v *Voter) TakeOutbox() []Envelope {
	outbox := v.outbox
	v.outbox = nil
	return outbox
}

// TakeResults returns the results of the commands that were committed since the last call.
func (v *Voter) TakeResults() []CommandResult {
	results := v.results
	v.results = nil
	return results
}

func (v *Voter) send(to string, message Message) {
	v.outbox = append(v.outbox, Envelope{VoterName: to, Message: message})
}

// NextWakeup returns when Tick is due.
func (v *Voter) NextWakeup() float64 { return min(v.nextTick, v.nextHeartbeat) }

// Tick does everything that is due at now: heartbeats, elections, confirmations of leadership.
func (v *Voter) Tick(now float64) {
	if now >= v.nextHeartbeat {
		v.nextHeartbeat = now + heartbeatInterval
		v.sendHeartbeats(now)
		v.maintainGroup(now)
	}
	if now >= v.nextTick {
		v.nextTick = now + tickInterval
		if v.group != nil {
			v.group.node.Tick()
			v.campaignIfDue(now)
		}
	}
	if v.leads() && now >= v.nextConfirmation && len(v.group.confirmations) < maxConfirmations {
		v.nextConfirmation = now + confirmInterval
		v.requestConfirmation(now)
	}
	v.processReady(now)
}

// HandleMessage processes a message from another voter. A message for another incarnation is
// dropped: that incarnation has ended.
func (v *Voter) HandleMessage(now float64, message *Message) {
	if message.To != 0 && message.To != v.incarnation {
		return
	}
	switch {
	case message.Heartbeat != nil:
		v.handleHeartbeat(now, message.Heartbeat)
	case message.RequestReleaseLog:
		if from := v.peerName(message.From); from != "" {
			v.send(from, Message{From: v.incarnation, To: message.From, ReleaseLog: v.releaseLog})
		}
	case message.ReleaseLog != nil:
		v.ObserveReleaseLog(message.ReleaseLog)
	case message.Bootstrap != nil:
		if v.group == nil && message.Bootstrap.Voters[v.incarnation] == v.name {
			v.joinBootstrap(now, message.Bootstrap)
		}
	case message.Raft != nil:
		v.handleRaftMessage(now, message)
	}
	v.processReady(now)
}

// handleRaftMessage passes a message of the group to the raft core. A detached voter that receives
// one was made a member: it starts with an empty log and is sent a snapshot.
func (v *Voter) handleRaftMessage(now float64, message *Message) {
	if v.group == nil && message.ClusterID != 0 {
		v.joinGroup(now, message.ClusterID, raft.NewMemoryStorage(), nil)
	}
	if v.group == nil || message.ClusterID != v.group.clusterID || message.Raft.GetTo() != v.incarnation {
		return
	}
	switch message.Raft.GetType() {
	case pb.MsgPreVote:
		if v.hearsLeader(now) {
			// Ignored, or a voter that hears no other would force elections again and again.
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		v.group.leaderHeardAt = now
	}
	_ = v.group.node.Step(message.Raft) // the raft core drops what it can't use
}

// hearsLeader reports whether this voter leads, or heard its leader within the least election
// timeout.
func (v *Voter) hearsLeader(now float64) bool {
	return v.leads() || v.group.leader != 0 && now < v.group.leaderHeardAt+minElectionTimeout
}
