package server

import (
	"errors"
	"log/slog"
	"slices"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/catalogue"
)

// upstreamConn is a connection to the catalogue. It carries one call at a time, so that whatever comes back spoilt,
// late or never costs that call alone, and no two calls of one task, so that a second copy of a reply, however
// late, is never taken for that of the task's next call.
type upstreamConn struct {
	dialedConn
	server     *Server
	call       *upstreamCall // on its way over it, or waiting for it to open
	requestIDs []string      // the tasks whose calls went over it
	idleSince  float64       // since when it has been idle
	idleFor    float64       // how long it had been idle when its call went out
	retired    bool          // takes no further call
	cancelDial func()        // ends its dial, where that is still under way
}

// upstreamCall is a call on its way.
type upstreamCall struct {
	request   *requesttable.Request
	conn      *upstreamConn // nil while it waits for one
	startedAt float64
	deadline  float64
	progress  attemptProgress
	retried   bool // it was let out a second time, as its pooled connection had been idle and broke
	done      bool
}

// upstreamPool is the connections to the catalogue.
type upstreamPool struct {
	all, idle    []*upstreamConn // the latest idle one comes last, and is used first
	waiting      []*upstreamCall // for a pooled connection, when there are as many as may be
	lossLoggedAt float64         // when it was last logged that one broke
}

const (
	// maxCallsPerConn bounds what a pooled connection remembers of its calls; a dial for every 32nd call is not felt.
	maxCallsPerConn = 32
	// upstreamIdleTimeout is how long an idle pooled connection is kept: the other side may forget it, and a call that finds that out
	// is cut. It closes all after 10 s; under traffic the latest ones are used within a tenth of a second.
	upstreamIdleTimeout = 1.0
	// callTimeoutGrace is how much longer than told we wait: the catalogue's own word proves as much and should win.
	callTimeoutGrace = 0.005
)

var (
	errCallTimeout     = errors.New("its time is up")
	errNoPendingCall   = errors.New("no call is left for it")
	errUnexpectedReply = errors.New("more than was asked for")
)

// maxUpstreamConns is a quarter of the descriptors, as balancers may open half of them, and at most as many as a server of 1,024
// descriptors has: more calls than that are never in hand on one core.
func (s *Server) maxUpstreamConns() int { return min(s.startup.MaxSockets/4, 256) }

// startCall lets a task's call out.
func (s *Server) startCall(t *requesttable.Request, wait float64) {
	if t.CallNotice == 0 || t.CallSettled || t.Answered {
		return
	}
	now := s.now()
	c := &upstreamCall{request: t, startedAt: now, deadline: now + wait}
	s.statistics.calls++
	s.upstreamCalls[t.ID] = c
	s.timers.Schedule(c.deadline+callTimeoutGrace, func() {
		if c.done {
			return
		}
		err := &attemptError{c.progress, errCallTimeout}
		if c.progress == sent {
			err.progress = mayHaveRun
		}
		s.failCall(c, err)
	})
	s.assignCall(c)
}

// assignCall gives a call an idle pooled connection, or a new one; it waits where there are as many as may be. Where a second
// effect would matter the pooled connection is new: one that was idle may break in a way that tells nothing of the call.
func (s *Server) assignCall(c *upstreamCall) {
	now, from := s.now(), &s.upstream
	mayBreak := s.startup.Settings.Classes[c.request.Class].Idempotency == admission.Idempotent && !c.retried
	for i := len(from.idle) - 1; i >= 0 && mayBreak; i-- {
		l := from.idle[i]
		if now-l.idleSince <= upstreamIdleTimeout && !slices.Contains(l.requestIDs, c.request.ID) {
			from.idle = slices.Delete(from.idle, i, i+1)
			l.idleFor = now - l.idleSince
			l.assign(c)
			return
		}
	}
	if len(from.all) >= s.maxUpstreamConns() && len(from.idle) > 0 { // none of them will do
		from.idle[0].retire()
	}
	if len(from.all) >= s.maxUpstreamConns() {
		from.waiting = append(from.waiting, c)
		return
	}
	l := &upstreamConn{server: s}
	from.all = append(from.all, l)
	l.assign(c)
	l.cancelDial = s.dial(upstreamAddress, l, singleAttempt)
}

func (l *upstreamConn) assign(c *upstreamCall) {
	l.call, c.conn = c, l
	l.requestIDs = append(l.requestIDs, c.request.ID)
	if l.conn != nil {
		l.send()
	}
}

func (l *upstreamConn) send() {
	s, c := l.server, l.call
	c.progress = sent
	s.scratch = catalogue.PutCall(s.scratch[:0], c.request.ID, c.deadline-s.now(), c.request.CallBody)
	s.write(&l.bufferedConn, s.scratch)
}

