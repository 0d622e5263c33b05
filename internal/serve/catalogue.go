package serve

import (
	"errors"
	"log/slog"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/watch"
	"swiftcourse/internal/wire/catalogue"
)

// pooledConn is a connection to the catalogue. It carries one call at a time, so that whatever comes back spoilt,
// late or never costs that call alone, and no two calls of one task, so that a second copy of a reply, however
// late, is never taken for that of the task's next call.
type pooledConn struct {
	link
	server  *Server
	call    *call    // on its way over it, or waiting for it to open
	carried []string // the tasks whose calls went over it
	quiet   float64  // since when it has been idle
	rested  float64  // how long it had been idle when its call went out
	left    bool     // takes no further call
	giveUp  func()   // ends its dial, where that is still under way
}

// call is a call on its way.
type call struct {
	task   *memory.Request
	pooled *pooledConn // nil while it waits for one
	began  float64
	until  float64
	reach  reach
	again  bool // it was let out a second time, as its pooled connection had been idle and broke
	over   bool
}

// connPool is the connections to the catalogue.
type connPool struct {
	all, idle []*pooledConn // the latest idle one comes last, and is used first
	waiting   []*call       // for a pooled connection, when there are as many as may be
	lost      float64       // when it was last logged that one broke
}

const (
	// maxCarried bounds what a pooled connection remembers of its calls; a dial for every 32nd call is not felt.
	maxCarried = 32
	// restFor is how long an idle pooled connection is kept: the other side may forget it, and a call that finds that out
	// is cut. It closes all after 10 s; under traffic the latest ones are used within a tenth of a second.
	restFor = 1.0
	// callGrace is how much longer than told we wait: the catalogue's own word proves as much and should win.
	callGrace = 0.005
)

var (
	errTimeUp  = errors.New("its time is up")
	errNoCall  = errors.New("no call is left for it")
	errUnasked = errors.New("more than was asked for")
)

// maxPooled is a quarter of the descriptors, as balancers may open half of them, and at most as many as a server of 1,024
// descriptors has: more calls than that are never in hand on one core.
func (s *Server) maxPooled() int { return min(s.start.MaxSockets/4, 256) }

// call lets a task's call out.
func (s *Server) call(t *memory.Request, wait float64) {
	if t.CallNotice == 0 || t.CallSettled || t.Answered {
		return
	}
	now := s.now()
	c := &call{task: t, began: now, until: now + wait}
	s.counts.calls++
	s.calls[t.ID] = c
	s.timers.Schedule(c.until+callGrace, func() {
		if c.over {
			return
		}
		err := &attemptError{c.reach, errTimeUp}
		if c.reach == sent {
			err.reach = maybeRun
		}
		s.endCall(c, err)
	})
	s.route(c)
}

// route gives a call an idle pooled connection, or a new one; it waits where there are as many as may be. Where a second
// effect would matter the pooled connection is new: one that was idle may break in a way that tells nothing of the call.
func (s *Server) route(c *call) {
	now, from := s.now(), &s.connPool
	mayBreak := s.start.Settings.Classes[c.task.Class].Idempotency == choice.Idempotent && !c.again
	for i := len(from.idle) - 1; i >= 0 && mayBreak; i-- {
		l := from.idle[i]
		if now-l.quiet <= restFor && !slices.Contains(l.carried, c.task.ID) {
			from.idle = slices.Delete(from.idle, i, i+1)
			l.rested = now - l.quiet
			l.carry(c)
			return
		}
	}
	if len(from.all) >= s.maxPooled() && len(from.idle) > 0 { // none of them will do
		from.idle[0].leave()
	}
	if len(from.all) >= s.maxPooled() {
		from.waiting = append(from.waiting, c)
		return
	}
	l := &pooledConn{server: s}
	from.all = append(from.all, l)
	l.carry(c)
	l.giveUp = s.dial(toCatalogue, l, once)
}

func (l *pooledConn) carry(c *call) {
	l.call, c.pooled = c, l
	l.carried = append(l.carried, c.task.ID)
	if l.conn != nil {
		l.send()
	}
}

func (l *pooledConn) send() {
	s, c := l.server, l.call
	c.reach = sent
	s.scratch = catalogue.PutCall(s.scratch[:0], c.task.ID, c.until-s.now(), c.task.CallBody)
	s.write(&l.line, s.scratch)
}

