package consensus

import (
	pb "go.etcd.io/raft/v3/raftpb"

	"swiftcourse/internal/policy/release"
)

// Heartbeat is what each voter tells every other one several times a second, in a group or not.
type Heartbeat struct {
	Name string

	// Incarnation is drawn at the start and whenever a group is left; it is never used again.
	Incarnation uint64

	ClusterID       uint32 // of the voter's group, 0 while it is detached
	NewestClusterID uint32 // of the newest release log that it knows
	AppliedCount    uint64 // of that log

	// DetachedVoters has, while the voter is detached, the incarnations of the detached voters that it
	// heard lately, and its own, by name.
	DetachedVoters map[string]uint64

	// Voters has, while the voter is in a group, the incarnations of that group's voters by name.
	Voters map[string]uint64
}

// Bootstrap opens a group: all its voters start from the same release log.
type Bootstrap struct {
	ClusterID  uint32
	Voters     map[uint64]string // incarnation to name
	ReleaseLog *release.Log
}

// Message goes between two voters. One of Heartbeat, Bootstrap, RequestReleaseLog, ReleaseLog and
// Raft is set.
type Message struct {
	From              uint64 // incarnation
	To                uint64 // incarnation, 0 if any may read it
	ClusterID         uint32 // of Raft
	Heartbeat         *Heartbeat
	Bootstrap         *Bootstrap
	RequestReleaseLog bool         // asks the receiver for its newest release log
	ReleaseLog        *release.Log // the reply
	Raft              *pb.Message
}

// Envelope is a message with the name of the voter that it is for.
type Envelope struct {
	To      string
	Message Message
}

// CommandResult says how a committed command ended, whoever proposed it.
type CommandResult struct {
	Command *release.Command
	Err     error // why the release log refused it, nil if it did not
}

// Codec writes commands and release logs as bytes, which raft carries without a look. The Unmarshal
// methods check all bounds.
type Codec interface {
	MarshalCommand(*release.Command) []byte
	UnmarshalCommand([]byte) (*release.Command, error)
	MarshalLog(*release.Log) []byte
	UnmarshalLog([]byte) (*release.Log, error)
}
