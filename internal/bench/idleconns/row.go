package idleconns

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"swiftcourse/internal/bench/loadgen"
	"swiftcourse/internal/bench/timing"
)

// BusyLatency is the latency of the busy connections in microseconds, as medians over the rounds.
type BusyLatency struct {
	P50      float64 `json:"busy_p50_us"`
	P99      float64 `json:"busy_p99_us"`
	P999     float64 `json:"busy_p999_us"`
	NoneP50  float64 `json:"none_p50_us"` // with no idle connection, in the same run
	NoneP99  float64 `json:"none_p99_us"`
	AddedP50 float64 `json:"added_p50"` // median of the rounds' ratios of P50 over NoneP50
	AddedP99 float64 `json:"added_p99"`
}

// Row is what was measured with a number of idle connections.
type Row struct {
	Connections int     `json:"connections"`
	Servers     int     `json:"servers"`
	Resident    float64 `json:"rss_bytes_per_connection"`
	Heap        float64 `json:"heap_bytes_per_connection"`
	Timers      float64 `json:"timers"`
	BusyLatency
	CPUShare       float64 `json:"idle_cpu_share"` // of a core, all servers together, with no request sent
	LongestTurnMs  float64 `json:"longest_turn_ms"`
	Finished       int     `json:"finished"`
	Rejected       int     `json:"rejected"`
	Abandoned      int     `json:"abandoned"`
	Unanswered     int     `json:"lost"`
	MaxSendDelayMs float64 `json:"sender_late_ms"`
	DrainSeconds   float64 `json:"leave_s"` // of the slowest server, with the idle connections open
	OpenSeconds    float64 `json:"opened_s"`
}

// Columns are the names of the columns of Row.Cells.
var Columns = []string{"connections", "servers", "rss B/conn", "heap B/conn", "timers", "p50 us", "p99 us",
	"p99.9 us", "added p50", "added p99", "idle cpu", "longest turn ms", "lost", "leave s"}

// Cells returns the row's cells in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %.0f %.0f %.0f %.0f %.0f %.0f %.3f %.3f %.4f %.2f %d %.2f",
		r.Connections, r.Servers, r.Resident, r.Heap, r.Timers, r.P50, r.P99, r.P999, r.AddedP50, r.AddedP99,
		r.CPUShare, r.LongestTurnMs, r.Unanswered, r.DrainSeconds))
}

const (
	// neverIdle is an idle timeout that no connection reaches during a measurement.
	neverIdle = time.Hour
	// quietPeriod is for how long nothing is sent, to see what idle connections cost by themselves.
	quietPeriod = 2 * time.Second
	// settleTime is the pause after the idle connections are opened, or after the last reply.
	settleTime = 500 * time.Millisecond
	// closeRate is a lower bound of how many connections close in a second.
	closeRate = 50_000
)

