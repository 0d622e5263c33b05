package admission

import "math"

const (
	// unreadWeight is the weight of the latest request in a moving average of about 20 requests.
	unreadWeight = 0.05
	// intervalWeight is the weight of the latest request in a moving average of about 50 requests.
	intervalWeight = 0.02
	// unreadDelayDivisor is the ratio of the shortest soft deadline to the unread delay above which
	// arrivals count as backlogged.
	unreadDelayDivisor = 6
	// unreadTickDecay is the fraction of the unread delay that is left after a tick.
	unreadTickDecay = 0.98
	// unreadDelayExpiry is the time without an arrival, in seconds, after which the unread delay is
	// forgotten.
	unreadDelayExpiry = 0.5
)

// arrivalStats is what was learned of arrivals. A request is unread from the time it reaches the
// machine until the server reads it.
type arrivalStats struct {
	unreadDelay    float64 // mean delay of requests before they are read, in seconds
	maxUnreadDelay float64 // unread delay above which arrivals count as backlogged
	last           float64 // time of the last arrival
	interval       float64 // mean interval between arrivals, in seconds
	haveSubjects   bool    // requests name subjects, by which clients may choose servers
}

func newArrivalStats(settings *Settings) arrivalStats {
	stats := arrivalStats{maxUnreadDelay: math.Inf(1)}
	for i := range settings.Classes {
		stats.maxUnreadDelay = min(stats.maxUnreadDelay, settings.Classes[i].SoftDeadline/unreadDelayDivisor)
	}
	return stats
}

// record learns from the arrival of a request.
func (a *arrivalStats) record(now float64, in *Request) {
	a.unreadDelay += unreadWeight * (in.Age - a.unreadDelay)
	a.interval += intervalWeight * (now - a.last - a.interval)
	a.last = now
	a.haveSubjects = a.haveSubjects || in.HasSubject
}

// backlogged reports whether requests wait unread for too long.
func (a *arrivalStats) backlogged() bool { return a.unreadDelay > a.maxUnreadDelay }

// decayUnreadDelay lowers the unread delay, which is learned of arrivals only. Once nothing has
// arrived for a while it is forgotten, and lastTimely is set to now as nothing could be timely.
func (c *Controller) decayUnreadDelay() {
	c.arrivals.unreadDelay *= unreadTickDecay
	if c.now-c.arrivals.last > unreadDelayExpiry {
		c.arrivals.unreadDelay = 0
		c.progress.lastTimely = c.now
	}
}
