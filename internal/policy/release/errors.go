package release

import "errors"

// Reasons for which Log.Apply refuses a command. Each text says what the author of the command can
// do.
var (
	// ErrStaleEpoch refuses a command whose author did not know the newest epoch.
	ErrStaleEpoch = errors.New("the newest epoch changed meanwhile; look at it and ask again")
	// ErrRolloutInProgress refuses a release while another one is rolled out.
	ErrRolloutInProgress = errors.New("a rollout is in progress; wait for its end or roll it back")
	// ErrNoRollout refuses to advance or roll back where there is nothing to advance or to return
	// to.
	ErrNoRollout = errors.New("no rollout is in progress, and no previous version is kept")
	// ErrDigestMismatch refuses a release whose digest is not that of its text and build.
	ErrDigestMismatch = errors.New("the digest is not that of the text and build")
	// ErrNameTaken refuses to register a name that belongs to an incarnation which the author did
	// not name.
	ErrNameTaken = errors.New("the name belongs to another incarnation")
	// ErrTooManyNames refuses to register or eject one more name.
	ErrTooManyNames = errors.New("there are too many names; unregister those that are gone")
	// ErrOutOfBounds refuses a command with a field that is too long or out of range.
	ErrOutOfBounds = errors.New("a field of the command is too long or out of range")
	// ErrUnknownName refuses a command about a name that no server, or no such incarnation, has.
	ErrUnknownName = errors.New("no such server is registered or ejected")
)
