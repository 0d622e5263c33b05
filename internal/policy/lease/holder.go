package lease

import (
	"math"

	"swiftcourse/internal/policy/release"
	"swiftcourse/internal/policy/serving"
)

const (
	// requestIntervalFraction is the time between two requests as a fraction of the lease. With one
	// third, a lease still gets extended when two requests in a row are lost.
	requestIntervalFraction = 1.0 / 3
	// unleasedRequestRateFactor is the request rate of a server without a lease, relative to the
	// rate of a server with one.
	unleasedRequestRateFactor = 4
	// minRequestIntervalSeconds is the least time before a redirected or failed request is
	// repeated. It limits the load when voters redirect requests to each other.
	minRequestIntervalSeconds = 0.1
)

// HolderConfig identifies a server to the leader and sets its mode without a lease.
type HolderConfig struct {
	Name string
	// Incarnation is drawn at random at each start of the process.
	Incarnation uint64
	// Addr is the address at which the server listens for its peers.
	Addr  string
	Build string
	// Fallback is the mode while the server has no lease, unless the leader refused the lease. If
	// it is ModeOutOfService, a server without a permit uses ModeSafeDefaults instead.
	Fallback serving.Mode
	// LeaseSeconds is the full length of a lease. A longer grant is cut to it.
	LeaseSeconds float64
}

// Holder is the server's side of its lease. Its zero value is not usable; see NewHolder.
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

	requests      requestTracker
	nextRequestAt float64
}

// NewHolder returns the holder of a server that starts at now. The first request is due at once.
func NewHolder(config HolderConfig, now float64) *Holder {
	return &Holder{
		config:        config,
		leaseEnd:      math.Inf(-1),
		nextRequestAt: now,
	}
}

// NextWakeup returns when NewRequest is due. It does not include the end of the lease, which is in
// Snapshot.
func (h *Holder) NextWakeup() float64 { return h.nextRequestAt }

// NewRequest returns the next request. The caller sends it to Leader, or to any voter if Leader is
// "".
func (h *Holder) NewRequest(now float64) Request {
	number := h.requests.recordRequest(now)
	h.nextRequestAt = now + h.config.LeaseSeconds*requestIntervalFraction
	if h.state != StateLeased {
		h.nextRequestAt = now + h.config.LeaseSeconds*requestIntervalFraction/unleasedRequestRateFactor
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

// ScheduleRequestBy makes the next request due at the given time at the latest.
func (h *Holder) ScheduleRequestBy(at float64) { h.nextRequestAt = min(h.nextRequestAt, at) }

// Leader returns the name of the voter to send requests to, "" for any voter.
func (h *Holder) Leader() string { return h.leader }

// HandleLeaderUnreachable clears the leader after requests to it failed. The next request goes to
// any voter, within minRequestIntervalSeconds.
func (h *Holder) HandleLeaderUnreachable(now float64) {
	h.leader = ""
	h.ScheduleRequestBy(now + minRequestIntervalSeconds)
}

// HandleReply applies a reply and reports whether the holder's state changed. It ignores a reply to
// an earlier incarnation or to a request that is not pending. A request is no longer pending once a
// decision on it or on a newer request has arrived.
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
		h.applyGrant(now, sentAt, reply)
	case VerdictLagging, VerdictEjected:
		h.state = nextState(h.state, eventFenced)
	case VerdictNameTaken:
		h.state = nextState(h.state, eventSuperseded)
	}
	return h.state != before
}

// handleRetry follows a redirect: the next request goes to the leader that the reply names, or to
// any voter if it names none.
func (h *Holder) handleRetry(now, sentAt float64, reply *Reply) {
	h.requests.lastRetried = max(h.requests.lastRetried, reply.Number)
	if reply.Nonce != 0 {
		h.requests.nonce = reply.Nonce
	}
	h.leader = reply.Leader
	h.ScheduleRequestBy(max(sentAt+minRequestIntervalSeconds, now))
}

// applyGrant applies a granted lease, which starts at the time of its request.
func (h *Holder) applyGrant(now, sentAt float64, reply *Reply) {
	h.mayGoOutOfService = reply.MayGoOutOfService
	h.leaseEnd = max(h.leaseEnd, sentAt+min(reply.LeaseSeconds, h.config.LeaseSeconds))
	if now < h.leaseEnd {
		h.state = nextState(h.state, eventGranted)
	}
}

// Expire ends the lease if it has expired by now, and reports whether it did.
func (h *Holder) Expire(now float64) bool {
	if h.state != StateLeased || now < h.leaseEnd {
		return false
	}
	h.state = nextState(h.state, eventExpired)
	h.reason = reasonLeaseExpired
	return true
}

// SetActiveEpoch records the configuration version that the server runs from now on, and the reason
// why it can't run a newer one, "" if nothing prevents it. A change of version makes a request to
// the leader due at once.
func (h *Holder) SetActiveEpoch(epoch release.Epoch, blockedBy string) {
	if epoch != h.activeEpoch {
		h.errorTally = release.ErrorTally{}
		h.nextRequestAt = math.Inf(-1)
	}
	h.activeEpoch = epoch
	h.blockedBy = blockedBy
}

// SetErrorTally records the tally of the requests that the server completed under the active
// version.
func (h *Holder) SetErrorTally(tally release.ErrorTally) { h.errorTally = tally }

// UnansweredRequests returns the number of requests made since the latest request that has a valid reply.
func (h *Holder) UnansweredRequests() uint64 {
	return h.requests.lastSent - max(h.requests.lastDecided, h.requests.lastRetried)
}

// MayGoOutOfService reports whether the server has a permit to go out of service when its lease
// expires.
func (h *Holder) MayGoOutOfService() bool { return h.mayGoOutOfService }

// AssignedEpoch returns the epoch of the configuration version that the server has to run, 0 while
// it is unknown.
func (h *Holder) AssignedEpoch() release.Epoch { return h.assignedEpoch }

// State returns the holder's state and the reason that the leader or the holder gave for it.
func (h *Holder) State() (state State, reason string) { return h.state, h.reason }

// Snapshot is a holder's state and the serving directive that follows from it.
type Snapshot struct {
	State State
	serving.Directive
}

// Snapshot returns the current state and its serving directive. Directive.Stats is not set.
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

// fallback returns the mode while the server has no lease and is neither fenced nor superseded.
func (h *Holder) fallback() serving.Mode {
	if h.config.Fallback == serving.ModeOutOfService && !h.mayGoOutOfService {
		return serving.ModeSafeDefaults
	}
	return h.config.Fallback
}
