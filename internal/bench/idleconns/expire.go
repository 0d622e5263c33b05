package idleconns

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"swiftcourse/internal/bench/loadgen"
)

// Phase is what the busy connections saw in one part of a mass expiry.
type Phase struct {
	Connections   int     `json:"connections"` // idle ones at its start
	Phase         string  `json:"phase"`       // calm, before it; during, until all idle ones are gone; after
	Seconds       float64 `json:"seconds"`
	P50           float64 `json:"busy_p50_us"`
	P99           float64 `json:"busy_p99_us"`
	P999          float64 `json:"busy_p999_us"`
	Max           float64 `json:"busy_max_us"`
	LongestTurnMs float64 `json:"longest_turn_ms"`
	Ratio         float64 `json:"p99_over_calm"`
	Finished      int     `json:"finished"`
	Disconnects   int     `json:"broken"` // busy connections that ended
	Closed        int     `json:"closed"` // idle connections that ended in it
}

// RunExpiry has n idle connections reach their time in the same instant, for each number of the plan.
func RunExpiry(ctx context.Context, p *Plan) (all []Phase, err error) {
	for _, n := range p.Connections {
		phases, err := p.expire(ctx, n)
		if err != nil {
			return all, fmt.Errorf("with %d connections: %w", n, err)
		}
		all = append(all, phases...)
	}
	return all, nil
}

// maxExpiry is how long all idle connections may take to end, in seconds.
const maxExpiry = 120

func (p *Plan) expire(ctx context.Context, n int) (phases []Phase, err error) {
	b, err := p.start(ctx, p.IdleTimeout)
	if err != nil {
		return nil, err
	}
	defer b.end()
	if _, err := b.stretch(ctx); err != nil {
		return nil, err
	}
	p.say("%d connections: opening", n)
	if err := b.hold(ctx, n); err != nil {
		return nil, err
	}
	l, err := b.load(ctx)
	if err != nil {
		return nil, err
	}
	touched := time.Now()
	for _, h := range b.holders {
		if err := h.SendHealthChecks(); err != nil {
			return nil, err
		}
	}
	open, _, err := b.standing()
	if err != nil {
		return nil, err
	}
	p.say("%d connections: heard in one burst of %.2f s, %d stand", n, time.Since(touched).Seconds(), open)
	pause(ctx, 1)
	if _, err = b.state(); err != nil { // the counts begin anew
		return nil, err
	}
	l.TakeStats()
	pause(ctx, p.IdleTimeout.Seconds()-time.Since(touched).Seconds()-0.2) // none has reached its time
	calm, err := b.phase(l, "calm", open, &phases)
	if err != nil {
		return nil, err
	}
	p.say("%d connections: their time is over", n)
	for end := time.Now().Add(maxExpiry * time.Second); open > 0 && time.Now().Before(end) && ctx.Err() == nil; {
		pause(ctx, 0.05)
		if open, _, err = b.standing(); err != nil {
			return nil, err
		}
	}
	if open > 0 {
		return nil, fmt.Errorf("%d connections stand %d s after their time", open, maxExpiry)
	}
	pause(ctx, 0.5) // what was sent meanwhile has its answer
	if _, err = b.phase(l, "during", phases[0].Connections, &phases); err != nil {
		return nil, err
	}
	p.say("%d connections: all closed", n)
	pause(ctx, p.Seconds)
	if _, err = b.phase(l, "after", 0, &phases); err != nil {
		return nil, err
	}
	phases[1].Closed = phases[0].Connections
	for i := range phases {
		phases[i].Ratio = phases[i].P99 / max(1, calm)
	}
	l.Stop()
	return phases, ctx.Err()
}

func (b *bench) standing() (open, asked int, err error) {
	for _, h := range b.holders {
		o, a, _, err := h.Counts()
		if err != nil {
			return 0, 0, err
		}
		open += o
		asked += a
	}
	return open, asked, nil
}

// phase ends a phase: it takes what came back in it. It gives its p99.
func (b *bench) phase(l *loadgen.Generator, name string, connections int, phases *[]Phase) (float64, error) {
	took := l.TakeStats()
	now, err := b.state()
	if err != nil {
		return 0, err
	}
	f := Phase{Connections: connections, Phase: name, Seconds: math.Round(1000*took.Elapsed.Seconds()) / 1000,
		P50: took.Quantile(50), P99: took.Quantile(99), P999: took.Quantile(99.9), Max: float64(took.Latency.Max()), LongestTurnMs: now.turn,
		Finished: took.Finished, Disconnects: took.Disconnects}
	*phases = append(*phases, f)
	return f.P99, nil
}

// PhaseColumns are those of the table of phases.
var PhaseColumns = []string{"connections", "phase", "seconds", "p50 us", "p99 us", "p99.9 us", "longest us", "longest turn ms", "p99/calm",
	"finished", "broken"}

// Cells are a phase's in the table.
func (f Phase) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %s %.2f %.0f %.0f %.0f %.0f %.2f %.2f %d %d", f.Connections, f.Phase, f.Seconds, f.P50, f.P99, f.P999, f.Max,
		f.LongestTurnMs, f.Ratio, f.Finished, f.Disconnects))
}
