package admission

const (
	// infrequentClientIntervalSeconds is the mean interval between the requests of one client, in
	// seconds, above which keeping its connection open costs more than opening a new one. Where
	// some tens of clients share a server, both cost about the same near 5 s.
	infrequentClientIntervalSeconds = 8
	// minIdleTimeoutSeconds is the idle timeout, in seconds, for clients that return less often
	// than every infrequentClientIntervalSeconds. It is the best timeout under high load.
	minIdleTimeoutSeconds = 0.05
	// stretchIncrease and stretchDecrease are the factors by which a tick changes timeoutStretch,
	// up to maxStretch. With them the timeout grows from 0.05 s to 5 s in 2.5 s, the time in
	// which a connection table fills, and shrinks more slowly.
	stretchIncrease = 1.2
	stretchDecrease = 1.03
	maxStretch      = 1000
	// minIdleChange is the minimum factor between the old and the new timeout for which an action
	// is sent. Smaller steps would only add messages.
	minIdleChange = 1.2
)

// connectionTuner sets how long idle connections stay open.
type connectionTuner struct {
	clients        float64
	idleTimeout    float64 // current value
	maxIdleTimeout float64
	timeoutStretch float64 // factor on the timeout; over 1 during and shortly after an unread backlog
}

func newConnectionTuner(settings *Settings) connectionTuner {
	return connectionTuner{
		clients:        float64(settings.Clients),
		idleTimeout:    settings.IdleTimeout,
		maxIdleTimeout: settings.IdleTimeout,
		timeoutStretch: 1,
	}
}

// tuneIdleTimeout sets a short idle timeout if clients return so rarely that keeping their
// connections open costs more than opening new ones and would fill the connection table.
//
// While the unread delay exceeds half the backlog threshold, it lengthens the timeout at each tick
// instead, so that the connection table stays full and new connections are refused. A refused
// connection costs this server nothing, but a request that is read and rejected costs a handshake
// and a read. This helps against retry storms, bursts and slow cores; it may hurt where it keeps
// out the most valuable requests.
func (c *Controller) tuneIdleTimeout() {
	t := &c.connections
	timeout := t.maxIdleTimeout
	if c.arrivals.meanInterval*t.clients > infrequentClientIntervalSeconds {
		timeout = minIdleTimeoutSeconds
	}
	if c.arrivals.meanUnreadDelay > c.arrivals.maxUnreadDelay/2 {
		t.timeoutStretch = min(stretchIncrease*t.timeoutStretch, maxStretch)
	} else {
		t.timeoutStretch = max(1, t.timeoutStretch/stretchDecrease)
	}
	timeout = min(t.maxIdleTimeout, timeout*t.timeoutStretch)
	if timeout > minIdleChange*t.idleTimeout || timeout < t.idleTimeout/minIdleChange {
		t.idleTimeout = timeout
		c.emit(Action{Kind: SetIdleTimeout, Duration: timeout})
	}
}
