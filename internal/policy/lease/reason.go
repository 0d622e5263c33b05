package lease

// Reasons in replies and commands, for operators.
const (
	reasonLostCluster    = "the server acts on a version that a lost cluster released"
	reasonNameTaken      = "the name belongs to another incarnation, which may still have a lease"
	reasonTooManyServers = "too many servers"
	reasonChangePending  = "a change of the server's membership is in progress"
	reasonReadmitted     = "the server caught up and is readmitted"
	reasonNotCaughtUp    = "the server does not reach its assigned version"
	reasonHarmful        = "the release does harm: more requests are rejected or abandoned"
	reasonLeaseExpired   = "no reply from a leader within the lease"
)
