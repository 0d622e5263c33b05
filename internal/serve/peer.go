package serve

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

	"swiftcourse/choice"
	"swiftcourse/internal/judge/door"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/wire/rpc"
)

// peer is a balancer's connection. What is not needed while it is idle is not here: its tasks and what waits to
// be written are in buffers that come from a pool and go back to it.
type peer struct {
	line
	server *Server
	name   memory.Handle     // in the table of peers; its slot is its name at the door
	open   []*memory.Request // from spareOpen, nil where none is
	advice float64           // when to come back, in seconds, where it was not let in
	muted  bool              // it sent what is no message: nothing more is read, see closing.go
}

const (
	maxOpen = 32 // tasks on one connection, by the protocol
	// spareSockets are kept from balancers and pooled connections: the links, the listener, the runtime's own, and a second
	// descriptor for each of some dials while the loop takes them over.
	spareSockets = 32
	sweepEvery   = 0.5
	// clockApart is how far from now a task may say that it came: more than any pause of a machine, as an age is learned from.
	clockApart = 60
	// idleCost is the memory in bytes of a connection that says nothing, measured, see docs/idle.md; a quarter of the memory
	// may be spent on such.
	idleCost = 1300
	// maxTried bounds how many are looked at for one that may go.
	maxTried = 16
)

// maxPeers is how many connections balancers may hold, and what bounds it: what is left of the descriptors, which is over half, as
// balancers may open that; or memory.
func (s *Server) maxPeers() (most int, by string) {
	most, by = s.start.MaxSockets-spareSockets-s.maxPooled(), "descriptors"
	if n := int(s.start.MemoryBytes / 4 / idleCost); n < most && s.start.MemoryBytes > 0 {
		return n, "memory"
	}
	return most, by
}

func (p *peer) opened(c gnet.Conn, _ string) error {
	s := p.server
	p.conn = c
	if s.door.Guarded() {
		return p.arrived()
	}
	s.door.Open(p.name.Slot(), s.now())
	if most, _ := s.maxPeers(); s.peers.Len() <= most {
		return nil
	}
	s.counts.evicted++
	if worst := s.leastWanted(p); worst != nil {
		worst.end()
		return nil
	}
	p.end()
	return errors.New("no descriptor left for it")
}

// leastWanted is the connection that goes when a newcomer needs its place: the first at the door that has nothing to write or to
// be read.
func (s *Server) leastWanted(newcomer *peer) *peer {
	return s.firstFree(s.door.Spare(s.now()), newcomer)
}

// firstFree is the first of those named that has nothing to write or to be read, nil where there is none.
func (s *Server) firstFree(slots iter.Seq[int32], newcomer *peer) *peer {
	tried := 0
	for slot := range slots {
		p := s.peers.AtSlot(slot)
		if tried == maxTried {
			break
		}
		if p == newcomer {
			continue
		}
		tried++
		if !p.unsent && !waiting(p.conn) {
			return p
		}
	}
	return nil
}

// waiting tells whether bytes of a connection are there that nobody read yet, or answers that the other side's system has not taken. It
// guards a task that arrives in the turn in which its connection is to be closed, and who reads slowly, as a close over bytes that come
// meanwhile drops what is not taken; it costs two calls of the system for a connection that closes.
func waiting(c gnet.Conn) bool {
	return c.OutboundBuffered() > 0 || queued(c, unix.TIOCINQ) || queued(c, unix.TIOCOUTQ)
}

// queued tells whether the system's queue of a connection, to be read or on its way out, holds anything.
func queued(c gnet.Conn, queue uint) bool {
	n, err := unix.IoctlGetInt(c.Fd(), queue)
	return err == nil && n > 0
}

// end closes a connection. Its place is free at once, and nothing is read from it any more: the library closes it
// a little later, and a task taken in by then would run and have no answer.
func (p *peer) end() {
	c := p.conn
	p.closed(nil)
	if c != nil {
		_ = c.Close()
	}
}

func (p *peer) closed(error) {
	s, open := p.server, p.open
	if p.lags {
		s.lagging = slices.DeleteFunc(s.lagging, func(l *line) bool { return l == &p.line })
	}
	p.shut(&s.pool)
	s.door.Leave(p.name.Slot())
	s.peers.Remove(p.name) // p is another's from here on
	for _, t := range open {
		s.gone(t)
	}
	s.spareOpen.Put(open)
}

func (p *peer) take(b []byte) (n int, err error) {
	if p.muted {
		return len(b), nil
	}
	s := p.server
	now, slot := s.now(), p.name.Slot()
	for n < len(b) {
		m, size, err := rpc.Next(b[n:])
		if err != nil {
			return n, err
		}
		if size == 0 {
			s.door.Tell(slot, door.Partly, now)
			return n, nil
		}
		n += size
		switch m.Kind {
		case rpc.Task:
			if err := p.task(&m, now); err != nil {
				return n, err
			}
		case rpc.Gone:
			s.door.Tell(slot, door.Heard, now)
			if t := p.find(m.Number); t != nil {
				p.over(t, now)
				s.gone(t)
			}
		case rpc.Check:
			s.door.Tell(slot, door.Spoke, now)
			s.scratch = rpc.PutWell(s.scratch[:0], m.Number, s.isWell(), s.say)
			s.write(&p.line, s.scratch)
		default:
			s.door.Tell(slot, door.Heard, now)
		}
	}
	return n, nil
}

