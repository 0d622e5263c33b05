package lease

import (
	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

// Verdict is a leader's decision on a lease request.
type Verdict uint8

const (
	// VerdictRetry means that no decision was made, because another process is the leader, no
	// leader is known, or a command has to be committed first.
	VerdictRetry Verdict = iota
	// VerdictGranted means that the lease is granted.
	VerdictGranted
	// VerdictLagging means that the server gets no lease until it runs its assigned version.
	VerdictLagging
	// VerdictEjected means that an operator ejected the server.
	VerdictEjected
	// VerdictNameTaken means that the name belongs to another incarnation.
	VerdictNameTaken
)

var verdictNames = [...]string{"retry", "granted", "lagging", "ejected", "name_taken"}

// String returns the verdict in snake case.
func (v Verdict) String() string {
	return serving.EnumName(verdictNames[:], "verdict", uint8(v))
}

// Request is a server's request for a new or extended lease.
type Request struct {
	Name        string
	Incarnation uint64
	// Number is the sequence number of the request within the incarnation; the reply repeats it.
	Number uint64
	// Addr is the address at which the server listens for its peers. Only one process can listen at
	// an address.
	Addr string
	// ActiveEpoch is the epoch of the configuration version that the server runs.
	ActiveEpoch release.Epoch
	// BlockedBy is the reason why the server can't run a newer version, "" if nothing prevents it.
	BlockedBy string
	// ErrorTally counts the requests that the server completed under ActiveEpoch.
	ErrorTally release.ErrorTally
	Build      string
	// MayGoOutOfService repeats the permit in the latest reply that granted a lease; see Reply.
	MayGoOutOfService bool
	// Nonce repeats the nonce of the latest reply that had one; see Reply.
	Nonce uint64
}

// Reply is the leader's answer to one Request.
type Reply struct {
	Incarnation uint64
	Number      uint64
	Verdict     Verdict
	// LeaseSeconds is the length of the lease in seconds, from the time of the request.
	LeaseSeconds float64
	// AssignedEpoch is the epoch of the configuration version that the server has to run.
	AssignedEpoch release.Epoch
	// MayGoOutOfService permits the server to go out of service when its lease expires because no
	// reply extended it.
	MayGoOutOfService bool
	// Leader is the name of the voter to which the next request should go, "" if no leader is
	// known.
	Leader string
	// Nonce, if not 0, is a challenge that comes with VerdictRetry. The next request has to repeat
	// it, which proves that the incarnation still runs.
	Nonce  uint64
	Reason string
}
