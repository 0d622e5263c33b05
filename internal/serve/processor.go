package serve

import (
	"bytes"
	"errors"
	"log/slog"
	"math"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/choice"
	"swiftcourse/internal/memory"
	"swiftcourse/internal/watch"
	"swiftcourse/internal/wire/processor"
	"swiftcourse/internal/wire/shale"
)

// processorLink is the link to the processor. It is up after the first word from there; after a break, once the notices that were
// missed have come again, which a question for the gauges as a fence tells.
type processorLink struct {
	link
	server    *Server
	asking    func() // askGauges, made once for all its timers
	reader    processor.Reader
	noticed   int64 // of the last notice read
	up        bool  // commands may go out
	fence     string
	vain      int     // links in a row that never came up
	commands  int     // sent so far, over all links
	confirmed int     // of those, how many the processor is known to have read
	asked     float64 // since when a question for the gauges has no answer, 0 where none is open
}

func (l *processorLink) opened(c gnet.Conn, to string) error {
	l.stands(c, to)
	slog.Info("link_open", "link", "processor", "notice", l.noticed)
	l.put(processor.PutResume(nil, l.noticed))
	return nil
}

func (l *processorLink) closed(err error) {
	slog.Info("link_lost", "link", "processor", "err", &attemptError{sent, err})
	l.shut(&l.server.pool)
	l.up, l.fence, l.asked = false, "", 0
	l.server.gaugesAt = math.Inf(-1)
	l.server.dial(toProcessor, l, l.vain)
	l.vain++
}

// leave has the processor spoken to over a new link; what was said on this one and not proven read is repeated.
func (l *processorLink) leave() {
	_ = l.conn.Close()
	l.vain = 0
	l.closed(errMoved)
}

func (l *processorLink) put(b []byte) { l.server.write(&l.line, b) }

// command sends a command where the link is up; what is not sent now is repeated after the fence.
func (l *processorLink) command(put func(b []byte) []byte) int {
	l.commands++
	if l.up {
		l.server.scratch = put(l.server.scratch[:0])
		l.put(l.server.scratch)
	}
	return l.commands
}

func (l *processorLink) take(b []byte) (n int, err error) {
	for {
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			if len(b)-n > processor.MaxLine {
				return n, errors.New("a line without end")
			}
			return n, nil
		}
		notice, err := l.reader.Read(b[n : n+end])
		if err != nil {
			return n, err
		}
		n += end + 1
		if notice.Number > 0 && notice.Number <= l.noticed {
			continue // read before the break
		}
		l.noticed = max(l.noticed, notice.Number)
		l.handle(&notice)
	}
}

func (l *processorLink) handle(n *processor.Notice) {
	s := l.server
	t := s.tasks.Get(n.ID)
	switch n.Kind {
	case processor.Up:
		l.vain = 0
		if s.module == nil {
			l.up = true
			s.born(n.Cold, n.Took)
			return
		}
		l.fence = "fence-" + strconv.Itoa(l.commands)
		l.put(processor.PutAskGauges(nil, l.fence))
	case processor.Measured:
		l.measured(n)
	case processor.Remark:
		slog.Info("remark", "text", n.Word)
	case processor.Rejection:
		if s.counts.unrun++; s.mayComplain() { // tasks that no balancer sent make these by hundreds
			slog.Info("command_rejected", "command", n.Word, "call", n.ID)
		}
		if t != nil && t.Running && t.CallNotice == 0 { // only its begin can be meant: it never ran
			s.unclaim(t)
			s.ended(t, choice.NeverStarted, 0)
		}
	case processor.Ended:
		if t == nil || !t.Running {
			return
		}
		switch n.Outcome {
		case choice.Finished:
			s.finish(t, n.Body)
		case choice.Failed:
			s.abandon(t)
		}
		s.runEnded(t, n.Outcome, n.Body, n.Took)
	case processor.Parked:
		if t == nil || !t.Running {
			return
		}
		s.pool.Put(t.CallBody)
		s.pool.Put(t.CallReply)
		t.CallNotice, t.CallBody, t.CallReply, t.CallSettled = n.Number, s.pool.Copy(n.Body), nil, false
		s.happens(choice.Event{Kind: choice.AwaitingDownstream, RequestID: n.ID})
	}
}

