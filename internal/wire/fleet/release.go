package fleet

import (
	"errors"
	"math"

	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/policy/release"
)

func encodeVersionRequest(m *Envelope) (isPacket_Body, error) {
	return &Packet_Want{&Want{Epoch: uint64(m.VersionRequest)}}, nil
}

func decodeVersionRequest(encoded *Want) (release.Epoch, error) {
	if encoded.Epoch == 0 {
		return 0, ErrOutOfRange
	}
	return release.Epoch(encoded.Epoch), nil
}

func encodeVersionBody(m *Envelope) (isPacket_Body, error) {
	return &Packet_Version{encodeVersion(m.Version)}, nil
}

func encodeVersion(version *release.Version) *Version {
	if version == nil {
		return nil
	}
	return &Version{
		Epoch:  uint64(version.Epoch),
		Digest: version.Digest,
		Author: version.Author,
		At:     version.ReleasedAt,
		Text:   version.Text,
		Build:  version.Build,
	}
}

func decodeVersion(encoded *Version) (*release.Version, error) {
	if len(encoded.Text) > maxText {
		return nil, ErrTooLarge
	}
	version := &release.Version{
		Epoch:      release.Epoch(encoded.Epoch),
		Digest:     encoded.Digest,
		Author:     encoded.Author,
		ReleasedAt: encoded.At,
		Text:       encoded.Text,
		Build:      encoded.Build,
	}
	return version, errors.Join(checkNames(encoded.Digest, encoded.Author, encoded.Build), checkFinite(encoded.At))
}

func encodeReleaseLog(log *release.Log) *Order {
	if log == nil {
		return nil
	}
	encoded := &Order{
		Count: log.AppliedCount,
		Base:  encodeVersion(&log.Current),
		Prior: encodeVersion(log.Previous),
		Next:  encodeVersion(log.Next),
		Waves: log.Waves,
		Wave:  uint32(log.WaveIndex),
		Upto:  log.WaveLimit,
		Holds: log.Members,
		Done:  log.LastCommandIDs,
		Seats: log.Voters,
		Out:   map[string]*Outed{},
		Over:  encodeClosedRows(log.ClosedRows),
		Sums:  encodeCounts(log.ClosedTotals),
	}
	for _, entry := range log.History {
		encoded.Past = append(encoded.Past, &Mark{
			Epoch:  uint64(entry.Epoch),
			Digest: entry.Digest,
			Author: entry.Author,
			At:     entry.ReleasedAt,
			Fate:   truncate(entry.Outcome),
		})
	}
	for name, entry := range log.Ejected {
		encoded.Out[name] = &Outed{
			Life: entry.Incarnation,
			By:   entry.Author,
			Why:  entry.Reason,
			On:   uint64(entry.Epoch),
			At:   entry.EjectedAt,
		}
	}
	return encoded
}

