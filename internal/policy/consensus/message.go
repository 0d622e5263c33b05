package consensus

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// Heartbeat describes the state of a voter. Each voter sends it to every other one several times a
// second, in a group or not.
type Heartbeat struct {
	Name string

	// Incarnation is drawn at the start and whenever a group is left; it is never used again.
	Incarnation uint64

	ClusterID       uint32 // of the voter's group, 0 while it is detached
	NewestClusterID uint32 // the position of the newest release log that it knows, see release.Position
	AppliedCount    uint64

	// DetachedVoters has, while the voter is detached, the incarnations of the detached voters that it
	// heard lately, and its own, by name.
	DetachedVoters map[string]uint64

	// Voters has, while the voter is in a group, the incarnations of that group's voters by name.
	Voters map[string]uint64
}

// Bootstrap creates a group: all its voters start from the same release log.
type Bootstrap struct {
	ClusterID  uint32
	Voters     map[uint64]string // incarnation to name
	ReleaseLog *release.Log
}

// Message goes between two voters. One of Heartbeat, Bootstrap, RequestReleaseLog, ReleaseLog and
// Raft is set.
type Message struct {
	From              uint64 // incarnation
	To                uint64 // incarnation, 0 for any
	ClusterID         uint32 // of the group that Raft is for
	Heartbeat         *Heartbeat
	Bootstrap         *Bootstrap
	RequestReleaseLog bool         // asks the receiver for its newest release log
	ReleaseLog        *release.Log // the reply
	Raft              *pb.Message
}

// Envelope is a message with the name of the voter to send it to.
type Envelope struct {
	VoterName string
	Message   Message
}

// CommandResult tells how the release log took a committed command, whoever proposed it.
type CommandResult struct {
	Command *release.Command
	Err     error // why the release log refused it, nil if it did not
}

// Codec encodes the commands and release logs that raft replicates as bytes. The Unmarshal methods
// return an error for anything out of bounds.
type Codec interface {
	MarshalCommand(*release.Command) []byte
	UnmarshalCommand([]byte) (*release.Command, error)
	MarshalLog(*release.Log) []byte
	UnmarshalLog([]byte) (*release.Log, error)
}
