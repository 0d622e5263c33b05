package admission

const (
	// rareClientInterval is the mean interval between the requests of one client, in seconds, above
	// which keeping its connection costs more than opening a new one. Where some tens of clients
	// share a server, both cost about the same near 5 s.
	rareClientInterval = 8
	// minIdleTimeout is the shortest timeout that was measured, in seconds, and the best under high load.
	minIdleTimeout = 0.05
	// stretchIncrease and stretchDecrease are factors at a tick. The timeout grows from 0.05 s to 5 s in
	// 2.5 s, the time in which a connection table fills, and shrinks slowly.
	stretchIncrease = 1.2
	stretchDecrease = 1.03
	maxStretch      = 1000
	// minIdleChange is the least factor that is worth an action: smaller steps would only add
	// messages.
	minIdleChange = 1.2
)

// connectionTuner sets how long silent connections stay open.
type connectionTuner struct {
	clients        float64
	idleTimeout    float64 // in force now
	maxIdleTimeout float64
	stretch        float64 // factor on the timeout, over 1 while or after requests waited unread
}

func newConnectionTuner(settings *Settings) connectionTuner {
	return connectionTuner{
		clients:        float64(settings.Clients),
		idleTimeout:    settings.IdleTimeout,
		maxIdleTimeout: settings.IdleTimeout,
		stretch:        1,
	}
}

// tuneIdleTimeout closes silent connections soon where clients come back so seldom that keeping them
// costs more than opening new ones, and that they fill the connection table.
//
// While requests wait unread it does the opposite and keeps connections for longer and longer, so that
// the full table keeps new ones out. A connection that is refused costs this server nothing, but a
// request that is read and rejected costs a handshake and a read. That helps against storms of
// retries, bursts and slow cores; it may hurt where the most valuable requests are kept out.
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
