package release

import (
	"maps"
	"slices"
)

// Apply applies one committed command. If it refuses the command, it changes only AppliedCount and
// returns one of the package's errors, which is the same on every replica.
func (l *Log) Apply(command *Command) error {
	l.AppliedCount++
	if !command.withinBounds() {
		return ErrOutOfBounds
	}
	if command.ID != 0 && l.LastCommandIDs[command.Author] == command.ID {
		return nil
	}
	if err := l.apply(command); err != nil {
		return err
	}
	if command.ID != 0 {
		l.recordCommandID(command)
	}
	return nil
}

func (l *Log) apply(command *Command) error {
	switch command.Kind {
	case KindRelease, KindAdvanceRollout, KindRollback, KindBumpEpoch:
		return l.applyToVersions(command)
	case KindRegister:
		return l.register(command)
	case KindEject:
		return l.eject(command)
	case KindReadmit:
		return l.readmit(command)
	case KindUnregister:
		return l.unregister(command)
	case KindCloseCounters:
		l.closeRows(command.CounterRows)
	}
	return nil
}

// applyToVersions applies a command that changes epochs. It refuses the command if its author did
// not know the newest epoch.
func (l *Log) applyToVersions(command *Command) error {
	if command.ExpectedEpoch != l.NewestEpoch() {
		return ErrStaleEpoch
	}
	switch command.Kind {
	case KindRelease:
		return l.release(command)
	case KindAdvanceRollout:
		return l.advanceRollout()
	case KindRollback:
		return l.rollBack(command)
	default:
		return l.bumpEpoch(command)
	}
}

// recordCommandID stores the command's ID, by which Apply detects a repetition. With more than
// maxAuthors authors, the ID of the author whose name sorts first is dropped. Any choice would do,
// as commands are repeated within seconds, but every replica has to make the same choice.
func (l *Log) recordCommandID(command *Command) {
	if _, known := l.LastCommandIDs[command.Author]; !known && len(l.LastCommandIDs) >= maxAuthors {
		delete(l.LastCommandIDs, slices.Min(slices.Collect(maps.Keys(l.LastCommandIDs))))
	}
	l.LastCommandIDs[command.Author] = command.ID
}
