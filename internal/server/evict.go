package server

import (
	"iter"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are the descriptors that neither clients nor upstream connections may
	// take: for the links, the listener, the runtime, and the second descriptor that each of some
	// dials has while the loop takes them over.
	reservedDescriptors = 32
	// idleConnBytes is the measured memory of an idle connection, see docs/idle.md.
	idleConnBytes = 1300
	// idleMemoryShare is the divisor of the memory that idle connections may take.
	idleMemoryShare = 4
	// maxEvictionCandidates bounds how many connections are examined for one eviction.
	maxEvictionCandidates = 16
)

// clientBound is the resource that bounds the number of clients' connections, as logged.
type clientBound string

const (
	boundByDescriptors clientBound = "descriptors"
	boundByMemory      clientBound = "memory"
)

// clientLimit is a limit on clients' connections, and the resource that sets it.
type clientLimit struct {
	conns int
	bound clientBound
}

// maxClients is the limit on clients' connections: by the descriptors that are left, which are over
// half, as clients may open that many; or by memory.
func (s *Server) maxClients() clientLimit {
	byDescriptors := s.startup.MaxSockets - reservedDescriptors - s.maxUpstreamConns()
	inMemory := int(s.startup.MemoryBytes / idleMemoryShare / idleConnBytes)
	if s.startup.MemoryBytes > 0 && inMemory < byDescriptors {
		return clientLimit{inMemory, boundByMemory}
	}
	return clientLimit{byDescriptors, boundByDescriptors}
}

// evictionCandidate is the connection to evict for a newcomer, nil for none: the limiter's first
// choice that has nothing to write or to read.
func (s *Server) evictionCandidate(newcomer *clientConn) *clientConn {
	return s.firstEvictable(s.clients.limiter.EvictionCandidates(s.now()), newcomer)
}

// firstEvictable is the first connection of the slots that has nothing to write or to read, nil for
// none.
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
		if !client.unflushed && !hasQueuedBytes(client.conn) {
			return client
		}
	}
	return nil
}

// hasQueuedBytes reports whether a connection has unread input, or output that its peer has not
// acknowledged. It protects a request that arrives in the turn that would close its connection, and
// a client that reads slowly, as a close with unread input drops the unacknowledged output. It
// costs two system calls per close.
func hasQueuedBytes(conn gnet.Conn) bool {
	return conn.OutboundBuffered() > 0 || queueHoldsBytes(conn, unix.TIOCINQ) || queueHoldsBytes(conn, unix.TIOCOUTQ)
}

// queueHoldsBytes reports whether one of the system's queues of a connection holds anything.
func queueHoldsBytes(conn gnet.Conn, queue uint) bool {
	n, err := unix.IoctlGetInt(conn.Fd(), queue)
	return err == nil && n > 0
}

// evictUnderPressure closes some connections, as there are fewer descriptors than the server was
// configured for.
func (s *Server) evictUnderPressure() {
	if !s.clients.limiter.HasRules() {
		if victim := s.evictionCandidate(nil); victim != nil {
			s.statistics.evicted++
			victim.closeNow()
		}
		return
	}
	now := s.now()
	s.clients.limiter.HandleDescriptorShortage(now)
	for s.clients.limiter.ExcessCount() > 0 {
		victim := s.firstEvictable(s.clients.limiter.ExcessConnections(now), nil)
		if victim == nil {
			return // all have requests open
		}
		s.statistics.evicted++
		victim.closeNow()
	}
}
