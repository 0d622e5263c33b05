package server

import (
	"log/slog"
	"math"
	"slices"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/connlimit"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

// maxClockSkewSeconds is how much a request's arrival time may differ from the server's clock.
// It is longer than any pause of a machine. A limit is needed because the controller learns from the
// ages of requests, and a wrong arrival time gives a wrong age.
const maxClockSkewSeconds = 60

// requestKind is the class and tenant of a request, as indexes into the deployment's settings.
type requestKind struct{ class, tenant int }

// handleRequest creates a request and queues its arrival for the controller, unless it is invalid or
// must be rejected before that. An error means that the connection can't be used any more.
func (c *clientConn) handleRequest(message *rpc.Message, now float64) error {
	server := c.server
	if c.findRequest(message.Number) != nil {
		return &duplicateMessageError{message.Number}
	}
	kind, err := c.validate(message, now)
	if err != nil {
		c.rejectInvalid(message.Number, err, now)
		return c.countInvalid()
	}
	c.input.invalidInARow = 0
	if c.rejectEarly(message.Number, kind, now) {
		return nil
	}
	heldBytes := server.requestMemory(message)
	if !server.hasRoomForRepeats(kind.class, message) || !server.hasRoomForStart(kind.class) ||
		!c.reserveMemory(heldBytes) {
		c.rejectForMemory(message.Number, kind, now)
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
		Body:          slices.Clone(message.Body),
		HeldBytes:     heldBytes,
	}
	c.addRequest(request, now)
	server.requests.Add(request)
	server.countReceived(kind)
	server.saveForForwarding(request, message)
	if c.mustHoldArrivals() {
		c.holdArrival(request, message)
	} else {
		server.queueArrival(request, message, now)
	}
	return nil
}

// validate returns the class and tenant of a request, and an error if it is invalid.
func (c *clientConn) validate(message *rpc.Message, now float64) (requestKind, error) {
	server := c.server
	class, classKnown := server.startup.ClassIndex[message.Class]
	tenant, tenantKnown := server.startup.TenantIndex[message.Tenant]
	kind := requestKind{class, tenant}
	switch {
	case message.ValidationError != nil:
		return kind, message.ValidationError
	case !classKnown:
		return kind, &invalidFieldError{"class", message.Class, errNotConfigured}
	case !tenantKnown && len(server.startup.TenantIndex) > 0:
		return kind, &invalidFieldError{"tenant", message.Tenant, errNotConfigured}
	case message.NoTimeout && server.startup.Settings.DeadlinePropagation:
		return kind, errMissingTimeout
	case len(c.requests) >= maxRequestsPerConn:
		return kind, errTooManyRequests
	case math.Abs(message.ArrivedAt-now) > maxClockSkewSeconds:
		return kind, clockSkewError(message.ArrivedAt - now)
	case server.requests.Get(message.ID) != nil:
		return kind, &invalidFieldError{"request ID", message.ID, errDuplicateID}
	case server.wasStarted(class, message):
		return kind, &invalidFieldError{"request ID", message.ID, errAlreadyStarted}
	}
	return kind, server.validateKey(class, message)
}

// validateKey returns an error if the class of a request requires an idempotency key, and the key is
// missing or belongs to a request with a different body.
func (s *Server) validateKey(class int, message *rpc.Message) error {
	if !s.runsAtMostOnce(class) {
		return nil
	}
	subject := s.subjectOf(class, message)
	switch {
	case subject == "":
		// Its repeats could not be recognised, so it must not run.
		return &invalidFieldError{"class", message.Class, errMissingKey}
	case s.results.IsConflicting(class, subject, message.Body, message.ArrivedAt):
		// It must not receive the result of another request.
		return &invalidFieldError{"request ID", message.ID, errConflictingBody}
	}
	return nil
}

// countInvalid counts an invalid request. It returns an error if the connection has sent too many in a
// row.
func (c *clientConn) countInvalid() error {
	c.input.invalidInARow++
	if c.input.invalidInARow > maxInvalidInARow {
		return errTooManyInvalid
	}
	return nil
}

// rejectInvalid answers a message that is not a valid request.
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

// rejectEarly rejects a request that must not reach the controller, and reports whether it did so.
func (c *clientConn) rejectEarly(number uint64, kind requestKind, now float64) bool {
	s := c.server
	switch {
	case s.decisions.controller == nil: // the executor is not up yet, so the request can't run
		s.countRejectedEarly(kind)
		c.rejectMessage(number, s.health.loadReport, now)
	case s.outOfServiceAt(now):
		s.countRejectedEarly(kind)
		c.rejectOutOfService(number, now)
	case !s.clients.limiter.MayOpenRequest(c.slot()):
		s.countRejectedEarly(kind)
		c.rejectAtLimit(number, now)
	default:
		return false
	}
	return true
}

// queueArrival queues the event of a request's arrival for the controller, unless the request's key
// has to be claimed first.
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
			HasSubject:   message.Subject != "" && s.results.HasRoom(message.Subject, s.runsAtMostOnce(request.Class)),
			Retry:        message.Retry,
			ExpectedWork: message.ExpectedWork,
			DuplicateOf:  original,
		},
	}
	if s.claimKey(request, &arrival, now) {
		return
	}
	if s.runsAtMostOnce(request.Class) && original == "" {
		// A repeat may arrive in the same turn, before the controller stores the key.
		window := s.startup.Settings.Classes[request.Class].DeduplicationWindow
		s.results.Track(request, request.ArrivedAt+window, true)
	}
	s.queueEvent(arrival)
}

// runsAtMostOnce reports whether a class requires that repeats of its requests are recognised and not
// run again.
func (s *Server) runsAtMostOnce(class int) bool {
	classes := s.startup.Settings.Classes
	return class < len(classes) && classes[class].Idempotency == admission.Deduplicated
}

// hasRoomForRepeats reports whether the repeats of a request will be recognised, if its class requires
// that.
func (s *Server) hasRoomForRepeats(class int, message *rpc.Message) bool {
	if !s.runsAtMostOnce(class) || s.results.HasRoom(s.subjectOf(class, message), true) {
		return true
	}
	s.statistics.memoryRefusals++
	return false
}

// maxReadDelay returns how long, in seconds, after its deduplication window a request is still
// remembered. A repeat that arrived within the window may be read after it, for example after a
// pause, but not later than its own timeout, when its client no longer waits.
func (s *Server) maxReadDelay() (longest float64) {
	for i, class := range s.startup.Settings.Classes {
		if s.runsAtMostOnce(i) {
			longest = max(longest, class.Timeout)
		}
	}
	return longest
}

// subjectOf returns the value by which the repeats of a request are recognised: the idempotency key
// if the class requires one and the message has one, else the subject. The protocol may have no
// idempotency keys; in classes for which the operator requires them, the subject is then the key.
func (s *Server) subjectOf(class int, message *rpc.Message) string {
	if s.runsAtMostOnce(class) && message.Key != "" {
		return message.Key
	}
	return message.Subject
}
