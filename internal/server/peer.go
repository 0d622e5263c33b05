package server

import (
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"math"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/resultcache"
	"swiftcourse/internal/slottable"
	"swiftcourse/internal/wire/rpc"
)

// clientConn is a balancer's connection. What is not needed while it is idle is not here: its tasks and what waits to
// be written are in buffers that come from a pool and go back to it.
type clientConn struct {
	bufferedConn
	server     *Server
	id         slottable.Handle        // in the table of peers; its slot is its name at the door
	requests   []*requesttable.Request // from spareOpen, nil where none is
	retryAfter float64                 // when to come back, in seconds, where it was not let in
	muted      bool                    // it sent what is no message: nothing more is read, see closing.go
}

const (
	maxRequestsPerConn = 32 // tasks on one connection, by the protocol
	// reservedDescriptors are kept from balancers and pooled connections: the links, the listener, the runtime's own, and a second
	// descriptor for each of some dials while the loop takes them over.
	reservedDescriptors = 32
	sweepInterval       = 0.5
	// maxClockSkew is how far from now a task may say that it came: more than any pause of a machine, as an age is learned from.
	maxClockSkew = 60
	// idleConnBytes is the memory in bytes of a connection that says nothing, measured, see docs/idle.md; a quarter of the memory
	// may be spent on such.
	idleConnBytes = 1300
	// maxEvictionCandidates bounds how many are looked at for one that may go.
	maxEvictionCandidates = 16
)

// maxClients is how many connections balancers may hold, and what bounds it: what is left of the descriptors, which is over half, as
// balancers may open that; or memory.
func (s *Server) maxClients() (most int, by string) {
	most, by = s.startup.MaxSockets-reservedDescriptors-s.maxUpstreamConns(), "descriptors"
	if n := int(s.startup.MemoryBytes / 4 / idleConnBytes); n < most && s.startup.MemoryBytes > 0 {
		return n, "memory"
	}
	return most, by
}

func (p *clientConn) handleOpen(c gnet.Conn, _ string) error {
	s := p.server
	p.conn = c
	if s.connLimiter.Guarded() {
		return p.admitConnection()
	}
	s.connLimiter.Open(p.id.Slot(), s.now())
	if most, _ := s.maxClients(); s.clients.Len() <= most {
		return nil
	}
	s.statistics.evicted++
	if worst := s.evictionCandidate(p); worst != nil {
		worst.closeNow()
		return nil
	}
	p.closeNow()
	return errors.New("no descriptor left for it")
}

// evictionCandidate is the connection that goes when a newcomer needs its place: the first at the door that has nothing to write or to
// be read.
func (s *Server) evictionCandidate(newcomer *clientConn) *clientConn {
	return s.firstEvictable(s.connLimiter.Spare(s.now()), newcomer)
}

// firstEvictable is the first of those named that has nothing to write or to be read, nil where there is none.
func (s *Server) firstEvictable(slots iter.Seq[int32], newcomer *clientConn) *clientConn {
	tried := 0
	for slot := range slots {
		p := s.clients.AtSlot(slot)
		if tried == maxEvictionCandidates {
			break
		}
		if p == newcomer {
			continue
		}
		tried++
		if !p.unsent && !hasQueuedBytes(p.conn) {
			return p
		}
	}
	return nil
}

// hasQueuedBytes tells whether bytes of a connection are there that nobody read yet, or answers that the other side's system has not taken. It
// guards a task that arrives in the turn in which its connection is to be closed, and who reads slowly, as a close over bytes that come
// meanwhile drops what is not taken; it costs two calls of the system for a connection that closes.
func hasQueuedBytes(c gnet.Conn) bool {
	return c.OutboundBuffered() > 0 || queueHoldsBytes(c, unix.TIOCINQ) || queueHoldsBytes(c, unix.TIOCOUTQ)
}

// queueHoldsBytes tells whether the system's queue of a connection, to be read or on its way out, holds anything.
func queueHoldsBytes(c gnet.Conn, queue uint) bool {
	n, err := unix.IoctlGetInt(c.Fd(), queue)
	return err == nil && n > 0
}

