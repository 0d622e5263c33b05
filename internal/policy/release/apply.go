package release

import (
	"maps"
	"slices"
)

// Apply carries out one committed command. A refused command changes nothing but AppliedCount, and
// returns one of the package's errors, the same on every copy.
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
		l.rememberCommand(command)
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

// applyToVersions carries out a command that changes epochs, provided that its author knew the
// newest one.
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

// rememberCommand keeps the command's ID, by which Apply recognises a repetition. Once there are too
// many authors, the first by name is forgotten: which one hardly matters, as a repetition follows
// within seconds, but every copy has to choose the same.
func (l *Log) rememberCommand(command *Command) {
	if _, known := l.LastCommandIDs[command.Author]; !known && len(l.LastCommandIDs) >= maxAuthors {
		delete(l.LastCommandIDs, slices.Min(slices.Collect(maps.Keys(l.LastCommandIDs))))
	}
	l.LastCommandIDs[command.Author] = command.ID
}
