package server

import "slices"

const (
	// sweepIntervalSeconds is how often sweep runs.
	sweepIntervalSeconds = 0.5
	// unreadMemoryDivisor is the divisor of the memory limit that bounds the output which all clients
	// together may leave unread.
	unreadMemoryDivisor = 8
)

// sweep drops expired cached results and IDs of started requests, closes upstream connections that have
// been idle for too long,
// and bounds the output that clients leave unread.
func (s *Server) sweep() {
	now := s.now()
	s.closeLargestBacklogs()
	s.closeIdleUpstream(now)
	s.startedIDs.Expire(now)
	s.results.Expire(now - s.maxReadDelay())
}

// closeLargestBacklogs closes the connections with the largest backlogs until the total of all
// backlogs is within the limit. Without a memory limit there is none.
func (s *Server) closeLargestBacklogs() {
	limit := int(s.startup.MemoryBytes / unreadMemoryDivisor)
	for limit > 0 && len(s.output.lagging) > 0 {
		total, largest := s.measureBacklogs()
		if total <= limit || largest == nil {
			return
		}
		client, isClient := largest.conn.Context().(*clientConn)
		if !isClient {
			return
		}
		client.closeNow()
	}
}

// measureBacklogs returns the total of all backlogs and the connection with the largest one. It drops
// connections without a backlog from the list of lagging ones.
func (s *Server) measureBacklogs() (total int, largestConn *bufferedConn) {
	largest := 0
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
	return total, largestConn
}
