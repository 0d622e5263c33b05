package admission

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	mustSetFlag("rapid.seed", "20261201") // the same drawn inputs in every run
	mustSetFlag("rapid.nofailfile", "true")
	mustSetFlag("rapid.checks", "1000")
}

func mustSetFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// drawSettings draws the settings of a deployment.
func drawSettings(t *rapid.T) Settings {
	float := func(name string, low, high float64) float64 {
		return rapid.Float64Range(low, high).Draw(t, name)
	}
	integer := func(name string, low, high int) int {
		return rapid.IntRange(low, high).Draw(t, name)
	}
	settings := Settings{
		Cores:       integer("cores", 1, 6),
		Servers:     integer("servers", 1, 20),
		Clients:     integer("clients", 0, 900),
		IdleTimeout: float("idleTimeout", 0.01, 30),
		SlowStart: SlowStartSettings{
			InitialSpeed: float("initialSpeed", 0.15, 1),
			Duration:     5 * float64(integer("slowStart", 0, 1)),
		},
		DrainGracePeriod:  float("gracePeriod", 0, 2),
		DeadlineTolerance: 0.06,
		Concurrency:       ConcurrencySettings{RunsPerCore: float("concurrency", 2, 8), AveragingWindow: 2},
		Memory: MemorySettings{
			Limit:          float("memory", 300, 5000),
			RunningFactor:  float("memoryFactor", 1, 16),
			KeyEntryMemory: float("keyMemory", 1, 60),
		},
		Downstream: DownstreamSettings{
			Kind:                  Downstream(integer("downstream", 0, 2)),
			CallLimit:             drawCallLimit(t),
			CallWindow:            5,
			AbandonedCallLifetime: 0.2,
		},
		Preemption:           Preemption(integer("preemption", 0, 2)),
		Backpressure:         Backpressure(integer("backpressure", 0, 3)),
		ResultCacheTTL:       float64(integer("resultCache", 0, 1)),
		DeadlinePropagation:  rapid.Bool().Draw(t, "deadlinePropagation"),
		MaxRetryAfter:        float64(integer("retryAfter", 0, 1)),
		OverQuotaValueFactor: 0.1,
		ScaleValueByWork:     rapid.Bool().Draw(t, "valueByWork"),
	}
	for i := range integer("tenants", 0, 2) {
		settings.Tenants = append(settings.Tenants, Tenant{Rate: float64(10 * (i + 1))})
	}
	callsDownstream := settings.Downstream.Kind != NoDownstream
	for range integer("classes", 1, 3) {
		settings.Classes = append(settings.Classes, drawClass(t, callsDownstream))
	}
	return settings
}

// drawClass draws a request class.
func drawClass(t *rapid.T, callsDownstream bool) Class {
	timeout := rapid.Float64Range(0.5, 6).Draw(t, "timeout")
	return Class{
		Idempotency:           Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
		Timeout:               timeout,
		SoftDeadline:          rapid.Float64Range(0.2, timeout).Draw(t, "softDeadline"),
		Value:                 float64(rapid.IntRange(1, 3).Draw(t, "value")),
		LateValueFraction:     rapid.Float64Range(0, 1).Draw(t, "lateValue"),
		DeduplicationWindow:   rapid.Float64Range(0.5, 4).Draw(t, "window"),
		CallsDownstream:       callsDownstream,
		DegradedValueFraction: 0.5 * float64(rapid.IntRange(0, 1).Draw(t, "degradedValue")),
	}
}

// drawCallLimit draws the call limit of a shared dependency. It is 0 in one of five cases.
func drawCallLimit(t *rapid.T) float64 {
	factor := min(1, float64(rapid.IntRange(0, 4).Draw(t, "anyCalls")))
	return factor * rapid.Float64Range(0.1, 1.5).Draw(t, "callLimit")
}

// drawRequest draws the properties of a request.
func (m *model) drawRequest(t *rapid.T) Request {
	request := Request{
		Class:        rapid.IntRange(0, len(m.settings.Classes)-1).Draw(t, "class"),
		Memory:       rapid.Float64Range(1, 30).Draw(t, "memory"),
		Age:          rapid.Float64Range(0, 1).Draw(t, "age"),
		ExpectedWork: 0.1,
		HasSubject:   rapid.Bool().Draw(t, "hasSubject"),
		Write:        rapid.Bool().Draw(t, "write"),
	}
	if m.settings.DeadlinePropagation {
		request.RemainingBudget = rapid.Float64Range(0.001, 8).Draw(t, "remainingBudget")
	}
	return request
}

