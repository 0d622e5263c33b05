// Package connflood measures whether a server still serves its trusted clients, and how fast, while
// untrusted clients use up its file descriptors: with connection limiting (the setting door) off
// and on, and after a restart of one server of a fleet during the flood.
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

// Plan describes an experiment.
type Plan struct {
	Program           string    // path of the server's binary
	UntrustedRate     float64   // untrusted clients per second, each from its own address while there are unused ones
	Trusted           int       // clients that were served before the flood
	Seconds           float64   // duration of the flood
	Descriptors       int       // descriptor limit in the server's configuration
	ActualDescriptors int       // descriptor limit of the process; 0 for the same as Descriptors
	CPU               int       // the CPU that the server runs on; negative for any
	Progress          io.Writer // receives progress messages
	Log               io.Writer // receives the server's log; nil discards it
}

// Row is the result for one value of the setting door.
type Row struct {
	ConnLimit    string  `json:"door"`
	Trusted      int     `json:"known"`
	Attempts     int     `json:"known_tries"`
	P50          float64 `json:"known_connect_p50_ms"` // of successful attempts, from the dial to the answer
	Max          float64 `json:"known_connect_max_ms"`
	Failed       int     `json:"known_failed"`    // attempts without an answer in time, or not answered with finished
	LostRequests int     `json:"open_tasks_lost"` // failed requests on connections that were open before the flood
	Untrusted    int     `json:"strangers"`
	Answered     float64 `json:"strangers_answered_share"` // share of untrusted clients that got any answer
	Alive        bool    `json:"alive"`                    // whether the server process runs at the end of the flood
	CPU          float64 `json:"cpu_share"`                // used during the flood, as a fraction of one core
	Resident     float64 `json:"rss_max_bytes"`            // maximum resident memory during the flood
}

// Columns are the column heads for Row.Cells.
var Columns = []string{"door", "known", "tries", "p50 ms", "max ms", "failed", "tasks lost", "strangers", "answered",
	"alive", "cpu", "rss MB"}

// Cells returns the row's table cells, in the order of Columns.
func (r Row) Cells() []string {
	return strings.Fields(fmt.Sprintf("%s %d %d %.2f %.1f %d %d %d %.3f %t %.3f %.1f",
		r.ConnLimit, r.Trusted, r.Attempts, r.P50, r.Max, r.Failed, r.LostRequests, r.Untrusted, r.Answered,
		r.Alive, r.CPU, r.Resident/(1<<20)))
}

// Validate returns an error for a value that is out of range.
func (p *Plan) Validate() error {
	switch {
	case p.UntrustedRate < 0 || p.UntrustedRate > 50_000:
		return fmt.Errorf("--strangers %g: must be from 0 to 50000 clients per second", p.UntrustedRate)
	case p.Trusted < 1 || p.Trusted > 200:
		return fmt.Errorf("--known %d: must be from 1 to 200", p.Trusted)
	case p.Seconds < 2 || p.Seconds > 120:
		return fmt.Errorf("--seconds %g: must be from 2 to 120", p.Seconds)
	case p.Descriptors < 64 || p.Descriptors > 20_000:
		return fmt.Errorf("--sockets %d: must be from 64 to 20000", p.Descriptors)
	case p.ActualDescriptors != 0 && p.ActualDescriptors < 48:
		return fmt.Errorf("--real %d: must be 0, or at least 48", p.ActualDescriptors)
	}
	return nil
}

const (
	className     = "ping"
	executorCores = 4
	// requestSeconds is the CPU time of a request: long enough that some are in flight at any time.
	requestSeconds = 0.02
	// trustPeriod is how long the trusted clients are served before the flood. A client earns trust
	// within three seconds.
	trustPeriod = 4500 * time.Millisecond
	// floodLeadTime is the time from the start of the flood to the start of the measurement, in
	// which the untrusted clients use up the descriptors.
	floodLeadTime = 500 * time.Millisecond
	// keptConnTimeout is the time after which a request on a connection that was open before the
	// flood counts as lost.
	keptConnTimeout      = 5 * time.Second
	resourcePollInterval = 100 * time.Millisecond
	serverMemoryMB       = 64
	stopTimeout          = 3 * time.Second
)