func decodeReleaseLog(encoded *Order) (*release.Log, error) {
	if err := checkReleaseLog(encoded); err != nil {
		return nil, err
	}
	log := (&release.Log{
		AppliedCount:   encoded.Count,
		Waves:          encoded.Waves,
		WaveIndex:      int(encoded.Wave),
		WaveLimit:      encoded.Upto,
		Members:        encoded.Holds,
		LastCommandIDs: encoded.Done,
		Voters:         encoded.Seats,
	}).Clone()
	if err := decodeVersions(log, encoded); err != nil {
		return nil, err
	}
	var err error
	if log.History, err = decodeHistory(encoded.Past); err != nil {
		return nil, err
	}
	if log.ClosedRows, err = decodeClosedRows(encoded.Over); err != nil {
		return nil, err
	}
	if log.ClosedTotals, err = decodeCounts(encoded.Sums); err != nil {
		return nil, err
	}
	for name, out := range encoded.Out {
		if log.Ejected[name], err = decodeEjection(name, out); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// checkReleaseLog checks that a release log has a current version, and that its parts and its
// members' names are within their bounds.
func checkReleaseLog(encoded *Order) error {
	lists := max(len(encoded.Waves), len(encoded.Past), len(encoded.Done), len(encoded.Seats))
	maps := max(len(encoded.Holds), len(encoded.Out))
	if lists > maxListEntries || maps > maxMapEntries || encoded.Base == nil || encoded.Wave > maxListEntries {
		return ErrTooLarge
	}
	for name := range encoded.Holds {
		if err := checkNames(name); err != nil {
			return err
		}
	}
	return nil
}

// decodeVersions decodes the current version of a release log, and the previous and next ones if
// there are any.
func decodeVersions(log *release.Log, encoded *Order) error {
	current, err := decodeVersion(encoded.Base)
	if err != nil {
		return err
	}
	log.Current = *current
	if encoded.Prior != nil {
		if log.Previous, err = decodeVersion(encoded.Prior); err != nil {
			return err
		}
	}
	if encoded.Next != nil {
		log.Next, err = decodeVersion(encoded.Next)
	}
	return err
}

func decodeHistory(encoded []*Mark) (history []release.HistoryEntry, err error) {
	for _, entry := range encoded {
		err := errors.Join(checkNames(entry.Digest, entry.Author, entry.Fate), checkFinite(entry.At))
		if err != nil {
			return nil, err
		}
		history = append(history, release.HistoryEntry{
			Epoch:      release.Epoch(entry.Epoch),
			Digest:     entry.Digest,
			Author:     entry.Author,
			ReleasedAt: entry.At,
			Outcome:    entry.Fate,
		})
	}
	return history, nil
}

func decodeEjection(name string, encoded *Outed) (release.Ejection, error) {
	ejection := release.Ejection{
		Incarnation: encoded.GetLife(),
		Author:      encoded.GetBy(),
		Reason:      encoded.GetWhy(),
		Epoch:       release.Epoch(encoded.GetOn()),
		EjectedAt:   encoded.GetAt(),
	}
	return ejection, errors.Join(checkNames(name, ejection.Author, ejection.Reason), checkFinite(ejection.EjectedAt))
}

func encodeCommandBody(m *Envelope) (isPacket_Body, error) {
	return &Packet_Do{&Do{Command: encodeCommand(m.Command)}}, nil
}

func encodeCommand(command *release.Command) *Command {
	return &Command{
		Kind:   uint32(command.Kind),
		Id:     command.ID,
		Author: command.Author,
		At:     command.IssuedAt,
		On:     uint64(command.ExpectedEpoch),
		Text:   command.Text,
		Build:  command.Build,
		Digest: command.Digest,
		Waves:  command.Waves,
		Name:   command.Name,
		Life:   command.Incarnation,
		Was:    command.Previous,
		Why:    truncate(command.Reason),
		Rows:   encodeClosedRows(command.CounterRows),
	}
}

func decodeCommand(encoded *Command) (*release.Command, error) {
	if encoded == nil {
		return nil, ErrUnknownBody
	}
	if len(encoded.Text) > maxText || len(encoded.Waves) > maxListEntries {
		return nil, ErrTooLarge
	}
	rows, err := decodeClosedRows(encoded.Rows)
	if err != nil {
		return nil, err
	}
	command := &release.Command{
		Kind:          release.Kind(min(encoded.Kind, math.MaxUint8)),
		ID:            encoded.Id,
		Author:        encoded.Author,
		IssuedAt:      encoded.At,
		ExpectedEpoch: release.Epoch(encoded.On),
		Text:          encoded.Text,
		Build:         encoded.Build,
		Digest:        encoded.Digest,
		Waves:         encoded.Waves,
		Name:          encoded.Name,
		Incarnation:   encoded.Life,
		Previous:      encoded.Was,
		Reason:        encoded.Why,
		CounterRows:   rows,
	}
	nameErr := checkNames(command.Author, command.Build, command.Digest, command.Name, command.Reason)
	return command, errors.Join(nameErr, checkFinite(command.IssuedAt))
}

func encodeCommandResult(m *Envelope) (isPacket_Body, error) {
	result := m.CommandResult
	return &Packet_Done{&Ended{
		Id:      result.ID,
		Refused: truncate(result.RejectReason),
		Newest:  uint64(result.NewestEpoch),
	}}, nil
}

func decodeCommandResult(encoded *Ended) (*CommandResult, error) {
	result := &CommandResult{
		ID:           encoded.Id,
		RejectReason: encoded.Refused,
		NewestEpoch:  release.Epoch(encoded.Newest),
	}
	return result, checkNames(encoded.Refused)
}

// ReleaseCodec encodes commands and release logs for the consensus log.
type ReleaseCodec struct{}

// MarshalCommand encodes a command.
func (ReleaseCodec) MarshalCommand(c *release.Command) []byte {
	encoded, _ := proto.Marshal(encodeCommand(c)) // no error: all strings are checked
	return encoded
}

// UnmarshalCommand decodes a command and checks its bounds.
func (ReleaseCodec) UnmarshalCommand(encoded []byte) (*release.Command, error) {
	p := &Command{}
	if err := proto.Unmarshal(encoded, p); err != nil {
		return nil, err
	}
	return decodeCommand(p)
}

// MarshalLog encodes a release log.
func (ReleaseCodec) MarshalLog(l *release.Log) []byte {
	encoded, _ := proto.Marshal(encodeReleaseLog(l)) // no error: all strings are checked
	return encoded
}

// UnmarshalLog decodes a release log and checks its bounds.
func (ReleaseCodec) UnmarshalLog(encoded []byte) (*release.Log, error) {
	p := &Order{}
	if err := proto.Unmarshal(encoded, p); err != nil {
		return nil, err
	}
	return decodeReleaseLog(p)
}
