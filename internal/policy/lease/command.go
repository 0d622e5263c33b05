package lease

import "swiftcourse/internal/policy/release"

const (
	// commandAuthor is the author of the commands that a leader proposes without an operator's
	// order.
	commandAuthor = "leader"
	// minCommandIntervalSeconds is the least time between two proposals on the same subject. A lost
	// proposal is repeated after it; it is a few times as long as a commit takes.
	minCommandIntervalSeconds = 0.5
	// maxPendingCommands bounds the number of subjects whose latest command may still be pending.
	maxPendingCommands = 256
)

// commandSubject identifies what a command changes: the name of a server, or one of the subjects
// below.
type commandSubject string

// Subjects of commands that do not concern a single server. The leading space makes it unlikely
// that they equal a server's name.
const (
	subjectEpoch   commandSubject = " epoch"
	subjectRelease commandSubject = " release"
)

// commandLimiter limits the rate of proposed commands for each subject.
type commandLimiter struct {
	proposedAt map[commandSubject]float64
}

// propose sets the command's author and returns a slice with only that command. It returns nil if a
// command on the subject was proposed within minCommandIntervalSeconds, or if maxPendingCommands
// subjects have a pending command.
func (l *commandLimiter) propose(
	now float64, subject commandSubject, command release.Command,
) []release.Command {
	if at, proposed := l.proposedAt[subject]; proposed && now < at+minCommandIntervalSeconds {
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

// dropExpired removes the subjects whose latest command is older than minCommandIntervalSeconds.
func (l *commandLimiter) dropExpired(now float64) {
	for subject, at := range l.proposedAt {
		if now >= at+minCommandIntervalSeconds {
			delete(l.proposedAt, subject)
		}
	}
}
