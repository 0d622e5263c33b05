package fleet

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/proto"

	"swiftcourse/internal/policy/release"
)

func encodeVersionRequest(m *Envelope) (isPacket_Body, error) {
	return &Packet_VersionRequest{&VersionRequest{Epoch: uint64(m.VersionRequest)}}, nil
}

func decodeVersionRequest(encoded *VersionRequest) (release.Epoch, error) {
	if encoded.Epoch == 0 {
		return 0, fmt.Errorf("%w: version request for epoch 0", ErrOutOfRange)
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
		Epoch:      uint64(version.Epoch),
		Digest:     version.Digest,
		Author:     version.Author,
		ReleasedAt: version.ReleasedAt,
		Text:       version.Text,
		Build:      version.Build,
	}
}

func decodeVersion(encoded *Version) (*release.Version, error) {
	if len(encoded.Text) > maxText {
		return nil, fmt.Errorf("%w: version text of %d bytes, limit %d", ErrInvalidSize, len(encoded.Text), maxText)
	}
	version := &release.Version{
		Epoch:      release.Epoch(encoded.Epoch),
		Digest:     encoded.Digest,
		Author:     encoded.Author,
		ReleasedAt: encoded.ReleasedAt,
		Text:       encoded.Text,
		Build:      encoded.Build,
	}
	return version, errors.Join(checkNames(encoded.Digest, encoded.Author, encoded.Build),
		checkFinite(encoded.ReleasedAt))
}

func encodeReleaseLog(log *release.Log) *ReleaseLog {
	if log == nil {
		return nil
	}
	encoded := &ReleaseLog{
		AppliedCount:   log.AppliedCount,
		Current:        encodeVersion(&log.Current),
		Previous:       encodeVersion(log.Previous),
		Next:           encodeVersion(log.Next),
		Waves:          log.Waves,
		WaveIndex:      uint32(log.WaveIndex),
		WaveLimit:      log.WaveLimit,
		Members:        log.Members,
		LastCommandIds: log.LastCommandIDs,
		Voters:         log.Voters,
		Ejected:        map[string]*Ejection{},
		ClosedRows:     encodeClosedRows(log.ClosedRows),
		ClosedTotals:   encodeCounts(log.ClosedTotals),
	}
	for _, entry := range log.History {
		encoded.History = append(encoded.History, &HistoryEntry{
			Epoch:      uint64(entry.Epoch),
			Digest:     entry.Digest,
			Author:     entry.Author,
			ReleasedAt: entry.ReleasedAt,
			Outcome:    truncate(entry.Outcome),
		})
	}
	for name, entry := range log.Ejected {
		encoded.Ejected[name] = &Ejection{
			Incarnation: entry.Incarnation,
			Author:      entry.Author,
			Reason:      entry.Reason,
			Epoch:       uint64(entry.Epoch),
			EjectedAt:   entry.EjectedAt,
		}
	}
	return encoded
}

func decodeReleaseLog(encoded *ReleaseLog) (*release.Log, error) {
	if err := checkReleaseLog(encoded); err != nil {
		return nil, err
	}
	log := (&release.Log{
		AppliedCount:   encoded.AppliedCount,
		Waves:          encoded.Waves,
		WaveIndex:      int(encoded.WaveIndex),
		WaveLimit:      encoded.WaveLimit,
		Members:        encoded.Members,
		LastCommandIDs: encoded.LastCommandIds,
		Voters:         encoded.Voters,
	}).Clone()
	if err := decodeVersions(log, encoded); err != nil {
		return nil, err
	}
	var err error
	if log.History, err = decodeHistory(encoded.History); err != nil {
		return nil, err
	}
	if log.ClosedRows, err = decodeClosedRows(encoded.ClosedRows); err != nil {
		return nil, err
	}
	if log.ClosedTotals, err = decodeCounts(encoded.ClosedTotals); err != nil {
		return nil, err
	}
	for name, ejection := range encoded.Ejected {
		if log.Ejected[name], err = decodeEjection(name, ejection); err != nil {
			return nil, err
		}
	}
	return log, nil
}

// checkReleaseLog checks that a release log has a current version and that its lists, maps and the
// names of its members are within their bounds.
func checkReleaseLog(encoded *ReleaseLog) error {
	shortLists := max(len(encoded.Waves), len(encoded.History), len(encoded.LastCommandIds), len(encoded.Voters))
	longLists := max(len(encoded.Members), len(encoded.Ejected))
	if shortLists > maxShortListEntries || longLists > maxLongListEntries || encoded.Current == nil ||
		encoded.WaveIndex > maxShortListEntries {
		return fmt.Errorf("%w: release log: current version present: %t; longest of waves, history, command IDs and "+
			"voters: %d entries, limit %d; longer of members and ejected: %d, limit %d; wave index %d, limit %d",
			ErrInvalidSize, encoded.Current != nil, shortLists, maxShortListEntries, longLists, maxLongListEntries,
			encoded.WaveIndex, maxShortListEntries)
	}
	for name := range encoded.Members {
		if err := checkNames(name); err != nil {
			return err
		}
	}
	return nil
}

// decodeVersions decodes the current version of a release log, and the previous and the next
// version if there are any.
func decodeVersions(log *release.Log, encoded *ReleaseLog) error {
	current, err := decodeVersion(encoded.Current)
	if err != nil {
		return err
	}
	log.Current = *current
	if encoded.Previous != nil {
		if log.Previous, err = decodeVersion(encoded.Previous); err != nil {
			return err
		}
	}
	if encoded.Next != nil {
		log.Next, err = decodeVersion(encoded.Next)
	}
	return err
}

