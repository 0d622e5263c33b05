// Package idleconns measures what connections that say nothing cost: memory, time of the core, and latency of the busy ones, as their
// number grows; and what happens when all of them reach their time together.
package idleconns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

// Plan is the experiment.
type Plan struct {
	Program      string // the server's binary
	Connections  []int  // idle ones, over all servers, a row each
	Servers      int
	Rate         float64 // busy tasks a second, over all servers
	Busy         int     // busy connections to each server
	Seconds      float64 // of each stretch that is measured
	Rounds       int     // how often both are measured in turns
	CPU          int     // that all servers share, under 0 for any
	HealthChecks bool    // the busy calls are health checks, not tasks
	Statistics   bool    // ask servers for their counts; an older one takes the question for its end
	Expire       bool
	IdleTimeout  time.Duration // with Expire: how long a connection may be silent
	HonorClose   bool          // idle peers close when they are asked to
	Progress     io.Writer     // progress
}

// Row is what was measured with a number of idle connections.
type Row struct {
	Connections    int     `json:"connections"`
	Servers        int     `json:"servers"`
	Resident       float64 `json:"rss_bytes_per_connection"`
	Heap           float64 `json:"heap_bytes_per_connection"`
	Timers         float64 `json:"timers"`
	P50            float64 `json:"busy_p50_us"` // the middle one of all rounds, as are the ones below
	P99            float64 `json:"busy_p99_us"`
	P999           float64 `json:"busy_p999_us"`
	NoneP50        float64 `json:"none_p50_us"` // with no idle connection, in the same run
	NoneP99        float64 `json:"none_p99_us"`
	AddedP50       float64 `json:"added_p50"` // over that: 1 is as much
	AddedP99       float64 `json:"added_p99"`
	CPUShare       float64 `json:"idle_cpu_share"` // of a core, all servers together, with nothing asked
	LongestTurnMs  float64 `json:"longest_turn_ms"`
	Finished       int     `json:"finished"`
	Rejected       int     `json:"rejected"`
	Abandoned      int     `json:"abandoned"`
	Unanswered     int     `json:"lost"`
	MaxSendDelayMs float64 `json:"sender_late_ms"`
	DrainSeconds   float64 `json:"leave_s"` // from the notice to the end of the last server, with the idle ones there
	OpenSeconds    float64 `json:"opened_s"`
}

// settings are of one cheap stage and no tenants; idle connections may be silent for so long.
func settings(idle time.Duration) simulator.Settings {
	var told simulator.Settings
	told.Servers = 1
	told.Classes = []simulator.Class{{Name: "ping", Idempotency: "idempotent", TimeoutMs: 5000, SoftDeadlineMs: 2000, Value: 1,
		LateValue: 0.5}}
	told.Contract.ConcurrencyPerCore, told.Contract.ConcurrencyWindowMs, told.Contract.DrainGraceMs = 8, 1000, 500
	told.Contract.DeadlineToleranceMs = 50
	own := &told.Deployment
	own.Cores, own.MemoryLimitKb, own.RunningFactor, own.Clients, own.DeadlinePropagation = 4, 1e6, 1, 1, true
	own.Gauges, own.IdleTimeoutMs = []string{"cpu_busy", "runnable"}, float64(idle.Milliseconds())
	return told
}

// spareSockets are the descriptors that a server needs beside those of the idle connections: its pooled connections, links and the busy ones.
const spareSockets = 400

// Validate finds numbers that this machine can't serve.
func (p *Plan) Validate() error {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	most := int(min(limit.Max, math.MaxInt32)) - spareSockets - p.Busy
	switch {
	case p.Servers < 1 || p.Servers > 64:
		return fmt.Errorf("--servers %d: from 1 to 64", p.Servers)
	case p.Rate <= 0 || p.Rate > 50_000:
		return fmt.Errorf("--rate %g: over 0 and at most 50000 tasks a second", p.Rate)
	case p.Seconds < 0.5 || p.Seconds > 600:
		return fmt.Errorf("--seconds %g: from 0.5 to 600", p.Seconds)
	case p.Rounds < 1 || p.Rounds > 20:
		return fmt.Errorf("--rounds %d: from 1 to 20", p.Rounds)
	case p.Busy < 1 || p.Busy > 256:
		return fmt.Errorf("--busy %d: from 1 to 256", p.Busy)
	case len(p.Connections) == 0:
		return errors.New("--connections: none given")
	}
	ports, err := portsLeft()
	if err != nil {
		return err
	}
	for _, n := range p.Connections {
		each := (n + p.Servers - 1) / p.Servers
		switch {
		case n < 0:
			return fmt.Errorf("--connections %d: under 0", n)
		case each > most:
			return fmt.Errorf("--connections %d: a process may hold %d descriptors here, so %d servers take %d; at least %d servers are needed",
				n, limit.Max, p.Servers, p.Servers*most, (n+most-1)/most)
		case each > ports:
			return fmt.Errorf("--connections %d: loopback has %d ports to one server's address; more servers are needed", n, ports)
		}
	}
	if _, err := os.Stat(p.Program); err != nil {
		return fmt.Errorf("--server %s: %w; make build makes it", p.Program, err)
	}
	return nil
}

