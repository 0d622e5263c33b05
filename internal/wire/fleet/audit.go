package fleet

import (
	"errors"

	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

func encodeAccountSummary(m *Envelope) (isPacket_Body, error) {
	return &Packet_Brief{encodeAccount(m.AccountSummary)}, nil
}

func encodeAccount(account *audit.Account) *Account {
	encoded := &Account{
		Name:    account.Name,
		Life:    account.Incarnation,
		Started: account.Started,
		Seen:    account.LastSeen,
		Dropped: account.DroppedIntervals,
	}
	for _, interval := range account.Intervals {
		encoded.Intervals = append(encoded.Intervals, &Interval{
			N:       interval.Index,
			Epoch:   uint64(interval.Epoch),
			Digest:  interval.Digest,
			From:    interval.From,
			To:      interval.To,
			Batches: interval.Batches,
			Tasks:   interval.Requests,
			Why:     truncate(interval.Reason),
		})
	}
	return encoded
}

func decodeAccount(encoded *Account) (*audit.Account, error) {
	if len(encoded.GetIntervals()) > maxListEntries {
		return nil, ErrTooLarge
	}
	account := &audit.Account{
		Name:             encoded.GetName(),
		Incarnation:      encoded.GetLife(),
		Started:          encoded.GetStarted(),
		LastSeen:         encoded.GetSeen(),
		DroppedIntervals: encoded.GetDropped(),
	}
	err := errors.Join(checkNames(account.Name), checkFinite(account.Started), checkFinite(account.LastSeen))
	for _, interval := range encoded.GetIntervals() {
		err = errors.Join(err, checkNames(interval.Digest, interval.Why),
			checkFinite(interval.From), checkFinite(interval.To))
		account.Intervals = append(account.Intervals, audit.Interval{
			Index:    interval.N,
			Epoch:    release.Epoch(interval.Epoch),
			Digest:   interval.Digest,
			From:     interval.From,
			To:       interval.To,
			Batches:  interval.Batches,
			Requests: interval.Tasks,
			Reason:   interval.Why,
		})
	}
	return account, err
}

func encodeStateRequest(m *Envelope) (isPacket_Body, error) {
	request := m.StateRequest
	return &Packet_Accounts{&Accounts{
		Number:   request.RequestID,
		Names:    request.Names,
		Founding: request.ClusterID,
		Count:    request.AppliedCount,
	}}, nil
}

func decodeStateRequest(encoded *Accounts) (*StateRequest, error) {
	if len(encoded.Names) > maxMapEntries {
		return nil, ErrTooLarge
	}
	request := &StateRequest{
		RequestID:    encoded.Number,
		Names:        encoded.Names,
		ClusterID:    encoded.Founding,
		AppliedCount: encoded.Count,
	}
	return request, checkNames(request.Names...)
}

func encodeStateReply(m *Envelope) (isPacket_Body, error) {
	reply := m.StateReply
	encoded := &Telling{
		Number: reply.RequestID,
		Order:  encodeReleaseLog(reply.ReleaseLog),
		Copies: encodeReplicationStatus(reply.Replication),
	}
	for i := range reply.Accounts {
		encoded.Accounts = append(encoded.Accounts, encodeAccount(&reply.Accounts[i]))
	}
	for i := range reply.Servers {
		encoded.Standings = append(encoded.Standings, encodeServerStatus(&reply.Servers[i]))
	}
	return &Packet_Told{encoded}, nil
}

func decodeStateReply(encoded *Telling) (*StateReply, error) {
	if len(encoded.Accounts) > maxMapEntries || len(encoded.Standings) > maxMapEntries {
		return nil, ErrTooLarge
	}
	reply := &StateReply{RequestID: encoded.Number}
	for _, encodedAccount := range encoded.Accounts {
		account, err := decodeAccount(encodedAccount)
		if err != nil {
			return nil, err
		}
		reply.Accounts = append(reply.Accounts, *account)
	}
	for _, encodedServer := range encoded.Standings {
		server, err := decodeServerStatus(encodedServer)
		if err != nil {
			return nil, err
		}
		reply.Servers = append(reply.Servers, server)
	}
	if encoded.Copies != nil {
		reply.Replication = decodeReplicationStatus(encoded.Copies)
	}
	var err error
	if encoded.Order != nil {
		reply.ReleaseLog, err = decodeReleaseLog(encoded.Order)
	}
	return reply, err
}

func encodeServerStatus(status *lease.ServerStatus) *Standing {
	return &Standing{
		Name:   status.Name,
		Life:   status.Incarnation,
		Epoch:  uint64(status.ActiveEpoch),
		Right:  uint64(status.AssignedEpoch),
		Heard:  status.SecondsSinceHeard,
		Behind: status.SecondsBehind,
		Stuck:  truncate(status.BlockedBy),
		Out:    truncate(status.EjectionReason),
		Build:  status.Build,
		Known:  status.Reported,
	}
}

func decodeServerStatus(encoded *Standing) (lease.ServerStatus, error) {
	status := lease.ServerStatus{
		Name:              encoded.Name,
		Incarnation:       encoded.Life,
		ActiveEpoch:       release.Epoch(encoded.Epoch),
		AssignedEpoch:     release.Epoch(encoded.Right),
		SecondsSinceHeard: encoded.Heard,
		SecondsBehind:     encoded.Behind,
		BlockedBy:         encoded.Stuck,
		EjectionReason:    encoded.Out,
		Build:             encoded.Build,
		Reported:          encoded.Known,
	}
	return status, errors.Join(checkNames(encoded.Name, encoded.Stuck, encoded.Out, encoded.Build),
		checkFinite(encoded.Heard), checkFinite(encoded.Behind))
}
