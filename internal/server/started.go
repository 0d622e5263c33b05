package server

import (
	"swiftcourse/admission"
	"swiftcourse/internal/requesttable"
	"swiftcourse/internal/wire/rpc"
)

// This file makes sure that a request which must not run twice is not run again if its message comes
// again after it has ended, for example because its client left and sent it on another connection.

const (
	// startedIDsMemoryDivisor is the divisor of the memory limit that bounds the IDs of started requests.
	startedIDsMemoryDivisor = 16
	// startedIDLifetimeSeconds is how long the ID of a started request is remembered. Its message can't
	// come again later: the arrival time, which may be ahead of the clock by maxClockSkewSeconds, would
	// then be too old.
	startedIDLifetimeSeconds = 2 * maxClockSkewSeconds
)

// mayRepeat reports whether the requests of a class may run any number of times.
func (s *Server) mayRepeat(class int) bool {
	classes := s.startup.Settings.Classes
	return class >= len(classes) || classes[class].Idempotency == admission.Idempotent
}

// rememberStart remembers that the run of a request was started, if it must not run twice.
func (s *Server) rememberStart(request *requesttable.Request) {
	if !s.mayRepeat(request.Class) {
		s.startedIDs.Add(request.ID, s.now()+startedIDLifetimeSeconds)
	}
}

// forgetStart forgets a start after which the request is known not to have run.
func (s *Server) forgetStart(request *requesttable.Request) { s.startedIDs.Remove(request.ID) }

// wasStarted reports whether a message is that of a request which was started and must not run twice. It
// is false for one that repeats a request by its idempotency key, as that is answered without a run.
func (s *Server) wasStarted(class int, message *rpc.Message) bool {
	if !s.startedIDs.Contains(message.ID) {
		return false
	}
	return s.results.Original(class, s.subjectOf(class, message), message.ArrivedAt, s.now()) == ""
}

// hasRoomForStart reports whether the ID of a request can be remembered once it is started, if that is
// required.
func (s *Server) hasRoomForStart(class int) bool {
	if s.mayRepeat(class) || s.startedIDs.HasRoom() {
		return true
	}
	s.statistics.memoryRefusals++
	return false
}
