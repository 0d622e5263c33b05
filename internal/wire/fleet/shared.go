package fleet

// decodeSharedBody decodes messages of what servers share: trust in clients, quotas, and the health
// of the service below.
func decodeSharedBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_AskCallers:
		m.TrustRequest = true
	case *Packet_Vouchers:
		m.TrustRecords, err = decodeTrustRecords(body.Vouchers)
	case *Packet_Wishing:
		m.QuotaRequest, err = decodeQuotaRequest(body.Wishing)
		if err == nil {
			m.QuotaRequest.Incarnation = packet.Life
		}
	case *Packet_Granting:
		m.QuotaReply, err = decodeQuotaReply(body.Granting)
	case *Packet_Healths:
		m.HealthReports, err = decodeHealthReports(body.Healths)
	default:
		return false, nil
	}
	return true, err
}
