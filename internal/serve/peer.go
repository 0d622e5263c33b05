package serve

import (
	"cmp"
	"errors"
	"fmt"
	"log"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/wire/rpc"
)

// peer is a balancer's connection.
type peer struct {
	line
	server  *Server
	number  int
	open    map[uint64]*memory.Task
	came    float64 // when it opened
	heard   float64 // when something last went over it
	half    float64 // since when a message has been there in part, 0 where none is
	known   bool    // it sent a task or a check in full and in order
	parting bool    // it was told to go away
}

const (
	mostOpen = 32 // tasks on one connection, by the protocol
	// spareSockets are kept from balancers and lanes: the links, the listener, the runtime's own, and a second
	// descriptor for each of some dials while the loop takes them over.
	spareSockets = 32
	// speakIn is how soon a new connection has to bring something in order, and a message its rest. With the
	// sweep's half second it ends 1 s before a peer that only wastes is owed its close. It may hurt a balancer that opens
	// connections ahead of need, which then opens another, or whose machine stood still for as long.
	speakIn = 1.5
	// speakSoon is within what a balancer's first message follows its connection, unless the loop is far behind.
	speakSoon  = 0.1
	sweepEvery = 0.5
	// clockApart is how far from now a task may say that it came: more than any pause of a machine, as an age is learned from.
	clockApart = 60
)

// mostPeers is what is left of the descriptors: over half, which is what balancers may open.
func (s *Server) mostPeers() int { return s.start.Sockets - spareSockets - s.mostLanes() }

func (p *peer) opened(c gnet.Conn, _ string) error {
	s := p.server
	p.conn, p.came, p.heard = c, s.now(), s.now()
	s.peers[p.number] = p
	if len(s.peers) <= s.mostPeers() {
		return nil
	}
	s.counts.evicted++
	if worst := s.leastWanted(p); worst != nil {
		worst.end()
		return nil
	}
	return errors.New("no descriptor left for it")
}

// leastWanted is the connection that goes when another needs its place, of those with no task open: one that had
// time to speak and brought nothing in order, else the one that was silent for longest; one so new that its first
// message may be on its way goes last. So who only holds connections keeps no balancer out.
func (s *Server) leastWanted(newcomer *peer) (worst *peer) {
	now := s.now()
	rank := func(p *peer) int {
		switch {
		case p.known:
			return 1
		case now-p.came > speakSoon:
			return 0
		}
		return 2
	}
	for _, p := range s.peers {
		if p.idle() && p != newcomer && (worst == nil ||
			cmp.Or(cmp.Compare(rank(p), rank(worst)), cmp.Compare(p.heard, worst.heard)) < 0) {
			worst = p
		}
	}
	return worst
}

// idle tells that nothing is owed on the connection.
func (p *peer) idle() bool { return len(p.open) == 0 && !p.unsent }

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
	s := p.server
	p.shut(&s.pool)
	delete(s.peers, p.number)
	for _, number := range slices.Sorted(maps.Keys(p.open)) {
		s.gone(p.open[number])
	}
	clear(p.open)
}

func (p *peer) take(b []byte) (n int, err error) {
	s := p.server
	p.heard = s.now()
	for n < len(b) {
		m, size, err := rpc.Next(b[n:])
		if err != nil {
			return n, err
		}
		if size == 0 {
			if p.half == 0 || n > 0 {
				p.half = p.heard
			}
			return n, nil
		}
		n += size
		p.half = 0
		switch m.Kind {
		case rpc.Task:
			if err := p.task(&m); err != nil {
				return n, err
			}
		case rpc.Gone:
			if t := p.open[m.Number]; t != nil {
				delete(p.open, m.Number)
				s.gone(t)
			}
		case rpc.Check:
			p.known = true
			s.scratch = rpc.PutWell(s.scratch[:0], m.Number, s.well, s.say)
			s.write(&p.line, s.scratch)
		}
	}
	return n, nil
}

