package server

import (
	"context"
	"math"
	"time"

	"swiftcourse/admission"
	"swiftcourse/internal/policy/serving"
)

const (
	// maxTimersPerTurn bounds the timers that run in one turn, so that thousands of timers due at
	// the same instant do not delay answers: at 1 to 3 us each, 64 timers take under 0.2 ms. The
	// rest run in later turns, after new input was read. The wakeup timer starts those turns, not
	// scheduleTurn, because gnet runs the functions queued on its loop before it polls for input.
	maxTimersPerTurn = 64
	// gaugeMaxAgeSeconds is how long a reading of the gauges is valid. A reading is requested
	// just before each timer, so an older one means that the executor did not answer, and its load
	// is unknown.
	gaugeMaxAgeSeconds = 0.1
)

// queueEvent appends an event to the next batch.
func (s *Server) queueEvent(event admission.Event) {
	s.decisions.pending = append(s.decisions.pending, event)
	s.scheduleTurn()
}

// scheduleTurn queues a turn, which runs once all input that is ready has been read. Only the loop
// calls it.
func (s *Server) scheduleTurn() {
	if !s.loop.turnScheduled && s.loop.handle != nil {
		s.loop.turnScheduled = true
		_ = s.loop.handle.Execute(context.Background(), s.loop.turn) // fails only if the engine is stopped
	}
}

// runTurn runs one turn of the loop: it decides about one batch of events, carries out the actions
// and writes the output.
func (s *Server) runTurn() error {
	s.loop.turnScheduled = false
	now := s.now()
	if now >= s.loop.wakeupAt {
		s.loop.wakeupAt = math.Inf(1)
	}
	timersLeft := !s.loop.timers.Advance(now, maxTimersPerTurn)
	directive := s.fleet.directive.Load()
	if directive != nil {
		s.applyDirective(directive, now)
	}
	s.applyAllowances(now)
	s.decideBatch(directive, now)
	s.applyLimiterDecisions(now)
	s.flush()
	s.closeMuted(now)
	next := s.nextWakeup(directive, now, timersLeft)
	s.statistics.longestTurn = max(s.statistics.longestTurn, s.now()-now)
	if s.clients.limiter.HasRules() {
		s.acceptor.sampleCPU(now)
	}
	s.wakeAt(next)
	return nil
}

// decideBatch passes all pending events to the controller, and carries out its actions.
func (s *Server) decideBatch(directive *serving.Directive, now float64) {
	d := &s.decisions
	if len(d.pending) == 0 || d.controller == nil {
		return
	}
	s.statistics.turns++
	batch := d.pending
	d.pending = d.previousBatch[:0]
	for i := range batch {
		s.refreshEvent(&batch[i], now)
	}
	if directive != nil {
		directive.Stats.Batches.Add(1)
	}
	s.executeActions(d.controller.Decide(now, batch), now)
	d.previousBatch = batch
}

// nextWakeup returns when the next turn is due if no input arrives before. The present turn began
// at now.
func (s *Server) nextWakeup(directive *serving.Directive, now float64, timersLeft bool) float64 {
	next := min(s.loop.timers.NextWakeup(), s.clients.limiter.NextWakeup())
	if directive != nil && now < directive.ChangesAt {
		next = min(next, directive.ChangesAt)
	}
	if s.fleet.quotas != nil {
		next = min(next, s.fleet.quotas.nextExpiry)
	}
	if timersLeft {
		next = now
	}
	return next
}

// wakeAt sets the wakeup timer for the next turn, unless it is already set to an earlier time.
func (s *Server) wakeAt(next float64) {
	if next < s.loop.wakeupAt {
		s.loop.wakeupAt = next
		s.loop.wakeup.Reset(time.Duration((next - s.now()) * float64(time.Second)))
	}
}

// unknownGauges returns the gauges of a timer event without a valid reading.
func unknownGauges() admission.Gauges {
	return admission.Gauges{Utilization: -1, Runnable: -1, Memory: -1, Connections: -1}
}

// refreshEvent updates the fields of an event that depend on the time of the decision.
func (s *Server) refreshEvent(event *admission.Event, now float64) {
	switch event.Kind {
	case admission.Arrived:
		s.refreshArrival(event, now)
	case admission.TimerFired:
		s.refreshTimer(event, now)
	}
}

// refreshArrival sets a request's age and its remaining budget.
func (s *Server) refreshArrival(event *admission.Event, now float64) {
	request := s.requests.Get(event.RequestID)
	if request == nil {
		return
	}
	age := max(0, now-request.ArrivedAt)
	event.Request.Age = age
	s.statistics.unreadSeconds += age
	s.statistics.longestUnread = max(s.statistics.longestUnread, age)
	if request.Timeout != 0 {
		event.Request.RemainingBudget = request.Timeout - age
	}
}

// refreshTimer sets the gauges of a timer event: the latest reading, or unknown if it is too old.
func (s *Server) refreshTimer(event *admission.Event, now float64) {
	age := now - s.decisions.gaugesAt
	if age > gaugeMaxAgeSeconds {
		event.Gauges = unknownGauges()
		s.statistics.timersWithoutGauges++
		return
	}
	event.Gauges = s.decisions.gauges
	s.statistics.oldestGauges = max(s.statistics.oldestGauges, age)
}
