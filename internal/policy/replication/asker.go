package replication

import (
	"slices"

	"swiftcourse/internal/policy/serving"
	state "swiftcourse/internal/replicastore"
	"swiftcourse/internal/timewindow"
)

// Outcome is how a claim came out.
type Outcome struct {
	RequestID string
	Verdict   serving.ClaimVerdict
	Result    []byte
	Latency   float64 // seconds since it was asked for
}

// phase is where a claim stands.
type phase uint8

const (
	phaseRequesting phase = iota // holders are asked to grant it
	phaseFollowing               // another claim of the key is before it; what becomes of that is looked after
	phaseGranted                 // granted: its task may run
	phaseDone
)

// event is what happens to a claim.
type event uint8

const (
	eventQuorum      event = iota // most holders granted it
	eventResultKnown              // a result is there
	eventRunFailed                // a run without a result is there
	eventOutranked                // another claim is before it
	eventUnblocked                // no claim stands in its way any more
	eventTimedOut                 // its time to be granted is over
	eventCanceled                 // its task is over and never began
	eventRunEnded                 // its run ended, as the try says
)

// transitions is the whole life of a claim; what no row names changes nothing.
var transitions = []struct {
	in   phase
	on   event
	next phase
	do   func(*Coordinator, *claim, float64)
}{
	{phaseRequesting, eventQuorum, phaseGranted, (*Coordinator).notifyGranted},
	{phaseRequesting, eventResultKnown, phaseDone, chain((*Coordinator).withdraw, (*Coordinator).notifyResultKnown)},
	{phaseRequesting, eventRunFailed, phaseDone, chain((*Coordinator).withdraw, (*Coordinator).notifyMayHaveRun)},
	{phaseRequesting, eventOutranked, phaseFollowing, (*Coordinator).withdraw},
	{phaseRequesting, eventTimedOut, phaseDone, chain((*Coordinator).withdraw, (*Coordinator).notifyTimedOut)},
	{phaseRequesting, eventCanceled, phaseDone, (*Coordinator).withdraw},
	{phaseFollowing, eventResultKnown, phaseDone, (*Coordinator).notifyResultKnown},
	{phaseFollowing, eventRunFailed, phaseDone, (*Coordinator).notifyMayHaveRun},
	{phaseFollowing, eventUnblocked, phaseRequesting, (*Coordinator).restart},
	{phaseFollowing, eventTimedOut, phaseDone, (*Coordinator).notifyMayHaveRun},
	{phaseFollowing, eventCanceled, phaseDone, nil},
	{phaseGranted, eventCanceled, phaseDone, (*Coordinator).withdraw},
	{phaseGranted, eventRunEnded, phaseDone, (*Coordinator).reportRunEnd},
}

func chain(a, b func(*Coordinator, *claim, float64)) func(*Coordinator, *claim, float64) {
	return func(s *Coordinator, c *claim, now float64) { a(s, c, now); b(s, c, now) }
}

// claim is one task's.
type claim struct {
	requestID string
	key       state.Key
	replicas  []int
	phase     phase
	attempt   state.Attempt
	startedAt float64
	deadline  float64 // when it has to be told
	giveUpAt  float64 // when asking is over, unless somebody is followed
	retryAt   float64 // when holders are asked anew
	terms     []Term
	granted   []bool          // by the group's order, under sits
	unclaimed []bool          // those who said that nobody stands in the way
	blockedBy []state.ClaimID // whose claim stands in its way there
	rounds    int
	sawRival  bool // another claim was seen
	claimed   int  // how often it was claimed
}

// report is what came of a claim, on its way to the holders.
type report struct {
	key        state.Key
	attempt    state.Attempt
	replicas   []int
	recorded   []bool
	retryAt    float64
	expiresAt  float64
	replicated bool // most holders have it
}

const (
	// maxClaims bounds the claims under way, maxSayings what is still to be said. At 1 ms a claim that is two million a second.
	maxClaims, maxReports = 2048, 4096
	// claimRetryInterval and lookAgain are how often holders are asked again: at once for a packet that was lost, more slowly for a run to end. Both double.
	claimRetryInterval, queryRetryInterval, maxRetryInterval = 0.02, 0.05, 0.5
	// minReplyWait is for how long holders are waited for at the least, and patience the multiple of what claims typically take: a task whose
	// holders don't answer is told so while its caller has time to go elsewhere.
	minReplyWait, replyWaitFactor = 0.25, 8
	// reportRetryInterval and sayFor are how often, and for how long, an end is said to holders that did not note it. After that the comparison of copies has it.
	reportRetryInterval, reportLifetime = 0.1, 5.0
	// maxRounds of one claim: a storm of holders that come and go must not become one of questions.
	maxRounds = 64
)