// portsLeft is how many connections may go from one address to one address and port.
func portsLeft() (int, error) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return 0, err
	}
	var from, to int
	if _, err := fmt.Sscan(string(text), &from, &to); err != nil {
		return 0, err
	}
	return to - from + 1, nil
}

func (p *Plan) say(format string, a ...any) {
	if p.Progress != nil {
		fmt.Fprintf(p.Progress, format+"\n", a...)
	}
}

// bench is a fleet and what is held to it.
type bench struct {
	plan    *Plan
	servers []*process.Server
	addrs   []string
	holders []*Holder
	seed    uint64
}

func (p *Plan) start(ctx context.Context, idle time.Duration) (*bench, error) {
	var limit unix.Rlimit
	_ = unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) // Check has had it
	servers, err := process.Start(ctx, p.Servers, process.Config{Program: p.Program, CPU: p.CPU, Cores: 1, MemoryMB: 192,
		Descriptors: int(min(limit.Max, 1<<20)), StopTimeout: 5 * time.Second, Settings: settings(idle),
		Executor: executor.Config{Cores: 4, Gauges: func(busy, _ int) []float64 { return []float64{float64(busy) / 4, float64(busy)} }}})
	if err != nil {
		return nil, err
	}
	b := &bench{plan: p, servers: servers}
	for _, s := range servers {
		b.addrs = append(b.addrs, s.Addr)
	}
	return b, nil
}

func (b *bench) end() {
	b.release()
	process.CloseAll(b.servers)
}

func (b *bench) load(ctx context.Context) (*loadgen.Generator, error) {
	b.seed++
	return loadgen.Start(ctx, loadgen.Config{Addresses: b.addrs, ConnsPerServer: b.plan.Busy, Rate: b.plan.Rate, Class: "ping",
		Timeout: 2 * time.Second, BodyBytes: 100, Seed: b.seed, HealthChecks: b.plan.HealthChecks})
}

// stretch measures the busy ones for the plan's seconds, after a start that is not counted.
func (b *bench) stretch(ctx context.Context) (loadgen.Stats, error) {
	l, err := b.load(ctx)
	if err != nil {
		return loadgen.Stats{}, err
	}
	pause(ctx, 0.3)
	l.TakeStats()
	pause(ctx, b.plan.Seconds)
	return l.Stop(), ctx.Err()
}

func pause(ctx context.Context, seconds float64) {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	case <-ctx.Done():
	}
}