// closeNow closes a connection. Its place is free at once, and nothing is read from it any more: the library closes it
// a little later, and a task taken in by then would run and have no answer.
func (p *clientConn) closeNow() {
	c := p.conn
	p.handleClose(nil)
	if c != nil {
		_ = c.Close()
	}
}

func (p *clientConn) handleClose(error) {
	s, open := p.server, p.requests
	if p.lagging {
		s.lagging = slices.DeleteFunc(s.lagging, func(l *bufferedConn) bool { return l == &p.bufferedConn })
	}
	p.release(&s.buffers)
	s.connLimiter.Leave(p.id.Slot())
	s.clients.Remove(p.id) // p is another's from here on
	for _, t := range open {
		s.clientGone(t)
	}
	s.requestLists.Put(open)
}

func (p *clientConn) handleData(b []byte) (n int, err error) {
	if p.muted {
		return len(b), nil
	}
	s := p.server
	now, slot := s.now(), p.id.Slot()
	for n < len(b) {
		m, size, err := rpc.Next(b[n:])
		if err != nil {
			return n, err
		}
		if size == 0 {
			s.connLimiter.Tell(slot, connlimit.Partly, now)
			return n, nil
		}
		n += size
		switch m.Kind {
		case rpc.Task:
			if err := p.handleRequest(&m, now); err != nil {
				return n, err
			}
		case rpc.Gone:
			s.connLimiter.Tell(slot, connlimit.Heard, now)
			if t := p.findRequest(m.Number); t != nil {
				p.removeRequest(t, now)
				s.clientGone(t)
			}
		case rpc.Check:
			s.connLimiter.Tell(slot, connlimit.Spoke, now)
			s.scratch = rpc.PutWell(s.scratch[:0], m.Number, s.isHealthy(), s.loadReport)
			s.write(&p.bufferedConn, s.scratch)
		default:
			s.connLimiter.Tell(slot, connlimit.Heard, now)
		}
	}
	return n, nil
}

// findRequest gives the open task of a message, or nil.
func (p *clientConn) findRequest(number uint64) *requesttable.Request {
	for _, t := range p.requests {
		if t.MessageNumber == number {
			return t
		}
	}
	return nil
}

// removeRequest takes a task off the connection.
func (p *clientConn) removeRequest(t *requesttable.Request, now float64) {
	s := p.server
	if i := slices.Index(p.requests, t); i >= 0 {
		p.requests = slices.Delete(p.requests, i, i+1)
	}
	if len(p.requests) == 0 && p.requests != nil {
		s.requestLists.Put(p.requests)
		p.requests = nil
		s.connLimiter.Tell(p.id.Slot(), connlimit.Settled, now)
	}
}

