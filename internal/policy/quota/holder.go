package quota

import (
	"cmp"
	"math"
	"slices"
)

// Holder is the client of the Grantor in each server. It requests leases and provides the
// allowances that the server's event loop enforces.
type Holder struct {
	config      Config
	configHash  uint64
	incarnation uint64

	limits       map[string]*holderLimit
	names        []string // names of the limits, in the order of the configuration
	nextName     int      // index in names of the first limit to consider for the next request
	pending      [maxPendingRequests]pendingRequest
	requestCount uint64
	latestReply  uint64 // number of the newest reply that was processed
	grantorID    uint64 // ID of the grantor that sent that reply
	nextWakeup   float64
	changed      bool // whether an allowance changed since the last TakeChanges
}

// pendingRequest is a request whose reply may still arrive.
type pendingRequest struct {
	number uint64
	sentAt float64
}

const (
	// maxPendingRequests bounds the requests whose replies are still accepted.
	maxPendingRequests = 16
	// minRequestIntervalSeconds is the shortest time between two requests with a demand for the same
	// limit. After other servers return shares, a busy server gets them within a few of these
	// intervals.
	minRequestIntervalSeconds = 0.1
	// starvedRequestIntervalSeconds is the time between the requests of a server whose demand
	// exceeds its allowance. Other servers return unneeded shares a few times a second, so it
	// requests a larger share about as often.
	starvedRequestIntervalSeconds = 0.25
	// renewalFraction is the fraction of a lease after which the holder requests its renewal. If no
	// reply arrives, it repeats the request after the same time: the second request is sent before
	// the lease expires, and the third one as it expires.
	renewalFraction = 1.0 / 3
	// minReportedChangeFraction is the fraction by which a demand must change to be reported before
	// the renewal is due. It is also the least unneeded fraction of a leased share that a holder
	// returns before then.
	minReportedChangeFraction = 0.2
)

// NewHolder returns the holder of a server that has just started. Its allowances are the floors.
func NewHolder(incarnation uint64, config Config, now float64) *Holder {
	h := &Holder{incarnation: incarnation}
	h.ApplyConfig(config, now)
	return h
}

// ApplyConfig replaces the configuration. An unexpired lease is kept, its share reduced to the new
// pool if it exceeds that. Floors change immediately.
func (h *Holder) ApplyConfig(config Config, now float64) {
	previous := h.limits
	config.Limits = slices.Clone(config.Limits)
	h.config = config
	h.configHash = config.Hash()
	h.limits = make(map[string]*holderLimit, len(config.Limits))
	h.names = h.names[:0]
	h.nextName = 0
	for i := range config.Limits {
		limit := &config.Limits[i]
		state := newHolderLimit()
		if old := previous[limit.Name]; old != nil && old.limit.Concurrent == limit.Concurrent {
			*state = *old
		}
		state.setLimit(&config, limit)
		h.limits[limit.Name] = state
		h.names = append(h.names, limit.Name)
	}
	h.changed = true
	h.nextWakeup = now
}

// RecordUsage records the recent use of a limit by the server's event loop. requested is the demand
// in units a second; for a concurrent limit, it is the number of units in use plus those rejected.
// inUse is the number of units in use. grantNumber is the GrantNumber of the Allowance that the
// event loop enforces, so that the holder tells the grantor of a reduced share only after the event
// loop enforces it.
func (h *Holder) RecordUsage(now float64, name string, requested, inUse float64, grantNumber uint64) {
	state := h.limits[name]
	if state == nil {
		return
	}
	if grantNumber == state.granted.number {
		state.setApplied()
	}
	state.setUsage(now, requested, inUse)
	if state.requestDue(now, h.config.LeaseSeconds) {
		h.nextWakeup = min(h.nextWakeup, max(now, state.lastRequestAt+minRequestIntervalSeconds))
	}
}

// NextWakeup returns the time at which NextRequest should be called next, in seconds of the
// holder's clock.
func (h *Holder) NextWakeup() float64 { return h.nextWakeup }

// NextRequest returns the request to send to the grantor, nil if none is due.
func (h *Holder) NextRequest(now float64) *Request {
	due := h.takeDue(now)
	if due == nil {
		return nil
	}
	h.requestCount++
	h.pending[h.requestCount%maxPendingRequests] = pendingRequest{number: h.requestCount, sentAt: now}
	request := &Request{
		Incarnation: h.incarnation,
		Number:      h.requestCount,
		ConfigHash:  h.configHash,
		GrantorID:   h.grantorID,
	}
	for _, state := range due {
		request.Demands = append(request.Demands, state.demand(now))
		state.setReported(now)
	}
	h.nextWakeup = min(h.nextWakeup, now+minRequestIntervalSeconds)
	return request
}

// takeDue returns the limits for which the next request has a demand, at most MaxEntries, and sets
// the next wakeup for the other limits.
func (h *Holder) takeDue(now float64) []*holderLimit {
	var due []*holderLimit
	h.nextWakeup = math.Inf(1)
	for i := range h.names {
		index := (h.nextName + i) % len(h.names)
		state := h.limits[h.names[index]]
		if state.requestDue(now, h.config.LeaseSeconds) {
			if len(due) == MaxEntries {
				h.nextName = index
				h.nextWakeup = now
				break
			}
			due = append(due, state)
		} else if state.hasLease(now) || state.wantsLease() {
			h.nextWakeup = min(h.nextWakeup, state.renewalTime(now, h.config.LeaseSeconds))
		}
	}
	return due
}

// HandleReply processes a grantor's reply. It ignores replies to another incarnation, to a request
// that is no longer pending, and to a request older than that of a reply already processed.
func (h *Holder) HandleReply(now float64, reply *Reply) {
	pending := h.pending[reply.Number%maxPendingRequests]
	if reply.Incarnation != h.incarnation || reply.Number == 0 || pending.number != reply.Number ||
		reply.Number <= h.latestReply {
		return
	}
	h.latestReply = reply.Number
	if reply.GrantorID != h.grantorID {
		h.switchGrantor(now, reply.GrantorID)
	}
	for _, granted := range reply.Grants {
		state := h.limits[granted.Name]
		if state == nil || reply.Number <= state.granted.number {
			continue
		}
		state.setGranted(now, receivedGrant{
			share:       clamp(granted.LeasedShare, h.config.pool(state.limit)),
			leaseExpiry: pending.sentAt + h.config.LeaseSeconds,
			number:      reply.Number,
		})
		h.changed = true
	}
}

// switchGrantor records the ID of a new grantor and makes a request due for every leased limit,
// because a grantor grants nothing until a request carries its ID.
func (h *Holder) switchGrantor(now float64, grantorID uint64) {
	h.grantorID = grantorID
	h.nextWakeup = now
	for _, state := range h.limits {
		if state.hasLease(now) {
			state.lastRequestAt = math.Inf(-1)
		}
	}
}

// ActiveLeases returns the allowances of the limits whose lease has not expired.
func (h *Holder) ActiveLeases(now float64) []Allowance {
	var list []Allowance
	for _, name := range h.names {
		if state := h.limits[name]; state.hasLease(now) {
			list = append(list, state.allowance())
		}
	}
	return list
}

// TakeChanges returns the allowances of all limits, sorted by name, if any of them changed since
// the last call; otherwise it returns nil.
func (h *Holder) TakeChanges() []Allowance {
	if !h.changed {
		return nil
	}
	h.changed = false
	list := make([]Allowance, 0, len(h.names))
	for _, name := range h.names {
		list = append(list, h.limits[name].allowance())
	}
	slices.SortFunc(list, func(a, b Allowance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
