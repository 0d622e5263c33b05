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

// Envelope is one message. Exactly one of the fields between Addr and Size, the body, is set; Kind
// tells which.
type Envelope struct {
	From        string // name of the sending process
	Incarnation uint64 // of that process
	Addr        string // address at which that process listens

	Consensus          *consensus.Message
	LeaseRequest       *lease.Request
	LeaseReply         *lease.Reply
	VersionRequest     release.Epoch // requests the version of this epoch
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

	Size int // bytes of the encoded message; set by the receiver
}

// CommandResult is the leader's reply to a command.
type CommandResult struct {
	ID           uint64
	RejectReason string        // "" if the command was applied
	NewestEpoch  release.Epoch // newest epoch that the leader knows
}

// StateRequest requests the receiver's own account, the accounts that it has of the servers in
// Names, and its release log if that is newer than the sender's. A RequestID of 0 requests the
// release log alone.
type StateRequest struct {
	RequestID    uint64
	Names        []string // nil for all
	ClusterID    uint32   // cluster ID of the sender's release log
	AppliedCount uint64   // applied count of the sender's release log
}

// StateReply is the reply to a StateRequest. Only a leader lists the servers, in a reply to an
// audit.
type StateReply struct {
	RequestID   uint64
	Accounts    []audit.Account
	ReleaseLog  *release.Log
	Servers     []lease.ServerStatus
	Replication *replication.Status // nil if replication is off
}
