package fleet

import (
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

// Envelope is one message. Exactly one of the fields between Addr and Size is set; Kind tells
// which.
type Envelope struct {
	From        string // name of the process that sent it
	Incarnation uint64 // of that process
	Addr        string // where that process listens

	Consensus          *consensus.Message
	LeaseRequest       *lease.Request
	LeaseReply         *lease.Reply
	VersionRequest     release.Epoch // requests the version of that epoch
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
	TrustRequest       bool // requests trust records
	QuotaRequest       *quota.Request
	QuotaReply         *quota.Reply
	HealthReports      []circuitbreaker.Report
	CounterReport      *counter.RowReport
	CounterAck         *counter.RowAck
	CounterSyncRequest *counter.RowQuery
	CounterSyncReply   *counter.RowQueryReply
	ForwarderReport    *loadplan.Report
	PlanAssignment     *loadplan.Assignment

	Size int // bytes of the encoded message, set by who received it
}

// CommandResult is how a command ended, as the leader saw it.
type CommandResult struct {
	ID           uint64
	RejectReason string // "" if it was carried out
	NewestEpoch  release.Epoch
}

// StateRequest requests a process's own account, those that it knows of some other names, and its
// release log if that is newer than the sender's. A RequestID of 0 requests the release log alone.
type StateRequest struct {
	RequestID    uint64
	Names        []string // nil for all
	ClusterID    uint32   // of the release log that the sender has
	AppliedCount uint64   // of that log
}

// StateReply answers a StateRequest. Only a leader's reply to an audit lists the servers.
type StateReply struct {
	RequestID   uint64
	Accounts    []audit.Account
	ReleaseLog  *release.Log
	Servers     []lease.ServerStatus
	Replication *replication.Status // nil if replication is off
}