// Coordinator is the part of one server that asks for its tasks.
type Coordinator struct {
	placement       *Placement
	terms           TermTable
	incarnation     uint64
	lastSequence    uint64
	unixTime        func() float64
	claimsByRequest map[string]*claim
	claimsByID      map[state.ClaimID]*claim
	reportsByClaim  map[state.ClaimID]*report
	claimOrder      []*claim // in the order in which they began, so that a schedule repeats itself
	reports         []*report
	latencies       *timewindow.Buckets[timewindow.Histogram]
	outbox          []Envelope
	outcomes        []Outcome

	ReplicatedResults, UnreplicatedResults int // ends that most holders noted; that they did not in time
}

// NewCoordinator makes the asker of a life; unix tells the time of day, by which claims are put in order.
func NewCoordinator(p *Placement, sits TermTable, life uint64, unix func() float64, now float64) *Coordinator {
	return &Coordinator{placement: p, terms: sits, incarnation: life, unixTime: unix, claimsByRequest: map[string]*claim{}, claimsByID: map[state.ClaimID]*claim{}, reportsByClaim: map[state.ClaimID]*report{},
		latencies: timewindow.New[timewindow.Histogram](8, 1, now)}
}

// TypicalLatency is how long claims lately took, 0 where there were none.
func (s *Coordinator) TypicalLatency(now float64) float64 {
	var all timewindow.Histogram
	s.latencies.ForEach(now, all.Merge)
	return all.Median()
}

// StartClaim claims a key for a task, which has to be told by until. It is refused at once where less is left than claims typically take, as a task is
// where less is left than a run.
func (s *Coordinator) StartClaim(now float64, id string, key state.Key, until float64) {
	typical := s.TypicalLatency(now)
	if s.claimsByRequest[id] != nil || len(s.claimsByRequest) >= maxClaims || until-now <= typical {
		s.outcomes = append(s.outcomes, Outcome{RequestID: id, Verdict: serving.ClaimNoQuorum})
		return
	}
	c := &claim{requestID: id, key: key, replicas: s.placement.Replicas(key.Slot()), startedAt: now, deadline: min(until, now+s.placement.MaxClaimDuration)}
	s.claimsByRequest[id] = c
	s.claimOrder = append(s.claimOrder, c)
	c.giveUpAt = min(c.deadline, now+max(minReplyWait, replyWaitFactor*typical))
	s.restart(c, now)
}

// applyEvent feeds one input to a claim.
func (s *Coordinator) applyEvent(c *claim, on event, now float64) {
	for _, w := range transitions {
		if w.in != c.phase || w.on != on {
			continue
		}
		c.phase = w.next
		if w.do != nil {
			w.do(s, c, now)
		}
		if c.phase == phaseDone {
			delete(s.claimsByRequest, c.requestID)
			delete(s.claimsByID, c.attempt.ClaimID)
		}
		return
	}
}

// restart claims the key under a number that was never used.
func (s *Coordinator) restart(c *claim, now float64) {
	delete(s.claimsByID, c.attempt.ClaimID)
	s.lastSequence++
	c.attempt = state.Attempt{ClaimID: state.ClaimID{UnixMilli: int64(s.unixTime() * 1000), Incarnation: s.incarnation, Sequence: s.lastSequence}}
	s.claimsByID[c.attempt.ClaimID] = c
	c.claimed++
	c.giveUpAt = max(c.giveUpAt, min(c.deadline, now+minReplyWait))
	s.resetGrants(c)
	s.sendRequests(c, now)
}

// resetGrants begins to count grants anew, under the sittings as they are known now.
func (s *Coordinator) resetGrants(c *claim) {
	c.terms = s.terms.Select(c.replicas)
	c.granted, c.unclaimed, c.blockedBy = make([]bool, len(c.replicas)), make([]bool, len(c.replicas)), make([]state.ClaimID, len(c.replicas))
}

// sendRequests asks the holders that did not answer.
func (s *Coordinator) sendRequests(c *claim, now float64) {
	verb, pause := OpClaim, claimRetryInterval
	if c.phase == phaseFollowing {
		verb, pause = OpQuery, queryRetryInterval
		clear(c.unclaimed)
	}
	c.retryAt = now + min(maxRetryInterval, pause*float64(int(1)<<min(c.rounds, 5)))
	if c.rounds++; c.rounds > maxRounds {
		c.retryAt = c.deadline
	}
	for j, i := range c.replicas {
		if verb == OpQuery || !c.granted[j] {
			s.outbox = append(s.outbox, Envelope{To: i, Claim: &ClaimRequest{ConfigDigest: s.placement.ConfigDigest, Operation: verb, Key: c.key, Attempt: c.attempt, Terms: c.terms}})
		}
	}
}

