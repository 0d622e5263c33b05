package server

import (
	"iter"
	"slices"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are kept from clients and upstream connections: the links, the listener,
	// the runtime's own, and a second descriptor for each of some dials while the loop takes them
	// over.
	reservedDescriptors = 32
	// idleConnBytes is the memory of a connection that says nothing, measured, see docs/idle.md; a
	// quarter of the memory may be spent on such.
	idleConnBytes = 1300
	// idleMemoryShare is that quarter's divisor.
	idleMemoryShare = 4
	// maxEvictionCandidates bounds how many are looked at for one that may go.
	maxEvictionCandidates = 16
)

// What bounds the number of clients' connections, as the log says it.
const (
	boundByDescriptors = "descriptors"
	boundByMemory      = "memory"
)

// maxClients is how many connections clients may hold, and what bounds it: what is left of the
// descriptors, which is over half, as clients may open that; or memory.
func (s *Server) maxClients() (limit int, bound string) {
	limit = s.startup.MaxSockets - reservedDescriptors - s.maxUpstreamConns()
	inMemory := int(s.startup.MemoryBytes / idleMemoryShare / idleConnBytes)
	if s.startup.MemoryBytes > 0 && inMemory < limit {
		return inMemory, boundByMemory
	}
	return limit, boundByDescriptors
}

// evictionCandidate is the connection that goes when a newcomer needs its place, nil for none: the
// first by the limiter that has nothing to write or to be read.
func (s *Server) evictionCandidate(newcomer *clientConn) *clientConn {
	return s.firstEvictable(s.clients.limiter.Spare(s.now()), newcomer)
}

// firstEvictable is the first of the slots' connections that has nothing to write or to be read,
// nil where there is none.
func (s *Server) firstEvictable(slots iter.Seq[int32], newcomer *clientConn) *clientConn {
	tried := 0
	for slot := range slots {
		client := s.clients.conns.AtSlot(slot)
		if tried == maxEvictionCandidates {
			break
		}
		if client == newcomer {
			continue
		}
		tried++
		if !client.unsent && !hasQueuedBytes(client.conn) {
			return client
		}
	}
	return nil
}

// hasQueuedBytes reports whether bytes of a connection are there that nobody read yet, or answers
// that the other side's system has not taken. It guards a request that arrives in the turn in which
// its connection is to be closed, and who reads slowly, as a close over bytes that come meanwhile
// drops what is not taken; it costs two calls of the system for a connection that closes.
func hasQueuedBytes(conn gnet.Conn) bool {
	return conn.OutboundBuffered() > 0 || queueHoldsBytes(conn, unix.TIOCINQ) || queueHoldsBytes(conn, unix.TIOCOUTQ)
}

// queueHoldsBytes reports whether the system's queue of a connection, to be read or on its way out,
// holds anything.
func queueHoldsBytes(conn gnet.Conn, queue uint) bool {
	n, err := unix.IoctlGetInt(conn.Fd(), queue)
	return err == nil && n > 0
}

// evictUnderPressure closes some connections, as there are fewer descriptors than the server was
// told.
func (s *Server) evictUnderPressure() {
	if !s.clients.limiter.Guarded() {
		if victim := s.evictionCandidate(nil); victim != nil {
			s.statistics.evicted++
			victim.closeNow()
		}
		return
	}
	now := s.now()
	s.clients.limiter.Squeeze(now)
	for s.clients.limiter.Over() > 0 {
		victim := s.firstEvictable(s.clients.limiter.Excess(now), nil)
		if victim == nil {
			return // all have requests open
		}
		s.statistics.evicted++
		victim.closeNow()
	}
}

const (
	// sweepInterval is how often, in seconds, what has run out is dropped.
	sweepInterval = 0.5
	// unreadMemoryShare of the memory, as its divisor, may lie unread by clients.
	unreadMemoryShare = 8
)

// sweep drops cached results that have run out, closes idle upstream connections, and ends the
// connection that reads least where all together leave too much unread.
func (s *Server) sweep() {
	now := s.now()
	s.closeLargestBacklog()
	s.closeIdleUpstream(now)
	s.results.Expire(now - s.maxReadDelay())
}

// closeLargestBacklog closes the connection that leaves most unread, where all together leave too
// much.
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
