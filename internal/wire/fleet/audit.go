package fleet

import (
	"errors"
	"fmt"

	"swiftcourse/internal/policy/audit"
	"swiftcourse/internal/policy/lease"
	"swiftcourse/internal/policy/release"
)

func encodeAccountSummary(m *Envelope) (isPacket_Body, error) {
	return &Packet_AccountSummary{encodeAccount(m.AccountSummary)}, nil
}

func encodeAccount(account *audit.Account) *Account {
	encoded := &Account{
		Name:             account.Name,
		Incarnation:      account.Incarnation,
		Started:          account.Started,
		LastSeen:         account.LastSeen,
		DroppedIntervals: account.DroppedIntervals,
	}
	for _, interval := range account.Intervals {
		encoded.Intervals = append(encoded.Intervals, &Interval{
			Index:    interval.Index,
			Epoch:    uint64(interval.Epoch),
			Digest:   interval.Digest,
			From:     interval.From,
			To:       interval.To,
			Batches:  interval.Batches,
			Requests: interval.Requests,
			Reason:   truncate(interval.Reason),
		})
	}
	return encoded
}

func decodeAccount(encoded *Account) (*audit.Account, error) {
	if len(encoded.GetIntervals()) > maxShortListEntries {
		return nil, fmt.Errorf("%w: %d intervals of an account, limit %d",
			ErrInvalidSize, len(encoded.GetIntervals()), maxShortListEntries)
	}
	account := &audit.Account{
		Name:             encoded.GetName(),
		Incarnation:      encoded.GetIncarnation(),
		Started:          encoded.GetStarted(),
		LastSeen:         encoded.GetLastSeen(),
		DroppedIntervals: encoded.GetDroppedIntervals(),
	}
	err := errors.Join(checkNames(account.Name), checkFinite(account.Started), checkFinite(account.LastSeen))
	for _, interval := range encoded.GetIntervals() {
		err = errors.Join(err, checkNames(interval.Digest, interval.Reason),
			checkFinite(interval.From), checkFinite(interval.To))
		account.Intervals = append(account.Intervals, audit.Interval{
			Index:    interval.Index,
			Epoch:    release.Epoch(interval.Epoch),
			Digest:   interval.Digest,
			From:     interval.From,
			To:       interval.To,
			Batches:  interval.Batches,
			Requests: interval.Requests,
			Reason:   interval.Reason,
		})
	}
	return account, err
}

func encodeStateRequest(m *Envelope) (isPacket_Body, error) {
	request := m.StateRequest
	return &Packet_StateRequest{&StateRequestBody{
		RequestId:    request.RequestID,
		Names:        request.Names,
		ClusterId:    request.ClusterID,
		AppliedCount: request.AppliedCount,
	}}, nil
}

func decodeStateRequest(encoded *StateRequestBody) (*StateRequest, error) {
	if len(encoded.Names) > maxLongListEntries {
		return nil, fmt.Errorf("%w: %d names in a state request, limit %d",
			ErrInvalidSize, len(encoded.Names), maxLongListEntries)
	}
	request := &StateRequest{
		RequestID:    encoded.RequestId,
		Names:        encoded.Names,
		ClusterID:    encoded.ClusterId,
		AppliedCount: encoded.AppliedCount,
	}
	return request, checkNames(request.Names...)
}

func encodeStateReply(m *Envelope) (isPacket_Body, error) {
	reply := m.StateReply
	encoded := &StateReplyBody{
		RequestId:   reply.RequestID,
		ReleaseLog:  encodeReleaseLog(reply.ReleaseLog),
		Replication: encodeReplicationStatus(reply.Replication),
	}
	for i := range reply.Accounts {
		encoded.Accounts = append(encoded.Accounts, encodeAccount(&reply.Accounts[i]))
	}
	for i := range reply.Servers {
		encoded.Servers = append(encoded.Servers, encodeServerStatus(&reply.Servers[i]))
	}
	return &Packet_StateReply{encoded}, nil
}

func decodeStateReply(encoded *StateReplyBody) (*StateReply, error) {
	if len(encoded.Accounts) > maxLongListEntries || len(encoded.Servers) > maxLongListEntries {
		return nil, fmt.Errorf("%w: state reply with %d accounts and %d servers, limit %d each",
			ErrInvalidSize, len(encoded.Accounts), len(encoded.Servers), maxLongListEntries)
	}
	reply := &StateReply{RequestID: encoded.RequestId}
	for _, encodedAccount := range encoded.Accounts {
		account, err := decodeAccount(encodedAccount)
		if err != nil {
			return nil, err
		}
		reply.Accounts = append(reply.Accounts, *account)
	}
	for _, encodedServer := range encoded.Servers {
		server, err := decodeServerStatus(encodedServer)
		if err != nil {
			return nil, err
		}
		reply.Servers = append(reply.Servers, server)
	}
	if encoded.Replication != nil {
		reply.Replication = decodeReplicationStatus(encoded.Replication)
	}
	var err error
	if encoded.ReleaseLog != nil {
		reply.ReleaseLog, err = decodeReleaseLog(encoded.ReleaseLog)
	}
	return reply, err
}

func encodeServerStatus(status *lease.ServerStatus) *ServerStatus {
	return &ServerStatus{
		Name:              status.Name,
		Incarnation:       status.Incarnation,
		ActiveEpoch:       uint64(status.ActiveEpoch),
		AssignedEpoch:     uint64(status.AssignedEpoch),
		SecondsSinceHeard: status.SecondsSinceRequest,
		SecondsBehind:     status.LaggingSeconds,
		BlockedBy:         truncate(status.BlockedBy),
		EjectionReason:    truncate(status.EjectionReason),
		Build:             status.Build,
		Reported:          status.Reported,
	}
}

func decodeServerStatus(encoded *ServerStatus) (lease.ServerStatus, error) {
	status := lease.ServerStatus{
		Name:                encoded.Name,
		Incarnation:         encoded.Incarnation,
		ActiveEpoch:         release.Epoch(encoded.ActiveEpoch),
		AssignedEpoch:       release.Epoch(encoded.AssignedEpoch),
		SecondsSinceRequest: encoded.SecondsSinceHeard,
		LaggingSeconds:      encoded.SecondsBehind,
		BlockedBy:           encoded.BlockedBy,
		EjectionReason:      encoded.EjectionReason,
		Build:               encoded.Build,
		Reported:            encoded.Reported,
	}
	return status, errors.Join(checkNames(encoded.Name, encoded.BlockedBy, encoded.EjectionReason, encoded.Build),
		checkFinite(encoded.SecondsSinceHeard), checkFinite(encoded.SecondsBehind))
}