// HandleReply takes a holder's answer in.
func (s *Coordinator) HandleReply(now float64, from int, a *ClaimReply) {
	if a.Operation == OpReport {
		s.handleReportReply(from, a)
		return
	}
	c := s.claimsByID[a.ClaimID]
	if c == nil || c.key != a.Key || c.phase == phaseGranted || (a.Operation == OpQuery) != (c.phase == phaseFollowing) {
		return
	}
	j := slices.Index(c.replicas, from)
	if j < 0 {
		return
	}
	news := s.terms.Observe(c.replicas, a.Terms)
	r := &state.Record{Key: a.Key, Attempts: a.Attempts}
	if t := r.FinishedAttempt(); t != nil {
		if t.Result == nil { // dropped there; another may have it
			c.sawRival = true
		} else {
			s.resolveWithResult(c, t.Result, now)
			return
		}
	}
	if t := r.BlockingAttempt(); t != nil && t.ClaimID != c.attempt.ClaimID {
		c.sawRival = true
		if t.State == state.StateFailed {
			s.applyEvent(c, eventRunFailed, now)
			return
		}
	}
	switch {
	case c.phase == phaseFollowing:
		if c.unclaimed[j] = a.Status == ReplyUnclaimed; countTrue(c.unclaimed) >= s.placement.Quorum {
			s.applyEvent(c, eventUnblocked, now)
		}
	case a.Status == ReplyGranted && slices.Equal(a.Terms, c.terms):
		if c.granted[j] = true; countTrue(c.granted) >= s.placement.Quorum {
			s.applyEvent(c, eventQuorum, now)
		}
	case a.Status == ReplyConflict:
		// The earlier claim stays, the later gives way, so that of two each with a part of the holders one comes through. A later one that
		// too many hold to let this one through has run, or may.
		t := r.BlockingAttempt()
		if t == nil {
			return
		}
		c.blockedBy[j] = t.ClaimID
		if t.ClaimID.Compare(c.attempt.ClaimID) < 0 || c.blockedCount(t.ClaimID) > len(c.replicas)-s.placement.Quorum {
			s.applyEvent(c, eventOutranked, now)
		}
	case news && c.rounds < maxRounds:
		s.resetGrants(c)
		s.sendRequests(c, now)
	}
}

// blockedCount counts the holders at which a claim stands in the way of this one.
func (c *claim) blockedCount(other state.ClaimID) (n int) {
	for _, o := range c.blockedBy {
		if o == other {
			n++
		}
	}
	return n
}

func countTrue(list []bool) (n int) {
	for _, b := range list {
		if b {
			n++
		}
	}
	return n
}

// resolveWithResult ends a claim with a result that a holder has.
func (s *Coordinator) resolveWithResult(c *claim, result []byte, now float64) {
	c.attempt.Result = result
	s.applyEvent(c, eventResultKnown, now)
}

func (s *Coordinator) addOutcome(c *claim, r serving.ClaimVerdict, now float64) {
	s.outcomes = append(s.outcomes, Outcome{RequestID: c.requestID, Verdict: r, Result: c.attempt.Result, Latency: now - c.startedAt})
}

func (s *Coordinator) notifyGranted(c *claim, now float64) {
	s.latencies.Current(now).Add(now - c.startedAt)
	s.addOutcome(c, serving.ClaimGranted, now)
}
func (s *Coordinator) notifyResultKnown(c *claim, now float64) {
	s.addOutcome(c, serving.ClaimCached, now)
}
func (s *Coordinator) notifyMayHaveRun(c *claim, now float64) {
	s.addOutcome(c, serving.ClaimOutcomeUnknown, now)
}

// notifyTimedOut tells that no quorum came. Where another claim was seen its task may run: then nobody should try it again at once.
func (s *Coordinator) notifyTimedOut(c *claim, now float64) {
	if c.sawRival {
		s.addOutcome(c, serving.ClaimOutcomeUnknown, now)
		return
	}
	s.addOutcome(c, serving.ClaimNoQuorum, now)
}

// withdraw has the holders know that a claim never ran: it is told to no task any more, and one that would come with it later is not heeded.
func (s *Coordinator) withdraw(c *claim, now float64) {
	s.startReport(c, state.Attempt{ClaimID: c.attempt.ClaimID, State: state.StateWithdrawn}, now)
}

func (s *Coordinator) reportRunEnd(c *claim, now float64) { s.startReport(c, c.attempt, now) }

