// Package connflood measures how trusted clients fare at a server while untrusted ones take every descriptor: with
// the server's connection limiting off and on, and at a server of a fleet that restarts in the flood.
package connflood

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftcourse/internal/bench/process"
	"swiftcourse/internal/bench/timing"
	"swiftcourse/internal/fake/executor"
	"swiftcourse/internal/wire/simulator"
)

// Plan is the experiment.
type Plan struct {
	Program           string  // path of the server's binary
	UntrustedRate     float64 // untrusted clients a second, each from an address of its own as far as loopback has them
	Trusted           int     // clients that were served before the untrusted ones came
	Seconds           float64 // for which the untrusted ones come
	Descriptors       int     // that the server is told it may use
	ActualDescriptors int     // that it really has; 0 for as many
	CPU               int     // the server's; under 0 for any
	Progress          io.Writer
	Log               io.Writer // of the server; nil for none
}

// Row is how the clients fared with connection limiting on or off.
type Row struct {
	ConnLimit    string  `json:"door"`
	Trusted      int     `json:"known"`
	Attempts     int     `json:"known_tries"`
	P50          float64 `json:"known_connect_p50_ms"` // from the dial to the answer of the first request
	Max          float64 `json:"known_connect_max_ms"`
	Failed       int     `json:"known_failed"` // no answer within the timeout, or one other than finished
	LostRequests int     `json:"open_tasks_lost"`
	Untrusted    int     `json:"strangers"`
	Answered     float64 `json:"strangers_answered_share"` // of the untrusted ones, whatever the answer was
	Alive        bool    `json:"alive"`
	CPU          float64 `json:"cpu_share"`
	Resident     float64 `json:"rss_max_bytes"`
}

// Columns are the names of the columns of Row.Cells.
var Columns = []string{"door", "known", "tries", "p50 ms", "max ms", "failed", "tasks lost", "strangers", "answered",
	"alive", "cpu", "rss MB"}

// Cells returns the row's cells in the table.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %.2f %.1f %d %d %d %.3f %t %.3f %.1f",
		r.ConnLimit, r.Trusted, r.Attempts, r.P50, r.Max, r.Failed, r.LostRequests, r.Untrusted, r.Answered,
		r.Alive, r.CPU, r.Resident/(1<<20)))
}

// Validate returns an error for a number that is out of its range.
func (p *Plan) Validate() error {
	switch {
	case p.UntrustedRate < 0 || p.UntrustedRate > 50_000:
		return fmt.Errorf("--strangers %g: from 0 to 50000 a second", p.UntrustedRate)
	case p.Trusted < 1 || p.Trusted > 200:
		return fmt.Errorf("--known %d: from 1 to 200", p.Trusted)
	case p.Seconds < 2 || p.Seconds > 120:
		return fmt.Errorf("--seconds %g: from 2 to 120", p.Seconds)
	case p.Descriptors < 64 || p.Descriptors > 20_000:
		return fmt.Errorf("--sockets %d: from 64 to 20000", p.Descriptors)
	case p.ActualDescriptors != 0 && p.ActualDescriptors < 48:
		return fmt.Errorf("--real %d: 48 at least, or 0", p.ActualDescriptors)
	}
	return nil
}

const (
	className     = "ping"
	executorCores = 4
	// requestSeconds is how long a request runs, so that some are in flight at each moment.
	requestSeconds = 0.02
	// trustPeriod is how long the trusted clients are served before the untrusted ones come: longer than the three
	// seconds by which trust is earned.
	trustPeriod = 4500 * time.Millisecond
	// floodLead is how long the untrusted clients have to take all descriptors before the trusted ones are measured.
	floodLead = 500 * time.Millisecond
	// openTimeout is how long the client of an open connection waits before its request counts as lost.
	openTimeout    = 5 * time.Second
	resourcePoll   = 100 * time.Millisecond
	serverMemoryMB = 64
	stopTimeout    = 3 * time.Second
)

