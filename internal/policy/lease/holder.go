package lease

import (
	"math"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

const (
	// requestIntervalFraction is the time between two requests as a fraction of the lease: two
	// requests in a row may be lost before the lease ends.
	requestIntervalFraction = 1.0 / 3
	// unleasedSpeedup is how many times as often a server without a lease sends requests.
	unleasedSpeedup = 4
	// minRequestInterval is the least time, in seconds, before a redirected or failed request is
	// repeated, so that voters which refer to one another cause no load.
	minRequestInterval = 0.1
)

// HolderConfig identifies a server to the leader and sets what it does without a lease.
type HolderConfig struct {
	Name string
	// Incarnation is drawn anew with each start of the process.
	Incarnation uint64
	// Addr is where the server listens for its peers.
	Addr  string
	Build string
	// Fallback is the mode while the server has no lease and no leader refuses one. A server that
	// has no permit for ModeOutOfService falls back to ModeSafeDefaults.
	Fallback serving.Mode
	// LeaseSeconds is the length of a full lease.
	LeaseSeconds float64
}

// Holder is a server's own side of its lease. Its zero value is not usable, see NewHolder.
type Holder struct {
	config HolderConfig

	state    State
	leaseEnd float64
	reason   string
	leader   string

	assignedEpoch     release.Epoch
	activeEpoch       release.Epoch
	blockedBy         string
	errorTally        release.ErrorTally
	mayGoOutOfService bool

	requests    requestTracker
	nextRequest float64
}

// NewHolder returns the holder of a server that starts at now; its first request is due at once.
func NewHolder(config HolderConfig, now float64) *Holder {
	return &Holder{
		config:      config,
		leaseEnd:    math.Inf(-1),
		nextRequest: now,
	}
}

// NextWakeup returns when NewRequest is due. The end of the lease is in Snapshot.
func (h *Holder) NextWakeup() float64 { return h.nextRequest }

// NewRequest returns the next request, to be sent to Leader or, if that is "", to any voter.
func (h *Holder) NewRequest(now float64) Request {
	number := h.requests.send(now)
	h.nextRequest = now + h.config.LeaseSeconds*requestIntervalFraction
	if h.state != StateLeased {
		h.nextRequest = now + h.config.LeaseSeconds*requestIntervalFraction/unleasedSpeedup
	}
	return Request{
		Name:              h.config.Name,
		Incarnation:       h.config.Incarnation,
		Number:            number,
		Addr:              h.config.Addr,
		ActiveEpoch:       h.activeEpoch,
		BlockedBy:         h.blockedBy,
		ErrorTally:        h.errorTally,
		Build:             h.config.Build,
		MayGoOutOfService: h.mayGoOutOfService,
		Nonce:             h.requests.nonce,
	}
}

// RequestBy makes the next request due at the given time at the latest.
func (h *Holder) RequestBy(at float64) { h.nextRequest = min(h.nextRequest, at) }

// Leader returns the name of the voter to send requests to, "" for any voter.
func (h *Holder) Leader() string { return h.leader }

// HandleLeaderUnreachable forgets the leader after requests to it failed; the next request goes to
// any voter, after minRequestInterval at the latest.
func (h *Holder) HandleLeaderUnreachable(now float64) {
	h.leader = ""
	h.RequestBy(now + minRequestInterval)
}

// HandleReply applies a reply and reports whether the holder's state changed. A reply to an earlier
// incarnation, to a request that is not pending, or to one older than the last decided has no
// effect.
func (h *Holder) HandleReply(now float64, reply *Reply) bool {
	sentAt, pending := h.requests.sentAt(reply.Number)
	if reply.Incarnation != h.config.Incarnation || !pending {
		return false
	}
	if reply.Verdict == VerdictRetry {
		h.handleRetry(now, sentAt, reply)
		return false
	}
	h.requests.lastDecided = reply.Number
	h.reason = reply.Reason
	if reply.Leader != "" {
		h.leader = reply.Leader
	}
	h.assignedEpoch = max(h.assignedEpoch, reply.AssignedEpoch)
	before := h.state
	switch reply.Verdict {
	case VerdictGranted:
		h.extend(now, sentAt, reply)
	case VerdictLagging, VerdictEjected:
		h.state = nextState(h.state, eventFenced)
	case VerdictNameTaken:
		h.state = nextState(h.state, eventSuperseded)
	}
	return h.state != before
}

// handleRetry follows a redirect: the next request goes to the leader that the reply names, or to
// another voter if it names none.
func (h *Holder) handleRetry(now, sentAt float64, reply *Reply) {
	h.requests.lastRetried = max(h.requests.lastRetried, reply.Number)
	if reply.Nonce != 0 {
		h.requests.nonce = reply.Nonce
	}
	h.leader = reply.Leader
	h.RequestBy(max(sentAt+minRequestInterval, now))
}

// extend applies a granted lease, which starts when its request was made.
func (h *Holder) extend(now, sentAt float64, reply *Reply) {
	h.mayGoOutOfService = reply.MayGoOutOfService
	h.leaseEnd = max(h.leaseEnd, sentAt+min(reply.Duration, h.config.LeaseSeconds))
	if now < h.leaseEnd {
		h.state = nextState(h.state, eventGranted)
	}
}

// Expire ends a lease whose time is over and reports whether there was one.
func (h *Holder) Expire(now float64) bool {
	if h.state != StateLeased || now < h.leaseEnd {
		return false
	}
	h.state = nextState(h.state, eventExpired)
	h.reason = reasonLeaseExpired
	return true
}

// SetActiveEpoch records the configuration version that the server runs from now on, and what
// prevents a newer one, "" for nothing. A change of version is reported to the leader at
// once.
func (h *Holder) SetActiveEpoch(epoch release.Epoch, blockedBy string) {
	if epoch != h.activeEpoch {
		h.errorTally = release.ErrorTally{}
		h.nextRequest = math.Inf(-1)
	}
	h.activeEpoch = epoch
	h.blockedBy = blockedBy
}

// SetErrorTally records the outcome so far of the requests under the active version.
func (h *Holder) SetErrorTally(tally release.ErrorTally) { h.errorTally = tally }

// Unanswered returns how many of the latest requests in a row have no valid reply.
func (h *Holder) Unanswered() uint64 {
	return h.requests.lastSent - max(h.requests.lastDecided, h.requests.lastRetried)
}

// MayGoOutOfService reports whether the server may go out of service when its lease ends without a
// reply.
func (h *Holder) MayGoOutOfService() bool { return h.mayGoOutOfService }

// AssignedEpoch returns the configuration version that the server has to run, 0 while unknown.
func (h *Holder) AssignedEpoch() release.Epoch { return h.assignedEpoch }

// State returns the holder's state and the reason for it.
func (h *Holder) State() (state State, reason string) { return h.state, h.reason }

// Snapshot is a holder's state and the directive for the server loop that follows from it.
type Snapshot struct {
	State State
	serving.Directive
}

// Snapshot returns the current state and its directive, without Stats.
func (h *Holder) Snapshot() Snapshot {
	fallback := h.fallback()
	snapshot := Snapshot{State: h.state, Directive: serving.Directive{
		Epoch:     uint64(h.activeEpoch),
		ChangesAt: math.Inf(1),
		Mode:      fallback,
		NextMode:  fallback,
		Reason:    h.reason,
	}}
	switch h.state {
	case StateLeased:
		snapshot.Mode = serving.ModeNormal
		snapshot.ChangesAt = h.leaseEnd
	case StateFenced, StateSuperseded:
		snapshot.Mode = serving.ModeOutOfService
		snapshot.NextMode = serving.ModeOutOfService
	}
	return snapshot
}

// fallback returns the mode without a lease.
func (h *Holder) fallback() serving.Mode {
	if h.config.Fallback == serving.ModeOutOfService && !h.mayGoOutOfService {
		return serving.ModeSafeDefaults
	}
	return h.config.Fallback
}
