package admission

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	setFlag("rapid.seed", "20261201") // the same verdict every time
	setFlag("rapid.nofailfile", "true")
	setFlag("rapid.checks", "1000")
}

func setFlag(name, value string) {
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
		Concurrency:       ConcurrencySettings{PerCore: float("concurrency", 2, 8), Window: 2},
		Memory: MemorySettings{
			Limit:         float("memory", 300, 5000),
			RunningFactor: float("memoryFactor", 1, 16),
			PerKey:        float("keyMemory", 1, 60),
		},
		Downstream: DownstreamSettings{
			Kind:                  Downstream(integer("downstream", 0, 2)),
			CallLimit:             drawCallLimit(t),
			CallWindow:            5,
			AbandonedCallLifetime: 0.2,
		},
		Preemption:          Preemption(integer("preemption", 0, 2)),
		Backpressure:        Backpressure(integer("backpressure", 0, 3)),
		ResultCacheTTL:      float64(integer("resultCache", 0, 1)),
		DeadlinePropagation: rapid.Bool().Draw(t, "deadlinePropagation"),
		MaxRetryAfter:       float64(integer("retryAfter", 0, 1)),
		OverQuotaValue:      0.1,
		ValueByWork:         rapid.Bool().Draw(t, "valueByWork"),
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
		Idempotency:         Idempotency(rapid.IntRange(0, 2).Draw(t, "idempotency")),
		Timeout:             timeout,
		SoftDeadline:        rapid.Float64Range(0.2, timeout).Draw(t, "softDeadline"),
		Value:               float64(rapid.IntRange(1, 3).Draw(t, "value")),
		LateValue:           rapid.Float64Range(0, 1).Draw(t, "lateValue"),
		DeduplicationWindow: rapid.Float64Range(0.5, 4).Draw(t, "window"),
		CallsDownstream:     callsDownstream,
		DegradedValue:       0.5 * float64(rapid.IntRange(0, 1).Draw(t, "degradedValue")),
	}
}

// drawCallLimit draws the limit of a shared dependency, in one of five cases none at all.
func drawCallLimit(t *rapid.T) float64 {
	anyCalls := min(1, float64(rapid.IntRange(0, 4).Draw(t, "anyCalls")))
	return anyCalls * rapid.Float64Range(0.1, 1.5).Draw(t, "callLimit")
}

// drawRequest draws what comes with a request.
func (m *model) drawRequest(t *rapid.T) Request {
	in := Request{
		Class:        rapid.IntRange(0, len(m.settings.Classes)-1).Draw(t, "class"),
		Memory:       rapid.Float64Range(1, 30).Draw(t, "memory"),
		Age:          rapid.Float64Range(0, 1).Draw(t, "age"),
		ExpectedWork: 0.1,
		HasSubject:   rapid.Bool().Draw(t, "hasSubject"),
		Write:        rapid.Bool().Draw(t, "write"),
	}
	if m.settings.DeadlinePropagation {
		in.RemainingBudget = rapid.Float64Range(0.001, 8).Draw(t, "remainingBudget")
	}
	return in
}

// TestDecide_KeepsTheRules plays whatever the wire allows against the model: no request lost, no
// effect twice, clean drains, nothing over its limits, and the same actions from the same events.
func TestDecide_KeepsTheRules(t *testing.T) {
	covered := map[coverage]int{}
	defer func() { requireFullCoverage(t, covered) }()
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64()
		settings := drawSettings(t)
		m := newModel(settings, seed.Draw(t, "seed"), rapid.Float64Range(0, 1e5).Draw(t, "clock"))
		m.covered = covered
		m.must(t, Event{Kind: Started})
		m.playRandomEvents(t)
		m.playTimersAlone(t)
		for _, id := range m.ids {
			if r := m.requests[id]; !r.answered && !r.clientGone && !math.IsInf(m.nextTimer(), 1) {
				t.Fatalf("request %s never got its response", id)
			}
		}
	})
}

// playRandomEvents plays some steps, in one of which the server may be told to drain.
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
			left := rapid.Float64Range(0.1, 3).Draw(t, "left")
			m.drainAt = m.now
			m.killAt = m.now + left
			events = append(events, Event{Kind: DrainStarted, Duration: left})
		}
		for range rapid.IntRange(0, 6).Draw(t, "arrivals") {
			in := m.drawRequest(t)
			identity := fmt.Sprint(in.Class, rapid.IntRange(0, 5).Draw(t, "identity"))
			events = append(events, m.arrive(fmt.Sprint("t", len(m.ids)), identity, in))
		}
		m.must(t, events...)
	}
}

// playTimersAlone has nothing end any more but calls, which keep their timeouts: the timers alone
// must answer all.
func (m *model) playTimersAlone(t *rapid.T) {
	for last := m.now + 20; m.nextTimer() <= last && m.now < m.killAt; {
		m.now = m.nextTimer()
		events := []Event{m.fireTimers()}
		for _, id := range m.ids {
			r := m.requests[id]
			if r.place == placeCalling && (r.answered || r.callDeadline <= m.now) {
				events = append(events, m.loseCall(r))
			}
		}
		m.must(t, events...)
	}
}