// Run measures with connection limiting off, and on.
func Run(ctx context.Context, p *Plan) ([]Row, error) {
	var rows []Row
	for _, limit := range []toggle{toggleOff, toggleOn} {
		row, err := p.measure(ctx, limit)
		if err != nil {
			return rows, fmt.Errorf("with the door %s: %w", limit, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func settings() simulator.Settings {
	settings := process.BaseSettings(simulator.Class{Name: className, Idempotency: "idempotent", TimeoutMs: 2000,
		SoftDeadlineMs: 1000, Value: 1, LateValue: 0.5})
	settings.Capabilities.RetryAfter = true
	settings.Capabilities.MaxRetryAfterMs = 5000
	return settings
}

func (p *Plan) serverConfig(connLimit toggle) process.Config {
	return process.Config{
		Program:           p.Program,
		CPU:               p.CPU,
		Cores:             1,
		MemoryMB:          serverMemoryMB,
		Descriptors:       p.Descriptors,
		ActualDescriptors: p.ActualDescriptors,
		OperatorFile:      "door " + string(connLimit) + "\n",
		StopTimeout:       stopTimeout,
		Settings:          settings(),
		Log:               p.Log,
		Executor: executor.Config{
			Cores:      executorCores,
			CPUSeconds: func(string, string) float64 { return requestSeconds },
			Gauges:     process.RunningGauges(executorCores),
		},
	}
}

// toggle is the value of a setting that is on or off, as it stands in the operator's file and in reports.
type toggle string

const (
	toggleOff toggle = "off"
	toggleOn  toggle = "on"
)

// measure measures one row: it has the clients earn trust, and then measures them in the flood.
func (p *Plan) measure(ctx context.Context, connLimit toggle) (Row, error) {
	row := Row{ConnLimit: string(connLimit), Trusted: p.Trusted}
	servers, err := process.Start(ctx, 1, p.serverConfig(connLimit))
	if err != nil {
		return row, err
	}
	defer process.CloseAll(servers)
	server := servers[0]

	fmt.Fprintf(p.Progress, "door %s: %d clients earn trust\n", connLimit, p.Trusted)
	clients, err := p.earnTrust(ctx, server.Addr, trustPeriod)
	if err != nil {
		return row, err
	}
	err = p.measureFlood(ctx, server, clients, &row)
	return row, err
}

// measureFlood starts the flood and measures the trusted clients in it. A quarter of them keep their connections and
// always have a request in flight; the others connect again for each request.
func (p *Plan) measureFlood(ctx context.Context, server *process.Server, clients []*client, row *Row) error {
	open := clients[:max(1, len(clients)/4)]
	reconnecting := clients[len(open):]
	for _, trusted := range reconnecting {
		trusted.close()
	}

	fmt.Fprintf(p.Progress, "door %s: %g untrusted clients a second for %g s\n",
		row.ConnLimit, p.UntrustedRate, p.Seconds)
	usage, err := startUsage(server)
	if err != nil {
		return err
	}
	flood := newFlood(server.Addr, p.duration())
	var wait sync.WaitGroup
	wait.Go(func() { flood.run(ctx, p.UntrustedRate) })
	var lost atomic.Int64
	for _, trusted := range open {
		wait.Go(func() {
			if !trusted.requestUntil(ctx, flood.end) {
				lost.Add(1)
			}
		})
	}
	time.Sleep(floodLead)
	wait.Go(func() { usage.watch(ctx, flood.end) })
	attempts := reconnect(ctx, reconnecting, flood.end, &wait)

	row.addAttempts(attempts)
	row.LostRequests = int(lost.Load())
	row.addFlood(flood)
	row.Alive = usage.alive
	row.CPU = usage.cpuShare
	row.Resident = usage.maxResident
	return nil
}

func (p *Plan) duration() time.Duration { return timing.Seconds(p.Seconds) }

func (r *Row) addAttempts(attempts attemptStats) {
	r.Attempts = attempts.total
	r.Failed = attempts.failed
	latencies := slices.Sorted(slices.Values(attempts.latencies))
	if len(latencies) > 0 {
		r.P50 = latencies[len(latencies)/2]
		r.Max = latencies[len(latencies)-1]
	}
}

func (r *Row) addFlood(flood *flood) {
	r.Untrusted = int(flood.arrived.Load())
	share := float64(flood.answered.Load()) / float64(max(1, r.Untrusted))
	r.Answered = math.Round(1000*share) / 1000
}

// usage is what a server uses during the flood. One goroutine writes it in watch; it is read after that has ended.
type usage struct {
	server      *process.Server
	start       time.Time
	cpuBefore   float64 // seconds
	alive       bool
	cpuShare    float64
	maxResident float64 // bytes
}

func startUsage(server *process.Server) (*usage, error) {
	used, err := server.CPUSeconds()
	if err != nil {
		return nil, err
	}
	return &usage{server: server, start: time.Now(), cpuBefore: used}, nil
}

// watch samples the memory until the end and then takes the CPU share.
func (u *usage) watch(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(resourcePoll)
		if resident, err := u.server.ResidentBytes(); err == nil { // a server that is gone has none
			u.maxResident = max(u.maxResident, float64(resident))
		}
	}
	used, err := u.server.CPUSeconds()
	u.alive = err == nil && u.server.Alive()
	if u.alive {
		u.cpuShare = (used - u.cpuBefore) / time.Since(u.start).Seconds()
	}
}