// handleRequest takes a task in, or answers at once what can't be one.
func (p *clientConn) handleRequest(m *rpc.Message, now float64) error {
	s := p.server
	if p.findRequest(m.Number) != nil { // an answer would be taken for the other's
		return fmt.Errorf("message id %d is open already", m.Number)
	}
	stage, known := s.startup.ClassIndex[m.Stage]
	tenant, belongs := s.startup.TenantIndex[m.Tenant]
	bad := m.Bad
	switch {
	case bad != nil:
	case !known:
		bad = fmt.Errorf("unknown stage %.40q", m.Stage)
	case !belongs && len(s.startup.TenantIndex) > 0:
		bad = fmt.Errorf("unknown tenant %.40q", m.Tenant)
	case m.NoWait && s.startup.Settings.DeadlinePropagation:
		bad = errors.New("its wait is missing")
	case len(p.requests) >= maxRequestsPerConn:
		bad = fmt.Errorf("over %d tasks open", maxRequestsPerConn)
	case math.Abs(m.Came-now) > maxClockSkew:
		bad = fmt.Errorf("it came %.0f s from now", m.Came-now)
	case s.requests.Get(m.ID) != nil:
		bad = fmt.Errorf("the id of another task")
	case s.runsAtMostOnce(stage) && s.subjectOf(stage, m) == "": // no repeat of it could be known, so it may not run
		bad = fmt.Errorf("stage %.40q bears no idempotency key", m.Stage)
	case s.runsAtMostOnce(stage) && s.results.IsConflicting(stage, s.subjectOf(stage, m), m.Body, m.Came): // or it would be told what another's run came to
		bad = errors.New("its key is that of a request with another body")
	case s.controller == nil: // no processor yet: it can't have run
		s.countRejectedAtOnce(tenant, stage)
		s.connLimiter.Tell(p.id.Slot(), connlimit.Spoke, now)
		s.scratch = rpc.PutRejected(s.scratch[:0], m.Number, s.loadReport)
		s.write(&p.bufferedConn, s.scratch)
		return nil
	case s.outOfServiceAt(now):
		s.countRejectedAtOnce(tenant, stage)
		p.rejectOutOfService(m.Number, now)
		return nil
	case !s.connLimiter.MayOwe(p.id.Slot()):
		s.countRejectedAtOnce(tenant, stage)
		p.rejectAtLimit(m.Number, now)
		return nil
	}
	if bad != nil {
		s.statistics.invalid++
		if s.mayLogPeerFault() {
			slog.Info("bad_task", "peer", p.conn.RemoteAddr(), "err", bad)
		}
		s.connLimiter.Tell(p.id.Slot(), connlimit.Heard, now)
		s.scratch = rpc.PutInvalid(s.scratch[:0], m.Number, s.loadReport)
		s.write(&p.bufferedConn, s.scratch)
		return nil
	}
	t := &requesttable.Request{ID: m.ID, Connection: p.id, MessageNumber: m.Number, Class: stage, Tenant: int32(tenant), Subject: s.subjectOf(stage, m),
		ArrivedAt: m.Came, Timeout: m.Wait, Body: s.buffers.Copy(m.Body)}
	if p.requests == nil {
		p.requests = s.requestLists.Get()
	}
	p.requests = append(p.requests, t)
	s.connLimiter.Tell(p.id.Slot(), connlimit.Owed, now)
	s.requests.Add(t)
	s.statistics.read++
	s.keepForForwarding(t, m)
	s.countQuotaDemand(tenant)
	s.countReceived(tenant, stage)
	if to := s.directive.Load(); to != nil {
		to.Stats.Requests.Add(1)
	}
	read := admission.Event{Kind: admission.Arrived, RequestID: t.ID, Request: admission.Request{Class: stage, Tenant: tenant,
		Client: m.Caller, Memory: m.Memory, Priority: m.Rank, HasSubject: m.Subject != "", Retry: m.Again, ExpectedWork: m.Hint,
		DuplicateOf: s.results.Original(stage, t.Subject, m.Came, now)}}
	if !s.claimKey(t, &read, now) {
		if s.runsAtMostOnce(stage) && read.Request.DuplicateOf == "" { // a second try may come in this very turn, before the module keeps this one
			s.results.Track(t, t.ArrivedAt+s.startup.Settings.Classes[stage].DeduplicationWindow, true)
		}
		s.queueEvent(read)
	}
	return nil
}

// runsAtMostOnce tells whether the repeats of a stage's tasks have to be known.
func (s *Server) runsAtMostOnce(stage int) bool {
	stages := s.startup.Settings.Classes
	return stage < len(stages) && stages[stage].Idempotency == admission.Deduplicated
}

// maxReadDelay is for how long past its window a task that may run once is remembered: a repeat that came in time may be read later, as
// after a pause, though not when its caller has left.
func (s *Server) maxReadDelay() (longest float64) {
	for i, st := range s.startup.Settings.Classes {
		if s.runsAtMostOnce(i) {
			longest = max(longest, st.Timeout)
		}
	}
	return longest
}

// subjectOf is what a task has in common with its repeats: an idempotency key where its stage asks for one, and what it is about
// elsewhere. Where an operator names the keyed stages, of a protocol without such keys, what a task is about is its key.
func (s *Server) subjectOf(stage int, m *rpc.Message) string {
	if s.runsAtMostOnce(stage) && m.Key != "" {
		return m.Key
	}
	return m.Subject
}

