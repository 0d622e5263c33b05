package consensus

import (
	"errors"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// ErrNotLeader is returned for an operation that only the leader of a group can perform.
var ErrNotLeader = errors.New("this voter does not lead its group")

// Config identifies a voter and its dependencies.
type Config struct {
	Name       string   // name of this voter
	VoterNames []string // names of all voters, including this one
	Seed       int64    // seed of the voter's random numbers
	Codec      Codec
}

// Voter is one of the configured voters. It is not safe for concurrent use.
type Voter struct {
	name        string
	voterNames  []string // all configured voters, sorted
	codec       Codec
	random      random
	clockOffset float64 // Unix seconds minus the owner's clock

	incarnation      uint64
	releaseLog       *release.Log // newest known release log; replaced, never modified
	highestClusterID uint32       // highest cluster ID seen on any server, see ObserveClusterID
	peers            map[string]*peer
	detachedAt       float64
	group            *group // nil while detached

	nextTick         float64
	nextHeartbeat    float64
	nextConfirmation float64

	outbox  []Envelope
	results []CommandResult
}

// NewVoter returns a detached voter that starts at now. unixNow is the same time in Unix seconds.
func NewVoter(config Config, now, unixNow float64) *Voter {
	names := slices.Clone(config.VoterNames)
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

// detach leaves the group, if any, and draws a new incarnation. The old incarnation never votes
// again, so no later vote contradicts its votes, although they are not stored.
func (v *Voter) detach(now float64) {
	v.incarnation = v.random.drawIncarnation()
	v.group = nil
	v.detachedAt = now
}

// Incarnation returns the voter's present incarnation.
func (v *Voter) Incarnation() uint64 { return v.incarnation }

// Joined reports whether the voter is in a group.
func (v *Voter) Joined() bool { return v.group != nil }

// ReleaseLog returns the newest release log that the voter knows. Neither the caller nor the voter
// may change it.
func (v *Voter) ReleaseLog() *release.Log { return v.releaseLog }

// IsLeader reports whether this voter leads and a majority confirmed that it led at some time after
// since.
func (v *Voter) IsLeader(since float64) bool {
	return v.isRaftLeader() && v.group.confirmedAt > since
}

// isRaftLeader reports whether this voter is the leader according to its own raft node, with or
// without a confirmation by a majority.
func (v *Voter) isRaftLeader() bool {
	return v.group != nil && v.group.leader == v.incarnation
}

// Term returns the cluster ID of the current version and the raft term, both 0 while the voter is
// detached. Each such pair has at most one leader.
func (v *Voter) Term() (clusterID uint32, term uint64) {
	if v.group == nil {
		return 0, 0
	}
	return v.releaseLog.Current.Epoch.ClusterID(), v.group.node.BasicStatus().GetTerm()
}

// Leader returns the name of the group's leader, "" if it is not known.
func (v *Voter) Leader() string {
	if v.group == nil {
		return ""
	}
	return v.releaseLog.Voters[v.group.leader]
}

// ObserveReleaseLog passes in a release log from another server. A detached voter keeps it if it is
// newer than its own, as a bootstrap starts from the newest known log. A voter in a group ignores
// it.
func (v *Voter) ObserveReleaseLog(log *release.Log) {
	if v.group == nil && log.NewerThan(v.releaseLog) {
		v.releaseLog = log.Clone()
	}
}

// ObserveClusterID tells the voter that a server runs a version with the given cluster ID. The next
// bootstrapped group gets a higher cluster ID.
func (v *Voter) ObserveClusterID(clusterID uint32) {
	v.highestClusterID = max(v.highestClusterID, clusterID)
}

// Propose proposes a command to the group. The proposal may be lost, so the caller has to repeat it
// with the same ID until TakeResults returns the command.
func (v *Voter) Propose(command *release.Command) {
	if v.group == nil || v.group.leader == 0 {
		return
	}
	// Refused during an election; the caller repeats the proposal.
	_ = v.group.node.Propose(v.codec.MarshalCommand(command))
}

// ProposeAsLeader appends a command to the raft log if this voter is the leader. Otherwise it
// proposes nothing and returns ErrNotLeader.
func (v *Voter) ProposeAsLeader(command *release.Command) error {
	if v.group == nil || v.group.node.BasicStatus().RaftState != raft.StateLeader {
		return ErrNotLeader
	}
	return v.group.node.Propose(v.codec.MarshalCommand(command))
}

// TakeOutbox returns the messages to send and empties the outbox.
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

// Tick performs all actions that are due at now: heartbeats, group maintenance, elections and
// confirmations of leadership.
func (v *Voter) Tick(now float64) {
	if now >= v.nextHeartbeat {
		v.nextHeartbeat = now + heartbeatIntervalSeconds
		v.sendHeartbeats(now)
		v.maintainGroup(now)
	}
	if now >= v.nextTick {
		v.nextTick = now + tickIntervalSeconds
		if v.group != nil {
			v.group.node.Tick()
			v.campaignIfDue(now)
		}
	}
	if v.isRaftLeader() && now >= v.nextConfirmation && len(v.group.confirmations) < maxConfirmations {
		v.nextConfirmation = now + confirmIntervalSeconds
		v.requestConfirmation(now)
	}
	v.processReady(now)
}

// HandleMessage processes a message from another voter. It drops a message for another incarnation,
// which has ended.
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
// such a message has been added to the group: it joins with an empty log and waits for a snapshot.
func (v *Voter) handleRaftMessage(now float64, message *Message) {
	if v.group == nil && message.ClusterID != 0 {
		v.joinGroup(now, message.ClusterID, raft.NewMemoryStorage(), nil)
	}
	if v.group == nil || message.ClusterID != v.group.clusterID || message.Raft.GetTo() != v.incarnation {
		return
	}
	switch message.Raft.GetType() {
	case pb.MsgPreVote:
		if v.hasRecentLeaderContact(now) {
			// Otherwise a voter that receives no messages would force one election after another.
			return
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		v.group.electionTimerStart = now
	}
	_ = v.group.node.Step(message.Raft) // the raft core drops messages that it can't use
}

// hasRecentLeaderContact reports whether this voter leads, or received a message from its leader
// within minElectionTimeoutSeconds.
func (v *Voter) hasRecentLeaderContact(now float64) bool {
	return v.isRaftLeader() || v.group.leader != 0 && now < v.group.electionTimerStart+minElectionTimeoutSeconds
}