// endCall ends a call that got no answer, and tells the module how far it had come.
func (s *Server) endCall(c *call, err *attemptError) {
	s.drop(c)
	s.callDone(c, err.outcome())
}

// callDone tells the module what became of a call.
func (s *Server) callDone(c *call, outcome choice.Outcome) {
	took := s.now() - c.began
	s.callEnded(outcome, took)
	s.happens(choice.Event{Kind: choice.CallReturned, RequestID: c.task.ID, Outcome: outcome, Duration: took})
}

// drop takes a call off that has no answer. Its pooled connection ends with it, which gives the call up on the other side:
// a pooled connection that owes a reply may be dead.
func (s *Server) drop(c *call) {
	c.over = true
	delete(s.calls, c.task.ID)
	if l := c.pooled; l != nil {
		l.call = nil
		l.leave()
	}
}

// quit gives up the call of a task that needs it no more, without an event.
func (s *Server) quit(t *memory.Request) {
	if c := s.calls[t.ID]; c != nil {
		s.drop(c)
	}
}

// leave has a pooled connection take no further call; one without a call closes.
func (l *pooledConn) leave() {
	l.left = true
	if l.call == nil {
		l.remove()
		if l.conn != nil {
			_ = l.conn.Close()
		} else if l.giveUp != nil {
			l.giveUp() // a dial that hangs would hold a descriptor, which nobody counts any more
		}
	}
}

// remove takes a pooled connection out of the tables, and lets a call that waits have its place.
func (l *pooledConn) remove() {
	s, from := l.server, &l.server.connPool
	same := func(other *pooledConn) bool { return other == l }
	n := len(from.all)
	from.all = slices.DeleteFunc(from.all, same)
	from.idle = slices.DeleteFunc(from.idle, same)
	if len(from.all) < n {
		s.routeWaiting()
	}
}

func (s *Server) routeWaiting() {
	for w := &s.connPool.waiting; len(*w) > 0; {
		c := (*w)[0]
		*w = (*w)[1:]
		if !c.over {
			s.route(c)
			return
		}
	}
}

// rest closes the pooled connections that were idle for long.
func (s *Server) rest(now float64) {
	for _, l := range slices.Clone(s.connPool.idle) {
		if now-l.quiet > restFor {
			l.leave()
		}
	}
}

func (l *pooledConn) opened(c gnet.Conn, to string) error {
	l.stands(c, to)
	if l.call == nil {
		return errNoCall
	}
	l.send()
	return nil
}

func (l *pooledConn) closed(err error) {
	s, c := l.server, l.call
	l.shut(&s.pool)
	l.left, l.call = true, nil
	l.remove()
	if c == nil {
		return // idle or left
	}
	now := s.now()
	if now > s.connPool.lost+1 { // one line a second, however many are tried
		s.connPool.lost = now
		slog.Info("link_lost", "link", "catalogue", "rested_s", watch.FormatDecimal(l.rested, 3),
			"after_s", watch.FormatDecimal(now-c.began, 3), "err", &attemptError{c.reach, err})
	}
	c.pooled = nil
	// A pooled connection that had been idle and breaks before its reply was most likely forgotten on the other side. Only calls
	// that may run twice go over such pooled connections, so the call goes out once more, over a new one.
	if l.rested > 0 && !c.again {
		c.again, c.reach = true, unsent
		s.route(c)
		return
	}
	s.endCall(c, &attemptError{c.reach, err})
}

func (l *pooledConn) take(b []byte) (n int, err error) {
	for n < len(b) && l.call != nil {
		r, size, err := catalogue.Next(b[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		if ours := r.ID == l.call.task.ID; !ours || n < len(b) {
			l.left = true // it brings more than was asked for: not used again
			if !ours {
				continue
			}
		}
		l.answered(l.call, r)
	}
	if n < len(b) && !l.left {
		return n, errUnasked
	}
	return len(b), nil
}

// answered ends a call with its reply and frees the pooled connection, first for a call that waits.
func (l *pooledConn) answered(c *call, r catalogue.Reply) {
	s := l.server
	c.over, l.call, l.quiet = true, nil, s.now()
	delete(s.calls, c.task.ID)
	if r.Outcome == choice.Finished {
		s.processor.reply(c.task, r.Body, false)
	}
	s.callDone(c, r.Outcome)
	if l.left || len(l.carried) >= maxCarried {
		l.leave()
		return
	}
	s.connPool.idle = append(s.connPool.idle, l)
	s.routeWaiting()
}
