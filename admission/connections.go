package admission

const (
	// rareClientInterval is from how many seconds between the requests of one client on keeping its
	// connection costs more than a new one. Both cost about the same near 5 s, where some tens of
	// clients share a server.
	rareClientInterval = 8
	// minIdleTimeout is the shortest that was tried, in seconds, and the best on busy days.
	minIdleTimeout = 0.05
	// The stretch grows from 0.05 s to 5 in 2.5 s, as a connection table takes to fill, and goes
	// back slowly.
	stretchIncrease = 1.2
	stretchDecrease = 1.03
	maxStretch      = 1000
	// minIdleChange is the least factor that is told: smaller steps would only add messages.
	minIdleChange = 1.2
)

// connectionTuner decides for how long silent connections stay open.
type connectionTuner struct {
	clients        float64
	idleTimeout    float64 // that holds now
	maxIdleTimeout float64
	stretch        float64 // factor on the timeout while requests wait unread
}

func newConnectionTuner(settings *Settings) connectionTuner {
	return connectionTuner{
		clients:        float64(settings.Clients),
		idleTimeout:    settings.IdleTimeout,
		maxIdleTimeout: settings.IdleTimeout,
		stretch:        1,
	}
}

// tuneIdleTimeout closes connections at once where clients come back so seldom that keeping them
// costs the cores more than new ones do, and the full table would keep others out. While requests
// wait unread it is to do just that: connections stay for longer and longer, as an attempt that
// gets none costs nothing here, and one that is read and rejected a handshake and a read. That
// guards against storms of retries and also meets bursts and slow cores; it may hurt where those
// kept out bring what has most value.
func (c *Controller) tuneIdleTimeout() {
	t := &c.connections
	timeout := t.maxIdleTimeout
	if c.arrivals.interval*t.clients > rareClientInterval {
		timeout = minIdleTimeout
	}
	if c.arrivals.unreadDelay > c.arrivals.maxUnreadDelay/2 {
		t.stretch = min(stretchIncrease*t.stretch, maxStretch)
	} else {
		t.stretch = max(1, t.stretch/stretchDecrease)
	}
	timeout = min(t.maxIdleTimeout, timeout*t.stretch)
	if timeout > minIdleChange*t.idleTimeout || timeout < t.idleTimeout/minIdleChange {
		t.idleTimeout = timeout
		c.emit(Action{Kind: SetIdleTimeout, Duration: timeout})
	}
}