// Run measures with connection limiting off and then on.
func Run(ctx context.Context, p *Plan) ([]Row, error) {
	var rows []Row
	for _, limit := range []toggle{toggleOff, toggleOn} {
		row, err := p.measure(ctx, limit)
		if err != nil {
			return rows, fmt.Errorf("experiment with door %s: %w", limit, err)
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

// toggle is the value of an on/off setting, as written in the operator's file and in reports.
type toggle string

const (
	toggleOff toggle = "off"
	toggleOn  toggle = "on"
)

// measure measures one row: it lets the trusted clients earn trust and then starts the flood.
func (p *Plan) measure(ctx context.Context, connLimit toggle) (Row, error) {
	row := Row{ConnLimit: string(connLimit), Trusted: p.Trusted}
	servers, err := process.Start(ctx, 1, p.serverConfig(connLimit))
	if err != nil {
		return row, err
	}
	defer process.CloseAll(servers)
	server := servers[0]

	fmt.Fprintf(p.Progress, "door %s: %d clients send requests to earn trust\n", connLimit, p.Trusted)
	clients, err := p.earnTrust(ctx, server.Addr, trustPeriod)
	if err != nil {
		return row, err
	}
	err = p.measureFlood(ctx, server, clients, &row)
	return row, err
}

// measureFlood starts the flood and measures the trusted clients during it. A quarter of them keep
// their connections and always have a request in flight; the others reconnect for each request.
func (p *Plan) measureFlood(ctx context.Context, server *process.Server, clients []*client, row *Row) error {
	kept := clients[:max(1, len(clients)/4)]
	reconnecting := clients[len(kept):]
	for _, trusted := range reconnecting {
		trusted.close()
	}

	fmt.Fprintf(p.Progress, "door %s: flood of %g untrusted clients per second for %g s\n",
		row.ConnLimit, p.UntrustedRate, p.Seconds)
	usage, err := startUsage(server)
	if err != nil {
		return err
	}
	flood := newFlood(server.Addr, p.duration())
	var wait sync.WaitGroup
	wait.Go(func() { flood.run(ctx, p.UntrustedRate) })
	var lost atomic.Int64
	for _, trusted := range kept {
		wait.Go(func() {
			if !trusted.requestUntil(ctx, flood.end) {
				lost.Add(1)
			}
		})
	}
	time.Sleep(floodLeadTime)
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
	r.Untrusted = int(flood.startedClients.Load())
	share := float64(flood.answeredClients.Load()) / float64(max(1, r.Untrusted))
	r.Answered = math.Round(1000*share) / 1000
}

// usage measures a server's resources during the flood. Only the goroutine that runs watch writes
// it, and it is read after watch has returned.
type usage struct {
	server      *process.Server
	start       time.Time
	cpuBefore   float64 // seconds
	alive       bool
	cpuShare    float64 // fraction of one core
	maxResident float64 // bytes
}

func startUsage(server *process.Server) (*usage, error) {
	used, err := server.CPUSeconds()
	if err != nil {
		return nil, err
	}
	return &usage{server: server, start: time.Now(), cpuBefore: used}, nil
}

// watch samples the resident memory until the end and then computes the CPU share.
func (u *usage) watch(ctx context.Context, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(resourcePollInterval)
		if resident, err := u.server.ResidentBytes(); err == nil { // reading fails once the process has ended
			u.maxResident = max(u.maxResident, float64(resident))
		}
	}
	used, err := u.server.CPUSeconds()
	u.alive = err == nil && u.server.Alive()
	if u.alive {
		u.cpuShare = (used - u.cpuBefore) / time.Since(u.start).Seconds()
	}
}