func (s *Coordinator) startReport(c *claim, t state.Attempt, now float64) {
	if len(s.reports) >= maxReports { // the oldest goes unsaid: its claim stands as one that may have run
		s.dropReport(s.reports[0])
	}
	w := &report{key: c.key, attempt: t, replicas: c.replicas, recorded: make([]bool, len(c.replicas)), expiresAt: now + reportLifetime}
	s.reportsByClaim[t.ClaimID] = w
	s.reports = append(s.reports, w)
	s.sendReport(w, now)
}

func (s *Coordinator) sendReport(w *report, now float64) {
	w.retryAt = now + reportRetryInterval
	for j, i := range w.replicas {
		if !w.recorded[j] {
			s.outbox = append(s.outbox, Envelope{To: i, Claim: &ClaimRequest{ConfigDigest: s.placement.ConfigDigest, Operation: OpReport, Key: w.key, Attempt: w.attempt, Terms: s.terms.Select(w.replicas)}})
		}
	}
}

func (s *Coordinator) handleReportReply(from int, a *ClaimReply) {
	w := s.reportsByClaim[a.ClaimID]
	if w == nil || a.Status != ReplyRecorded && a.Status != ReplyFull {
		return
	}
	j := slices.Index(w.replicas, from)
	if j < 0 {
		return
	}
	s.terms.Observe(w.replicas, a.Terms)
	w.recorded[j] = a.Status == ReplyRecorded
	n := countTrue(w.recorded)
	if n >= s.placement.Quorum && !w.replicated {
		w.replicated = true
		if w.attempt.State == state.StateFinished {
			s.ReplicatedResults++
		}
	}
	if n == len(w.replicas) {
		s.dropReport(w)
	}
}

func (s *Coordinator) dropReport(w *report) {
	if !w.replicated && w.attempt.State == state.StateFinished {
		s.UnreplicatedResults++
	}
	delete(s.reportsByClaim, w.attempt.ClaimID)
	s.reports = slices.DeleteFunc(s.reports, func(o *report) bool { return o == w })
}

// CancelClaim tells that a task that was granted its run is over, and never began.
func (s *Coordinator) CancelClaim(now float64, id string) {
	if c := s.claimsByRequest[id]; c != nil {
		s.applyEvent(c, eventCanceled, now)
	}
}

// FinishClaim tells that a run ended, with a result or without one.
func (s *Coordinator) FinishClaim(now float64, id string, well bool, result []byte) {
	c := s.claimsByRequest[id]
	if c == nil {
		return
	}
	if c.attempt = (state.Attempt{ClaimID: c.attempt.ClaimID, State: state.StateFailed}); well {
		c.attempt = state.NewFinishedAttempt(c.attempt.ClaimID, result)
	}
	s.applyEvent(c, eventRunEnded, now)
}

// Maintain does what is due.
func (s *Coordinator) Maintain(now float64) {
	s.claimOrder = slices.DeleteFunc(s.claimOrder, func(c *claim) bool { return c.phase == phaseDone })
	for _, c := range s.claimOrder {
		switch {
		case c.phase == phaseGranted || c.phase == phaseDone:
		case now >= c.deadline, c.phase == phaseRequesting && now >= c.giveUpAt:
			s.applyEvent(c, eventTimedOut, now)
		case now >= c.retryAt:
			if c.phase == phaseRequesting && !slices.Equal(c.terms, s.terms.Select(c.replicas)) {
				s.resetGrants(c)
			}
			s.sendRequests(c, now)
		}
	}
	for _, w := range slices.Clone(s.reports) {
		switch {
		case now >= w.expiresAt:
			s.dropReport(w)
		case now >= w.retryAt:
			s.sendReport(w, now)
		}
	}
}

// NextWakeup is when Due is to be called.
func (s *Coordinator) NextWakeup() float64 {
	next := 1e18
	for _, c := range s.claimOrder {
		switch c.phase {
		case phaseRequesting:
			next = min(next, c.retryAt, c.giveUpAt)
		case phaseFollowing:
			next = min(next, c.retryAt, c.deadline)
		}
	}
	for _, w := range s.reports {
		next = min(next, w.retryAt)
	}
	return next
}

// TakeOutbox takes what there is to send, and Rulings what there is to tell.
func (s *Coordinator) TakeOutbox() []Envelope {
	l := s.outbox
	s.outbox = nil
	return l
}

// TakeOutcomes takes how claims came out.
func (s *Coordinator) TakeOutcomes() []Outcome {
	t := s.outcomes
	s.outcomes = nil
	return t
}

// PendingReports counts the ends that not all holders have noted and that are still said to them.
func (s *Coordinator) PendingReports() int { return len(s.reports) }

// ActiveClaims counts the claims under way, those of running tasks included.
func (s *Coordinator) ActiveClaims() int { return len(s.claimsByRequest) }
