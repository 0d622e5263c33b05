package server

// A client's connection goes through the states below. What the connection limiter knows of it
// beyond that (untrusted, idle, busy, asked to close) is a state of package connlimit.
//
// gnet closes the descriptor only after the turn in which that is asked for. So each state has a
// handler of the connection, and a rule for events that gnet reports late.
//
//	state      handler          bytes that arrive          close by the peer    a late event of gnet
//	closed     none             the connection is closed   ignored              ignored: owns reports false
//	reading    clientConn       are read                   the requests cancel  -
//	muted      clientConn       are discarded              the requests cancel  -
//	lingering  lingeringConn    are discarded              ends the lingering   -
//
// A close with bytes unread resets the connection, and what the peer has not taken yet may go with
// it. So the server shuts its own side first, after all answers, and reads the input to its end.
// Requests that it discards there were sent before the client saw the close: they never ran, and the
// client sends them once more.

// connState is the state of a client's connection.
type connState uint8

const (
	connClosed    connState = iota // the zero value: it has no handler
	connReading                    // messages are read and answered
	connMuted                      // it sent malformed input: nothing more is read, pending answers are still sent
	connLingering                  // the server's side is shut, and the peer's end is awaited
	connStateCount
)

// String returns the state's name in log lines.
func (s connState) String() string {
	return [...]string{"closed", "reading", "muted", "lingering", "unknown"}[min(s, connStateCount)]
}

// connEvent is what moves a client's connection from one state to the next.
type connEvent uint8

const (
	connOpened        connEvent = iota // gnet has the connection
	connProtocolError                  // it sent malformed input
	connGracefulClose                  // nothing is pending either way: the server's side is shut
	connEnded                          // the peer closed or reset it, or the server closes it at once
	connEventCount
)

// String returns the event's name in log lines.
func (e connEvent) String() string {
	return [...]string{"opened", "protocol_error", "graceful_close", "ended", "unknown"}[min(e, connEventCount)]
}

// connTransition is the effect of an event; the zero value is an illegal event.
type connTransition struct {
	next  connState
	legal bool
}

// connTransitions lists the legal events of each state and the state that follows. An event that is
// not listed has no effect.
var connTransitions = [connStateCount][connEventCount]connTransition{
	connClosed: {
		connOpened: {connReading, true},
	},
	connReading: {
		connProtocolError: {connMuted, true},
		connGracefulClose: {connLingering, true},
		connEnded:         {connClosed, true},
	},
	connMuted: {
		connGracefulClose: {connLingering, true},
		connEnded:         {connClosed, true},
	},
	connLingering: {
		connEnded: {connClosed, true},
	},
}

// advance moves to the state that follows an event, and reports whether the event was legal.
func (s *connState) advance(event connEvent) bool {
	transition := connTransitions[*s][event]
	if transition.legal {
		*s = transition.next
	}
	return transition.legal
}