// TestDecide_KeepsModelRules checks the controller against the model with random settings and
// events, in any order that the protocol allows: every request gets its final response in time,
// no effect happens twice, drains complete, no limit is exceeded, and the same events give the
// same actions.
func TestDecide_KeepsModelRules(t *testing.T) {
	covered := map[coverage]int{}
	defer func() { requireFullCoverage(t, covered) }()
	rapid.Check(t, func(t *rapid.T) {
		seeds := rapid.Int64()
		settings := drawSettings(t)
		m := newModel(settings, seeds.Draw(t, "seed"), rapid.Float64Range(0, 1e5).Draw(t, "clock"))
		m.covered = covered
		m.must(t, Event{Kind: Started})
		m.playRandomEvents(t)
		m.playTimersOnly(t)
		for _, id := range m.ids {
			if r := m.requests[id]; !r.answered && !r.clientGone && !math.IsInf(m.nextTimer(), 1) {
				t.Fatalf("request %s got no response by %.3f s: hard deadline %.3f s", id, m.now, r.hardDeadline)
			}
		}
	})
}

// playRandomEvents plays a random number of batches of random events, among them at most one
// start of a drain.
func (m *model) playRandomEvents(t *rapid.T) {
	steps := rapid.IntRange(10, 60).Draw(t, "steps")
	drainStep := rapid.IntRange(0, 2*steps).Draw(t, "drain")
	for i := 0; i < steps && m.now < m.killAt; i++ {
		m.now = min(m.nextTimer(), m.now+rapid.Float64Range(0.002, 0.2).Draw(t, "interval"))
		var events []Event
		if m.nextTimer() <= m.now {
			events = append(events, m.fireTimers())
		}
		events = append(events, m.drawProgress(t)...)
		if i == drainStep {
			killIn := rapid.Float64Range(0.1, 3).Draw(t, "left")
			m.drainAt = m.now
			m.killAt = m.now + killIn
			events = append(events, Event{Kind: DrainStarted, Duration: killIn})
		}
		for range rapid.IntRange(0, 6).Draw(t, "arrivals") {
			request := m.drawRequest(t)
			identity := fmt.Sprint(request.Class, rapid.IntRange(0, 5).Draw(t, "identity"))
			events = append(events, m.arrive(fmt.Sprint("t", len(m.ids)), identity, request))
		}
		m.must(t, events...)
	}
}

// playTimersOnly plays only timers, the timeouts of calls, and the end of runs that were answered
// during their call. This must still give every request its final response.
func (m *model) playTimersOnly(t *rapid.T) {
	for last := m.now + 20; m.nextTimer() <= last && m.now < m.killAt; {
		m.now = m.nextTimer()
		events := []Event{m.fireTimers()}
		for _, id := range m.ids {
			r := m.requests[id]
			if r.state == modelCalling && (r.answered || r.callDeadline <= m.now) {
				events = append(events, m.endCallOrRun(r))
			}
		}
		m.must(t, events...)
	}
}

// coverage is a combination of idempotency, preemption and the way in which a call ended.
type coverage struct {
	idempotency Idempotency
	preemption  Preemption
	outcome     Outcome
}

// recordCoverage counts the end of a call, if coverage is recorded.
func (m *model) recordCoverage(r *modelRequest, outcome Outcome) {
	if m.covered != nil {
		m.covered[coverage{r.class.Idempotency, m.settings.Preemption, outcome}]++
	}
}

// requireFullCoverage fails the test unless every combination of idempotency, preemption and end
// of a call was played at least five times.
func requireFullCoverage(t *testing.T, covered map[coverage]int) {
	t.Helper()
	callOutcomes := []Outcome{Finished, Failed, Rejected, TimedOut, Unreachable, Disconnected}
	for _, idempotency := range []Idempotency{Idempotent, Deduplicated, AtMostOnce} {
		for _, preemption := range []Preemption{NoPreemption, PreemptByDrop, PreemptByPause} {
			for _, outcome := range callOutcomes {
				combination := coverage{idempotency, preemption, outcome}
				if n := covered[combination]; n < 5 {
					t.Errorf("idempotency %v, preemption %v, call outcome %v: played %d times, want at least 5",
						idempotency, preemption, outcome, n)
				}
			}
		}
	}
}

