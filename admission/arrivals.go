package admission

import "math"

const (
	// unreadWeight is the weight of the latest request in the mean unread delay, a moving average
	// of about 20 requests.
	unreadWeight = 0.05
	// intervalWeight is the weight of the latest request in the mean interval between arrivals, a
	// moving average of about 50 requests.
	intervalWeight = 0.02
	// backlogThresholdDivisor sets the backlog threshold: arrivals count as backlogged if the
	// unread delay exceeds the shortest soft deadline divided by it.
	backlogThresholdDivisor = 6
	// unreadTickDecay is the factor by which each tick multiplies the unread delay.
	unreadTickDecay = 0.98
	// unreadDelayExpirySeconds is the time without an arrival, in seconds, after which the unread
	// delay is reset to 0.
	unreadDelayExpirySeconds = 0.5
)

// arrivalStats are statistics of arriving requests. A request is unread from the time it reaches
// the machine until the server reads it.
type arrivalStats struct {
	meanUnreadDelay float64 // mean time that requests stay unread, in seconds
	maxUnreadDelay  float64 // unread delay above which arrivals count as backlogged
	lastArrivalAt   float64 // time of the last arrival
	meanInterval    float64 // mean interval between arrivals, in seconds
	haveSubjects    bool    // whether requests name a subject, by which clients may choose servers
}

func newArrivalStats(settings *Settings) arrivalStats {
	stats := arrivalStats{maxUnreadDelay: math.Inf(1)}
	for i := range settings.Classes {
		stats.maxUnreadDelay = min(stats.maxUnreadDelay, settings.Classes[i].SoftDeadline/backlogThresholdDivisor)
	}
	return stats
}

// record updates the statistics with the arrival of a request.
func (a *arrivalStats) record(now float64, arrival *Request) {
	a.meanUnreadDelay += unreadWeight * (arrival.Age - a.meanUnreadDelay)
	a.meanInterval += intervalWeight * (now - a.lastArrivalAt - a.meanInterval)
	a.lastArrivalAt = now
	a.haveSubjects = a.haveSubjects || arrival.HasSubject
}

// backlogged reports whether requests stay unread for too long.
func (a *arrivalStats) backlogged() bool { return a.meanUnreadDelay > a.maxUnreadDelay }

// decayUnreadDelay lowers the unread delay at each tick, as it would otherwise change only with
// arrivals. After unreadDelayExpirySeconds without an arrival the delay is reset to 0, and
// lastTimelyAt is set to now, as the lack of timely responses then does not show a stall.
func (c *Controller) decayUnreadDelay() {
	c.arrivals.meanUnreadDelay *= unreadTickDecay
	if c.now-c.arrivals.lastArrivalAt > unreadDelayExpirySeconds {
		c.arrivals.meanUnreadDelay = 0
		c.progress.lastTimelyAt = c.now
	}
}
