package fleet

// bodyDecoders are tried in their order. Each decodes the bodies of one group of messages into m, and
// reports whether the packet's body belongs to its group.
var bodyDecoders = [...]func(m *Envelope, packet *Packet) (known bool, err error){
	decodeMembershipBody,
	decodeReleaseBody,
	decodeReplicationBody,
	decodeSharedBody,
	decodeCounterBody,
	decodeLoadPlanBody,
}

// decodeBody decodes the packet's body into m.
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
	case *Packet_Voting:
		m.Consensus, err = decodeConsensus(body.Voting)
	case *Packet_Question:
		m.LeaseRequest, err = decodeLeaseRequest(body.Question)
	case *Packet_Answer:
		m.LeaseReply, err = decodeLeaseReply(body.Answer)
	case *Packet_Brief:
		m.AccountSummary, err = decodeAccount(body.Brief)
	case *Packet_Accounts:
		m.StateRequest, err = decodeStateRequest(body.Accounts)
	case *Packet_Told:
		m.StateReply, err = decodeStateReply(body.Told)
	default:
		return false, nil
	}
	return true, err
}

// decodeReleaseBody decodes messages about releases and operators' commands.
func decodeReleaseBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Want:
		m.VersionRequest, err = decodeVersionRequest(body.Want)
	case *Packet_Version:
		m.Version, err = decodeVersion(body.Version)
	case *Packet_Do:
		m.Command, err = decodeCommand(body.Do.GetCommand())
	case *Packet_Done:
		m.CommandResult, err = decodeCommandResult(body.Done)
	default:
		return false, nil
	}
	return true, err
}

// decodeReplicationBody decodes messages between coordinators and replicas.
func decodeReplicationBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Claiming:
		m.ClaimRequest, err = decodeClaimRequest(body.Claiming)
	case *Packet_Claimed:
		m.ClaimReply, err = decodeClaimReply(body.Claimed)
	case *Packet_Pulling:
		m.PullRequest, err = decodePullRequest(body.Pulling)
	case *Packet_Slice:
		m.PullReply, err = decodePullReply(body.Slice)
	case *Packet_Sums:
		m.Checksums, err = decodeChecksums(body.Sums)
	default:
		return false, nil
	}
	return true, err
}

// decodeSharedBody decodes messages about what servers share: trusted clients, quotas, and
// the health of the downstream service.
func decodeSharedBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_AskCallers:
		m.TrustRequest = true
	case *Packet_Vouchers:
		m.TrustRecords, err = decodeTrustRecords(body.Vouchers)
	case *Packet_Wishing:
		m.QuotaRequest, err = decodeQuotaRequest(body.Wishing, packet.Life)
	case *Packet_Granting:
		m.QuotaReply, err = decodeQuotaReply(body.Granting)
	case *Packet_Healths:
		m.HealthReports, err = decodeHealthReports(body.Healths)
	default:
		return false, nil
	}
	return true, err
}

// decodeCounterBody decodes messages between counter reporters and aggregators.
func decodeCounterBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Row:
		m.CounterReport, err = decodeCounterRow(body.Row)
	case *Packet_RowHeard:
		m.CounterAck, err = decodeCounterAckBody(body.RowHeard)
	case *Packet_AskRows:
		m.CounterSyncRequest, err = decodeCounterSyncRequest(body.AskRows)
	case *Packet_Rows:
		m.CounterSyncReply, err = decodeCounterSyncReply(body.Rows)
	default:
		return false, nil
	}
	return true, err
}

// decodeLoadPlanBody decodes messages between forwarders and planners.
func decodeLoadPlanBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_PlanReport:
		m.ForwarderReport, err = decodeForwarderReport(body.PlanReport)
	case *Packet_PlanPart:
		m.PlanAssignment, err = decodePlanAssignment(body.PlanPart)
	default:
		return false, nil
	}
	return true, err
}
