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

// BusyLatency is the latency of the busy connections in microseconds. Each value is the median over
// the rounds.
type BusyLatency struct {
	P50         float64 `json:"busy_p50_us"`
	P99         float64 `json:"busy_p99_us"`
	P999        float64 `json:"busy_p999_us"`
	BaselineP50 float64 `json:"none_p50_us"` // without idle connections, in the same run
	BaselineP99 float64 `json:"none_p99_us"`
	AddedP50    float64 `json:"added_p50"` // median over the rounds of the ratio of P50 to BaselineP50
	AddedP99    float64 `json:"added_p99"` // the same for P99 and BaselineP99
}

// Row is the result for a number of idle connections.
type Row struct {
	Connections     int     `json:"connections"`
	Servers         int     `json:"servers"`
	ResidentPerConn float64 `json:"rss_bytes_per_connection"`
	HeapPerConn     float64 `json:"heap_bytes_per_connection"`
	Timers          float64 `json:"timers"` // timers of all servers, with the idle connections open
	BusyLatency
	CPUShare       float64 `json:"idle_cpu_share"`  // fraction of a core, over all servers, without requests
	LongestTurnMs  float64 `json:"longest_turn_ms"` // of any server's event loop
	Finished       int     `json:"finished"`        // these three count requests sent with the idle connections open
	Rejected       int     `json:"rejected"`
	Abandoned      int     `json:"abandoned"`
	Unanswered     int     `json:"lost"`           // requests sent with or without idle connections
	MaxSendDelayMs float64 `json:"sender_late_ms"` // maximum time by which a request was sent after its schedule
	DrainSeconds   float64 `json:"leave_s"`        // drain time of the slowest server, with the idle connections open
	OpenSeconds    float64 `json:"opened_s"`       // time to open the idle connections in the first round
}

// Columns are the column heads for Row.Cells.
var Columns = []string{"connections", "servers", "rss B/conn", "heap B/conn", "timers", "p50 us", "p99 us",
	"p99.9 us", "added p50", "added p99", "idle cpu", "longest turn ms", "lost", "leave s"}

// Cells returns the row's table cells, in the order of Columns.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%d %d %.0f %.0f %.0f %.0f %.0f %.0f %.3f %.3f %.4f %.2f %d %.2f",
		r.Connections, r.Servers, r.ResidentPerConn, r.HeapPerConn, r.Timers, r.P50, r.P99, r.P999, r.AddedP50,
		r.AddedP99, r.CPUShare, r.LongestTurnMs, r.Unanswered, r.DrainSeconds))
}

const (
	// longIdleTimeout is an idle timeout longer than any measurement.
	longIdleTimeout = time.Hour
	// noLoadPeriod is the time without requests in which the CPU cost of the idle connections is
	// measured.
	noLoadPeriod = 2 * time.Second
	// settleTime is the pause after idle connections are opened or closed.
	settleTime = 500 * time.Millisecond
	// minClosesPerSecond is a lower bound of the number of connections that close per second.
	minClosesPerSecond = 50_000
)

