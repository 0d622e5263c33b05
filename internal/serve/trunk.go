package serve

import (
	"errors"
	"log"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/wire/catalogue"
)

// trunk is one connection to the catalogue, which many calls share. There is one for new calls; one that was
// left stays until its calls are over.
type trunk struct {
	line
	server *Server
	order  []*call // as they came; ended ones leave from the front
	calls  int     // of them not over
	quiet  float64 // since when nothing has gone over it
	left   bool
}

// call is a call on its way.
type call struct {
	task  *memory.Task
	trunk *trunk
	began float64
	until float64
	reach reach
	over  bool
}

// staleAfter is when a silent trunk is left for a new one: the other side closes it after 10 s, and a call
// written at that moment would be cut.
const staleAfter = 8

// callGrace is how much longer than told we wait: the catalogue's own word proves as much and should win.
const callGrace = 0.005

var errTimeUp = errors.New("its time is up")

// call lets a task's call out.
func (s *Server) call(t *memory.Task, wait float64) {
	if t.Asked == 0 || t.Replied || t.Answered {
		return
	}
	now := s.now()
	if tr := s.trunk; tr != nil && tr.conn != nil && tr.calls == 0 && now-tr.quiet > staleAfter {
		tr.leave()
	}
	if s.trunk == nil {
		s.trunk = &trunk{server: s, quiet: now}
		s.dial(toCatalogue, s.trunk, once)
	}
	tr := s.trunk
	c := &call{task: t, trunk: tr, began: now, until: now + wait}
	s.counts.calls++
	s.calls[t.ID] = c
	tr.calls++
	tr.order = append(tr.order, c)
	if tr.conn != nil {
		tr.send(c)
	}
	s.timers.Add(c.until+callGrace, func() { tr.timeOut(c) })
}

func (tr *trunk) send(c *call) {
	s := tr.server
	c.reach = sent
	tr.quiet = s.now()
	s.scratch = catalogue.PutFetch(s.scratch[:0], c.task.ID, c.until-tr.quiet, c.task.Ask)
	s.write(&tr.line, s.scratch)
}

// end takes a call off and tells the module how it ended.
func (tr *trunk) end(c *call, outcome choice.Outcome) {
	s := tr.server
	tr.drop(c)
	s.happens(choice.Event{Kind: choice.CallDone, ID: c.task.ID, Outcome: outcome, Took: s.now() - c.began})
}

func (tr *trunk) drop(c *call) {
	c.over = true
	delete(tr.server.calls, c.task.ID)
	tr.calls--
	for len(tr.order) > 0 && tr.order[0].over {
		tr.order = tr.order[1:]
	}
	if tr.left && tr.calls == 0 && tr.conn != nil {
		_ = tr.conn.Close()
	}
}

func (tr *trunk) timeOut(c *call) {
	if c.over {
		return
	}
	err := &attemptError{c.reach, errTimeUp}
	if c.reach == sent {
		err.reach = maybeRun
		tr.quit(c)
	}
	tr.end(c, err.outcome())
	if err.reach == maybeRun {
		tr.leave() // its late reply could be taken for that of the task's next call
	}
}

func (tr *trunk) quit(c *call) {
	if c.reach != unsent {
		s := tr.server
		s.scratch = catalogue.PutQuit(s.scratch[:0], c.task.ID)
		s.write(&tr.line, s.scratch)
	}
}

// leave has new calls go over another connection.
func (tr *trunk) leave() {
	if tr.server.trunk == tr {
		tr.server.trunk = nil
	}
	tr.left = true
	if tr.calls == 0 && tr.conn != nil {
		_ = tr.conn.Close() // done after the turn, whose words still go out
	}
}

// quit gives up the call of a task that needs it no more, without an event.
func (s *Server) quit(t *memory.Task) {
	if c := s.calls[t.ID]; c != nil {
		c.trunk.quit(c)
		c.trunk.drop(c)
	}
}

func (tr *trunk) opened(c gnet.Conn, to string) error {
	tr.conn, tr.to = c, to
	tr.quiet = tr.server.now()
	if tr.left && tr.calls == 0 {
		return errors.New("no call is left for it")
	}
	for _, c := range tr.order {
		if !c.over {
			tr.send(c)
		}
	}
	return nil
}

func (tr *trunk) closed(err error) {
	if tr.server.trunk == tr {
		tr.server.trunk = nil
	}
	tr.shut(&tr.server.pool)
	tr.left = true
	if tr.calls == 0 {
		return // left when idle, as both sides do
	}
	if now := tr.server.now(); now > tr.server.trunkLost+1 { // one line a second, however many are tried
		tr.server.trunkLost = now
		log.Printf("event=link_lost link=catalogue calls=%d err=%q", tr.calls, &attemptError{sent, err})
	}
	for _, c := range tr.order {
		if !c.over {
			tr.end(c, (&attemptError{c.reach, err}).outcome())
		}
	}
}

func (tr *trunk) take(b []byte) (n int, err error) {
	for n < len(b) {
		r, size, err := catalogue.Next(b[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		tr.quiet = tr.server.now()
		c := tr.server.calls[r.ID]
		if c == nil || c.trunk != tr {
			continue // given up before
		}
		if r.Outcome == choice.Finished {
			tr.server.processor.reply(c.task, r.Body, false)
		}
		tr.end(c, r.Outcome)
	}
	return n, nil
}
