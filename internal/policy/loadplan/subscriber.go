package loadplan

// Subscriber is the forwarder's counterpart of the Planner. It stamps the forwarder's reports, and
// accepts assignments that are not older than the current one and whose lease has not expired.
type Subscriber struct {
	incarnation  uint64
	lastSequence uint64
	sentAt       map[uint64]float64 // send time by sequence number, of reports that may still be answered
	current      Version            // of the last accepted assignment

	// RejectedAssignments is the number of assignments that were not accepted.
	RejectedAssignments int
}

// NewSubscriber returns the subscriber for a forwarder's incarnation. It has no assignment yet.
func NewSubscriber(incarnation uint64) *Subscriber {
	return &Subscriber{incarnation: incarnation, sentAt: map[uint64]float64{}}
}

// StampReport sets the incarnation, sequence number and current version of a report that is about to
// be sent.
func (s *Subscriber) StampReport(now float64, report *Report) {
	s.lastSequence++
	for sequence, sent := range s.sentAt {
		if now > sent+LeaseSeconds {
			delete(s.sentAt, sequence)
		}
	}
	s.sentAt[s.lastSequence] = now
	report.Incarnation = s.incarnation
	report.Sequence = s.lastSequence
	report.CurrentVersion = s.current
}

// Accept makes an assignment the current one and returns the time until which it is fresh, on the clock
// that StampReport uses. It does not accept an assignment that is older than the current one, answers
// no report of this incarnation, is malformed, or has an expired lease.
func (s *Subscriber) Accept(now float64, assignment *Assignment) (freshUntil float64, accepted bool) {
	sent, isAnswer := s.sentAt[assignment.ReportSequence]
	switch {
	case !isAnswer,
		assignment.Incarnation != s.incarnation,
		assignment.Version.Compare(s.current) < 0,
		!assignment.valid(),
		now >= sent+assignment.LeaseSeconds:
		s.RejectedAssignments++
		return 0, false
	}
	s.current = assignment.Version
	return sent + assignment.LeaseSeconds, true
}

// Version returns the version of the plan that the forwarder follows.
func (s *Subscriber) Version() Version { return s.current }
