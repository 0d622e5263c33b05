package server

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"swiftcourse/admission"
	"swiftcourse/internal/logging"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/processor"
	"swiftcourse/internal/wire/simulator"
)

// silenceTimeoutSeconds is how long a gauge request may stay unanswered before the link is
// replaced, because the other end may have failed without closing it. It is longer than any pause of a
// machine.
const silenceTimeoutSeconds = 5

// handOverTimeoutSeconds bounds the time for which commands wait while a link is handed over.
const handOverTimeoutSeconds = 0.25

// barrierTagPrefix starts the value of executorLink.barrierTag, to distinguish it from the tags of
// other gauge requests, which are command numbers.
const barrierTagPrefix = "fence-"

// executorLink is the link to the executor, the process that runs requests. The first link is up
// after the executor's first message. On each further link the executor first repeats the notices
// that the server missed. The server requests the gauges with a unique tag, barrierTag: as the
// executor answers in order, all missed notices have been read, and the link is up, when the reply
// with that tag arrives.
//
// A link that the server replaces itself, as the executor's address changed, is handed over: the server
// sends no further command, requests the gauges with a barrierTag, and closes the link when the reply
// arrives, as the executor has then received every command.
type executorLink struct {
	dialedConn
	server            *Server
	requestGaugesFunc func() // requestGauges, bound once for all timers
	parser            processor.NoticeParser
	lastNotice        int64   // number of the last notice read
	up                bool    // commands may be sent
	barrierTag        string  // tag of the gauge request that the link waits for to be up or handed over, "" for none
	handingOver       bool    // the link will be replaced when the reply with barrierTag arrives
	lastHandedOver    int     // number of the last command sent before the link was handed over
	failedLinks       int     // consecutive links on which the executor sent no first message
	commandCount      int     // number of commands so far, on all links; includes those not sent yet
	acknowledged      int     // number of the last command that the executor has confirmed
	unansweredSince   float64 // when the oldest unanswered gauge request was sent, 0 for none
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
	l.barrierTag = ""
	l.handingOver = false
	l.unansweredSince = 0
	l.server.decisions.gaugesAt = math.Inf(-1)
	l.server.dial(dialTarget{addressOf: executorAddress, handler: l, failures: l.failedLinks})
	l.failedLinks++
}

// reconnect closes the link and dials a new one, on which redeliver sends what is due for commands that
// were not acknowledged.
func (l *executorLink) reconnect() {
	_ = l.conn.Close()
	l.failedLinks = 0
	l.handleClose(errAddressChanged)
}

func (l *executorLink) write(data []byte) { l.server.write(&l.bufferedConn, data) }

func (l *executorLink) handleData(data []byte) (n int, err error) {
	for {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			if len(data)-n > processor.MaxLine {
				return n, fmt.Errorf("%w: %d bytes without a line feed, limit %d bytes",
					errUnterminatedLine, len(data)-n, processor.MaxLine)
			}
			return n, nil
		}
		notice, err := l.parser.Parse(data[n : n+end])
		if err != nil {
			return n, err
		}
		n += end + 1
		if notice.Serial > 0 && notice.Serial <= l.lastNotice {
			continue // already read on an earlier link
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

// handleHello handles the executor's first message on a link. On the first link it starts the
// controller; on a later one it sends the gauge request whose reply follows the missed notices.
func (l *executorLink) handleHello(notice *processor.Notice) {
	l.failedLinks = 0
	if l.server.decisions.controller == nil {
		l.up = true
		l.server.startController(executorStart{cold: notice.Cold, secondsAgo: notice.Duration})
		return
	}
	l.requestBarrier()
}

// requestBarrier requests the gauges with a new barrierTag.
func (l *executorLink) requestBarrier() {
	l.barrierTag = barrierTagPrefix + strconv.Itoa(l.commandCount)
	l.write(processor.AppendReadGauges(nil, l.barrierTag))
}

// handOver replaces the link without losing a command: no further command is sent on it, and it is
// closed once the executor has received those before, or after handOverTimeoutSeconds.
func (l *executorLink) handOver() {
	if l.handingOver {
		return
	}
	if !l.up { // nothing was sent on this link
		l.reconnect()
		return
	}
	l.up = false
	l.handingOver = true
	l.lastHandedOver = l.commandCount
	l.requestBarrier()
	old := l.conn
	l.server.loop.timers.Schedule(l.server.now()+handOverTimeoutSeconds, func() {
		if l.handingOver && l.owns(old) {
			l.reconnect()
		}
	})
	l.server.scheduleTurn()
}

// handleBarrier handles the reply to the gauge request with barrierTag.
func (l *executorLink) handleBarrier() {
	l.barrierTag = ""
	if l.handingOver {
		l.acknowledged = max(l.acknowledged, l.lastHandedOver)
		l.reconnect()
		return
	}
	l.up = true
	l.redeliver()
}

// handleRejection handles the notice that the executor did not carry out a command.
func (l *executorLink) handleRejection(notice *processor.Notice, request *requesttable.Request) {
	s := l.server
	s.statistics.commandsRejected++
	if s.allowPeerFaultLog() { // forged requests can cause hundreds of rejections
		slog.Info("command_rejected", "command", notice.Detail, "request", notice.ID)
	}
	// Before a run's first call, its start is the only command that can be rejected: it never ran.
	if request != nil && request.Running && request.CallNotice == 0 {
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

// handleCall handles the notice that a run waits for an upstream call.
func (l *executorLink) handleCall(notice *processor.Notice, request *requesttable.Request) {
	s := l.server
	request.CallNotice = notice.Serial
	request.CallBody = slices.Clone(notice.Body)
	request.CallReply = nil
	request.CallSettled = false
	s.queueEvent(admission.Event{Kind: admission.AwaitingDownstream, RequestID: notice.ID})
}

func (l *executorLink) handleGauges(notice *processor.Notice) {
	server := l.server
	l.unansweredSince = 0
	switch {
	case notice.Tag == l.barrierTag && l.barrierTag != "":
		l.handleBarrier()
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

// requestGauges requests the gauges. If an earlier request has been unanswered for longer than
// silenceTimeoutSeconds, it replaces the link instead.
func (l *executorLink) requestGauges() {
	if !l.up {
		return
	}
	now := l.server.now()
	if l.unansweredSince > 0 && now > l.unansweredSince+silenceTimeoutSeconds {
		slog.Info("link_timed_out", "link", "executor", "for_s", logging.FormatDecimal(now-l.unansweredSince, 3))
		l.reconnect()
		return
	}
	if l.unansweredSince == 0 {
		l.unansweredSince = now
	}
	scratch := l.server.output.scratch[:0]
	l.server.output.scratch = processor.AppendReadGauges(scratch, strconv.Itoa(l.commandCount))
	l.write(l.server.output.scratch)
}
