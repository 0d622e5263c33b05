package server

import (
	"log/slog"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/redelivery"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/processor"
)

// This file sends the commands about requests to the executor, and those that redelivery.Decide
// returns after a link was replaced.

// sendCommand sends a command about a request, as encoded by encode. If the link is down it only
// records that the command is to be sent, which redeliver does once the link is up.
func (l *executorLink) sendCommand(request *requesttable.Request, encode func(b []byte) []byte) {
	l.commandCount++
	request.LastCommand = l.commandCount
	request.CommandSent = l.up
	if l.up {
		l.server.output.scratch = encode(l.server.output.scratch[:0])
		l.write(l.server.output.scratch)
	}
}

func (l *executorLink) start(request *requesttable.Request) {
	if !request.Running && !request.Answered {
		request.Running = true
		l.server.rememberStart(request)
		l.sendStart(request)
	}
}

func (l *executorLink) sendStart(request *requesttable.Request) {
	l.sendCommand(request, func(b []byte) []byte {
		return processor.AppendStart(b, request.ID, l.server.startup.ClassNames[request.Class], request.Body)
	})
}

// awaitsCall reports whether a run waits for its upstream call.
func awaitsCall(request *requesttable.Request) bool {
	return request.CallNotice != 0 && !request.CallSettled
}

// reply sends the reply of the call that a run waits for.
func (l *executorLink) reply(request *requesttable.Request, body []byte) {
	if awaitsCall(request) {
		request.CallSettled = true
		request.CallReply = append([]byte{}, body...) // not nil, even if it is empty
		l.sendCallEnd(request)
	}
}

// skipCall tells the executor to continue a run without the call that it waits for.
func (l *executorLink) skipCall(request *requesttable.Request) {
	if awaitsCall(request) {
		request.CallSettled = true
		l.sendCallEnd(request)
	}
}

// sendCallEnd sends how a settled call ended: its reply or, if it has none, that the run continues
// without the call.
func (l *executorLink) sendCallEnd(request *requesttable.Request) {
	l.sendCommand(request, func(b []byte) []byte {
		if request.CallReply == nil {
			return processor.AppendSkipCall(b, request.ID, request.CallNotice)
		}
		return processor.AppendReply(b, request.ID, request.CallReply)
	})
}

// redeliver sends, for every run, the command that redelivery.Decide returns. The server has read all
// missed notices, so it knows which runs have ended, except for those that end at this moment.
//
// For a command that may be lost and can't be repeated nothing is sent: its request waits for a notice
// of its run, and fails at its hard deadline if none arrives.
func (l *executorLink) redeliver() {
	var sent, inDoubt int
	for _, request := range l.server.requests.InArrivalOrder() {
		if !request.Running {
			continue
		}
		if l.startIsObsolete(request) {
			l.server.releaseClaim(request)
			l.server.finishRun(request, admission.NeverStarted, nil, 0)
			continue
		}
		run := l.deliveryState(request)
		command := redelivery.Decide(run)
		l.sendAgain(request, command)
		switch {
		case command != redelivery.None:
			sent++
		case run.InDoubt():
			inDoubt++
		}
	}
	slog.Info("link_resumed", "link", "executor", "last_notice", l.lastNotice,
		"commands_sent", sent, "commands_in_doubt", inDoubt)
}

// startIsObsolete reports whether the start of a request was never sent, and is not needed any more as
// the request was answered or its client is gone.
func (l *executorLink) startIsObsolete(request *requesttable.Request) bool {
	return request.Answered && !request.CommandSent && latestCommand(request) == redelivery.Start
}

// deliveryState returns what is known about the delivery of a running request's latest command.
func (l *executorLink) deliveryState(request *requesttable.Request) redelivery.Run {
	class := &l.server.startup.Settings.Classes[request.Class]
	run := redelivery.Run{
		Latest:     latestCommand(request),
		Delivery:   redelivery.Unconfirmed,
		Idempotent: class.Idempotency == admission.Idempotent,
		Degradable: class.DegradedValueFraction > 0,
	}
	if !request.CommandSent {
		run.Delivery = redelivery.NotSent
	} else if request.LastCommand <= l.acknowledged {
		run.Delivery = redelivery.Confirmed
	}
	return run
}

// latestCommand returns the latest command about a running request, or None if a notice has shown that
// the executor received it.
func latestCommand(request *requesttable.Request) redelivery.Command {
	switch {
	case request.CallNotice == 0:
		return redelivery.Start
	case !request.CallSettled:
		return redelivery.None
	case request.CallReply == nil:
		return redelivery.SkipCall
	}
	return redelivery.Reply
}

// sendAgain sends the command that redelivery.Decide returned for a request.
func (l *executorLink) sendAgain(request *requesttable.Request, command redelivery.Command) {
	switch command {
	case redelivery.Start:
		l.sendStart(request)
	case redelivery.Reply:
		l.sendCallEnd(request)
	case redelivery.SkipCall:
		request.CallReply = nil // set if the reply may have been lost
		l.sendCallEnd(request)
	}
}