// find gives the open task of a message, or nil.
func (p *peer) find(number uint64) *memory.Request {
	for _, t := range p.open {
		if t.MessageNumber == number {
			return t
		}
	}
	return nil
}

// over takes a task off the connection.
func (p *peer) over(t *memory.Request, now float64) {
	s := p.server
	if i := slices.Index(p.open, t); i >= 0 {
		p.open = slices.Delete(p.open, i, i+1)
	}
	if len(p.open) == 0 && p.open != nil {
		s.spareOpen.Put(p.open)
		p.open = nil
		s.door.Tell(p.name.Slot(), door.Settled, now)
	}
}

// task takes a task in, or answers at once what can't be one.
func (p *peer) task(m *rpc.Message, now float64) error {
	s := p.server
	if p.find(m.Number) != nil { // an answer would be taken for the other's
		return fmt.Errorf("message id %d is open already", m.Number)
	}
	stage, known := s.start.ClassIndex[m.Stage]
	tenant, belongs := s.start.TenantIndex[m.Tenant]
	bad := m.Bad
	switch {
	case bad != nil:
	case !known:
		bad = fmt.Errorf("unknown stage %.40q", m.Stage)
	case !belongs && len(s.start.TenantIndex) > 0:
		bad = fmt.Errorf("unknown tenant %.40q", m.Tenant)
	case m.NoWait && s.start.Settings.DeadlinePropagation:
		bad = errors.New("its wait is missing")
	case len(p.open) >= maxOpen:
		bad = fmt.Errorf("over %d tasks open", maxOpen)
	case math.Abs(m.Came-now) > clockApart:
		bad = fmt.Errorf("it came %.0f s from now", m.Came-now)
	case s.tasks.Get(m.ID) != nil:
		bad = fmt.Errorf("the id of another task")
	case s.runsOnce(stage) && s.subjectOf(stage, m) == "": // no repeat of it could be known, so it may not run
		bad = fmt.Errorf("stage %.40q bears no idempotency key", m.Stage)
	case s.runsOnce(stage) && s.kept.IsConflicting(stage, s.subjectOf(stage, m), m.Body, m.Came): // or it would be told what another's run came to
		bad = errors.New("its key is that of a request with another body")
	case s.module == nil: // no processor yet: it can't have run
		s.tallyAway(tenant, stage)
		s.door.Tell(p.name.Slot(), door.Spoke, now)
		s.scratch = rpc.PutRejected(s.scratch[:0], m.Number, s.say)
		s.write(&p.line, s.scratch)
		return nil
	case s.awayAt(now):
		s.tallyAway(tenant, stage)
		p.sendAway(m.Number, now)
		return nil
	case !s.door.MayOwe(p.name.Slot()):
		s.tallyAway(tenant, stage)
		p.turnAway(m.Number, now)
		return nil
	}
	if bad != nil {
		s.counts.invalid++
		if s.mayComplain() {
			slog.Info("bad_task", "peer", p.conn.RemoteAddr(), "err", bad)
		}
		s.door.Tell(p.name.Slot(), door.Heard, now)
		s.scratch = rpc.PutInvalid(s.scratch[:0], m.Number, s.say)
		s.write(&p.line, s.scratch)
		return nil
	}
	t := &memory.Request{ID: m.ID, Connection: p.name, MessageNumber: m.Number, Class: stage, Tenant: int32(tenant), Subject: s.subjectOf(stage, m),
		ArrivedAt: m.Came, Timeout: m.Wait, Body: s.pool.Copy(m.Body)}
	if p.open == nil {
		p.open = s.spareOpen.Get()
	}
	p.open = append(p.open, t)
	s.door.Tell(p.name.Slot(), door.Owed, now)
	s.tasks.Add(t)
	s.counts.read++
	s.keepsToForward(t, m)
	s.asks(tenant)
	s.tallyAsked(tenant, stage)
	if to := s.standing.Load(); to != nil {
		to.Stats.Requests.Add(1)
	}
	read := choice.Event{Kind: choice.Arrived, RequestID: t.ID, Request: choice.Request{Class: stage, Tenant: tenant,
		Client: m.Caller, Memory: m.Memory, Priority: m.Rank, HasSubject: m.Subject != "", Retry: m.Again, ExpectedWork: m.Hint,
		DuplicateOf: s.kept.Original(stage, t.Subject, m.Came, now)}}
	if !s.claims(t, &read, now) {
		if s.runsOnce(stage) && read.Request.DuplicateOf == "" { // a second try may come in this very turn, before the module keeps this one
			s.kept.Track(t, t.ArrivedAt+s.start.Settings.Classes[stage].DeduplicationWindow, true)
		}
		s.happens(read)
	}
	return nil
}

