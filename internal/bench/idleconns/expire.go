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

// PhaseName names a phase of a mass expiry.
type PhaseName string

const (
	// PhaseBefore ends before any idle connection reaches its idle timeout.
	PhaseBefore PhaseName = "calm"
	// PhaseDuring lasts until all idle connections are closed.
	PhaseDuring PhaseName = "during"
	// PhaseAfter begins once all idle connections are closed.
	PhaseAfter PhaseName = "after"
)

// Phase is the latency of the busy connections in one phase of a mass expiry.
type Phase struct {
	Connections   int       `json:"connections"` // idle connections at the start of the phase
	Phase         PhaseName `json:"phase"`
	Seconds       float64   `json:"seconds"`
	P50           float64   `json:"busy_p50_us"`
	P99           float64   `json:"busy_p99_us"`
	P999          float64   `json:"busy_p999_us"`
	Max           float64   `json:"busy_max_us"`
	LongestTurnMs float64   `json:"longest_turn_ms"` // of any server's event loop
	P99Ratio      float64   `json:"p99_over_calm"`   // P99 as a multiple of that of PhaseBefore
	Finished      int       `json:"finished"`
	Disconnects   int       `json:"broken"` // busy connections that were closed
	Closed        int       `json:"closed"` // idle connections that were closed
}

// PhaseColumns are the column heads for Phase.Cells.
var PhaseColumns = []string{"connections", "phase", "seconds", "p50 us", "p99 us", "p99.9 us", "longest us",
	"longest turn ms", "p99/calm", "finished", "broken"}

// Cells returns the phase's table cells, in the order of PhaseColumns.
func (p Phase) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %s %.2f %.0f %.0f %.0f %.0f %.2f %.2f %d %d",
		p.Connections, p.Phase, p.Seconds, p.P50, p.P99, p.P999, p.Max, p.LongestTurnMs, p.P99Ratio, p.Finished,
		p.Disconnects))
}

const (
	// maxExpirySeconds bounds the time from the idle timeout until all idle connections are closed.
	maxExpirySeconds   = 120
	expiryPollInterval = 50 * time.Millisecond
	// burstSettleTime is the pause between the burst of health checks and the start of the phase
	// before the expiry.
	burstSettleTime = time.Second
	// expiryMargin is the time between the end of the phase before the expiry and the idle
	// timeout.
	expiryMargin = 200 * time.Millisecond
)

// RunExpiry measures, for each number of connections of the plan, a mass expiry: all idle
// connections reach their idle timeout at the same time.
func RunExpiry(ctx context.Context, p *Plan) ([]Phase, error) {
	var all []Phase
	for _, n := range p.Connections {
		phases, err := p.measureExpiry(ctx, n)
		if err != nil {
			return all, fmt.Errorf("mass expiry of %d connections: %w", n, err)
		}
		all = append(all, phases...)
	}
	return all, nil
}

// expiry is the state of the measurement of one mass expiry.
type expiry struct {
	*fixture
	load   *loadgen.Generator // load on the busy connections
	phases []Phase
}

func (p *Plan) measureExpiry(ctx context.Context, connections int) ([]Phase, error) {
	f, err := p.startFixture(ctx, p.IdleTimeout)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if _, err := f.measureLoad(ctx); err != nil { // warms up the servers; the result is not used
		return nil, err
	}
	p.progress("%d idle connections: opening", connections)
	if err := f.openIdleConns(ctx, connections); err != nil {
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
	open, err := e.measureBefore(ctx, connections)
	if err != nil {
		return err
	}
	e.plan.progress("%d idle connections: idle timeout reached", connections)
	if err := e.waitClosed(ctx, open); err != nil {
		return err
	}
	timing.Sleep(ctx, settleTime) // answers to requests sent during the expiry arrive
	if err := e.endPhase(PhaseDuring, open); err != nil {
		return err
	}
	e.plan.progress("%d idle connections: all closed", connections)
	timing.Sleep(ctx, timing.Seconds(e.plan.Seconds))
	if err := e.endPhase(PhaseAfter, 0); err != nil {
		return err
	}
	e.phases[1].Closed = open
	for i := range e.phases {
		e.phases[i].P99Ratio = e.phases[i].P99 / max(1, e.phases[0].P99)
	}
	return nil
}

// measureBefore restarts all idle timers with one burst of health checks and measures until shortly
// before they expire. It returns the number of open idle connections.
func (e *expiry) measureBefore(ctx context.Context, connections int) (int, error) {
	burst := time.Now()
	for _, holder := range e.holders {
		if err := holder.SendHealthChecks(); err != nil {
			return 0, err
		}
	}
	open, err := e.countOpenIdle()
	if err != nil {
		return 0, err
	}
	e.plan.progress("%d idle connections: health checks sent in one burst of %.2f s, %d open",
		connections, time.Since(burst).Seconds(), open)
	timing.Sleep(ctx, burstSettleTime)
	if _, err := e.readUsage(); err != nil { // resets the statistics of the servers
		return 0, err
	}
	e.load.TakeStats()
	timing.Sleep(ctx, e.plan.IdleTimeout-time.Since(burst)-expiryMargin)
	return open, e.endPhase(PhaseBefore, open)
}

// waitClosed waits until all idle connections are closed.
func (e *expiry) waitClosed(ctx context.Context, open int) error {
	deadline := time.Now().Add(maxExpirySeconds * time.Second)
	for open > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		timing.Sleep(ctx, expiryPollInterval)
		var err error
		if open, err = e.countOpenIdle(); err != nil {
			return err
		}
	}
	if open > 0 {
		return fmt.Errorf("%d idle connections are still open %d s after their idle timeout", open, maxExpirySeconds)
	}
	return nil
}

// endPhase appends a phase with the statistics since the end of the previous phase.
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
