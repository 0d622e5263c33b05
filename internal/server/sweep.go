package server

import "slices"

const (
	// sweepIntervalSeconds is how often sweep runs.
	sweepIntervalSeconds = 0.5
	// unreadMemoryDivisor is the divisor of the memory limit that bounds the output which all clients
	// together may leave unread.
	unreadMemoryDivisor = 8
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
	total := 0
	largest := 0
	var largestConn *bufferedConn
	s.output.lagging = slices.DeleteFunc(s.output.lagging, func(c *bufferedConn) bool {
		backlog := c.conn.OutboundBuffered()
		total += backlog
		if backlog > largest {
			largest = backlog
			largestConn = c
		}
		c.lagging = backlog > 0
		return backlog == 0
	})
	if largestConn == nil || total <= int(s.startup.MemoryBytes/unreadMemoryDivisor) {
		return
	}
	if client, ok := largestConn.conn.Context().(*clientConn); ok {
		client.closeNow()
	}
}
