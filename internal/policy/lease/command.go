package lease

import "swiftcourse/internal/policy/release"

const (
	// commandAuthor is the author of the commands that a leader proposes on its own account.
	commandAuthor = "leader"
	// commandInterval is the least pause, in seconds, between two commands on one subject, which is
	// repeated as a command may be lost: a few times what a majority takes to commit one.
	commandInterval = 0.5
	// maxProposed bounds the subjects with a command under way; the rest waits.
	maxProposed = 256
)

// Subjects of commands that concern no single server. The space keeps them apart from most names.
const (
	subjectEpoch   = " lift"
	subjectRelease = " release"
)

// commandLimiter limits the rate of proposed commands.
type commandLimiter struct {
	proposedAt map[string]float64 // by subject, a server's name for most
}

// propose returns the command as a list of one, or nil if the subject had one lately or too many
// are under way.
func (l *commandLimiter) propose(
	now float64, subject string, command release.Command,
) []release.Command {
	if at, proposed := l.proposedAt[subject]; proposed && now < at+commandInterval {
		return nil
	}
	if len(l.proposedAt) >= maxProposed {
		l.dropOld(now)
		if len(l.proposedAt) >= maxProposed {
			return nil
		}
	}
	l.proposedAt[subject] = now
	command.Author = commandAuthor
	return []release.Command{command}
}

// dropOld forgets the subjects whose command may be repeated.
func (l *commandLimiter) dropOld(now float64) {
	for subject, at := range l.proposedAt {
		if now >= at+commandInterval {
			delete(l.proposedAt, subject)
		}
	}
}
