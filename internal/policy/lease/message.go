package lease

import (
	"strconv"

	"swiftcourse/internal/policy/release"
)

// Verdict is a leader's decision on a lease request.
type Verdict uint8

const (
	// VerdictRetry means that no decision was made, as another process leads, none is known to
	// lead, or a command has to be committed first.
	VerdictRetry Verdict = iota
	// VerdictGranted means that the lease is granted.
	VerdictGranted
	// VerdictLagging means that there is no lease until the server acts on its assigned epoch.
	VerdictLagging
	// VerdictEjected means that an operator ejected the server.
	VerdictEjected
	// VerdictNameTaken means that the name belongs to another incarnation.
	VerdictNameTaken
)

var verdictNames = [...]string{"retry", "granted", "lagging", "ejected", "name_taken"}

// String returns the verdict in snake case.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "verdict " + strconv.Itoa(int(v))
}

// Request is a server's request for a new or extended lease.
type Request struct {
	Name        string
	Incarnation uint64
	// Number counts the incarnation's requests; the reply carries it back.
	Number uint64
	// Addr is where the server listens for its peers. Two processes can't listen on one address.
	Addr string
	// ActiveEpoch is the configuration version that the server acts on.
	ActiveEpoch release.Epoch
	// BlockedBy is why the server can't act on a newer version, or "".
	BlockedBy string
	// ErrorTally counts the requests that the server completed under ActiveEpoch.
	ErrorTally release.ErrorTally
	Build      string
	// MayGoOutOfService repeats the permission of the latest reply, see Reply.
	MayGoOutOfService bool
	// Nonce repeats the challenge of the latest reply that had one, see Reply.
	Nonce uint64
}

// Reply is the leader's answer to one Request.
type Reply struct {
	Incarnation uint64
	Number      uint64
	Verdict     Verdict
	// Duration is the length of the lease in seconds, from when the request was made.
	Duration float64
	// AssignedEpoch is the configuration version that the server has to act on.
	AssignedEpoch release.Epoch
	// MayGoOutOfService permits the server to go out of service when its lease ends without a
	// reply.
	MayGoOutOfService bool
	// Leader is the name of the voter to ask next, "" if none is known.
	Leader string
	// Nonce, if not 0, is a challenge that comes with VerdictRetry: the next request has to repeat
	// it to prove that its sender is alive.
	Nonce  uint64
	Reason string
}
