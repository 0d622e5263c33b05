package consensus

// Intervals and timeouts of a voter, in seconds unless said otherwise.
const (
	// tickInterval is the time between two ticks of the raft core.
	tickInterval = 0.05
	// raftHeartbeatTicks is how many ticks there are between a leader's heartbeats in raft: 0.1 s, a
	// tenth of minElectionTimeout, so that nine in a row have to be lost.
	raftHeartbeatTicks = 2
	// heartbeatInterval is the time between the voters' own heartbeats.
	heartbeatInterval = 0.2

	// minElectionTimeout is how long a leader is silent before anybody campaigns: ten times the
	// longest pauses measured of a busy process.
	minElectionTimeout = 1.0
	// electionJitter bounds the random addition to it, so that two voters seldom campaign at once.
	electionJitter = 1.0

	// heartbeatTTL is how long a heartbeat counts; some of those that follow may be lost.
	heartbeatTTL = 1.5
	// deadAfter is how long an incarnation is silent before another one of its name may take its
	// place, so that a second process of the same name can't displace the first. A voter that
	// restarts waits as long.
	deadAfter = 2.0
	// joinTimeout is how long a voter that received a message of a group waits for the snapshot that
	// makes it a member: three times what the group's leader waits.
	joinTimeout = 3 * deadAfter
	// bootstrapDelay is how long a detached voter listens before it bootstraps a group: longer than
	// heartbeatTTL, so that it hears of any group there is, and over a second, so that two
	// bootstraps never have the same cluster ID, see nextClusterID.
	bootstrapDelay = 2.0
	// confirmInterval is how often a leader has a majority confirm that it still leads.
	confirmInterval = 0.25
	// maxConfirmations bounds the confirmations that are requested but not answered.
	maxConfirmations = 64

	// compactionThreshold is how many entries the raft log has before a snapshot replaces them: at
	// most 64 texts of 64 KiB, 4 MB.
	compactionThreshold = 64

	// clusterIDEpoch is 2026-01-01 in Unix seconds: cluster IDs are at least the seconds since.
	clusterIDEpoch = 1767225600
)

// Limits of the raft core's buffers.
const (
	maxRaftMessageBytes     = 1 << 20
	maxRaftInflightMessages = 16
	maxUncommittedBytes     = 8 << 20
	// noRaftElectionTicks keeps the raft core from elections of its own: this package times them,
	// see Voter.campaignIfDue.
	noRaftElectionTicks = 1 << 30
)