// endCallOrRun returns the event of a call that timed out, or the end of the run if its request
// already has its response.
func (m *model) endCallOrRun(r *modelRequest) Event {
	if r.answered {
		return m.endRun(r, Cancelled)
	}
	r.state = modelAwaitingDownstream
	m.recordCoverage(r, TimedOut)
	m.abandonCall()
	return Event{Kind: CallReturned, RequestID: r.id, Outcome: TimedOut}
}

// drawProgress draws an event, or none, for each request that is not done.
func (m *model) drawProgress(t *rapid.T) (events []Event) {
	const (
		choices    = 14
		clientGone = choices
	)
	for _, id := range m.ids {
		r := m.requests[id]
		if r.state == modelDone {
			continue
		}
		choice := rapid.IntRange(0, choices).Draw(t, "choice")
		event, happened := m.progress(r, choice)
		if !happened && choice == clientGone && !r.answered && !r.clientGone {
			event = m.clientLeaves(r)
			happened = true
		}
		if happened {
			events = append(events, event)
		}
	}
	return events
}

// progress returns the event that the drawn number selects for a run or a call, if any.
func (m *model) progress(r *modelRequest, choice int) (event Event, happened bool) {
	noResponseDue := r.answered || r.clientGone
	switch r.state {
	case modelOnCore:
		return m.progressOnCore(r, choice, noResponseDue)
	case modelCalling:
		return m.progressCall(r, choice, noResponseDue)
	case modelAwaitingDownstream:
		if noResponseDue {
			return m.endRun(r, Cancelled), true
		}
	case modelCoalesced:
		if choice < 2 {
			return m.endRun(r, Finished), true
		}
	}
	return Event{}, false
}

// progressOnCore returns the event that the drawn number selects for a running request, if any.
func (m *model) progressOnCore(r *modelRequest, choice int, noResponseDue bool) (event Event, happened bool) {
	switch {
	case r.cancelPending: // the cancellation is confirmed in the next batch
		r.cancelPending = false
		r.state = modelDone
		return Event{Kind: RunEnded, RequestID: r.id, Outcome: Cancelled}, true
	case choice < 4 && noResponseDue:
		return m.endRun(r, Cancelled), true
	case choice < 4:
		return m.endRun(r, []Outcome{Finished, Finished, Finished, Failed}[choice]), true
	case choice < 8 && r.class.CallsDownstream && !noResponseDue:
		r.state = modelAwaitingDownstream
		r.mayHaveExecuted = false
		return Event{Kind: AwaitingDownstream, RequestID: r.id}, true
	}
	return Event{}, false
}

// progressCall returns the event that the drawn number selects for a call in flight, if any.
func (m *model) progressCall(r *modelRequest, choice int, noResponseDue bool) (event Event, happened bool) {
	switch {
	case noResponseDue || m.now >= r.callDeadline:
		if r.clientGone {
			r.answered = true
		}
		return m.endCallOrRun(r), true
	case choice < 3:
		r.state = modelOnCore
		m.recordCoverage(r, Finished)
		return Event{Kind: CallReturned, RequestID: r.id, Outcome: Finished, Duration: 0.05}, true
	case choice < 7:
		outcome := []Outcome{Rejected, Unreachable, Disconnected, Failed}[choice-3]
		r.state = modelAwaitingDownstream
		r.mayHaveExecuted = outcome == Disconnected || outcome == Failed
		m.recordCoverage(r, outcome)
		return Event{Kind: CallReturned, RequestID: r.id, Outcome: outcome, Duration: 0.05}, true
	}
	return Event{}, false
}

// clientLeaves marks the client of a request as gone and returns the event.
func (m *model) clientLeaves(r *modelRequest) Event {
	r.clientGone = true
	switch r.state {
	case modelQueued, modelCoalesced:
		r.state = modelDone
	case modelCalling:
		m.abandonCall()
	}
	return Event{Kind: ClientGone, RequestID: r.id}
}
