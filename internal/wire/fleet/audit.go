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

func encodeAccount(a *audit.Account) *Account {
	p := &Account{Name: a.Name, Life: a.Incarnation, Started: a.Started, Seen: a.LastSeen, Dropped: a.DroppedIntervals}
	for _, i := range a.Intervals {
		p.Intervals = append(p.Intervals, &Interval{
			N:       i.Index,
			Epoch:   uint64(i.Epoch),
			Digest:  i.Digest,
			From:    i.From,
			To:      i.To,
			Batches: i.Batches,
			Tasks:   i.Requests,
			Why:     truncate(i.Reason),
		})
	}
	return p
}

func decodeAccount(p *Account) (*audit.Account, error) {
	if len(p.GetIntervals()) > maxListEntries {
		return nil, ErrTooLarge
	}
	a := &audit.Account{
		Name:             p.GetName(),
		Incarnation:      p.GetLife(),
		Started:          p.GetStarted(),
		LastSeen:         p.GetSeen(),
		DroppedIntervals: p.GetDropped(),
	}
	err := errors.Join(checkNames(a.Name), checkFinite(a.Started), checkFinite(a.LastSeen))
	for _, i := range p.GetIntervals() {
		err = errors.Join(err, checkNames(i.Digest, i.Why), checkFinite(i.From), checkFinite(i.To))
		a.Intervals = append(a.Intervals, audit.Interval{
			Index:    i.N,
			Epoch:    release.Epoch(i.Epoch),
			Digest:   i.Digest,
			From:     i.From,
			To:       i.To,
			Batches:  i.Batches,
			Requests: i.Tasks,
			Reason:   i.Why,
		})
	}
	return a, err
}

func encodeStateRequest(m *Envelope) (isPacket_Body, error) {
	r := m.StateRequest
	return &Packet_Accounts{&Accounts{
		Number:   r.RequestID,
		Names:    r.Names,
		Founding: r.ClusterID,
		Count:    r.AppliedCount,
	}}, nil
}

func decodeStateRequest(p *Accounts) (*StateRequest, error) {
	if len(p.Names) > maxMapEntries {
		return nil, ErrTooLarge
	}
	r := &StateRequest{
		RequestID:    p.Number,
		Names:        p.Names,
		ClusterID:    p.Founding,
		AppliedCount: p.Count,
	}
	return r, checkNames(r.Names...)
}

func encodeStateReply(m *Envelope) (isPacket_Body, error) {
	r := m.StateReply
	p := &Telling{
		Number: r.RequestID,
		Order:  encodeReleaseLog(r.ReleaseLog),
		Copies: encodeReplicationStatus(r.Replication),
	}
	for i := range r.Accounts {
		p.Accounts = append(p.Accounts, encodeAccount(&r.Accounts[i]))
	}
	for i := range r.Servers {
		p.Standings = append(p.Standings, encodeServerStatus(&r.Servers[i]))
	}
	return &Packet_Told{p}, nil
}

func decodeStateReply(p *Telling) (*StateReply, error) {
	if len(p.Accounts) > maxMapEntries || len(p.Standings) > maxMapEntries {
		return nil, ErrTooLarge
	}
	r := &StateReply{RequestID: p.Number}
	for _, one := range p.Accounts {
		account, err := decodeAccount(one)
		if err != nil {
			return nil, err
		}
		r.Accounts = append(r.Accounts, *account)
	}
	for _, one := range p.Standings {
		server, err := decodeServerStatus(one)
		if err != nil {
			return nil, err
		}
		r.Servers = append(r.Servers, server)
	}
	if p.Copies != nil {
		r.Replication = decodeReplicationStatus(p.Copies)
	}
	var err error
	if p.Order != nil {
		r.ReleaseLog, err = decodeReleaseLog(p.Order)
	}
	return r, err
}

func encodeServerStatus(s *lease.ServerStatus) *Standing {
	return &Standing{
		Name:   s.Name,
		Life:   s.Incarnation,
		Epoch:  uint64(s.ActiveEpoch),
		Right:  uint64(s.AssignedEpoch),
		Heard:  s.SecondsSinceHeard,
		Behind: s.SecondsBehind,
		Stuck:  truncate(s.BlockedBy),
		Out:    truncate(s.EjectionReason),
		Build:  s.Build,
		Known:  s.Reported,
	}
}

func decodeServerStatus(p *Standing) (lease.ServerStatus, error) {
	s := lease.ServerStatus{
		Name:              p.Name,
		Incarnation:       p.Life,
		ActiveEpoch:       release.Epoch(p.Epoch),
		AssignedEpoch:     release.Epoch(p.Right),
		SecondsSinceHeard: p.Heard,
		SecondsBehind:     p.Behind,
		BlockedBy:         p.Stuck,
		EjectionReason:    p.Out,
		Build:             p.Build,
		Reported:          p.Known,
	}
	return s, errors.Join(checkNames(p.Name, p.Stuck, p.Out, p.Build),
		checkFinite(p.Heard), checkFinite(p.Behind))
}
