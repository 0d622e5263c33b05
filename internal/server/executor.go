package server

import (
	"bytes"
	"log/slog"
	"math"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/processor"
	"swiftcourse/internal/wire/simulator"
)

// silenceTimeout is how long, in seconds, a gauge request may go unanswered until the link is
// replaced, as the other end may be gone without a close. It is longer than any pause of a machine,
// and a new link repeats what the old one may have lost.
const silenceTimeout = 5

// resumeTagPrefix begins executorLink.resumeTag, and tells it from the tags of other gauge requests,
// which are numbers of commands.
const resumeTagPrefix = "fence-"

// executorLink is the link to the executor, the process that runs requests. It is up after the
// executor's first message. After a break the executor repeats the notices that were missed. The
// server then asks for the gauges with a tag of its own, resumeTag; as replies come in order, the
// link is up again when that reply arrives.
type executorLink struct {
	dialedConn
	server            *Server
	requestGaugesFunc func() // requestGauges, bound once for all timers
	parser            processor.NoticeParser
	lastNotice        int64   // number of the last notice read
	up                bool    // commands may be sent
	resumeTag         string  // of the gauge request whose reply ends the repeated notices, "" for none
	failedLinks       int     // in a row on which the executor sent no first message
	commandsSent      int     // over all links
	acknowledged      int     // number of the latest command that the executor is known to have received
	unansweredSince   float64 // when the unanswered gauge request was sent, 0 for none
}

func newExecutorLink(s *Server) *executorLink {
	l := &executorLink{server: s}
	l.requestGaugesFunc = l.requestGauges
	return l
}

func (l *executorLink) handleOpen(conn gnet.Conn, address string) error {
	l.attach(conn, address)
	slog.Info("link_opened", "link", "executor", "last_notice", l.lastNotice)
	l.write(processor.AppendResume(nil, l.lastNotice))
	return nil
}

func (l *executorLink) handleClose(err error) {
	slog.Info("link_lost", "link", "executor", "err", &attemptError{sent, err})
	l.release(&l.server.output.buffers)
	l.up = false
	l.resumeTag = ""
	l.unansweredSince = 0
	l.server.decisions.gaugesAt = math.Inf(-1)
	l.server.dial(dialTarget{addressOf: executorAddress, handler: l, failures: l.failedLinks})
	l.failedLinks++
}

// reconnect replaces the link; what was sent on this one and not acknowledged is repeated.
func (l *executorLink) reconnect() {
	_ = l.conn.Close()
	l.failedLinks = 0
	l.handleClose(errAddressMoved)
}

func (l *executorLink) write(data []byte) { l.server.write(&l.bufferedConn, data) }

// sendCommand numbers a command and sends it, encoded by put, if the link is up. Otherwise the
// command is sent by resend.
func (l *executorLink) sendCommand(encode func(b []byte) []byte) int {
	l.commandsSent++
	if l.up {
		l.server.output.scratch = encode(l.server.output.scratch[:0])
		l.write(l.server.output.scratch)
	}
	return l.commandsSent
}

func (l *executorLink) handleData(data []byte) (n int, err error) {
	for {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			if len(data)-n > processor.MaxLine {
				return n, errUnterminatedLine
			}
			return n, nil
		}
		notice, err := l.parser.Parse(data[n : n+end])
		if err != nil {
			return n, err
		}
		n += end + 1
		if notice.Serial > 0 && notice.Serial <= l.lastNotice {
			continue // read before the break
		}
		l.lastNotice = max(l.lastNotice, notice.Serial)
		l.handleNotice(&notice)
	}
}

func (l *executorLink) handleNotice(notice *processor.Notice) {
	request := l.server.requests.Get(notice.ID)
	running := request != nil && request.Running
	switch notice.Kind {
	case processor.NoticeHello:
		l.handleHello(notice)
	case processor.NoticeGauges:
		l.handleGauges(notice)
	case processor.NoticeRemark:
		slog.Info("executor_message", "text", notice.Detail)
	case processor.NoticeRejected:
		l.handleRejection(notice, request)
	case processor.NoticeRunEnded:
		if running {
			l.handleRunEnded(notice, request)
		}
	case processor.NoticeAwaitingCall:
		if running {
			l.handleCall(notice, request)
		}
	}
}

// handleHello starts the controller at the executor's first message. After a break it requests the
// reply behind which all missed notices have been read.
func (l *executorLink) handleHello(notice *processor.Notice) {
	l.failedLinks = 0
	if l.server.decisions.controller == nil {
		l.up = true
		l.server.startController(executorStart{cold: notice.Cold, secondsAgo: notice.Duration})
		return
	}
	l.resumeTag = resumeTagPrefix + strconv.Itoa(l.commandsSent)
	l.write(processor.AppendReadGauges(nil, l.resumeTag))
}

// handleRejection handles a command that the executor did not carry out.
func (l *executorLink) handleRejection(notice *processor.Notice, request *requesttable.Request) {
	s := l.server
	s.statistics.commandsRejected++
	if s.allowPeerFaultLog() { // requests that no client sent cause hundreds of these
		slog.Info("command_rejected", "command", notice.Detail, "request", notice.ID)
	}
	if request != nil && request.Running && request.CallNotice == 0 { // only its start can be meant: it never ran
		s.releaseClaim(request)
		s.reportRunEnded(request, admission.NeverStarted, 0)
	}
}

func (l *executorLink) handleRunEnded(notice *processor.Notice, request *requesttable.Request) {
	s := l.server
	switch notice.Outcome {
	case admission.Finished:
		s.finish(request, notice.Body)
	case admission.Failed:
		s.fail(request)
	}
	s.finishRun(request, notice.Outcome, notice.Body, notice.Duration)
}

