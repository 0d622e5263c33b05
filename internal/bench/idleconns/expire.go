package idleconns

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/bench/timing"
)

// PhaseName is a part of a mass expiry.
type PhaseName string

const (
	// PhaseCalm is before any connection reaches its idle timeout.
	PhaseCalm PhaseName = "calm"
	// PhaseDuring is until all idle connections are closed.
	PhaseDuring PhaseName = "during"
	// PhaseAfter is after that.
	PhaseAfter PhaseName = "after"
)

// Phase is the latency of the busy connections in one part of a mass expiry.
type Phase struct {
	Connections   int       `json:"connections"` // idle ones at its start
	Phase         PhaseName `json:"phase"`
	Seconds       float64   `json:"seconds"`
	P50           float64   `json:"busy_p50_us"`
	P99           float64   `json:"busy_p99_us"`
	P999          float64   `json:"busy_p999_us"`
	Max           float64   `json:"busy_max_us"`
	LongestTurnMs float64   `json:"longest_turn_ms"`
	Ratio         float64   `json:"p99_over_calm"`
	Finished      int       `json:"finished"`
	Disconnects   int       `json:"broken"` // busy connections that ended
	Closed        int       `json:"closed"` // idle connections that ended
}

// PhaseColumns are the names of the columns of Phase.Cells.
var PhaseColumns = []string{"connections", "phase", "seconds", "p50 us", "p99 us", "p99.9 us", "longest us",
	"longest turn ms", "p99/calm", "finished", "broken"}

// Cells returns the phase's cells in the table.
func (p Phase) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %s %.2f %.0f %.0f %.0f %.0f %.2f %.2f %d %d",
		p.Connections, p.Phase, p.Seconds, p.P50, p.P99, p.P999, p.Max, p.LongestTurnMs, p.Ratio, p.Finished,
		p.Disconnects))
}

const (
	// maxExpirySeconds is how long all idle connections may take to end after their timeout.
	maxExpirySeconds = 120
	expiryPoll       = 50 * time.Millisecond
	// burstSettle is the pause after the burst of health checks.
	burstSettle = time.Second
	// calmMargin is how long before the idle timeout the calm phase ends.
	calmMargin = 200 * time.Millisecond
)

// RunExpiry has all idle connections reach their timeout in the same instant, for each number of the plan.
func RunExpiry(ctx context.Context, p *Plan) ([]Phase, error) {
	var all []Phase
	for _, n := range p.Connections {
		phases, err := p.runExpiry(ctx, n)
		if err != nil {
			return all, fmt.Errorf("with %d connections: %w", n, err)
		}
		all = append(all, phases...)
	}
	return all, nil
}

// expiry is a mass expiry under a load.
type expiry struct {
	*fixture
	load   *loadgen.Generator
	phases []Phase
}

func (p *Plan) runExpiry(ctx context.Context, connections int) ([]Phase, error) {
	f, err := p.start(ctx, p.IdleTimeout)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if _, err := f.measure(ctx); err != nil { // warms up
		return nil, err
	}
	p.progress("%d connections: opening", connections)
	if err := f.holdIdle(ctx, connections); err != nil {
		return nil, err
	}
	e := &expiry{fixture: f}
	if e.load, err = f.startLoad(ctx); err != nil {
		return nil, err
	}
	if err := e.run(ctx, connections); err != nil {
		return nil, err
	}
	e.load.Stop()
	return e.phases, ctx.Err()
}

// run measures the three phases.
func (e *expiry) run(ctx context.Context, connections int) error {
	open, err := e.measureCalm(ctx, connections)
	if err != nil {
		return err
	}
	e.plan.progress("%d connections: idle timeout reached", connections)
	if err := e.waitClosed(ctx, open); err != nil {
		return err
	}
	timing.Sleep(ctx, settleTime) // requests sent meanwhile are answered
	if err := e.endPhase(PhaseDuring, open); err != nil {
		return err
	}
	e.plan.progress("%d connections: all closed", connections)
	timing.Sleep(ctx, timing.Seconds(e.plan.Seconds))
	if err := e.endPhase(PhaseAfter, 0); err != nil {
		return err
	}
	e.phases[1].Closed = open
	for i := range e.phases {
		e.phases[i].Ratio = e.phases[i].P99 / max(1, e.phases[0].P99)
	}
	return nil
}

// measureCalm restarts all idle timers in one burst and measures until shortly before they expire. It returns how
// many idle connections were open.
func (e *expiry) measureCalm(ctx context.Context, connections int) (int, error) {
	burst := time.Now()
	for _, holder := range e.holders {
		if err := holder.SendHealthChecks(); err != nil {
			return 0, err
		}
	}
	open, err := e.openIdle()
	if err != nil {
		return 0, err
	}
	e.plan.progress("%d connections: checked in one burst of %.2f s, %d open",
		connections, time.Since(burst).Seconds(), open)
	timing.Sleep(ctx, burstSettle)
	if _, err := e.readUsage(); err != nil { // the statistics begin anew
		return 0, err
	}
	e.load.TakeStats()
	timing.Sleep(ctx, e.plan.IdleTimeout-time.Since(burst)-calmMargin)
	return open, e.endPhase(PhaseCalm, open)
}

// waitClosed waits until all idle connections are closed.
func (e *expiry) waitClosed(ctx context.Context, open int) error {
	deadline := time.Now().Add(maxExpirySeconds * time.Second)
	for open > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		timing.Sleep(ctx, expiryPoll)
		var err error
		if open, err = e.openIdle(); err != nil {
			return err
		}
	}
	if open > 0 {
		return fmt.Errorf("%d connections are open %d s after their idle timeout", open, maxExpirySeconds)
	}
	return nil
}

// endPhase appends a phase with the statistics since the previous one ended.
func (e *expiry) endPhase(name PhaseName, connections int) error {
	stats := e.load.TakeStats()
	usage, err := e.readUsage()
	if err != nil {
		return err
	}
	e.phases = append(e.phases, Phase{
		Connections:   connections,
		Phase:         name,
		Seconds:       math.Round(1000*stats.Elapsed.Seconds()) / 1000,
		P50:           stats.Quantile(50),
		P99:           stats.Quantile(99),
		P999:          stats.Quantile(99.9),
		Max:           float64(stats.Latency.Max()),
		LongestTurnMs: usage.longestTurnMs,
		Finished:      stats.Finished,
		Disconnects:   stats.Disconnects,
	})
	return nil
}
