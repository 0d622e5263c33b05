package loadplan

// Subscriber is the forwarder's side: it numbers the reports and accepts assignments that are newer
// than the current one and whose lease has not expired.
type Subscriber struct {
	incarnation  uint64
	lastSequence uint64
	sentAt       map[uint64]float64 // by sequence number, of the reports that may still be answered
	current      Version

	// RejectedAssignments counts the assignments that were not accepted.
	RejectedAssignments int
}

// NewSubscriber returns the subscriber of a forwarder's incarnation. It follows no plan.
func NewSubscriber(incarnation uint64) *Subscriber {
	return &Subscriber{incarnation: incarnation, sentAt: map[uint64]float64{}}
}

// StampReport sets the incarnation, sequence number and current version of a report that is sent
// now.
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

// Accept makes an assignment the current one and returns until when it is fresh, by the clock of
// the reports. An assignment is not accepted if it is older than the current
// one, answers no report of this incarnation, is malformed, or its lease has expired.
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
