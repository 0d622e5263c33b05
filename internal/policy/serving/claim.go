package serving

// ClaimVerdict is the fleet's decision on a request that carries an idempotency key.
type ClaimVerdict uint8

const (
	// ClaimGranted means that a majority of the replicas granted the key: the request may run here
	// and nowhere else.
	ClaimGranted ClaimVerdict = iota
	// ClaimCached means that the request ran before and its result is available.
	ClaimCached
	// ClaimOutcomeUnknown means that the request ran or may have run, without a known result: it
	// must not run again within its window.
	ClaimOutcomeUnknown
	// ClaimNoQuorum means that too few replicas answered in time: the request did not run.
	ClaimNoQuorum
)

var claimVerdictNames = [...]string{"granted", "cached", "outcome_unknown", "no_quorum"}

// String returns the verdict in snake case.
func (v ClaimVerdict) String() string {
	return EnumName(claimVerdictNames[:], "claim verdict", uint8(v))
}
