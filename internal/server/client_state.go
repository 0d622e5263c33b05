package server

// A client's connection goes through the states below. The connection limiter keeps further state
// about each connection (untrusted, idle, busy, asked to close) in package connlimit.
//
// gnet closes a descriptor only after the turn in which the close was requested, and may report
// events of the connection until then. The table shows the handler and the effect of events in each
// state:
//
//	state      handler        input                  close by the peer      late event from gnet
//	closed     none           closes the connection  ignored                ignored, see owns
//	reading    clientConn     is handled             cancels open requests  -
//	muted      clientConn     is discarded           cancels open requests  -
//	lingering  lingeringConn  is discarded           ends the lingering     -
//
// Closing a connection with unread input resets it, and the peer may lose answers that it has not
// read yet. Therefore the server shuts down its own side first, after all answers, and reads the
// input until the peer closes. Requests that it discards meanwhile were sent before the client saw
// the close: they never ran, and the client sends them again.

// connState is the state of a client's connection.
type connState uint8

const (
	connClosed    connState = iota // the zero value: the connection has no handler
	connReading                    // messages are read and answered
	connMuted                      // after malformed input: further input is discarded, pending answers are sent
	connLingering                  // the server's side is shut down, and the peer has yet to close
	connStateCount
)

// String returns the state's name.
func (s connState) String() string {
	return [...]string{"closed", "reading", "muted", "lingering", "unknown"}[min(s, connStateCount)]
}

// connEvent is an event that changes the state of a client's connection.
type connEvent uint8

const (
	connOpened        connEvent = iota // gnet reported the open connection
	connProtocolError                  // the client sent malformed input
	connGracefulClose                  // with nothing pending, the server shuts down its side
	connEnded                          // the peer closed or reset it, or the server closes it at once
	connEventCount
)

// String returns the event's name.
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

// advance changes to the state that follows an event, and reports whether the event was legal.
func (s *connState) advance(event connEvent) bool {
	transition := connTransitions[*s][event]
	if transition.legal {
		*s = transition.next
	}
	return transition.legal
}
