package fleet

// Kind is the kind of the body of an Envelope.
type Kind uint8

// The kinds of bodies. KindNone is the kind of an envelope without a body.
const (
	KindNone Kind = iota
	KindConsensus
	KindLeaseRequest
	KindLeaseReply
	KindVersionRequest
	KindVersion
	KindCommand
	KindCommandResult
	KindAccountSummary
	KindStateRequest
	KindStateReply
	KindClaimRequest
	KindClaimReply
	KindPullRequest
	KindPullReply
	KindChecksums
	KindTrustRequest
	KindTrustRecords
	KindQuotaRequest
	KindQuotaReply
	KindHealthReports
	KindCounterReport
	KindCounterAck
	KindCounterSyncRequest
	KindCounterSyncReply
	KindForwarderReport
	KindPlanAssignment
	KindCount // number of kinds
)

var kindNames = [KindCount]string{
	KindNone:               "none",
	KindConsensus:          "consensus",
	KindLeaseRequest:       "lease_request",
	KindLeaseReply:         "lease_reply",
	KindVersionRequest:     "version_request",
	KindVersion:            "version",
	KindCommand:            "command",
	KindCommandResult:      "command_result",
	KindAccountSummary:     "account_summary",
	KindStateRequest:       "state_request",
	KindStateReply:         "state_reply",
	KindClaimRequest:       "claim_request",
	KindClaimReply:         "claim_reply",
	KindPullRequest:        "pull_request",
	KindPullReply:          "pull_reply",
	KindChecksums:          "checksums",
	KindTrustRequest:       "trust_request",
	KindTrustRecords:       "trust_records",
	KindQuotaRequest:       "quota_request",
	KindQuotaReply:         "quota_reply",
	KindHealthReports:      "health_reports",
	KindCounterReport:      "counter_report",
	KindCounterAck:         "counter_ack",
	KindCounterSyncRequest: "counter_sync_request",
	KindCounterSyncReply:   "counter_sync_reply",
	KindForwarderReport:    "forwarder_report",
	KindPlanAssignment:     "plan_assignment",
}

// String returns the kind's name.
func (k Kind) String() string {
	if k >= KindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Kind returns the kind of the body that the envelope has.
func (m *Envelope) Kind() Kind {
	hasBody := [KindCount]bool{
		KindConsensus:          m.Consensus != nil,
		KindLeaseRequest:       m.LeaseRequest != nil,
		KindLeaseReply:         m.LeaseReply != nil,
		KindVersionRequest:     m.VersionRequest != 0,
		KindVersion:            m.Version != nil,
		KindCommand:            m.Command != nil,
		KindCommandResult:      m.CommandResult != nil,
		KindAccountSummary:     m.AccountSummary != nil,
		KindStateRequest:       m.StateRequest != nil,
		KindStateReply:         m.StateReply != nil,
		KindClaimRequest:       m.ClaimRequest != nil,
		KindClaimReply:         m.ClaimReply != nil,
		KindPullRequest:        m.PullRequest != nil,
		KindPullReply:          m.PullReply != nil,
		KindChecksums:          m.Checksums != nil,
		KindTrustRequest:       m.TrustRequest,
		KindTrustRecords:       m.TrustRecords != nil,
		KindQuotaRequest:       m.QuotaRequest != nil,
		KindQuotaReply:         m.QuotaReply != nil,
		KindHealthReports:      m.HealthReports != nil,
		KindCounterReport:      m.CounterReport != nil,
		KindCounterAck:         m.CounterAck != nil,
		KindCounterSyncRequest: m.CounterSyncRequest != nil,
		KindCounterSyncReply:   m.CounterSyncReply != nil,
		KindForwarderReport:    m.ForwarderReport != nil,
		KindPlanAssignment:     m.PlanAssignment != nil,
	}
	for kind, present := range hasBody {
		if present {
			return Kind(kind)
		}
	}
	return KindNone
}
