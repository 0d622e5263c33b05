package release

import "errors"

// Errors with which Log.Apply refuses a command. The texts are for the command's author. They say
// how to proceed if the author can resolve the conflict.
var (
	// ErrStaleEpoch refuses a command whose author did not know the newest epoch.
	ErrStaleEpoch = errors.New("the newest epoch changed meanwhile; look at it and ask again")
	// ErrRolloutInProgress refuses a release while another release is being rolled out.
	ErrRolloutInProgress = errors.New("a rollout is in progress; wait for its end or roll it back")
	// ErrNoRollout refuses to advance when no rollout is in progress, and to roll back when there
	// is neither a rollout nor a previous version.
	ErrNoRollout = errors.New("no rollout is in progress, and no previous version is kept")
	// ErrDigestMismatch refuses a release whose digest does not match its text and build.
	ErrDigestMismatch = errors.New("the digest is not that of the text and build")
	// ErrNameTaken refuses to register a name that belongs to an incarnation other than
	// Command.Incarnation and Command.Previous.
	ErrNameTaken = errors.New("the name belongs to another incarnation")
	// ErrTooManyNames refuses to register or eject another name beyond maxNames.
	ErrTooManyNames = errors.New("there are too many names; unregister those that are gone")
	// ErrOutOfBounds refuses a command with a field that is missing, too long or out of range.
	ErrOutOfBounds = errors.New("a field of the command is too long or out of range")
	// ErrUnknownName refuses a command about a name that is not registered or ejected, or that
	// belongs to another incarnation than the command says.
	ErrUnknownName = errors.New("no such server is registered or ejected")
)