// clientGone tells the module that nobody waits for a task any more.
func (s *Server) clientGone(t *requesttable.Request) {
	if t.Answered {
		return
	}
	s.statistics.clientGone++
	s.queueEvent(admission.Event{Kind: admission.ClientGone, RequestID: t.ID})
	s.settle(t)
}

// settle books that a task is owed no answer any more; a call of it is given up.
func (s *Server) settle(t *requesttable.Request) {
	t.Answered = true
	s.cancelCall(t)
	s.cancelForward(t)
	if !t.Running { // dropped without a run: who waits for its answer gets none
		s.releaseClaim(t)
		for _, id := range s.results.Finish(t.ID, resultcache.Outcome{}) {
			s.answerShared(s.requests.Get(id), nil, admission.Failed, 0)
		}
	}
	s.requests.RemoveIfDone(&s.buffers, t)
}

// respond gives a task its final answer, put by put; the first one wins.
func (s *Server) respond(t *requesttable.Request, count *int, put func(b []byte, id uint64) []byte) {
	if t.Answered {
		return
	}
	*count++
	s.countOutcome(count != &s.statistics.finished)
	s.countAnswered(t, count)
	if p := s.clients.Get(t.Connection); p != nil {
		p.removeRequest(t, s.now())
		s.scratch = put(s.scratch[:0], t.MessageNumber)
		s.write(&p.bufferedConn, s.scratch)
	}
	s.settle(t)
}

func (s *Server) finish(t *requesttable.Request, result []byte) {
	if p := s.clients.Get(t.Connection); p != nil && !t.Answered {
		s.connLimiter.Finished(p.id.Slot(), s.now())
	}
	s.respond(t, &s.statistics.finished, func(b []byte, id uint64) []byte { return rpc.PutResult(b, id, result, s.loadReport) })
}

func (s *Server) abandon(t *requesttable.Request) {
	s.respond(t, &s.statistics.abandoned, func(b []byte, id uint64) []byte { return rpc.PutAbandoned(b, id, s.loadReport) })
}

func (s *Server) reject(t *requesttable.Request, advice float64, last bool) {
	say := s.loadReport
	say.Advice, say.Last = advice, last
	s.respond(t, &s.statistics.rejected, func(b []byte, id uint64) []byte { return rpc.PutRejected(b, id, say) })
}

func (s *Server) setLoadReport(value float64) {
	s.loadReport.Free = strconv.FormatFloat(value, 'f', -1, 64)
}

// maintainConnections does what the door says of connections: a few a turn.
func (s *Server) maintainConnections(now float64) {
	for _, v := range s.connLimiter.Due(now) {
		p := s.clients.AtSlot(v.Slot)
		switch {
		case v.Do == connlimit.Ask:
			s.askToClose(p)
		case p.unsent || hasQueuedBytes(p.conn):
			s.connLimiter.Tell(v.Slot, connlimit.Woke, now)
		default:
			if v.Was != connlimit.Parting {
				s.statistics.silent++
			}
			p.closeGracefully()
		}
	}
}

// askToClose asks a balancer to close a connection: it sends nothing new from then on, so nothing can be lost.
func (s *Server) askToClose(p *clientConn) {
	s.scratch = rpc.PutPart(s.scratch[:0])
	s.write(&p.bufferedConn, s.scratch)
	s.statistics.askedToClose++
}

// sweep drops kept entries that have run out, lets idle pooled connections rest, and ends the connection that reads least where all
// together leave too much unread.
func (s *Server) sweep() {
	now := s.now()
	unread, most, worst := 0, 0, (*bufferedConn)(nil)
	s.lagging = slices.DeleteFunc(s.lagging, func(l *bufferedConn) bool {
		n := l.conn.OutboundBuffered()
		if unread += n; n > most {
			most, worst = n, l
		}
		l.lagging = n > 0
		return n == 0
	})
	if worst != nil && unread > int(s.startup.MemoryBytes/8) {
		if p, ok := worst.conn.Context().(*clientConn); ok {
			p.closeNow()
		}
	}
	s.closeIdleUpstream(now)
	s.results.Expire(now - s.maxReadDelay())
	s.timers.Schedule(now+sweepInterval, s.sweepTimer)
}