// handleCall handles a run that waits for an upstream call.
func (l *executorLink) handleCall(notice *processor.Notice, request *requesttable.Request) {
	s := l.server
	s.output.buffers.Put(request.CallBody)
	s.output.buffers.Put(request.CallReply)
	request.CallNotice = notice.Serial
	request.CallBody = s.output.buffers.Copy(notice.Body)
	request.CallReply = nil
	request.CallSettled = false
	s.queueEvent(admission.Event{Kind: admission.AwaitingDownstream, RequestID: notice.ID})
}

func (l *executorLink) handleGauges(notice *processor.Notice) {
	server := l.server
	l.unansweredSince = 0
	switch {
	case notice.Tag == l.resumeTag && l.resumeTag != "":
		l.resumeTag = ""
		l.up = true
		slog.Info("link_resumed", "link", "executor", "last_notice", l.lastNotice)
		l.resend()
	case l.up:
		if acknowledged, err := strconv.Atoi(notice.Tag); err == nil {
			l.acknowledged = max(l.acknowledged, acknowledged)
		}
	}
	server.decisions.gaugesAt = server.now()
	for i, name := range server.startup.Gauges {
		if i < len(notice.Gauges) {
			simulator.SetGauge(&server.decisions.gauges, name, notice.Gauges[i])
		}
	}
}

// resend repeats every command that the executor has not acknowledged. Repeating the start of a
// request that still runs has no effect. One that ended is known to have ended, as all missed
// notices were read, unless it ends just now: so a start is not repeated if the request must not
// run twice. Such a request waits for a notice of its run, and fails at its soft deadline if none
// comes.
func (l *executorLink) resend() {
	s := l.server
	for _, request := range s.requests.InArrivalOrder() {
		class := &s.startup.Settings.Classes[request.Class]
		switch {
		case !request.Running || request.LastCommand <= l.acknowledged:
		case request.CallNotice == 0 && class.Idempotency == admission.Idempotent:
			l.sendStart(request)
		case request.CallSettled:
			l.sendReply(request)
		}
	}
}

// requestGauges requests the gauges, and replaces a link that has been silent for too long.
func (l *executorLink) requestGauges() {
	if !l.up {
		return
	}
	now := l.server.now()
	if l.unansweredSince > 0 && now > l.unansweredSince+silenceTimeout {
		slog.Info("link_timed_out", "link", "executor", "for_s", logging.FormatDecimal(now-l.unansweredSince, 3))
		l.reconnect()
		return
	}
	if l.unansweredSince == 0 {
		l.unansweredSince = now
	}
	scratch := l.server.output.scratch[:0]
	l.server.output.scratch = processor.AppendReadGauges(scratch, strconv.Itoa(l.commandsSent))
	l.write(l.server.output.scratch)
}

func (l *executorLink) start(request *requesttable.Request) {
	if !request.Running && !request.Answered {
		request.Running = true
		l.sendStart(request)
	}
}

func (l *executorLink) sendStart(request *requesttable.Request) {
	request.LastCommand = l.sendCommand(func(b []byte) []byte {
		return processor.AppendStart(b, request.ID, l.server.startup.ClassNames[request.Class], request.Body)
	})
}

// awaitsCall reports whether a run waits for its upstream call.
func awaitsCall(request *requesttable.Request) bool {
	return request.CallNotice != 0 && !request.CallSettled
}

// reply ends the call that a run waits for with its reply.
func (l *executorLink) reply(request *requesttable.Request, body []byte) {
	if awaitsCall(request) {
		request.CallSettled = true
		request.CallReply = l.server.output.buffers.Copy(body)
		l.sendReply(request)
	}
}

// skipCall has a run go on without the call that it waits for.
func (l *executorLink) skipCall(request *requesttable.Request) {
	if awaitsCall(request) {
		request.CallSettled = true
		l.sendReply(request)
	}
}

// sendReply sends the reply of a call that has ended, or that the run goes on without one.
func (l *executorLink) sendReply(request *requesttable.Request) {
	request.LastCommand = l.sendCommand(func(b []byte) []byte {
		if request.CallReply == nil {
			return processor.AppendSkipCall(b, request.ID, request.CallNotice)
		}
		return processor.AppendReply(b, request.ID, request.CallReply)
	})
}

// executorStart describes when and how the executor started.
type executorStart struct {
	cold       bool // it has to warm up
	secondsAgo float64
}

// startController creates the admission controller. Its slow start begins with a cold executor's own
// start.
func (s *Server) startController(start executorStart) {
	if s.drain.started() { // it drains before it could run anything, and starts nothing now
		slog.Info("controller_not_started", "slow_start", start.cold, "draining", true)
		return
	}
	slog.Info("controller_started", "slow_start", start.cold, "ago_s", logging.FormatDecimal(start.secondsAgo, 3))
	settings := s.startup.Settings
	settings.SlowStart.Duration = 0
	at := s.now()
	if start.cold { // when a warm one started is irrelevant
		settings.SlowStart.Duration = s.startup.SlowStartDuration
		at -= min(start.secondsAgo, settings.SlowStart.Duration)
	}
	s.decisions.controller = admission.New(s.startup.Seed, settings)
	if s.fleet.quotas != nil {
		s.fleet.quotas.allowances = nil // the controller has to be notified of all of them
	}
	s.executeActions(s.decisions.controller.Decide(at, []admission.Event{{Kind: admission.Started}}), at)
	s.sweep()
	s.every(sweepInterval, s.sweep)
	s.scheduleTurn()
}