// runsOnce tells whether the repeats of a stage's tasks have to be known.
func (s *Server) runsOnce(stage int) bool {
	stages := s.start.Settings.Classes
	return stage < len(stages) && stages[stage].Idempotency == choice.Deduplicated
}

// readLate is for how long past its window a task that may run once is remembered: a repeat that came in time may be read later, as
// after a pause, though not when its caller has left.
func (s *Server) readLate() (longest float64) {
	for i, st := range s.start.Settings.Classes {
		if s.runsOnce(i) {
			longest = max(longest, st.Timeout)
		}
	}
	return longest
}

// subjectOf is what a task has in common with its repeats: an idempotency key where its stage asks for one, and what it is about
// elsewhere. Where an operator names the keyed stages, of a protocol without such keys, what a task is about is its key.
func (s *Server) subjectOf(stage int, m *rpc.Message) string {
	if s.runsOnce(stage) && m.Key != "" {
		return m.Key
	}
	return m.Subject
}

// gone tells the module that nobody waits for a task any more.
func (s *Server) gone(t *memory.Request) {
	if t.Answered {
		return
	}
	s.counts.gone++
	s.happens(choice.Event{Kind: choice.ClientGone, RequestID: t.ID})
	s.settle(t)
}

// settle books that a task is owed no answer any more; a call of it is given up.
func (s *Server) settle(t *memory.Request) {
	t.Answered = true
	s.quit(t)
	s.leaves(t)
	if !t.Running { // dropped without a run: who waits for its answer gets none
		s.unclaim(t)
		for _, id := range s.kept.Finish(t.ID, false, false, nil, 0) {
			s.shared(s.tasks.Get(id), nil, choice.Failed, 0)
		}
	}
	s.tasks.RemoveIfDone(&s.pool, t)
}

// answer gives a task its final answer, put by put; the first one wins.
func (s *Server) answer(t *memory.Request, count *int, put func(b []byte, id uint64) []byte) {
	if t.Answered {
		return
	}
	*count++
	s.stampEnd(count != &s.counts.finished)
	s.tallyEnd(t, count)
	if p := s.peers.Get(t.Connection); p != nil {
		p.over(t, s.now())
		s.scratch = put(s.scratch[:0], t.MessageNumber)
		s.write(&p.line, s.scratch)
	}
	s.settle(t)
}

func (s *Server) finish(t *memory.Request, result []byte) {
	if p := s.peers.Get(t.Connection); p != nil && !t.Answered {
		s.door.Finished(p.name.Slot(), s.now())
	}
	s.answer(t, &s.counts.finished, func(b []byte, id uint64) []byte { return rpc.PutResult(b, id, result, s.say) })
}

func (s *Server) abandon(t *memory.Request) {
	s.answer(t, &s.counts.abandoned, func(b []byte, id uint64) []byte { return rpc.PutAbandoned(b, id, s.say) })
}

func (s *Server) reject(t *memory.Request, advice float64, last bool) {
	say := s.say
	say.Advice, say.Last = advice, last
	s.answer(t, &s.counts.rejected, func(b []byte, id uint64) []byte { return rpc.PutRejected(b, id, say) })
}

func (s *Server) setFree(value float64) { s.say.Free = strconv.FormatFloat(value, 'f', -1, 64) }

// tend does what the door says of connections: a few a turn.
func (s *Server) tend(now float64) {
	for _, v := range s.door.Due(now) {
		p := s.peers.AtSlot(v.Slot)
		switch {
		case v.Do == door.Ask:
			s.askToPart(p)
		case p.unsent || waiting(p.conn):
			s.door.Tell(v.Slot, door.Woke, now)
		default:
			if v.Was != door.Parting {
				s.counts.unspoken++
			}
			p.shutDown()
		}
	}
}

// askToPart asks a balancer to close a connection: it sends nothing new from then on, so nothing can be lost.
func (s *Server) askToPart(p *peer) {
	s.scratch = rpc.PutPart(s.scratch[:0])
	s.write(&p.line, s.scratch)
	s.counts.parted++
}

// sweep drops kept entries that have run out, lets idle pooled connections rest, and ends the connection that reads least where all
// together leave too much unread.
func (s *Server) sweep() {
	now := s.now()
	unread, most, worst := 0, 0, (*line)(nil)
	s.lagging = slices.DeleteFunc(s.lagging, func(l *line) bool {
		n := l.conn.OutboundBuffered()
		if unread += n; n > most {
			most, worst = n, l
		}
		l.lags = n > 0
		return n == 0
	})
	if worst != nil && unread > int(s.start.MemoryBytes/8) {
		if p, ok := worst.conn.Context().(*peer); ok {
			p.end()
		}
	}
	s.rest(now)
	s.kept.Expire(now - s.readLate())
	s.timers.Schedule(now+sweepEvery, s.sweeping)
}
