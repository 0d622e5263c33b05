package server

import (
	"iter"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is the number of descriptors that neither clients nor upstream connections
	// may take: for the links, the listener, the runtime, and the second descriptor that a dialed
	// connection has while it is being registered on the loop.
	reservedDescriptors = 32
	// idleConnBytes is the memory that an idle connection takes, see docs/idle.md.
	idleConnBytes = 1300
	// idleMemoryDivisor is the divisor of the memory limit that bounds idle connections.
	idleMemoryDivisor = 4
	// maxEvictionCandidates bounds how many connections are examined for one eviction.
	maxEvictionCandidates = 16
)

// clientBound is the resource that limits the number of clients' connections, as it is logged.
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

// maxClients returns the limit on clients' connections: the number of descriptors that are left for
// them, or fewer if memory suffices only for fewer. More than half of all descriptors are left, as
// clients are entitled to half.
func (s *Server) maxClients() clientLimit {
	byDescriptors := s.startup.MaxSockets - reservedDescriptors - s.maxUpstreamConns()
	inMemory := int(s.startup.MemoryBytes / idleMemoryDivisor / idleConnBytes)
	if s.startup.MemoryBytes > 0 && inMemory < byDescriptors {
		return clientLimit{inMemory, boundByMemory}
	}
	return clientLimit{byDescriptors, boundByDescriptors}
}

// evictionCandidate returns the connection to evict for an arriving one, nil for none: the limiter's
// first choice without unread input or pending output.
func (s *Server) evictionCandidate(arriving *clientConn) *clientConn {
	return s.firstEvictable(s.clients.limiter.EvictionCandidates(s.now()), arriving)
}

// firstEvictable returns the first connection, in the order of the slots, that has no unread input
// and no pending output. It skips the arriving connection, and returns nil if the first
// maxEvictionCandidates others all have some.
func (s *Server) firstEvictable(slots iter.Seq[int32], arriving *clientConn) *clientConn {
	tried := 0
	for slot := range slots {
		client := s.clients.conns.AtSlot(slot)
		if tried == maxEvictionCandidates {
			break
		}
		if client == arriving {
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
// acknowledged. Such a connection must not be closed: unread input may be a request that arrived in
// the same turn, and closing with unread input drops unacknowledged output, which a client that
// reads slowly still needs. The check costs two system calls for each close.
func hasQueuedBytes(conn gnet.Conn) bool {
	return conn.OutboundBuffered() > 0 || queueHoldsBytes(conn, unix.TIOCINQ) || queueHoldsBytes(conn, unix.TIOCOUTQ)
}

// queueHoldsBytes reports whether a system queue of a connection, selected by the ioctl request, is
// not empty.
func queueHoldsBytes(conn gnet.Conn, queue uint) bool {
	n, err := unix.IoctlGetInt(conn.Fd(), queue)
	return err == nil && n > 0
}

// evictUnderPressure evicts connections when the system has fewer descriptors than the server was
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
			return // no other connection can be closed now
		}
		s.statistics.evicted++
		victim.closeNow()
	}
}
