package fleet

import (
	"errors"
	"math"

	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/policy/release"
)

// decodeReleaseBody decodes messages about releases and operators' commands.
func decodeReleaseBody(m *Envelope, packet *Packet) (known bool, err error) {
	switch body := packet.Body.(type) {
	case *Packet_Want:
		m.VersionRequest = release.Epoch(body.Want.Epoch)
		if m.VersionRequest == 0 {
			err = ErrOutOfRange
		}
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

func encodeVersionRequest(m *Envelope) (isPacket_Body, error) {
	return &Packet_Want{&Want{Epoch: uint64(m.VersionRequest)}}, nil
}

func encodeVersionBody(m *Envelope) (isPacket_Body, error) {
	return &Packet_Version{encodeVersion(m.Version)}, nil
}

func encodeVersion(v *release.Version) *Version {
	if v == nil {
		return nil
	}
	return &Version{
		Epoch:  uint64(v.Epoch),
		Digest: v.Digest,
		Author: v.Author,
		At:     v.ReleasedAt,
		Text:   v.Text,
		Build:  v.Build,
	}
}

func decodeVersion(p *Version) (*release.Version, error) {
	if len(p.Text) > maxText {
		return nil, ErrTooLarge
	}
	v := &release.Version{
		Epoch:      release.Epoch(p.Epoch),
		Digest:     p.Digest,
		Author:     p.Author,
		ReleasedAt: p.At,
		Text:       p.Text,
		Build:      p.Build,
	}
	return v, errors.Join(checkNames(p.Digest, p.Author, p.Build), checkFinite(p.At))
}

func encodeReleaseLog(l *release.Log) *Order {
	if l == nil {
		return nil
	}
	p := &Order{
		Count: l.AppliedCount,
		Base:  encodeVersion(&l.Current),
		Prior: encodeVersion(l.Previous),
		Next:  encodeVersion(l.Next),
		Waves: l.Waves,
		Wave:  uint32(l.WaveIndex),
		Upto:  l.WaveLimit,
		Holds: l.Members,
		Done:  l.LastCommandIDs,
		Seats: l.Voters,
		Out:   map[string]*Outed{},
		Over:  encodeClosedRows(l.ClosedRows),
		Sums:  encodeCounts(l.ClosedTotals),
	}
	for _, e := range l.History {
		p.Past = append(p.Past, &Mark{
			Epoch:  uint64(e.Epoch),
			Digest: e.Digest,
			Author: e.Author,
			At:     e.ReleasedAt,
			Fate:   truncate(e.Outcome),
		})
	}
	for name, e := range l.Ejected {
		p.Out[name] = &Outed{
			Life: e.Incarnation,
			By:   e.Author,
			Why:  e.Reason,
			On:   uint64(e.Epoch),
			At:   e.EjectedAt,
		}
	}
	return p
}

func decodeReleaseLog(p *Order) (*release.Log, error) {
	if err := checkReleaseLog(p); err != nil {
		return nil, err
	}
	l := (&release.Log{
		AppliedCount:   p.Count,
		Waves:          p.Waves,
		WaveIndex:      int(p.Wave),
		WaveLimit:      p.Upto,
		Members:        p.Holds,
		LastCommandIDs: p.Done,
		Voters:         p.Seats,
	}).Clone()
	if err := decodeVersions(l, p); err != nil {
		return nil, err
	}
	var err error
	if l.History, err = decodeHistory(p.Past); err != nil {
		return nil, err
	}
	if l.ClosedRows, err = decodeClosedRows(p.Over); err != nil {
		return nil, err
	}
	if l.ClosedTotals, err = decodeCounts(p.Sums); err != nil {
		return nil, err
	}
	for name, out := range p.Out {
		if l.Ejected[name], err = decodeEjection(name, out); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// checkReleaseLog checks the sizes of a release log.
func checkReleaseLog(p *Order) error {
	lists := max(len(p.Waves), len(p.Past), len(p.Done), len(p.Seats))
	maps := max(len(p.Holds), len(p.Out))
	if lists > maxListEntries || maps > maxMapEntries || p.Base == nil || p.Wave > maxListEntries {
		return ErrTooLarge
	}
	for name := range p.Holds {
		if err := checkNames(name); err != nil {
			return err
		}
	}
	return nil
}

// decodeVersions decodes the versions of a release log; there need be no previous or next one.
func decodeVersions(l *release.Log, p *Order) error {
	current, err := decodeVersion(p.Base)
	if err != nil {
		return err
	}
	l.Current = *current
	if p.Prior != nil {
		if l.Previous, err = decodeVersion(p.Prior); err != nil {
			return err
		}
	}
	if p.Next != nil {
		l.Next, err = decodeVersion(p.Next)
	}
	return err
}

func decodeHistory(p []*Mark) (history []release.HistoryEntry, err error) {
	for _, one := range p {
		err := errors.Join(checkNames(one.Digest, one.Author, one.Fate), checkFinite(one.At))
		if err != nil {
			return nil, err
		}
		history = append(history, release.HistoryEntry{
			Epoch:      release.Epoch(one.Epoch),
			Digest:     one.Digest,
			Author:     one.Author,
			ReleasedAt: one.At,
			Outcome:    one.Fate,
		})
	}
	return history, nil
}

func decodeEjection(name string, p *Outed) (release.Ejection, error) {
	e := release.Ejection{
		Incarnation: p.GetLife(),
		Author:      p.GetBy(),
		Reason:      p.GetWhy(),
		Epoch:       release.Epoch(p.GetOn()),
		EjectedAt:   p.GetAt(),
	}
	return e, errors.Join(checkNames(name, e.Author, e.Reason), checkFinite(e.EjectedAt))
}

func encodeCommandBody(m *Envelope) (isPacket_Body, error) {
	return &Packet_Do{&Do{Command: encodeCommand(m.Command)}}, nil
}

func encodeCommand(c *release.Command) *Command {
	return &Command{
		Kind:   uint32(c.Kind),
		Id:     c.ID,
		Author: c.Author,
		At:     c.IssuedAt,
		On:     uint64(c.ExpectedEpoch),
		Text:   c.Text,
		Build:  c.Build,
		Digest: c.Digest,
		Waves:  c.Waves,
		Name:   c.Name,
		Life:   c.Incarnation,
		Was:    c.Previous,
		Why:    truncate(c.Reason),
		Rows:   encodeClosedRows(c.CounterRows),
	}
}

func decodeCommand(p *Command) (*release.Command, error) {
	if p == nil {
		return nil, ErrUnknownBody
	}
	if len(p.Text) > maxText || len(p.Waves) > maxListEntries {
		return nil, ErrTooLarge
	}
	rows, err := decodeClosedRows(p.Rows)
	if err != nil {
		return nil, err
	}
	c := &release.Command{
		Kind:          release.Kind(min(p.Kind, math.MaxUint8)),
		ID:            p.Id,
		Author:        p.Author,
		IssuedAt:      p.At,
		ExpectedEpoch: release.Epoch(p.On),
		Text:          p.Text,
		Build:         p.Build,
		Digest:        p.Digest,
		Waves:         p.Waves,
		Name:          p.Name,
		Incarnation:   p.Life,
		Previous:      p.Was,
		Reason:        p.Why,
		CounterRows:   rows,
	}
	return c, errors.Join(checkNames(c.Author, c.Build, c.Digest, c.Name, c.Reason), checkFinite(c.IssuedAt))
}

func encodeCommandResult(m *Envelope) (isPacket_Body, error) {
	r := m.CommandResult
	return &Packet_Done{&Ended{
		Id:      r.ID,
		Refused: truncate(r.RejectReason),
		Newest:  uint64(r.NewestEpoch),
	}}, nil
}

func decodeCommandResult(p *Ended) (*CommandResult, error) {
	r := &CommandResult{
		ID:           p.Id,
		RejectReason: p.Refused,
		NewestEpoch:  release.Epoch(p.Newest),
	}
	return r, checkNames(p.Refused)
}

// Codec encodes commands and release logs for the voters' log.
type Codec struct{}

// MarshalCommand encodes a command.
func (Codec) MarshalCommand(c *release.Command) []byte {
	encoded, _ := proto.Marshal(encodeCommand(c)) // no error: all strings are checked
	return encoded
}

// UnmarshalCommand decodes a command and checks its bounds.
func (Codec) UnmarshalCommand(encoded []byte) (*release.Command, error) {
	p := &Command{}
	if err := proto.Unmarshal(encoded, p); err != nil {
		return nil, err
	}
	return decodeCommand(p)
}

// MarshalLog encodes a release log.
func (Codec) MarshalLog(l *release.Log) []byte {
	encoded, _ := proto.Marshal(encodeReleaseLog(l)) // no error: all strings are checked
	return encoded
}

// UnmarshalLog decodes a release log and checks its bounds.
func (Codec) UnmarshalLog(encoded []byte) (*release.Log, error) {
	p := &Order{}
	if err := proto.Unmarshal(encoded, p); err != nil {
		return nil, err
	}
	return decodeReleaseLog(p)
}