// Run measures a row for each number of connections of the plan.
func Run(ctx context.Context, p *Plan) ([]Row, error) {
	var rows []Row
	for _, n := range p.Connections {
		row, err := p.run(ctx, n)
		if err != nil {
			return rows, fmt.Errorf("with %d connections: %w", n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measurement is the state while one row is measured.
type measurement struct {
	*fixture
	row     Row
	before  usage // with no idle connection
	with    loadgen.Stats
	latency quantiles
}

func (p *Plan) run(ctx context.Context, connections int) (Row, error) {
	current := &measurement{row: Row{Connections: connections, Servers: p.Servers}}
	var err error
	if current.fixture, err = p.start(ctx, neverIdle); err != nil {
		return current.row, err
	}
	defer current.close()
	if _, err := current.measure(ctx); err != nil { // warms up, and allocates the buffers that are kept
		return current.row, err
	}
	if current.before, err = current.readUsage(); err != nil {
		return current.row, err
	}
	for round := range p.Rounds {
		if round > 0 {
			current.releaseIdle()
			timing.Sleep(ctx, settleTime+timing.Seconds(float64(connections)/closeRate))
		}
		if err := current.measureRound(ctx, round); err != nil {
			return current.row, err
		}
	}
	after, err := current.readUsage()
	if err != nil {
		return current.row, err
	}
	current.summarize(after)
	if err := current.drain(); err != nil {
		return current.row, err
	}
	return current.row, ctx.Err()
}

// measureRound measures without the idle connections, opens them and measures with them.
func (m *measurement) measureRound(ctx context.Context, round int) error {
	connections := m.row.Connections
	m.plan.progress("%d connections, round %d of %d: without", connections, round+1, m.plan.Rounds)
	without, err := m.measure(ctx)
	if err != nil {
		return err
	}
	m.row.Unanswered += without.Unanswered
	m.latency.without.add(&without)

	start := time.Now()
	if err := m.holdIdle(ctx, connections); err != nil {
		return err
	}
	opened := time.Since(start).Seconds()
	m.plan.progress("%d connections, round %d of %d: with, opened in %.1f s",
		connections, round+1, m.plan.Rounds, opened)
	if round == 0 {
		m.row.OpenSeconds = opened
		if err := m.measureCost(ctx); err != nil {
			return err
		}
	}

	with, err := m.measure(ctx)
	if err != nil {
		return err
	}
	m.with.Merge(with)
	m.latency.with.add(&with)
	delay := max(without.MaxSendDelay, with.MaxSendDelay)
	m.row.MaxSendDelayMs = max(m.row.MaxSendDelayMs, float64(delay.Microseconds())/1000)
	return nil
}

// measureCost measures what the idle connections take while no request is sent.
func (m *measurement) measureCost(ctx context.Context) error {
	timing.Sleep(ctx, settleTime)
	with, err := m.readUsage()
	if err != nil {
		return err
	}
	if n := float64(m.row.Connections); n > 0 {
		m.row.Resident = (with.resident - m.before.resident) / n
		m.row.Heap = (with.heap - m.before.heap) / n
	}
	m.row.Timers = with.timers
	if with, err = m.readUsage(); err != nil { // the first one's own cost does not count
		return err
	}
	start := time.Now()
	timing.Sleep(ctx, quietPeriod)
	used, err := m.cpuSeconds()
	if err != nil {
		return err
	}
	m.row.CPUShare = (used - with.cpuSeconds) / time.Since(start).Seconds()
	return ctx.Err()
}

// summarize sets the columns of the row that cover all rounds.
func (m *measurement) summarize(after usage) {
	row := &m.row
	row.LongestTurnMs = after.longestTurnMs
	row.P50 = median(m.latency.with.p50)
	row.P99 = median(m.latency.with.p99)
	row.P999 = median(m.latency.with.p999)
	row.NoneP50 = median(m.latency.without.p50)
	row.NoneP99 = median(m.latency.without.p99)
	row.AddedP50 = medianRatio(m.latency.with.p50, m.latency.without.p50)
	row.AddedP99 = medianRatio(m.latency.with.p99, m.latency.without.p99)
	row.Finished = m.with.Finished
	row.Rejected = m.with.Rejected
	row.Abandoned = m.with.Abandoned
	row.Unanswered += m.with.Unanswered
}

// drain has all servers drain while the idle connections are open.
func (m *measurement) drain() error {
	for _, s := range m.servers {
		took, err := s.Drain()
		if err != nil {
			return err
		}
		m.row.DrainSeconds = max(m.row.DrainSeconds, took.Seconds())
	}
	return nil
}

// quantiles are the latencies without and with the idle connections.
type quantiles struct{ without, with roundQuantiles }

// roundQuantiles are latencies in microseconds, one of each round.
type roundQuantiles struct{ p50, p99, p999 []float64 }

func (q *roundQuantiles) add(stats *loadgen.Stats) {
	q.p50 = append(q.p50, max(1, stats.Quantile(50)))
	q.p99 = append(q.p99, max(1, stats.Quantile(99)))
	q.p999 = append(q.p999, max(1, stats.Quantile(99.9)))
}

// medianRatio returns the median over the rounds of the ratio of the latency with idle connections to the one without
// them. The median is robust against single rounds that other processes on the machine disturb.
func medianRatio(with, without []float64) float64 {
	var ratios []float64
	for round := range with {
		ratios = append(ratios, with[round]/without[round])
	}
	return median(ratios)
}

// median returns the median of the values, of which there must be one at least.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