// coverage is a case that the model has met: how a call ended, of which idempotency, with which
// preemption.
type coverage struct {
	idempotency Idempotency
	preemption  Preemption
	outcome     Outcome
}

func (m *model) cover(r *modelRequest, outcome Outcome) {
	if m.covered != nil {
		m.covered[coverage{r.class.Idempotency, m.settings.Preemption, outcome}]++
	}
}

// requireFullCoverage wants every idempotency with every preemption and every end of a call, some
// times each.
func requireFullCoverage(t *testing.T, covered map[coverage]int) {
	t.Helper()
	callOutcomes := []Outcome{Finished, Failed, Rejected, TimedOut, Unreachable, Disconnected}
	for _, idempotency := range []Idempotency{Idempotent, Deduplicated, AtMostOnce} {
		for _, preemption := range []Preemption{NoPreemption, PreemptByDrop, PreemptByPause} {
			for _, outcome := range callOutcomes {
				one := coverage{idempotency, preemption, outcome}
				if n := covered[one]; n < 5 {
					t.Errorf("%v, preemption %v, a call that is %v: played %d times",
						idempotency, preemption, outcome, n)
				}
			}
		}
	}
}

// loseCall is what becomes of a call that runs out of time or whose request has its response.
func (m *model) loseCall(r *modelRequest) Event {
	if r.answered {
		return m.end(r, Cancelled)
	}
	r.place = placeAwaiting
	m.cover(r, TimedOut)
	m.abandonCall()
	return Event{Kind: CallReturned, RequestID: r.id, Outcome: TimedOut}
}

// drawProgress lets something happen, or nothing, to each request that is not done.
func (m *model) drawProgress(t *rapid.T) (events []Event) {
	const (
		choices    = 14
		clientGone = choices
	)
	for _, id := range m.ids {
		r := m.requests[id]
		if r.place == placeDone {
			continue
		}
		choice := rapid.IntRange(0, choices).Draw(t, "choice")
		event, happened := m.progress(r, choice)
		if !happened && choice == clientGone && !r.answered && !r.clientGone {
			event = m.leave(r)
			happened = true
		}
		if happened {
			events = append(events, event)
		}
	}
	return events
}

// progress lets a run or a call get on, by the number that was drawn.
func (m *model) progress(r *modelRequest, choice int) (event Event, happened bool) {
	over := r.answered || r.clientGone
	switch r.place {
	case placeOnCore:
		return m.progressOnCore(r, choice, over)
	case placeCalling:
		return m.progressCall(r, choice, over)
	case placeAwaiting:
		if over {
			return m.end(r, Cancelled), true
		}
	case placeCoalesced:
		if choice < 2 {
			return m.end(r, Finished), true
		}
	}
	return Event{}, false
}

func (m *model) progressOnCore(r *modelRequest, choice int, over bool) (event Event, happened bool) {
	switch {
	case r.cancelPending: // the cancellation is confirmed in the batch after
		r.cancelPending = false
		r.place = placeDone
		return Event{Kind: RunEnded, RequestID: r.id, Outcome: Cancelled}, true
	case choice < 4 && over:
		return m.end(r, Cancelled), true
	case choice < 4:
		return m.end(r, []Outcome{Finished, Finished, Finished, Failed}[choice]), true
	case choice < 8 && r.class.CallsDownstream && !over:
		r.place = placeAwaiting
		r.mayHaveExecuted = false
		return Event{Kind: AwaitingDownstream, RequestID: r.id}, true
	}
	return Event{}, false
}

func (m *model) progressCall(r *modelRequest, choice int, over bool) (event Event, happened bool) {
	switch {
	case over || m.now >= r.callDeadline:
		if r.clientGone {
			r.answered = true
		}
		return m.loseCall(r), true
	case choice < 3:
		r.place = placeOnCore
		m.cover(r, Finished)
		return Event{Kind: CallReturned, RequestID: r.id, Outcome: Finished, Duration: 0.05}, true
	case choice < 7:
		outcome := []Outcome{Rejected, Unreachable, Disconnected, Failed}[choice-3]
		r.place = placeAwaiting
		r.mayHaveExecuted = outcome == Disconnected || outcome == Failed
		m.cover(r, outcome)
		return Event{Kind: CallReturned, RequestID: r.id, Outcome: outcome, Duration: 0.05}, true
	}
	return Event{}, false
}

// leave makes the event of a client that does not wait any more.
func (m *model) leave(r *modelRequest) Event {
	r.clientGone = true
	switch r.place {
	case placeQueued, placeCoalesced:
		r.place = placeDone
	case placeCalling:
		m.abandonCall()
	}
	return Event{Kind: ClientGone, RequestID: r.id}
}