// hold opens n idle connections, spread over the servers.
func (b *bench) hold(ctx context.Context, n int) error {
	for i, s := range b.servers {
		part := (n + i) / len(b.servers)
		if part == 0 {
			continue
		}
		h, err := StartHolder(ctx, s.Addr, part, b.plan.HonorClose)
		if err != nil {
			return err
		}
		b.holders = append(b.holders, h)
	}
	for _, h := range b.holders {
		if err := h.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) release() {
	for _, h := range b.holders {
		h.Close()
	}
	b.holders = nil
}

// state is what the servers use, all together.
type state struct{ resident, heap, timers, turn, conns, used float64 }

func (b *bench) state() (all state, err error) {
	for _, s := range b.servers {
		if b.plan.Statistics {
			counts, err := s.Statistics()
			if err != nil {
				return all, err
			}
			all.heap += 1024 * process.Number(counts, "heap_kb")
			all.timers += process.Number(counts, "timers")
			all.turn = max(all.turn, process.Number(counts, "turn_ms"))
			all.conns += process.Number(counts, "conns")
		}
		resident, err := s.ResidentBytes()
		if err != nil {
			return all, err
		}
		used, err := s.CPUSeconds()
		if err != nil {
			return all, err
		}
		all.resident += float64(resident)
		all.used += used
	}
	return all, nil
}

// Run measures a row for each number of connections.
func Run(ctx context.Context, p *Plan) (rows []Row, err error) {
	for _, n := range p.Connections {
		row, err := p.row(ctx, n)
		if err != nil {
			return rows, fmt.Errorf("with %d connections: %w", n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// quiet is for how long the servers are left alone to see what idle connections cost them.
const quiet = 2

func (p *Plan) row(ctx context.Context, n int) (row Row, err error) {
	b, err := p.start(ctx, time.Hour)
	if err != nil {
		return row, err
	}
	defer b.end()
	row = Row{Connections: n, Servers: p.Servers}
	if _, err := b.stretch(ctx); err != nil { // warms up, and takes the buffers that are kept
		return row, err
	}
	before, err := b.state()
	if err != nil {
		return row, err
	}
	var with loadgen.Stats // all rounds together
	var rounds quantiles
	for round := range p.Rounds {
		p.say("%d connections, round %d of %d: without", n, round+1, p.Rounds)
		took, err := b.stretch(ctx)
		if err != nil {
			return row, err
		}
		row.Unanswered += took.Unanswered
		rounds.add(&rounds.none, &took)
		late := took.MaxSendDelay
		from := time.Now()
		if err := b.hold(ctx, n); err != nil {
			return row, err
		}
		p.say("%d connections, round %d of %d: with, opened in %.1f s", n, round+1, p.Rounds, time.Since(from).Seconds())
		if round == 0 {
			row.OpenSeconds = time.Since(from).Seconds()
			if err := b.cost(ctx, &row, before); err != nil {
				return row, err
			}
		}
		if took, err = b.stretch(ctx); err != nil {
			return row, err
		}
		with.Merge(took)
		rounds.add(&rounds.with, &took)
		row.MaxSendDelayMs = max(row.MaxSendDelayMs, float64(max(late, took.MaxSendDelay).Microseconds())/1000)
		if round == p.Rounds-1 {
			break
		}
		b.release()
		pause(ctx, 0.5+float64(n)/50_000) // until they are gone
	}
	after, err := b.state()
	if err != nil {
		return row, err
	}
	row.LongestTurnMs = after.turn
	row.P50, row.P99, row.P999 = rounds.middle(0), rounds.middle(1), rounds.middle(2)
	row.NoneP50, row.NoneP99 = median(rounds.none[0]), median(rounds.none[1])
	row.AddedP50, row.AddedP99 = rounds.ratio(0), rounds.ratio(1)
	row.Finished, row.Rejected, row.Abandoned = with.Finished, with.Rejected, with.Abandoned
	row.Unanswered += with.Unanswered
	for _, s := range b.servers {
		took, err := s.Drain()
		if err != nil {
			return row, err
		}
		row.DrainSeconds = max(row.DrainSeconds, took.Seconds())
	}
	return row, ctx.Err()
}

// quantiles are those of each round: the 50th, the 99th and the 99.9th.
type quantiles struct{ none, with [3][]float64 }

func (q *quantiles) add(to *[3][]float64, took *loadgen.Stats) {
	for i, percent := range []float64{50, 99, 99.9} {
		to[i] = append(to[i], max(1, took.Quantile(percent)))
	}
}

func (q *quantiles) middle(i int) float64 { return median(q.with[i]) }

// ratio is how many times as long a round took with the idle connections as the one before it without: the middle
// one of all rounds, as now and then something else on the machine spoils one.
func (q *quantiles) ratio(i int) float64 {
	var all []float64
	for n, with := range q.with[i] {
		all = append(all, with/q.none[i][n])
	}
	return median(all)
}

func median(of []float64) float64 {
	sorted := slices.Sorted(slices.Values(of))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// cost measures what the idle connections take while nothing is asked.
func (b *bench) cost(ctx context.Context, row *Row, before state) error {
	pause(ctx, 0.5)
	with, err := b.state()
	if err != nil {
		return err
	}
	if n := float64(row.Connections); n > 0 {
		row.Resident = (with.resident - before.resident) / n
		row.Heap = (with.heap - before.heap) / n
	}
	row.Timers = with.timers
	if with, err = b.state(); err != nil {
		return err
	}
	from := time.Now()
	pause(ctx, quiet)
	used := -with.used
	for _, s := range b.servers {
		u, err := s.CPUSeconds()
		if err != nil {
			return err
		}
		used += u
	}
	row.CPUShare = used / time.Since(from).Seconds()
	return ctx.Err()
}

// Columns are those of the table of rows.
var Columns = []string{"connections", "servers", "rss B/conn", "heap B/conn", "timers", "p50 us", "p99 us", "p99.9 us", "added p50", "added p99",
	"idle cpu", "longest turn ms", "lost", "leave s"}

// Cells are a row's in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %.0f %.0f %.0f %.0f %.0f %.0f %.3f %.3f %.4f %.2f %d %.2f", r.Connections, r.Servers, r.Resident, r.Heap,
		r.Timers, r.P50, r.P99, r.P999, r.AddedP50, r.AddedP99, r.CPUShare, r.LongestTurnMs, r.Unanswered, r.DrainSeconds))
}