// failCall ends a call that got no answer, and tells the module how far it had come.
func (s *Server) failCall(c *upstreamCall, err *attemptError) {
	s.dropCall(c)
	s.reportCallDone(c, err.outcome())
}

// reportCallDone tells the module what became of a call.
func (s *Server) reportCallDone(c *upstreamCall, outcome admission.Outcome) {
	took := s.now() - c.startedAt
	s.countUpstreamCall(outcome, took)
	s.queueEvent(admission.Event{Kind: admission.CallReturned, RequestID: c.request.ID, Outcome: outcome, Duration: took})
}

// dropCall takes a call off that has no answer. Its pooled connection ends with it, which gives the call up on the other side:
// a pooled connection that owes a reply may be dead.
func (s *Server) dropCall(c *upstreamCall) {
	c.done = true
	delete(s.upstreamCalls, c.request.ID)
	if l := c.conn; l != nil {
		l.call = nil
		l.retire()
	}
}

// cancelCall gives up the call of a task that needs it no more, without an event.
func (s *Server) cancelCall(t *requesttable.Request) {
	if c := s.upstreamCalls[t.ID]; c != nil {
		s.dropCall(c)
	}
}

// retire has a pooled connection take no further call; one without a call closes.
func (l *upstreamConn) retire() {
	l.retired = true
	if l.call == nil {
		l.remove()
		if l.conn != nil {
			_ = l.conn.Close()
		} else if l.cancelDial != nil {
			l.cancelDial() // a dial that hangs would hold a descriptor, which nobody counts any more
		}
	}
}

// remove takes a pooled connection out of the tables, and lets a call that waits have its place.
func (l *upstreamConn) remove() {
	s, from := l.server, &l.server.upstream
	same := func(other *upstreamConn) bool { return other == l }
	n := len(from.all)
	from.all = slices.DeleteFunc(from.all, same)
	from.idle = slices.DeleteFunc(from.idle, same)
	if len(from.all) < n {
		s.assignWaitingCall()
	}
}

func (s *Server) assignWaitingCall() {
	for w := &s.upstream.waiting; len(*w) > 0; {
		c := (*w)[0]
		*w = (*w)[1:]
		if !c.done {
			s.assignCall(c)
			return
		}
	}
}

// closeIdleUpstream closes the pooled connections that were idle for long.
func (s *Server) closeIdleUpstream(now float64) {
	for _, l := range slices.Clone(s.upstream.idle) {
		if now-l.idleSince > upstreamIdleTimeout {
			l.retire()
		}
	}
}

func (l *upstreamConn) handleOpen(c gnet.Conn, to string) error {
	l.attach(c, to)
	if l.call == nil {
		return errNoPendingCall
	}
	l.send()
	return nil
}

func (l *upstreamConn) handleClose(err error) {
	s, c := l.server, l.call
	l.release(&s.buffers)
	l.retired, l.call = true, nil
	l.remove()
	if c == nil {
		return // idle or left
	}
	now := s.now()
	if now > s.upstream.lossLoggedAt+1 { // one line a second, however many are tried
		s.upstream.lossLoggedAt = now
		slog.Info("link_lost", "link", "catalogue", "rested_s", logging.FormatDecimal(l.idleFor, 3),
			"after_s", logging.FormatDecimal(now-c.startedAt, 3), "err", &attemptError{c.progress, err})
	}
	c.conn = nil
	// A pooled connection that had been idle and breaks before its reply was most likely forgotten on the other side. Only calls
	// that may run twice go over such pooled connections, so the call goes out once more, over a new one.
	if l.idleFor > 0 && !c.retried {
		c.retried, c.progress = true, notSent
		s.assignCall(c)
		return
	}
	s.failCall(c, &attemptError{c.progress, err})
}

func (l *upstreamConn) handleData(b []byte) (n int, err error) {
	for n < len(b) && l.call != nil {
		r, size, err := catalogue.Next(b[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		if ours := r.ID == l.call.request.ID; !ours || n < len(b) {
			l.retired = true // it brings more than was asked for: not used again
			if !ours {
				continue
			}
		}
		l.handleReply(l.call, r)
	}
	if n < len(b) && !l.retired {
		return n, errUnexpectedReply
	}
	return len(b), nil
}

// handleReply ends a call with its reply and frees the pooled connection, first for a call that waits.
func (l *upstreamConn) handleReply(c *upstreamCall, r catalogue.Reply) {
	s := l.server
	c.done, l.call, l.idleSince = true, nil, s.now()
	delete(s.upstreamCalls, c.request.ID)
	if r.Outcome == admission.Finished {
		s.executor.reply(c.request, r.Body, false)
	}
	s.reportCallDone(c, r.Outcome)
	if l.retired || len(l.requestIDs) >= maxCallsPerConn {
		l.retire()
		return
	}
	s.upstream.idle = append(s.upstream.idle, l)
	s.assignWaitingCall()
}