// task takes a task in, or answers at once what can't be one.
func (p *peer) task(m *rpc.Message) error {
	s := p.server
	if p.open[m.Number] != nil { // an answer would be taken for the other's
		return fmt.Errorf("message id %d is open already", m.Number)
	}
	stage, known := s.start.Stages[m.Stage]
	tenant, belongs := s.start.Tenants[m.Tenant]
	bad := m.Bad
	switch {
	case bad != nil:
	case !known:
		bad = fmt.Errorf("unknown stage %.40q", m.Stage)
	case !belongs && len(s.start.Tenants) > 0:
		bad = fmt.Errorf("unknown tenant %.40q", m.Tenant)
	case len(p.open) >= mostOpen:
		bad = fmt.Errorf("over %d tasks open", mostOpen)
	case math.Abs(m.Came-s.now()) > clockApart:
		bad = fmt.Errorf("it came %.0f s from now", m.Came-s.now())
	case s.tasks.Get(m.ID) != nil:
		bad = fmt.Errorf("the id of another task")
	case s.module == nil: // no processor yet: it can't have run
		s.scratch = rpc.PutRejected(s.scratch[:0], m.Number, s.say)
		s.write(&p.line, s.scratch)
		return nil
	}
	if bad != nil {
		s.counts.invalid++
		if s.mayComplain() {
			log.Printf("event=bad_task peer=%s err=%q", p.conn.RemoteAddr(), bad)
		}
		s.scratch = rpc.PutInvalid(s.scratch[:0], m.Number, s.say)
		s.write(&p.line, s.scratch)
		return nil
	}
	t := &memory.Task{ID: m.ID, Peer: p.number, Number: m.Number, Stage: stage, Subject: m.Subject,
		Came: m.Came, Wait: m.Wait, Body: s.pool.Keep(m.Body)}
	p.known = true
	p.open[m.Number] = t
	s.tasks.Add(t)
	s.counts.read++
	s.happens(choice.Event{Kind: choice.Read, ID: t.ID, Task: choice.Task{Stage: stage, Tenant: tenant,
		Caller: m.Caller, Memory: m.Memory, Rank: m.Rank, Marked: m.Subject != "",
		Earlier: s.kept.Earlier(stage, m.Subject, m.Came, s.now())}})
	return nil
}

// gone tells the module that nobody waits for a task any more.
func (s *Server) gone(t *memory.Task) {
	if t.Answered {
		return
	}
	s.counts.gone++
	s.happens(choice.Event{Kind: choice.Gone, ID: t.ID})
	s.settle(t)
}

// settle books that a task is owed no answer any more; a call of it is given up.
func (s *Server) settle(t *memory.Task) {
	t.Answered = true
	s.quit(t)
	if !t.Begun { // dropped without a run: who waits for its answer gets none
		for _, id := range s.kept.Ended(t.ID, false, nil, 0) {
			s.shared(s.tasks.Get(id), nil, choice.Errored, 0)
		}
	}
	s.tasks.Drop(&s.pool, t)
}

// answer gives a task its final answer, put by put; the first one wins.
func (s *Server) answer(t *memory.Task, count *int, put func(b []byte, id uint64) []byte) {
	if t.Answered {
		return
	}
	*count++
	if p := s.peers[t.Peer]; p != nil {
		delete(p.open, t.Number)
		p.heard = s.now()
		s.scratch = put(s.scratch[:0], t.Number)
		s.write(&p.line, s.scratch)
	}
	s.settle(t)
}

func (s *Server) finish(t *memory.Task, result []byte) {
	s.answer(t, &s.counts.finished, func(b []byte, id uint64) []byte { return rpc.PutResult(b, id, result, s.say) })
}

func (s *Server) abandon(t *memory.Task) {
	s.answer(t, &s.counts.abandoned, func(b []byte, id uint64) []byte { return rpc.PutAbandoned(b, id, s.say) })
}

func (s *Server) reject(t *memory.Task, advice float64, last bool) {
	say := s.say
	say.Advice, say.Last = advice, last
	s.answer(t, &s.counts.rejected, func(b []byte, id uint64) []byte { return rpc.PutRejected(b, id, say) })
}

func (s *Server) setFree(value float64) { s.say.Free = strconv.FormatFloat(value, 'f', -1, 64) }

// part asks a balancer to close a connection: it sends nothing new on it, so nothing can be lost.
func (s *Server) part(p *peer) {
	if !p.parting {
		p.parting = true
		s.scratch = rpc.PutPart(s.scratch[:0])
		s.write(&p.line, s.scratch)
	}
}

// sweep drops kept entries that have run out, closes the connections that brought nothing in order in their
// time, and those that were silent for long: asked first, by ourselves if that did nothing.
func (s *Server) sweep() {
	now := s.now()
	unread, most, worst := 0, 0, (*peer)(nil)
	for _, p := range s.peers {
		silent := now - p.heard
		n := p.conn.OutboundBuffered()
		if unread += n; n > most {
			most, worst = n, p
		}
		switch {
		case !p.idle():
		case !p.known && now-p.came > speakIn, p.half != 0 && now-p.half > speakIn:
			s.counts.unspoken++
			p.end()
		case silent < s.idle:
		case !p.parting:
			s.part(p)
		case silent > s.idle+0.5: // half a second is ample for a balancer that heeds
			p.end()
		}
	}
	if worst != nil && unread > int(s.start.Memory/8) {
		worst.end()
	}
	s.rest(now)
	s.kept.Sweep(now)
	s.timers.Add(now+max(0.02, min(sweepEvery, s.idle/4)), s.sweep)
}