func decodeHistory(encoded []*HistoryEntry) (history []release.HistoryEntry, err error) {
	for _, entry := range encoded {
		err := errors.Join(checkNames(entry.Digest, entry.Author, entry.Outcome), checkFinite(entry.ReleasedAt))
		if err != nil {
			return nil, err
		}
		history = append(history, release.HistoryEntry{
			Epoch:      release.Epoch(entry.Epoch),
			Digest:     entry.Digest,
			Author:     entry.Author,
			ReleasedAt: entry.ReleasedAt,
			Outcome:    entry.Outcome,
		})
	}
	return history, nil
}

func decodeEjection(name string, encoded *Ejection) (release.Ejection, error) {
	ejection := release.Ejection{
		Incarnation: encoded.GetIncarnation(),
		Author:      encoded.GetAuthor(),
		Reason:      encoded.GetReason(),
		Epoch:       release.Epoch(encoded.GetEpoch()),
		EjectedAt:   encoded.GetEjectedAt(),
	}
	return ejection, errors.Join(checkNames(name, ejection.Author, ejection.Reason), checkFinite(ejection.EjectedAt))
}

func encodeCommandBody(m *Envelope) (isPacket_Body, error) {
	return &Packet_Command{&CommandRequest{Command: encodeCommand(m.Command)}}, nil
}

func encodeCommand(command *release.Command) *Command {
	return &Command{
		Kind:          uint32(command.Kind),
		Id:            command.ID,
		Author:        command.Author,
		IssuedAt:      command.IssuedAt,
		ExpectedEpoch: uint64(command.ExpectedEpoch),
		Text:          command.Text,
		Build:         command.Build,
		Digest:        command.Digest,
		Waves:         command.Waves,
		Name:          command.Name,
		Incarnation:   command.Incarnation,
		Previous:      command.Previous,
		Reason:        truncate(command.Reason),
		CounterRows:   encodeClosedRows(command.CounterRows),
	}
}

func decodeCommand(encoded *Command) (*release.Command, error) {
	if encoded == nil {
		return nil, fmt.Errorf("%w: command is missing", ErrUnknownBody)
	}
	if len(encoded.Text) > maxText || len(encoded.Waves) > maxShortListEntries {
		return nil, fmt.Errorf("%w: command with a text of %d bytes, limit %d, and %d waves, limit %d",
			ErrInvalidSize, len(encoded.Text), maxText, len(encoded.Waves), maxShortListEntries)
	}
	rows, err := decodeClosedRows(encoded.CounterRows)
	if err != nil {
		return nil, err
	}
	command := &release.Command{
		Kind:          release.Kind(min(encoded.Kind, math.MaxUint8)), // no wrap-around to a known kind
		ID:            encoded.Id,
		Author:        encoded.Author,
		IssuedAt:      encoded.IssuedAt,
		ExpectedEpoch: release.Epoch(encoded.ExpectedEpoch),
		Text:          encoded.Text,
		Build:         encoded.Build,
		Digest:        encoded.Digest,
		Waves:         encoded.Waves,
		Name:          encoded.Name,
		Incarnation:   encoded.Incarnation,
		Previous:      encoded.Previous,
		Reason:        encoded.Reason,
		CounterRows:   rows,
	}
	nameErr := checkNames(command.Author, command.Build, command.Digest, command.Name, command.Reason)
	return command, errors.Join(nameErr, checkFinite(command.IssuedAt))
}

func encodeCommandResult(m *Envelope) (isPacket_Body, error) {
	result := m.CommandResult
	return &Packet_CommandResult{&CommandResultBody{
		Id:           result.ID,
		RejectReason: truncate(result.RejectReason),
		NewestEpoch:  uint64(result.NewestEpoch),
	}}, nil
}

func decodeCommandResult(encoded *CommandResultBody) (*CommandResult, error) {
	result := &CommandResult{
		ID:           encoded.Id,
		RejectReason: encoded.RejectReason,
		NewestEpoch:  release.Epoch(encoded.NewestEpoch),
	}
	return result, checkNames(encoded.RejectReason)
}

// ReleaseCodec encodes commands and release logs for the consensus log.
type ReleaseCodec struct{}

// MarshalCommand encodes a command.
func (ReleaseCodec) MarshalCommand(c *release.Command) []byte {
	encoded, _ := proto.Marshal(encodeCommand(c)) // never fails: all strings were checked before
	return encoded
}

// UnmarshalCommand decodes a command and checks its bounds.
func (ReleaseCodec) UnmarshalCommand(encoded []byte) (*release.Command, error) {
	command := &Command{}
	if err := proto.Unmarshal(encoded, command); err != nil {
		return nil, err
	}
	return decodeCommand(command)
}

// MarshalLog encodes a release log.
func (ReleaseCodec) MarshalLog(l *release.Log) []byte {
	encoded, _ := proto.Marshal(encodeReleaseLog(l)) // never fails: all strings were checked before
	return encoded
}

// UnmarshalLog decodes a release log and checks its bounds.
func (ReleaseCodec) UnmarshalLog(encoded []byte) (*release.Log, error) {
	log := &ReleaseLog{}
	if err := proto.Unmarshal(encoded, log); err != nil {
		return nil, err
	}
	return decodeReleaseLog(log)
}
