package server

import "slices"

const (
	// sweepInterval is how often, in seconds, sweep runs.
	sweepInterval = 0.5
	// unreadMemoryShare is the divisor of the memory limit that bounds the output which all clients
	// together may leave unread.
	unreadMemoryShare = 8
)

// sweep drops expired cached results, closes upstream connections that have been idle for too long,
// and bounds the output that clients leave unread.
func (s *Server) sweep() {
	now := s.now()
	s.closeLargestBacklog()
	s.closeIdleUpstream(now)
	s.results.Expire(now - s.maxReadDelay())
}

// closeLargestBacklog closes the connection with the largest backlog if the total of all backlogs
// exceeds the limit.
func (s *Server) closeLargestBacklog() {
	unread := 0
	largest := 0
	var worst *bufferedConn
	s.output.lagging = slices.DeleteFunc(s.output.lagging, func(c *bufferedConn) bool {
		backlog := c.conn.OutboundBuffered()
		unread += backlog
		if backlog > largest {
			largest = backlog
			worst = c
		}
		c.lagging = backlog > 0
		return backlog == 0
	})
	if worst == nil || unread <= int(s.startup.MemoryBytes/unreadMemoryShare) {
		return
	}
	if client, ok := worst.conn.Context().(*clientConn); ok {
		client.closeNow()
	}
}
