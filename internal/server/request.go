package server

import (
	"log/slog"
	"math"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

// maxClockSkew is how far, in seconds, a request's time of arrival may be from now: more than any
// pause of a machine, as the controller learns from ages.
const maxClockSkew = 60

// requestKind is a request's class and tenant, as indexes into the deployment's settings.
type requestKind struct{ class, tenant int }

// handleRequest takes in a request, or answers at once a message that can't be one. An error means
// that the connection can't go on.
func (c *clientConn) handleRequest(message *rpc.Message, now float64) error {
	server := c.server
	if c.findRequest(message.Number) != nil {
		return &duplicateMessageError{message.Number}
	}
	kind, err := c.validate(message, now)
	if err != nil {
		c.rejectInvalid(message.Number, err, now)
		return nil
	}
	if c.rejectAtOnce(message.Number, kind, now) {
		return nil
	}
	request := &requesttable.Request{
		ID:            message.ID,
		Connection:    c.id,
		MessageNumber: message.Number,
		Class:         kind.class,
		Tenant:        int32(kind.tenant),
		Subject:       server.subjectOf(kind.class, message),
		ArrivedAt:     message.ArrivedAt,
		Timeout:       message.Timeout,
		Body:          server.output.buffers.Copy(message.Body),
	}
	c.addRequest(request, now)
	server.requests.Add(request)
	server.countReceived(kind)
	server.keepForForwarding(request, message)
	server.queueArrival(request, message, now)
	return nil
}

// validate returns a request's class and tenant, or what is invalid about it.
func (c *clientConn) validate(message *rpc.Message, now float64) (requestKind, error) {
	server := c.server
	class, classKnown := server.startup.ClassIndex[message.Class]
	tenant, tenantKnown := server.startup.TenantIndex[message.Tenant]
	kind := requestKind{class, tenant}
	switch {
	case message.Invalid != nil:
		return kind, message.Invalid
	case !classKnown:
		return kind, &invalidFieldError{"class", message.Class, errUnknownName}
	case !tenantKnown && len(server.startup.TenantIndex) > 0:
		return kind, &invalidFieldError{"tenant", message.Tenant, errUnknownName}
	case message.NoTimeout && server.startup.Settings.DeadlinePropagation:
		return kind, errMissingTimeout
	case len(c.requests) >= maxRequestsPerConn:
		return kind, errTooManyOpen
	case math.Abs(message.ArrivedAt-now) > maxClockSkew:
		return kind, clockSkewError(message.ArrivedAt - now)
	case server.requests.Get(message.ID) != nil:
		return kind, errDuplicateID
	}
	return kind, server.validateKey(class, message)
}

// validateKey returns what is invalid about the idempotency key of a request that may run at most
// once.
func (s *Server) validateKey(class int, message *rpc.Message) error {
	if !s.runsAtMostOnce(class) {
		return nil
	}
	subject := s.subjectOf(class, message)
	switch {
	case subject == "":
		// No repeat of it could be recognised, so it may not run.
		return &invalidFieldError{"class", message.Class, errMissingKey}
	case s.results.IsConflicting(class, subject, message.Body, message.ArrivedAt):
		// Otherwise it would receive the result of another request.
		return errConflictingBody
	}
	return nil
}

// rejectInvalid answers a message that can't be a request.
func (c *clientConn) rejectInvalid(number uint64, err error, now float64) {
	s := c.server
	s.statistics.invalid++
	if s.allowPeerFaultLog() {
		slog.Info("invalid_request", "peer", c.conn.RemoteAddr(), "err", err)
	}
	c.observe(connlimit.EventMessage, now)
	s.output.scratch = rpc.AppendInvalid(s.output.scratch[:0], number, s.health.loadReport)
	c.writeScratch()
}

// rejectAtOnce rejects a request that must not reach the controller, and reports whether it did.
func (c *clientConn) rejectAtOnce(number uint64, kind requestKind, now float64) bool {
	s := c.server
	switch {
	case s.decisions.controller == nil: // no executor yet: it can't have run
		s.countRejectedAtOnce(kind)
		c.rejectMessage(number, s.health.loadReport, now)
	case s.outOfServiceAt(now):
		s.countRejectedAtOnce(kind)
		c.rejectOutOfService(number, now)
	case !s.clients.limiter.MayOpenRequest(c.slot()):
		s.countRejectedAtOnce(kind)
		c.rejectAtLimit(number, now)
	default:
		return false
	}
	return true
}

// queueArrival queues the event of a request's arrival, unless its key has to be claimed first.
func (s *Server) queueArrival(request *requesttable.Request, message *rpc.Message, now float64) {
	original := s.results.Original(request.Class, request.Subject, message.ArrivedAt, now)
	arrival := admission.Event{
		Kind:      admission.Arrived,
		RequestID: request.ID,
		Request: admission.Request{
			Class:        request.Class,
			Tenant:       int(request.Tenant),
			Client:       message.Client,
			Memory:       message.Memory,
			Priority:     message.Priority,
			HasSubject:   message.Subject != "",
			Retry:        message.Retry,
			ExpectedWork: message.ExpectedWork,
			DuplicateOf:  original,
		},
	}
	if s.claimKey(request, &arrival, now) {
		return
	}
	if s.runsAtMostOnce(request.Class) && original == "" {
		// A repeat may come in this very turn, before the controller stores this one.
		window := s.startup.Settings.Classes[request.Class].DeduplicationWindow
		s.results.Track(request, request.ArrivedAt+window, true)
	}
	s.queueEvent(arrival)
}

// runsAtMostOnce reports whether repeats of a class's requests must be recognised.
func (s *Server) runsAtMostOnce(class int) bool {
	classes := s.startup.Settings.Classes
	return class < len(classes) && classes[class].Idempotency == admission.Deduplicated
}

// maxReadDelay is how long, in seconds, past its window a request that may run once is remembered:
// a repeat that arrived in time may be read later, as after a pause, but not after its client has
// left.
func (s *Server) maxReadDelay() (longest float64) {
	for i, class := range s.startup.Settings.Classes {
		if s.runsAtMostOnce(i) {
			longest = max(longest, class.Timeout)
		}
	}
	return longest
}

// subjectOf is what a request has in common with its repeats: the idempotency key if its class
// requires one, else its subject. If an operator names the keyed classes, of a protocol without
// such keys, the subject is the key.
func (s *Server) subjectOf(class int, message *rpc.Message) string {
	if s.runsAtMostOnce(class) && message.Key != "" {
		return message.Key
	}
	return message.Subject
}