func (l *processorLink) measured(n *processor.Notice) {
	s := l.server
	l.asked = 0
	switch {
	case n.Tag == l.fence && l.fence != "":
		l.fence, l.up = "", true
		slog.Info("link_up", "link", "processor", "notice", l.noticed)
		l.repeat()
	case l.up:
		if read, err := strconv.Atoi(n.Tag); err == nil {
			l.confirmed = max(l.confirmed, read)
		}
	}
	s.gaugesAt = s.now()
	for i, name := range s.start.Gauges {
		if i < len(n.Gauges) {
			shale.SetGauge(&s.gauges, name, n.Gauges[i])
		}
	}
}

// repeat sends again what the processor may not have read: all that has no proof of it. A run that was begun goes on unharmed; one that
// ended is known to have, by the fence, unless it ends just now: so a begin is not sent again where running twice is ruled out. Such a
// task waits for a notice of its run, and fails at its due moment where none comes.
func (l *processorLink) repeat() {
	s := l.server
	for _, t := range s.tasks.InArrivalOrder() {
		switch {
		case !t.Running || t.LastCommand <= l.confirmed:
		case t.CallNotice == 0 && s.start.Settings.Classes[t.Class].Idempotency == choice.Idempotent:
			l.sendBegin(t)
		case t.CallSettled:
			l.sendReply(t)
		}
	}
}

// silentFor is how long a link may leave questions without an answer, in seconds, until it is taken for dead, as one whose other end
// is gone without a word: more than any pause of a machine, and a new link repeats what the old one may have lost.
const silentFor = 5

func (l *processorLink) askGauges() {
	now := l.server.now()
	if l.up && l.asked > 0 && now > l.asked+silentFor {
		slog.Info("link_silent", "link", "processor", "for_s", watch.FormatDecimal(now-l.asked, 3))
		l.leave()
		return
	}
	if l.up {
		if l.asked == 0 {
			l.asked = now
		}
		l.server.scratch = processor.PutAskGauges(l.server.scratch[:0], strconv.Itoa(l.commands))
		l.put(l.server.scratch)
	}
}

func (l *processorLink) begin(t *memory.Request) {
	if !t.Running && !t.Answered {
		t.Running = true
		l.sendBegin(t)
	}
}

func (l *processorLink) sendBegin(t *memory.Request) {
	t.LastCommand = l.command(func(b []byte) []byte {
		return processor.PutStart(b, t.ID, l.server.start.ClassNames[t.Class], t.Body)
	})
}

// reply settles the call that a run waits for, with the reply or without one.
func (l *processorLink) reply(t *memory.Request, body []byte, skip bool) {
	if t.CallNotice == 0 || t.CallSettled {
		return
	}
	t.CallSettled = true
	if !skip {
		t.CallReply = l.server.pool.Copy(body)
	}
	l.sendReply(t)
}

func (l *processorLink) sendReply(t *memory.Request) {
	t.LastCommand = l.command(func(b []byte) []byte {
		if t.CallReply == nil {
			return processor.PutSkip(b, t.ID, t.CallNotice)
		}
		return processor.PutReply(b, t.ID, t.CallReply)
	})
}

// ended tells the module that a run is over.
func (s *Server) ended(t *memory.Request, outcome choice.Outcome, took float64) {
	t.Running = false
	s.happens(choice.Event{Kind: choice.RunEnded, RequestID: t.ID, Outcome: outcome, Duration: took})
	s.tasks.RemoveIfDone(&s.pool, t)
}

// born starts the module's life: at the processor's own start, so that it warms up with it.
func (s *Server) born(cold bool, ago float64) {
	if s.draining() { // it was told to leave before it could run anything, and begins nothing now
		slog.Info("born", "cold", cold, "leaving", true)
		return
	}
	site := s.start.Settings
	site.SlowStartDuration = 0
	slog.Info("born", "cold", cold, "ago_s", watch.FormatDecimal(ago, 3))
	at := s.now()
	if cold { // a warm one's age tells nothing
		site.SlowStartDuration = s.start.SlowStartDuration
		at -= min(ago, site.SlowStartDuration)
	}
	s.module = choice.New(s.start.Seed, site)
	if s.budgets != nil {
		s.budgets.list = nil // it is told all of them
	}
	s.carryOut(s.module.Decide(at, []choice.Event{{Kind: choice.Started}}), at)
	s.sweep()
	s.wake()
}
