package quota

import (
	"cmp"
	"math"
	"slices"
)

// Holder is a server's side: it asks for leased shares and says what may be used.
type Holder struct {
	config      Config
	configHash  uint64
	incarnation uint64

	shares       map[string]*leasedShare
	names        []string // of the shares, in the order of the configuration
	nextName     int      // index in names at which the next request goes on
	requests     [maxPendingRequests]pendingRequest
	requestCount uint64
	latestReply  uint64 // number of the newest reply that was taken
	grantorID    uint64 // from whom that was
	nextWakeup   float64
	changed      bool // an allowance, since TakeChanges
}

// pendingRequest is a request whose reply may still come.
type pendingRequest struct {
	number uint64
	sentAt float64
}

const (
	// maxPendingRequests bounds the requests whose reply may still come.
	maxPendingRequests = 16
	// minRequestInterval is between two requests where there is news, in seconds: a busy server has what
	// others leave within a few of them.
	minRequestInterval = 0.1
	// starvingRequestInterval is how often a server asks that could use more than it has: others give up
	// what they don't need a few times a second.
	starvingRequestInterval = 0.25
	// renewFraction of a lease passes before it is renewed: two requests in a row may be lost.
	renewFraction = 1.0 / 3
	// reportedChange is by which fraction a demand has to change to be reported before that.
	reportedChange = 0.2
)

// NewHolder returns the holder of a server that has just started: it has the floors.
func NewHolder(incarnation uint64, config Config, now float64) *Holder {
	h := &Holder{incarnation: incarnation}
	h.ApplyConfig(config, now)
	return h
}

// ApplyConfig goes over to a new configuration. A lease goes on until it ends, as far as the new limit
// allows; floors change at once.
func (h *Holder) ApplyConfig(config Config, now float64) {
	previous := h.shares
	config.Limits = slices.Clone(config.Limits)
	h.config = config
	h.configHash = config.Hash()
	h.shares = make(map[string]*leasedShare, len(config.Limits))
	h.names = h.names[:0]
	h.nextName = 0
	for i := range config.Limits {
		limit := &config.Limits[i]
		share := newLeasedShare()
		if old := previous[limit.Name]; old != nil && old.limit.Concurrent == limit.Concurrent {
			*share = *old
		}
		share.setLimit(&config, limit)
		h.shares[limit.Name] = share
		h.names = append(h.names, limit.Name)
	}
	h.changed = true
	h.nextWakeup = now
}

// RecordUsage notes what the server loop recently did with a limit: requested units a second, or units
// in use and rejected; how many are in use; and the GrantNumber of the Allowance that it goes by. The
// grantor isn't told that a share became smaller before the loop goes by the smaller one.
func (h *Holder) RecordUsage(now float64, name string, requested, inUse float64, grantNumber uint64) {
	share := h.shares[name]
	if share == nil {
		return
	}
	if grantNumber == share.granted.number {
		share.setApplied()
	}
	share.setUsage(now, requested, inUse)
	if share.requestDue(now, h.config.LeaseSeconds) {
		h.nextWakeup = min(h.nextWakeup, max(now, share.lastRequest+minRequestInterval))
	}
}

// NextWakeup is when NextRequest is to be called, in seconds of the holder's clock.
func (h *Holder) NextWakeup() float64 { return h.nextWakeup }

// NextRequest returns the request to send to the grantor, nil where there is nothing to say.
func (h *Holder) NextRequest(now float64) *Request {
	due := h.takeDue(now)
	if due == nil {
		return nil
	}
	h.requestCount++
	h.requests[h.requestCount%maxPendingRequests] = pendingRequest{number: h.requestCount, sentAt: now}
	request := &Request{
		Incarnation: h.incarnation,
		Number:      h.requestCount,
		ConfigHash:  h.configHash,
		GrantorID:   h.grantorID,
	}
	for _, share := range due {
		request.Demands = append(request.Demands, share.demand(now))
		share.setReported(now)
	}
	h.nextWakeup = min(h.nextWakeup, now+minRequestInterval)
	return request
}

// takeDue lists the shares that the next request speaks of, at most MaxEntries, and sets the next wakeup
// by the others.
func (h *Holder) takeDue(now float64) []*leasedShare {
	var due []*leasedShare
	h.nextWakeup = math.Inf(1)
	for i := range h.names {
		at := (h.nextName + i) % len(h.names)
		share := h.shares[h.names[at]]
		if share.requestDue(now, h.config.LeaseSeconds) {
			if len(due) == MaxEntries {
				h.nextName = at
				h.nextWakeup = now
				break
			}
			due = append(due, share)
		} else if share.leased(now) || share.wantsLease() {
			renewal := max(now+minRequestInterval, share.lastRequest+renewFraction*h.config.LeaseSeconds)
			h.nextWakeup = min(h.nextWakeup, renewal)
		}
	}
	return due
}

// HandleReply takes a grantor's reply. One to an earlier incarnation, to a request that isn't pending any
// more, or older than one that was taken changes nothing.
func (h *Holder) HandleReply(now float64, reply *Reply) {
	pending := h.requests[reply.Number%maxPendingRequests]
	if reply.Incarnation != h.incarnation || reply.Number == 0 || pending.number != reply.Number ||
		reply.Number <= h.latestReply {
		return
	}
	h.latestReply = reply.Number
	if reply.GrantorID != h.grantorID {
		h.followGrantor(now, reply.GrantorID)
	}
	for _, granted := range reply.Grants {
		share := h.shares[granted.Name]
		if share == nil || reply.Number <= share.granted.number {
			continue
		}
		share.setGranted(now, grant{
			share:       clamp(granted.LeasedShare, h.config.pool(share.limit)),
			leaseExpiry: pending.sentAt + h.config.LeaseSeconds,
			number:      reply.Number,
		})
		h.changed = true
	}
}

// followGrantor has everything that is leased asked for again: a grantor grants nothing to holders that
// haven't heard it.
func (h *Holder) followGrantor(now float64, grantorID uint64) {
	h.grantorID = grantorID
	h.nextWakeup = now
	for _, share := range h.shares {
		if share.leased(now) {
			share.lastRequest = math.Inf(-1)
		}
	}
}

// ActiveLeases lists the limits of which a share is leased at this moment.
func (h *Holder) ActiveLeases(now float64) []Allowance {
	var list []Allowance
	for _, name := range h.names {
		if share := h.shares[name]; share.leased(now) {
			list = append(list, share.allowance())
		}
	}
	return list
}

// TakeChanges lists what may be used of all limits, by name, if any of it changed since the last call. It
// returns nil if nothing did.
func (h *Holder) TakeChanges() []Allowance {
	if !h.changed {
		return nil
	}
	h.changed = false
	list := make([]Allowance, 0, len(h.names))
	for _, name := range h.names {
		list = append(list, h.shares[name].allowance())
	}
	slices.SortFunc(list, func(a, b Allowance) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
