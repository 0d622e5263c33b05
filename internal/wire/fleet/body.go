package fleet

// bodyDecoders are tried in order. Each decodes the bodies of one group of kinds into m and reports
// whether the packet's body belongs to that group.
var bodyDecoders = [...]func(m *Envelope, packet *Packet) (known bool, err error){
	decodeMembershipBody,
	decodeReleaseBody,
	decodeReplicationBody,
	decodeSharedBody,
	decodeCounterBody,
	decodeLoadPlanBody,
}

// decodeBody decodes the packet's body into m. For an unknown body it returns ErrUnknownBody.
func (m *Envelope) decodeBody(packet *Packet) error {
	for _, decode := range bodyDecoders {
		if known, err := decode(m, packet); known {
			return err
		}
	}
	return ErrUnknownBody
}

// decodeMembershipBody decodes messages of consensus, leases and audits.
func decodeMembershipBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Consensus:
		m.Consensus, err = decodeConsensus(body.Consensus)
	case *Packet_LeaseRequest:
		m.LeaseRequest, err = decodeLeaseRequest(body.LeaseRequest)
	case *Packet_LeaseReply:
		m.LeaseReply, err = decodeLeaseReply(body.LeaseReply)
	case *Packet_AccountSummary:
		m.AccountSummary, err = decodeAccount(body.AccountSummary)
	case *Packet_StateRequest:
		m.StateRequest, err = decodeStateRequest(body.StateRequest)
	case *Packet_StateReply:
		m.StateReply, err = decodeStateReply(body.StateReply)
	default:
		return false, nil
	}
	return true, err
}

// decodeReleaseBody decodes messages about versions and commands.
func decodeReleaseBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_VersionRequest:
		m.VersionRequest, err = decodeVersionRequest(body.VersionRequest)
	case *Packet_Version:
		m.Version, err = decodeVersion(body.Version)
	case *Packet_Command:
		m.Command, err = decodeCommand(body.Command.GetCommand())
	case *Packet_CommandResult:
		m.CommandResult, err = decodeCommandResult(body.CommandResult)
	default:
		return false, nil
	}
	return true, err
}

// decodeReplicationBody decodes messages between coordinators and replicas.
func decodeReplicationBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_ClaimRequest:
		m.ClaimRequest, err = decodeClaimRequest(body.ClaimRequest)
	case *Packet_ClaimReply:
		m.ClaimReply, err = decodeClaimReply(body.ClaimReply)
	case *Packet_PullRequest:
		m.PullRequest, err = decodePullRequest(body.PullRequest)
	case *Packet_PullReply:
		m.PullReply, err = decodePullReply(body.PullReply)
	case *Packet_Checksums:
		m.Checksums, err = decodeChecksums(body.Checksums)
	default:
		return false, nil
	}
	return true, err
}

// decodeSharedBody decodes messages about state that servers share: trusted clients, quotas, and
// the health of the downstream service.
func decodeSharedBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_TrustRequest:
		m.TrustRequest = true
	case *Packet_TrustRecords:
		m.TrustRecords, err = decodeTrustRecords(body.TrustRecords)
	case *Packet_QuotaRequest:
		m.QuotaRequest, err = decodeQuotaRequest(body.QuotaRequest, packet.Incarnation)
	case *Packet_QuotaReply:
		m.QuotaReply, err = decodeQuotaReply(body.QuotaReply)
	case *Packet_HealthReports:
		m.HealthReports, err = decodeHealthReports(body.HealthReports)
	default:
		return false, nil
	}
	return true, err
}

// decodeCounterBody decodes messages between counter reporters and aggregators.
func decodeCounterBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_CounterReport:
		m.CounterReport, err = decodeCounterRow(body.CounterReport)
	case *Packet_CounterAck:
		m.CounterAck, err = decodeCounterAckBody(body.CounterAck)
	case *Packet_CounterSyncRequest:
		m.CounterSyncRequest, err = decodeCounterSyncRequest(body.CounterSyncRequest)
	case *Packet_CounterSyncReply:
		m.CounterSyncReply, err = decodeCounterSyncReply(body.CounterSyncReply)
	default:
		return false, nil
	}
	return true, err
}

// decodeLoadPlanBody decodes messages between forwarders and planners.
func decodeLoadPlanBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_ForwarderReport:
		m.ForwarderReport, err = decodeForwarderReport(body.ForwarderReport)
	case *Packet_PlanAssignment:
		m.PlanAssignment, err = decodePlanAssignment(body.PlanAssignment)
	default:
		return false, nil
	}
	return true, err
}
