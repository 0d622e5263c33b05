package serving

// ClaimVerdict is the fleet's decision on a request that carries an idempotency key.
type ClaimVerdict uint8

const (
	// ClaimGranted means that a majority of the replicas granted the key: the request may run here
	// and nowhere else.
	ClaimGranted ClaimVerdict = iota
	// ClaimCached means that the request has already run and its result is available.
	ClaimCached
	// ClaimOutcomeUnknown means that the request has run or may have run, and its result is not
	// known. It must not run again within the window of its idempotency key.
	ClaimOutcomeUnknown
	// ClaimNoQuorum means that too few replicas answered in time. The request did not run.
	ClaimNoQuorum
)

var claimVerdictNames = [...]string{"granted", "cached", "outcome_unknown", "no_quorum"}

// String returns the verdict in snake case.
func (v ClaimVerdict) String() string {
	return EnumName(claimVerdictNames[:], "claim verdict", uint8(v))
}
