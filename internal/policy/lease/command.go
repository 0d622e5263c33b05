package lease

import "swiftcourse/internal/policy/release"

const (
	// commandAuthor is the author of the commands that a leader proposes on its own account.
	commandAuthor = "leader"
	// minCommandInterval is the least time, in seconds, until a command on the same subject is
	// proposed again, as the first may be lost: a few times what a commit takes.
	minCommandInterval = 0.5
	// maxPendingCommands bounds the subjects whose latest command may still be pending.
	maxPendingCommands = 256
)

// commandSubject is what a command changes: a server, by its name, or one of the subjects below.
type commandSubject string

// Subjects of commands that concern no single server. The space keeps them apart from most names.
const (
	subjectEpoch   commandSubject = " epoch"
	subjectRelease commandSubject = " release"
)

// commandLimiter limits the rate of proposed commands for each subject.
type commandLimiter struct {
	proposedAt map[commandSubject]float64
}

// propose returns a slice with just the command, with its author set. It returns nil if the subject
// had a command within minCommandInterval or too many are pending.
func (l *commandLimiter) propose(
	now float64, subject commandSubject, command release.Command,
) []release.Command {
	if at, proposed := l.proposedAt[subject]; proposed && now < at+minCommandInterval {
		return nil
	}
	if len(l.proposedAt) >= maxPendingCommands {
		l.dropExpired(now)
		if len(l.proposedAt) >= maxPendingCommands {
			return nil
		}
	}
	l.proposedAt[subject] = now
	command.Author = commandAuthor
	return []release.Command{command}
}

// dropExpired forgets the subjects whose next command may be proposed.
func (l *commandLimiter) dropExpired(now float64) {
	for subject, at := range l.proposedAt {
		if now >= at+minCommandInterval {
			delete(l.proposedAt, subject)
		}
	}
}
