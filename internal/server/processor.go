package server

import (
	"bytes"
	"errors"
	"log/slog"
	"math"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/processor"
	"swiftcourse/internal/wire/shale"
)

// executorLink is the link to the processor. It is up after the first word from there; after a break, once the notices that were
// missed have come again, which a question for the gauges as a fence tells.
type executorLink struct {
	dialedConn
	server          *Server
	gaugeTimer      func() // askGauges, made once for all its timers
	reader          processor.Reader
	lastNotice      int64 // of the last notice read
	up              bool  // commands may go out
	fence           string
	failedLinks     int     // links in a row that never came up
	commandsSent    int     // sent so far, over all links
	confirmed       int     // of those, how many the processor is known to have read
	unansweredSince float64 // since when a question for the gauges has no answer, 0 where none is open
}

func (l *executorLink) handleOpen(c gnet.Conn, to string) error {
	l.attach(c, to)
	slog.Info("link_open", "link", "processor", "notice", l.lastNotice)
	l.write(processor.PutResume(nil, l.lastNotice))
	return nil
}

func (l *executorLink) handleClose(err error) {
	slog.Info("link_lost", "link", "processor", "err", &attemptError{sent, err})
	l.release(&l.server.buffers)
	l.up, l.fence, l.unansweredSince = false, "", 0
	l.server.gaugesAt = math.Inf(-1)
	l.server.dial(executorAddress, l, l.failedLinks)
	l.failedLinks++
}

// reconnect has the processor spoken to over a new link; what was said on this one and not proven read is repeated.
func (l *executorLink) reconnect() {
	_ = l.conn.Close()
	l.failedLinks = 0
	l.handleClose(errMoved)
}

func (l *executorLink) write(b []byte) { l.server.write(&l.bufferedConn, b) }

// sendCommand sends a command where the link is up; what is not sent now is repeated after the fence.
func (l *executorLink) sendCommand(put func(b []byte) []byte) int {
	l.commandsSent++
	if l.up {
		l.server.scratch = put(l.server.scratch[:0])
		l.write(l.server.scratch)
	}
	return l.commandsSent
}

func (l *executorLink) handleData(b []byte) (n int, err error) {
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
		if notice.Number > 0 && notice.Number <= l.lastNotice {
			continue // read before the break
		}
		l.lastNotice = max(l.lastNotice, notice.Number)
		l.handleNotice(&notice)
	}
}

func (l *executorLink) handleNotice(n *processor.Notice) {
	s := l.server
	t := s.requests.Get(n.ID)
	switch n.Kind {
	case processor.Up:
		l.failedLinks = 0
		if s.controller == nil {
			l.up = true
			s.startController(n.Cold, n.Took)
			return
		}
		l.fence = "fence-" + strconv.Itoa(l.commandsSent)
		l.write(processor.PutAskGauges(nil, l.fence))
	case processor.Measured:
		l.handleGauges(n)
	case processor.Remark:
		slog.Info("remark", "text", n.Word)
	case processor.Rejection:
		if s.statistics.commandsRejected++; s.mayLogPeerFault() { // tasks that no balancer sent make these by hundreds
			slog.Info("command_rejected", "command", n.Word, "call", n.ID)
		}
		if t != nil && t.Running && t.CallNotice == 0 { // only its begin can be meant: it never ran
			s.releaseClaim(t)
			s.reportRunEnded(t, admission.NeverStarted, 0)
		}
	case processor.Ended:
		if t == nil || !t.Running {
			return
		}
		switch n.Outcome {
		case admission.Finished:
			s.finish(t, n.Body)
		case admission.Failed:
			s.abandon(t)
		}
		s.finishRun(t, n.Outcome, n.Body, n.Took)
	case processor.Parked:
		if t == nil || !t.Running {
			return
		}
		s.buffers.Put(t.CallBody)
		s.buffers.Put(t.CallReply)
		t.CallNotice, t.CallBody, t.CallReply, t.CallSettled = n.Number, s.buffers.Copy(n.Body), nil, false
		s.queueEvent(admission.Event{Kind: admission.AwaitingDownstream, RequestID: n.ID})
	}
}

