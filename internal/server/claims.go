package server

import (
	"context"
	"slices"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/serving"
	"swiftcourse/internal/requesttable"
)

// This file claims the idempotency keys of requests: the controller receives a request only after the
// fleet has granted its key, so that the request takes effect at most once, whichever servers its
// retries reach. The time spent waiting for the grant is part of the request's age: the controller
// uses what remains of the client's timeout.

const (
	// maxPendingClaims bounds the claims without a verdict. At 1 ms per claim it allows a million
	// claims per second, with at most 4 MB of request bodies.
	maxPendingClaims = 1024
	// claimSafetyMarginSeconds is the part of a request's timeout that is reserved for its answer:
	// the verdict on the claim is due this long before the timeout.
	claimSafetyMarginSeconds = 0.02
	// claimTimeoutGraceSeconds is how long after its timeout the server stops waiting for a claim's
	// verdict. The claim may have been granted, so its outcome is then unknown.
	claimTimeoutGraceSeconds = 0.01
)

// KeyClaimer claims idempotency keys from the fleet. It delivers its verdicts by calling
// Server.HandleClaimVerdict. None of its methods waits.
type KeyClaimer interface {
	// Claim requests the right to run a request; the verdict is due within timeout seconds. It
	// returns false if no further claim can be made now.
	Claim(id, class, key string, timeout float64) bool
	// CancelClaim reports that a request has ended and never ran.
	CancelClaim(id string)
	// CompleteClaim reports how the run of a request ended, and its result.
	CompleteClaim(id string, succeeded bool, result []byte)
	// UnreportedClaims returns the number of finished requests whose outcome the replicas have not
	// acknowledged.
	UnreportedClaims() int
}

// keyClaims is the state of the requests whose keys are claimed.
type keyClaims struct {
	claimer      KeyClaimer
	classClaimed []bool                     // whether the keys of a class are claimed, by class
	waiting      map[string]admission.Event // arrivals held back until the claim's verdict, by request ID
	granted      map[string]bool            // IDs of requests that may run and have not ended
}

// EnableKeyClaims enables claims for the named classes: a request's key is claimed before it runs,
// and its repeats are recognised for a window in seconds. It must be called before Run.
func (s *Server) EnableKeyClaims(claimer KeyClaimer, classes []string, window float64) {
	claims := &keyClaims{
		claimer:      claimer,
		classClaimed: make([]bool, len(s.startup.ClassNames)),
		waiting:      map[string]admission.Event{},
		granted:      map[string]bool{},
	}
	for i, name := range s.startup.ClassNames {
		if slices.Contains(classes, name) {
			claims.classClaimed[i] = true
			s.startup.Settings.Classes[i].Idempotency = admission.Deduplicated
			s.startup.Settings.Classes[i].DeduplicationWindow = window
		}
	}
	s.fleet.claims = claims
}

// claimKey claims the key of a request if its class requires that. If it returns true, the caller
// must not queue the arrival: it was rejected, or the verdict on the claim decides about it.
func (s *Server) claimKey(request *requesttable.Request, arrival *admission.Event, now float64) bool {
	claims := s.fleet.claims
	if claims == nil || !claims.classClaimed[request.Class] || request.Subject == "" {
		return false
	}
	if arrival.Request.DuplicateOf != "" {
		return false
	}
	timeout := s.startup.Settings.Classes[request.Class].Timeout
	if request.Timeout != 0 {
		timeout = min(timeout, request.Timeout)
	}
	remaining := timeout - max(0, now-request.ArrivedAt) - claimSafetyMarginSeconds
	class := s.startup.ClassNames[request.Class]
	full := len(claims.waiting) >= maxPendingClaims
	if full || !claims.claimer.Claim(request.ID, class, request.Subject, remaining) {
		s.reject(request, s.retryAfterOutOfService())
		return true
	}
	claims.waiting[request.ID] = *arrival
	id := request.ID
	s.loop.timers.Schedule(now+max(0, remaining)+claimTimeoutGraceSeconds, func() {
		s.resolveClaim(id, serving.ClaimOutcomeUnknown, nil) // no effect if a verdict was received before
	})
	return true
}

// HandleClaimVerdict receives the fleet's verdict on a claim, and the request's result if the fleet
// has it cached. Any goroutine but the loop's may call it; it waits until the loop has started.
func (s *Server) HandleClaimVerdict(id string, verdict serving.ClaimVerdict, result []byte) {
	s.loop.waitAndExecute(context.Background(), func() { s.resolveClaim(id, verdict, result) })
}

func (s *Server) resolveClaim(id string, verdict serving.ClaimVerdict, result []byte) {
	claims := s.fleet.claims
	arrival, isWaiting := claims.waiting[id]
	if !isWaiting { // the request has ended, and the fleet was notified
		return
	}
	delete(claims.waiting, id)
	request := s.requests.Get(id)
	if request == nil || request.Answered {
		claims.claimer.CancelClaim(id)
		return
	}
	now := s.now()
	switch verdict {
	case serving.ClaimGranted:
		claims.granted[id] = true
		original := s.results.Original(request.Class, request.Subject, request.ArrivedAt, now)
		if original != "" {
			s.releaseClaim(request)
		}
		arrival.Request.DuplicateOf = original
		s.queueEvent(arrival)
	case serving.ClaimCached:
		window := s.startup.Settings.Classes[request.Class].DeduplicationWindow
		arrival.Request.DuplicateOf = s.results.Import(request, result, now+window)
		s.queueEvent(arrival)
	case serving.ClaimNoQuorum:
		s.statistics.claimsFailed++
		s.reject(request, s.retryAfterOutOfService())
	default:
		claims.claimer.CancelClaim(id) // the claim may have been granted
		s.statistics.claimsFailed++
		s.fail(request)
	}
}

// releaseClaim reports to the fleet that a claimed request has ended and never ran.
func (s *Server) releaseClaim(request *requesttable.Request) {
	claims := s.fleet.claims
	if claims == nil {
		return
	}
	_, isWaiting := claims.waiting[request.ID]
	if isWaiting || claims.granted[request.ID] {
		delete(claims.waiting, request.ID)
		delete(claims.granted, request.ID)
		claims.claimer.CancelClaim(request.ID)
	}
}

// completeClaim reports to the fleet how the run of a claimed request ended.
func (s *Server) completeClaim(request *requesttable.Request, succeeded bool, result []byte) {
	claims := s.fleet.claims
	if claims != nil && claims.granted[request.ID] {
		delete(claims.granted, request.ID)
		claims.claimer.CompleteClaim(request.ID, succeeded, append([]byte(nil), result...))
	}
}

// hasUnreportedClaims reports whether a draining server should wait for the replicas to receive the
// outcomes of finished requests: otherwise a client that retries would find the outcome unknown.
func (s *Server) hasUnreportedClaims() bool {
	return s.fleet.claims != nil && s.fleet.claims.claimer.UnreportedClaims() > 0
}

// resultLifetime returns how long, in seconds, a result of a class may be reused for repeats.
func (s *Server) resultLifetime(class int) float64 {
	if claims := s.fleet.claims; claims != nil && claims.classClaimed[class] {
		return s.startup.Settings.Classes[class].DeduplicationWindow
	}
	return s.startup.Settings.ResultCacheTTL
}
