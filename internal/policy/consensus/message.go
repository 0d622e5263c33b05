package consensus

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// Heartbeat describes the state of a voter. Each voter sends it to every other voter several times
// a second, whether or not it is in a group.
type Heartbeat struct {
	Name string

	// Incarnation is drawn at the start and whenever the voter leaves a group. It is never reused.
	Incarnation uint64

	// ClusterID is the ID of the voter's group, 0 while the voter is detached.
	ClusterID uint32

	// NewestClusterID and AppliedCount are the position of the newest release log that the voter
	// has, see release.Position.
	NewestClusterID uint32
	AppliedCount    uint64

	// DetachedVoters holds, while the voter is detached, its own incarnation and the incarnations of
	// the detached voters from which it received a recent heartbeat, by name.
	DetachedVoters map[string]uint64

	// Voters holds, while the voter is in a group, the incarnations of the group's voters by name.
	Voters map[string]uint64
}

// Bootstrap creates a group: all its voters start from the same release log.
type Bootstrap struct {
	ClusterID  uint32
	Voters     map[uint64]string // names by incarnation
	ReleaseLog *release.Log
}

// Message is a message between two voters. Exactly one of Heartbeat, Bootstrap, RequestReleaseLog,
// ReleaseLog and Raft is set.
type Message struct {
	From              uint64 // incarnation of the sender
	To                uint64 // incarnation of the receiver, 0 for any
	ClusterID         uint32 // ID of the group in which Raft is sent
	Heartbeat         *Heartbeat
	Bootstrap         *Bootstrap
	RequestReleaseLog bool         // asks the receiver for its newest release log
	ReleaseLog        *release.Log // reply to RequestReleaseLog
	Raft              *pb.Message
}

// Envelope is a message with the name of the voter to send it to.
type Envelope struct {
	VoterName string
	Message   Message
}

// CommandResult is the result of applying a committed command of any author to the release log.
type CommandResult struct {
	Command *release.Command
	Err     error // why the release log refused the command, nil if it was applied
}

// Codec encodes commands and release logs to the bytes that raft replicates, and decodes them. The
// Unmarshal methods return an error for data that is malformed or exceeds a limit.
type Codec interface {
	MarshalCommand(*release.Command) []byte
	UnmarshalCommand([]byte) (*release.Command, error)
	MarshalLog(*release.Log) []byte
	UnmarshalLog([]byte) (*release.Log, error)
}
