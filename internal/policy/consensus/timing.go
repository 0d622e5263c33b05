package consensus

// Intervals, timeouts and limits of a voter.
const (
	// tickIntervalSeconds is the time between two ticks of the raft core.
	tickIntervalSeconds = 0.05
	// raftHeartbeatTicks is the number of ticks between a leader's raft heartbeats. The interval is
	// 0.1 s, a tenth of minElectionTimeoutSeconds, so nine heartbeats in a row have to be lost
	// before an election.
	raftHeartbeatTicks = 2
	// heartbeatIntervalSeconds is the time between two Heartbeat messages of a voter.
	heartbeatIntervalSeconds = 0.2

	// minElectionTimeoutSeconds is the least time without a message from the leader before a voter
	// campaigns. It is ten times the longest pause of a busy process.
	minElectionTimeoutSeconds = 1.0
	// maxElectionJitterSeconds bounds the random addition to minElectionTimeoutSeconds, which makes
	// it unlikely that two voters campaign at the same time.
	maxElectionJitterSeconds = 1.0

	// heartbeatTTLSeconds is how long a peer counts as alive after a heartbeat. It covers several
	// heartbeat intervals, as some heartbeats may be lost.
	heartbeatTTLSeconds = 1.5
	// replacementDelaySeconds is the time without a heartbeat after which another incarnation of
	// the same name may replace an incarnation. A second process with the same name therefore can't
	// displace one that still runs. A restarted voter waits this long before it becomes a member
	// again.
	replacementDelaySeconds = 2.0
	// joinTimeoutSeconds is how long a voter that received a raft message of a group waits for the
	// snapshot that makes it a member. It is three times as long as the group's leader waits before
	// it adds the voter.
	joinTimeoutSeconds = 3 * replacementDelaySeconds
	// bootstrapDelaySeconds is how long a voter is detached before it bootstraps a group. It is
	// longer than heartbeatTTLSeconds, so that the voter learns of any existing group, and longer
	// than a second, so that two bootstraps never get the same cluster ID, see nextClusterID.
	bootstrapDelaySeconds = 2.0
	// confirmIntervalSeconds is the time between two requests of a leader that a majority confirm
	// its leadership.
	confirmIntervalSeconds = 0.25
	// maxConfirmations bounds the number of requested confirmations without an answer.
	maxConfirmations = 64

	// compactionThresholdEntries is the number of entries after which a snapshot replaces the raft
	// log. With the largest texts, of 64 KiB, the log then takes 4 MB.
	compactionThresholdEntries = 64

	// clusterIDEpochUnixSeconds is 2026-01-01 in Unix seconds. The cluster ID of a bootstrap is at
	// least the number of seconds since then.
	clusterIDEpochUnixSeconds = 1767225600
)

// Limits of the raft core's buffers.
const (
	maxRaftMessageBytes     = 1 << 20
	maxRaftInflightMessages = 16
	maxUncommittedBytes     = 8 << 20
	// noRaftElectionTicks is an election timeout that never expires. It disables the raft core's
	// own election timer, which Voter.campaignIfDue replaces.
	noRaftElectionTicks = 1 << 30
)