func (l *executorLink) handleGauges(n *processor.Notice) {
	s := l.server
	l.unansweredSince = 0
	switch {
	case n.Tag == l.fence && l.fence != "":
		l.fence, l.up = "", true
		slog.Info("link_up", "link", "processor", "notice", l.lastNotice)
		l.resend()
	case l.up:
		if read, err := strconv.Atoi(n.Tag); err == nil {
			l.confirmed = max(l.confirmed, read)
		}
	}
	s.gaugesAt = s.now()
	for i, name := range s.startup.Gauges {
		if i < len(n.Gauges) {
			shale.SetGauge(&s.gauges, name, n.Gauges[i])
		}
	}
}

// resend sends again what the processor may not have read: all that has no proof of it. A run that was begun goes on unharmed; one that
// ended is known to have, by the fence, unless it ends just now: so a begin is not sent again where running twice is ruled out. Such a
// task waits for a notice of its run, and fails at its due moment where none comes.
func (l *executorLink) resend() {
	s := l.server
	for _, t := range s.requests.InArrivalOrder() {
		switch {
		case !t.Running || t.LastCommand <= l.confirmed:
		case t.CallNotice == 0 && s.startup.Settings.Classes[t.Class].Idempotency == admission.Idempotent:
			l.sendStart(t)
		case t.CallSettled:
			l.sendReply(t)
		}
	}
}

// silenceTimeout is how long a link may leave questions without an answer, in seconds, until it is taken for dead, as one whose other end
// is gone without a word: more than any pause of a machine, and a new link repeats what the old one may have lost.
const silenceTimeout = 5

func (l *executorLink) askGauges() {
	now := l.server.now()
	if l.up && l.unansweredSince > 0 && now > l.unansweredSince+silenceTimeout {
		slog.Info("link_silent", "link", "processor", "for_s", logging.FormatDecimal(now-l.unansweredSince, 3))
		l.reconnect()
		return
	}
	if l.up {
		if l.unansweredSince == 0 {
			l.unansweredSince = now
		}
		l.server.scratch = processor.PutAskGauges(l.server.scratch[:0], strconv.Itoa(l.commandsSent))
		l.write(l.server.scratch)
	}
}

func (l *executorLink) start(t *requesttable.Request) {
	if !t.Running && !t.Answered {
		t.Running = true
		l.sendStart(t)
	}
}

func (l *executorLink) sendStart(t *requesttable.Request) {
	t.LastCommand = l.sendCommand(func(b []byte) []byte {
		return processor.PutStart(b, t.ID, l.server.startup.ClassNames[t.Class], t.Body)
	})
}

// reply settles the call that a run waits for, with the reply or without one.
func (l *executorLink) reply(t *requesttable.Request, body []byte, skip bool) {
	if t.CallNotice == 0 || t.CallSettled {
		return
	}
	t.CallSettled = true
	if !skip {
		t.CallReply = l.server.buffers.Copy(body)
	}
	l.sendReply(t)
}

func (l *executorLink) sendReply(t *requesttable.Request) {
	t.LastCommand = l.sendCommand(func(b []byte) []byte {
		if t.CallReply == nil {
			return processor.PutSkip(b, t.ID, t.CallNotice)
		}
		return processor.PutReply(b, t.ID, t.CallReply)
	})
}

// reportRunEnded tells the module that a run is over.
func (s *Server) reportRunEnded(t *requesttable.Request, outcome admission.Outcome, took float64) {
	t.Running = false
	s.queueEvent(admission.Event{Kind: admission.RunEnded, RequestID: t.ID, Outcome: outcome, Duration: took})
	s.requests.RemoveIfDone(&s.buffers, t)
}

// startController starts the module's life: at the processor's own start, so that it warms up with it.
func (s *Server) startController(cold bool, ago float64) {
	if s.draining() { // it was told to leave before it could run anything, and begins nothing now
		slog.Info("born", "cold", cold, "leaving", true)
		return
	}
	site := s.startup.Settings
	site.SlowStart.Duration = 0
	slog.Info("born", "cold", cold, "ago_s", logging.FormatDecimal(ago, 3))
	at := s.now()
	if cold { // a warm one's age tells nothing
		site.SlowStart.Duration = s.startup.SlowStartDuration
		at -= min(ago, site.SlowStart.Duration)
	}
	s.controller = admission.New(s.startup.Seed, site)
	if s.quotas != nil {
		s.quotas.allowances = nil // it is told all of them
	}
	s.execute(s.controller.Decide(at, []admission.Event{{Kind: admission.Started}}), at)
	s.sweep()
	s.scheduleTurn()
}