// Run measures one row for each number of connections of the plan.
func Run(ctx context.Context, p *Plan) ([]Row, error) {
	var rows []Row
	for _, n := range p.Connections {
		row, err := p.measureRow(ctx, n)
		if err != nil {
			return rows, fmt.Errorf("experiment with %d idle connections: %w", n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measurement is the state of the measurement of one row.
type measurement struct {
	*fixture
	row      Row
	baseline usage         // before the idle connections are opened
	withIdle loadgen.Stats // with the idle connections open, merged over all rounds
	latency  quantiles
}

func (p *Plan) measureRow(ctx context.Context, connections int) (Row, error) {
	current := &measurement{row: Row{Connections: connections, Servers: p.Servers}}
	var err error
	if current.fixture, err = p.startFixture(ctx, longIdleTimeout); err != nil {
		return current.row, err
	}
	defer current.close()
	if _, err := current.measureLoad(ctx); err != nil { // warms up the servers, which then keep their buffers
		return current.row, err
	}
	if current.baseline, err = current.readUsage(); err != nil {
		return current.row, err
	}
	for round := range p.Rounds {
		if round > 0 {
			current.closeIdleConns()
			timing.Sleep(ctx, settleTime+timing.Seconds(float64(connections)/minClosesPerSecond))
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

// measureRound measures without idle connections, opens them and measures again.
func (m *measurement) measureRound(ctx context.Context, round int) error {
	connections := m.row.Connections
	m.plan.progress("%d idle connections, round %d of %d: measuring without them", connections, round+1, m.plan.Rounds)
	without, err := m.measureLoad(ctx)
	if err != nil {
		return err
	}
	m.row.Unanswered += without.Unanswered
	m.latency.without.add(&without)

	start := time.Now()
	if err := m.openIdleConns(ctx, connections); err != nil {
		return err
	}
	opened := time.Since(start).Seconds()
	m.plan.progress("%d idle connections, round %d of %d: opened in %.1f s, measuring with them",
		connections, round+1, m.plan.Rounds, opened)
	if round == 0 {
		m.row.OpenSeconds = opened
		if err := m.measureIdleCost(ctx); err != nil {
			return err
		}
	}

	with, err := m.measureLoad(ctx)
	if err != nil {
		return err
	}
	m.withIdle.Merge(with)
	m.latency.with.add(&with)
	delay := max(without.MaxSendDelay, with.MaxSendDelay)
	m.row.MaxSendDelayMs = max(m.row.MaxSendDelayMs, float64(delay.Microseconds())/1000)
	return nil
}

// measureIdleCost measures the memory, timers and CPU time of the idle connections while no
// requests are sent.
func (m *measurement) measureIdleCost(ctx context.Context) error {
	timing.Sleep(ctx, settleTime)
	with, err := m.readUsage()
	if err != nil {
		return err
	}
	if n := float64(m.row.Connections); n > 0 {
		m.row.ResidentPerConn = (with.resident - m.baseline.resident) / n
		m.row.HeapPerConn = (with.heap - m.baseline.heap) / n
	}
	m.row.Timers = with.timers
	if with, err = m.readUsage(); err != nil { // excludes the CPU time that the first call took
		return err
	}
	start := time.Now()
	timing.Sleep(ctx, noLoadPeriod)
	used, err := m.cpuSeconds()
	if err != nil {
		return err
	}
	m.row.CPUShare = (used - with.cpuSeconds) / time.Since(start).Seconds()
	return ctx.Err()
}

// summarize sets the fields of the row that summarize all rounds.
func (m *measurement) summarize(after usage) {
	row := &m.row
	row.LongestTurnMs = after.longestTurnMs
	row.P50 = median(m.latency.with.p50)
	row.P99 = median(m.latency.with.p99)
	row.P999 = median(m.latency.with.p999)
	row.BaselineP50 = median(m.latency.without.p50)
	row.BaselineP99 = median(m.latency.without.p99)
	row.AddedP50 = medianRatio(m.latency.with.p50, m.latency.without.p50)
	row.AddedP99 = medianRatio(m.latency.with.p99, m.latency.without.p99)
	row.Finished = m.withIdle.Finished
	row.Rejected = m.withIdle.Rejected
	row.Abandoned = m.withIdle.Abandoned
	row.Unanswered += m.withIdle.Unanswered
}

// drain drains the servers one after the other while the idle connections are open.
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

// quantiles are the latency quantiles without and with idle connections.
type quantiles struct{ without, with roundQuantiles }

// roundQuantiles are latency quantiles in microseconds, one value per round.
type roundQuantiles struct{ p50, p99, p999 []float64 }

func (q *roundQuantiles) add(stats *loadgen.Stats) {
	q.p50 = append(q.p50, max(1, stats.Quantile(50)))
	q.p99 = append(q.p99, max(1, stats.Quantile(99)))
	q.p999 = append(q.p999, max(1, stats.Quantile(99.9)))
}

// medianRatio returns the median over the rounds of the ratio of the latency with idle connections
// to the latency without them. The median is robust against rounds disturbed by other processes on
// the machine.
func medianRatio(with, without []float64) float64 {
	var ratios []float64
	for round := range with {
		ratios = append(ratios, with[round]/without[round])
	}
	return median(ratios)
}

// median returns the median of the values. There must be at least one.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
